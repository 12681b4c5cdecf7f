package fleet

import (
	"fmt"
	"strconv"
	"time"

	"mosslead/balancer"
	"mosslead/internal/lab/model"
)

type sidecar struct {
	n     int
	zone  string
	share float64
	b     *balancer.Balancer
	life  int                          // restarts
	armed time.Duration                // its Wake
	known map[string]balancer.Endpoint // what its agent has
	order []string                     // of known, as told
	reqs  map[string]*request
	acts  []balancer.Action
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

// tell spreads a change to every sidecar, in its own time.
func (f *Fleet) tell(m balancer.Endpoint) {
	for _, s := range f.sidecars {
		wait := f.plan.Notice[0] + time.Duration(f.rng.Float64()*float64(f.plan.Notice[1]-f.plan.Notice[0]))
		f.At(f.now+wait, func() {
			s.learn(m)
			f.do(s, balancer.EndpointUpdate{Kind: balancer.Delta, Endpoints: []balancer.Endpoint{m}})
		})
	}
}

func (s *sidecar) learn(m balancer.Endpoint) {
	if _, known := s.known[m.Upstream]; !known {
		s.order = append(s.order, m.Upstream)
	}
	s.known[m.Upstream] = m
}

// Restart kills a sidecar's process; the next one begins at once, and knows what its agent has.
func (f *Fleet) Restart(n int) {
	if err := f.boot(f.sidecars[n]); err != nil {
		panic(err) // these settings were taken before
	}
}

func (f *Fleet) boot(s *sidecar) error {
	set := f.plan.Settings
	set.FleetSize, set.Zone, set.Tenants = f.plan.Sidecars, s.zone, nil
	b, err := balancer.New(set, f.rng.Uint64())
	if err != nil {
		return fmt.Errorf("sidecar %d: %w", s.n, err)
	}
	s.life++
	s.b, s.armed, s.reqs = b, 0, map[string]*request{}
	full := balancer.EndpointUpdate{Kind: balancer.FullState}
	for _, id := range s.order {
		if m := s.known[id]; m.State == balancer.Active {
			full.Endpoints = append(full.Endpoints, m)
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
		case balancer.StartAttempt:
			f.send(s, r, a)
		case balancer.CancelAttempt:
			at := r.attempts[a.Attempt]
			f.At(f.now, func() { f.end(at, balancer.Cancelled) })
		case balancer.Reject:
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
					f.do(s, balancer.TimerFired{})
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
	f.do(a.s, balancer.AttemptEnded{ID: a.r.id, Attempt: a.n, Result: res, Elapsed: f.now - a.sent, Final: finished})
}
