package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// Never is the time of the next event where there is none.
const Never = time.Duration(math.MaxInt64)

const (
	warmUpStep         = 20 * time.Millisecond  // interval in which the capacity of a cold server is recomputed
	chokeCheckInterval = 50 * time.Millisecond  // interval in which a crowded or choked server is checked
	utilTimeConstant   = 500 * time.Millisecond // time constant of the moving average of the busy share
)

// Server is one process of an upstream. Running jobs share the cores evenly, so all of them advance at one rate.
// virtual is the work that a job would have got if it had run since the start. A job ends when virtual has grown by the
// job's work since the job began to run.
type Server struct {
	spec         Spec
	rng          *rand.Rand
	started      time.Duration
	now          time.Duration
	virtual      float64 // seconds of work done for each running job
	running      jobHeap
	waiting      []acceptedJob // first in, first out
	overheadJobs int           // running handshakes and probes, which need no slot
	keys         *recentKeys
	conns        int

	pausedUntil, nextPause time.Duration
	crowdedSince           time.Duration // Never if it is not crowded
	choked                 bool
	chokedAt, idleSince    time.Duration
	util, latency          float64 // moving averages; latency in seconds
	slowdown               float64 // factor by a fault; 1: none
	failShare              float64 // share of failing jobs, by a fault
	fallen                 bool
	coldArrivals           []arrival // while cold, in the last FallFor
	coldWork               float64

	area     float64 // jobs held × seconds; see Little
	sojourns float64
	done     []Done
}

// acceptedJob is a job that runs or waits.
type acceptedJob struct {
	Job
	arrived  time.Duration
	overhead bool
}

type runningJob struct {
	acceptedJob
	began         time.Duration
	endsAtVirtual float64 // in virtual time
}

// arrival is the work that reached a cold server at a time.
type arrival struct {
	at   time.Duration
	work float64
}

// New returns a server at now whose process began at started; it is warm if that is ColdFor or more ago. The seed
// decides its pauses and errors. The spec must pass Check.
func New(spec Spec, seed uint64, started, now time.Duration) *Server {
	s := &Server{spec: spec, rng: rand.New(rand.NewPCG(seed, 0x6d6f73736c656164)), started: started, now: now,
		crowdedSince: Never, nextPause: Never, slowdown: 1,
		keys: newRecentKeys(int(spec.KeysPerCore*float64(spec.Cores)), spec.KeyFor)}
	s.planPause()
	return s
}

func (s *Server) planPause() {
	if s.spec.PauseEvery > 0 && s.spec.PauseFor > 0 {
		s.nextPause = s.now + time.Duration(s.rng.ExpFloat64()*float64(s.spec.PauseEvery))
	}
}

// warmth returns the share of the full capacity that the server has at t.
func (s *Server) warmth(t time.Duration) float64 {
	if s.spec.ColdFor <= 0 || t-s.started >= s.spec.ColdFor {
		return 1
	}
	return s.spec.ColdFrom + (1-s.spec.ColdFrom)*float64(t-s.started)/float64(s.spec.ColdFor)
}

// Cold reports whether the server is still warming up.
func (s *Server) Cold() bool { return s.warmth(s.now) < 1 }

func (s *Server) jobsHeld() int { return len(s.running) + len(s.waiting) }

// rate returns the work done per second for each running job.
func (s *Server) rate() float64 {
	n := len(s.running)
	if n == 0 || s.now < s.pausedUntil {
		return 0
	}
	cores := float64(s.spec.Cores)
	r := s.spec.Speed * min(1, cores/float64(n)) * s.warmth(s.now) / s.slowdown
	if excess := float64(s.jobsHeld())/cores - s.spec.ThrashAt; s.spec.Thrash > 0 && excess > 0 {
		r /= 1 + s.spec.Thrash*excess
	}
	if s.choked {
		r /= s.spec.Choke.Slower
	}
	if maxConns := s.spec.ConnsPerCore * s.spec.Cores; maxConns > 0 {
		r *= 1 - s.spec.FullTax*min(1, float64(s.conns)/float64(maxConns))
	}
	return r
}

// Next returns the time of the next event if no job arrives before it, or Never if there is none.
func (s *Server) Next() time.Duration {
	if s.fallen {
		return Never
	}
	next := s.nextPause
	if s.now < s.pausedUntil {
		next = min(next, s.pausedUntil)
	} else if r := s.rate(); r > 0 {
		remaining := max(0, (s.running[0].endsAtVirtual-s.virtual)/r)
		if at := s.now + time.Duration(math.Ceil(remaining*1e9)); remaining < 1e9 {
			next = min(next, at)
		}
	}
	if len(s.running) > 0 && s.Cold() {
		next = min(next, s.now+warmUpStep)
	}
	if s.choked || s.crowdedSince != Never {
		next = min(next, s.now+chokeCheckInterval)
	}
	return next
}

// Advance moves the server to now and returns the jobs that ended by then. The slice is valid until the next call.
func (s *Server) Advance(now time.Duration) []Done {
	s.done = s.done[:0]
	for !s.fallen {
		at := s.Next()
		if at > now {
			break
		}
		s.advanceClock(at)
		s.processDue()
	}
	s.advanceClock(now)
	return s.done
}

// advanceClock moves the clock over a time in which no event is due.
func (s *Server) advanceClock(to time.Duration) {
	if to <= s.now {
		return
	}
	dt := (to - s.now).Seconds()
	s.virtual += s.rate() * dt
	s.area += float64(s.jobsHeld()) * dt
	busy := min(1, float64(len(s.running))/float64(s.spec.Cores))
	decay := math.Exp(-dt / utilTimeConstant.Seconds())
	s.util = s.util*decay + busy*(1-decay)
	s.now = to
}

// processDue processes the events that are due now.
func (s *Server) processDue() {
	if s.now >= s.nextPause {
		s.pausedUntil = s.now + time.Duration(s.rng.Float64()*float64(s.spec.PauseFor))
		s.planPause()
	}
	for len(s.running) > 0 && s.running[0].endsAtVirtual <= s.virtual+1e-9 {
		j := heap.Pop(&s.running).(runningJob)
		s.finishJob(j)
		s.startWaiting()
	}
	s.updateChoke()
}

func (s *Server) finishJob(j runningJob) {
	s.sojourns += (s.now - j.arrived).Seconds()
	if j.overhead {
		s.overheadJobs--
		return
	}
	took := (s.now - j.began).Seconds()
	if s.latency == 0 {
		s.latency = took
	}
	s.latency += (took - s.latency) / 16
	s.done = append(s.done, Done{Job: j.Job, At: s.now, Failed: s.rng.Float64() < s.spec.ErrorShare+s.failShare})
}

// startWaiting starts waiting jobs while there are free slots.
func (s *Server) startWaiting() {
	for len(s.waiting) > 0 && s.slotFree() {
		h := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.startJob(h)
	}
}

func (s *Server) slotFree() bool {
	return len(s.running)-s.overheadJobs < max(1, int(s.spec.SlotsPerCore*float64(s.spec.Cores)))
}

func (s *Server) startJob(h acceptedJob) {
	heap.Push(&s.running, runningJob{acceptedJob: h, began: s.now, endsAtVirtual: s.virtual + h.Work.Seconds()})
}

// updateChoke chokes the server when too many jobs have waited for too long, and lets it recover.
func (s *Server) updateChoke() {
	c := s.spec.Choke
	if c.At <= 0 {
		return
	}
	if s.choked {
		if s.util >= c.Below {
			s.idleSince = s.now
		}
		if s.now-s.idleSince >= c.Rest || (c.Most > 0 && s.now-s.chokedAt >= c.Most) {
			s.choked = false
		}
		return
	}
	switch crowded := float64(len(s.waiting)) > c.At*float64(s.spec.Cores); {
	case !crowded:
		s.crowdedSince = Never
	case s.crowdedSince == Never:
		s.crowdedSince = s.now
	case s.now-s.crowdedSince >= c.Over:
		s.choked, s.chokedAt, s.idleSince, s.crowdedSince = true, s.now, s.now, Never
	}
}

// Offer submits a job at now. The server must have been advanced to now before.
func (s *Server) Offer(now time.Duration, j Job) Offer {
	if s.fallen {
		return Down
	}
	if s.overloadedWhileCold(now, j.Work.Seconds()) {
		s.Fell()
		return Down
	}
	if !s.slotFree() && len(s.waiting) >= int(s.spec.QueuePerCore*float64(s.spec.Cores)) {
		return Full
	}
	if s.keys.recordUse(j.Key, now) {
		j.Work = time.Duration(float64(j.Work) * (1 - s.spec.KeyGain))
	}
	if s.slotFree() {
		s.startJob(acceptedJob{Job: j, arrived: now})
	} else {
		s.waiting = append(s.waiting, acceptedJob{Job: j, arrived: now})
	}
	s.updateChoke()
	return Taken
}

// Fell stops the server for good and drops all of its jobs.
func (s *Server) Fell() {
	s.fallen = true
	for _, j := range s.running {
		s.sojourns += (s.now - j.arrived).Seconds()
	}
	for _, h := range s.waiting {
		s.sojourns += (s.now - h.arrived).Seconds()
	}
	s.running, s.waiting, s.overheadJobs = nil, nil, 0
}

// Fallen reports whether the server is down.
func (s *Server) Fallen() bool { return s.fallen }

// overloadedWhileCold counts the work that a cold server is sent, and reports whether this work makes the server fall.
func (s *Server) overloadedWhileCold(now time.Duration, work float64) bool {
	if s.spec.FallMultiple <= 0 || s.spec.FallFor <= 0 || s.warmth(now) >= 1 {
		s.coldArrivals, s.coldWork = nil, 0
		return false
	}
	for len(s.coldArrivals) > 0 && now-s.coldArrivals[0].at >= s.spec.FallFor {
		s.coldWork -= s.coldArrivals[0].work
		s.coldArrivals = s.coldArrivals[1:]
	}
	s.coldArrivals = append(s.coldArrivals, arrival{now, work})
	s.coldWork += work
	return s.coldWork > s.spec.FallMultiple*s.spec.Capacity()*s.warmth(now)*s.spec.FallFor.Seconds()
}

// Charge adds work at now that no client waits for: a handshake or a probe.
func (s *Server) Charge(now time.Duration, work time.Duration) {
	if s.fallen || work <= 0 {
		return
	}
	s.overheadJobs++
	s.startJob(acceptedJob{Job: Job{Work: work}, arrived: now, overhead: true})
}

// Connected changes the number of open connections by n. If the table has no room for them, it
// changes nothing and returns false.
func (s *Server) Connected(n int) bool {
	if maxConns := s.spec.ConnsPerCore * s.spec.Cores; n > 0 && maxConns > 0 && s.conns+n > maxConns {
		return false
	}
	s.conns += n
	return true
}

// Trouble divides the server's speed by slower (1: no change) and lets a share of its jobs fail, from now on.
func (s *Server) Trouble(slower, failShare float64) {
	s.slowdown, s.failShare = max(slower, 1e-3), failShare
}

// ForceChoke chokes the server as a long queue would; it does nothing if the spec never chokes.
func (s *Server) ForceChoke() {
	if s.spec.Choke.At > 0 {
		s.choked, s.chokedAt, s.idleSince = true, s.now, s.now
	}
}

// Choked reports whether the server is choked; see Choke.
func (s *Server) Choked() bool { return s.choked }

// Report returns the load as the server itself reports it.
func (s *Server) Report() Report {
	return Report{Inflight: s.jobsHeld() - s.overheadJobs, Queue: len(s.waiting), Util: s.util,
		Latency: time.Duration(s.latency * float64(time.Second))}
}

// Little returns both sides of Little's law over the server's whole life, in job-seconds: area is the number of jobs
// held, integrated over time, and sojourns is the sum of the times that jobs spent here. They are counted separately and
// must agree.
func (s *Server) Little() (area, sojourns float64) {
	sojourns = s.sojourns
	for _, j := range s.running {
		sojourns += (s.now - j.arrived).Seconds()
	}
	for _, h := range s.waiting {
		sojourns += (s.now - h.arrived).Seconds()
	}
	return s.area, sojourns
}

type jobHeap []runningJob

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].endsAtVirtual < h[j].endsAtVirtual }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(runningJob)) }

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
