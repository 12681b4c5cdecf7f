package sidecar

import "time"

// Who gives way when descriptors run short, see claim in conn.go. What costs no proper client anything goes first, and several at
// a time: a flood must hold up neither those who come beside it nor the error or the end that each of its own is owed. Of the
// connections that rest between requests for less than mayClose one goes at a time, the one that rests for longest: its client may
// be about to use it.

// goingMost is how many give way at once. Each takes a look of a millisecond and some processor time.
const goingMost = 16

// makeRoom has connections give way, with mu held. Where some could do so soon, it looks again then.
func (c *clientConns) makeRoom() {
	now := time.Now()
	for {
		conn, how, wait := c.poorest(now)
		switch {
		case conn == nil && wait == 0: // all are busy; whose client stalls shows with time
			c.lookIn(justOpened)
			return
		case conn == nil:
			c.lookIn(wait)
			return
		case how == answered && conn.cut():
			continue
		case len(c.going) >= goingMost || how == resting && len(c.going) > 0 && now.Sub(c.quiet[conn]) < mayClose:
			c.lookIn(lingerLeast)
			return
		}
		going := false
		if how == unused || how == resting {
			going = conn.makeRoom()
		} else {
			going = conn.cut()
		}
		if !going { // something has just come on it
			c.lookIn(lastLook)
			return
		}
		c.going[conn] = true
	}
}

// poorest is the connection of the poorest claim, the longest of them; wait: it is to come so soon that none with a better claim
// should give way before. A connection that rests for mayClose need not wait for that.
func (c *clientConns) poorest(now time.Time) (conn *framedConn, how claim, wait time.Duration) {
	type candidate struct {
		conn  *framedConn
		since time.Time
		left  time.Duration // until it may give way
	}
	var of [full]candidate
	for conn, quiet := range c.quiet {
		how, since, least := conn.claim()
		if how == full || c.going[conn] && how != answered || c.lingers.Load() && (how == slowHead || how == owedBody) {
			continue // after SIGTERM no request is cut off
		}
		if how == resting {
			since = quiet
		}
		one := candidate{conn, since, since.Add(least).Sub(now)}
		if best := &of[how]; !since.IsZero() && (best.conn == nil || one.left < best.left) {
			*best = one
		}
	}
	for i, one := range of {
		how := claim(i)
		switch {
		case one.conn == nil:
		case how >= resting && wait > 0 && !(how == resting && now.Sub(one.since) >= mayClose):
		case one.left <= 0:
			return one.conn, how, 0
		case wait == 0 || one.left < wait:
			wait = one.left
		}
	}
	return nil, full, wait
}

// lookIn has Accept look again after that time.
func (c *clientConns) lookIn(wait time.Duration) {
	if c.ripe == nil {
		c.ripe = time.AfterFunc(wait, c.room.Broadcast)
		return
	}
	c.ripe.Reset(wait)
}

// came tells when a connection that was accepted at once, or after a wait, can have come at the earliest.
func (c *clientConns) came(begun time.Time) time.Time {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(begun) >= queueLook { // nobody was there before
		c.full = time.Time{}
	}
	if c.full.IsZero() {
		return now
	}
	return c.full
}

// short makes room where a connection can't be accepted: for want of descriptors, say, whoever took them. The listener stands, so
// it is no reason to end, and accepting rests before it tries again.
func (c *clientConns) short(begun time.Time) {
	c.mu.Lock()
	c.makeRoom()
	if c.full.IsZero() {
		c.full = begun
	}
	c.mu.Unlock()
	time.Sleep(acceptRest)
}
