package sidecar

import (
	"sync"
	"time"
)

const (
	// maxClientSendBuffer is the largest number of bytes that a client can have written although they have not arrived here: the
	// size to which Linux lets a send buffer grow, unless it is configured otherwise (tcp_wmem).
	maxClientSendBuffer = 4 << 20
	// minBodyTime is the least time that a request has while its body is received. It covers several observations, so that a
	// single one does not end the request; it may be longer than the client's time-out, since an answer may be 0.5 s late.
	minBodyTime = 250 * time.Millisecond
)

// bodyTimer determines since when a client may be waiting for the answer to a request whose body is received only as fast as
// an upstream takes it. That is when it has written the last byte, which may be long before an attempt reads that byte. The
// timer observes the client's connection every disconnectPollInterval. It is safe for concurrent use.
type bodyTimer struct {
	conn    *framedConn
	clock   clock
	timeout time.Duration // the client's time-out

	mu          sync.Mutex
	unwrittenAt time.Duration // the latest clock time at which the last byte was observed to be unwritten
	received    int64         // bytes of the body that had arrived by the latest observation
}

func newBodyTimer(conn *framedConn, clk clock, timeout time.Duration) *bodyTimer {
	return &bodyTimer{conn: conn, clock: clk, timeout: timeout, unwrittenAt: clk.now()}
}

// observe looks at the client's connection.
func (t *bodyTimer) observe() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.now()
	if t.lastByteUnwritten(t.conn.bodyArrival()) {
		t.unwrittenAt = now
	}
}

// lastByteUnwritten reports whether it is certain that the client has not written the last byte of its body. The caller holds mu.
func (t *bodyTimer) lastByteUnwritten(arrival bodyArrival) bool {
	received := arrival.read + arrival.unread
	grown := received > t.received
	t.received = received
	switch {
	case arrival.remaining == 0:
		return false
	case arrival.unread == 0: // nothing keeps the client from sending what it has written
		return true
	case arrival.remaining < 0: // a client that is no longer sending may have reached the end
		return grown
	}
	return arrival.remaining-arrival.unread > maxClientSendBuffer
}

// expiresAt returns the clock time at which the client stops waiting, provided that it has written its last byte.
func (t *bodyTimer) expiresAt() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(t.clock.now(), t.unwrittenAt+disconnectPollInterval) + t.timeout
}

// expired reports whether the client may stop waiting before the next observation.
func (t *bodyTimer) expired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.now()-t.unwrittenAt >= max(t.timeout-disconnectPollInterval, minBodyTime)
}

// sinceUnwritten returns the time since the last byte was last observed to be unwritten.
func (t *bodyTimer) sinceUnwritten() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.now() - t.unwrittenAt
}
