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
	id      string
	place   int
	zone    string
	server  *model.Server
	spec    model.Spec
	started time.Duration // 0: long ago
	up      bool
	silent  bool // it does not answer, or even refuse
	next    time.Duration
	jobs    map[string]*attempt
	window  []arrival     // of the rule's window, while cold
	got     float64       // in all, while cold, in mean requests
	ended   time.Duration // 0: it runs
}

// start begins a process at place, cold unless the play begins.
func (f *Fleet) start(place int, id string, at time.Duration) *upstream {
	p := &f.plan
	spec := p.Kinds[place%len(p.Kinds)]
	spec.ColdFrom, spec.ColdFor, spec.FallMultiple = p.Rule.ColdFrom, p.Rule.WarmUp, 0 // falls are counted here
	began := at
	if at == 0 {
		began = -p.Rule.WarmUp
	} else {
		f.seen.Cold++
	}
	u := &upstream{id: id, place: place, zone: p.Zones[place%len(p.Zones)], spec: spec, started: at, up: true,
		server: model.New(spec, f.rng.Uint64(), began, at), next: model.Never, jobs: map[string]*attempt{}}
	if place == len(f.ups) {
		f.ups = append(f.ups, nil)
	}
	f.ups[place], f.byID[id] = u, u
	if at > 0 {
		f.cold = append(f.cold, u)
	}
	return u
}

func (u *upstream) member(s balancer.EndpointState) balancer.Endpoint {
	return balancer.Endpoint{Upstream: u.id, Zone: u.zone, State: s, StartedAt: u.started}
}

// Replace drains the process at place for a time, then ends it; another, with a name of its own, starts after boot.
func (f *Fleet) Replace(place int, drain, boot time.Duration) {
	old := f.ups[place]
	f.tell(old.member(balancer.Draining))
	f.At(f.now+drain, func() {
		f.stop(old, false)
		f.tell(old.member(balancer.Removed))
		f.At(f.now+boot, func() {
			f.ids++
			f.tell(f.start(place, fmt.Sprintf("u%d.%d", place, f.ids), f.now).member(balancer.Active))
		})
	})
}

// Lose makes the process at place vanish without a word for a time. Its list entry stays, as while nobody has noticed,
// or goes where noticed says so; then the same upstream starts anew.
func (f *Fleet) Lose(place int, d time.Duration, noticed bool) {
	old := f.ups[place]
	f.stop(old, true)
	if noticed {
		f.tell(old.member(balancer.Removed))
	}
	f.At(f.now+d, func() { f.tell(f.start(place, old.id, f.now).member(balancer.Active)) })
}

// stop ends a process; what it held is reset, or never heard of again.
func (f *Fleet) stop(u *upstream, silent bool) {
	u.up, u.silent, u.next, u.ended = false, silent, model.Never, f.now
	u.server.Fell()
	jobs := u.jobs
	u.jobs = map[string]*attempt{}
	if silent {
		return
	}
	for _, job := range slices.Sorted(maps.Keys(jobs)) { // in order, so that a play repeats
		f.end(jobs[job], balancer.Reset)
	}
}

func (f *Fleet) drive(u *upstream) {
	at := u.server.Next()
	if at == model.Never || at >= u.next && u.next > f.now {
		return
	}
	u.next = at
	f.At(at, func() {
		if u.next != at || !u.up {
			return
		}
		f.advance(u)
		u.next = model.Never
		f.drive(u)
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
		f.At(f.now+f.trip(a)/2, func() { f.end(a, res) })
	}
}

func (f *Fleet) trip(a *attempt) time.Duration {
	if a.s.zone == a.u.zone {
		return f.plan.Same
	}
	return f.plan.Cross
}
