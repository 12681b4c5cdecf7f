package sidecar

import "time"

// Eviction of client connections when file descriptors run short, ordered by evictionClass. Connections that no
// well-behaved client needs are evicted first, up to maxEvicting at once, so that a flood delays neither other clients nor
// the answers to its own connections. Connections idle for less than closableAfter, which their clients may be about to
// use, are evicted one at a time, the one idle for longest first, and a few at a time while connections wait long.

// maxEvicting is how many connections are evicted at once. Each needs finalReadTimeout and some CPU time.
const maxEvicting = 16

// maxIdleEvicting is how many of them may be about to be used, if connections have waited long for a descriptor.
const maxIdleEvicting = 4

// evict evicts connections; the caller holds mu. If none can be evicted yet, it schedules another call. minIdle is how long a connection
// without a request must have been idle.
func (c *clientConns) evict(minIdle time.Duration) {
	now := time.Now()
	for {
		conn, class, wait := c.evictionCandidate(now, minIdle)
		switch {
		case conn == nil && wait == 0: // all are busy; a stalled client is detected later
			c.evictLater(newConnGrace)
			return
		case conn == nil:
			c.evictLater(wait)
			return
		case class == classAnswered && conn.cutRead():
			continue
		case len(c.evicting) >= maxEvicting || class == classIdle && len(c.evicting) >= c.idleEvictionLimit(now) && now.Sub(c.idleSince[conn]) < closableAfter:
			c.evictLater(minLinger)
			return
		}
		started := false
		if class == classUnused || class == classIdle {
			started = conn.evict()
		} else {
			started = conn.cutRead()
		}
		if !started { // a request has just arrived on it
			c.evictLater(finalReadTimeout)
			return
		}
		c.evicting[conn] = true
	}
}

// idleEvictionLimit returns how many connections are evicted at once that their clients may be about to use: more, if connections have waited
// so long for a descriptor that their requests may be late.
func (c *clientConns) idleEvictionLimit(now time.Time) int {
	if !c.fullSince.IsZero() && now.Sub(c.fullSince) >= newConnGrace {
		return maxIdleEvicting
	}
	return 1
}

// evictionCandidate returns the connection of the lowest eviction class that can be evicted now; within a class, the one that
// became evictable first. A connection that has been idle for less than closableAfter, or has a slow body, is not chosen if one
// of a lower class can be evicted later. If there is no candidate, conn is nil and wait is the time until there may be one.
func (c *clientConns) evictionCandidate(now time.Time, minIdle time.Duration) (conn *framedConn, class evictionClass, wait time.Duration) {
	type candidate struct {
		conn  *framedConn
		since time.Time
		wait  time.Duration // time until it may be evicted
	}
	var perClass [classBusy]candidate
	for conn, idleSince := range c.idleSince {
		class, since, minAge := conn.evictionClass()
		if class == classBusy || c.evicting[conn] && class != classAnswered || c.lingering.Load() && (class == classSlowHead || class == classSlowBody) {
			continue // after SIGTERM no request is cut off
		}
		if class == classIdle {
			since, minAge = idleSince, minIdle
		}
		cand := candidate{conn, since, since.Add(minAge).Sub(now)}
		if best := &perClass[class]; !since.IsZero() && (best.conn == nil || cand.wait < best.wait) {
			*best = cand
		}
	}
	for i, cand := range perClass {
		class := evictionClass(i)
		switch {
		case cand.conn == nil:
		case class >= classIdle && wait > 0 && (class != classIdle || now.Sub(cand.since) < closableAfter):
		case cand.wait <= 0:
			return cand.conn, class, 0
		case wait == 0 || cand.wait < wait:
			wait = cand.wait
		}
	}
	return nil, classBusy, wait
}

// evictLater makes Accept call evict again after wait.
func (c *clientConns) evictLater(wait time.Duration) {
	if c.evictionTimer == nil {
		c.evictionTimer = time.AfterFunc(wait, c.changed.Broadcast)
		return
	}
	c.evictionTimer.Reset(wait)
}

// earliestArrival returns the earliest time at which the connection that was just accepted can have arrived. acceptStart is
// the time at which the call of accept began.
func (c *clientConns) earliestArrival(acceptStart time.Time) time.Time {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(acceptStart) >= acceptQueueTimeout { // the queue was empty
		c.fullSince = time.Time{}
	}
	if c.fullSince.IsZero() {
		return now
	}
	return c.fullSince
}

// onAcceptError evicts connections when accepting fails, usually for lack of file descriptors, and waits
// acceptRetryInterval. The listener is intact and accepts again.
func (c *clientConns) onAcceptError(acceptStart time.Time) {
	c.mu.Lock()
	c.evict(0)
	if c.fullSince.IsZero() {
		c.fullSince = acceptStart
	}
	c.mu.Unlock()
	time.Sleep(acceptRetryInterval)
}
