package experiment

import (
	"cmp"
	"fmt"
	"time"
)

// setDefaults sets what a file leaves out: a fleet like the one in production. Its work and times are shorter by a
// factor of two and a half, as on the platform's test bench, so that a short play has as many requests as a longer one.
func (e *Experiment) setDefaults() {
	if len(e.Seeds) == 0 {
		e.Seeds = []uint64{1}
	}
	e.Repeats = cmp.Or(e.Repeats, 1)
	f := &e.Fleet
	f.Sidecars, f.Upstreams = cmp.Or(f.Sidecars, 4), cmp.Or(f.Upstreams, 12)
	f.CellSize, f.Cores, f.MemoryMB, f.Sockets = cmp.Or(f.CellSize, 4), cmp.Or(f.Cores, 1), cmp.Or(f.MemoryMB, 64), cmp.Or(f.Sockets, 512)
	if len(f.Zones) == 0 {
		f.Zones = []string{"south", "centre", "east", "north"}
	}
	setDuration := func(d *Duration, value time.Duration) { d.Duration = cmp.Or(d.Duration, value) }
	setDuration(&e.Net.Same, 200*time.Microsecond)
	setDuration(&e.Net.Cross, 3*time.Millisecond)
	setDuration(&e.Discovery.Late, 500*time.Millisecond)
	setDuration(&e.Discovery.Notice, time.Second)
	setDuration(&e.Discovery.SilentNotice, 4*time.Second)
	setDuration(&e.Registry.Lease, 1500*time.Millisecond)
	setDuration(&e.Registry.Grace, 500*time.Millisecond)
	setDuration(&e.Registry.Stale, 3*time.Second)
	e.History.Names = cmp.Or(e.History.Names, 4)
	e.Registry.Preserve = cmp.Or(e.Registry.Preserve, 0.3)
	setDuration(&e.Rules.DrainGrace, 3*time.Second)
	setDuration(&e.Rules.WarmUp, 4*time.Second)
	setDuration(&e.Rules.Fall, time.Second)
	e.Rules.ColdFrom = cmp.Or(e.Rules.ColdFrom, 0.3)
	e.Rules.FallMultiple = cmp.Or(e.Rules.FallMultiple, 4)
	e.Rules.MaxAttempts = cmp.Or(e.Rules.MaxAttempts, 6)
	l := &e.Load
	l.Shape = cmp.Or(l.Shape, "poisson")
	l.Keys, l.KeyZipf = cmp.Or(l.Keys, 2000), cmp.Or(l.KeyZipf, 0.75)
	l.TryShare = cmp.Or(l.TryShare, Range{0.7, 1})
	l.Connections = cmp.Or(l.Connections, f.Sockets/3)
	setDuration(&l.Backoff, 100*time.Millisecond)
	if len(e.Kinds) == 0 {
		e.Kinds = []Kind{{Name: "cores-4", Share: 0.44, Cores: 4, Speed: Range{0.85, 1.1}}, {Name: "cores-3", Share: 0.56, Cores: 3, Speed: Range{0.64, 0.86}}}
	}
	for i := range e.Kinds {
		e.Kinds[i].setDefaults(e.Rules)
	}
	if len(e.Classes) == 0 {
		e.Classes = []Class{
			{Name: "read", Share: 0.81, Work: Duration{50 * time.Millisecond}, CV: 1.6, Worth: 2, LateWorth: 0.25,
				Aim: Duration{300 * time.Millisecond}, Deadline: Duration{1600 * time.Millisecond}},
			{Name: "order", Share: 0.19, Work: Duration{40 * time.Millisecond}, CV: 1.8, Dist: "pareto", Worth: 3, LateWorth: 0.5,
				Aim: Duration{300 * time.Millisecond}, Deadline: Duration{1200 * time.Millisecond}, Unsafe: true},
		}
	}
	if len(e.Tenants) == 0 {
		e.Tenants = []Tenant{{Name: "tenant-1", Share: 0.43}, {Name: "tenant-2", Share: 0.28},
			{Name: "tenant-3", Share: 0.17}, {Name: "tenant-4", Share: 0.12}}
	}
	if len(e.Variants) == 0 {
		e.Variants = []Variant{{Name: "today"}}
	}
	for i := range e.Variants {
		e.Variants[i].Known = cmp.Or(e.Variants[i].Known, "latest")
	}
	for i := range e.Faults {
		e.Faults[i].Name = cmp.Or(e.Faults[i].Name, fmt.Sprintf("%s %d", e.Faults[i].Kind, i+1))
	}
}

// setDefaults sets what a file leaves out of a kind of upstream.
func (k *Kind) setDefaults(r Rules) {
	setDuration := func(d *Duration, value time.Duration) { d.Duration = cmp.Or(d.Duration, value) }
	k.Share, k.Cores = cmp.Or(k.Share, 1), cmp.Or(k.Cores, 4)
	k.Speed, k.Slots, k.Queue = cmp.Or(k.Speed, Range{1, 1}), cmp.Or(k.Slots, Range{4, 12}), cmp.Or(k.Queue, Range{21, 47})
	k.Thrash, k.ThrashAt = cmp.Or(k.Thrash, Range{0.03, 0.15}), cmp.Or(k.ThrashAt, Range{3.5, 8.6})
	k.ColdFrom = cmp.Or(k.ColdFrom, Range{max(r.ColdFrom, 0.3), max(r.ColdFrom, 0.5)})
	setDuration(&k.ColdFor, r.WarmUp.Duration*7/8)
	setDuration(&k.PauseEvery, 6*time.Second)
	setDuration(&k.PauseFor, 80*time.Millisecond)
	k.KeyGain, k.Keys = cmp.Or(k.KeyGain, 0.4), cmp.Or(k.Keys, 30)
	setDuration(&k.KeyFor, 2*time.Second)
	k.Conns, k.FullTax, k.RoundTrips = cmp.Or(k.Conns, 700), cmp.Or(k.FullTax, 0.3), cmp.Or(k.RoundTrips, 2.5)
	setDuration(&k.Handshake, 1700*time.Microsecond)
	setDuration(&k.ProbeWork, 50*time.Microsecond)
	k.ChokeAt, k.ChokeSlower, k.ChokeBelow = cmp.Or(k.ChokeAt, 5.5), cmp.Or(k.ChokeSlower, 2.8), cmp.Or(k.ChokeBelow, 0.35)
	setDuration(&k.ChokeOver, 800*time.Millisecond)
	setDuration(&k.ChokeRest, 1400*time.Millisecond)
	setDuration(&k.ChokeMost, 10*time.Second)
	k.WeightRough = cmp.Or(k.WeightRough, 0.15)
}
