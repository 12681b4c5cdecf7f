package balancer

import (
	"slices"
	"time"
)

const (
	retryBudgetRatio = 0.25 // retries and hedged requests per first attempt, on average
	minRetryBudget   = 10.0 // minimum size of the budget, so that a sidecar with a low load can retry at all
)

// retryBudget bounds retries and hedged requests in proportion to first attempts, so that they don't multiply
// an overload. Retries after failed connects add no load to endpoints, and are not bounded by it.
type retryBudget struct{ tokens float64 }

func newRetryBudget() retryBudget { return retryBudget{tokens: minRetryBudget} }

// deposit counts a first attempt. The budget is limited to what the offered load of one second adds to it, or
// to minRetryBudget if that is more.
func (r *retryBudget) deposit(offeredPerSecond float64) {
	r.tokens = min(r.tokens+retryBudgetRatio, max(minRetryBudget, retryBudgetRatio*offeredPerSecond))
}

func (r *retryBudget) withdraw() { r.tokens = max(r.tokens-1, 0) }

func (r *retryBudget) empty() bool { return r.tokens < 1 }

// canAttempt reports whether an attempt of r may be sent to ep now. It is checked for every attempt.
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

// attemptsExhausted reports whether r has had all the attempts that it may have: the lower of the maximum in
// force when it arrived and the present one.
func (b *Balancer) attemptsExhausted(r *request) bool {
	return len(r.attempts) >= min(r.maxAttempts, b.settings.MaxAttempts)
}

// retryForbidden reports whether another attempt of r is forbidden because an earlier one may have run.
func (b *Balancer) retryForbidden(r *request) bool {
	until := b.retryAllowedUntil(r)
	return until != 0 && (r.class.Idempotency == NotIdempotent || b.now >= until)
}

// retryAllowedUntil returns the clock time before which the first byte of another attempt of r must be
// sent, because repeats of an attempt that may have run are dropped only until then. It returns 0 if r is
// idempotent or no attempt may have run. Connecting takes time, so an attempt that is started in time may
// be sent too late.
func (b *Balancer) retryAllowedUntil(r *request) time.Duration {
	for _, a := range r.attempts { // in the order in which they were sent
		if a.mayHaveRun && r.class.Idempotency != Idempotent {
			return max(a.sentAt+r.class.DedupWindow-2*b.settings.Tick, 1)
		}
	}
	return 0
}

// inKeyScope reports whether ep drops repeats of all earlier attempts of r that may have run.
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

// canReject reports whether r may be rejected, which requires that it is harmless to send it again.
func canReject(r *request) bool {
	c := r.class
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.KeyScope == KeyScopeAll {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

// attemptTimeout returns how long r's next attempt may last at ep.
func (b *Balancer) attemptTimeout(r *request, ep *endpoint) time.Duration {
	timeout := max(r.abandonAt-b.now, b.settings.Tick)
	if ep.gossip != nil && ep.gossip.probe.request == r {
		timeout = max(min(timeout, b.probeTimeout(r)), b.settings.Tick)
	}
	return timeout
}
