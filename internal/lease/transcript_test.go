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

// scenario is candidates for the probes of s-1, their service, and one that is acted upon, 2 ms apart.
type scenario struct {
	*testing.T
	record  transcript.Transcript
	service *memory.Service
	target  transcript.DutyTarget
	running sync.WaitGroup
}

// scenarioCandidate is one candidate.
type scenarioCandidate struct {
	*transcript.Candidate
	shutDown context.CancelFunc // as SIGTERM
}

const leadershipName = "trials/s-1"

func (p *scenario) candidate(name string, fitness float64) *scenarioCandidate {
	ctx, end := context.WithCancel(p.Context())
	c := &scenarioCandidate{transcript.NewCandidate(&p.record, p.service, 2*time.Millisecond, name, leadershipName), end}
	c.Campaign(true, fitness)
	p.running.Go(func() { c.Run(ctx) })
	p.Cleanup(func() {
		end()
		p.running.Wait()
	})
	return c
}

// act has a candidate look whether it holds, and act some time later.
func (p *scenario) act(c *scenarioCandidate, late time.Duration, want bool) {
	p.Helper()
	epoch, ok := c.Holds(time.Now())
	if !ok {
		p.Error("holds nothing")
	}
	time.Sleep(late)
	if p.target.Act(c.Line.Name, leadershipName, epoch) != want {
		p.Errorf("taken %v, want %v", !want, want)
	}
}

var scenarios = []struct {
	name, shows string // shows is the line that it is about
	script      func(*scenario)
}{
	{"take", "a > itself: may act under epoch 1", func(p *scenario) {
		a := p.candidate("a", 400)
		time.Sleep(20 * time.Millisecond)
		p.candidate("b", 400)
		time.Sleep(20 * time.Millisecond)
		p.act(a, 0, true)
	}},
	{"renew", "a > service: renew", func(p *scenario) {
		p.candidate("a", 400)
		time.Sleep(2 * time.Second)
	}},
	{"lapse-after-a-stop", "may not act any more under epoch 1: its lease is over", func(p *scenario) {
		a := p.candidate("a", 400)
		time.Sleep(20 * time.Millisecond)
		cont := a.Stop()
		time.Sleep(3 * time.Second)
		p.candidate("b", 400)
		time.Sleep(time.Second)
		cont()
		time.Sleep(100 * time.Millisecond)
	}},
	{"answers-lost", "may not act any more under epoch 1: its lease is over", func(p *scenario) {
		a := p.candidate("a", 400)
		time.Sleep(20 * time.Millisecond)
		a.Line.Cut(true)
		time.Sleep(3 * time.Second)
	}},
	{"hand-on-at-the-end", "may not act any more under epoch 1: it ends", func(p *scenario) {
		a := p.candidate("a", 400)
		time.Sleep(20 * time.Millisecond)
		p.candidate("b", 400)
		time.Sleep(100 * time.Millisecond)
		a.shutDown()
		time.Sleep(600 * time.Millisecond)
	}},
	{"hand-on-to-a-better", "handed on to a better one", func(p *scenario) {
		p.candidate("a", 400)
		time.Sleep(9200 * time.Millisecond)
		p.record.Begin()
		p.candidate("b", 900)
		time.Sleep(1700 * time.Millisecond)
	}},
	{"no-quorum", "fails: no leader", func(p *scenario) {
		p.candidate("a", 400)
		time.Sleep(20 * time.Millisecond)
		p.service.Down(true)
		time.Sleep(4 * time.Second)
		p.service.Down(false)
		time.Sleep(3 * time.Second)
	}},
	{"fenced", "target > a: refused", func(p *scenario) {
		a := p.candidate("a", 400)
		time.Sleep(20 * time.Millisecond)
		p.act(a, 0, true)
		cont := a.Stop()
		late := make(chan struct{})
		go func() { // it has looked, and is stopped before it acts
			p.act(a, 4*time.Second, false)
			close(late)
		}()
		time.Sleep(3 * time.Second)
		b := p.candidate("b", 400)
		time.Sleep(950 * time.Millisecond)
		p.act(b, 0, true)
		<-late
		cont()
	}},
	{"failed-at-it", "may not act any more under epoch 1: it fails at it", func(p *scenario) {
		a := p.candidate("a", 400)
		time.Sleep(20 * time.Millisecond)
		p.candidate("b", 400)
		time.Sleep(100 * time.Millisecond)
		a.ReportFailure()
		time.Sleep(600 * time.Millisecond)
	}},
}

// Guards against any change of what candidates and the service tell each other that nobody has looked at.
func TestApprovedTranscripts(t *testing.T) {
	for _, a := range scenarios {
		t.Run(a.name, func(t *testing.T) {
			text := ""
			synctest.Test(t, func(t *testing.T) {
				p := &scenario{T: t, service: memory.New(nil)}
				p.target.Record = &p.record
				p.record.Begin()
				a.script(p)
				synctest.Wait()
				p.record.Stop()
				text = p.record.Text()
			})
			approve.Text(t, a.name, a.shows, text)
		})
	}
}
