package fleet

import (
	"time"

	"mosslead/balancer"
)

// arrival is an attempt that reached a cold upstream.
type arrival struct {
	at       time.Duration
	work     float64 // in requests of mean work
	informed bool
}

// recordColdArrival counts the work that is sent to a cold upstream, also where it is refused, and reports whether this attempt
// overloads the upstream so that it falls.
func (f *Fleet) recordColdArrival(u *upstream, a *attempt) bool {
	rule := f.plan.Rule
	if rule.Multiple <= 0 || u.started == 0 || f.now-u.started >= rule.WarmUp {
		u.window = nil
		return false
	}
	known := a.sidecar.known[u.id]
	work := a.request.work.Seconds() / f.plan.Work.Seconds()
	u.window = append(u.window, arrival{f.now, work, known.State == balancer.Active && known.StartedAt == u.started})
	for f.now-u.window[0].at >= rule.Window {
		u.window = u.window[1:]
	}
	f.currentSecond().ColdWork += work
	u.coldWork += work
	warmth := rule.ColdFrom + (1-rule.ColdFrom)*float64(f.now-u.started)/float64(rule.WarmUp)
	w := Window{Upstream: u.id, At: f.now, Allowed: rule.Multiple * u.spec.Capacity() * warmth * rule.Window.Seconds() / f.plan.Work.Seconds()}
	for _, arr := range u.window {
		w.Received += arr.work
		if arr.informed {
			w.Informed += arr.work
		}
	}
	if fullest := &f.result.Fullest; fullest.Upstream == "" || w.Received/w.Limit() > fullest.Received/fullest.Limit() {
		*fullest = w
	}
	if w.Received <= w.Limit() {
		return false
	}
	f.result.Falls = append(f.result.Falls, w)
	return true
}

// sumColdWork sums the work that cold upstreams were sent, and the work that they could have done from the moment at
// which all sidecars had been told of them.
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
