package sidecar

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxClientSendBuffer is the largest number of bytes that a client can have written although they have not arrived here: the
	// size to which Linux lets a send buffer grow, unless it is configured otherwise (tcp_wmem).
	maxClientSendBuffer = 4 << 20
	// minBodyObservations is for how many observations' time a request goes on at least while its body is received, so that a single
	// one does not end it.
	minBodyObservations = 5
	// A connection is observed so many times in the client's time-out, within the two intervals.
	bodyObservations           = 10
	minBodyObservationInterval = 5 * time.Millisecond
	maxBodyObservationInterval = disconnectPollInterval
	// arrivalStep is how many bytes of a body have to arrive between two observations that are kept.
	arrivalStep = 32 << 10
	// maxReadBytes is an upper bound of the bytes that a read in progress has taken and that still count as remaining.
	maxReadBytes = 128 << 10
)

// bodyTimer determines since when a client may be waiting for the answer to a request whose body is received only as fast as
// an upstream takes it. That is when it has written the last byte, which may be long before an attempt reads that byte. The
// client's connection is observed every interval. It is safe for concurrent use.
type bodyTimer struct {
	conn     bodySource
	clock    clock
	timeout  time.Duration // the client's time-out
	interval time.Duration // time between observations

	observing atomic.Bool // an observation is in progress

	mu          sync.Mutex
	unwrittenAt time.Duration // the latest clock time at which the last byte was observed to be unwritten
	written     int64         // bytes that the client had written by the latest observation of them
	arrivals    arrivalLog    // used if it is unknown what the client has written
}

// bodySource is the connection on which a body is received.
type bodySource interface {
	bodyArrival() bodyArrival
	// clientProgress returns what the client has written to the connection, or false if that is unknown.
	clientProgress() (progress peerProgress, ok bool)
	// readDelay returns how long the bytes that arrived last have waited to be read, as far as that is certain.
	readDelay() time.Duration
}

func newBodyTimer(conn bodySource, clk clock, timeout time.Duration) *bodyTimer {
	interval := min(max(timeout/bodyObservations, minBodyObservationInterval), maxBodyObservationInterval)
	return &bodyTimer{conn: conn, clock: clk, timeout: timeout, interval: interval, unwrittenAt: clk.now()}
}

// observe looks at the client's connection, unless an observation is in progress. It may wait for the kernel.
func (t *bodyTimer) observe() {
	if t.observing.Swap(true) {
		return
	}
	defer t.observing.Store(false)
	now, arrival := t.clock.now(), t.conn.bodyArrival()
	progress, known := peerProgress{}, false
	if arrival.remaining != 0 && arrival.unread != 0 { // without mu, as others need the result of the observation before
		progress, known = t.conn.clientProgress()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals.add(now, arrival)
	t.unwrittenAt = max(t.unwrittenAt, t.latestUnwritten(now, arrival, progress, known))
}

// latestUnwritten returns the latest clock time at which it is now certain that the client had not written the last byte of its
// body, or 0 if the observation shows none. known reports whether the progress of the client is known. The caller holds mu.
func (t *bodyTimer) latestUnwritten(now time.Duration, arrival bodyArrival, progress peerProgress, known bool) time.Duration {
	switch {
	case arrival.remaining == 0:
		return 0
	case arrival.unread == 0: // nothing keeps the client from sending what it has written
		return now
	}
	notArrived := arrival.remaining - arrival.unread // negative if the length is unknown
	switch {
	case known && (progress.written > t.written || notArrived > progress.queued+maxReadBytes):
		t.written = progress.written
		return now
	case known:
		return 0
	case notArrived > maxClientSendBuffer:
		return now
	}
	return t.arrivals.latestUnwritten
}

// arrivalLog derives from what arrives of a body when its last byte was certainly unwritten. It holds the observations after which
// at most maxClientSendBuffer bytes have arrived: these bytes may have been written before.
type arrivalLog struct {
	latest          bodyArrival // the latest observation
	idle            int         // number of observations in a row before which nothing was read
	pending         []arrivalObservation
	latestUnwritten time.Duration // clock time; 0 if there is none
}

// arrivalObservation is how many bytes of a body had arrived at a clock time, the latest at which it was so.
type arrivalObservation struct {
	at       time.Duration
	received int64
}

// add records an observation. Those that are less than arrivalStep apart count as one, with the time of the first bytes.
func (l *arrivalLog) add(now time.Duration, arrival bodyArrival) {
	received := arrival.read + arrival.unread
	if l.idle++; arrival.read != l.latest.read {
		l.idle = 0
	}
	// What takes the place of bytes that were read may come after the read, but within one interval. What comes later came into free
	// space, in which there was room for all that the client had written before.
	if grown := received > l.latest.read+l.latest.unread; grown && l.idle > 1 {
		l.latestUnwritten = now
	}
	l.latest = arrival
	switch n := len(l.pending); {
	case n > 0 && received == l.pending[n-1].received:
		l.pending[n-1].at = now
	case n == 0 || received >= l.pending[n-1].received+arrivalStep:
		l.pending = append(l.pending, arrivalObservation{now, received})
	}
	for received-l.pending[0].received > maxClientSendBuffer {
		l.latestUnwritten = max(l.latestUnwritten, l.pending[0].at)
		l.pending = l.pending[1:]
	}
}

// expiresAt returns the clock time at which the client stops waiting, provided that it has written its last byte.
func (t *bodyTimer) expiresAt() time.Duration {
	arrivedAt := t.clock.now() - t.conn.readDelay()
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(min(arrivedAt, t.unwrittenAt+t.interval), t.unwrittenAt) + t.timeout
}

// expired reports whether the client may stop waiting before the next observation.
func (t *bodyTimer) expired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.now()-t.unwrittenAt >= max(t.timeout-t.interval, minBodyObservations*t.interval)
}

// sinceUnwritten returns the time since the last byte was last observed to be unwritten.
func (t *bodyTimer) sinceUnwritten() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.now() - t.unwrittenAt
}
