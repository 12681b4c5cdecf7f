package fleet

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"mosslead/balancer"
	"mosslead/internal/lab/model"
)

// Fleet is one play. It is not safe for concurrent use.
type Fleet struct {
	plan     Plan
	rng      *rand.Rand
	now      time.Duration
	steps    stepHeap
	seq      int
	ids      int
	sidecars []*sidecar
	ups      []*upstream          // by place
	byID     map[string]*upstream // all that ever were
	load     float64
	perLoad  float64 // requests a second at a load of 1
	shares   float64 // their sum
	seen     Seen
}

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
	window  []arrival // of the rule's window, while cold
}

type sidecar struct {
	n     int
	zone  string
	share float64
	b     *balancer.Balancer
	life  int                        // restarts
	armed time.Duration              // its Wake
	known map[string]balancer.Member // what its agent has
	order []string                   // of known, as told
	reqs  map[string]*request
	acts  []balancer.Action
}

type request struct {
	id, class    string
	work         time.Duration
	arrived, aim time.Duration
	expires      time.Duration
	left         int // tries
	attempts     []*attempt
	done         bool
}

type attempt struct {
	s     *sidecar
	life  int
	r     *request
	n     int
	u     *upstream
	job   string
	sent  time.Duration
	ended bool
}

// New is a play before its first moment: all upstreams are warm and known, all sidecars new.
func New(p Plan) (*Fleet, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	f := &Fleet{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 0x666c656574)), byID: map[string]*upstream{}, load: p.Load}
	for i := range p.Upstreams {
		u := f.start(i, fmt.Sprintf("u%d", i), 0)
		f.perLoad += u.spec.Capacity() / p.Work.Seconds()
	}
	for i := range p.Sidecars {
		s := &sidecar{n: i, zone: p.Zones[i%len(p.Zones)], share: p.Shares[i%len(p.Shares)], known: map[string]balancer.Member{}}
		f.shares += s.share
		for _, u := range f.ups {
			s.learn(u.member(balancer.Active))
		}
		f.sidecars = append(f.sidecars, s)
		if err := f.boot(s); err != nil {
			return nil, err
		}
	}
	for _, s := range f.sidecars {
		f.arrivals(s)
	}
	return f, nil
}

// At does something when the play comes to t.
func (f *Fleet) At(t time.Duration, do func()) {
	f.seq++
	heap.Push(&f.steps, step{max(t, f.now), f.seq, do})
}

// Run plays up to a moment and tells what was seen by then.
func (f *Fleet) Run(until time.Duration) Seen {
	for len(f.steps) > 0 && f.steps[0].at <= until {
		s := heap.Pop(&f.steps).(step)
		f.now = s.at
		s.do()
	}
	f.now = until
	return f.seen
}

// Load changes the load from now on.
func (f *Fleet) Load(load float64) { f.load = load }

// ---- upstreams ----

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
	return u
}

func (u *upstream) member(s balancer.State) balancer.Member {
	return balancer.Member{Upstream: u.id, Zone: u.zone, State: s, CameUp: u.started}
}

// Replace drains the process at place for a time, then ends it; another, with a name of its own, starts after boot.
func (f *Fleet) Replace(place int, drain, boot time.Duration) {
	old := f.ups[place]
	f.tell(old.member(balancer.Leaving))
	f.At(f.now+drain, func() {
		f.stop(old, false)
		f.tell(old.member(balancer.Left))
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
		f.tell(old.member(balancer.Left))
	}
	f.At(f.now+d, func() { f.tell(f.start(place, old.id, f.now).member(balancer.Active)) })
}

// stop ends a process; what it held is reset, or never heard of again.
func (f *Fleet) stop(u *upstream, silent bool) {
	u.up, u.silent, u.next = false, silent, model.Never
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

// ---- the list ----

// tell spreads a change to every sidecar, in its own time.
func (f *Fleet) tell(m balancer.Member) {
	for _, s := range f.sidecars {
		wait := f.plan.Notice[0] + time.Duration(f.rng.Float64()*float64(f.plan.Notice[1]-f.plan.Notice[0]))
		f.At(f.now+wait, func() {
			s.learn(m)
			f.do(s, balancer.Members{Kind: balancer.Change, Entries: []balancer.Member{m}})
		})
	}
}

func (s *sidecar) learn(m balancer.Member) {
	if _, known := s.known[m.Upstream]; !known {
		s.order = append(s.order, m.Upstream)
	}
	s.known[m.Upstream] = m
}

// ---- sidecars ----

// Restart kills a sidecar's process; the next one begins at once, and knows what its agent has.
func (f *Fleet) Restart(n int) error { return f.boot(f.sidecars[n]) }

func (f *Fleet) boot(s *sidecar) error {
	set := f.plan.Settings
	set.Balancers, set.Zone, set.Tenants = f.plan.Sidecars, s.zone, nil
	b, err := balancer.New(set, f.rng.Uint64())
	if err != nil {
		return fmt.Errorf("sidecar %d: %w", s.n, err)
	}
	s.life++
	s.b, s.armed, s.reqs = b, 0, map[string]*request{}
	full := balancer.Members{Kind: balancer.Full}
	for _, id := range s.order {
		if m := s.known[id]; m.State == balancer.Active {
			full.Entries = append(full.Entries, m)
		}
	}
	f.do(s, full)
	return nil
}

// do hands a sidecar an event and carries out what it answers.
func (f *Fleet) do(s *sidecar, e balancer.Event) {
	acts := s.b.Handle(f.now, e, s.acts[:0])
	s.acts = nil // what follows may come back here
	for _, a := range acts {
		r := s.reqs[a.ID]
		switch a.Kind {
		case balancer.Send:
			f.send(s, r, a)
		case balancer.Cancel:
			at := r.attempts[a.Attempt]
			f.At(f.now, func() { f.end(at, balancer.Cancelled) })
		case balancer.Refuse:
			f.second().Refused++
			f.answered(s, r, false)
		case balancer.Fail:
			f.second().Failed++
			f.answered(s, r, false)
		case balancer.SetTimer:
			s.armed = a.At
			life := s.life
			f.At(a.At, func() {
				if s.life == life && s.armed == a.At {
					f.do(s, balancer.Wake{})
				}
			})
		}
	}
	s.acts = acts
}

func (f *Fleet) send(s *sidecar, r *request, act balancer.Action) {
	f.ids++
	a := &attempt{s: s, life: s.life, r: r, n: len(r.attempts), u: f.byID[act.Upstream], job: strconv.Itoa(f.ids), sent: f.now}
	r.attempts = append(r.attempts, a)
	f.second().Attempts++
	f.At(f.now+f.trip(a)/2, func() { f.offer(a) })
	f.At(f.now+act.Timeout, func() { f.end(a, balancer.Timeout) })
}

// offer brings an attempt to its upstream: the process that runs there now.
func (f *Fleet) offer(a *attempt) {
	a.u = f.byID[a.u.id]
	u, back := a.u, f.now+f.trip(a)/2
	if u.silent {
		return
	}
	if !u.up {
		f.At(back, func() { f.end(a, balancer.ConnectFailed) })
		return
	}
	f.advance(u)
	if f.overCold(u, a) {
		f.stop(u, false)
		f.At(back, func() { f.end(a, balancer.Reset) })
		return
	}
	if u.server.Offer(f.now, model.Job{ID: a.job, Work: a.r.work}) != model.Taken {
		f.second().TurnedAway++
		f.At(back, func() { f.end(a, balancer.Overloaded) })
		return
	}
	u.jobs[a.job] = a
	f.drive(u)
}

// end reports an attempt's outcome, unless it has one or its sidecar is gone.
func (f *Fleet) end(a *attempt, res balancer.Result) {
	if a.ended || a.life != a.s.life {
		return
	}
	a.ended = true
	finished := res == balancer.OK && !a.r.done
	if finished {
		if f.now <= a.r.aim {
			f.second().InTime++
		} else {
			f.second().Late++
		}
		f.answered(a.s, a.r, true)
	}
	f.do(a.s, balancer.Outcome{ID: a.r.id, Attempt: a.n, Result: res, Elapsed: f.now - a.sent, Finished: finished})
}

// ---- clients ----

func (f *Fleet) arrivals(s *sidecar) {
	rate := f.load * f.perLoad * s.share / f.shares
	if rate <= 0 {
		f.At(f.now+100*time.Millisecond, func() { f.arrivals(s) })
		return
	}
	f.At(f.now+time.Duration(f.rng.ExpFloat64()/rate*1e9), func() {
		f.try(s, &request{work: f.work(), left: 1 + f.plan.Retries})
		f.arrivals(s)
	})
}

// work draws a lognormal with the plan's mean and deviation.
func (f *Fleet) work() time.Duration {
	v := math.Log(1 + f.plan.CV*f.plan.CV)
	return time.Duration(float64(f.plan.Work) * math.Exp(f.rng.NormFloat64()*math.Sqrt(v)-v/2))
}

// try sends a request to a sidecar, for the first time or again.
func (f *Fleet) try(s *sidecar, r *request) {
	f.ids++
	c := f.plan.Settings.Classes[f.rng.IntN(len(f.plan.Settings.Classes))]
	now := &request{id: strconv.Itoa(f.ids), class: c.Name, work: r.work, left: r.left - 1, arrived: f.now,
		aim: f.now + c.Aim, expires: f.now + c.Deadline}
	s.reqs[now.id] = now
	f.second().Tries++
	f.do(s, balancer.Request{ID: now.id, Class: now.class, Expires: now.expires})
}

func (f *Fleet) answered(s *sidecar, r *request, served bool) {
	if r.done {
		return
	}
	r.done = true
	if !served && r.left > 0 {
		f.At(f.now+time.Duration(f.rng.ExpFloat64()*float64(f.plan.Backoff)), func() { f.try(s, r) })
	}
	f.At(r.expires+time.Second, func() { delete(s.reqs, r.id) })
}

func (f *Fleet) second() *Second {
	n := int(f.now / time.Second)
	for len(f.seen.Seconds) <= n {
		f.seen.Seconds = append(f.seen.Seconds, Second{})
	}
	return &f.seen.Seconds[n]
}

// ---- the order of things ----

type step struct {
	at  time.Duration
	seq int
	do  func()
}

type stepHeap []step

func (h stepHeap) Len() int { return len(h) }
func (h stepHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h stepHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *stepHeap) Push(x any)   { *h = append(*h, x.(step)) }
func (h *stepHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = step{}
	*h = old[:len(old)-1]
	return last
}
