package sidecar

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// clientConns is the listener for clients. It limits their connections: at the limit it evicts some (see eviction.go), and
// accepts no more until one has been closed. It is safe for concurrent use.
type clientConns struct {
	net.Listener
	maxConns int
	memory   *memoryAccount
	queue    *acceptQueue
	starts   *startQueue // where requests wait for the processor; nil if they do not wait

	headLines *rate.Limiter // limits the parsing of heads with many lines

	mu            sync.Mutex
	changed       *sync.Cond // wakes Accept and awaitNone, which then check the fields below again
	closed        bool
	paused        bool                      // another process accepts clients
	finishing     bool                      // every connection is to be closed, and the listener once its queue is empty
	idleSince     map[*framedConn]time.Time // since when each connection has been idle; zero while it carries a request
	evicting      map[*framedConn]bool      // connections that are being evicted
	evictionTimer *time.Timer               // wakes Accept to evict again; nil until first needed
	fullSince     time.Time                 // since when connections may be waiting to be accepted; zero if none are

	headsSearchedAt time.Time // when evictStalledHeads last searched

	lingering atomic.Bool // set after SIGTERM: every closed connection lingers, see framedConn.Close
	stopped   atomic.Bool // set at the end: connections are closed without lingering
}

// newClientConns returns a listener that limits the connections of l to maxConns, and to the memory of the account.
func newClientConns(l net.Listener, maxConns int, memory *memoryAccount) *clientConns {
	c := &clientConns{Listener: l, maxConns: maxConns, memory: memory, queue: newAcceptQueue(l, nil, startAccept), headLines: rate.NewLimiter(headLineRate, headLineBurst), idleSince: map[*framedConn]time.Time{}, evicting: map[*framedConn]bool{}}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// useStartQueue makes connections and requests wait for the processor. It is called before Accept.
func (c *clientConns) useStartQueue(starts *startQueue) {
	c.starts, c.queue.starts = starts, starts
}

// Accept implements net.Listener. At the limit it evicts connections, and waits until one has been closed.
func (c *clientConns) Accept() (net.Conn, error) {
	logged := false
	for timeouts := 0; ; {
		c.mu.Lock()
		for (c.paused && !c.finishing || c.full()) && !c.closed {
			if !c.paused {
				minIdle := time.Duration(0)
				if len(c.idleSince) < c.maxConns { // only memory is short, of which an idle connection keeps little
					minIdle = closableAfter
				}
				c.evict(minIdle)
				if c.fullSince.IsZero() {
					c.fullSince = time.Now()
				}
			}
			c.changed.Wait()
		}
		finishing, paused := c.finishing, c.paused
		c.mu.Unlock()
		if finishing && paused { // another process accepts from the queue
			return nil, net.ErrClosed
		}
		if finishing {
			c.setAcceptDeadline(time.Now().Add(acceptQueueTimeout))
		}
		start := time.Now()
		conn, err := c.queue.accept()
		switch {
		case err == nil:
			if conn == nil {
				continue
			}
			limitSendBuffer(conn)
			c.memory.charge(connectionMemory)
			return &framedConn{Conn: conn, connMemory: connectionMemory, arrivedAt: c.earliestArrival(start), queueEmptyAt: c.queue.emptyAt, acceptedAt: time.Now(), listener: c, toBeClosed: finishing, pipelined: make(chan struct{}, 1)}, nil
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case !errors.Is(err, os.ErrDeadlineExceeded): // pause and finish set deadlines
			if !logged {
				logWarning(componentClients, "accepting a connection failed", err)
			}
			logged = true
			c.onAcceptError(start)
		case finishing:
			if timeouts++; timeouts == 2 { // the queue is empty
				return nil, net.ErrClosed
			}
		}
	}
}

// clientSendBuffer is the number of bytes of an answer that the kernel holds for a client; it doubles the number for its own overhead.
// Left to itself it takes megabytes of a large answer for a client that reads slowly, as fast as the processor copies them.
const clientSendBuffer = 64 << 10

// limitSendBuffer limits what the kernel holds of an answer.
func limitSendBuffer(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(clientSendBuffer) // if it fails, only more is held
	}
}

// full reports whether no further connection can be accepted now. At least one is accepted whatever its memory. The caller holds mu.
func (c *clientConns) full() bool {
	return len(c.idleSince) >= c.maxConns || len(c.idleSince) > 0 && !c.memory.hasRoom(connectionMemory, useConnections)
}

// setAcceptDeadline sets the deadline of accepting, also for a call in progress.
func (c *clientConns) setAcceptDeadline(at time.Time) {
	if l, ok := c.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = l.SetDeadline(at) // fails on a closed listener only, which accepts nothing
	}
}

// pause stops or resumes accepting. The listener stays open, as another process may share its socket.
func (c *clientConns) pause(on bool) {
	c.mu.Lock()
	c.paused = on
	c.mu.Unlock()
	var at time.Time
	if on {
		at = time.Unix(1, 0) // in the past: ends an Accept in progress
	}
	c.setAcceptDeadline(at)
	c.changed.Broadcast()
}

// isPaused reports whether accepting is paused.
func (c *clientConns) isPaused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paused
}

// finish makes Accept accept the connections that are still in the kernel's queue, since closing the listener would reset them,
// and then fail with net.ErrClosed. Each connection is closed once it is between requests.
func (c *clientConns) finish() {
	c.mu.Lock()
	c.finishing = true
	for conn := range c.idleSince {
		conn.closeWhenIdle()
	}
	c.mu.Unlock()
	c.setAcceptDeadline(time.Now().Add(acceptQueueTimeout))
	c.changed.Broadcast()
}

// setLimit sets the limit of connections.
func (c *clientConns) setLimit(maxConns int) {
	c.mu.Lock()
	c.maxConns = max(maxConns, 1)
	c.mu.Unlock()
	c.changed.Broadcast()
}

// count returns the number of open connections.
func (c *clientConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idleSince)
}

// awaitNone blocks until no connection is open and, after finish, no more can be accepted, or until the timeout.
func (c *clientConns) awaitNone(timeout time.Duration) {
	expired := false
	timer := time.AfterFunc(timeout, func() {
		c.mu.Lock()
		expired = true
		c.mu.Unlock()
		c.changed.Broadcast()
	})
	defer timer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for (len(c.idleSince) > 0 || c.finishing && !c.closed) && !expired {
		c.changed.Wait()
	}
}

// Close implements net.Listener.
func (c *clientConns) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.changed.Broadcast()
	return c.Listener.Close()
}

// cancelEviction records that bytes have arrived on a connection, which is then no longer being evicted.
func (c *clientConns) cancelEviction(conn *framedConn) {
	c.mu.Lock()
	delete(c.evicting, conn)
	c.mu.Unlock()
	c.changed.Broadcast()
}

// closeIdle closes all connections that have been idle for minIdle or longer.
func (c *clientConns) closeIdle(minIdle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if !since.IsZero() && time.Since(since) >= minIdle {
			conn.closeWhenIdle()
		}
	}
}

// onConnState is the ConnState callback of the HTTP server.
func (c *clientConns) onConnState(netConn net.Conn, s http.ConnState) {
	conn, ok := netConn.(*framedConn)
	if !ok {
		return
	}
	conn.setActive(s == http.StateActive)
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateClosed {
		delete(c.evicting, conn)
	}
	switch s {
	case http.StateNew, http.StateIdle:
		c.idleSince[conn] = time.Now()
	case http.StateActive:
		c.idleSince[conn] = time.Time{}
	case http.StateClosed, http.StateHijacked:
		delete(c.idleSince, conn)
	}
	c.changed.Broadcast()
}
