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

// clientConns is the listener for clients. It bounds their connections: at the limit it evicts some, see
// eviction.go, and accepts no more until there is capacity. A netutil.LimitListener would only wait.
type clientConns struct {
	net.Listener
	maxConns int

	mu            sync.Mutex
	changed       *sync.Cond // signals a change of anything below
	closed        bool
	paused        bool                      // another process accepts clients
	finishing     bool                      // each connection is to end, and no others are accepted once none waits
	idleSince     map[*framedConn]time.Time // since when connections carry no request; zero: they do
	evicting      map[*framedConn]bool      // connections that are being evicted
	evictionTimer *time.Timer               // tries again to evict; nil: never needed
	fullSince     time.Time                 // since when others may wait to be accepted; zero: none do

	lingering atomic.Bool // ends of connections wait for clients that may be about to send
	stopped   atomic.Bool // nothing is waited for any more
}

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
		if last && paused { // what waits is another process's
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
		case !errors.Is(err, os.ErrDeadlineExceeded): // see pause
			if !failing {
				logWarning(ofClients, "accepting a connection failed", err)
			}
			failing = true
			c.onAcceptError(begun)
		case last:
			if empty++; empty == 2 { // none waits
				return nil, net.ErrClosed
			}
		}
	}
}

// setAcceptDeadline bounds accepting, also a wait that is under way.
func (c *clientConns) setAcceptDeadline(at time.Time) {
	if l, ok := c.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = l.SetDeadline(at) // fails on a closed listener only, which accepts nothing
	}
}

// pause stops accepting until pause(false), and leaves the listener open: another process may share it.
func (c *clientConns) pause(on bool) {
	c.mu.Lock()
	c.paused = on
	c.mu.Unlock()
	var at time.Time
	if on {
		at = time.Unix(1, 0) // long ago: it wakes an Accept that waits
	}
	c.setAcceptDeadline(at)
	c.changed.Broadcast()
}

// isPaused tells whether another process accepts clients.
func (c *clientConns) isPaused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paused
}

// finish accepts what waits in the kernel's queue, which would be reset with the listener, and then closes
// the listener. Each connection ends once it is between requests.
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

// limit bounds the connections anew.
func (c *clientConns) limit(bound int) {
	c.mu.Lock()
	c.maxConns = max(bound, 1)
	c.mu.Unlock()
	c.changed.Broadcast()
}

func (c *clientConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idleSince)
}

// awaitNone waits until no connection is left, or after finish can come, but not longer than that.
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

// cancelEviction notes that a request has come on a connection that was to be evicted.
func (c *clientConns) cancelEviction(conn *framedConn) {
	c.mu.Lock()
	delete(c.evicting, conn)
	c.mu.Unlock()
	c.changed.Broadcast()
}

// endIdle ends all connections that have carried no request for atLeast.
func (c *clientConns) endIdle(atLeast time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if !since.IsZero() && time.Since(since) >= atLeast {
			conn.end()
		}
	}
}

// state follows the HTTP server's connections.
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
