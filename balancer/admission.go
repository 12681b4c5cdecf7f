package balancer

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// Requests in flight may wait maxLimitFraction of their objective on average, or down to minLimitFraction
	// where endpoints are congested.
	maxLimitFraction = 0.65
	minLimitFraction = 0.33
	limitStep        = 0.06 // relative step down, for a request that a congested endpoint made late
	// allowedLateFraction is the part of a step up for a request in time: so many may be late.
	allowedLateFraction = 0.05
	// limitAgeFraction is the mean age of requests in flight, as a fraction of their objective, below which the
	// limit is wider, so that a burst passes.
	limitAgeFraction = 0.25

	maxPressure            = 2.0 // after a lull the rate of answers is low for no fault
	minInFlight            = 5.0 // requests in flight below which the rate of answers is noise
	minInFlightPerEndpoint = 8.0 // the same for each endpoint: below, none is congested
	minServedPerSecond     = 1e-3

	offeredTimeConstant = 20 * time.Second // the offered load is averaged over this
	servedTimeConstant  = 2 * time.Second  // the rate of answers is averaged over this
	rankWindow          = 64               // requests among which the value of a new one is ranked

	congestionWeight    = 0.12 // weight of an attempt in the congestion: about the last eight
	congestionThreshold = 0.62 // load is shed from this congestion on
	maxCongestion       = 1.5  // of one attempt: an endpoint that hangs is not congested
	// congestionTimeConstant is the time constant with which congestion fades while no attempt ends: load must
	// not be shed for ever because everything is rejected.
	congestionTimeConstant = 10 * time.Second
)

// admission decides which requests are taken. It compares the requests in flight with what is served while
// one of them may wait (Little's law), and sheds those of least value while that is too much.
type admission struct {
	limitFraction float64 // fraction of their objective that requests in flight may wait, on average

	inFlight          int
	stalled           int           // of them, those that nothing will come of
	inverseObjectives float64       // sum over them of 1/objective, 1/s
	arrivalSum        time.Duration // sum of their arrival times; may wrap around

	served  rate   // answers
	offered rate   // admitted work, in mean requests
	tenants []rate // arriving requests, by tenant

	recentValues [rankWindow]float64 // of arriving requests
	valueCount   int

	lastShedAt        time.Duration // 0: no load was shed of late
	offeredAtShedding float64       // offered load when that began, mean requests a second

	congestion   float64 // mean time that recent attempts took, as a fraction of their objective
	congestionAt time.Duration
}

func newAdmission() admission {
	return admission{
		limitFraction: maxLimitFraction,
		offered:       rate{timeConstant: offeredTimeConstant},
		served:        rate{timeConstant: servedTimeConstant},
	}
}

// setTenants changes the tenants. One that stays keeps its rate.
func (a *admission) setTenants(before, now []Tenant) {
	rates := make([]rate, len(now))
	for i, t := range now {
		rates[i].timeConstant = offeredTimeConstant
		if j := slices.IndexFunc(before, func(x Tenant) bool { return x.Name == t.Name }); j >= 0 {
			rates[i] = a.tenants[j]
		}
	}
	a.tenants = rates
}

// addInFlight counts a request as in flight, or with -1 as no longer so.
func (a *admission) addInFlight(r *request, n int) {
	a.inFlight += n
	a.arrivalSum += time.Duration(n) * r.arrivedAt
	a.inverseObjectives += float64(n) / (r.objectiveAt - r.arrivedAt).Seconds()
	if a.inFlight == 0 {
		a.inverseObjectives = 0 // a sum of fractions drifts
	}
}

// pressure is the load in flight relative to what can be served in time: above 1, requests in flight would
// take more than the limit of their objective. It guards against queues that grow faster than late answers
// tell of. usableEndpoints is how many endpoints the work spreads over, those that warm up by their capacity.
//
// With few requests in flight the rate of answers is noise. There, and while no endpoint can be congested,
// the time that recent attempts took counts instead: the rate of answers falls with what is shed, and would
// keep load shedding going after a shock.
func (a *admission) pressure(now time.Duration, fleetSize int, usableEndpoints float64) float64 {
	n := float64(a.inFlight)
	perEndpoint := (n - float64(a.stalled)) * float64(fleetSize) / usableEndpoints
	if perEndpoint < 1 {
		return 0
	}
	if n < minInFlight || perEndpoint < minInFlightPerEndpoint {
		fading := math.Exp(-float64(now-a.congestionAt) / float64(congestionTimeConstant))
		return a.congestion * fading / congestionThreshold
	}
	age := (time.Duration(a.inFlight)*now - a.arrivalSum).Seconds() / n
	limit := a.limitFraction * max(a.served.perSecond(now), minServedPerSecond)
	return min(1, age*a.inverseObjectives/n/limitAgeFraction) * min(maxPressure, a.inverseObjectives/limit)
}

// rank is the percentile of a request's value among recent ones, 0 to 1; false: it is the first.
func (a *admission) rank(value float64, rng *rand.Rand) (percentile float64, known bool) {
	lower, equal := 0.0, 0.0
	n := min(a.valueCount, rankWindow)
	for _, x := range a.recentValues[:n] {
		if x < value {
			lower++
		} else if x == value {
			equal++
		}
	}
	a.recentValues[a.valueCount%rankWindow] = value
	a.valueCount++
	if n == 0 {
		return 0, false
	}
	return (lower + equal*rng.Float64()) / float64(n), true
}

// overQuota counts a tenant's request, and draws whether it is one of those over its quota.
func (a *admission) overQuota(tenant int, quota float64, now time.Duration, rng *rand.Rand) bool {
	t := &a.tenants[tenant]
	t.add(1, now)
	total := 0.0
	for i := range a.tenants {
		total += a.tenants[i].perSecond(now)
	}
	return rng.Float64()*(t.perSecond(now)/total) > quota
}

// carriedLoad is the load that the endpoints carry, mean requests a second. While load is shed, it is the
// load from before: what is shed is missing in the offered load, and endpoints that warm up are needed most
// then.
func (a *admission) carriedLoad(now time.Duration) float64 {
	load := a.offered.perSecond(now)
	if a.lastShedAt != 0 {
		load = max(load, a.offeredAtShedding)
	}
	return load
}

// observeCongestion takes in how much of its objective an attempt took. A repeated rejection by one endpoint
// tells of that endpoint, and of no congestion.
func (a *admission) observeCongestion(at *attempt, res Result, elapsed, now time.Duration) {
	r := at.request
	usedFraction := min(elapsed.Seconds()/(r.objectiveAt-r.arrivedAt).Seconds(), maxCongestion)
	if res == Overloaded {
		usedFraction = maxCongestion
	}
	repeated := res == Overloaded && at.endpoint.health.rejections > 0
	uninformative := res == NotSent || res == ConnectFailed || res == Cancelled && usedFraction <= a.congestion
	if repeated || uninformative || r.stalled {
		return
	}
	a.congestion += congestionWeight * (usedFraction - a.congestion)
	a.congestionAt = now
}

// adjustLimit widens the limit for a request that ended in time, and narrows it for one that a congested
// endpoint made late.
func (a *admission) adjustLimit(inTime, congested bool) {
	if inTime {
		a.limitFraction = min(maxLimitFraction, a.limitFraction*(1+limitStep*allowedLateFraction))
	} else if congested {
		a.limitFraction = max(minLimitFraction, a.limitFraction*(1-limitStep))
	}
}

// pressure is the admission's, over the endpoints that take work now.
func (b *Balancer) pressure() float64 {
	return b.admission.pressure(b.now, b.settings.FleetSize, b.usableCapacity())
}

// usableCapacity is how many endpoints take work now. One that warms up counts by its capacity.
func (b *Balancer) usableCapacity() float64 {
	sum := 0.0
	for _, ep := range b.endpoints.order {
		if !ep.banned && b.now >= ep.health.ejectedUntil {
			sum += b.warmCapacity(ep)
		}
	}
	return max(sum, 1)
}

// admit decides whether a request is taken: up to a pressure of 1 all are, and up to 1.5 the more valuable.
func (b *Balancer) admit(r *request) bool {
	a := &b.admission
	percentile, known := a.rank(b.value(r), b.rng)
	if !known {
		return true
	}
	admitted := b.pressure() <= 1+percentile/2
	if !admitted && a.lastShedAt == 0 {
		b.log("load shedding started", slog.Int("in_flight", a.inFlight),
			slog.Float64("served_per_second", math.Round(a.served.perSecond(b.now))))
		a.offeredAtShedding = a.offered.perSecond(b.now)
	} else if admitted && a.lastShedAt != 0 && b.now-a.lastShedAt > servedTimeConstant {
		b.log("load shedding ended")
		a.lastShedAt = 0
	}
	if !admitted {
		a.lastShedAt = b.now
	}
	return admitted
}

// value is a request's priority weight, for each unit of work unless WeightByWork already says so.
func (b *Balancer) value(r *request) float64 {
	v := r.class.PriorityWeight
	if !b.settings.WeightByWork {
		v /= r.work
	}
	if r.pastObjective {
		v *= r.class.LateValueFraction
	}
	if r.tenant >= 0 && b.admission.overQuota(r.tenant, b.settings.Tenants[r.tenant].Quota, b.now, b.rng) {
		v *= b.settings.OverQuotaFraction
	}
	return v
}

// adjustLimit learns from a request that has ended. One that ended without an attempt tells nothing; one
// whose endpoint has not answered since hangs, and is not congested.
func (b *Balancer) adjustLimit(r *request) {
	if len(r.attempts) == 0 {
		return
	}
	last := r.attempts[len(r.attempts)-1]
	inTime := b.now < r.objectiveAt-2*b.settings.Tick
	congested := !inTime && last.endpoint.health.lastAnswerAt > last.sentAt && b.pressure() > 1
	b.admission.adjustLimit(inTime, congested)
}
