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

// clientConns is the listener for clients. It bounds their connections: at the limit it has others give way, see room.go, and
// accepts no more until there is room. A netutil.LimitListener would only wait.
type clientConns struct {
	net.Listener
	most int

	mu     sync.Mutex
	room   *sync.Cond
	closed bool
	paused bool                      // another process takes clients
	last   bool                      // each connection is to end, and no others are to be had once none waits
	quiet  map[*framedConn]time.Time // between requests, since when; zero: busy
	going  map[*framedConn]bool      // told to make room, and have not yet
	ripe   *time.Timer               // looks again for what may give way; nil: never needed
	full   time.Time                 // since when others may wait to be accepted; zero: none do

	lingers atomic.Bool // the connections' ends wait for clients that may be about to send
	over    atomic.Bool // nothing is waited for any more
}

func newClientConns(l net.Listener, most int) *clientConns {
	c := &clientConns{Listener: l, most: most, quiet: map[*framedConn]time.Time{}, going: map[*framedConn]bool{}}
	c.room = sync.NewCond(&c.mu)
	return c
}

func (c *clientConns) Accept() (net.Conn, error) {
	failing := false
	for empty := 0; ; {
		c.mu.Lock()
		for (c.paused && !c.last || len(c.quiet) >= c.most) && !c.closed {
			if !c.paused {
				c.makeRoom()
				if c.full.IsZero() {
					c.full = time.Now()
				}
			}
			c.room.Wait()
		}
		last, paused := c.last, c.paused
		c.mu.Unlock()
		if last && paused { // what waits is another process's
			return nil, net.ErrClosed
		}
		if last {
			c.deadline(time.Now().Add(queueLook))
		}
		begun := time.Now()
		conn, err := c.Listener.Accept()
		switch {
		case err == nil:
			return &framedConn{Conn: conn, accepted: c.came(begun), taken: time.Now(), all: c, ending: last, ahead: make(chan struct{}, 1)}, nil
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case !errors.Is(err, os.ErrDeadlineExceeded): // see pause
			if !failing {
				warn(ofClients, "accepting", err)
			}
			failing = true
			c.short(begun)
		case last:
			if empty++; empty == 2 { // none waits
				return nil, net.ErrClosed
			}
		}
	}
}

// deadline bounds accepting: the wait that is under way, too.
func (c *clientConns) deadline(at time.Time) {
	if l, ok := c.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = l.SetDeadline(at) // fails on a closed listener only, which accepts nothing
	}
}

// pause ends accepting until pause(false), and leaves the listener open: another process may hold it too.
func (c *clientConns) pause(on bool) {
	c.mu.Lock()
	c.paused = on
	c.mu.Unlock()
	var at time.Time
	if on {
		at = time.Unix(1, 0) // long ago: it wakes an Accept that waits
	}
	c.deadline(at)
	c.room.Broadcast()
}

// pausing tells whether another process takes clients.
func (c *clientConns) pausing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paused
}

// finish takes what waits in the kernel's queue, which would be reset with the listener, and then closes that. Each
// connection ends once it is between requests.
func (c *clientConns) finish() {
	c.mu.Lock()
	c.last = true
	for conn := range c.quiet {
		conn.end()
	}
	c.mu.Unlock()
	c.deadline(time.Now().Add(queueLook))
	c.room.Broadcast()
}

// limit bounds the connections anew.
func (c *clientConns) limit(most int) {
	c.mu.Lock()
	c.most = max(most, 1)
	c.mu.Unlock()
	c.room.Broadcast()
}

func (c *clientConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.quiet)
}

// awaitNone waits until no connection is left, or after finish can come, but not longer than that.
func (c *clientConns) awaitNone(most time.Duration) {
	late := false
	timer := time.AfterFunc(most, func() {
		c.mu.Lock()
		late = true
		c.mu.Unlock()
		c.room.Broadcast()
	})
	defer timer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for (len(c.quiet) > 0 || c.last && !c.closed) && !late {
		c.room.Wait()
	}
}

func (c *clientConns) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.room.Broadcast()
	return c.Listener.Close()
}

// stays says that a request has come on a connection that was told to end.
func (c *clientConns) stays(conn *framedConn) {
	c.mu.Lock()
	delete(c.going, conn)
	c.mu.Unlock()
	c.room.Broadcast()
}

// endQuiet ends all connections that have carried no request for that long.
func (c *clientConns) endQuiet(least time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.quiet {
		if !since.IsZero() && time.Since(since) >= least {
			conn.end()
		}
	}
}

// state follows the server's connections.
func (c *clientConns) state(of net.Conn, s http.ConnState) {
	conn, ok := of.(*framedConn)
	if !ok {
		return
	}
	conn.setActive(s == http.StateActive)
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateClosed {
		delete(c.going, conn)
	}
	switch s {
	case http.StateNew, http.StateIdle:
		c.quiet[conn] = time.Now()
	case http.StateActive:
		c.quiet[conn] = time.Time{}
	case http.StateClosed, http.StateHijacked:
		delete(c.quiet, conn)
	}
	c.room.Broadcast()
}
