package fleet

import (
	"math"
	"strconv"
	"time"

	"mosslead/balancer"
)

// request is one try of a client: a retry is a request of its own.
type request struct {
	id, class            string
	work                 time.Duration
	arrived, objectiveAt time.Duration
	expiresAt            time.Duration
	triesLeft            int // tries that may still follow
	attempts             []*attempt
	done                 bool
}

// scheduleArrival schedules a sidecar's next request of a client; each arrival schedules the next one.
func (f *Fleet) scheduleArrival(s *sidecar) {
	rate := f.load * f.ratePerLoad * s.share / f.totalShare
	if rate <= 0 {
		f.At(f.now+100*time.Millisecond, func() { f.scheduleArrival(s) })
		return
	}
	f.At(f.now+time.Duration(f.rng.ExpFloat64()/rate*1e9), func() {
		f.sendRequest(s, &request{work: f.drawWork(), triesLeft: 1 + f.plan.Retries})
		f.scheduleArrival(s)
	})
}

// drawWork returns a request's work, drawn from the lognormal distribution with the plan's mean and deviation.
func (f *Fleet) drawWork() time.Duration {
	v := math.Log(1 + f.plan.CV*f.plan.CV)
	return time.Duration(float64(f.plan.Work) * math.Exp(f.rng.NormFloat64()*math.Sqrt(v)-v/2))
}

// sendRequest sends the next try of r to a sidecar as a request of its own, with one fewer try left.
func (f *Fleet) sendRequest(s *sidecar, r *request) {
	f.lastID++
	c := f.plan.Settings.Classes[f.rng.IntN(len(f.plan.Settings.Classes))]
	try := &request{id: strconv.Itoa(f.lastID), class: c.Name, work: r.work, triesLeft: r.triesLeft - 1, arrived: f.now,
		objectiveAt: f.now + c.LatencyObjective, expiresAt: f.now + c.Deadline}
	s.requests[try.id] = try
	f.currentSecond().Tries++
	f.handleEvent(s, balancer.Request{ID: try.id, Class: try.class, ExpiresAt: try.expiresAt})
}

// finishRequest ends a request once, and schedules a retry if it was not served and tries are left.
func (f *Fleet) finishRequest(s *sidecar, r *request, served bool) {
	if r.done {
		return
	}
	r.done = true
	if !served && r.triesLeft > 0 {
		f.At(f.now+time.Duration(f.rng.ExpFloat64()*float64(f.plan.Backoff)), func() { f.sendRequest(s, r) })
	}
	f.At(r.expiresAt+time.Second, func() { delete(s.requests, r.id) })
}

func (f *Fleet) currentSecond() *Second {
	n := int(f.now / time.Second)
	for len(f.result.Seconds) <= n {
		f.result.Seconds = append(f.result.Seconds, Second{})
	}
	return &f.result.Seconds[n]
}
