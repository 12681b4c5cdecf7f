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
	// bodyStall is how long bodies may keep us waiting while others wait for the descriptor, beside what bodyRate allows.
	bodyStall   = 150 * time.Millisecond
	lastLook    = time.Millisecond       // for a request that is here already when its connection is to end
	queueLook   = 10 * time.Millisecond  // for a connection in the kernel's queue; twice, as a goroutine may be late
	lingerMost  = 100 * time.Millisecond // for the client to close its side
	lingerLeast = 10 * time.Millisecond  // the same where others wait for its descriptor: its answer and its end are with it by then
	lingerRead  = 1 << 20                // bytes read away meanwhile: what was on its way when the client could see the end
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
	accepted time.Time // when it can have come at the earliest: it may have waited to be accepted
	taken    time.Time // when it was accepted
	all      *clientConns
	f        framing
	gone     atomic.Bool   // nothing more can come
	ahead    chan struct{} // holds one: something was read behind the request in hand, and the library reads no further

	mu      sync.Mutex
	ending  bool // it is to end between requests
	room    bool // only to make room
	active  bool // the library has a request in hand
	waiting bool // a read is under way that can only bring the next request
	read    connStage
	reading time.Time     // since when a read is under way; zero: none is
	head    time.Time     // when the first bytes of a head came, of which more is owed
	waited  time.Duration // for the body in hand, in reads
	came    int           // of it, meanwhile
	until   time.Time     // the library's bound on reads
	cutting bool          // the rest of a request is waited for no longer
	closing time.Time     // since when nothing more is sent; zero: not yet
	wrote   bool
}

func (c *framedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.waiting = !c.active && c.f.stage() == between
	c.reading = time.Now()
	body := c.f.owing()
	if !body {
		c.waited, c.came = 0, 0
	}
	if c.waiting && c.ending {
		c.look()
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	stays := false
	if told := c.waiting && c.ending; told || c.cutting {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = c.atOnce(p)
		}
		if n > 0 { // more has come after all
			stays = true
			c.ending = c.ending && !c.room
			c.room, c.cutting = false, false
			_ = c.Conn.SetReadDeadline(c.until) // as the library had it; else the next read shows it
		}
	}
	if body {
		c.waited, c.came = c.waited+time.Since(c.reading), c.came+n
	}
	c.f.scan(p[:n])
	if n > 0 && c.active && c.f.beyond() {
		select {
		case c.ahead <- struct{}{}:
		default:
		}
	}
	now := c.f.stage()
	if now == halfHead && c.read != halfHead {
		c.head = time.Now()
	}
	c.waiting, c.read, c.reading = false, now, time.Time{}
	c.mu.Unlock()
	if stays {
		c.all.stays(c)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.gone.Store(true)
	}
	return n, err
}

// left tells whether the client has closed the connection, or its sending.
func (c *framedConn) left() bool {
	if c.gone.Load() {
		return true
	}
	_, end := pending(c.Conn)
	return end
}

// SetReadDeadline is the library's. What is set beside it is taken back to it: a peer that was nearly ended has no more time
// than before. A first head's time counts from the connecting, as far as that is known.
func (c *framedConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.f.none() && c.taken.After(c.accepted) && at.After(c.taken) {
		at = c.accepted.Add(sendPatience)
		if least := c.taken.Add(bodyPatience); at.Before(least) {
			at = least
		}
	}
	c.until = at
	return c.Conn.SetReadDeadline(at)
}

func (c *framedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.wrote = true
	c.mu.Unlock()
	return n, err
}

// claim is how good a connection's claim is on its descriptor once others wait for one, the poorest first.
type claim int

const (
	answered claim = iota // its last answer has gone, and only the client's end is waited for
	unused                // it has never brought a request
	slowHead
	resting  // since its last answer
	owedBody // of a request that is in hand, and of which the client owes more
	full     // a request is in hand whole, or the end is near
)

// claim tells how the connection stands, since when, and how long it may do so at the least.
func (c *framedConn) claim() (how claim, since time.Time, least time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	young, stall := justOpened, bodyStall
	if c.f.fresh() && c.taken.Sub(c.accepted) > justOpened { // what it was about to send has come while it waited
		young, stall = lingerLeast, justOpened
	}
	switch {
	case c.cutting || c.room:
		return full, since, 0
	case !c.closing.IsZero():
		return answered, c.closing, lingerLeast
	case (c.active || c.read == inHand) && !c.reading.IsZero() && c.f.owing():
		return owedBody, c.reading, stall + time.Duration(c.came)*time.Second/bodyRate - c.waited
	case c.active || c.read == inHand:
		return full, since, 0
	case c.read == halfHead && !c.reading.IsZero():
		return slowHead, c.head, young
	case c.read == halfHead:
		return full, since, 0
	case c.f.none():
		return unused, c.taken, young
	}
	return resting, since, 0
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

// makeRoom is end for a connection that another is to take the place of. Where a request comes after all, it stays.
func (c *framedConn) makeRoom() bool {
	c.mu.Lock()
	c.room = !c.ending // else it is to end in any case
	c.mu.Unlock()
	if c.end() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending, c.room = c.ending && !c.room, false
	return false
}

// cut ends the read that waits for the rest of a request: the library closes the connection, or answers that the request did
// not come in time. False: something has come just now.
func (c *framedConn) cut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading.IsZero() {
		return false
	}
	c.cutting = true
	_ = c.Conn.SetReadDeadline(time.Now()) // fails on a closed connection only
	return true
}

// look bounds the read that waits for the next request: the library closes the connection where it brings none. One that is new
// has its time to bring the first; to make room only those are told that have had it.
func (c *framedConn) look() {
	until := time.Now().Add(lastLook)
	if young := c.taken.Add(justOpened); !c.room && c.f.none() && young.After(until) {
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
	owed := !c.gone.Load() && c.closing.IsZero() && !c.all.over.Load() && (c.all.lingers.Load() || c.wrote)
	if owed {
		c.closing = time.Now()
		c.reading, c.cutting, c.room = c.closing, false, false
	}
	c.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); owed && ok && half.CloseWrite() == nil {
		c.mu.Lock()
		if !c.cutting {
			_ = c.Conn.SetReadDeadline(c.closing.Add(lingerMost)) // fails on a closed connection only
		}
		c.mu.Unlock()
		c.all.room.Broadcast()                          // where room is needed, it is cut short
		_, _ = io.CopyN(io.Discard, c.Conn, lingerRead) // an end of any kind is as good
	}
	return c.Conn.Close()
}
