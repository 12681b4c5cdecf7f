package client

import (
	"context"
	"math/rand/v2"
	"time"
)

// Settings of the back-off.
const (
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second
	retryBurst     = 6                // maximum number of retries in the budget
	retryRefill    = 2 * time.Second  // time in which the budget regains one retry
	backoffReset   = 10 * time.Second // time without a failure after which the back-off starts over
)

// backoff spaces the attempts of one call or watch. It is exponential with full jitter, so that the clients of a fleet don't
// return at once, and limited by a retry budget, so that they don't overload a service that fails every attempt.
// The zero value is ready to use. It is not safe for concurrent use.
type backoff struct {
	failures    int
	lastFailure time.Time
	tokens      float64
}

// next returns the wait after a failure at the time now; random is a random number in [0, 1).
func (b *backoff) next(now time.Time, random float64) time.Duration {
	if b.lastFailure.IsZero() {
		b.tokens = retryBurst
	} else {
		gap := now.Sub(b.lastFailure)
		b.tokens = min(retryBurst, b.tokens+float64(gap)/float64(retryRefill))
		if gap > backoffReset {
			b.failures = 0
		}
	}
	b.lastFailure = now
	limit := min(initialBackoff<<min(b.failures, 10), maxBackoff)
	b.failures++
	wait := time.Duration(random * float64(limit))
	b.tokens = max(b.tokens-1, -retryBurst) // bounds the debt of callers that wait less than next returns, as watches do
	if b.tokens < 0 {
		wait = max(wait, time.Duration(-b.tokens*(0.5+random)*float64(retryRefill)))
	}
	return min(wait, 2*maxBackoff)
}

// wait blocks until the next attempt is due. It returns false if ctx ended first.
func (b *backoff) wait(ctx context.Context) bool {
	timer := time.NewTimer(b.next(time.Now(), rand.Float64()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
