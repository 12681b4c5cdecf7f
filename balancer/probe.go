package balancer

import (
	"slices"
	"time"
)

// Probes made for all sidecars, of an endpoint that a verdict keeps out, by the sidecar that owns them. They
// are ordinary idempotent requests of clients, one at a time for each endpoint, and early enough to be sent
// elsewhere in time.

const (
	probeInterval    = 300 * time.Millisecond // between probes that succeed
	maxProbeInterval = 5 * time.Second        // between probes that fail: doubles up to this
	// A probe waits for maxProbeDelays times the hedge delay at most, and once that at least, and leaves
	// reservedRetryMedians medians for the attempt after it.
	maxProbeDelays       = 2.0
	reservedRetryMedians = 1.5
)

// sharedProbe is the probing of one endpoint by this sidecar.
type sharedProbe struct {
	request  *request // whose attempt is the probe that is out; nil: none is
	attempt  int
	nextAt   time.Duration
	failures int // in a row
}

func (b *Balancer) beginProbing(ep *endpoint) {
	ep.gossip.probe.failures = 0
	ep.gossip.probe.nextAt = b.now + time.Duration(b.rng.Float64()*float64(probeInterval))
	b.probedEndpoints = append(b.probedEndpoints, ep)
}

// pickProbe returns the endpoint that r's first attempt probes, or nil.
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

// canProbe tells whether r may fail its first attempt without harm.
func (b *Balancer) canProbe(r *request) bool {
	if r.class.Idempotency != Idempotent || r.bodyPending || len(r.attempts) > 0 || b.retryBudget.empty() {
		return false
	}
	canRetry := min(r.maxAttempts, b.settings.MaxAttempts) >= 2
	return canRetry && b.probeTimeout(r) >= seconds(b.latency.hedgeDelay.value*r.work)
}

// probedBySelf tells whether the endpoint's probes are this sidecar's.
func (ep *endpoint) probedBySelf(now time.Duration) bool {
	v := ep.gossip.verdicts[""]
	return v != nil && now < v.until && v.probes == ProbeBySelf
}

// probeTimeout is how long a probe waits for its answer: so long that another attempt can follow.
func (b *Balancer) probeTimeout(r *request) time.Duration {
	reserved := seconds(reservedRetryMedians * b.latency.median.value * r.work)
	return min(seconds(maxProbeDelays*b.latency.hedgeDelay.value*r.work), r.abandonAt-b.now-reserved)
}

// onProbeEnded reports a probe's result. One that was ended before its time tells nothing.
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
