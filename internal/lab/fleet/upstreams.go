package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"mosslead/balancer"
	"mosslead/internal/lab/model"
)

type upstream struct {
	id        string
	index     int
	zone      string
	server    *model.Server
	spec      model.Spec
	started   time.Duration // 0: long ago
	up        bool
	silent    bool // it does not answer, or even refuse
	advanceAt time.Duration
	jobs      map[string]*attempt
	window    []arrival     // of the rule's window, while cold
	coldWork  float64       // in all, while cold, in mean requests
	endedAt   time.Duration // 0: it runs
}

// startProcess begins a process at place, cold unless the play begins.
func (f *Fleet) startProcess(place int, id string, at time.Duration) *upstream {
	p := &f.plan
	spec := p.Specs[place%len(p.Specs)]
	spec.ColdFrom, spec.ColdFor, spec.FallMultiple = p.Rule.ColdFrom, p.Rule.WarmUp, 0 // falls are counted here
	began := at
	if at == 0 {
		began = -p.Rule.WarmUp
	} else {
		f.result.ColdStarts++
	}
	u := &upstream{id: id, index: place, zone: p.Zones[place%len(p.Zones)], spec: spec, started: at, up: true,
		server: model.New(spec, f.rng.Uint64(), began, at), advanceAt: model.Never, jobs: map[string]*attempt{}}
	if place == len(f.upstreams) {
		f.upstreams = append(f.upstreams, nil)
	}
	f.upstreams[place], f.byID[id] = u, u
	if at > 0 {
		f.coldStarted = append(f.coldStarted, u)
	}
	return u
}

func (u *upstream) endpoint(s balancer.EndpointState) balancer.Endpoint {
	return balancer.Endpoint{Upstream: u.id, Zone: u.zone, State: s, StartedAt: u.started}
}

// Replace drains the process at place for a time, then ends it; another, with a name of its own, starts after boot.
func (f *Fleet) Replace(place int, drain, boot time.Duration) {
	old := f.upstreams[place]
	f.announce(old.endpoint(balancer.Draining))
	f.At(f.now+drain, func() {
		f.stopProcess(old, false)
		f.announce(old.endpoint(balancer.Removed))
		f.At(f.now+boot, func() {
			f.lastID++
			f.announce(f.startProcess(place, fmt.Sprintf("u%d.%d", place, f.lastID), f.now).endpoint(balancer.Active))
		})
	})
}

// Lose makes the process at place vanish without a word for a time. Its list entry stays, as while nobody has noticed,
// or goes where noticed says so; then the same upstream starts anew.
func (f *Fleet) Lose(place int, d time.Duration, noticed bool) {
	old := f.upstreams[place]
	f.stopProcess(old, true)
	if noticed {
		f.announce(old.endpoint(balancer.Removed))
	}
	f.At(f.now+d, func() { f.announce(f.startProcess(place, old.id, f.now).endpoint(balancer.Active)) })
}

// stopProcess ends a process; what it held is reset, or never heard of again.
func (f *Fleet) stopProcess(u *upstream, silent bool) {
	u.up, u.silent, u.advanceAt, u.endedAt = false, silent, model.Never, f.now
	u.server.Fell()
	jobs := u.jobs
	u.jobs = map[string]*attempt{}
	if silent {
		return
	}
	for _, job := range slices.Sorted(maps.Keys(jobs)) { // in order, so that a play repeats
		f.endAttempt(jobs[job], balancer.Reset)
	}
}

func (f *Fleet) scheduleAdvance(u *upstream) {
	at := u.server.Next()
	if at == model.Never || at >= u.advanceAt && u.advanceAt > f.now {
		return
	}
	u.advanceAt = at
	f.At(at, func() {
		if u.advanceAt != at || !u.up {
			return
		}
		f.advance(u)
		u.advanceAt = model.Never
		f.scheduleAdvance(u)
	})
}

func (f *Fleet) advance(u *upstream) {
	for _, d := range u.server.Advance(f.now) {
		a := u.jobs[d.ID]
		delete(u.jobs, d.ID)
		res := balancer.OK
		if d.Failed {
			res = balancer.ServerError
		}
		f.At(f.now+f.roundTrip(a)/2, func() { f.endAttempt(a, res) })
	}
}

func (f *Fleet) roundTrip(a *attempt) time.Duration {
	if a.sidecar.zone == a.upstream.zone {
		return f.plan.SameZone
	}
	return f.plan.CrossZone
}
