package memnet

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"time"
)

// connEnd is one side of a connection. The network's lock guards all of its fields.
type connEnd struct {
	network *Network
	host    *Host
	peer    *connEnd
	number  int
	delay   time.Duration // time that data takes from this end to the other
	addr    *net.TCPAddr

	inbox                       []segment // segments that are on their way to this end, or have arrived and are unread
	inboxBytes                  int       // bytes in inbox
	readDeadline, writeDeadline time.Time
	writeClosed                 bool // this end has closed its sending direction
	closed                      bool
}

// segment is what one end sends to the other: bytes, or the error that ends the stream of bytes.
type segment struct {
	due   time.Time // when it arrives
	bytes []byte
	err   error // io.EOF or errReset
}

var errReset = os.NewSyscallError("read", syscall.ECONNRESET)

// reached reports whether the time t has come. The zero time never comes.
func reached(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

// observe reports an event on the connection. The caller holds the network's lock.
func (e *connEnd) observe(kind Kind, bytes []byte) {
	e.network.observe(Event{At: time.Now(), Conn: e.number, From: e.host.name, To: e.peer.host.name, Kind: kind, Bytes: bytes})
}

// opError wraps err in a net.OpError for an operation. It returns io.EOF unchanged.
func (e *connEnd) opError(op string, err error) error {
	if errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: e.addr, Addr: e.peer.addr, Err: err}
}

// resetArrived reports whether a reset has arrived.
func (e *connEnd) resetArrived() bool {
	return slices.ContainsFunc(e.inbox, func(s segment) bool { return errors.Is(s.err, errReset) && reached(s.due) })
}

// send sends bytes, or err in their place, to the other end. They arrive after the connection's delay and extraDelay.
func (e *connEnd) send(extraDelay time.Duration, bytes []byte, err error) {
	p := e.peer
	if p.closed {
		return
	}
	p.inbox = append(p.inbox, segment{time.Now().Add(extraDelay + e.delay), bytes, err})
	p.inboxBytes += len(bytes)
	time.AfterFunc(extraDelay+e.delay, e.network.wake)
}

// Pending reports what a read would find now. end is true if this end is closed, or if the other side's end of the
// connection has arrived, even behind unread bytes. bytes is true if bytes are unread and end is false. While either host
// is silent and this end is open, both are false.
func (e *connEnd) Pending() (bytes, end bool) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.closed {
		return false, true
	}
	if e.host.silent || e.peer.host.silent {
		return false, false
	}
	for _, s := range e.inbox {
		if reached(s.due) {
			bytes, end = bytes || s.err == nil, end || s.err != nil
		}
	}
	return bytes && !end, end
}

func (e *connEnd) Read(p []byte) (int, error) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	for {
		switch {
		case e.closed:
			return 0, e.opError("read", net.ErrClosed)
		case reached(e.readDeadline):
			return 0, e.opError("read", os.ErrDeadlineExceeded)
		case len(p) == 0:
			return 0, nil
		case len(e.inbox) == 0 || !reached(e.inbox[0].due) || e.host.silent || e.peer.host.silent:
		case e.inbox[0].err != nil:
			return 0, e.opError("read", e.inbox[0].err)
		default:
			first := &e.inbox[0]
			n := copy(p, first.bytes)
			if first.bytes = first.bytes[n:]; len(first.bytes) == 0 {
				e.inbox = e.inbox[1:]
			}
			e.inboxBytes -= n
			e.network.changed.Broadcast()
			return n, nil
		}
		e.network.wait(e.readDeadline)
	}
}

func (e *connEnd) Write(p []byte) (written int, err error) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	for {
		space := windowBytes - e.peer.inboxBytes
		switch {
		case e.closed:
			return written, e.opError("write", net.ErrClosed)
		case reached(e.writeDeadline):
			return written, e.opError("write", os.ErrDeadlineExceeded)
		case e.writeClosed || e.resetArrived():
			return written, e.opError("write", os.NewSyscallError("write", syscall.EPIPE))
		case written == len(p):
			return written, nil
		case space > 0:
			piece := slices.Clone(p[written:min(len(p), written+space)])
			written += len(piece)
			e.observe(Sends, piece)
			if e.peer.closed { // the peer answers with a reset when the bytes arrive
				e.peer.send(e.delay, nil, errReset)
			}
			e.send(0, piece, nil)
			continue
		}
		e.network.wait(e.writeDeadline)
	}
}

// Close ends the connection. As in TCP, it sends a reset if bytes have arrived unread or are still on their way.
func (e *connEnd) Close() error {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.closed {
		return e.opError("close", net.ErrClosed)
	}
	firstData := slices.IndexFunc(e.inbox, func(s segment) bool { return s.err == nil })
	if firstData >= 0 && reached(e.inbox[firstData].due) {
		e.reset()
		return nil
	}
	if !e.resetArrived() {
		e.observe(Closes, nil)
		if !e.writeClosed {
			e.send(0, nil, io.EOF)
		}
	}
	if firstData >= 0 {
		e.send(time.Until(e.inbox[firstData].due), nil, errReset)
	}
	e.closeLocked()
	return nil
}

// CloseWrite ends the sending direction. The other side may go on sending.
func (e *connEnd) CloseWrite() error {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.closed || e.writeClosed {
		return e.opError("close", net.ErrClosed)
	}
	e.observe(Ends, nil)
	e.send(0, nil, io.EOF)
	e.writeClosed = true
	return nil
}

// Reset breaks the connection.
func (e *connEnd) Reset() {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.reset()
}

// reset does the work of Reset. The caller holds the network's lock.
func (e *connEnd) reset() {
	if e.closed {
		return
	}
	if !e.resetArrived() {
		e.observe(Resets, nil)
		e.send(0, nil, errReset)
	}
	e.closeLocked()
}

// closeLocked closes this end and sends nothing to the other. The caller holds the network's lock.
func (e *connEnd) closeLocked() {
	e.closed, e.inbox, e.inboxBytes = true, nil, 0
	e.host.ends = slices.DeleteFunc(e.host.ends, func(x *connEnd) bool { return x == e })
	e.network.changed.Broadcast()
}

// LocalAddr implements net.Conn.
func (e *connEnd) LocalAddr() net.Addr { return e.addr }

// RemoteAddr implements net.Conn.
func (e *connEnd) RemoteAddr() net.Addr { return e.peer.addr }

// SetDeadline implements net.Conn.
func (e *connEnd) SetDeadline(t time.Time) error {
	return e.setDeadlines(t, &e.readDeadline, &e.writeDeadline)
}

// SetReadDeadline implements net.Conn.
func (e *connEnd) SetReadDeadline(t time.Time) error { return e.setDeadlines(t, &e.readDeadline) }

// SetWriteDeadline implements net.Conn.
func (e *connEnd) SetWriteDeadline(t time.Time) error { return e.setDeadlines(t, &e.writeDeadline) }

// setDeadlines sets the given deadlines to t.
func (e *connEnd) setDeadlines(t time.Time, deadlines ...*time.Time) error {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.closed {
		return e.opError("set", net.ErrClosed)
	}
	for _, d := range deadlines {
		*d = t
	}
	e.network.changed.Broadcast()
	return nil
}
