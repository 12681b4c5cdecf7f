package balancer

import "time"

const (
	// maxHedgePressure is the pressure above which nothing is hedged: first attempts come first.
	maxHedgePressure = 0.7
	// minHedgeSuccess is the fraction of hedged requests that has to answer first, and in time.
	minHedgeSuccess = 0.3
	// hedgeExploration is the fraction of late attempts that are hedged all the same, to learn whether it helps.
	hedgeExploration = 0.02
)

// hedgeStats follows the fraction of hedged requests whose second attempt answered first, and in time.
type hedgeStats struct{ successRatio float64 }

func (h *hedgeStats) record(success bool) {
	x := 0.0
	if success {
		x = 1
	}
	h.successRatio += sparseWeight * (x - h.successRatio)
}

// startHedgeTimer sets when r's latest attempt is late, if another may follow it.
func (b *Balancer) startHedgeTimer(r *request) {
	if r.class.Idempotency != NotIdempotent {
		r.hedgeAt = b.now + b.hedgeDelay(r)
		b.startTimer(r.hedgeAt, timerHedge, r)
	}
}

// hedgeDelay is how long an attempt may be pending before it is late. It doubles with each pending attempt.
// Without hedging a late attempt is ended, and loses its place in a queue: it then has as long as leaves time
// for another attempt.
func (b *Balancer) hedgeDelay(r *request) time.Duration {
	doublings := float64(int(1) << max(r.pendingAttempts-1, 0))
	delay := seconds(b.latency.hedgeDelay.value * r.work * doublings)
	if !b.settings.Hedging {
		delay = max(delay, r.abandonAt-b.now-b.latency.expected(r.work))
	}
	return delay
}

// onHedgeTimer sends a second attempt beside one that is late or, without hedging, another in its place. It
// guards against endpoints that pause or hang. A late request is mostly a costly one, and so is its second
// attempt. So it takes an endpoint that leaves two of our attempts unanswered, or hedging that has helped of
// late; the retry budget and the pressure stop it in an overload.
func (b *Balancer) onHedgeTimer(r *request) {
	if r.pendingAttempts == 0 || b.now < r.hedgeAt || b.retryBudget.empty() || b.pressure() > maxHedgePressure {
		return
	}
	last := r.attempts[len(r.attempts)-1]
	if b.settings.Hedging {
		b.hedge(r, last)
		return
	}
	another := b.settings.Cancellation && !b.attemptsExhausted(r) && !b.retryForbidden(r)
	silent := last.endpoint.health.lastAnswerAt < last.sentAt
	if another && silent && b.now+b.latency.expected(r.work) < r.abandonAt {
		b.cancelOthers(r, -1)
	}
}

func (b *Balancer) hedge(r *request, last *attempt) {
	ep := last.endpoint
	hangs := ep.health.lastAnswerAt <= last.sentAt && len(ep.inFlight) > 1
	if !hangs && b.hedges.successRatio < minHedgeSuccess && b.rng.Float64() > hedgeExploration {
		return
	}
	if ep := b.pick(r); ep != nil {
		b.startAttempt(r, ep)
	}
}
