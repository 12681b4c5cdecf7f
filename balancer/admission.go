package balancer

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxLimitFraction and minLimitFraction bound the fraction of their objective that requests in flight may
	// wait on average. The minimum is reached while endpoints are congested.
	maxLimitFraction = 0.65
	minLimitFraction = 0.33
	limitStep        = 0.06 // relative decrease of the limit after a request that a congested endpoint made late
	// allowedLateFraction is the relative increase of the limit after a request in time, as a fraction of
	// limitStep. It determines the fraction of requests that may be late.
	allowedLateFraction = 0.05
	// limitAgeFraction is the mean age of requests in flight, as a fraction of their objective, below which the
	// pressure is reduced, so that a short burst is admitted.
	limitAgeFraction = 0.25

	maxPressure            = 2.0  // limits the pressure after a lull, when few answers come without a fault
	minInFlight            = 5.0  // requests in flight below which the rate of answers is too noisy to use
	minInFlightPerEndpoint = 8.0  // requests of all sidecars per endpoint; with fewer, no endpoint is congested
	minServedPerSecond     = 1e-3 // avoids a division by 0

	offeredTimeConstant = 20 * time.Second // of the averaged offered load
	servedTimeConstant  = 2 * time.Second  // of the averaged rate of answers
	rankWindow          = 64               // number of recent requests with which a new one is compared

	congestionWeight    = 0.12 // weight of a new attempt in the congestion, which averages about the last eight
	congestionThreshold = 0.62 // load is shed above this congestion
	maxCongestion       = 1.5  // upper bound for one attempt, which may be long because its endpoint hangs
	// congestionTimeConstant is the time constant with which congestion decays while no attempt ends. Without
	// the decay, a sidecar that rejects every request would continue to do so.
	congestionTimeConstant = 10 * time.Second
)

// admission decides which requests are admitted. It compares the number of requests in flight with the number
// that endpoints serve in the time that a request may wait (Little's law), and sheds the requests of lowest
// value while too many are in flight.
type admission struct {
	limitFraction float64 // fraction of their objective that requests in flight may wait, on average

	inFlight          int
	stalled           int           // requests in flight that will probably get no answer, see checkStalled
	inverseObjectives float64       // sum of 1/objective over the requests in flight, 1/s
	arrivalSum        time.Duration // sum of their arrival times; may overflow and wrap around

	served  rate   // successful answers
	offered rate   // admitted work, in requests of mean work
	tenants []rate // arriving requests of each tenant

	recentValues [rankWindow]float64 // ring buffer of the values of arriving requests
	valueCount   int

	lastShedAt        time.Duration // when a request was last shed; 0 while no load is shed
	offeredAtShedding float64       // offered load when load shedding started, per second

	congestion   float64       // mean duration of recent attempts, as a fraction of the objective
	congestionAt time.Duration // when congestion was last updated
}

func newAdmission() admission {
	return admission{
		limitFraction: maxLimitFraction,
		offered:       rate{timeConstant: offeredTimeConstant},
		served:        rate{timeConstant: servedTimeConstant},
	}
}

// setTenants replaces the tenants. A tenant in both lists keeps its measured rate.
func (a *admission) setTenants(old, current []Tenant) {
	rates := make([]rate, len(current))
	for i, t := range current {
		rates[i].timeConstant = offeredTimeConstant
		if j := slices.IndexFunc(old, func(o Tenant) bool { return o.Name == t.Name }); j >= 0 {
			rates[i] = a.tenants[j]
		}
	}
	a.tenants = rates
}

// addInFlight adds r to the requests in flight, or removes it if delta is -1.
func (a *admission) addInFlight(r *request, delta int) {
	a.inFlight += delta
	a.arrivalSum += time.Duration(delta) * r.arrivedAt
	a.inverseObjectives += float64(delta) / (r.objectiveAt - r.arrivedAt).Seconds()
	if a.inFlight == 0 {
		a.inverseObjectives = 0 // discards accumulated rounding errors
	}
}

// pressure returns the load in flight relative to the load that can be served in time. Above 1, requests in
// flight would wait for more than limitFraction of their objective. It shows a growing queue before late
// answers do. usableEndpoints is the number of endpoints that can be sent work; an endpoint that warms up
// counts as the fraction of its capacity that it has.
//
// With few requests in flight the rate of answers is too noisy. Then, and while no endpoint can be congested,
// the duration of recent attempts is used instead. The rate of answers also falls because load is shed, so
// that using it would prolong load shedding after the end of an overload.
func (a *admission) pressure(now time.Duration, fleetSize int, usableEndpoints float64) float64 {
	n := float64(a.inFlight)
	perEndpoint := (n - float64(a.stalled)) * float64(fleetSize) / usableEndpoints
	if perEndpoint < 1 {
		return 0
	}
	if n < minInFlight || perEndpoint < minInFlightPerEndpoint {
		decay := math.Exp(-float64(now-a.congestionAt) / float64(congestionTimeConstant))
		return a.congestion * decay / congestionThreshold
	}
	age := (time.Duration(a.inFlight)*now - a.arrivalSum).Seconds() / n
	limit := a.limitFraction * max(a.served.perSecond(now), minServedPerSecond)
	return min(1, age*a.inverseObjectives/n/limitAgeFraction) * min(maxPressure, a.inverseObjectives/limit)
}

// rank returns the percentile of a request's value among recent ones, 0 to 1. ok is false for the first
// request.
func (a *admission) rank(value float64, rng *rand.Rand) (percentile float64, ok bool) {
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

// overQuota counts a tenant's request, and reports whether it is over the tenant's quota. If a tenant sends
// more than its quota, the excess is over quota; the requests that count as the excess are chosen at random.
func (a *admission) overQuota(tenant int, quota float64, now time.Duration, rng *rand.Rand) bool {
	t := &a.tenants[tenant]
	t.add(1, now)
	total := 0.0
	for i := range a.tenants {
		total += a.tenants[i].perSecond(now)
	}
	return rng.Float64()*(t.perSecond(now)/total) > quota
}

// carriedLoad returns the load on the endpoints, in requests of mean work per second. While load is shed, it
// is no lower than before the shedding: shed requests are missing from the offered load, and endpoints that
// warm up are particularly needed at that time.
func (a *admission) carriedLoad(now time.Duration) float64 {
	load := a.offered.perSecond(now)
	if a.lastShedAt != 0 {
		load = max(load, a.offeredAtShedding)
	}
	return load
}

// observeCongestion records an attempt's duration as a fraction of its request's objective. A repeated
// rejection by one endpoint is a sign of a problem of that endpoint, and not of congestion.
func (a *admission) observeCongestion(att *attempt, res Result, elapsed, now time.Duration) {
	r := att.request
	usedFraction := min(elapsed.Seconds()/(r.objectiveAt-r.arrivedAt).Seconds(), maxCongestion)
	if res == Overloaded {
		usedFraction = maxCongestion
	}
	repeated := res == Overloaded && att.endpoint.health.rejections > 0
	uninformative := res == NotSent || res == ConnectFailed || res == Cancelled && usedFraction <= a.congestion
	if repeated || uninformative || r.stalled {
		return
	}
	a.congestion += congestionWeight * (usedFraction - a.congestion)
	a.congestionAt = now
}

// adjustLimit raises the limit after a request that ended in time, and lowers it after one that a congested
// endpoint made late.
func (a *admission) adjustLimit(inTime, congested bool) {
	if inTime {
		a.limitFraction = min(maxLimitFraction, a.limitFraction*(1+limitStep*allowedLateFraction))
	} else if congested {
		a.limitFraction = max(minLimitFraction, a.limitFraction*(1-limitStep))
	}
}

// pressure returns the pressure of admission over the endpoints that can be sent work now.
func (b *Balancer) pressure() float64 {
	return b.admission.pressure(b.now, b.settings.FleetSize, b.usableCapacity())
}

// usableCapacity returns the number of endpoints that can be sent work now. One that warms up counts as the
// fraction of its capacity that it has.
func (b *Balancer) usableCapacity() float64 {
	sum := 0.0
	for _, ep := range b.endpoints.order {
		if !ep.banned && b.now >= ep.health.ejectedUntil {
			sum += b.warmCapacity(ep)
		}
	}
	return max(sum, 1)
}

// admit reports whether a request is admitted: up to a pressure of 1 all requests are, and up to 1.5 only the
// more valuable ones.
func (b *Balancer) admit(r *request) bool {
	a := &b.admission
	percentile, ok := a.rank(b.value(r), b.rng)
	if !ok {
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

// value returns a request's priority weight per unit of work; with WeightByWork, the weight is already per
// unit. A request that is past its objective or over its tenant's quota has a lower value.
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

// adjustLimit adjusts the limit of admission after a request has ended. A request without attempts gives no
// information on the endpoints. An endpoint that has not answered since the last attempt was sent hangs, and
// is not congested.
func (b *Balancer) adjustLimit(r *request) {
	if len(r.attempts) == 0 {
		return
	}
	last := r.attempts[len(r.attempts)-1]
	inTime := b.now < r.objectiveAt-2*b.settings.Tick
	congested := !inTime && last.endpoint.health.lastAnswerAt > last.sentAt && b.pressure() > 1
	b.admission.adjustLimit(inTime, congested)
}
