package lease_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mosslead/internal/lab/transcript"
	"mosslead/internal/lab/transcript/approve"
	"mosslead/internal/lease/memory"
)

// scenario is a test with candidates for one leadership, a service that they reach in 2 ms, and the target of the leader's actions.
type scenario struct {
	*testing.T
	record  transcript.Transcript
	service *memory.Service
	target  transcript.DutyTarget
	running sync.WaitGroup
}

// scenarioCandidate is one candidate of a scenario.
type scenarioCandidate struct {
	*transcript.Candidate
	shutDown context.CancelFunc // ends the candidate as SIGTERM does
}

const leadershipName = "trials/s-1"

// candidate starts a candidate that campaigns.
func (s *scenario) candidate(name string, fitness float64) *scenarioCandidate {
	ctx, cancel := context.WithCancel(s.Context())
	c := &scenarioCandidate{transcript.NewCandidate(&s.record, s.service, 2*time.Millisecond, name, leadershipName), cancel}
	c.Campaign(true, fitness)
	s.running.Go(func() { c.Run(ctx) })
	s.Cleanup(func() {
		cancel()
		s.running.Wait()
	})
	return c
}

// act has a candidate check its lease and act after a delay. want is whether the target accepts the action.
func (s *scenario) act(c *scenarioCandidate, delay time.Duration, want bool) {
	s.Helper()
	epoch, ok := c.Holds(time.Now())
	if !ok {
		s.Errorf("candidate %s holds no lease, want it to hold one", c.Line.Name)
	}
	time.Sleep(delay)
	if s.target.Act(c.Line.Name, leadershipName, epoch) != want {
		s.Errorf("action of %s under epoch %d: got accepted %v, want %v", c.Line.Name, epoch, !want, want)
	}
}

var scenarios = []struct {
	name, keyLine string // keyLine is the line, or part of one, that the transcript must have
	script        func(*scenario)
}{
	{"take", "a > itself: may act under epoch 1", func(s *scenario) {
		a := s.candidate("a", 400)
		time.Sleep(20 * time.Millisecond)
		s.candidate("b", 400)
		time.Sleep(20 * time.Millisecond)
		s.act(a, 0, true)
	}},
	{"renew", "a > service: renew", func(s *scenario) {
		s.candidate("a", 400)
		time.Sleep(2 * time.Second)
	}},
	{"lapse-after-a-stop", "may not act any more under epoch 1: its lease is over", func(s *scenario) {
		a := s.candidate("a", 400)
		time.Sleep(20 * time.Millisecond)
		resume := a.Stop()
		time.Sleep(3 * time.Second)
		s.candidate("b", 400)
		time.Sleep(time.Second)
		resume()
		time.Sleep(100 * time.Millisecond)
	}},
	{"answers-lost", "may not act any more under epoch 1: its lease is over", func(s *scenario) {
		a := s.candidate("a", 400)
		time.Sleep(20 * time.Millisecond)
		a.Line.Cut(true)
		time.Sleep(3 * time.Second)
	}},
	{"hand-on-at-the-end", "may not act any more under epoch 1: it ends", func(s *scenario) {
		a := s.candidate("a", 400)
		time.Sleep(20 * time.Millisecond)
		s.candidate("b", 400)
		time.Sleep(100 * time.Millisecond)
		a.shutDown()
		time.Sleep(600 * time.Millisecond)
	}},
	{"hand-on-to-a-better", "handed on to a better one", func(s *scenario) {
		s.candidate("a", 400)
		time.Sleep(9200 * time.Millisecond)
		s.record.Begin()
		s.candidate("b", 900)
		time.Sleep(1700 * time.Millisecond)
	}},
	{"no-quorum", "fails: no leader", func(s *scenario) {
		s.candidate("a", 400)
		time.Sleep(20 * time.Millisecond)
		s.service.Down(true)
		time.Sleep(4 * time.Second)
		s.service.Down(false)
		time.Sleep(3 * time.Second)
	}},
	{"fenced", "target > a: refused", func(s *scenario) {
		a := s.candidate("a", 400)
		time.Sleep(20 * time.Millisecond)
		s.act(a, 0, true)
		resume := a.Stop()
		acted := make(chan struct{})
		go func() { // candidate a has checked its lease, and is stopped before its action arrives
			s.act(a, 4*time.Second, false)
			close(acted)
		}()
		time.Sleep(3 * time.Second)
		b := s.candidate("b", 400)
		time.Sleep(950 * time.Millisecond)
		s.act(b, 0, true)
		<-acted
		resume()
	}},
	{"failed-at-it", "may not act any more under epoch 1: it fails at it", func(s *scenario) {
		a := s.candidate("a", 400)
		time.Sleep(20 * time.Millisecond)
		s.candidate("b", 400)
		time.Sleep(100 * time.Millisecond)
		a.ReportFailure()
		time.Sleep(600 * time.Millisecond)
	}},
}

// Guards against changed messages between candidates and the service: each transcript must equal the approved one.
func TestApprovedTranscripts(t *testing.T) {
	for _, test := range scenarios {
		t.Run(test.name, func(t *testing.T) {
			text := ""
			synctest.Test(t, func(t *testing.T) {
				s := &scenario{T: t, service: memory.New(nil)}
				s.target.Record = &s.record
				s.record.Begin()
				test.script(s)
				synctest.Wait()
				s.record.Stop()
				text = s.record.Text()
			})
			approve.Text(t, test.name, test.keyLine, text)
		})
	}
}
