package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"mosslead/balancer"
	"mosslead/internal/lab/model"
)

const ms = time.Millisecond

// LargePlan returns the plan of a fleet like the one in service: 300 sidecars of unequal traffic in front of 160 upstreams in
// four zones.
func LargePlan(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := Plan{
		Seed: seed, Sidecars: 300, Upstreams: 160, Zones: []string{"a", "b", "c", "d"},
		Load: 0.85, Work: 130 * ms, Retries: 1, Backoff: 100 * ms, SameZone: ms / 2, CrossZone: 8 * ms,
		NoticeDelay: [2]time.Duration{600 * ms, 1500 * ms},
		Rule:        Rule{ColdFrom: 0.3, WarmUp: 8800 * ms, Multiple: 4, Window: time.Second},
		Settings: balancer.Settings{MaxAttempts: 6, Cancellation: true, Tick: 5 * ms, ConnectTimeout: 200 * ms,
			CrossZoneCost: 0.1, SlowStartCapacity: 0.3, SlowStartWindow: 8800 * ms, OverloadMultiple: 4, OverloadDuration: time.Second,
			Classes: []balancer.Class{
				{Name: "read", LatencyObjective: 750 * ms, Deadline: 4 * time.Second, PriorityWeight: 2, LateValueFraction: 0.25},
				{Name: "order", LatencyObjective: 750 * ms, Deadline: 3 * time.Second, PriorityWeight: 3, LateValueFraction: 0.5, Idempotency: balancer.NotIdempotent}}},
	}
	for range p.Sidecars {
		p.Shares = append(p.Shares, 0.2+rng.ExpFloat64()) // a few get several times the mean
	}
	for i := range 15 {
		spec := model.Spec{Cores: 3 + i%2, Speed: 0.75 + 0.2*float64(i%2), SlotsPerCore: 8, QueuePerCore: 30, Thrash: 0.08, ThrashAt: 6}
		spec.Speed *= max(0.5, 1+0.2*rng.NormFloat64())
		p.Specs = append(p.Specs, spec)
	}
	return p
}

// Release replaces a share of all upstreams one after another, evenly over d from at on.
func (f *Fleet) Release(at, d time.Duration, share float64) {
	n := int(share * float64(len(f.upstreams)))
	for i := range n {
		f.At(at+time.Duration(i)*d/time.Duration(n), func() { f.Replace(i*len(f.upstreams)/n, time.Second, 500*ms) })
	}
}

// LoseZones stops the upstreams of some zones at a moment and removes them from the lists; they start again one by one 3 to
// 11 s later.
func (f *Fleet) LoseZones(at time.Duration, zones ...string) {
	f.At(at, func() {
		for i, u := range f.upstreams {
			if slices.Contains(zones, u.zone) {
				f.Lose(i, 3*time.Second+time.Duration(i)*8*time.Second/time.Duration(len(f.upstreams)), true)
			}
		}
	})
}

// RestartAll restarts every sidecar within the second that begins at at.
func (f *Fleet) RestartAll(at time.Duration) {
	for i := range f.sidecars {
		f.At(at+time.Duration(i)*time.Second/time.Duration(len(f.sidecars)), func() { f.Restart(i) })
	}
}

// MoveClients moves a share of one sidecar's clients to another sidecar at a moment.
func (f *Fleet) MoveClients(at time.Duration, from, to int, share float64) {
	f.At(at, func() {
		moved := f.sidecars[from].share * share
		f.sidecars[from].share -= moved
		f.sidecars[to].share += moved
	})
}
