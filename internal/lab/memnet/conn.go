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

// connEnd is one side of a connection. All of it is under the network's lock.
type connEnd struct {
	network *Network
	host    *Host
	peer    *connEnd
	number  int
	delay   time.Duration
	addr    *net.TCPAddr

	inbox                       []segment
	inboxBytes                  int // bytes of in
	readDeadline, writeDeadline time.Time
	writeClosed                 bool // its sending
	closed                      bool
}

// segment is something on its way to an end, or there: bytes, or why no more come.
type segment struct {
	due   time.Time
	bytes []byte
	err   error // io.EOF, or errReset
}

var errReset = os.NewSyscallError("read", syscall.ECONNRESET)

func reached(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

func (e *connEnd) observe(kind Kind, bytes []byte) {
	e.network.observe(Event{At: time.Now(), Conn: e.number, From: e.host.name, To: e.peer.host.name, Kind: kind, Bytes: bytes})
}

func (e *connEnd) opError(op string, err error) error {
	if errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: e.addr, Addr: e.peer.addr, Err: err}
}

// resetArrived tells whether a reset has arrived.
func (e *connEnd) resetArrived() bool {
	return slices.ContainsFunc(e.inbox, func(s segment) bool { return errors.Is(s.err, errReset) && reached(s.due) })
}

// send puts something on its way to the other end; after is what it waits for besides the way.
func (e *connEnd) send(after time.Duration, bytes []byte, err error) {
	p := e.peer
	if p.closed {
		return
	}
	p.inbox = append(p.inbox, segment{time.Now().Add(after + e.delay), bytes, err})
	p.inboxBytes += len(bytes)
	time.AfterFunc(after+e.delay, e.network.wake)
}

// Pending tells what has arrived, without reading it: bytes, and the other side's end, which may stand behind bytes that
// nobody has read.
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

func (e *connEnd) Write(p []byte) (wrote int, err error) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	for {
		room := windowBytes - e.peer.inboxBytes
		switch {
		case e.closed:
			return wrote, e.opError("write", net.ErrClosed)
		case reached(e.writeDeadline):
			return wrote, e.opError("write", os.ErrDeadlineExceeded)
		case e.writeClosed || e.resetArrived():
			return wrote, e.opError("write", os.NewSyscallError("write", syscall.EPIPE))
		case wrote == len(p):
			return wrote, nil
		case room > 0:
			piece := slices.Clone(p[wrote:min(len(p), wrote+room)])
			wrote += len(piece)
			e.observe(Sends, piece)
			if e.peer.closed { // which says so when it arrives
				e.peer.send(e.delay, nil, errReset)
			}
			e.send(0, piece, nil)
			continue
		}
		e.network.wait(e.writeDeadline)
	}
}

// Close ends the connection, with a reset where something that came was not read or comes yet, as TCP does.
func (e *connEnd) Close() error {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.closed {
		return e.opError("close", net.ErrClosed)
	}
	i := slices.IndexFunc(e.inbox, func(s segment) bool { return s.err == nil })
	if i >= 0 && reached(e.inbox[i].due) {
		e.reset()
		return nil
	}
	if !e.resetArrived() {
		e.observe(Closes, nil)
		if !e.writeClosed {
			e.send(0, nil, io.EOF)
		}
	}
	if i >= 0 {
		e.send(time.Until(e.inbox[i].due), nil, errReset)
	}
	e.closeLocked()
	return nil
}

// CloseWrite ends the sending; the other side's goes on.
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

// reset is called with the lock held.
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

func (e *connEnd) setDeadlines(t time.Time, bounds ...*time.Time) error {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.closed {
		return e.opError("set", net.ErrClosed)
	}
	for _, b := range bounds {
		*b = t
	}
	e.network.changed.Broadcast()
	return nil
}
