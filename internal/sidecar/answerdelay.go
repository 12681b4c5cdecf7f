package sidecar

import (
	"log/slog"
	"math"
	"sync"
	"time"
)

// delayHalfLife is the time in which an observed delay counts half as much.
const delayHalfLife = 2 * time.Second

// delayEstimate is the longest delay that was observed recently, older ones counting less. A nil estimate records nothing. It is safe for
// concurrent use.
type delayEstimate struct {
	mu     sync.Mutex
	delay  time.Duration
	at     time.Duration // clock time at which delay was observed
	logged time.Duration // longest delay since the last log line
}

// observe records a delay.
func (e *delayEstimate) observe(now, delay time.Duration) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.logged = max(e.logged, delay)
	if delay >= e.decayed(now) {
		e.delay, e.at = delay, now
	}
}

// current returns the estimate.
func (e *delayEstimate) current(now time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.decayed(now)
}

// decayed is current for a caller that holds mu.
func (e *delayEstimate) decayed(now time.Duration) time.Duration {
	return time.Duration(float64(e.delay) * math.Exp2(-float64(now-e.at)/float64(delayHalfLife)))
}

// attr returns the longest delay since the last call, as a log attribute.
func (e *delayEstimate) attr(name string) slog.Attr {
	e.mu.Lock()
	defer e.mu.Unlock()
	longest := e.logged
	e.logged = 0
	return millisecondsAttr(name, longest)
}

// maxDelayFraction is the fraction of a request's time by which it is answered sooner at most, because answers are delayed.
const maxDelayFraction = 0.25

// extraDelay returns how much longer than usual the answer to a request with so much time will take to its client: its timer is handled
// late, and its handler writes late.
func (d *dispatcher) extraDelay(timeLeft time.Duration) time.Duration {
	now := d.clock.now()
	delay := d.timerDelay.current(now) + d.answerDelay.current(now)
	return max(0, min(delay, time.Duration(maxDelayFraction*float64(timeLeft))))
}
