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
	u.window = append(u.window, arrival{f.now, work, m.State == balancer.Active && m.CameUp == u.started})
	for f.now-u.window[0].at >= rule.For {
		u.window = u.window[1:]
	}
	f.second().ToCold += work
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
