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
	// bodyStallTimeout is how long a body may stall, beyond what minBodyRate allows, while other clients wait for a descriptor.
	bodyStallTimeout   = 150 * time.Millisecond
	finalReadTimeout   = time.Millisecond       // time for reading a request that has already arrived when its connection is to be closed
	acceptQueueTimeout = 10 * time.Millisecond  // if Accept returns nothing for this long, the kernel's queue counts as empty; finish waits twice, since Accept's goroutine may run only after the first time-out
	maxLinger          = 100 * time.Millisecond // time for the client to close its side of a connection that the sidecar has closed
	minLinger          = 10 * time.Millisecond  // minimum of maxLinger while other clients wait for the descriptor; it is enough for the answer to arrive
	maxLingerBytes     = 1 << 20                // maximum number of bytes, in flight when the sidecar closed its side, that are discarded until the client closes too
	// firstRequestDelay is how long the first request of a connection waits under load: by then a client that leaves at once has left, and
	// nothing is begun for it.
	firstRequestDelay = time.Millisecond
	discardBytes      = 16 << 10 // number of bytes that are discarded before other work gets its turn
)

// connStage is how far the next request of a connection has been read.
type connStage int

const (
	betweenRequests connStage = iota // none of it has been read
	partialHead
	headComplete // all of its head, and maybe some of its body
)

// errHeadRefused is the error of a read whose head was refused. net/http closes the connection after it without an answer, as after a
// time-out.
var errHeadRefused error = &net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}

// framedConn is a client's connection. It is not closed while a partially read request is unanswered. Its sending side is
// closed first: otherwise unread bytes would make the kernel reset the connection and discard the answer. The HTTP server
// calls the methods of net.Conn; the other methods are safe for concurrent use.
type framedConn struct {
	net.Conn
	arrivedAt    time.Time // the earliest time at which it can have entered the kernel's accept queue
	queueEmptyAt time.Time // the latest time before its accept at which the kernel's queue is known to have been empty
	acceptedAt   time.Time
	listener     *clientConns
	framing      framing
	clientClosed atomic.Bool   // the client has closed it, or reading failed
	pipelined    chan struct{} // receives a value when bytes after the request in flight were read; net/http then stops reading. Has a buffer of one

	mu           sync.Mutex
	toBeClosed   bool // it is to be closed once it is between requests
	evicting     bool // toBeClosed is set only because the connection's descriptor is needed
	active       bool // net/http has a request in flight
	waiting      bool // the read in progress began between requests, so it waits for the next one
	stage        connStage
	readSince    time.Time     // when the read in progress began; zero if there is none
	headSince    time.Time     // when the first bytes of an incomplete head arrived
	bodyWait     time.Duration // total duration of the reads of the body in flight
	bodyBytes    int           // number of bytes of the body in flight that were read
	readDeadline time.Time     // the read deadline that net/http has set
	readCut      bool          // the read of the rest of a request was cut short
	closingSince time.Time     // when its sending side was closed; zero while it is open
	hasWritten   bool          // something was sent to the client
	connMemory   int64         // bytes reserved for the connection
	headMemory   int64         // bytes reserved for heads that net/http has not delivered
	headWait     chan struct{} // closed to end the wait of awaitHead; nil while it does not wait
	started      bool          // the request that is read has had its turn in the start queue
}

// Read implements net.Conn. It tracks the framing of requests, and lets a read that was cut short return the bytes that
// have arrived meanwhile.
func (c *framedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.waiting = !c.active && c.framing.stage() == betweenRequests
	c.readSince = time.Now()
	readingBody := c.framing.bodyIncomplete()
	readingHead := !c.active && !readingBody
	if !readingBody {
		c.bodyWait, c.bodyBytes = 0, 0
	}
	if c.waiting && c.toBeClosed {
		c.boundRead()
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if readingHead && c.awaitStart(n > 0) && n > 0 && hasEnded(c.Conn) {
		c.clientClosed.Store(true)
		return 0, io.EOF
	}
	c.mu.Lock()
	moreArrived := false
	if bounded := c.waiting && c.toBeClosed; bounded || c.readCut {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = c.readAvailable(p)
		}
		if n > 0 {
			moreArrived = true
			c.toBeClosed = c.toBeClosed && !c.evicting
			c.evicting, c.readCut = false, false
			_ = c.Conn.SetReadDeadline(c.readDeadline) // fails on a closed connection only
		}
	}
	if readingBody {
		c.bodyWait, c.bodyBytes = c.bodyWait+time.Since(c.readSince), c.bodyBytes+n
	}
	c.framing.scan(p[:n])
	if n > 0 && c.active && c.framing.pipelined() {
		wake(c.pipelined)
	}
	stage := c.framing.stage()
	if stage == partialHead && c.stage != partialHead {
		c.headSince = time.Now()
	}
	c.waiting, c.stage = false, stage
	missing, turn := c.reserveHead(), c.headTurn()
	if missing == 0 && turn == 0 {
		c.readSince = time.Time{}
	}
	c.mu.Unlock()
	if moreArrived {
		c.listener.cancelEviction(c)
	}
	if (missing > 0 || turn > 0) && !c.awaitHead(missing, turn) {
		return 0, errHeadRefused
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.clientClosed.Store(true)
	}
	return n, err
}

// awaitStart waits until the processor has time for the next request of the connection, or for more of its head. If no bytes have arrived,
// it waits for the time to close the connection. It reports whether it has waited.
func (c *framedConn) awaitStart(arrived bool) (waited bool) {
	starts := c.listener.starts
	if !arrived {
		return starts.await(startClose) > 0
	}
	class := startKept
	if c.framing.noRequest() {
		class = startFirst
		if waited = starts.isBusy(); waited {
			time.Sleep(firstRequestDelay)
		}
	}
	waited = starts.await(class) > 0 || waited
	c.mu.Lock()
	c.started = true
	c.mu.Unlock()
	return waited
}

// beginRequest waits like awaitStart for a request that came together with the one before, for which there was no wait.
func (c *framedConn) beginRequest() {
	c.mu.Lock()
	started := c.started
	c.started = false
	c.mu.Unlock()
	if !started {
		c.listener.starts.await(startKept)
	}
}

// readDelay returns how long the bytes that arrived last have waited to be read. The kernel's time of their arrival counts only as far as
// this process was busy, or the connection may have waited to be accepted.
func (c *framedConn) readDelay() time.Duration {
	most := c.listener.starts.maxReadDelay()
	if c.framing.firstRequest() {
		most += c.acceptedAt.Sub(c.queueEmptyAt)
	}
	if most == 0 {
		return 0
	}
	return min(most, sinceLastArrival(c.Conn))
}

// bodyArrival is how much has arrived of the body of the request in flight, in bytes.
type bodyArrival struct {
	read      int64 // read from the connection, without what came together with the head
	unread    int64 // arrived, but not read yet
	remaining int64 // not read yet, arrived or not; -1 if unknown
}

// bodyArrival returns how much has arrived of the body of the request in flight.
func (c *framedConn) bodyArrival() bodyArrival {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bodyArrival{read: int64(c.bodyBytes), unread: unread(c.Conn), remaining: c.framing.bodyRemaining()}
}

// clientProgress implements bodySource.
func (c *framedConn) clientProgress() (progress peerProgress, ok bool) { return progressOfPeer(c.Conn) }

// disconnected reports whether the client has closed the connection, or its sending side.
func (c *framedConn) disconnected() bool {
	if c.clientClosed.Load() {
		return true
	}
	_, end := pending(c.Conn)
	return end
}

// SetReadDeadline implements net.Conn for net/http. The deadline is stored, to be restored after an eviction that was
// cancelled. The deadline of a first request counts from arrivedAt, not acceptedAt, but leaves at least bodyStartTimeout after
// the accept.
func (c *framedConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.framing.noRequest() && c.acceptedAt.After(c.arrivedAt) && at.After(c.acceptedAt) {
		at = c.arrivedAt.Add(requestTimeout)
		if earliest := c.acceptedAt.Add(bodyStartTimeout); at.Before(earliest) {
			at = earliest
		}
	}
	c.readDeadline = at
	return c.Conn.SetReadDeadline(at)
}

// Write implements net.Conn.
func (c *framedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.hasWritten = true
	c.mu.Unlock()
	return n, err
}

// evictionClass orders connections for eviction, the lowest first.
type evictionClass int

const (
	classAnswered evictionClass = iota // its last answer has been sent, and only the client's close is awaited
	classUnused                        // it has never carried a request
	classSlowHead
	classIdle     // it has carried no request since its last answer
	classSlowBody // the body of its request in flight is incomplete
	classBusy     // a complete request is in flight, or the connection is already being evicted: it is not a candidate
)

// evictionClass returns the class of the connection, since when it has had this class, and how long it must have had it
// before it can be evicted.
func (c *framedConn) evictionClass() (class evictionClass, since time.Time, minAge time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	grace, stall := newConnGrace, bodyStallTimeout
	if c.framing.firstRequestOnly() && c.acceptedAt.Sub(c.arrivedAt) > newConnGrace { // it has already had newConnGrace in the accept queue
		grace, stall = minLinger, newConnGrace
	}
	switch {
	case c.readCut || c.evicting:
		return classBusy, since, 0
	case !c.closingSince.IsZero():
		return classAnswered, c.closingSince, minLinger
	case (c.active || c.stage == headComplete) && !c.readSince.IsZero() && c.framing.bodyIncomplete():
		return classSlowBody, c.readSince, stall + time.Duration(c.bodyBytes)*time.Second/minBodyRate - c.bodyWait
	case c.active || c.stage == headComplete:
		return classBusy, since, 0
	case c.stage == partialHead && !c.readSince.IsZero():
		return classSlowHead, c.headSince, grace
	case c.stage == partialHead:
		return classBusy, since, 0
	case c.framing.noRequest():
		return classUnused, c.acceptedAt, grace
	}
	return classIdle, since, 0
}

// closeWhenIdle makes the connection close once it is between requests, and reports whether it is between requests already.
// Requests that arrive before the close are answered.
func (c *framedConn) closeWhenIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.toBeClosed = true
	if c.waiting {
		c.boundRead()
	}
	return !c.active && c.stage == betweenRequests
}

// evict is closeWhenIdle for a connection whose descriptor is needed. Unlike there, the connection stays open if a request
// still arrives.
func (c *framedConn) evict() bool {
	c.mu.Lock()
	c.evicting = !c.toBeClosed // a connection that was to be closed before is closed in any case
	c.mu.Unlock()
	if c.closeWhenIdle() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.toBeClosed, c.evicting = c.toBeClosed && !c.evicting, false
	return false
}

// cutRead cuts short the read of the rest of a request, after which net/http closes the connection, or the handler answers
// that the request timed out. It returns false if no read is in progress, because bytes have just arrived.
func (c *framedConn) cutRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readSince.IsZero() {
		return false
	}
	c.readCut = true
	c.endHeadWait()
	_ = c.Conn.SetReadDeadline(time.Now()) // fails on a closed connection only
	return true
}

// boundRead sets a short deadline for the read of the next request, after which net/http closes the connection. A new
// connection that is not evicted has newConnGrace for its first request. The caller holds mu.
func (c *framedConn) boundRead() {
	deadline := time.Now().Add(finalReadTimeout)
	if graceEnd := c.acceptedAt.Add(newConnGrace); !c.evicting && c.framing.noRequest() && graceEnd.After(deadline) {
		deadline = graceEnd
	}
	_ = c.Conn.SetReadDeadline(deadline) // fails on a closed connection only
}

// readAvailable reads the bytes that have arrived, without blocking. It is needed because net.Conn's Read returns only the
// time-out once its deadline has passed, even if bytes have arrived.
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
		n, err = syscall.Read(int(fd), p) // package net's sockets are non-blocking
		return true
	})
	switch {
	case failed != nil:
		return 0, failed
	case errors.Is(err, syscall.EAGAIN):
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // later reads fail at once
		return 0, os.ErrDeadlineExceeded
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// setActive records whether net/http has a request in flight.
func (c *framedConn) setActive(on bool) {
	c.mu.Lock()
	c.active = on
	c.mu.Unlock()
}

// CloseWrite is called by net/http before it closes a connection on which more may arrive. net/http would then occupy the
// descriptor and all buffers for half a second, so that a flood of rejected connections would exclude other clients. So the
// connection is closed here and its goroutine ended; only its deferred calls still run.
func (c *framedConn) CloseWrite() error {
	_ = c.Close() // it is closed even if this fails
	runtime.Goexit()
	return nil
}

// Close implements net.Conn. A socket closed with unread bytes is reset, which discards an answer in flight. So the sending
// side is closed first, and bytes are discarded until the client closes, for up to maxLinger. A connection on which no
// answer was sent is closed at once, except after SIGTERM.
func (c *framedConn) Close() error {
	defer c.releaseMemory()
	c.mu.Lock()
	lingers := !c.clientClosed.Load() && c.closingSince.IsZero() && !c.listener.stopped.Load() && (c.listener.lingering.Load() || c.hasWritten)
	if lingers {
		c.closingSince = time.Now()
		c.readSince, c.readCut, c.evicting = c.closingSince, false, false
	}
	c.mu.Unlock()
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); lingers && ok && halfCloser.CloseWrite() == nil {
		c.mu.Lock()
		if !c.readCut {
			_ = c.Conn.SetReadDeadline(c.closingSince.Add(maxLinger)) // fails on a closed connection only
		}
		c.mu.Unlock()
		c.listener.changed.Broadcast() // Accept may need the descriptor
		c.listener.starts.discard(c.Conn, maxLingerBytes)
	}
	return c.Conn.Close()
}
