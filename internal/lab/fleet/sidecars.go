package fleet

import (
	"fmt"
	"strconv"
	"time"

	"mosslead/balancer"
	"mosslead/internal/lab/model"
)

type sidecar struct {
	index       int
	zone        string
	share       float64
	b           *balancer.Balancer
	incarnation int                          // restarts
	timerAt     time.Duration                // its Wake
	known       map[string]balancer.Endpoint // what its agent has
	order       []string                     // of known, as told
	requests    map[string]*request
	actionBuf   []balancer.Action
}

type attempt struct {
	sidecar     *sidecar
	incarnation int
	request     *request
	number      int
	upstream    *upstream
	jobID       string
	sent        time.Duration
	ended       bool
}

// announce spreads a change to every sidecar, in its own time.
func (f *Fleet) announce(m balancer.Endpoint) {
	for _, s := range f.sidecars {
		wait := f.plan.NoticeDelay[0] + time.Duration(f.rng.Float64()*float64(f.plan.NoticeDelay[1]-f.plan.NoticeDelay[0]))
		f.At(f.now+wait, func() {
			s.learn(m)
			f.handleEvent(s, balancer.EndpointUpdate{Kind: balancer.Delta, Endpoints: []balancer.Endpoint{m}})
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
		return fmt.Errorf("sidecar %d: %w", s.index, err)
	}
	s.incarnation++
	s.b, s.timerAt, s.requests = b, 0, map[string]*request{}
	full := balancer.EndpointUpdate{Kind: balancer.FullState}
	for _, id := range s.order {
		if m := s.known[id]; m.State == balancer.Active {
			full.Endpoints = append(full.Endpoints, m)
		}
	}
	f.handleEvent(s, full)
	return nil
}

// handleEvent hands a sidecar an event and carries out what it answers.
func (f *Fleet) handleEvent(s *sidecar, e balancer.Event) {
	acts := s.b.Handle(f.now, e, s.actionBuf[:0])
	s.actionBuf = nil // what follows may come back here
	for _, a := range acts {
		r := s.requests[a.ID]
		switch a.Kind {
		case balancer.StartAttempt:
			f.send(s, r, a)
		case balancer.CancelAttempt:
			at := r.attempts[a.Attempt]
			f.At(f.now, func() { f.endAttempt(at, balancer.Cancelled) })
		case balancer.Reject:
			f.currentSecond().Refused++
			f.finishRequest(s, r, false)
		case balancer.Fail:
			f.currentSecond().Failed++
			f.finishRequest(s, r, false)
		case balancer.SetTimer:
			s.timerAt = a.At
			life := s.incarnation
			f.At(a.At, func() {
				if s.incarnation == life && s.timerAt == a.At {
					f.handleEvent(s, balancer.TimerFired{})
				}
			})
		}
	}
	s.actionBuf = acts
}

func (f *Fleet) send(s *sidecar, r *request, act balancer.Action) {
	f.lastID++
	a := &attempt{sidecar: s, incarnation: s.incarnation, request: r, number: len(r.attempts), upstream: f.byID[act.Upstream], jobID: strconv.Itoa(f.lastID), sent: f.now}
	r.attempts = append(r.attempts, a)
	f.currentSecond().Attempts++
	f.At(f.now+f.roundTrip(a)/2, func() { f.offer(a) })
	f.At(f.now+act.Timeout, func() { f.endAttempt(a, balancer.Timeout) })
}

// offer brings an attempt to its upstream: the process that runs there now.
func (f *Fleet) offer(a *attempt) {
	a.upstream = f.byID[a.upstream.id]
	u, back := a.upstream, f.now+f.roundTrip(a)/2
	if u.silent {
		return
	}
	if !u.up {
		f.At(back, func() { f.endAttempt(a, balancer.ConnectFailed) })
		return
	}
	f.advance(u)
	if f.recordColdArrival(u, a) {
		f.stopProcess(u, false)
		f.At(back, func() { f.endAttempt(a, balancer.Reset) })
		return
	}
	if u.server.Offer(f.now, model.Job{ID: a.jobID, Work: a.request.work}) != model.Taken {
		f.currentSecond().TurnedAway++
		f.At(back, func() { f.endAttempt(a, balancer.Overloaded) })
		return
	}
	u.jobs[a.jobID] = a
	f.scheduleAdvance(u)
}

// endAttempt reports an attempt's outcome, unless it has one or its sidecar is gone.
func (f *Fleet) endAttempt(a *attempt, res balancer.Result) {
	if a.ended || a.incarnation != a.sidecar.incarnation {
		return
	}
	a.ended = true
	finished := res == balancer.OK && !a.request.done
	if finished {
		if f.now <= a.request.objectiveAt {
			f.currentSecond().InTime++
		} else {
			f.currentSecond().Late++
		}
		f.finishRequest(a.sidecar, a.request, true)
	}
	f.handleEvent(a.sidecar, balancer.AttemptEnded{ID: a.request.id, Attempt: a.number, Result: res, Elapsed: f.now - a.sent, Final: finished})
}
