package balancer

import (
	"slices"
	"time"
)

const (
	retryBudgetRatio = 0.25 // retries and hedged requests for each first attempt, over time
	minRetryBudget   = 10.0 // so many at once in any case, so that a quiet sidecar can retry at all
)

// retryBudget bounds retries and hedged requests in proportion to first attempts, so that they don't
// multiply an overload. Retries of refused connections cost nothing, and are not held to it.
type retryBudget struct{ tokens float64 }

func newRetryBudget() retryBudget { return retryBudget{tokens: minRetryBudget} }

// deposit counts a first attempt. The budget holds what a second's offered load earns.
func (r *retryBudget) deposit(offeredPerSecond float64) {
	r.tokens = min(r.tokens+retryBudgetRatio, max(minRetryBudget, retryBudgetRatio*offeredPerSecond))
}

func (r *retryBudget) withdraw() { r.tokens = max(r.tokens-1, 0) }

func (r *retryBudget) empty() bool { return r.tokens < 1 }

// canAttempt is the gate that every attempt passes: r may be sent, and sent again, and to ep.
func (b *Balancer) canAttempt(r *request, ep *endpoint) bool {
	if r.done || r.streaming || b.attemptsExhausted(r) || b.now >= r.expiresAt {
		return false
	}
	if !ep.listed || ep.banned {
		return false
	}
	if r.pendingAttempts > 0 && (!b.settings.Hedging || r.class.Idempotency == NotIdempotent) {
		return false
	}
	if b.retryForbidden(r) || !r.inKeyScope(ep) {
		return false
	}
	return b.slowStartAllows(ep)
}

// attemptsExhausted tells whether r has had all the attempts that the settings allow, both those in force
// when it arrived and the present ones.
func (b *Balancer) attemptsExhausted(r *request) bool {
	return len(r.attempts) >= min(r.maxAttempts, b.settings.MaxAttempts)
}

// retryForbidden tells whether an attempt of r may have run, and none may follow it.
func (b *Balancer) retryForbidden(r *request) bool {
	until := b.retryAllowedUntil(r)
	return until != 0 && (r.class.Idempotency == NotIdempotent || b.now >= until)
}

// retryAllowedUntil is the clock time by which the first byte of another attempt of r has to be sent, since
// an attempt may have run whose repeats are dropped only until then; 0: no attempt may have run. Connecting
// takes time, so that an attempt decided on in time may begin too late.
func (b *Balancer) retryAllowedUntil(r *request) time.Duration {
	for _, a := range r.attempts { // the earliest comes first
		if a.mayHaveRun && r.class.Idempotency != Idempotent {
			return max(a.sentAt+r.class.DedupWindow-2*b.settings.Tick, 1)
		}
	}
	return 0
}

// inKeyScope tells whether ep drops a repeat of what an earlier attempt of r may have run.
func (r *request) inKeyScope(ep *endpoint) bool {
	if r.class.Idempotency != IdempotentByKey {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		outside := r.class.KeyScope == KeyScopeZone && a.zone != ep.zone ||
			r.class.KeyScope == KeyScopeCell && a.cell != ep.cell
		return a.mayHaveRun && outside
	})
}

// canReject tells whether a client may be told that sending r again is harmless.
func canReject(r *request) bool {
	c := r.class
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.KeyScope == KeyScopeAll {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

// attemptTimeout is how long r's next attempt may take at ep.
func (b *Balancer) attemptTimeout(r *request, ep *endpoint) time.Duration {
	timeout := max(r.abandonAt-b.now, b.settings.Tick)
	if ep.gossip != nil && ep.gossip.probe.request == r {
		timeout = max(min(timeout, b.probeTimeout(r)), b.settings.Tick)
	}
	return timeout
}
