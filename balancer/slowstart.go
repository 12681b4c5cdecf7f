package balancer

import (
	"math"
	"time"
)

// An endpoint that has just started has a part of its capacity, and fails if the whole fleet sends it too
// much. The rule counts all sidecars' work, and no sidecar knows what the others send. So each holds itself
// to a token bucket for each such endpoint whose rates, over the fleet, stay under the rule whatever the
// number of sidecars and their shares of the work (docs/ARCHITECTURE.md, "Cold upstreams").

const (
	// slowStartSafety is the fraction used of the load that makes an endpoint fail: its capacity may be smaller
	// than stated.
	slowStartSafety = 0.45
	// heldTokenFraction is how much of what comes within OverloadDuration all sidecars together may hold in
	// tokens.
	heldTokenFraction = 1.0
	// bucketDivisor is the part of OverloadDuration whose tokens a bucket may hold.
	bucketDivisor = 10
)

// slowStart is the token bucket of an endpoint that warms up. A token is a request of mean work.
type slowStart struct {
	active     bool
	startedAt  time.Duration // clock time
	tokens     float64       // below 0: in debt, by a request of more than mean work
	refilledAt time.Duration // in the future: tokens until then were granted in advance
}

// inherit takes over what was spent of an earlier bucket of the same endpoint.
func (s *slowStart) inherit(old *slowStart) {
	s.tokens = min(s.tokens, old.tokens)
	s.refilledAt = max(s.refilledAt, old.refilledAt)
}

// beginSlowStart begins an endpoint's warm-up at a clock time, with an estimate as slow as its capacity is
// low.
func (b *Balancer) beginSlowStart(ep *endpoint, from time.Duration) {
	ep.slowStart = slowStart{active: true, startedAt: from, refilledAt: b.now, tokens: b.rng.Float64()}
	ep.latency = peakEWMA{*ep.machineLatency / b.warmCapacity(ep), b.now}
}

// warmCapacity is the least fraction of its capacity that an endpoint has by now, 0 to 1.
func (b *Balancer) warmCapacity(ep *endpoint) float64 {
	s := &ep.slowStart
	if s.active && b.now-s.startedAt >= b.settings.SlowStartWindow {
		s.active = false
	}
	if !s.active {
		return 1
	}
	age := float64(b.now-s.startedAt) / float64(b.settings.SlowStartWindow)
	return min(1, b.settings.SlowStartCapacity+(1-b.settings.SlowStartCapacity)*age)
}

// slowStartAllows tells whether an endpoint's bucket has a token; one that does not warm up needs none.
func (b *Balancer) slowStartAllows(ep *endpoint) bool {
	capacity := b.warmCapacity(ep)
	if !ep.slowStart.active {
		return true
	}
	perSecond := b.slowStartRate(ep, capacity)
	b.refillSlowStart(&ep.slowStart, perSecond)
	return perSecond > 0 && ep.slowStart.tokens >= 1
}

// slowStartRate is the rate at which an endpoint's bucket fills, in tokens a second: slowStartSafety of the
// overload multiple of what this sidecar sends on average to an endpoint of the same side (local or remote)
// of its subset, as far as the endpoint is warm. It is 0 for an endpoint outside the subset: with many
// warming up, each sidecar would come to each. If fewer are listed than carried the work of late, or fewer
// are local than a zone has on average, the larger number counts. That guards against a zone's entire work
// for its first endpoints that come back.
func (b *Balancer) slowStartRate(ep *endpoint, capacity float64) float64 {
	t := &b.endpoints
	local := ep.zone == b.settings.Zone
	fraction, size, usual := b.locality.localFraction, t.localCount, t.recentSize/float64(t.zoneCount)
	if !local {
		fraction, size, usual = 1-fraction, len(t.order)-size, t.recentSize-usual
	}
	if size == len(t.order) {
		fraction, usual = 1, t.recentSize
	}
	capacity *= min(1, float64(size)/usual)
	if t.banClearedAt[ep.id] == 0 { // else it comes first with every sidecar, not just with some by chance
		size = min(size, b.subsetSize())
	}
	if !t.isAmongFirst(ep, size, b.settings.Zone) {
		return 0
	}
	if b.settings.OverloadMultiple > 0 {
		capacity *= slowStartSafety * b.settings.OverloadMultiple
	}
	return capacity * fraction * b.admission.carriedLoad(b.now) / float64(max(size, 1))
}

// isAmongFirst tells whether fewer than size endpoints of ep's side come before it in the order.
func (t *endpointTable) isAmongFirst(ep *endpoint, size int, zone string) bool {
	local, ahead := ep.zone == zone, 0
	for _, x := range t.order {
		if x == ep {
			break
		}
		if (x.zone == zone) == local {
			if ahead++; ahead == size {
				return false
			}
		}
	}
	return true
}

// refillSlowStart adds the tokens that are due. It guards against many sidecars that each hold a token for
// the same endpoint after a lull, and spend them together: where each gets few, a whole token lapses by
// chance, so that the fleet holds heldTokenFraction of what comes within OverloadDuration on average.
func (b *Balancer) refillSlowStart(s *slowStart, perSecond float64) {
	elapsed := (b.now - s.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	window := perSecond * b.settings.OverloadDuration.Seconds()
	s.refilledAt = b.now
	before := s.tokens
	s.tokens = min(max(1, window/bucketDivisor), before+perSecond*elapsed)
	if held := heldTokenFraction * window; s.tokens >= 1 && held > 0 && held < 1 {
		heldFor := elapsed - max(0, 1-before)/perSecond
		meanHeld := heldTokenFraction * b.settings.OverloadDuration.Seconds() / (1 - held)
		if b.rng.Float64() > math.Exp(-heldFor/meanHeld) {
			s.tokens = 0
		}
	}
}

// grantFirstRequest gives an endpoint whose ban was cleared what comes within OverloadDuration at once, as
// one request or, by chance, none, and nothing more until that time is over. It guards against an endpoint
// that every sidecar sends its first request to at the same moment.
func (b *Balancer) grantFirstRequest(ep *endpoint) {
	ep.slowStart.tokens = 1
	capacity := b.warmCapacity(ep)
	if !ep.slowStart.active || b.settings.OverloadMultiple == 0 {
		return
	}
	granted := b.slowStartRate(ep, capacity) * b.settings.OverloadDuration.Seconds()
	if !(b.rng.Float64() < granted) {
		ep.slowStart.tokens = 0
	}
	ep.slowStart.refilledAt = b.now + b.settings.OverloadDuration
}
