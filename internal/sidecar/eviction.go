package sidecar

import "time"

// Which connections are evicted when descriptors run short, see evictionClass. What costs no proper client
// anything goes first, and several at a time: a flood must delay neither other clients nor the error or the
// close that each of its own connections is owed. Of connections that are idle for less than closableAfter
// one is evicted at a time, the one idle for longest: its client may be about to use it.

// maxEvicting is how many connections are evicted at once. Each takes a check of a millisecond and some
// processor time.
const maxEvicting = 16

// evict evicts connections, with mu held. If some can be evicted soon only, it tries again then.
func (c *clientConns) evict() {
	now := time.Now()
	for {
		conn, how, wait := c.evictionCandidate(now)
		switch {
		case conn == nil && wait == 0: // all are busy; whose client stalls shows with time
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
		if !going { // something has just come on it
			c.evictLater(finalReadTimeout)
			return
		}
		c.evicting[conn] = true
	}
}

// evictionCandidate is the connection of the lowest eviction class, the longest of them; wait: it comes so
// soon that none of a higher class should be evicted before. A connection that is idle for closableAfter need
// not wait for that.
func (c *clientConns) evictionCandidate(now time.Time) (conn *framedConn, how evictionClass, wait time.Duration) {
	type candidate struct {
		conn  *framedConn
		since time.Time
		left  time.Duration // until it may are evicted
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

// evictLater has Accept try again after that time.
func (c *clientConns) evictLater(wait time.Duration) {
	if c.evictionTimer == nil {
		c.evictionTimer = time.AfterFunc(wait, c.changed.Broadcast)
		return
	}
	c.evictionTimer.Reset(wait)
}

// earliestArrival is when a connection that was accepted at once, or after a wait, can have come at the
// earliest.
func (c *clientConns) earliestArrival(begun time.Time) time.Time {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(begun) >= acceptQueueTimeout { // nobody was there before
		c.fullSince = time.Time{}
	}
	if c.fullSince.IsZero() {
		return now
	}
	return c.fullSince
}

// onAcceptError evicts connections when accepting fails: for want of descriptors, say, whoever took them. The
// listener is intact, so it is no reason to end, and accepting pauses before the next attempt.
func (c *clientConns) onAcceptError(begun time.Time) {
	c.mu.Lock()
	c.evict()
	if c.fullSince.IsZero() {
		c.fullSince = begun
	}
	c.mu.Unlock()
	time.Sleep(acceptRetryInterval)
}
