package sidecar

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// bodyStallTimeout is how long bodies may keep us waiting while others wait for the descriptor, beside what minBodyRate allows.
	bodyStallTimeout   = 150 * time.Millisecond
	finalReadTimeout   = time.Millisecond       // for a request that is here already when its connection is to end
	acceptQueueTimeout = 10 * time.Millisecond  // for a connection in the kernel's queue; twice, as a goroutine may be late
	maxLinger          = 100 * time.Millisecond // for the client to close its side
	minLinger          = 10 * time.Millisecond  // the same where others wait for its descriptor: its answer and its end are with it by then
	maxLingerBytes     = 1 << 20                // bytes read away meanwhile: what was on its way when the client could see the end
)

// connStage is how far the next request of a connection has been read.
type connStage int

const (
	betweenRequests connStage = iota // nothing of it was read
	partialHead
	headComplete // or more of it
)

// framedConn is a client's connection. It ends in order: never while some of a request was read that has no
// answer yet, and with its sending side first, so that what crosses the end does not make the kernel reset
// it, and lose an answer.
type framedConn struct {
	net.Conn
	arrivedAt    time.Time // when it can have come at the earliest: it may have waited to be accepted
	acceptedAt   time.Time // when it was accepted
	listener     *clientConns
	framing      framing
	clientClosed atomic.Bool   // nothing more can come
	pipelined    chan struct{} // holds one: something was read behind the request in flight, and the library reads no further

	mu           sync.Mutex
	ending       bool // it is to end between requests
	evicted      bool // only to make room
	active       bool // the library has a request in flight
	waiting      bool // a read is under way that can only bring the next request
	stage        connStage
	readSince    time.Time     // since when a read is under way; zero: none is
	headSince    time.Time     // when the first bytes of a head came, of which more is owed
	bodyWait     time.Duration // for the body in flight, in reads
	bodyBytes    int           // of it, meanwhile
	readDeadline time.Time     // the library's bound on reads
	readCut      bool          // the rest of a request is waited for no longer
	closingSince time.Time     // since when nothing more is sent; zero: not yet
	wrote        bool
}

func (c *framedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.waiting = !c.active && c.framing.stage() == betweenRequests
	c.readSince = time.Now()
	body := c.framing.bodyIncomplete()
	if !body {
		c.bodyWait, c.bodyBytes = 0, 0
	}
	if c.waiting && c.ending {
		c.boundRead()
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	stays := false
	if established := c.waiting && c.ending; established || c.readCut {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = c.readAvailable(p)
		}
		if n > 0 { // more has come after all
			stays = true
			c.ending = c.ending && !c.evicted
			c.evicted, c.readCut = false, false
			_ = c.Conn.SetReadDeadline(c.readDeadline) // as the library had it; else the next read shows it
		}
	}
	if body {
		c.bodyWait, c.bodyBytes = c.bodyWait+time.Since(c.readSince), c.bodyBytes+n
	}
	c.framing.scan(p[:n])
	if n > 0 && c.active && c.framing.pipelined() {
		select {
		case c.pipelined <- struct{}{}:
		default:
		}
	}
	now := c.framing.stage()
	if now == partialHead && c.stage != partialHead {
		c.headSince = time.Now()
	}
	c.waiting, c.stage, c.readSince = false, now, time.Time{}
	c.mu.Unlock()
	if stays {
		c.listener.cancelEviction(c)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.clientClosed.Store(true)
	}
	return n, err
}

// disconnected tells whether the client has closed the connection, or its sending side.
func (c *framedConn) disconnected() bool {
	if c.clientClosed.Load() {
		return true
	}
	_, end := pending(c.Conn)
	return end
}

// SetReadDeadline implements net.Conn for the HTTP library. A deadline set beside it is reset to it: a peer
// that was nearly evicted has no more time than before. A first head's time counts from the connecting, as
// far as that is known.
func (c *framedConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.framing.noRequest() && c.acceptedAt.After(c.arrivedAt) && at.After(c.acceptedAt) {
		at = c.arrivedAt.Add(requestTimeout)
		if atLeast := c.acceptedAt.Add(bodyStartTimeout); at.Before(atLeast) {
			at = atLeast
		}
	}
	c.readDeadline = at
	return c.Conn.SetReadDeadline(at)
}

func (c *framedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.wrote = true
	c.mu.Unlock()
	return n, err
}

// evictionClass is how good a connection's claim on its descriptor is, the lowest first.
type evictionClass int

const (
	classAnswered evictionClass = iota // its last answer has gone, and only the client's close is waited for
	classUnused                        // it has never brought a request
	classSlowHead
	classIdle     // since its last answer
	classSlowBody // of a request that is in flight, and of which the client owes more
	classBusy     // a complete request is in flight, or the end is near
)

// evictionClass is the class of the connection, since when, and how long it may stay so at least.
func (c *framedConn) evictionClass() (how evictionClass, since time.Time, atLeast time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	young, stall := newConnGrace, bodyStallTimeout
	if c.framing.firstRequestOnly() && c.acceptedAt.Sub(c.arrivedAt) > newConnGrace { // what it was about to send has come while it waited
		young, stall = minLinger, newConnGrace
	}
	switch {
	case c.readCut || c.evicted:
		return classBusy, since, 0
	case !c.closingSince.IsZero():
		return classAnswered, c.closingSince, minLinger
	case (c.active || c.stage == headComplete) && !c.readSince.IsZero() && c.framing.bodyIncomplete():
		return classSlowBody, c.readSince, stall + time.Duration(c.bodyBytes)*time.Second/minBodyRate - c.bodyWait
	case c.active || c.stage == headComplete:
		return classBusy, since, 0
	case c.stage == partialHead && !c.readSince.IsZero():
		return classSlowHead, c.headSince, young
	case c.stage == partialHead:
		return classBusy, since, 0
	case c.framing.noRequest():
		return classUnused, c.acceptedAt, young
	}
	return classIdle, since, 0
}

// end closes the connection once it is between requests, and tells whether it is. What has come until then is
// answered.
func (c *framedConn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if c.waiting {
		c.boundRead()
	}
	return !c.active && c.stage == betweenRequests
}

// evict is end for a connection whose place another is to take. If a request comes after all, it stays.
func (c *framedConn) evict() bool {
	c.mu.Lock()
	c.evicted = !c.ending // else it is to end in any case
	c.mu.Unlock()
	if c.end() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending, c.evicted = c.ending && !c.evicted, false
	return false
}

// cutRead ends the read that waits for the rest of a request: the library closes the connection, or answers
// that the request did not come in time. False: something has come just now.
func (c *framedConn) cutRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readSince.IsZero() {
		return false
	}
	c.readCut = true
	_ = c.Conn.SetReadDeadline(time.Now()) // fails on a closed connection only
	return true
}

// boundRead bounds the read that waits for the next request: the library closes the connection if none comes.
// A new connection has its time for the first request; to make capacity only those are ended that have had
// it.
func (c *framedConn) boundRead() {
	until := time.Now().Add(finalReadTimeout)
	if young := c.acceptedAt.Add(newConnGrace); !c.evicted && c.framing.noRequest() && young.After(until) {
		until = young
	}
	_ = c.Conn.SetReadDeadline(until) // fails on a closed connection only
}

// readAvailable reads what is there. A read whose time is up does not look, and its goroutine may have been
// late.
func (c *framedConn) readAvailable(p []byte) (n int, err error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	fd, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails on a closed connection only
	failed := fd.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), p) // it does not block: the library's sockets never do
		return true
	})
	switch {
	case failed != nil:
		return 0, failed
	case errors.Is(err, syscall.EAGAIN):
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // what reads on, ends
		return 0, os.ErrDeadlineExceeded
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

func (c *framedConn) setActive(on bool) {
	c.mu.Lock()
	c.active = on
	c.mu.Unlock()
}

// CloseWrite is called by the library before it closes a connection on which more may come. It would then
// wait for half a second, with the descriptor and all buffers held: under a flood of rejected peers nobody
// else would get in. So the connection is closed here, and its goroutine ends; only its deferred calls are
// left.
func (c *framedConn) CloseWrite() error {
	_ = c.Close() // whatever it says, the connection is gone
	runtime.Goexit()
	return nil
}

// Close closes in order: a socket that is closed with bytes unread is reset, and an answer that is still on
// its way is lost. So the sending side is closed first, and what comes is read and discarded until the client
// closes. If no answer was ever sent a reset loses nothing, but for the time after SIGTERM.
func (c *framedConn) Close() error {
	c.mu.Lock()
	lingers := !c.clientClosed.Load() && c.closingSince.IsZero() && !c.listener.stopped.Load() && (c.listener.lingering.Load() || c.wrote)
	if lingers {
		c.closingSince = time.Now()
		c.readSince, c.readCut, c.evicted = c.closingSince, false, false
	}
	c.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); lingers && ok && half.CloseWrite() == nil {
		c.mu.Lock()
		if !c.readCut {
			_ = c.Conn.SetReadDeadline(c.closingSince.Add(maxLinger)) // fails on a closed connection only
		}
		c.mu.Unlock()
		c.listener.changed.Broadcast()                      // where room is needed, it is cut short
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // an end of any kind is as good
	}
	return c.Conn.Close()
}
