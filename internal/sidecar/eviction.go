package sidecar

import "time"

// Eviction of client connections when file descriptors run short, by evictionClass. Connections that no well-behaved client
// needs go first, up to maxEvicting at once, so that a flood delays neither other clients nor the answers to its own
// connections. Connections idle for less than closableAfter, which their clients may be about to use, are evicted one at a
// time, the one idle for longest first.

// maxEvicting is how many connections are evicted at once. Each takes finalReadTimeout and some processor time.
const maxEvicting = 16

// evict evicts connections, with mu held. If there is none to evict yet, it schedules another try.
func (c *clientConns) evict() {
	now := time.Now()
	for {
		conn, how, wait := c.evictionCandidate(now)
		switch {
		case conn == nil && wait == 0: // all are busy; a client that stalls shows later
			c.evictLater(newConnGrace)
			return
		case conn == nil:
			c.evictLater(wait)
			return
		case how == classAnswered && conn.cutRead():
			continue
		case len(c.evicting) >= maxEvicting || how == classIdle && len(c.evicting) > 0 && now.Sub(c.idleSince[conn]) < closableAfter:
			c.evictLater(minLinger)
			return
		}
		going := false
		if how == classUnused || how == classIdle {
			going = conn.evict()
		} else {
			going = conn.cutRead()
		}
		if !going { // a request has just arrived on it
			c.evictLater(finalReadTimeout)
			return
		}
		c.evicting[conn] = true
	}
}

// evictionCandidate returns the connection of the lowest eviction class, of those the one that has been in it for longest. If
// it can't be evicted yet, conn is nil and wait the time until then, for which none of a higher class is evicted either,
// except one that has been idle for closableAfter.
func (c *clientConns) evictionCandidate(now time.Time) (conn *framedConn, how evictionClass, wait time.Duration) {
	type candidate struct {
		conn  *framedConn
		since time.Time
		left  time.Duration // until it may be evicted
	}
	var of [classBusy]candidate
	for conn, quiet := range c.idleSince {
		how, since, atLeast := conn.evictionClass()
		if how == classBusy || c.evicting[conn] && how != classAnswered || c.lingering.Load() && (how == classSlowHead || how == classSlowBody) {
			continue // after SIGTERM no request is cut off
		}
		if how == classIdle {
			since = quiet
		}
		one := candidate{conn, since, since.Add(atLeast).Sub(now)}
		if best := &of[how]; !since.IsZero() && (best.conn == nil || one.left < best.left) {
			*best = one
		}
	}
	for i, one := range of {
		how := evictionClass(i)
		switch {
		case one.conn == nil:
		case how >= classIdle && wait > 0 && (how != classIdle || now.Sub(one.since) < closableAfter):
		case one.left <= 0:
			return one.conn, how, 0
		case wait == 0 || one.left < wait:
			wait = one.left
		}
	}
	return nil, classBusy, wait
}

// evictLater has Accept call evict again after that time.
func (c *clientConns) evictLater(wait time.Duration) {
	if c.evictionTimer == nil {
		c.evictionTimer = time.AfterFunc(wait, c.changed.Broadcast)
		return
	}
	c.evictionTimer.Reset(wait)
}

// earliestArrival returns the earliest time at which the connection that was just accepted can have arrived, given when
// the call of accept began.
func (c *clientConns) earliestArrival(begun time.Time) time.Time {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(begun) >= acceptQueueTimeout { // the queue was empty
		c.fullSince = time.Time{}
	}
	if c.fullSince.IsZero() {
		return now
	}
	return c.fullSince
}

// onAcceptError evicts connections when accepting fails, most likely for lack of file descriptors, and waits
// acceptRetryInterval. The listener is intact and accepts again.
func (c *clientConns) onAcceptError(begun time.Time) {
	c.mu.Lock()
	c.evict()
	if c.fullSince.IsZero() {
		c.fullSince = begun
	}
	c.mu.Unlock()
	time.Sleep(acceptRetryInterval)
}
