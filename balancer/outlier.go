package balancer

import (
	"log/slog"
	"time"
)

const (
	// baseEjectionTime is the duration of a first ejection. It doubles with each failed half-open probe.
	baseEjectionTime = time.Second
	maxEjectionTime  = 8 * time.Second
	maxDoublings     = 10 // limits the doublings of a backoff, against overflow; its maximum is reached earlier
	// failuresToEject is the number of consecutive failures that eject an endpoint. Two in a row also happen
	// by chance.
	failuresToEject = 3
	// slowMedianMultiple is the multiple of the median latency above which an answer is slow.
	slowMedianMultiple = 4.0
	// silenceObjectives is how long an endpoint may fail to answer, in mean latency objectives.
	silenceObjectives = 3.0
)

// health is what this sidecar's own attempts show about whether an endpoint works. Counts are of consecutive
// results.
type health struct {
	lastAnswerAt     time.Duration // time of the last answer, which may be an error or a rejection
	lastServedSentAt time.Duration // latest time at which an attempt that it served was sent
	failures         int           // attempts that ended without an answer since the last answer
	failingSince     time.Duration // when the first of them was sent
	errors           int           // error answers
	rejections       int
	slowAnswers      int
	connectionFailed bool // the latest failure was a refused or broken connection
	ejections        int  // consecutive, without a success in between
	ejectedUntil     time.Duration
}

// served records that an attempt was served.
func (h *health) served(a *attempt) { h.lastServedSentAt = max(h.lastServedSentAt, a.sentAt) }

// isReady reports whether an endpoint may be picked for r. After the ejection time it is half-open: it gets
// one attempt at a time, and no request that must not run twice.
func (b *Balancer) isReady(ep *endpoint, r *request) bool {
	if b.now < ep.health.ejectedUntil || b.excludedByEvidence(ep, r) {
		return false
	}
	return ep.health.ejections == 0 || len(ep.inFlight) == 0 && r.class.Idempotency != NotIdempotent
}

// updateHealth updates the health of an attempt's endpoint with the result. It ejects endpoints whose
// connections fail, and those that answer only with errors, reject every request or do not answer.
func (b *Balancer) updateHealth(a *attempt, res Result, elapsed time.Duration) {
	b.recordEvidence(a, res)
	switch res {
	case ServerError:
		b.onErrorAnswer(a)
	case OK, Overloaded:
		b.onAnswer(a, res, elapsed)
	case Timeout, ConnectFailed, Reset, Cancelled:
		b.onNoAnswer(a, res, elapsed)
	}
}

// onErrorAnswer ejects an endpoint after several consecutive errors. It guards against an endpoint that fails
// immediately: it seems faster than endpoints whose queues last longer than the penalty.
func (b *Balancer) onErrorAnswer(a *attempt) {
	h := &a.endpoint.health
	h.lastAnswerAt, h.failures = b.now, 0
	h.errors++
	if h.errors >= failuresToEject && b.now >= h.ejectedUntil && !b.failsOneClassOnly(a) {
		b.eject(a.endpoint)
	}
}

// onAnswer processes a success or a rejection. An endpoint that rejects every request may be draining before
// the endpoint list reports it.
func (b *Balancer) onAnswer(a *attempt, res Result, elapsed time.Duration) {
	ep := a.endpoint
	h := &ep.health
	h.lastAnswerAt = b.now
	if h.rejections++; res == OK {
		h.rejections = 0
	}
	if h.rejections >= failuresToEject {
		h.failures = 0
		if b.now >= h.ejectedUntil {
			b.eject(ep)
		}
		return
	}
	if h.slowAnswers++; res == OK &&
		elapsed.Seconds() <= slowMedianMultiple*b.latency.median.value*a.request.work {
		h.slowAnswers = 0
	}
	if h.slowAnswers >= failuresToEject {
		h.slowAnswers = 0
		b.rotateSubset(ep)
	}
	if h.ejections > 0 {
		b.log("endpoint reinstated", slog.String("upstream", ep.id), slog.Int("ejections", h.ejections))
		b.reportEvidence(ep, EvidenceNone, 0)
	}
	h.failures, h.errors, h.ejections, h.ejectedUntil = 0, 0, 0, 0
}

// onNoAnswer processes an attempt without an answer. It guards against endpoints that crashed, which seem
// fast because connections to them fail immediately, and against those that hang.
func (b *Balancer) onNoAnswer(a *attempt, res Result, elapsed time.Duration) {
	ep := a.endpoint
	h := &ep.health
	if b.isSlowNotSilent(a, res, elapsed) {
		return
	}
	h.connectionFailed = res == Reset || res == ConnectFailed
	if h.failures++; h.failures == 1 {
		h.failingSince = a.sentAt
		b.reportSuspicion(ep)
	}
	failedImmediately := res == ConnectFailed && elapsed < b.settings.ConnectTimeout/2
	dead := h.failures >= failuresToEject && (res == Reset || failedImmediately)
	silent := h.failures > 1 && (b.now-h.failingSince).Seconds() > silenceObjectives*b.meanObjective
	if (dead || silent || h.ejections > 0) && b.now >= h.ejectedUntil {
		b.eject(ep)
	}
}

// isSlowNotSilent reports whether a timed out or cancelled attempt is no sign of a fault of its endpoint. It
// is none if the endpoint has answered since the attempt was sent. A cancelled attempt is one only with
// hedging, where the first answer cancels the other attempts, and only if it was late by then. Without
// hedging, a cancelled attempt was replaced by one to another endpoint, perhaps because of a long queue.
func (b *Balancer) isSlowNotSilent(a *attempt, res Result, elapsed time.Duration) bool {
	answered := a.sentAt < a.endpoint.health.lastAnswerAt
	late := b.settings.Hedging && elapsed.Seconds() >= b.latency.hedgeDelay.value*a.request.work
	return res == Timeout && answered || res == Cancelled && (answered || !late)
}

// eject takes an endpoint out of the ready ones for a time that doubles with each ejection in a row.
func (b *Balancer) eject(ep *endpoint) {
	h := &ep.health
	d := b.jitter(min(baseEjectionTime<<min(h.ejections, maxDoublings), maxEjectionTime))
	h.ejections++
	h.ejectedUntil = b.now + d
	b.reportEvidence(ep, h.ejectionCause(), max(h.failures, h.errors, h.rejections))
	if h.ejections == 1 {
		b.log("endpoint ejected", slog.String("upstream", ep.id), slog.Int("failures", h.failures),
			slog.Int("errors", h.errors), slog.Int("rejections", h.rejections))
	}
}

// ejectionCause returns the kind of failure for which the endpoint is ejected.
func (h *health) ejectionCause() Evidence {
	switch {
	case h.rejections >= failuresToEject:
		return EvidenceRejections
	case h.errors >= failuresToEject:
		return EvidenceErrors
	case h.connectionFailed:
		return EvidenceConnections
	}
	return EvidenceSilence
}
