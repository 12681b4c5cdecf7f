package fleet

import (
	"fmt"
	"strconv"
	"time"

	"mosslead/balancer"
	"mosslead/internal/lab/model"
)

// sidecar is a Balancer with its process and its discovery agent.
type sidecar struct {
	index       int
	zone        string
	share       float64
	balancer    *balancer.Balancer
	incarnation int                          // number of its processes up to now
	timerAt     time.Duration                // when the last timer set is due
	known       map[string]balancer.Endpoint // endpoints that its agent knows
	order       []string                     // keys of known in the order in which they were learnt
	requests    map[string]*request
	actionBuf   []balancer.Action
}

// attempt is one attempt of a request at an upstream.
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

// announce sends a change to every sidecar, each after a delay of its own.
func (f *Fleet) announce(ep balancer.Endpoint) {
	for _, s := range f.sidecars {
		wait := f.plan.NoticeDelay[0] + time.Duration(f.rng.Float64()*float64(f.plan.NoticeDelay[1]-f.plan.NoticeDelay[0]))
		f.At(f.now+wait, func() {
			s.learn(ep)
			f.handleEvent(s, balancer.EndpointUpdate{Kind: balancer.Delta, Endpoints: []balancer.Endpoint{ep}})
		})
	}
}

func (s *sidecar) learn(ep balancer.Endpoint) {
	if _, known := s.known[ep.Upstream]; !known {
		s.order = append(s.order, ep.Upstream)
	}
	s.known[ep.Upstream] = ep
}

// Restart kills a sidecar's process. The next one begins at once, with the endpoints that its agent knows.
func (f *Fleet) Restart(n int) {
	if err := f.startSidecar(f.sidecars[n]); err != nil {
		panic(err) // can't happen, as New accepted these settings
	}
}

func (f *Fleet) startSidecar(s *sidecar) error {
	settings := f.plan.Settings
	settings.FleetSize, settings.Zone, settings.Tenants = f.plan.Sidecars, s.zone, nil
	b, err := balancer.New(settings, f.rng.Uint64())
	if err != nil {
		return fmt.Errorf("sidecar %d: %w", s.index, err)
	}
	s.incarnation++
	s.balancer, s.timerAt, s.requests = b, 0, map[string]*request{}
	full := balancer.EndpointUpdate{Kind: balancer.FullState}
	for _, id := range s.order {
		if ep := s.known[id]; ep.State == balancer.Active {
			full.Endpoints = append(full.Endpoints, ep)
		}
	}
	f.handleEvent(s, full)
	return nil
}

// handleEvent passes an event to a sidecar's balancer and carries out the actions that it returns.
func (f *Fleet) handleEvent(s *sidecar, e balancer.Event) {
	actions := s.balancer.Handle(f.now, e, s.actionBuf[:0])
	s.actionBuf = nil // the actions below may call handleEvent again
	for _, a := range actions {
		r := s.requests[a.ID]
		switch a.Kind {
		case balancer.StartAttempt:
			f.startAttempt(s, r, a)
		case balancer.CancelAttempt:
			cancelled := r.attempts[a.Attempt]
			f.At(f.now, func() { f.endAttempt(cancelled, balancer.Cancelled) })
		case balancer.Reject:
			f.currentSecond().Refused++
			f.finishRequest(s, r, false)
		case balancer.Fail:
			f.currentSecond().Failed++
			f.finishRequest(s, r, false)
		case balancer.SetTimer:
			s.timerAt = a.At
			incarnation := s.incarnation
			f.At(a.At, func() {
				if s.incarnation == incarnation && s.timerAt == a.At {
					f.handleEvent(s, balancer.TimerFired{})
				}
			})
		}
	}
	s.actionBuf = actions
}

func (f *Fleet) startAttempt(s *sidecar, r *request, act balancer.Action) {
	f.lastID++
	a := &attempt{sidecar: s, incarnation: s.incarnation, request: r, number: len(r.attempts), upstream: f.byID[act.Upstream], jobID: strconv.Itoa(f.lastID), sent: f.now}
	r.attempts = append(r.attempts, a)
	f.currentSecond().Attempts++
	f.At(f.now+f.roundTrip(a)/2, func() { f.deliver(a) })
	f.At(f.now+act.Timeout, func() { f.endAttempt(a, balancer.Timeout) })
}

// deliver brings an attempt to its upstream, in the process that runs under that id now.
func (f *Fleet) deliver(a *attempt) {
	a.upstream = f.byID[a.upstream.id]
	u, answerAt := a.upstream, f.now+f.roundTrip(a)/2
	if u.silent {
		return
	}
	if !u.running {
		f.At(answerAt, func() { f.endAttempt(a, balancer.ConnectFailed) })
		return
	}
	f.advance(u)
	if f.recordColdArrival(u, a) {
		f.stopProcess(u, false)
		f.At(answerAt, func() { f.endAttempt(a, balancer.Reset) })
		return
	}
	if u.server.Offer(f.now, model.Job{ID: a.jobID, Work: a.request.work}) != model.Taken {
		f.currentSecond().TurnedAway++
		f.At(answerAt, func() { f.endAttempt(a, balancer.Overloaded) })
		return
	}
	u.jobs[a.jobID] = a
	f.scheduleAdvance(u)
}

// endAttempt reports an attempt's outcome, unless it has ended before or its sidecar has restarted.
func (f *Fleet) endAttempt(a *attempt, result balancer.Result) {
	if a.ended || a.incarnation != a.sidecar.incarnation {
		return
	}
	a.ended = true
	finished := result == balancer.OK && !a.request.done
	if finished {
		if f.now <= a.request.objectiveAt {
			f.currentSecond().InTime++
		} else {
			f.currentSecond().Late++
		}
		f.finishRequest(a.sidecar, a.request, true)
	}
	f.handleEvent(a.sidecar, balancer.AttemptEnded{ID: a.request.id, Attempt: a.number, Result: result, Elapsed: f.now - a.sent, Final: finished})
}
