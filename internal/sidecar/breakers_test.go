package sidecar

import (
	"testing"
	"time"

	"mosslead/balancer"
	"mosslead/internal/circuitbreaker"
	"mosslead/internal/conflate"
	"mosslead/internal/gossip"
	"mosslead/internal/gossip/message"
)

// fakeLeaderships are leaderships as a test says.
type fakeLeaderships struct {
	epoch       uint64
	leading     bool
	campaigning map[string]bool
}

func (l *fakeLeaderships) campaign(name string, wanted bool)    { l.campaigning[name] = wanted }
func (l *fakeLeaderships) holds(string) (epoch uint64, ok bool) { return l.epoch, l.leading }

// newTestTracker is the breakers' part without its thread: n0 at makati, beside n1 at cebu and n2 at davao.
func newTestTracker(t *testing.T, d probeLeaderships) *breakerTracker {
	s := &sharing{self: message.Member{Name: "n0", Site: "makati"}, clock: newClock(),
		reports: conflate.New[string, evidenceReport](maxPendingReports), verdicts: conflate.New[string, balancer.PeerVerdict](maxPendingVerdicts)}
	s.dir = newEndpointDirectory(s.clock, func(string) {})
	index := int64(1)
	s.dir.apply(&listing{Revision: &index, Snapshot: true, Endpoints: []endpoint{{Name: "s-1", Address: "127.0.0.1:1", Zone: "davao", Status: statusReady, StartedMs: 5},
		{Name: "s-2", Address: "127.0.0.1:2", Zone: "davao", Status: statusReady, StartedMs: 5}}})
	var err error
	if s.gossip, err = gossip.Join(gossip.Config{Member: s.self, Address: "127.0.0.1:0"}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.gossip.Leave(); err != nil {
			t.Error(err)
		}
	})
	p := newBreakerTracker(s, d)
	p.handle(circuitbreaker.Batch{circuitbreaker.EndpointList{Upstreams: s.dir.incarnations()},
		circuitbreaker.Roster{Members: []message.Member{s.self, {Name: "n1", Site: "cebu"}, {Name: "n2", Site: "davao"}}}})
	s.clock.start = s.clock.start.Add(-time.Minute) // the tracker has settled
	return p
}

// newestVerdict is the newest verdict on s-1.
func (p *breakerTracker) newestVerdict(t *testing.T) balancer.PeerVerdict {
	t.Helper()
	for h, ok := p.sharing.verdicts.Pop(); ok; h, ok = p.sharing.verdicts.Pop() {
		if h.Upstream == "s-1" {
			return h
		}
	}
	t.Fatal("no verdict")
	return balancer.PeerVerdict{}
}

func (p *breakerTracker) reportFromPeers() {
	for _, name := range []string{"n1", "n2"} {
		p.handle(circuitbreaker.PeerReport{From: message.Member{Name: name}, TTL: reportTTL,
			Report: message.Report{Upstream: "s-1", StartedMs: 5, State: message.Open, Evidence: message.Silence, Count: 3}})
	}
}

// Probes are wished for while a breaker is open, said under the lease's epoch, in steps, and not once the lease is over.
func TestProbesAreReportedUnderALease(t *testing.T) {
	d := &fakeLeaderships{epoch: 3, campaigning: map[string]bool{}}
	p := newTestTracker(t, d)
	result := func(state message.BreakerState) {
		p.onOwnEvidence(evidenceReport{message.Report{Upstream: "s-1", StartedMs: 5, State: state, Evidence: message.Silence}, true})
	}
	p.reportFromPeers()
	if h := p.newestVerdict(t); h.Until == 0 || h.Probes != balancer.ProbeByEach || !d.campaigning["trials/s-1"] {
		t.Fatalf("told %+v, wished %v", h, d.campaigning)
	}
	result(message.Closed) // not held: says nothing
	d.leading = true
	p.handle(p.updateProbes(p.sharing.clock.now()))
	if h := p.newestVerdict(t); h.Probes != balancer.ProbeBySelf || h.PassFraction != 0 {
		t.Fatalf("held, and told %+v", h)
	}
	result(message.Closed)
	if h := p.newestVerdict(t); h.PassFraction == 0 || h.Until == 0 {
		t.Fatalf("after one step told %+v", h)
	}
	result(message.Open)
	if h := p.newestVerdict(t); h.PassFraction != 0 || h.Until == 0 {
		t.Fatalf("after a trial that failed told %+v", h)
	}
	result(message.Closed)
	result(message.Closed)
	d.leading = false // the lease ends in the middle of it
	result(message.Closed)
	p.handle(p.updateProbes(p.sharing.clock.now()))
	if h := p.newestVerdict(t); h.Until == 0 || h.Probes == balancer.ProbeBySelf {
		t.Fatalf("closed without the lease: told %+v", h)
	}
	d.epoch, d.leading = 4, true
	p.handle(p.updateProbes(p.sharing.clock.now()))
	for range circuitbreaker.ProbeSteps {
		result(message.Closed)
	}
	if h := p.newestVerdict(t); h.Until != 0 || !h.ProbeSucceeded || d.campaigning["trials/s-1"] {
		t.Fatalf("closed, and told %+v, wished %v", h, d.campaigning)
	}
	if p.tracker.Round("s-1") != 1 {
		t.Errorf("round %d", p.tracker.Round("s-1"))
	}
}

// What this sidecar says is said again until taken back, or until the upstream is another; a jammed loop is doubted.
func TestReportsAreRepeated(t *testing.T) {
	p := newTestTracker(t, nil)
	p.sharing.report(&balancer.Action{Kind: balancer.ReportEvidence, Upstream: "s-1", Evidence: balancer.EvidenceSilence, Count: 2})
	p.sharing.report(&balancer.Action{Kind: balancer.ReportEvidence, Upstream: "s-2", Class: "c", Evidence: balancer.EvidenceErrors, Count: 4})
	for w, ok := p.sharing.reports.Pop(); ok; w, ok = p.sharing.reports.Pop() {
		p.onOwnEvidence(w)
	}
	first := p.announcedAt["s-1 "]
	p.sharing.clock.start = p.sharing.clock.start.Add(-reportInterval)
	p.sharing.stall.onReceived(p.sharing.clock.now())
	p.tick()
	if p.announcedAt["s-1 "] == first || len(p.ownReports) != 2 {
		t.Errorf("not said again: %v", p.ownReports)
	}
	for range 8 { // the thread itself looks in time
		p.suspicion = circuitbreaker.NewSelfSuspicion(p.sharing.clock.now(), breakerTick)
		p.sharing.clock.start = p.sharing.clock.start.Add(-breakerTick)
		p.tick()
	}
	if p.selfSuspicion < 1 {
		t.Error("no doubt while the loop takes nothing")
	}
	index := int64(2)
	p.sharing.dir.apply(&listing{Revision: &index, Endpoints: []endpoint{{Name: "s-1", Address: "127.0.0.1:1", Zone: "davao", Status: statusReady, StartedMs: 9}}})
	p.tick()
	p.sharing.report(&balancer.Action{Kind: balancer.ReportEvidence, Upstream: "s-2", Class: "c"})
	w, _ := p.sharing.reports.Pop()
	if p.onOwnEvidence(w); len(p.ownReports) != 0 {
		t.Errorf("still says %v", p.ownReports)
	}
}
