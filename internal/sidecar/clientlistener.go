package sidecar

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// clientConns is the listener for clients. It limits their connections: at the limit it evicts some (see eviction.go), and
// accepts no more until one has been closed. Safe for concurrent use.
type clientConns struct {
	net.Listener
	maxConns int

	mu            sync.Mutex
	changed       *sync.Cond // signals a change of anything below
	closed        bool
	paused        bool                      // another process accepts clients
	finishing     bool                      // every connection is to be closed, and the listener once its queue is empty
	idleSince     map[*framedConn]time.Time // since when each connection carries no request; zero: it carries one
	evicting      map[*framedConn]bool      // connections that are being evicted
	evictionTimer *time.Timer               // wakes Accept to try again; nil: not needed yet
	fullSince     time.Time                 // since when connections may be waiting to be accepted; zero: none are

	lingering atomic.Bool // after SIGTERM: every close lingers
	stopped   atomic.Bool // no close lingers any more
}

// newClientConns returns a listener that limits the connections of l to bound.
func newClientConns(l net.Listener, bound int) *clientConns {
	c := &clientConns{Listener: l, maxConns: bound, idleSince: map[*framedConn]time.Time{}, evicting: map[*framedConn]bool{}}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Accept implements net.Listener. At the limit it evicts connections, and waits until one has gone.
func (c *clientConns) Accept() (net.Conn, error) {
	failing := false
	for empty := 0; ; {
		c.mu.Lock()
		for (c.paused && !c.finishing || len(c.idleSince) >= c.maxConns) && !c.closed {
			if !c.paused {
				c.evict()
				if c.fullSince.IsZero() {
					c.fullSince = time.Now()
				}
			}
			c.changed.Wait()
		}
		last, paused := c.finishing, c.paused
		c.mu.Unlock()
		if last && paused { // another process accepts from the queue
			return nil, net.ErrClosed
		}
		if last {
			c.setAcceptDeadline(time.Now().Add(acceptQueueTimeout))
		}
		begun := time.Now()
		conn, err := c.Listener.Accept()
		switch {
		case err == nil:
			return &framedConn{Conn: conn, arrivedAt: c.earliestArrival(begun), acceptedAt: time.Now(), listener: c, ending: last, pipelined: make(chan struct{}, 1)}, nil
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case !errors.Is(err, os.ErrDeadlineExceeded): // pause and finish set deadlines
			if !failing {
				logWarning(componentClients, "accepting a connection failed", err)
			}
			failing = true
			c.onAcceptError(begun)
		case last:
			if empty++; empty == 2 { // the queue is empty
				return nil, net.ErrClosed
			}
		}
	}
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
		at = time.Unix(1, 0) // in the past: wakes a waiting Accept
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

// finish has Accept accept the connections in the kernel's queue, which a closed listener would reset, and then fail with
// net.ErrClosed. Each connection is closed once it is between requests.
func (c *clientConns) finish() {
	c.mu.Lock()
	c.finishing = true
	for conn := range c.idleSince {
		conn.end()
	}
	c.mu.Unlock()
	c.setAcceptDeadline(time.Now().Add(acceptQueueTimeout))
	c.changed.Broadcast()
}

// limit sets the limit of connections.
func (c *clientConns) limit(bound int) {
	c.mu.Lock()
	c.maxConns = max(bound, 1)
	c.mu.Unlock()
	c.changed.Broadcast()
}

// count returns the number of open connections.
func (c *clientConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idleSince)
}

// awaitNone blocks until no connection is left, and after finish none can be accepted, or until the bound is over.
func (c *clientConns) awaitNone(bound time.Duration) {
	late := false
	timer := time.AfterFunc(bound, func() {
		c.mu.Lock()
		late = true
		c.mu.Unlock()
		c.changed.Broadcast()
	})
	defer timer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for (len(c.idleSince) > 0 || c.finishing && !c.closed) && !late {
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

// cancelEviction records that a request has arrived on a connection that was to be evicted.
func (c *clientConns) cancelEviction(conn *framedConn) {
	c.mu.Lock()
	delete(c.evicting, conn)
	c.mu.Unlock()
	c.changed.Broadcast()
}

// endIdle closes all connections that have carried no request for atLeast.
func (c *clientConns) endIdle(atLeast time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if !since.IsZero() && time.Since(since) >= atLeast {
			conn.end()
		}
	}
}

// state is the ConnState callback of the HTTP server.
func (c *clientConns) state(of net.Conn, s http.ConnState) {
	conn, ok := of.(*framedConn)
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
