package balancer

import (
	"math"
	"slices"
	"time"
)

// Snapshot is what a Balancer has learned from its own attempts. It is also an event: the next process of
// the same sidecar starts from it, after its first endpoint list. Times are stored as durations before the
// snapshot, since clocks differ between processes.
//
// The encoded names are those of the first version, because snapshots are stored and passed between
// processes of different versions.
type Snapshot struct {
	Endpoints         map[string]EndpointSnapshot `json:"Upstreams"`
	MachineLatency    map[string]float64          `json:"Kinds"` // mean normalized latency, seconds
	Classes           map[string]ClassSnapshot    `json:"Classes"`
	Tenants           map[string]RateSnapshot     `json:"Tenants"`
	FleetLatency      float64                     `json:"Fleet"`    // mean normalized latency, seconds
	MeanLatency       float64                     `json:"Mean"`     // seconds
	MeanHint          float64                     `json:"HintMean"` // seconds
	MedianLatency     float64                     `json:"Mid"`      // of normalized latency, seconds
	HedgeDelay        float64                     `json:"Late"`     // of normalized latency, seconds
	LocalFraction     float64                     `json:"AtHome"`
	LimitFraction     float64                     `json:"Limit"`
	Congestion        float64                     `json:"Crowd"`
	HedgeSuccessRatio float64                     `json:"Wins"`
	CongestionAge     time.Duration               `json:"CrowdAge"`
	SheddingAge       time.Duration               `json:"ShedAge"` // 0 if no load is shed
	OfferedAtShedding float64                     `json:"Carried"`
	Offered           RateSnapshot                `json:"Offered"`
	Served            RateSnapshot                `json:"Served"`
}

// EndpointSnapshot is what was learned about one process of an endpoint.
type EndpointSnapshot struct {
	Uptime       time.Duration `json:"UpFor"`    // 0: started long ago
	PeakEWMA     float64       `json:"Estimate"` // of normalized latency, seconds
	Age          time.Duration `json:"Age"`      // of the estimate
	Ejections    int           `json:"Ejections"`
	EjectedFor   time.Duration `json:"Left"`    // remaining time of the ejection; 0 if there is none
	SlowStartAge time.Duration `json:"ColdFor"` // 0 if it does not warm up
	Tokens       float64       `json:"Tokens"`  // in its slow-start bucket; may be negative
}

// ClassSnapshot is what was learned about a class.
type ClassSnapshot struct {
	MeanLatency       float64       `json:"Mean"` // seconds
	FirstAttemptTime  time.Duration `json:"TryTime"`
	FirstAttemptVotes int           `json:"TryVotes"`
}

// RateSnapshot is an exponentially weighted rate.
type RateSnapshot struct {
	Sum float64       `json:"Sum"`
	Age time.Duration `json:"Age"` // since its first event; 0 if there was none
}

const (
	// startTolerance is how much two processes' clock times of an endpoint's start may differ.
	startTolerance = 10 * time.Millisecond
	// rateLifetime is the age above which rates, and the state of load shedding, are discarded.
	rateLifetime = 2 * time.Second
)

// Snapshot returns what the Balancer has learned until now.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{
		Endpoints:         map[string]EndpointSnapshot{},
		Classes:           map[string]ClassSnapshot{},
		Tenants:           map[string]RateSnapshot{},
		LocalFraction:     b.locality.localFraction,
		HedgeSuccessRatio: b.hedges.successRatio,
	}
	b.latency.snapshot(&s)
	b.admission.snapshot(&s, now)
	for _, ep := range b.endpoints.order {
		s.Endpoints[ep.id] = ep.snapshot(now)
	}
	for name, c := range b.classes {
		s.Classes[name] = ClassSnapshot{c.meanLatency, c.firstAttempt.remaining, c.firstAttempt.votes}
	}
	for i, t := range b.settings.Tenants {
		s.Tenants[t.Name] = b.admission.tenants[i].snapshot(now)
	}
	return s
}

func (m *latencyModel) snapshot(s *Snapshot) {
	s.FleetLatency, s.MeanLatency, s.MeanHint = m.fleetMean, m.mean, m.meanHint
	s.MedianLatency, s.HedgeDelay = m.median.value, m.hedgeDelay.value
	s.MachineLatency = map[string]float64{}
	for kind, mean := range m.byMachine {
		s.MachineLatency[kind] = *mean
	}
}

func (a *admission) snapshot(s *Snapshot, now time.Duration) {
	s.LimitFraction = a.limitFraction
	s.Congestion, s.CongestionAge = a.congestion, now-a.congestionAt
	s.OfferedAtShedding = a.offeredAtShedding
	s.Offered, s.Served = a.offered.snapshot(now), a.served.snapshot(now)
	if a.lastShedAt != 0 {
		s.SheddingAge = max(now-a.lastShedAt, 1)
	}
}

func (ep *endpoint) snapshot(now time.Duration) EndpointSnapshot {
	s := EndpointSnapshot{
		PeakEWMA:   ep.latency.value,
		Age:        now - ep.latency.at,
		Ejections:  ep.health.ejections,
		EjectedFor: max(ep.health.ejectedUntil-now, 0),
	}
	if ep.startedAt > 0 {
		s.Uptime = now - ep.startedAt
	}
	if ep.slowStart.active {
		s.SlowStartAge, s.Tokens = now-ep.slowStart.startedAt, ep.slowStart.tokens
	}
	return s
}

// onSnapshot restores what the previous process has learned. A snapshot with an invalid value is ignored.
func (b *Balancer) onSnapshot(s Snapshot) {
	if !s.valid() {
		return
	}
	b.latency.restore(&s)
	b.admission.restore(&s, b.now)
	b.locality.localFraction, b.hedges.successRatio = s.LocalFraction, s.HedgeSuccessRatio
	for name, x := range s.Classes {
		if c := b.classes[name]; c != nil {
			c.meanLatency, c.firstAttempt = x.MeanLatency, firstAttemptTime{x.FirstAttemptTime, x.FirstAttemptVotes}
		}
	}
	for i, t := range b.settings.Tenants {
		if x, ok := s.Tenants[t.Name]; ok {
			b.admission.tenants[i].restore(x, b.now)
		}
	}
	for _, ep := range b.endpoints.order {
		if x, ok := s.Endpoints[ep.id]; ok && ep.sameProcess(x, b.now) {
			ep.restore(x, b.now, b.settings.SlowStartWindow)
		}
	}
}

func (m *latencyModel) restore(s *Snapshot) {
	for kind, mean := range s.MachineLatency {
		if m.byMachine[kind] == nil {
			m.byMachine[kind] = new(float64)
		}
		*m.byMachine[kind] = mean
	}
	m.fleetMean, m.mean, m.meanHint = s.FleetLatency, s.MeanLatency, s.MeanHint
	m.median.value, m.hedgeDelay.value = s.MedianLatency, s.HedgeDelay
}

func (a *admission) restore(s *Snapshot, now time.Duration) {
	a.limitFraction = s.LimitFraction
	a.congestion, a.congestionAt = s.Congestion, now-s.CongestionAge
	a.offeredAtShedding = s.OfferedAtShedding
	if s.SheddingAge > 0 {
		a.lastShedAt = now - s.SheddingAge
	}
	a.offered.restore(s.Offered, now)
	a.served.restore(s.Served, now)
}

// sameProcess reports whether s is from this process of the endpoint, and not from one before a restart.
func (ep *endpoint) sameProcess(s EndpointSnapshot, now time.Duration) bool {
	if ep.startedAt == 0 || s.Uptime == 0 {
		return ep.startedAt == 0 && s.Uptime == 0
	}
	return (now - ep.startedAt - s.Uptime).Abs() <= startTolerance
}

func (ep *endpoint) restore(s EndpointSnapshot, now, slowStartWindow time.Duration) {
	ep.latency = peakEWMA{s.PeakEWMA, now - s.Age}
	ep.health.ejections = s.Ejections
	if s.EjectedFor > 0 {
		ep.health.ejectedUntil = now + s.EjectedFor
	}
	if s.SlowStartAge > 0 && s.SlowStartAge < slowStartWindow {
		ep.slowStart = slowStart{active: true, startedAt: now - s.SlowStartAge, refilledAt: now, tokens: s.Tokens}
	}
}

// Age updates a snapshot that was taken d ago. If crashed is set, its process has ended unexpectedly: what it
// sent since then to endpoints that warm up is unknown, and all tokens in their buckets count as used.
func (s *Snapshot) Age(d time.Duration, crashed bool) {
	for id, x := range s.Endpoints {
		x.age(d, crashed)
		s.Endpoints[id] = x
	}
	s.CongestionAge += d
	if d <= rateLifetime {
		return
	}
	s.SheddingAge, s.OfferedAtShedding, s.Offered, s.Served = 0, 0, RateSnapshot{}, RateSnapshot{}
	for name := range s.Tenants {
		s.Tenants[name] = RateSnapshot{}
	}
}

func (s *EndpointSnapshot) age(d time.Duration, crashed bool) {
	s.Age += d
	s.EjectedFor = max(0, s.EjectedFor-d)
	if s.Uptime > 0 {
		s.Uptime += d
	}
	if s.SlowStartAge > 0 {
		s.SlowStartAge += d
		if crashed {
			s.Tokens = min(0, s.Tokens) // a negative number is not changed
		}
	}
}

// valid reports whether all values are usable. A snapshot may come from another version, and an unusable
// value could disturb the decisions.
func (s *Snapshot) valid() bool {
	numbers := []float64{
		s.FleetLatency, s.MeanLatency, s.MeanHint, s.MedianLatency, s.HedgeDelay,
		s.LocalFraction, s.LimitFraction, s.Congestion, s.HedgeSuccessRatio,
		s.OfferedAtShedding, s.Offered.Sum, s.Served.Sum,
	}
	for _, x := range s.Endpoints {
		numbers = append(numbers, x.PeakEWMA, float64(x.Age), float64(x.Ejections), float64(x.EjectedFor),
			float64(x.SlowStartAge), math.Abs(x.Tokens))
	}
	for _, mean := range s.MachineLatency {
		numbers = append(numbers, mean)
	}
	for _, c := range s.Classes {
		numbers = append(numbers, c.MeanLatency)
	}
	for _, t := range s.Tenants {
		numbers = append(numbers, t.Sum)
	}
	invalid := func(x float64) bool { return !(x >= 0) || math.IsInf(x, 0) }
	positive := min(s.FleetLatency, s.MeanLatency, s.MedianLatency, s.HedgeDelay, s.LimitFraction) > 0
	return positive && !slices.ContainsFunc(numbers, invalid)
}
