package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"mosslead/balancer"
	"mosslead/internal/lab/model"
)

// upstream is one process of an upstream.
type upstream struct {
	id        string
	index     int
	zone      string
	server    *model.Server
	spec      model.Spec
	started   time.Duration // 0: before the run, and warm
	running   bool
	silent    bool // it neither answers nor refuses connections
	advanceAt time.Duration
	jobs      map[string]*attempt
	window    []arrival     // arrivals within the rule's window, while cold
	coldWork  float64       // all work received while cold, in requests of mean work
	endedAt   time.Duration // 0: it still runs
}

// startProcess starts a process at an index. It is cold, unless it starts with the run.
func (f *Fleet) startProcess(index int, id string, at time.Duration) *upstream {
	p := &f.plan
	spec := p.Specs[index%len(p.Specs)]
	spec.ColdFrom, spec.ColdFor, spec.FallMultiple = p.Rule.ColdFrom, p.Rule.WarmUp, 0 // falls are decided by recordColdArrival
	processStart := at
	if at == 0 {
		processStart = -p.Rule.WarmUp
	} else {
		f.result.ColdStarts++
	}
	u := &upstream{id: id, index: index, zone: p.Zones[index%len(p.Zones)], spec: spec, started: at, running: true,
		server: model.New(spec, f.rng.Uint64(), processStart, at), advanceAt: model.Never, jobs: map[string]*attempt{}}
	if index == len(f.upstreams) {
		f.upstreams = append(f.upstreams, nil)
	}
	f.upstreams[index], f.byID[id] = u, u
	if at > 0 {
		f.coldStarted = append(f.coldStarted, u)
	}
	return u
}

func (u *upstream) endpoint(s balancer.EndpointState) balancer.Endpoint {
	return balancer.Endpoint{Upstream: u.id, Zone: u.zone, State: s, StartedAt: u.started}
}

// Replace drains the process at an index for a time and then stops it; after boot another one starts there under a new id.
func (f *Fleet) Replace(index int, drain, boot time.Duration) {
	old := f.upstreams[index]
	f.announce(old.endpoint(balancer.Draining))
	f.At(f.now+drain, func() {
		f.stopProcess(old, false)
		f.announce(old.endpoint(balancer.Removed))
		f.At(f.now+boot, func() {
			f.lastID++
			f.announce(f.startProcess(index, fmt.Sprintf("u%d.%d", index, f.lastID), f.now).endpoint(balancer.Active))
		})
	})
}

// Lose makes the process at an index unreachable for a time; then the same upstream starts anew. Its list entry is
// removed meanwhile if noticed is true, and stays otherwise.
func (f *Fleet) Lose(index int, d time.Duration, noticed bool) {
	old := f.upstreams[index]
	f.stopProcess(old, true)
	if noticed {
		f.announce(old.endpoint(balancer.Removed))
	}
	f.At(f.now+d, func() { f.announce(f.startProcess(index, old.id, f.now).endpoint(balancer.Active)) })
}

// stopProcess ends a process. Its attempts are reset, or get no answer at all if silent.
func (f *Fleet) stopProcess(u *upstream, silent bool) {
	u.running, u.silent, u.advanceAt, u.endedAt = false, silent, model.Never, f.now
	u.server.Fell()
	jobs := u.jobs
	u.jobs = map[string]*attempt{}
	if silent {
		return
	}
	for _, job := range slices.Sorted(maps.Keys(jobs)) { // sorted, so that a run can be repeated
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
		if u.advanceAt != at || !u.running {
			return
		}
		f.advance(u)
		u.advanceAt = model.Never
		f.scheduleAdvance(u)
	})
}

func (f *Fleet) advance(u *upstream) {
	for _, done := range u.server.Advance(f.now) {
		a := u.jobs[done.ID]
		delete(u.jobs, done.ID)
		result := balancer.OK
		if done.Failed {
			result = balancer.ServerError
		}
		f.At(f.now+f.roundTrip(a)/2, func() { f.endAttempt(a, result) })
	}
}

func (f *Fleet) roundTrip(a *attempt) time.Duration {
	if a.sidecar.zone == a.upstream.zone {
		return f.plan.SameZone
	}
	return f.plan.CrossZone
}
