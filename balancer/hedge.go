package balancer

import "time"

const (
	// maxHedgePressure is the pressure above which no request is hedged: first attempts have priority.
	maxHedgePressure = 0.7
	// minHedgeSuccess is the minimum of hedgeStats.successRatio with which hedging is worthwhile.
	minHedgeSuccess = 0.3
	// hedgeExploration is the fraction of late attempts that are hedged even below minHedgeSuccess, to learn
	// whether hedging helps.
	hedgeExploration = 0.02
)

// hedgeStats tracks the fraction of hedged requests whose second attempt answered first, and in time.
type hedgeStats struct{ successRatio float64 }

func (h *hedgeStats) record(success bool) {
	sample := 0.0
	if success {
		sample = 1
	}
	h.successRatio += sparseWeight * (sample - h.successRatio)
}

// startHedgeTimer starts the timer that fires when r's latest attempt is late, unless r must not run twice.
func (b *Balancer) startHedgeTimer(r *request) {
	if r.class.Idempotency != NotIdempotent {
		r.hedgeAt = b.now + b.hedgeDelay(r)
		b.startTimer(r.hedgeAt, timerHedge, r)
	}
}

// hedgeDelay returns how long an attempt may be pending before it is late. The delay doubles with each
// pending attempt after the first. Without hedging, a late attempt is cancelled and loses its place in a
// queue. It is therefore given more time, as long as enough remains for another attempt.
func (b *Balancer) hedgeDelay(r *request) time.Duration {
	factor := float64(int(1) << max(r.pendingAttempts-1, 0))
	delay := seconds(b.latency.hedgeDelay.value * r.work * factor)
	if !b.settings.Hedging {
		delay = max(delay, r.abandonAt-b.now-b.latency.expected(r.work))
	}
	return delay
}

// onHedgeTimer sends a second attempt in addition to one that is late or, without hedging, replaces the late
// one. It guards against endpoints that pause or hang. Late requests are usually costly, and so are their
// second attempts. A request is therefore hedged only if the endpoint has not answered two of this sidecar's
// attempts, or if hedging has helped recently. The retry budget and the pressure prevent hedging in an
// overload.
func (b *Balancer) onHedgeTimer(r *request) {
	if r.pendingAttempts == 0 || b.now < r.hedgeAt || b.retryBudget.empty() || b.pressure() > maxHedgePressure {
		return
	}
	last := r.attempts[len(r.attempts)-1]
	if b.settings.Hedging {
		b.hedge(r, last)
		return
	}
	mayRetry := b.settings.Cancellation && !b.attemptsExhausted(r) && !b.retryForbidden(r)
	silent := last.endpoint.health.lastAnswerAt < last.sentAt
	if mayRetry && silent && b.now+b.latency.expected(r.work) < r.abandonAt {
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
