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
	testTime = 10 * time.Second // when things are said in these tests; the tracker has settled
	ttl      = 5 * time.Second
)

var siteNames = []string{"makati", "cebu", "davao", "iloilo"}

// newTestTracker is n00's at makati, of a fleet of 4 sites with members each and 4 upstreams each, u0 and u4 at makati.
func newTestTracker(each int) *VerdictTracker {
	b := New(Config{Self: "n00", Site: "makati"})
	var members []message.Member
	for i := range 4 * each {
		members = append(members, message.Member{Name: fmt.Sprintf("n%02d", i), Site: siteNames[i%4]})
	}
	b.Handle(0, Batch{Roster{members}, EndpointList{testEndpoints(1)}})
	return b
}

func testEndpoints(sinceMs int64) (all []Upstream) {
	for i := range 16 {
		all = append(all, Upstream{Name: fmt.Sprint("u", i), Site: siteNames[i%4], StartedMs: sinceMs})
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

func (b *VerdictTracker) isOpen(upstream, class string) bool {
	old := b.announced[subject{upstream, class}]
	return old != nil && old.Open
}

// Each hard case by itself: what is said, and whether u5 (at cebu) is open for n00 then.
func TestVerdicts(t *testing.T) {
	silent, errs := failureReport("u5", "", message.Silence), failureReport("u5", "", message.ErrorAnswers)
	older, doubting, odd, suspect := silent, silent, silent, silent
	older.StartedMs, doubting.SelfSuspicion, odd.Evidence, suspect.SelfSuspicion = 0, 0.9, 77, Suspicion
	limit := func(n int) (all Batch) { // of cebu
		for _, u := range []string{"u1", "u5", "u9"} {
			all = append(all, reportFrom(n, failureReport(u, "", message.Silence)))
		}
		return all
	}
	fromAll := func(n int) (all Batch) {
		for i := range 16 {
			all = append(all, reportFrom(n, failureReport(fmt.Sprint("u", i), "", message.Silence)))
		}
		return all
	}
	for _, c := range []struct {
		name string
		each int
		what []Event
		open bool
	}{
		{"two sites", 1, []Event{reportFrom(1, silent), reportFrom(2, silent)}, true},
		{"one reporter", 1, []Event{reportFrom(1, silent), reportFrom(1, silent)}, false},
		{"one site", 3, []Event{reportFrom(1, silent), reportFrom(5, silent), reportFrom(9, silent)}, false},
		{"the own site, by its paths", 3, []Event{reportFrom(4, silent), reportFrom(8, silent)}, true},
		{"the own site, by errors", 3, []Event{reportFrom(4, errs), reportFrom(8, errs)}, false},
		{"the own site contradicts itself", 3, []Event{reportFrom(4, silent), reportFrom(8, silent), OwnReport{successFrom(0, "u5").Report}}, false},
		{"many could have met it", 75, []Event{reportFrom(1, silent), reportFrom(2, silent)}, false},
		{"many did", 75, []Event{reportFrom(1, silent), reportFrom(2, silent), reportFrom(5, silent), reportFrom(6, silent), reportFrom(3, silent)}, true},
		{"one site blames, with one more", 75, []Event{reportFrom(1, silent), reportFrom(5, silent), reportFrom(9, silent), reportFrom(13, silent), reportFrom(2, silent)}, false},
		{"its life before", 1, []Event{reportFrom(1, older), reportFrom(2, older)}, false},
		{"evidence of a later schema", 1, []Event{reportFrom(1, odd), reportFrom(2, odd)}, false},
		{"who doubts itself", 1, []Event{reportFrom(1, silent), reportFrom(2, doubting)}, false},
		{"suspicions alone", 3, []Event{reportFrom(1, suspect), reportFrom(5, suspect), reportFrom(2, suspect), reportFrom(6, suspect)}, false},
		{"suspicions beside a breaker", 3, []Event{reportFrom(1, silent), reportFrom(2, suspect), reportFrom(6, suspect)}, true},
		{"who speaks ill of most of the site", 1, []Event{reportFrom(1, silent), limit(2)}, false},
		{"broken links at two sites", 1, []Event{fromAll(1), fromAll(2)}, false},
		{"who is not present", 1, []Event{reportFrom(1, silent), reportFrom(99, silent)}, false},
		{"taken back", 1, []Event{reportFrom(1, silent), reportFrom(2, silent), PeerReport{From: message.Member{Name: "n02"}, Report: silent, Withdrawn: true}}, false},
		{"others, while its paths from here are well", 3, []Event{reportFrom(1, silent), reportFrom(2, silent), successFrom(4, "u5")}, false},
		{"a class", 1, []Event{reportFrom(1, failureReport("u5", "c", message.ErrorAnswers)), reportFrom(2, failureReport("u5", "c", message.ErrorAnswers))}, false},
		{"another class each", 1, []Event{reportFrom(1, failureReport("u5", "c", message.ErrorAnswers)), reportFrom(2, failureReport("u5", "d", message.ErrorAnswers))}, false},
		{"dropped by the list and listed again", 1, []Event{reportFrom(1, silent), reportFrom(2, silent), EndpointList{testEndpoints(1)[6:]}, EndpointList{testEndpoints(1)}}, false},
		{"restarted", 1, []Event{reportFrom(1, silent), reportFrom(2, silent), EndpointList{testEndpoints(2)}}, false},
		{"reporters restarted", 1, []Event{reportFrom(1, silent), reportFrom(2, silent), Roster{[]message.Member{
			{Name: "n01", Site: "cebu", Incarnation: message.Incarnation{StartedMs: 9}}, {Name: "n02", Site: "davao"}}}}, false},
	} {
		b := newTestTracker(c.each)
		for _, e := range c.what {
			b.Handle(testTime, e)
		}
		now := b.isOpen("u5", "")
		b.Handle(testTime+2*time.Second, Tick{}) // what was only held back would open
		if now != c.open || b.isOpen("u5", "") != c.open {
			t.Errorf("%s: open %v", c.name, !c.open)
		}
	}
}

// Sites that contradict each other, seen from one that says nothing.
func TestSitesContradict(t *testing.T) {
	b := newTestTracker(1)
	b.config.Site = "quezon"
	if b.Handle(testTime, Batch{reportFrom(1, failureReport("u5", "", message.Silence)), reportFrom(2, failureReport("u5", "", message.Silence)), successFrom(3, "u5"), successFrom(0, "u5")}); b.isOpen("u5", "") {
		t.Error("open though as many sites are served")
	}
	if b.Handle(testTime+servedTTL-time.Millisecond, Batch{reportFrom(1, failureReport("u5", "", message.Silence)), reportFrom(2, failureReport("u5", "", message.Silence))}); b.isOpen("u5", "") {
		t.Error("their words do not last")
	}
	if b.Handle(testTime+servedTTL, Tick{}); !b.isOpen("u5", "") {
		t.Error("their words last for ever")
	}
}

// A board that has just begun opens nothing; one that loses sight of others is no bolder; what stands is not shaken by a little
// doubt; what served before the trouble marks nobody down.
func TestCaution(t *testing.T) {
	two := Batch{reportFrom(1, failureReport("u5", "", message.ErrorAnswers)), reportFrom(2, failureReport("u5", "", message.ErrorAnswers))}
	b := newTestTracker(1)
	if b.Handle(startupTime/2, two); b.isOpen("u5", "") {
		t.Error("open before the roster can be whole")
	}
	if b.Handle(startupTime, Tick{}); !b.isOpen("u5", "") {
		t.Error("not open after")
	}
	unsure := two[1].(PeerReport)
	unsure.Report.SelfSuspicion = 0.3
	if b.Handle(testTime, Batch{two[0], unsure}); !b.isOpen("u5", "") {
		t.Error("closed by a little doubt")
	}
	b = newTestTracker(1)
	if b.Handle(testTime, Batch{two[0], unsure}); b.isOpen("u5", "") {
		t.Error("opened in doubt")
	}
	b = newTestTracker(75)
	b.Handle(testTime, Roster{[]message.Member{{Name: "n00", Site: "makati"}, {Name: "n01", Site: "cebu"}, {Name: "n02", Site: "davao"}, {Name: "n03", Site: "iloilo"}}})
	if b.Handle(testTime, two); b.isOpen("u5", "") {
		t.Error("bolder for having lost the others")
	}
	b = newTestTracker(1)
	b.Handle(testTime, OwnReport{successFrom(0, "u5").Report})
	if b.Handle(testTime+time.Second, two); !b.isOpen("u5", "") || len(b.scores) > 0 {
		t.Error("contradicted by what was before")
	}
}

// Nobody fills the tracker, however much is said.
func TestTheBoardIsBounded(t *testing.T) {
	b := newTestTracker(75)
	var all Batch
	for i := range 1500 {
		all = append(all, reportFrom(i%100, failureReport(fmt.Sprint("x", i/100), "", message.Silence)), reportFrom(i/150, failureReport(fmt.Sprint("y", i), "", message.Silence)))
	}
	b.Handle(testTime, all)
	said := 0
	for _, by := range b.reports {
		if said += len(by); len(by) > maxReporters {
			t.Fatalf("%d reporters of one subject", len(by))
		}
	}
	if len(b.reports) > maxSubjects || b.subjectsOf("n00") > maxSubjectsOfReporter {
		t.Errorf("%d subjects, %d of one reporter", len(b.reports), b.subjectsOf("n00"))
	}
}

// A process that was stopped, whose loop is jammed, or that lost most of the others distrusts itself for a while.
func TestDoubt(t *testing.T) {
	now := testTime
	d := NewSelfSuspicion(now, 100*time.Millisecond)
	look := func(gap time.Duration, present int, loop time.Duration) float64 {
		now += gap
		return d.Check(now, present, loop)
	}
	for range 50 {
		if x := look(110*time.Millisecond, 40, 100*time.Millisecond); x != 0 {
			t.Fatalf("doubt %v with nothing wrong", x)
		}
	}
	if x := look(100*time.Millisecond, 19, 0); x != 1 {
		t.Errorf("doubt %v of one who lost most", x)
	}
	if x := look(100*time.Millisecond, 27, 0); x != 0 {
		t.Errorf("doubt %v where a third is gone", x)
	}
	for _, gap := range [][2]time.Duration{{2 * time.Second, 0}, {100 * time.Millisecond, time.Second}} {
		if x := look(gap[0], 40, gap[1]); x != 1 {
			t.Errorf("doubt %v of one who stood still", x)
		}
		for range 29 {
			look(100*time.Millisecond, 40, 0)
		}
		if x := look(200*time.Millisecond, 40, 0); x > 0.2 {
			t.Errorf("doubt %v long after", x)
		}
	}
	for range 60 { // stopped for 400 ms in 500
		look(400*time.Millisecond, 40, 0)
	}
	if x := look(400*time.Millisecond, 40, 0); x < 0.9 {
		t.Errorf("doubt %v of one who starves", x)
	}
}

// A verdict holds for the class that was spoken of, and lapses with what was said; said anew without anything new it does, too.
func TestAVerdictEnds(t *testing.T) {
	b := newTestTracker(1)
	b.Handle(testTime, reportFrom(1, failureReport("u5", "c", message.ErrorAnswers)))
	v := b.Handle(testTime, reportFrom(2, failureReport("u5", "c", message.ErrorAnswers)))
	if len(v) != 1 || !v[0].Open || v[0].Class != "c" || v[0].For != ttl || !strings.Contains(v[0].Reason, "cebu/n01 errors 3") {
		t.Fatalf("told %+v", v)
	}
	for now := testTime; now < testTime+time.Minute; now += time.Second {
		b.Handle(now, Batch{reportFrom(1, failureReport("u5", "c", message.ErrorAnswers)), reportFrom(2, failureReport("u5", "c", message.ErrorAnswers))})
		if open := now <= testTime+evidenceLifetime; b.isOpen("u5", "c") != open {
			t.Fatalf("open %v after %v of repeats", !open, now-testTime)
		}
	}
	if b.Handle(testTime+2*time.Minute, Tick{}); len(b.reports)+len(b.announced) > 0 {
		t.Errorf("kept %d reports and %d verdicts", len(b.reports), len(b.announced))
	}
}

// A reporter that the own successes contradict is believed less, for a while.
func TestALiarIsMarkedDown(t *testing.T) {
	b := newTestTracker(1)
	for i := range 3 {
		u := fmt.Sprint("u", 4*i)
		b.Handle(testTime, reportFrom(1, failureReport(u, "", message.ErrorAnswers)))
		b.Handle(testTime, OwnReport{successFrom(0, u).Report})
		b.Handle(testTime, PeerReport{From: message.Member{Name: "n01"}, Report: failureReport(u, "", message.ErrorAnswers), Withdrawn: true})
	}
	later := testTime + 10*time.Second
	b.Handle(later, Batch{reportFrom(1, failureReport("u5", "", message.ErrorAnswers)), reportFrom(2, failureReport("u5", "", message.ErrorAnswers))})
	if b.isOpen("u5", "") {
		t.Error("believed as if it had never been wrong")
	}
	later += 10 * time.Minute
	b.Handle(later, Batch{reportFrom(1, failureReport("u6", "", message.ErrorAnswers)), reportFrom(2, failureReport("u6", "", message.ErrorAnswers))})
	if !b.isOpen("u6", "") {
		t.Error("not forgiven in ten minutes")
	}
}

// What opens and ends again and again is held back.
func TestNoFlapping(t *testing.T) {
	b, opened := newTestTracker(1), 0
	for now := testTime; now < testTime+20*time.Second; now += 200 * time.Millisecond {
		over := reportFrom(2, failureReport("u5", "", message.Silence))
		over.Withdrawn = now/(200*time.Millisecond)%2 == 0
		for _, v := range b.Handle(now, Batch{reportFrom(1, failureReport("u5", "", message.Silence)), over}) {
			if v.Open {
				opened++
			}
		}
	}
	if opened == 0 || opened > 6 {
		t.Errorf("opened %d times in 20 s", opened)
	}
}

// The holder's probes close the breaker for all in steps; an old holder's do nothing; what comes late from before is void.
func TestTrialsCloseInSteps(t *testing.T) {
	b := newTestTracker(1)
	b.Handle(testTime, Batch{reportFrom(1, failureReport("u5", "", message.Silence)), reportFrom(2, failureReport("u5", "", message.Silence))})
	try := func(epoch uint64, step, count int, round uint64) *announcement {
		b.Handle(testTime, ProbeResult{From: "n01", TTL: ttl, Result: message.ProbeResult{Upstream: "u5", StartedMs: 1, Epoch: epoch, OK: step > 0, Step: step, Count: count, Round: round}})
		return b.announced[subject{"u5", ""}]
	}
	if v := try(7, 0, 0, 0); v.Probes != ProbeByPeer || v.PassFraction != 0 || !v.Open {
		t.Fatalf("another holds the trials: %+v", v)
	}
	if v := try(7, 1, 1, 0); v.PassFraction != passFractions[1] {
		t.Fatalf("after one step: %+v", v)
	}
	if v := try(6, ProbeSteps, 9, 1); v.PassFraction != passFractions[1] || !v.Open {
		t.Fatalf("an earlier epoch was taken: %+v", v)
	}
	if v := try(7, ProbeSteps, 3, 1); v.Open {
		t.Fatalf("not closed: %+v", v)
	}
	b.Handle(testTime, Batch{reportFrom(3, failureReport("u5", "", message.Silence)), reportFrom(2, failureReport("u5", "", message.Silence))})
	if b.isOpen("u5", "") {
		t.Error("reports of the round before count")
	}
	b.Handle(testTime, EndpointList{testEndpoints(2)})
	if try(9, 1, 1, 5); b.Round("u5") != 0 || b.probes["u5"].epoch != 7 {
		t.Errorf("of its life before: round %d, epoch %d", b.Round("u5"), b.probes["u5"].epoch)
	}
}

// Order, and repetition, make no difference, to what one learns of a probe's success either.
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
		for holder, epoch := range rapid.SliceOfNDistinct(rapid.Uint64Range(1, 3), 0, 3, rapid.ID).Draw(t, "epochs") {
			step := rapid.IntRange(0, ProbeSteps).Draw(t, "step")
			events = append(events, ProbeResult{From: fmt.Sprintf("n%02d", holder), TTL: ttl, Result: message.ProbeResult{Upstream: "u1", StartedMs: 1,
				Epoch: epoch, OK: step > 0, Step: step, Count: step, Round: uint64(step / ProbeSteps)}})
		}
		var views [2]string
		for i := range views {
			b := newTestTracker(2)
			order := rapid.Permutation(events).Draw(t, "order")
			b.Handle(testTime, append(append(Batch{}, order...), order[:len(order)/2]...))
			for _, s := range b.subjects() {
				if v := b.announced[s]; v.Open {
					views[i] += fmt.Sprintf("%v %v %v %v\n", s, v.PassFraction, v.Probes, v.Reason)
				}
			}
		}
		if views[0] != views[1] {
			t.Fatalf("one saw\n%sand another\n%s", views[0], views[1])
		}
	})
}

// Whatever comes: bounds hold, and only what is listed is ever open.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{1, 5, 0, 1, 2, 5, 0, 1, 9, 9, 9, 9})
	f.Fuzz(func(t *testing.T, script []byte) {
		b, now := newTestTracker(2), testTime
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
			for _, v := range b.Handle(now, e) {
				if _, listed := b.listed[v.Upstream]; v.Open && (!listed || v.For <= 0 || v.For > message.MaxTTL || v.PassFraction < 0 || v.PassFraction >= 1) {
					t.Fatalf("told %+v", v)
				}
			}
			if len(b.reports) > maxSubjects || len(b.probes) > maxSubjects+16 {
				t.Fatalf("%d subjects, %d trials", len(b.reports), len(b.probes))
			}
		}
	})
}
