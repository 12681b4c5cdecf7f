package balancer

import (
	"math"
	"time"
)

// An endpoint that has just started has only a part of its capacity, and fails if the fleet sends it too
// much. The limit applies to the work of all sidecars, and no sidecar knows what the others send. Each
// sidecar therefore uses a token bucket for each such endpoint. The sum of the buckets' rates over the
// fleet stays below the limit, for any number of sidecars and any distribution of the work
// (docs/ARCHITECTURE.md, "Cold upstreams").

const (
	// slowStartSafety is the limit of the load on an endpoint, as a fraction of the load that makes it fail.
	// The margin is needed because the endpoint's capacity may be smaller than stated.
	slowStartSafety = 0.45
	// unusedTokenFraction bounds the average number of unused tokens that all sidecars together have for an
	// endpoint, as a fraction of the tokens that they get within OverloadDuration.
	unusedTokenFraction = 1.0
	// The size of a bucket is the number of tokens that it gets within OverloadDuration, divided by
	// bucketDivisor, or 1 if that is more.
	bucketDivisor = 10
)

// slowStart is the token bucket of an endpoint that warms up. A token permits a request of mean work.
type slowStart struct {
	active     bool          // the endpoint warms up
	startedAt  time.Duration // clock time
	tokens     float64       // may be negative after a request of more than mean work
	refilledAt time.Duration // in the future if tokens were granted in advance
}

// inherit reduces the tokens to those of an earlier bucket of the same endpoint, so that used tokens are not
// granted again.
func (s *slowStart) inherit(old *slowStart) {
	s.tokens = min(s.tokens, old.tokens)
	s.refilledAt = max(s.refilledAt, old.refilledAt)
}

// beginSlowStart starts an endpoint's warm-up as of clock time from. Its latency estimate is the mean of
// its kind of machine, divided by its capacity.
func (b *Balancer) beginSlowStart(ep *endpoint, from time.Duration) {
	ep.slowStart = slowStart{active: true, startedAt: from, refilledAt: b.now, tokens: b.rng.Float64()}
	ep.latency = peakEWMA{*ep.machineLatency / b.warmCapacity(ep), b.now}
}

// warmCapacity returns the minimum fraction of its capacity that an endpoint has now, 0 to 1.
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

// slowStartAllows reports whether an endpoint's bucket has a token. An endpoint that does not warm up needs
// none.
func (b *Balancer) slowStartAllows(ep *endpoint) bool {
	capacity := b.warmCapacity(ep)
	if !ep.slowStart.active {
		return true
	}
	perSecond := b.slowStartRate(ep, capacity)
	b.refillSlowStart(&ep.slowStart, perSecond)
	return perSecond > 0 && ep.slowStart.tokens >= 1
}

// slowStartRate returns the rate at which an endpoint's bucket fills, in tokens per second. It is the
// average load that this sidecar sends to an endpoint of the same locality (local or remote) of its subset,
// multiplied by slowStartSafety, OverloadMultiple and the endpoint's present capacity. The rate is 0 for an
// endpoint outside the subset: otherwise each sidecar would send to each of many endpoints that warm up.
//
// If fewer endpoints are listed than carried the load recently, or fewer are local than a zone has on
// average, the average is taken over the larger number. Otherwise the first endpoints of a zone that are
// listed again would get its entire load.
func (b *Balancer) slowStartRate(ep *endpoint, capacity float64) float64 {
	t := &b.endpoints
	local := ep.zone == b.settings.Zone
	loadFraction, size, expectedSize := b.locality.localFraction, t.localCount, t.recentSize/float64(t.zoneCount)
	if !local {
		loadFraction, size, expectedSize = 1-loadFraction, len(t.order)-size, t.recentSize-expectedSize
	}
	if size == len(t.order) {
		loadFraction, expectedSize = 1, t.recentSize
	}
	capacity *= min(1, float64(size)/expectedSize)
	if t.banClearedAt[ep.id] == 0 { // with a cleared ban, it is in every sidecar's subset
		size = min(size, b.subsetSize())
	}
	if !t.isAmongFirst(ep, size, b.settings.Zone) {
		return 0
	}
	if b.settings.OverloadMultiple > 0 {
		capacity *= slowStartSafety * b.settings.OverloadMultiple
	}
	return capacity * loadFraction * b.admission.carriedLoad(b.now) / float64(max(size, 1))
}

// isAmongFirst reports whether ep is one of the first size endpoints of its locality in the order.
func (t *endpointTable) isAmongFirst(ep *endpoint, size int, zone string) bool {
	local, ahead := ep.zone == zone, 0
	for _, other := range t.order {
		if other == ep {
			break
		}
		if (other.zone == zone) == local {
			if ahead++; ahead == size {
				return false
			}
		}
	}
	return true
}

// refillSlowStart adds the tokens that are due. After a lull, every sidecar could have an unused token for
// the same endpoint, and all could use them at once. If a sidecar gets less than about one token within
// OverloadDuration, an unused token therefore expires after a random time. On average, the fleet's unused
// tokens are then unusedTokenFraction of the tokens that the fleet gets within OverloadDuration.
func (b *Balancer) refillSlowStart(s *slowStart, perSecond float64) {
	elapsed := (b.now - s.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	windowTokens := perSecond * b.settings.OverloadDuration.Seconds()
	s.refilledAt = b.now
	oldTokens := s.tokens
	s.tokens = min(max(1, windowTokens/bucketDivisor), oldTokens+perSecond*elapsed)
	if meanTokens := unusedTokenFraction * windowTokens; s.tokens >= 1 && meanTokens > 0 && meanTokens < 1 {
		unusedTime := elapsed - max(0, 1-oldTokens)/perSecond
		meanUnusedTime := unusedTokenFraction * b.settings.OverloadDuration.Seconds() / (1 - meanTokens)
		if b.rng.Float64() > math.Exp(-unusedTime/meanUnusedTime) {
			s.tokens = 0
		}
	}
}

// grantFirstRequest grants the tokens of the next OverloadDuration in advance to an endpoint whose ban was
// cleared. It grants one token, with the number of these tokens as the probability, and no more are granted
// until that time is over. Otherwise all sidecars could send the endpoint their first request at the same
// moment.
func (b *Balancer) grantFirstRequest(ep *endpoint) {
	ep.slowStart.tokens = 1
	capacity := b.warmCapacity(ep)
	if !ep.slowStart.active || b.settings.OverloadMultiple == 0 {
		return
	}
	windowTokens := b.slowStartRate(ep, capacity) * b.settings.OverloadDuration.Seconds()
	if !(b.rng.Float64() < windowTokens) {
		ep.slowStart.tokens = 0
	}
	ep.slowStart.refilledAt = b.now + b.settings.OverloadDuration
}
