package fleet

import (
	"time"

	"mosslead/balancer"
)

type arrival struct {
	at   time.Duration
	work float64 // in mean requests
	told bool
}

// overCold counts what a cold upstream is sent, refused or not, and tells whether this pushes it over.
func (f *Fleet) overCold(u *upstream, a *attempt) bool {
	rule := f.plan.Rule
	if rule.Multiple <= 0 || u.started == 0 || f.now-u.started >= rule.WarmUp {
		u.window = nil
		return false
	}
	m := a.s.known[u.id]
	work := a.r.work.Seconds() / f.plan.Work.Seconds()
	u.window = append(u.window, arrival{f.now, work, m.State == balancer.Active && m.StartedAt == u.started})
	for f.now-u.window[0].at >= rule.For {
		u.window = u.window[1:]
	}
	f.second().ToCold += work
	u.got += work
	warmth := rule.ColdFrom + (1-rule.ColdFrom)*float64(f.now-u.started)/float64(rule.WarmUp)
	w := Window{Upstream: u.id, At: f.now, N: rule.Multiple * u.spec.Capacity() * warmth * rule.For.Seconds() / f.plan.Work.Seconds()}
	for _, x := range u.window {
		w.Got += x.work
		if x.told {
			w.Told += x.work
		}
	}
	if full := &f.seen.Fullest; full.Upstream == "" || w.Got/w.Limit() > full.Got/full.Limit() {
		*full = w
	}
	if w.Got <= w.Limit() {
		return false
	}
	f.seen.Falls = append(f.seen.Falls, w)
	return true
}

// countCold sums what cold upstreams were sent, and what they could have done from when all had been told of them.
func (f *Fleet) countCold() {
	rule := f.plan.Rule
	f.seen.ColdUsed, f.seen.ColdCan = 0, 0
	for _, u := range f.cold {
		end := min(f.now, u.started+rule.WarmUp)
		if u.ended > 0 {
			end = min(end, u.ended)
		}
		from := u.started + f.plan.Notice[1]
		if end <= from {
			continue
		}
		middle := float64(from+end)/2 - float64(u.started)
		warmth := rule.ColdFrom + (1-rule.ColdFrom)*middle/float64(rule.WarmUp)
		f.seen.ColdUsed += u.got
		f.seen.ColdCan += warmth * u.spec.Capacity() * (end - from).Seconds() / f.plan.Work.Seconds()
	}
}
