package circuitbreaker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mosslead/internal/gossip/message"
)

const (
	testTime = 10 * time.Second // when reports arrive in these tests, well after startupTime
	ttl      = 5 * time.Second
)

var siteNames = []string{"makati", "cebu", "davao", "iloilo"}

// newTestTracker returns the tracker of n00 at makati. There are 4 sites with perSite members and 4 upstreams
// each; u0 and u4 are at makati.
func newTestTracker(perSite int) *VerdictTracker {
	tracker := New(Config{Self: "n00", Site: "makati"})
	var members []message.Member
	for i := range 4 * perSite {
		members = append(members, message.Member{Name: fmt.Sprintf("n%02d", i), Site: siteNames[i%4]})
	}
	tracker.Handle(0, Batch{Roster{members}, EndpointList{testEndpoints(1)}})
	return tracker
}

func testEndpoints(startedMs int64) (all []Upstream) {
	for i := range 16 {
		all = append(all, Upstream{Name: fmt.Sprint("u", i), Site: siteNames[i%4], StartedMs: startedMs})
	}
	return all
}

func failureReport(upstream, class string, e message.Evidence) message.Report {
	return message.Report{Upstream: upstream, StartedMs: 1, Class: class, State: message.Open, Evidence: e, Count: 3}
}

func reportFrom(n int, r message.Report) PeerReport {
	return PeerReport{From: message.Member{Name: fmt.Sprintf("n%02d", n)}, Report: r, TTL: ttl}
}

func successFrom(n int, upstream string) PeerReport {
	return reportFrom(n, message.Report{Upstream: upstream, StartedMs: 1, State: message.Closed, Count: 1})
}

func (t *VerdictTracker) isOpen(upstream, class string) bool {
	verdict := t.announced[subject{upstream, class}]
	return verdict != nil && verdict.Open
}

// Checks for a sequence of events whether the tracker of n00 opens a verdict on u5, which is at cebu.
func TestVerdicts(t *testing.T) {
	silent, errs := failureReport("u5", "", message.Silence), failureReport("u5", "", message.ErrorAnswers)
	earlierIncarnation, doubting, unknownEvidence, firstFailure := silent, silent, silent, silent
	earlierIncarnation.StartedMs, doubting.SelfSuspicion, unknownEvidence.Evidence, firstFailure.SelfSuspicion = 0, 0.9, 77, Suspicion
	mostOfCebu := func(n int) (all Batch) {
		for _, u := range []string{"u1", "u5", "u9"} {
			all = append(all, reportFrom(n, failureReport(u, "", message.Silence)))
		}
		return all
	}
	allUpstreams := func(n int) (all Batch) {
		for i := range 16 {
			all = append(all, reportFrom(n, failureReport(fmt.Sprint("u", i), "", message.Silence)))
		}
		return all
	}
	for _, c := range []struct {
		name    string
		perSite int
		events  []Event
		open    bool
	}{
		{"two sites", 1, []Event{reportFrom(1, silent), reportFrom(2, silent)}, true},
		{"one reporter", 1, []Event{reportFrom(1, silent), reportFrom(1, silent)}, false},
		{"one site", 3, []Event{reportFrom(1, silent), reportFrom(5, silent), reportFrom(9, silent)}, false},
		{"the own site, path evidence", 3, []Event{reportFrom(4, silent), reportFrom(8, silent)}, true},
		{"the own site, server evidence", 3, []Event{reportFrom(4, errs), reportFrom(8, errs)}, false},
		{"the own site, where this sidecar gets answers", 3, []Event{reportFrom(4, silent), reportFrom(8, silent), OwnReport{successFrom(0, "u5").Report}}, false},
		{"2 reporters of 300 members", 75, []Event{reportFrom(1, silent), reportFrom(2, silent)}, false},
		{"5 reporters of 300 members, at 3 sites", 75, []Event{reportFrom(1, silent), reportFrom(2, silent), reportFrom(5, silent), reportFrom(6, silent), reportFrom(3, silent)}, true},
		{"4 reporters at one site and 1 at another", 75, []Event{reportFrom(1, silent), reportFrom(5, silent), reportFrom(9, silent), reportFrom(13, silent), reportFrom(2, silent)}, false},
		{"reports on an earlier incarnation", 1, []Event{reportFrom(1, earlierIncarnation), reportFrom(2, earlierIncarnation)}, false},
		{"evidence of a later schema", 1, []Event{reportFrom(1, unknownEvidence), reportFrom(2, unknownEvidence)}, false},
		{"a reporter with high self-suspicion", 1, []Event{reportFrom(1, silent), reportFrom(2, doubting)}, false},
		{"first failures only", 3, []Event{reportFrom(1, firstFailure), reportFrom(5, firstFailure), reportFrom(2, firstFailure), reportFrom(6, firstFailure)}, false},
		{"first failures and an open breaker", 3, []Event{reportFrom(1, silent), reportFrom(2, firstFailure), reportFrom(6, firstFailure)}, true},
		{"a reporter that accuses most upstreams of the site", 1, []Event{reportFrom(1, silent), mostOfCebu(2)}, false},
		{"reporters that accuse all upstreams", 1, []Event{allUpstreams(1), allUpstreams(2)}, false},
		{"a reporter that is not present", 1, []Event{reportFrom(1, silent), reportFrom(99, silent)}, false},
		{"a withdrawn report", 1, []Event{reportFrom(1, silent), reportFrom(2, silent), PeerReport{From: message.Member{Name: "n02"}, Report: silent, Withdrawn: true}}, false},
		{"other sites, while a member of the own site gets answers", 3, []Event{reportFrom(1, silent), reportFrom(2, silent), successFrom(4, "u5")}, false},
		{"reports on a class, verdict on all classes", 1, []Event{reportFrom(1, failureReport("u5", "c", message.ErrorAnswers)), reportFrom(2, failureReport("u5", "c", message.ErrorAnswers))}, false},
		{"reports on two classes", 1, []Event{reportFrom(1, failureReport("u5", "c", message.ErrorAnswers)), reportFrom(2, failureReport("u5", "d", message.ErrorAnswers))}, false},
		{"removed from the list and listed again", 1, []Event{reportFrom(1, silent), reportFrom(2, silent), EndpointList{testEndpoints(1)[6:]}, EndpointList{testEndpoints(1)}}, false},
		{"the upstream restarted", 1, []Event{reportFrom(1, silent), reportFrom(2, silent), EndpointList{testEndpoints(2)}}, false},
		{"a reporter restarted", 1, []Event{reportFrom(1, silent), reportFrom(2, silent), Roster{[]message.Member{
			{Name: "n01", Site: "cebu", Incarnation: message.Incarnation{StartedMs: 9}}, {Name: "n02", Site: "davao"}}}}, false},
	} {
		tracker := newTestTracker(c.perSite)
		for _, e := range c.events {
			tracker.Handle(testTime, e)
		}
		open := tracker.isOpen("u5", "")
		tracker.Handle(testTime+2*time.Second, Tick{}) // a verdict that was only delayed would open now
		if open != c.open || tracker.isOpen("u5", "") != c.open {
			t.Errorf("%s: verdict on u5 is open: got %v, and %v 2 s later, want %v", c.name, open, tracker.isOpen("u5", ""), c.open)
		}
	}
}

// Guards against a verdict while as many sites get answers as report a fault, and against reports of success
// that are believed longer than successTTL. The tracker is at a fifth site without reports of its own.
func TestSitesContradict(t *testing.T) {
	tracker := newTestTracker(1)
	tracker.config.Site = "quezon"
	if tracker.Handle(testTime, Batch{reportFrom(1, failureReport("u5", "", message.Silence)), reportFrom(2, failureReport("u5", "", message.Silence)), successFrom(3, "u5"), successFrom(0, "u5")}); tracker.isOpen("u5", "") {
		t.Error("got an open verdict while as many sites get answers as report a fault, want closed")
	}
	if tracker.Handle(testTime+successTTL-time.Millisecond, Batch{reportFrom(1, failureReport("u5", "", message.Silence)), reportFrom(2, failureReport("u5", "", message.Silence))}); tracker.isOpen("u5", "") {
		t.Error("got an open verdict before successTTL ended, want the reports of success to count")
	}
	if tracker.Handle(testTime+successTTL, Tick{}); !tracker.isOpen("u5", "") {
		t.Error("got a closed verdict after successTTL, want the reports of success to have expired")
	}
}

// Guards against verdicts on too little evidence: a new tracker opens nothing, and one that no longer sees most
// members requires as many reporters as before. A reporter with some self-suspicion does not close an open
// verdict, and a success before the fault does not contradict the reporters.
func TestCaution(t *testing.T) {
	twoReports := Batch{reportFrom(1, failureReport("u5", "", message.ErrorAnswers)), reportFrom(2, failureReport("u5", "", message.ErrorAnswers))}
	tracker := newTestTracker(1)
	if tracker.Handle(startupTime/2, twoReports); tracker.isOpen("u5", "") {
		t.Error("got an open verdict before startupTime, want closed")
	}
	if tracker.Handle(startupTime, Tick{}); !tracker.isOpen("u5", "") {
		t.Error("got a closed verdict at startupTime, want open")
	}
	unsureReport := twoReports[1].(PeerReport)
	unsureReport.Report.SelfSuspicion = 0.3
	if tracker.Handle(testTime, Batch{twoReports[0], unsureReport}); !tracker.isOpen("u5", "") {
		t.Error("got the open verdict closed by a reporter with self-suspicion 0.3, want it open")
	}
	tracker = newTestTracker(1)
	if tracker.Handle(testTime, Batch{twoReports[0], unsureReport}); tracker.isOpen("u5", "") {
		t.Error("got a verdict opened by a reporter with self-suspicion 0.3, want closed")
	}
	tracker = newTestTracker(75)
	tracker.Handle(testTime, Roster{[]message.Member{{Name: "n00", Site: "makati"}, {Name: "n01", Site: "cebu"}, {Name: "n02", Site: "davao"}, {Name: "n03", Site: "iloilo"}}})
	if tracker.Handle(testTime, twoReports); tracker.isOpen("u5", "") {
		t.Error("got an open verdict by 2 reporters after the roster shrank from 300 to 4 members, want closed")
	}
	tracker = newTestTracker(1)
	tracker.Handle(testTime, OwnReport{successFrom(0, "u5").Report})
	if tracker.Handle(testTime+time.Second, twoReports); !tracker.isOpen("u5", "") || len(tracker.scores) > 0 {
		t.Errorf("success before the fault: got an open verdict %v and scores %v, want true and none", tracker.isOpen("u5", ""), tracker.scores)
	}
}

// Guards against unbounded memory: the numbers of reporters and of subjects are limited.
func TestTheBoardIsBounded(t *testing.T) {
	tracker := newTestTracker(75)
	var all Batch
	for i := range 1500 {
		all = append(all, reportFrom(i%100, failureReport(fmt.Sprint("x", i/100), "", message.Silence)), reportFrom(i/150, failureReport(fmt.Sprint("y", i), "", message.Silence)))
	}
	tracker.Handle(testTime, all)
	stored := 0
	for _, byReporter := range tracker.reports {
		if stored += len(byReporter); len(byReporter) > maxReporters {
			t.Fatalf("got %d reporters of one subject, want %d at most", len(byReporter), maxReporters)
		}
	}
	if len(tracker.reports) > maxSubjects || tracker.subjectsOf("n00") > maxSubjectsOfReporter {
		t.Errorf("got %d subjects and %d of one reporter, want %d and %d at most", len(tracker.reports), tracker.subjectsOf("n00"), maxSubjects, maxSubjectsOfReporter)
	}
}

// Checks that a process distrusts itself for a while if it was stopped, its event loop is blocked, or it no
// longer sees most members.
func TestDoubt(t *testing.T) {
	now := testTime
	suspicion := NewSelfSuspicion(now, 100*time.Millisecond)
	check := func(gap time.Duration, present int, loopDelay time.Duration) float64 {
		now += gap
		return suspicion.Check(now, present, loopDelay)
	}
	for range 50 {
		if got := check(110*time.Millisecond, 40, 100*time.Millisecond); got != 0 {
			t.Fatalf("suspicion in normal operation: got %v, want 0", got)
		}
	}
	if got := check(100*time.Millisecond, 19, 0); got != 1 {
		t.Errorf("suspicion with 19 of 40 members visible: got %v, want 1", got)
	}
	if got := check(100*time.Millisecond, 27, 0); got != 0 {
		t.Errorf("suspicion with 27 of 40 members visible: got %v, want 0", got)
	}
	for _, gap := range [][2]time.Duration{{2 * time.Second, 0}, {100 * time.Millisecond, time.Second}} {
		if got := check(gap[0], 40, gap[1]); got != 1 {
			t.Errorf("suspicion after a gap of %v and a loop delay of %v: got %v, want 1", gap[0], gap[1], got)
		}
		for range 29 {
			check(100*time.Millisecond, 40, 0)
		}
		if got := check(200*time.Millisecond, 40, 0); got > 0.2 {
			t.Errorf("suspicion 3 s after a stop: got %v, want 0.2 at most", got)
		}
	}
	for range 60 { // a gap of 400 ms is four times the interval, but below stoppedGap (500 ms)
		check(400*time.Millisecond, 40, 0)
	}
	if got := check(400*time.Millisecond, 40, 0); got < 0.9 {
		t.Errorf("suspicion with checks every 400 ms: got %v, want 0.9 at least", got)
	}
}

// Checks that a verdict applies to the reported class, and that it ends when the reports expire, even if they
// are repeated without new evidence.
func TestAVerdictEnds(t *testing.T) {
	tracker := newTestTracker(1)
	tracker.Handle(testTime, reportFrom(1, failureReport("u5", "c", message.ErrorAnswers)))
	v := tracker.Handle(testTime, reportFrom(2, failureReport("u5", "c", message.ErrorAnswers)))
	if len(v) != 1 || !v[0].Open || v[0].Class != "c" || v[0].For != ttl || !strings.Contains(v[0].Reason, "cebu/n01 errors 3") {
		t.Fatalf("got verdicts %+v, want one open verdict on class c for %v that names the report of cebu/n01", v, ttl)
	}
	for now := testTime; now < testTime+time.Minute; now += time.Second {
		tracker.Handle(now, Batch{reportFrom(1, failureReport("u5", "c", message.ErrorAnswers)), reportFrom(2, failureReport("u5", "c", message.ErrorAnswers))})
		if open := now <= testTime+evidenceLifetime; tracker.isOpen("u5", "c") != open {
			t.Fatalf("verdict is open after %v of repeated reports: got %v, want %v", now-testTime, !open, open)
		}
	}
	if tracker.Handle(testTime+2*time.Minute, Tick{}); len(tracker.reports)+len(tracker.announced) > 0 {
		t.Errorf("got %d stored reports and %d verdicts after all expired, want 0 and 0", len(tracker.reports), len(tracker.announced))
	}
}

// Checks that reports of a member count less for a while if successes of this sidecar contradicted it.
func TestALiarIsMarkedDown(t *testing.T) {
	tracker := newTestTracker(1)
	for i := range 3 {
		u := fmt.Sprint("u", 4*i)
		tracker.Handle(testTime, reportFrom(1, failureReport(u, "", message.ErrorAnswers)))
		tracker.Handle(testTime, OwnReport{successFrom(0, u).Report})
		tracker.Handle(testTime, PeerReport{From: message.Member{Name: "n01"}, Report: failureReport(u, "", message.ErrorAnswers), Withdrawn: true})
	}
	later := testTime + 10*time.Second
	tracker.Handle(later, Batch{reportFrom(1, failureReport("u5", "", message.ErrorAnswers)), reportFrom(2, failureReport("u5", "", message.ErrorAnswers))})
	if tracker.isOpen("u5", "") {
		t.Error("got an open verdict by a reporter that was contradicted three times, want closed")
	}
	later += 10 * time.Minute
	tracker.Handle(later, Batch{reportFrom(1, failureReport("u6", "", message.ErrorAnswers)), reportFrom(2, failureReport("u6", "", message.ErrorAnswers))})
	if !tracker.isOpen("u6", "") {
		t.Error("got a closed verdict ten minutes after the contradictions, want the reporter to count fully again")
	}
}

// Guards against a verdict that opens and closes with each change of a report.
func TestNoFlapping(t *testing.T) {
	tracker, opened := newTestTracker(1), 0
	for now := testTime; now < testTime+20*time.Second; now += 200 * time.Millisecond {
		alternating := reportFrom(2, failureReport("u5", "", message.Silence))
		alternating.Withdrawn = now/(200*time.Millisecond)%2 == 0
		for _, v := range tracker.Handle(now, Batch{reportFrom(1, failureReport("u5", "", message.Silence)), alternating}) {
			if v.Open {
				opened++
			}
		}
	}
	if opened == 0 || opened > 6 {
		t.Errorf("verdict opened %d times in 20 s, want 1 to 6", opened)
	}
}

// Checks that the probes of the leader close the breaker for all in steps. Probes of an earlier leader, and
// reports and probes of an earlier round or incarnation, have no effect.
func TestTrialsCloseInSteps(t *testing.T) {
	tracker := newTestTracker(1)
	tracker.Handle(testTime, Batch{reportFrom(1, failureReport("u5", "", message.Silence)), reportFrom(2, failureReport("u5", "", message.Silence))})
	probe := func(epoch uint64, step, count int, round uint64) *announcement {
		tracker.Handle(testTime, ProbeResult{From: "n01", TTL: ttl, Result: message.ProbeResult{Upstream: "u5", StartedMs: 1, Epoch: epoch, OK: step > 0, Step: step, Count: count, Round: round}})
		return tracker.announced[subject{"u5", ""}]
	}
	if v := probe(7, 0, 0, 0); v.Probes != ProbeByPeer || v.PassFraction != 0 || !v.Open {
		t.Fatalf("after a failed probe of a peer: got %+v, want an open verdict with ProbeByPeer and no picks let through", v)
	}
	if v := probe(7, 1, 1, 0); v.PassFraction != passFractions[1] {
		t.Fatalf("after one step: got %+v, want PassFraction %v", v, passFractions[1])
	}
	if v := probe(6, ProbeSteps, 9, 1); v.PassFraction != passFractions[1] || !v.Open {
		t.Fatalf("after a result of an earlier epoch: got %+v, want an open verdict with PassFraction %v", v, passFractions[1])
	}
	if v := probe(7, ProbeSteps, 3, 1); v.Open {
		t.Fatalf("after the last step: got %+v, want a closed verdict", v)
	}
	tracker.Handle(testTime, Batch{reportFrom(3, failureReport("u5", "", message.Silence)), reportFrom(2, failureReport("u5", "", message.Silence))})
	if tracker.isOpen("u5", "") {
		t.Error("got an open verdict by reports of an earlier round, want closed")
	}
	tracker.Handle(testTime, EndpointList{testEndpoints(2)})
	if probe(9, 1, 1, 5); tracker.Round("u5") != 0 || tracker.probes["u5"].epoch != 7 {
		t.Errorf("after a probe result of an earlier incarnation: got round %d and epoch %d, want 0 and 7", tracker.Round("u5"), tracker.probes["u5"].epoch)
	}
}

// Checks that the order and the repetition of reports and probe results make no difference to the verdicts.
func TestOrderMakesNoDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var events []Event
		for reporter := range rapid.IntRange(1, 7).Draw(t, "reporters") {
			for _, u := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 4, rapid.ID).Draw(t, "upstreams") {
				r := failureReport(fmt.Sprint("u", u), "", message.Evidence(rapid.IntRange(1, 4).Draw(t, "evidence")))
				r.Round = uint64(rapid.IntRange(0, 1).Draw(t, "round"))
				if rapid.IntRange(0, 3).Draw(t, "well") == 0 {
					r.State = message.Closed
				}
				events = append(events, reportFrom(reporter, r))
			}
		}
		for leader, epoch := range rapid.SliceOfNDistinct(rapid.Uint64Range(1, 3), 0, 3, rapid.ID).Draw(t, "epochs") {
			step := rapid.IntRange(0, ProbeSteps).Draw(t, "step")
			events = append(events, ProbeResult{From: fmt.Sprintf("n%02d", leader), TTL: ttl, Result: message.ProbeResult{Upstream: "u1", StartedMs: 1,
				Epoch: epoch, OK: step > 0, Step: step, Count: step, Round: uint64(step / ProbeSteps)}})
		}
		var views [2]string
		for i := range views {
			tracker := newTestTracker(2)
			order := rapid.Permutation(events).Draw(t, "order")
			tracker.Handle(testTime, append(append(Batch{}, order...), order[:len(order)/2]...))
			for _, s := range tracker.subjects() {
				if v := tracker.announced[s]; v.Open {
					views[i] += fmt.Sprintf("%v %v %v %v\n", s, v.PassFraction, v.Probes, v.Reason)
				}
			}
		}
		if views[0] != views[1] {
			t.Fatalf("the verdicts differ by the order of events: got\n%sand\n%s", views[0], views[1])
		}
	})
}

// Checks for random events that the bounds hold, and that only listed upstreams have open verdicts.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{1, 5, 0, 1, 2, 5, 0, 1, 9, 9, 9, 9})
	f.Fuzz(func(t *testing.T, script []byte) {
		tracker, now := newTestTracker(2), testTime
		for ; len(script) >= 4; script = script[4:] {
			kind, x, y, z := script[0], script[1], script[2], script[3]
			r := message.Report{Upstream: fmt.Sprint("u", x%20), StartedMs: int64(y % 3), State: message.BreakerState(y % 4), Evidence: message.Evidence(z % 6),
				Class: strings.Repeat("c", int(z>>6)), Count: int(z) - 9, SelfSuspicion: float64(z)/200 - 0.1, Round: uint64(y >> 6)}
			var e Event = reportFrom(int(kind>>3), r)
			switch kind % 8 {
			case 0:
				e = OwnReport{r}
			case 1:
				e = EndpointList{testEndpoints(int64(x % 3))[y%17:]}
			case 2:
				e = ProbeResult{From: fmt.Sprintf("n%02d", x%8), TTL: time.Duration(y) * time.Second, Withdrawn: z > 200,
					Result: message.ProbeResult{Upstream: r.Upstream, StartedMs: 1, Epoch: uint64(y), OK: z%2 == 0, Step: int(z%7) - 1, Round: uint64(z >> 5)}}
			case 3:
				e = ProbeLeadership{r.Upstream, z%2 == 0}
			}
			now += time.Duration(z) * time.Millisecond
			for _, v := range tracker.Handle(now, e) {
				if _, listed := tracker.listed[v.Upstream]; v.Open && (!listed || v.For <= 0 || v.For > message.MaxTTL || v.PassFraction < 0 || v.PassFraction >= 1) {
					t.Fatalf("got the open verdict %+v (upstream listed: %v), want a listed upstream, For within (0, %v] and PassFraction within [0, 1)", v, listed, message.MaxTTL)
				}
			}
			if len(tracker.reports) > maxSubjects || len(tracker.probes) > maxSubjects+16 {
				t.Fatalf("got %d subjects and %d probed upstreams, want %d and %d at most", len(tracker.reports), len(tracker.probes), maxSubjects, maxSubjects+16)
			}
		}
	})
}
