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

// fakeLeaderships is a probeLeaderships whose leadership and epoch the test sets. It records which leaderships are wanted.
type fakeLeaderships struct {
	epoch       uint64
	leading     bool
	campaigning map[string]bool
}

func (l *fakeLeaderships) campaign(name string, wanted bool)    { l.campaigning[name] = wanted }
func (l *fakeLeaderships) holds(string) (epoch uint64, ok bool) { return l.epoch, l.leading }

// newTestTracker returns the breaker tracker of n0 at makati, with the members n1 at cebu and n2 at davao. Its run is not
// called.
func newTestTracker(t *testing.T, leaderships probeLeaderships) *breakerTracker {
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
	b := newBreakerTracker(s, leaderships)
	b.handle(circuitbreaker.Batch{circuitbreaker.EndpointList{Upstreams: s.dir.incarnations()},
		circuitbreaker.Roster{Members: []message.Member{s.self, {Name: "n1", Site: "cebu"}, {Name: "n2", Site: "davao"}}}})
	s.clock.start = s.clock.start.Add(-time.Minute) // moves the clock beyond the tracker's startup time
	return b
}

// newestVerdict returns the queued verdict on s-1. The queue keeps only the newest verdict of a key.
func (b *breakerTracker) newestVerdict(t *testing.T) balancer.PeerVerdict {
	t.Helper()
	for v, ok := b.sharing.verdicts.Pop(); ok; v, ok = b.sharing.verdicts.Pop() {
		if v.Upstream == "s-1" {
			return v
		}
	}
	t.Fatal("no verdict on s-1 is queued, want one")
	return balancer.PeerVerdict{}
}

// reportFromPeers handles reports of n1 and n2 that their breakers of s-1 are open.
func (b *breakerTracker) reportFromPeers() {
	for _, name := range []string{"n1", "n2"} {
		b.handle(circuitbreaker.PeerReport{From: message.Member{Name: name}, TTL: reportTTL,
			Report: message.Report{Upstream: "s-1", StartedMs: 5, State: message.Open, Evidence: message.Silence, Count: 3}})
	}
}

// Guards against probe results without a lease: a sidecar campaigns for the probes of an upstream while its breaker is open,
// and its results close the breaker step by step, but only while it holds the lease.
func TestProbesAreReportedUnderALease(t *testing.T) {
	l := &fakeLeaderships{epoch: 3, campaigning: map[string]bool{}}
	b := newTestTracker(t, l)
	result := func(state message.BreakerState) {
		b.onOwnEvidence(evidenceReport{message.Report{Upstream: "s-1", StartedMs: 5, State: state, Evidence: message.Silence}, true})
	}
	b.reportFromPeers()
	if v := b.newestVerdict(t); v.Until == 0 || v.Probes != balancer.ProbeByEach || !l.campaigning["trials/s-1"] {
		t.Fatalf("after reports of two peers: got verdict %+v, campaigning %v; want an open one with probes by each, campaigning for trials/s-1", v, l.campaigning)
	}
	result(message.Closed) // no lease: the result is not counted
	l.leading = true
	b.handle(b.updateProbes(b.sharing.clock.now()))
	if v := b.newestVerdict(t); v.Probes != balancer.ProbeBySelf || v.PassFraction != 0 {
		t.Fatalf("with the lease: got verdict %+v, want probes by this sidecar and PassFraction 0", v)
	}
	result(message.Closed)
	if v := b.newestVerdict(t); v.PassFraction == 0 || v.Until == 0 {
		t.Fatalf("after one successful probe: got verdict %+v, want an open one with PassFraction above 0", v)
	}
	result(message.Open)
	if v := b.newestVerdict(t); v.PassFraction != 0 || v.Until == 0 {
		t.Fatalf("after a failed probe: got verdict %+v, want an open one with PassFraction 0", v)
	}
	result(message.Closed)
	result(message.Closed)
	l.leading = false // the lease ends between two steps
	result(message.Closed)
	b.handle(b.updateProbes(b.sharing.clock.now()))
	if v := b.newestVerdict(t); v.Until == 0 || v.Probes == balancer.ProbeBySelf {
		t.Fatalf("without the lease: got verdict %+v, want an open one without probes by this sidecar", v)
	}
	l.epoch, l.leading = 4, true
	b.handle(b.updateProbes(b.sharing.clock.now()))
	for range circuitbreaker.ProbeSteps {
		result(message.Closed)
	}
	if v := b.newestVerdict(t); v.Until != 0 || !v.ProbeSucceeded || l.campaigning["trials/s-1"] {
		t.Fatalf("after all steps: got verdict %+v, campaigning %v; want a closed one after successful probes, and no campaign for trials/s-1", v, l.campaigning)
	}
	if b.tracker.Round("s-1") != 1 {
		t.Errorf("round of s-1: got %d, want 1", b.tracker.Round("s-1"))
	}
}

// Guards against reports that are sent only once: each is repeated until it is withdrawn or the upstream is a new process. Also
// guards against a sidecar that does not suspect its own evidence while its loop is stalled.
func TestReportsAreRepeated(t *testing.T) {
	b := newTestTracker(t, nil)
	b.sharing.report(&balancer.Action{Kind: balancer.ReportEvidence, Upstream: "s-1", Evidence: balancer.EvidenceSilence, Count: 2})
	b.sharing.report(&balancer.Action{Kind: balancer.ReportEvidence, Upstream: "s-2", Class: "c", Evidence: balancer.EvidenceErrors, Count: 4})
	for e, ok := b.sharing.reports.Pop(); ok; e, ok = b.sharing.reports.Pop() {
		b.onOwnEvidence(e)
	}
	first := b.announcedAt["s-1 "]
	b.sharing.clock.start = b.sharing.clock.start.Add(-reportInterval)
	b.sharing.stall.onReceived(b.sharing.clock.now())
	b.tick()
	if b.announcedAt["s-1 "] == first || len(b.ownReports) != 2 {
		t.Errorf("after reportInterval: report on s-1 last sent at %v, want later than %v; got own reports %v, want 2",
			b.announcedAt["s-1 "], first, b.ownReports)
	}
	for range 8 { // the checks of the tracker itself are on time
		b.suspicion = circuitbreaker.NewSelfSuspicion(b.sharing.clock.now(), breakerTick)
		b.sharing.clock.start = b.sharing.clock.start.Add(-breakerTick)
		b.tick()
	}
	if b.selfSuspicion < 1 {
		t.Errorf("self-suspicion while the loop receives nothing: got %v, want 1 or more", b.selfSuspicion)
	}
	index := int64(2)
	b.sharing.dir.apply(&listing{Revision: &index, Endpoints: []endpoint{{Name: "s-1", Address: "127.0.0.1:1", Zone: "davao", Status: statusReady, StartedMs: 9}}})
	b.tick()
	b.sharing.report(&balancer.Action{Kind: balancer.ReportEvidence, Upstream: "s-2", Class: "c"})
	e, _ := b.sharing.reports.Pop()
	if b.onOwnEvidence(e); len(b.ownReports) != 0 {
		t.Errorf("after a new process of s-1 and the end of evidence on s-2: got own reports %v, want none", b.ownReports)
	}
}
