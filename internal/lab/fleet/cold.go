package fleet

import (
	"time"

	"mosslead/balancer"
)

type arrival struct {
	at       time.Duration
	work     float64 // in mean requests
	informed bool
}

// recordColdArrival counts what a cold upstream is sent, refused or not, and tells whether this pushes it over.
func (f *Fleet) recordColdArrival(u *upstream, a *attempt) bool {
	rule := f.plan.Rule
	if rule.Multiple <= 0 || u.started == 0 || f.now-u.started >= rule.WarmUp {
		u.window = nil
		return false
	}
	m := a.sidecar.known[u.id]
	work := a.request.work.Seconds() / f.plan.Work.Seconds()
	u.window = append(u.window, arrival{f.now, work, m.State == balancer.Active && m.StartedAt == u.started})
	for f.now-u.window[0].at >= rule.Window {
		u.window = u.window[1:]
	}
	f.currentSecond().ColdWork += work
	u.coldWork += work
	warmth := rule.ColdFrom + (1-rule.ColdFrom)*float64(f.now-u.started)/float64(rule.WarmUp)
	w := Window{Upstream: u.id, At: f.now, Allowed: rule.Multiple * u.spec.Capacity() * warmth * rule.Window.Seconds() / f.plan.Work.Seconds()}
	for _, x := range u.window {
		w.Received += x.work
		if x.informed {
			w.Informed += x.work
		}
	}
	if full := &f.result.Fullest; full.Upstream == "" || w.Received/w.Limit() > full.Received/full.Limit() {
		*full = w
	}
	if w.Received <= w.Limit() {
		return false
	}
	f.result.Falls = append(f.result.Falls, w)
	return true
}

// sumColdWork sums what cold upstreams were sent, and what they could have done from when all had been told of them.
func (f *Fleet) sumColdWork() {
	rule := f.plan.Rule
	f.result.ColdReceived, f.result.ColdCapacity = 0, 0
	for _, u := range f.coldStarted {
		end := min(f.now, u.started+rule.WarmUp)
		if u.endedAt > 0 {
			end = min(end, u.endedAt)
		}
		from := u.started + f.plan.NoticeDelay[1]
		if end <= from {
			continue
		}
		middle := float64(from+end)/2 - float64(u.started)
		warmth := rule.ColdFrom + (1-rule.ColdFrom)*middle/float64(rule.WarmUp)
		f.result.ColdReceived += u.coldWork
		f.result.ColdCapacity += warmth * u.spec.Capacity() * (end - from).Seconds() / f.plan.Work.Seconds()
	}
}
