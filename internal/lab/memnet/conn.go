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

// end is one side of a connection. All of it is under the network's lock.
type end struct {
	net    *Network
	host   *Host
	peer   *end
	number int
	way    time.Duration
	addr   *net.TCPAddr

	in              []segment
	held            int // bytes of in
	readBy, writeBy time.Time
	ended           bool // its sending
	closed          bool
}

// segment is something on its way to an end, or there: bytes, or why no more come.
type segment struct {
	due   time.Time
	bytes []byte
	err   error // io.EOF, or errReset
}

var errReset = os.NewSyscallError("read", syscall.ECONNRESET)

func past(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

func (e *end) tell(kind Kind, bytes []byte) {
	e.net.observe(Event{At: time.Now(), Conn: e.number, From: e.host.name, To: e.peer.host.name, Kind: kind, Bytes: bytes})
}

func (e *end) failed(op string, err error) error {
	if errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: e.addr, Addr: e.peer.addr, Err: err}
}

// broken tells whether a reset has arrived.
func (e *end) broken() bool {
	return slices.ContainsFunc(e.in, func(s segment) bool { return errors.Is(s.err, errReset) && past(s.due) })
}

// send puts something on its way to the other end; after is what it waits for besides the way.
func (e *end) send(after time.Duration, bytes []byte, err error) {
	p := e.peer
	if p.closed {
		return
	}
	p.in = append(p.in, segment{time.Now().Add(after + e.way), bytes, err})
	p.held += len(bytes)
	time.AfterFunc(after+e.way, e.net.wake)
}

// Pending tells what has arrived, without reading it: bytes, and the other side's end, which may stand behind bytes that
// nobody has read.
func (e *end) Pending() (bytes, end bool) {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	if e.closed {
		return false, true
	}
	if e.host.dark || e.peer.host.dark {
		return false, false
	}
	for _, s := range e.in {
		if past(s.due) {
			bytes, end = bytes || s.err == nil, end || s.err != nil
		}
	}
	return bytes && !end, end
}

func (e *end) Read(p []byte) (int, error) {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	for {
		switch {
		case e.closed:
			return 0, e.failed("read", net.ErrClosed)
		case past(e.readBy):
			return 0, e.failed("read", os.ErrDeadlineExceeded)
		case len(p) == 0:
			return 0, nil
		case len(e.in) == 0 || !past(e.in[0].due) || e.host.dark || e.peer.host.dark:
		case e.in[0].err != nil:
			return 0, e.failed("read", e.in[0].err)
		default:
			first := &e.in[0]
			n := copy(p, first.bytes)
			if first.bytes = first.bytes[n:]; len(first.bytes) == 0 {
				e.in = e.in[1:]
			}
			e.held -= n
			e.net.changed.Broadcast()
			return n, nil
		}
		e.net.wait(e.readBy)
	}
}

func (e *end) Write(p []byte) (wrote int, err error) {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	for {
		room := window - e.peer.held
		switch {
		case e.closed:
			return wrote, e.failed("write", net.ErrClosed)
		case past(e.writeBy):
			return wrote, e.failed("write", os.ErrDeadlineExceeded)
		case e.ended || e.broken():
			return wrote, e.failed("write", os.NewSyscallError("write", syscall.EPIPE))
		case wrote == len(p):
			return wrote, nil
		case room > 0:
			piece := slices.Clone(p[wrote:min(len(p), wrote+room)])
			wrote += len(piece)
			e.tell(Sends, piece)
			if e.peer.closed { // which says so when it arrives
				e.peer.send(e.way, nil, errReset)
			}
			e.send(0, piece, nil)
			continue
		}
		e.net.wait(e.writeBy)
	}
}

// Close ends the connection, with a reset where something that came was not read or comes yet, as TCP does.
func (e *end) Close() error {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	if e.closed {
		return e.failed("close", net.ErrClosed)
	}
	i := slices.IndexFunc(e.in, func(s segment) bool { return s.err == nil })
	if i >= 0 && past(e.in[i].due) {
		e.reset()
		return nil
	}
	if !e.broken() {
		e.tell(Closes, nil)
		if !e.ended {
			e.send(0, nil, io.EOF)
		}
	}
	if i >= 0 {
		e.send(time.Until(e.in[i].due), nil, errReset)
	}
	e.over()
	return nil
}

// CloseWrite ends the sending; the other side's goes on.
func (e *end) CloseWrite() error {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	if e.closed || e.ended {
		return e.failed("close", net.ErrClosed)
	}
	e.tell(Ends, nil)
	e.send(0, nil, io.EOF)
	e.ended = true
	return nil
}

// Reset breaks the connection.
func (e *end) Reset() {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	e.reset()
}

// reset is called with the lock held.
func (e *end) reset() {
	if e.closed {
		return
	}
	if !e.broken() {
		e.tell(Resets, nil)
		e.send(0, nil, errReset)
	}
	e.over()
}

func (e *end) over() {
	e.closed, e.in, e.held = true, nil, 0
	e.host.ends = slices.DeleteFunc(e.host.ends, func(x *end) bool { return x == e })
	e.net.changed.Broadcast()
}

// LocalAddr implements net.Conn.
func (e *end) LocalAddr() net.Addr { return e.addr }

// RemoteAddr implements net.Conn.
func (e *end) RemoteAddr() net.Addr { return e.peer.addr }

// SetDeadline implements net.Conn.
func (e *end) SetDeadline(t time.Time) error { return e.until(t, &e.readBy, &e.writeBy) }

// SetReadDeadline implements net.Conn.
func (e *end) SetReadDeadline(t time.Time) error { return e.until(t, &e.readBy) }

// SetWriteDeadline implements net.Conn.
func (e *end) SetWriteDeadline(t time.Time) error { return e.until(t, &e.writeBy) }

func (e *end) until(t time.Time, bounds ...*time.Time) error {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	if e.closed {
		return e.failed("set", net.ErrClosed)
	}
	for _, b := range bounds {
		*b = t
	}
	e.net.changed.Broadcast()
	return nil
}
