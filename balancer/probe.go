package balancer

import (
	"slices"
	"time"
)

// An endpoint that a verdict excludes is probed by one sidecar for all sidecars. Its probes are ordinary
// idempotent requests of clients, one at a time for each endpoint, and early enough that they can still be
// sent to another endpoint in time.

const (
	probeInterval    = 300 * time.Millisecond // between probes while they succeed
	maxProbeInterval = 5 * time.Second        // between probes while they fail: the interval doubles up to this
	// A probe waits for an answer for 1 to maxProbeDelays hedge delays, and reserves reservedRetryMedians
	// median latencies for the attempt after it.
	maxProbeDelays       = 2.0
	reservedRetryMedians = 1.5
)

// sharedProbe is the state of this sidecar's probes of one endpoint for all sidecars.
type sharedProbe struct {
	request  *request // request whose attempt is the pending probe; nil if there is none
	attempt  int      // number of that attempt
	nextAt   time.Duration
	failures int // consecutive failed probes
}

func (b *Balancer) beginProbing(ep *endpoint) {
	ep.gossip.probe.failures = 0
	ep.gossip.probe.nextAt = b.now + time.Duration(b.rng.Float64()*float64(probeInterval))
	b.probedEndpoints = append(b.probedEndpoints, ep)
}

// pickProbe returns the endpoint that r's first attempt is to probe, or nil if there is none.
func (b *Balancer) pickProbe(r *request) *endpoint {
	if len(b.probedEndpoints) == 0 || !b.canProbe(r) {
		return nil
	}
	b.probedEndpoints = slices.DeleteFunc(b.probedEndpoints, func(ep *endpoint) bool {
		return b.endpoints.byID[ep.id] != ep || !ep.probedBySelf(b.now)
	})
	for _, ep := range b.probedEndpoints {
		probe := &ep.gossip.probe
		if b.now < probe.nextAt || len(ep.inFlight) > 0 || b.classExcluded(ep, r) || !b.canAttempt(r, ep) {
			continue
		}
		probe.request, probe.attempt = r, len(r.attempts)
		return ep
	}
	return nil
}

// canProbe reports whether r can be used as a probe, which requires that a failure of its first attempt does
// no harm.
func (b *Balancer) canProbe(r *request) bool {
	if r.class.Idempotency != Idempotent || r.bodyPending || len(r.attempts) > 0 || b.retryBudget.empty() {
		return false
	}
	canRetry := min(r.maxAttempts, b.settings.MaxAttempts) >= 2
	return canRetry && b.probeTimeout(r) >= seconds(b.latency.hedgeDelay.value*r.work)
}

// probedBySelf reports whether this sidecar probes the endpoint for all sidecars.
func (ep *endpoint) probedBySelf(now time.Duration) bool {
	v := ep.gossip.verdicts[""]
	return v != nil && now < v.until && v.probes == ProbeBySelf
}

// probeTimeout returns how long a probe waits for its answer, such that another attempt can follow.
func (b *Balancer) probeTimeout(r *request) time.Duration {
	reserved := seconds(reservedRetryMedians * b.latency.median.value * r.work)
	return min(seconds(maxProbeDelays*b.latency.hedgeDelay.value*r.work), r.abandonAt-b.now-reserved)
}

// onProbeEnded reports a probe's result to other sidecars. A probe that was cancelled or not sent has none.
func (b *Balancer) onProbeEnded(a *attempt, res Result) {
	ep := a.endpoint
	probe := &ep.gossip.probe
	probe.request = nil
	if res == Cancelled || res == NotSent || !ep.probedBySelf(b.now) {
		return
	}
	interval, cause := probeInterval, EvidenceNone
	if res == OK {
		probe.failures = 0
	} else {
		interval = min(baseEjectionTime<<min(probe.failures, maxDoublings), maxProbeInterval)
		cause = probeEvidence(res)
		probe.failures++
	}
	probe.nextAt = b.now + b.jitter(interval)
	b.emit(Action{Kind: ReportEvidence, Probe: true, Upstream: ep.id, Evidence: cause, Count: probe.failures,
		At: ep.startedAt})
}

// probeEvidence returns the evidence of a failed probe.
func probeEvidence(res Result) Evidence {
	switch res {
	case ServerError:
		return EvidenceErrors
	case Overloaded:
		return EvidenceRejections
	case Reset, ConnectFailed:
		return EvidenceConnections
	}
	return EvidenceSilence
}
