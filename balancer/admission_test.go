package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Under pressure what is worth least goes first.
func TestLowestValueIsShedFirst(t *testing.T) {
	s := testSettings()
	s.Classes = []Class{{Name: "c", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 1},
		{Name: "dear", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 9}}
	r := newRig(t, s)
	r.setEndpoints(4)
	rejected := map[string]int{}
	var open []string // answered in order, each 155 ms after it came: a little more than may wait
	for i := range 600 {
		id, class := fmt.Sprint(i), []string{"c", "dear"}[i%2]
		if len(actionsOfKind(r.request(id, class, time.Second), StartAttempt)) == 0 {
			rejected[class]++
			id = ""
		}
		if open = append(open, id); len(open) > 31 {
			if open[0] != "" {
				r.endAttempt(open[0], 0, OK, 155*ms)
			}
			open = open[1:]
		}
		r.now += 5 * ms
	}
	if rejected["c"] < 10 || rejected["dear"] > rejected["c"]/2 {
		t.Errorf("refused %v", rejected)
	}
}

// Part of what a tenant sends beyond its share counts as little.
func TestOverQuotaCountsLess(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Name: "big", Quota: 0.5}, {Name: "small", Quota: 0.5}}
	s.OverQuotaFraction = 0.1
	r := newRig(t, s)
	low := map[int]int{}
	for i := range 1000 {
		r.b.now += ms
		q := &request{class: r.b.classes["c"], work: 1, tenant: min(i%10/9, 1)} // nine of ten are the first's
		if r.b.value(q) < 1 {
			low[q.tenant]++
		}
	}
	if low[1] != 0 || low[0] < 300 || low[0] > 500 { // (0.9-0.5)/0.9 of 900
		t.Errorf("counted low: %v", low)
	}
}

// Retries and copies have a budget relative to first attempts.
func TestRetryBudget(t *testing.T) {
	w := newFakeFleet(t, testSettings(), func(string) (Result, time.Duration) { return ServerError, 5 * ms })
	w.setEndpoints(8)
	w.run(20*time.Second, 100)
	total := w.totalAttempts()
	if limit := float64(w.requests)*(1+retryBudgetRatio) + minRetryBudget; float64(total) > limit {
		t.Errorf("%d attempts for %d requests", total, w.requests)
	}
}

// Refused connections are retried beside the budget, and do not eat what copies need later.
func TestFailedConnectsDoNotRunUpADebt(t *testing.T) {
	w := newFakeFleet(t, testSettings(), func(u string) (Result, time.Duration) { return ConnectFailed, 0 })
	w.setEndpoints(4)
	w.run(5*time.Second, 100)
	if w.b.retryBudget.tokens < 0 {
		t.Errorf("budget %v", w.b.retryBudget.tokens)
	}
}

// What is counted in flight is exact, also late in a long life.
func TestInHandDoesNotDrift(t *testing.T) {
	r := newRig(t, testSettings())
	r.now = 400 * 24 * time.Hour
	r.setEndpoints(4)
	r.request("stays", "c", time.Second)
	for i := range 20000 {
		id := fmt.Sprint(i)
		r.request(id, "c", time.Second)
		r.endAttempt(id, 0, OK, ms)
	}
	if b := r.b; b.admission.inFlight != 1 || b.admission.arrivalSum != r.now || b.admission.inverseObjectives < 4.999 || b.admission.inverseObjectives > 5.001 {
		t.Errorf("in hand %d, %v, %v", b.admission.inFlight, b.admission.arrivalSum, b.admission.inverseObjectives)
	}
}

// An upstream that answers errors at once is no choice beside queues that last longer than the penalty (id62488).
func TestErrorsAtOnceDrawNoPicks(t *testing.T) {
	broken := true
	s := testSettings()
	s.Classes[0].LatencyObjective = 400 * ms
	w := newFakeFleet(t, s, func(u string) (Result, time.Duration) {
		if u == "u0" && broken {
			return ServerError, time.Millisecond
		}
		return OK, 150 * ms // ten or more out at each: a load far above the penalty
	})
	w.setEndpoints(4)
	w.run(10*time.Second, 250)
	if w.sentTo["u0"] > 40 {
		t.Errorf("%d attempts on an upstream that only answers errors", w.sentTo["u0"])
	}
	broken = false
	w.run(10*time.Second, 250)
	if w.sentTo["u0"] < 200 || !w.logged("endpoint reinstated upstream=u0") {
		t.Errorf("not back: %d attempts, log %q", w.sentTo["u0"], w.logs)
	}
}

// Late answers from upstreams that go on answering narrow the limit, down to its least and back; what waits at a hung
// upstream does not (i4fffd9, i5c4351).
func TestLimitNarrowsUnderCongestion(t *testing.T) {
	n, congested := 0, true
	s := testSettings()
	s.Hedging = false
	reply := func(string) (Result, time.Duration) {
		if n++; congested && n%2 == 0 {
			return OK, 230 * ms
		}
		return OK, 90 * ms
	}
	w := newFakeFleet(t, s, reply)
	w.setEndpoints(4)
	w.run(5*time.Second, 400)
	if w.b.admission.limitFraction > minLimitFraction*1.2 {
		t.Errorf("limit %.2f with half of all answers late", w.b.admission.limitFraction)
	}
	congested = false
	w.run(10*time.Second, 100)
	if w.b.admission.limitFraction < maxLimitFraction {
		t.Errorf("limit %.2f long after", w.b.admission.limitFraction)
	}
	w = newFakeFleet(t, s, func(u string) (Result, time.Duration) {
		if u < "u2" {
			return OK, -1
		}
		return OK, 90 * ms
	})
	w.setEndpoints(4)
	w.run(2*time.Second, 400)
	if w.finalAnswers[Reject] == 0 || w.b.admission.limitFraction < maxLimitFraction*0.9 {
		t.Errorf("%d refused; limit %.2f with upstreams hung, not crowded", w.finalAnswers[Reject], w.b.admission.limitFraction)
	}
}

// Pressure rises with the age of what is in flight, without a step: a burst after a lull is let in, more than can be
// served is not admitted up to the moment it is old.
func TestPressureRisesWithAge(t *testing.T) {
	for _, c := range []struct {
		n, answered int
		age         time.Duration
		over        bool
	}{
		{n: 100, answered: 400, age: 10 * ms},
		{n: 100, answered: 400, age: 35 * ms, over: true},
		{n: 100, answered: 400, age: 100 * ms, over: true},
		{n: 20, answered: 400, age: 35 * ms},
		{n: 20, answered: 1, age: 15 * ms}, // a lull
		{n: 20, answered: 0, age: 150 * ms, over: true},
	} {
		r := newRig(t, testSettings())
		r.setEndpoints(4)
		for i := range c.answered { // over 2 s
			r.b.admission.served.add(1, r.now+2*time.Second*time.Duration(i)/time.Duration(c.answered))
		}
		r.now += 2 * time.Second
		r.handle(TimerFired{})
		for range c.n {
			r.b.admission.addInFlight(&request{arrivedAt: r.now, objectiveAt: r.now + 200*ms}, 1)
		}
		r.now += c.age
		r.handle(TimerFired{})
		if p := r.b.pressure(); p > 1 != c.over {
			t.Errorf("%d in hand for %v, %d answered: pressure %.2f", c.n, c.age, c.answered, p)
		}
	}
}

// What is refused earns no retries: the budget is relative to first attempts.
func TestRejectedRequestsEarnNoRetries(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(4)
	r.b.retryBudget.tokens = 0
	for i := range 16 { // minInFlightPerEndpoint for each upstream of its share
		r.wantAttempt(r.request(fmt.Sprint(i), "c", time.Second))
	}
	if r.b.retryBudget.tokens != 16*retryBudgetRatio {
		t.Errorf("budget %.2f after sixteen first attempts", r.b.retryBudget.tokens)
	}
	r.now += 150 * ms // and no answer: all that comes now is refused
	for i := range 100 {
		r.wantFinalAnswer(r.request(fmt.Sprint("late", i), "c", time.Second), Reject)
	}
	if r.b.retryBudget.tokens != 16*retryBudgetRatio {
		t.Errorf("budget %.2f after a hundred refusals", r.b.retryBudget.tokens)
	}
}

// Copies stop before first attempts are refused: near the limit they crowd what is congested (i38832b, i4fffd9).
func TestNoHedgingNearTheLimit(t *testing.T) {
	for _, c := range []struct {
		inHand int
		copied bool
	}{{15, true}, {24, false}} { // the limit is 26: 0.65 of the objective of 200 ms at 200 answers a second
		r := newRig(t, testSettings())
		r.setEndpoints(4)
		for range 400 {
			r.now += 5 * ms
			r.b.admission.served.add(1, r.now)
		}
		r.b.latency.hedgeDelay.value, r.b.hedges.successRatio = 0.08, 1
		r.wantAttempt(r.request("r", "c", time.Second))
		for range c.inHand {
			r.b.admission.addInFlight(&request{arrivedAt: r.now, objectiveAt: r.now + 200*ms}, 1)
		}
		hedges := 0
		for range 24 {
			r.b.admission.served.add(1, r.now)
			hedges += len(actionsOfKind(r.advance(5*ms), StartAttempt))
		}
		if hedges > 0 != c.copied {
			t.Errorf("%d copies with %d in hand, pressure %.2f", hedges, c.inHand, r.b.pressure())
		}
	}
}

// Two or three in flight at a quiet sidecar are no overload, however few answers it has had.
func TestQuietSidecarDoesNotShedOnAFewInHand(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(10)
	for i := range 60 { // three at once every second, each answered in half its objective
		for j := range 3 {
			r.wantAttempt(r.request(fmt.Sprint(i, "-", j), "c", time.Second))
			r.advance(25 * ms)
		}
		for j := range 3 {
			r.endAttempt(fmt.Sprint(i, "-", j), 0, OK, 100*ms)
		}
		r.advance(900 * ms)
	}
	if len(r.logs) > 0 {
		t.Errorf("log %q", r.logs)
	}
}

// A quiet sidecar takes its part in an overload: with attempts near their objective or beyond it sheds though it never has
// more than one in flight, and lets work in again soon after.
func TestQuietSidecarShedsInOverload(t *testing.T) {
	latency := 240 * ms
	w := newFakeFleet(t, testSettings(), func(string) (Result, time.Duration) { return OK, latency })
	w.setEndpoints(10)
	w.run(20*time.Second, 3)
	if w.finalAnswers[Reject] < 20 {
		t.Errorf("%d of %d refused while all took longer than their aim", w.finalAnswers[Reject], w.requests)
	}
	latency = 20 * ms
	w.run(10*time.Second, 3)
	rejected := w.finalAnswers[Reject]
	w.run(10*time.Second, 3)
	if w.finalAnswers[Reject] != rejected {
		t.Error("still shedding long after")
	}
}

// A late request is most often a costly one, and its copy as costly: no copy of it, unless copies have won of late.
// Where the upstream leaves a second of ours unanswered too it hangs, and the copy goes out as soon as it is late.
func TestHedgingOnlyWhereTheEndpointHangs(t *testing.T) {
	for _, c := range []struct{ second, won, copied bool }{{}, {true, false, true}, {false, true, true}} {
		r := newRig(t, testSettings()) // aim 200 ms
		r.setEndpoints(1)
		for i := range 300 {
			id := fmt.Sprint(i)
			r.request(id, "c", time.Second)
			r.now += 20 * ms
			r.endAttempt(id, 0, OK, 20*ms)
		}
		if c.won {
			r.b.hedges.successRatio = 0.5
		}
		r.now += time.Second
		r.request("late", "c", time.Second)
		if c.second {
			r.request("beside", "c", time.Second)
		}
		r.updateEndpoints(Delta, Endpoint{Upstream: "other", Zone: "a"})
		if got := len(actionsOfKind(r.advance(60*ms), StartAttempt)) > 0; got != c.copied {
			t.Errorf("%+v: copied %v", c, got)
		}
	}
}

// Whether copies pay is learned from those that are sent: where upstreams pause they win.
func TestHedgesThatWinGoOn(t *testing.T) {
	for _, pauses := range []bool{false, true} {
		var w *fakeFleet
		w = newFakeFleet(t, testSettings(), func(u string) (Result, time.Duration) {
			if phase := (w.now + time.Duration(u[1])*170*ms) % (2 * time.Second); pauses && phase < 300*ms {
				return OK, 300*ms - phase + 20*ms
			}
			if !pauses && w.now%(4*time.Second) < 400*ms {
				return OK, 150 * ms // everywhere: the copy takes as long
			}
			return OK, 20 * ms
		})
		w.setEndpoints(6)
		w.run(30*time.Second, 100)
		if hedges := w.totalAttempts() - w.requests; pauses != (w.b.hedges.successRatio > minHedgeSuccess) || !pauses && hedges > w.requests/20 {
			t.Errorf("pauses %v: %d copies of %d, wins %.2f", pauses, hedges, w.requests, w.b.hedges.successRatio)
		}
	}
}

// A refused client is to stay away for good. Where the longest advice ends before the deadline it is back while late
// answers count, past its objective, and in the way: there it is told to be back in time.
func TestAdviceOnRefusal(t *testing.T) {
	for _, c := range []struct {
		longest   time.Duration
		lateShare float64
		want      time.Duration
	}{{time.Second, 0.5, time.Second}, {800 * ms, 0, 800 * ms}, {800 * ms, 0.5, 100 * ms}, {50 * ms, 0.5, 50 * ms}} {
		s := testSettings() // aim 200 ms, deadline 1 s
		s.MaxRetryAfter, s.Classes[0].LateValueFraction = c.longest, c.lateShare
		r := newRig(t, s)
		r.setEndpoints(4)
		r.b.admission.congestion, r.b.admission.congestionAt = 10, r.now // all is refused
		r.request("first", "c", time.Second)
		actions := r.request("second", "c", time.Second)
		r.wantFinalAnswer(actions, Reject)
		if got := finalAnswers(actions)[0].RetryAfter; got != c.want {
			t.Errorf("%+v: advised %v", c, got)
		}
	}
}
