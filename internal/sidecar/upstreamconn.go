package sidecar

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// upstreamConn is one connection to an upstream. It observes its own reads and writes, since the HTTP library reports a
// request as written while it is still in a buffer. One exchange at a time owns it; the flags are safe for concurrent use.
type upstreamConn struct {
	net.Conn
	http        *http.ClientConn
	name        string
	address     endpointAddress
	retireTimer *time.Timer
	uses        int       // number of attempts that acquired it
	releasedAt  time.Time // when it was last released
	closed      bool      // guarded by the pool's lock
	idleMemory  bool      // memory is reserved for it while it is idle; guarded by the pool's lock

	writing     chan struct{} // has a buffer of one, which is full during a write
	writesEnded bool          // nothing more may be sent; set by the exchange, while writing is full

	writeTimeout   time.Duration // time-out of one write
	checkMayBegin  func() error  // returns the reason why the next request may not be written, or nil if it may
	firstByteSent  atomic.Bool   // Write was called with the first byte of the present request
	beginRefused   atomic.Bool   // the request was stopped before its first byte
	requestEncoded atomic.Bool   // the library has written the request completely, perhaps into a buffer
	writeFailed    atomic.Bool   // a write failed, so that the last byte was not sent
	idleReading    atomic.Bool   // the library is waiting for bytes, and has none buffered
}

// Write implements net.Conn. Before the first byte of a request it checks whether the request may still be sent: after the
// decision to send it, the upstream may have begun to drain, the client may have disconnected, or the time for a retry may
// be over.
func (c *upstreamConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	if c.writesEnded || c.beginRefused.Load() {
		return 0, net.ErrClosed
	}
	if !c.firstByteSent.Swap(true) {
		if err := c.checkMayBegin(); err != nil {
			c.beginRefused.Store(true)
			return 0, err
		}
	}
	_ = c.SetWriteDeadline(time.Now().Add(c.writeTimeout)) // fails only on a closed connection, as the write then does
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// uploadBufferBytes is the size of the parts in which a body is passed on.
const uploadBufferBytes = 16 << 10

// ReadFrom implements io.ReaderFrom, for bodies. The HTTP library would otherwise copy through a larger buffer.
func (c *upstreamConn) ReadFrom(r io.Reader) (int64, error) {
	return io.CopyBuffer(struct{ io.Writer }{c}, struct{ io.Reader }{r}, make([]byte, uploadBufferBytes))
}

// endWrites closes the connection, and waits until no write is in progress. Nothing more is sent afterwards, so that firstByteSent and
// writeFailed say what has been sent.
func (c *upstreamConn) endWrites() {
	_ = c.Close() // ends a write that is in progress; the pool closes the connection once more
	c.writing <- struct{}{}
	c.writesEnded = true
	<-c.writing
}

// Read implements net.Conn, and records when the library waits for bytes.
func (c *upstreamConn) Read(p []byte) (int, error) {
	c.idleReading.Store(true)
	n, err := c.Conn.Read(p)
	c.idleReading.Store(false)
	return n, err
}

// unusable reports whether an idle connection can't be used again: the upstream has closed it, or has sent more than the
// answers to its requests, which the library would read as the next answer.
func (c *upstreamConn) unusable() bool {
	bytes, end := pending(c.Conn)
	return bytes || end || !c.idleReading.Load()
}
