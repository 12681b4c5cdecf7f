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
	lastLook   = time.Millisecond       // for a request that is here already when its connection is to end
	queueLook  = 10 * time.Millisecond  // for a connection in the kernel's queue; twice, as a goroutine may be late
	lingerMost = 100 * time.Millisecond // for the client to close its side
	lingerRead = 1 << 20                // bytes read away meanwhile: what was on its way when the client could see the end
)

// connStage is how far the next request of a connection has come.
type connStage int

const (
	between connStage = iota // nothing of it was read
	halfHead
	inHand // its head was read whole, at least
)

// framedConn is a client's connection. It ends in order: never while some of a request was read that has no answer yet,
// and with its sending first, so that what crosses the end does not make the kernel reset it, and take an answer with it.
type framedConn struct {
	net.Conn
	accepted time.Time
	all      *clientConns
	f        framing
	gone     atomic.Bool // nothing more can come

	mu      sync.Mutex
	ending  bool // it is to end between requests
	active  bool // the library has a request in hand
	waiting bool // a read is under way that can only bring the next request
	read    connStage
	closing bool // nothing more is sent
	wrote   bool
}

func (c *framedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.waiting = !c.active && c.f.stage() == between
	if c.waiting && c.ending {
		c.look()
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if c.waiting && c.ending && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.atOnce(p)
	}
	stays := n > 0 && c.waiting && c.ending // a request has come after all
	if stays {
		_ = c.Conn.SetReadDeadline(time.Now().Add(sendPatience)) // as the library had it; else the next read shows it
	}
	c.f.scan(p[:n])
	c.waiting, c.read = false, c.f.stage()
	c.mu.Unlock()
	if stays {
		c.all.stays(c)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.gone.Store(true)
	}
	return n, err
}

func (c *framedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.wrote = true
	c.mu.Unlock()
	return n, err
}

// stage tells where the connection is, as far as it was read.
func (c *framedConn) stage() connStage {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active {
		return inHand
	}
	return c.read
}

// end has the connection closed once it is between requests, and tells whether it is. What has come until then is answered.
func (c *framedConn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if c.waiting {
		c.look()
	}
	return !c.active && c.read == between
}

// look bounds the read that waits for the next request: the library closes the connection where it brings none.
func (c *framedConn) look() {
	until := time.Now().Add(lastLook)
	if young := c.accepted.Add(justOpened); c.f.none() && young.After(until) {
		until = young
	}
	_ = c.Conn.SetReadDeadline(until) // fails on a closed connection only
}

// atOnce reads what is there. A read whose time is up does not look, and its goroutine may have been late.
func (c *framedConn) atOnce(p []byte) (n int, err error) {
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

// CloseWrite is the library's before it closes a connection on which more may come. It would then wait for half a second, with
// the descriptor and all buffers in hand: under a flood of peers that are turned away nobody else would get in. So the connection
// is closed here, and its goroutine ends; its deferred calls are all that is left to be done.
func (c *framedConn) CloseWrite() error {
	_ = c.Close() // whatever it says, the connection is gone
	runtime.Goexit()
	return nil
}

// Close closes in order: a socket that is closed with bytes unread is reset, and an answer that is still on its way is lost. So the
// sending ends first, and what comes is read away, unseen by the library, until the client closes. Where no answer was ever sent
// there is nothing to lose by a reset, but after SIGTERM.
func (c *framedConn) Close() error {
	c.mu.Lock()
	owed := !c.gone.Load() && !c.closing && !c.all.over.Load() && (c.all.lingers.Load() || c.wrote)
	if owed {
		c.closing = true
	}
	c.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); owed && ok && half.CloseWrite() == nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerMost)) // fails on a closed connection only
		_, _ = io.CopyN(io.Discard, c.Conn, lingerRead)        // an end of any kind is as good
	}
	return c.Conn.Close()
}
