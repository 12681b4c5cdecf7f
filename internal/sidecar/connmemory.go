package sidecar

import (
	"net/http"
	"strconv"
	"time"
)

const (
	maxHeadWait          = time.Second           // longest wait of a head, before its request is refused
	headEvictionInterval = 10 * time.Millisecond // least time between searches for heads that keep memory and have stalled
	freeHeadLines        = 64                    // header lines of a head that do not count against headLineRate
	headLineRate         = 40_000                // header lines per second that are parsed, of all heads beyond freeHeadLines: other clients need the processor too
	headLineBurst        = 4 << 10               // the same at once; a read returns fewer
)

const memoryRefusedText = "refused: not done, trying again is harmless\n"

// headRefusal is the answer to a request whose head has waited too long.
var headRefusal = []byte("HTTP/1.1 " + strconv.Itoa(http.StatusServiceUnavailable) + " Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n" +
	"Content-Length: " + strconv.Itoa(len(memoryRefusedText)) + "\r\n\r\n" + memoryRefusedText)

// reserveHead reserves the memory of the heads that were read and not delivered, before net/http parses them. It returns the number of
// bytes for which there is no room. The caller is the reader, and holds mu.
func (c *framedConn) reserveHead() (missing int64) {
	need := c.framing.memory()
	missing = need - c.headMemory
	if missing <= 0 { // below 0 after a trailer
		c.listener.memory.release(-missing)
		c.headMemory = need
		return 0
	}
	if !c.listener.memory.tryReserve(missing, useHeads) {
		return missing
	}
	c.headMemory = need
	return 0
}

// headTurn returns how long the header lines that were read have to wait before they are parsed. The caller is the reader.
func (c *framedConn) headTurn() time.Duration {
	lines := c.framing.takeCostlyLines()
	if lines == 0 {
		return 0
	}
	turn := c.listener.headLines.ReserveN(time.Now(), lines)
	delay := turn.Delay()
	if delay > maxHeadWait { // the request is refused
		turn.Cancel()
	}
	return delay
}

// awaitHead waits until the header lines that were read may be parsed, and until the missing bytes are reserved for them. The read
// counts as in progress meanwhile, so that it can be cut short. If that lasts too long, it refuses the request; the connection is then to be
// closed. The caller is the reader.
func (c *framedConn) awaitHead(missing int64, turn time.Duration) (ok bool) {
	stop := make(chan struct{})
	c.mu.Lock()
	deadline := time.Now().Add(maxHeadWait)
	if !c.readDeadline.IsZero() && c.readDeadline.Before(deadline) {
		deadline = c.readDeadline
	}
	c.headWait = stop
	c.mu.Unlock()
	ok = turn <= maxHeadWait && sleep(turn, stop)
	if ok && missing > 0 {
		c.listener.evictStalledHeads()
		ok = c.listener.memory.reserve(missing, useHeads, time.Until(deadline), stop)
	}
	c.listener.starts.await(startFirst)
	c.mu.Lock()
	c.headWait, c.readSince = nil, time.Time{}
	if ok {
		c.headMemory += missing
	}
	c.mu.Unlock()
	if !ok {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails on a closed connection only
		_, _ = c.Write(headRefusal)                          // fails if the client has disconnected
	}
	return ok
}

// sleep waits, and returns false if stop is closed before.
func sleep(duration time.Duration, stop <-chan struct{}) bool {
	if duration == 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}

// endHeadWait ends a wait of awaitHead. The caller holds mu.
func (c *framedConn) endHeadWait() {
	if c.headWait != nil {
		close(c.headWait)
		c.headWait = nil
	}
}

// deliverHead returns the head of the request that net/http delivers now, and the memory that was reserved for it and belongs to the
// request from now on.
func (c *framedConn) deliverHead() (head readHead, reserved int64) {
	head = c.framing.nextHead()
	c.mu.Lock()
	defer c.mu.Unlock()
	reserved = min(head.size.partialMemory(), c.headMemory)
	c.headMemory -= reserved
	return head, reserved
}

// releaseMemory returns all that is reserved for the connection, once it has been closed.
func (c *framedConn) releaseMemory() {
	c.mu.Lock()
	reserved := c.headMemory + c.connMemory
	c.headMemory, c.connMemory = 0, 0
	c.endHeadWait()
	c.mu.Unlock()
	c.listener.memory.release(reserved)
}

// stalledHead returns since when the connection has an incomplete head that keeps memory while nothing more of it comes. ok is false if
// it has none.
func (c *framedConn) stalledHead() (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok = c.stage == partialHead && c.headMemory > 0 && c.headWait == nil && !c.readSince.IsZero() && !c.readCut
	return c.headSince, ok
}

// evictStalledHeads cuts off incomplete heads that keep memory and have stalled, because another head waits for memory.
func (c *clientConns) evictStalledHeads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.headsSearchedAt) < headEvictionInterval || c.lingering.Load() { // after SIGTERM no request is cut off
		return
	}
	c.headsSearchedAt = now
	cut := 0
	for conn := range c.idleSince {
		since, ok := conn.stalledHead()
		if ok && now.Sub(since) >= newConnGrace && conn.cutRead() {
			cut++
		}
		if cut == maxEvicting {
			return
		}
	}
}
