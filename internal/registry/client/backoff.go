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
	retryBurst     = 6                // retries that the budget holds
	retryRefill    = 2 * time.Second  // time in which the budget regains one retry
	backoffReset   = 10 * time.Second // without a failure, after which the back-off starts over
)

// backoff paces the attempts of one call or watch: exponential back-off with full jitter, so that the clients of a fleet
// don't return at once, limited by a retry budget, so that a service that fails every attempt is not overloaded by them.
// The zero value is ready to use; not safe for concurrent use.
type backoff struct {
	failures    int
	lastFailure time.Time
	tokens      float64
}

// next returns the wait after a failure at now; chance is a random number in [0, 1).
func (b *backoff) next(now time.Time, chance float64) time.Duration {
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
	wait := time.Duration(chance * float64(limit))
	b.tokens = max(b.tokens-1, -retryBurst) // callers that wait less, as watches do, don't run up more debt
	if b.tokens < 0 {
		wait = max(wait, time.Duration(-b.tokens*(0.5+chance)*float64(retryRefill)))
	}
	return min(wait, 2*maxBackoff)
}

// wait blocks for the next wait; it returns false if ctx ended first.
func (b *backoff) wait(ctx context.Context) bool {
	t := time.NewTimer(b.next(time.Now(), rand.Float64()))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
