package fleet

import (
	"math"
	"strconv"
	"time"

	"mosslead/balancer"
)

type request struct {
	id, class    string
	work         time.Duration
	arrived, aim time.Duration
	expires      time.Duration
	left         int // tries
	attempts     []*attempt
	done         bool
}

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
		aim: f.now + c.LatencyObjective, expires: f.now + c.Deadline}
	s.reqs[now.id] = now
	f.second().Tries++
	f.do(s, balancer.Request{ID: now.id, Class: now.class, ExpiresAt: now.expires})
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
