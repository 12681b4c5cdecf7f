package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Under pressure, the requests of lowest value are shed first.
func TestLowestValueIsShedFirst(t *testing.T) {
	s := testSettings()
	s.Classes = []Class{{Name: "c", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 1},
		{Name: "dear", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 9}}
	r := newRig(t, s)
	r.setEndpoints(4)
	rejected := map[string]int{}
	var pending []string // each is answered 155 ms after it arrived; slightly more are in flight than may wait
	for i := range 600 {
		id, class := fmt.Sprint(i), []string{"c", "dear"}[i%2]
		if len(actionsOfKind(r.request(id, class, time.Second), StartAttempt)) == 0 {
			rejected[class]++
			id = ""
		}
		if pending = append(pending, id); len(pending) > 31 {
			if pending[0] != "" {
				r.endAttempt(pending[0], 0, OK, 155*ms)
			}
			pending = pending[1:]
		}
		r.now += 5 * ms
	}
	if rejected["c"] < 10 || rejected["dear"] > rejected["c"]/2 {
		t.Errorf("got rejected requests %v by class, want 10 or more of c and no more than half as many of dear", rejected)
	}
}

// A part of the requests of a tenant above its quota has a lower value.
func TestOverQuotaCountsLess(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Name: "big", Quota: 0.5}, {Name: "small", Quota: 0.5}}
	s.OverQuotaFraction = 0.1
	r := newRig(t, s)
	lowValue := map[int]int{}
	for i := range 1000 {
		r.b.now += ms
		req := &request{class: r.b.classes["c"], work: 1, tenant: min(i%10/9, 1)} // nine of ten are of tenant 0
		if r.b.value(req) < 1 {
			lowValue[req.tenant]++
		}
	}
	if lowValue[1] != 0 || lowValue[0] < 300 || lowValue[0] > 500 { // the part above the quota is (0.9-0.5)/0.9 of 900 requests: 400
		t.Errorf("got low values %v by tenant, want 300 to 500 of tenant 0 and none of tenant 1", lowValue)
	}
}

// The retry budget bounds retries and hedged requests in proportion to first attempts.
func TestRetryBudget(t *testing.T) {
	fleet := newFakeFleet(t, testSettings(), func(string) (Result, time.Duration) { return ServerError, 5 * ms })
	fleet.setEndpoints(8)
	fleet.run(20*time.Second, 100)
	total := fleet.totalAttempts()
	if limit := float64(fleet.requests)*(1+retryBudgetRatio) + minRetryBudget; float64(total) > limit {
		t.Errorf("got %d attempts for %d requests, want %.0f or fewer", total, fleet.requests, limit)
	}
}

// Retries after failed connects are not bounded by the retry budget, and do not make it negative, which would delay later
// hedging.
func TestFailedConnectsDoNotRunUpADebt(t *testing.T) {
	fleet := newFakeFleet(t, testSettings(), func(u string) (Result, time.Duration) { return ConnectFailed, 0 })
	fleet.setEndpoints(4)
	fleet.run(5*time.Second, 100)
	if fleet.b.retryBudget.tokens < 0 {
		t.Errorf("got a retry budget of %v after failed connects, want 0 or more", fleet.b.retryBudget.tokens)
	}
}

// The sums over the requests in flight stay exact, also in a process that has run for 400 days.
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
		t.Errorf("got %d in flight, arrival sum %v, inverse objectives %v; want 1, %v, 5", b.admission.inFlight, b.admission.arrivalSum,
			b.admission.inverseObjectives, r.now)
	}
}

// Guards against picks of an endpoint that immediately answers with errors, while the queues of the others last longer than
// the penalty for an error (id62488).
func TestErrorsAtOnceDrawNoPicks(t *testing.T) {
	failing := true
	s := testSettings()
	s.Classes[0].LatencyObjective = 400 * ms
	fleet := newFakeFleet(t, s, func(u string) (Result, time.Duration) {
		if u == "u0" && failing {
			return ServerError, time.Millisecond
		}
		return OK, 150 * ms // ten or more are pending at each endpoint: a cost far above the penalty
	})
	fleet.setEndpoints(4)
	fleet.run(10*time.Second, 250)
	if fleet.sentTo["u0"] > 40 {
		t.Errorf("endpoint that only answers with errors got %d attempts, want 40 or fewer", fleet.sentTo["u0"])
	}
	failing = false
	fleet.run(10*time.Second, 250)
	if fleet.sentTo["u0"] < 200 || !fleet.logged("endpoint reinstated upstream=u0") {
		t.Errorf("got %d attempts after the errors ended, want 200 or more and a logged reinstatement; log %q", fleet.sentTo["u0"], fleet.logs)
	}
}

// Late answers of endpoints that still answer lower the limit, down to its minimum, and it recovers afterwards. Requests that
// wait at an endpoint that hangs do not lower it (i4fffd9, i5c4351).
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
	fleet := newFakeFleet(t, s, reply)
	fleet.setEndpoints(4)
	fleet.run(5*time.Second, 400)
	if fleet.b.admission.limitFraction > minLimitFraction*1.2 {
		t.Errorf("got limit %.2f with half of all answers late, want about the minimum %.2f", fleet.b.admission.limitFraction, minLimitFraction)
	}
	congested = false
	fleet.run(10*time.Second, 100)
	if fleet.b.admission.limitFraction < maxLimitFraction {
		t.Errorf("got limit %.2f 10 s after the late answers, want %.2f", fleet.b.admission.limitFraction, maxLimitFraction)
	}
	fleet = newFakeFleet(t, s, func(u string) (Result, time.Duration) {
		if u < "u2" {
			return OK, -1
		}
		return OK, 90 * ms
	})
	fleet.setEndpoints(4)
	fleet.run(2*time.Second, 400)
	if fleet.finalAnswers[Reject] == 0 || fleet.b.admission.limitFraction < maxLimitFraction*0.9 {
		t.Errorf("endpoints hang without congestion: got %d rejected requests and limit %.2f, want some and about %.2f",
			fleet.finalAnswers[Reject], fleet.b.admission.limitFraction, maxLimitFraction)
	}
}

// Pressure rises gradually with the age of the requests in flight: a burst after a lull is admitted, and an overload is
// recognized before its requests are old.
func TestPressureRisesWithAge(t *testing.T) {
	for _, c := range []struct {
		inFlight, answered int
		age                time.Duration
		over               bool
	}{
		{inFlight: 100, answered: 400, age: 10 * ms},
		{inFlight: 100, answered: 400, age: 35 * ms, over: true},
		{inFlight: 100, answered: 400, age: 100 * ms, over: true},
		{inFlight: 20, answered: 400, age: 35 * ms},
		{inFlight: 20, answered: 1, age: 15 * ms}, // one answer in 2 s: a lull came before
		{inFlight: 20, answered: 0, age: 150 * ms, over: true},
	} {
		r := newRig(t, testSettings())
		r.setEndpoints(4)
		for i := range c.answered { // evenly distributed over 2 s
			r.b.admission.served.add(1, r.now+2*time.Second*time.Duration(i)/time.Duration(c.answered))
		}
		r.now += 2 * time.Second
		r.handle(TimerFired{})
		for range c.inFlight {
			r.b.admission.addInFlight(&request{arrivedAt: r.now, objectiveAt: r.now + 200*ms}, 1)
		}
		r.now += c.age
		r.handle(TimerFired{})
		if p := r.b.pressure(); p > 1 != c.over {
			t.Errorf("%d in flight for %v, %d answered: got pressure %.2f, want one above 1: %v", c.inFlight, c.age, c.answered, p, c.over)
		}
	}
}

// Rejected requests add nothing to the retry budget, which is proportional to first attempts.
func TestRejectedRequestsEarnNoRetries(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(4)
	r.b.retryBudget.tokens = 0
	for i := range 16 { // minInFlightPerEndpoint for each of 4 endpoints, divided by the 2 sidecars
		r.wantAttempt(r.request(fmt.Sprint(i), "c", time.Second))
	}
	if r.b.retryBudget.tokens != 16*retryBudgetRatio {
		t.Errorf("got a budget of %.2f after sixteen first attempts, want %.2f", r.b.retryBudget.tokens, 16*retryBudgetRatio)
	}
	r.now += 150 * ms // no request is answered in this time, so all later ones are rejected
	for i := range 100 {
		r.wantFinalAnswer(r.request(fmt.Sprint("late", i), "c", time.Second), Reject)
	}
	if r.b.retryBudget.tokens != 16*retryBudgetRatio {
		t.Errorf("got a budget of %.2f after a hundred rejections, want %.2f", r.b.retryBudget.tokens, 16*retryBudgetRatio)
	}
}

// Hedging stops before first attempts are rejected: near the limit it would add to the congestion (i38832b, i4fffd9).
func TestNoHedgingNearTheLimit(t *testing.T) {
	for _, c := range []struct {
		inFlight int
		hedged   bool
	}{{15, true}, {24, false}} { // the limit is 26: 0.65 of the objective of 200 ms, at 200 answers per second
		r := newRig(t, testSettings())
		r.setEndpoints(4)
		for range 400 {
			r.now += 5 * ms
			r.b.admission.served.add(1, r.now)
		}
		r.b.latency.hedgeDelay.value, r.b.hedges.successRatio = 0.08, 1
		r.wantAttempt(r.request("r", "c", time.Second))
		for range c.inFlight {
			r.b.admission.addInFlight(&request{arrivedAt: r.now, objectiveAt: r.now + 200*ms}, 1)
		}
		hedges := 0
		for range 24 {
			r.b.admission.served.add(1, r.now)
			hedges += len(actionsOfKind(r.advance(5*ms), StartAttempt))
		}
		if hedges > 0 != c.hedged {
			t.Errorf("got %d hedged attempts with %d in flight and pressure %.2f, want hedging %v", hedges, c.inFlight, r.b.pressure(), c.hedged)
		}
	}
}

// Guards against load shedding at a sidecar with few answers, only because two or three requests are in flight.
func TestQuietSidecarDoesNotShedOnAFewInHand(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(10)
	for i := range 60 { // three requests arrive at the same time each second, and each is answered within half of its objective
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
		t.Errorf("got log %q, want none", r.logs)
	}
}

// A sidecar with a low load also sheds load in an overload: it does so if attempts last about as long as their objective or
// longer, although it never has more than one request in flight, and stops soon after the overload.
func TestQuietSidecarShedsInOverload(t *testing.T) {
	latency := 240 * ms
	fleet := newFakeFleet(t, testSettings(), func(string) (Result, time.Duration) { return OK, latency })
	fleet.setEndpoints(10)
	fleet.run(20*time.Second, 3)
	if fleet.finalAnswers[Reject] < 20 {
		t.Errorf("got %d of %d requests rejected while all attempts last longer than their objective, want 20 or more", fleet.finalAnswers[Reject], fleet.requests)
	}
	latency = 20 * ms
	fleet.run(10*time.Second, 3)
	rejected := fleet.finalAnswers[Reject]
	fleet.run(10*time.Second, 3)
	if fleet.finalAnswers[Reject] != rejected {
		t.Errorf("got %d requests rejected 10 to 20 s after the overload, want 0", fleet.finalAnswers[Reject]-rejected)
	}
}

// Late requests are usually costly, and so are their second attempts. A request is therefore hedged only if hedging succeeded
// recently, or if its endpoint has not answered a second attempt of this sidecar, either, and so probably hangs.
func TestHedgingOnlyWhereTheEndpointHangs(t *testing.T) {
	for _, c := range []struct{ secondPending, hedgingSucceeds, hedged bool }{{}, {true, false, true}, {false, true, true}} {
		r := newRig(t, testSettings()) // objective 200 ms
		r.setEndpoints(1)
		for i := range 300 {
			id := fmt.Sprint(i)
			r.request(id, "c", time.Second)
			r.now += 20 * ms
			r.endAttempt(id, 0, OK, 20*ms)
		}
		if c.hedgingSucceeds {
			r.b.hedges.successRatio = 0.5
		}
		r.now += time.Second
		r.request("late", "c", time.Second)
		if c.secondPending {
			r.request("beside", "c", time.Second)
		}
		r.updateEndpoints(Delta, Endpoint{Upstream: "other", Zone: "a"})
		if got := len(actionsOfKind(r.advance(60*ms), StartAttempt)) > 0; got != c.hedged {
			t.Errorf("case %+v: got late request hedged %v, want %v", c, got, c.hedged)
		}
	}
}

// A sidecar learns from its hedged requests whether hedging helps. It helps if single endpoints pause, but not if all are slow.
func TestHedgesThatWinGoOn(t *testing.T) {
	for _, pauses := range []bool{false, true} {
		var fleet *fakeFleet
		fleet = newFakeFleet(t, testSettings(), func(u string) (Result, time.Duration) {
			if phase := (fleet.now + time.Duration(u[1])*170*ms) % (2 * time.Second); pauses && phase < 300*ms {
				return OK, 300*ms - phase + 20*ms
			}
			if !pauses && fleet.now%(4*time.Second) < 400*ms {
				return OK, 150 * ms // at all endpoints, so that the second attempt takes as long as the first
			}
			return OK, 20 * ms
		})
		fleet.setEndpoints(6)
		fleet.run(30*time.Second, 100)
		if hedges := fleet.totalAttempts() - fleet.requests; pauses != (fleet.b.hedges.successRatio > minHedgeSuccess) || !pauses && hedges > fleet.requests/20 {
			t.Errorf("pauses %v: got %d hedged of %d requests and success ratio %.2f; want a ratio above %.2f only with pauses, and without them no more than 1 in 20 hedged",
				pauses, hedges, fleet.requests, fleet.b.hedges.successRatio, minHedgeSuccess)
		}
	}
}

// A rejected client is usually told the longest retry-after time allowed. If this ends before the deadline and a late answer has
// value, the client would return after its objective and add to the load. It is then told a shorter time, so that it returns
// before its objective ends.
func TestAdviceOnRefusal(t *testing.T) {
	for _, c := range []struct {
		maxRetryAfter     time.Duration
		lateValueFraction float64
		want              time.Duration
	}{{time.Second, 0.5, time.Second}, {800 * ms, 0, 800 * ms}, {800 * ms, 0.5, 100 * ms}, {50 * ms, 0.5, 50 * ms}} {
		s := testSettings() // objective 200 ms, deadline 1 s
		s.MaxRetryAfter, s.Classes[0].LateValueFraction = c.maxRetryAfter, c.lateValueFraction
		r := newRig(t, s)
		r.setEndpoints(4)
		r.b.admission.congestion, r.b.admission.congestionAt = 10, r.now // every request but the first is rejected
		r.request("first", "c", time.Second)
		actions := r.request("second", "c", time.Second)
		r.wantFinalAnswer(actions, Reject)
		if got := finalAnswers(actions)[0].RetryAfter; got != c.want {
			t.Errorf("case %+v: got retry-after %v, want %v", c, got, c.want)
		}
	}
}
