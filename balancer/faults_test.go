package balancer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// fakeFleet is a rig with fake endpoints. It does not model a server: reply determines the result of each attempt.
type fakeFleet struct {
	*rig
	reply        func(endpoint string) (Result, time.Duration) // result and duration of an attempt; a negative duration means no answer
	pending      []pendingAttempt
	sentTo       map[string]int     // attempts by endpoint
	finalAnswers map[ActionKind]int // Reject and Fail actions
	succeeded    int                // attempts
	requests     int
}

// pendingAttempt is an attempt and how it will end.
type pendingAttempt struct {
	action Action
	number int
	sentAt time.Duration
	endsAt time.Duration
	result Result
}

func newFakeFleet(t *testing.T, s Settings, reply func(string) (Result, time.Duration)) *fakeFleet {
	return &fakeFleet{rig: newRig(t, s), reply: reply, sentTo: map[string]int{}, finalAnswers: map[ActionKind]int{}}
}

// apply carries out actions. attempts is the number of attempts of each request.
func (f *fakeFleet) apply(actions []Action, attempts map[string]int) {
	for _, a := range actions {
		switch a.Kind {
		case StartAttempt:
			res, d := f.reply(a.Upstream)
			pending := pendingAttempt{action: a, number: attempts[a.ID], sentAt: f.now, endsAt: f.now + d, result: res}
			if d < 0 || d > a.Timeout {
				pending.endsAt, pending.result = f.now+a.Timeout, Timeout
			}
			attempts[a.ID]++
			f.sentTo[a.Upstream]++
			f.pending = append(f.pending, pending)
		case CancelAttempt:
			for i := range f.pending {
				if f.pending[i].action.ID == a.ID && f.pending[i].number == a.Attempt {
					f.pending[i].endsAt, f.pending[i].result = f.now, Cancelled
				}
			}
		case Reject, Fail:
			f.finalAnswers[a.Kind]++
		}
	}
}

// run advances the clock by d with perSecond evenly distributed requests of the first class.
func (f *fakeFleet) run(d time.Duration, perSecond int) {
	attempts := map[string]int{}
	tick := f.b.settings.Tick
	due := 0.0
	for end := f.now + d; f.now < end; {
		f.now += tick
		f.apply(f.handle(TimerFired{}), attempts)
		for due += float64(perSecond) * tick.Seconds(); due >= 1; due-- {
			f.requests++
			f.apply(f.handle(Request{ID: fmt.Sprint("r", f.requests), Class: f.b.settings.Classes[0].Name,
				ExpiresAt: f.now + f.b.settings.Classes[0].Deadline}), attempts)
		}
		for i := 0; i < len(f.pending); i++ {
			pending := f.pending[i]
			if pending.endsAt > f.now {
				continue
			}
			f.pending = slices.Delete(f.pending, i, i+1)
			i--
			if pending.result == OK {
				f.succeeded++
			}
			f.apply(f.handle(AttemptEnded{ID: pending.action.ID, Attempt: pending.number, Result: pending.result, Elapsed: f.now - pending.sentAt,
				Final: pending.result == OK}), attempts)
		}
	}
}

// logged reports whether a log line contains the text.
func (f *fakeFleet) logged(text string) bool {
	return slices.ContainsFunc(f.logs, func(line string) bool { return strings.Contains(line, text) })
}

func okAfter20ms(string) (Result, time.Duration) { return OK, 20 * ms }

// Guards against picks of a crashed endpoint, which seems fast because connections to it fail immediately. Single probes
// reinstate it.
func TestCrashedUpstreamDrawsNoPicks(t *testing.T) {
	down := true
	fleet := newFakeFleet(t, testSettings(), func(u string) (Result, time.Duration) {
		if u == "u0" && down {
			return ConnectFailed, 0
		}
		return OK, 20 * ms
	})
	fleet.setEndpoints(5)
	fleet.run(10*time.Second, 100)
	if fleet.sentTo["u0"] > 10 {
		t.Errorf("crashed endpoint got %d attempts, want 10 or fewer", fleet.sentTo["u0"])
	}
	if fleet.finalAnswers[Reject]+fleet.finalAnswers[Fail] > 0 {
		t.Errorf("got final answers %v by kind with four working endpoints, want none", fleet.finalAnswers)
	}
	down = false
	fleet.run(10*time.Second, 100)
	if fleet.sentTo["u0"] < 50 || !fleet.logged("endpoint ejected upstream=u0") || !fleet.logged("endpoint reinstated upstream=u0") {
		t.Errorf("endpoint got %d attempts after it recovered, want 50 or more and a logged ejection and reinstatement; log %q",
			fleet.sentTo["u0"], fleet.logs)
	}
}

// An endpoint that hangs is recognized by the age of its pending attempts, and ejected because it does not answer.
func TestHungUpstreamIsLeft(t *testing.T) {
	for _, hedging := range []bool{true, false} {
		s := testSettings()
		s.Hedging = hedging
		fleet := newFakeFleet(t, s, func(u string) (Result, time.Duration) {
			if u == "u0" {
				return OK, -1
			}
			return OK, 20 * ms
		})
		fleet.setEndpoints(5)
		fleet.run(10*time.Second, 100)
		if fleet.sentTo["u0"] > 60 || fleet.succeeded < 950 {
			t.Errorf("hedging %v: hung endpoint got %d attempts, want 60 or fewer; %d of %d requests succeeded, want 950 or more",
				hedging, fleet.sentTo["u0"], fleet.succeeded, fleet.requests)
		}
	}
}

// Hedging answers the requests that wait at an endpoint during a pause too short for any health check.
func TestPauseIsCoveredByHedging(t *testing.T) {
	var fleet *fakeFleet
	fleet = newFakeFleet(t, testSettings(), func(u string) (Result, time.Duration) {
		if phase := fleet.now % (2 * time.Second); u == "u0" && phase < 300*ms {
			return OK, 300*ms - phase + 20*ms
		}
		return OK, 20 * ms
	})
	fleet.setEndpoints(4)
	fleet.run(20*time.Second, 100)
	if float64(fleet.succeeded) < 0.99*float64(fleet.requests-5) {
		t.Errorf("%d of %d requests succeeded, want 99%%", fleet.succeeded, fleet.requests)
	}
}

// A slow endpoint gets no more than half as many requests as a fast one.
func TestSlowUpstreamGetsLess(t *testing.T) {
	fleet := newFakeFleet(t, testSettings(), func(u string) (Result, time.Duration) {
		if u == "u0" {
			return OK, 120 * ms
		}
		return OK, 20 * ms
	})
	fleet.setEndpoints(4)
	fleet.run(10*time.Second, 100)
	if fleet.sentTo["u0"] > fleet.sentTo["u1"]/2 {
		t.Errorf("slow endpoint got %d attempts, a fast one %d; want no more than half as many", fleet.sentTo["u0"], fleet.sentTo["u1"])
	}
}

// A costly request does not make its endpoint seem slow: samples are normalized by the cost hint.
func TestCostlyRequestIsNoSlowUpstream(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(1)
	for i := range 200 { // mean work of 20 ms, each answered in 20 ms
		id := fmt.Sprint(i)
		r.handle(Request{ID: id, Class: "c", ExpiresAt: r.now + time.Second, CostHint: 20 * ms})
		r.endAttempt(id, 0, OK, 20*ms)
		r.now += 10 * ms
	}
	before := r.b.endpoints.order[0].latency.value
	r.handle(Request{ID: "big", Class: "c", ExpiresAt: r.now + time.Second, CostHint: 120 * ms})
	r.now += 10 * ms
	r.endAttempt("big", 0, OK, 120*ms)
	if after := r.b.endpoints.order[0].latency.value; after > 1.5*before {
		t.Errorf("got estimate %v after six times the work in six times the time, want no more than 1.5 times %v", after, before)
	}
}

// In an overload every attempt lasts longer than its objective. Requests are then rejected early instead of failing late,
// even if one endpoint is also slow, and load shedding ends after the overload.
func TestOverloadIsShedEarlyAndEnds(t *testing.T) {
	latency := 20 * ms
	fleet := newFakeFleet(t, testSettings(), func(u string) (Result, time.Duration) {
		if u == "u0" {
			return OK, 2 * latency
		}
		return OK, latency
	})
	fleet.setEndpoints(4)
	fleet.run(5*time.Second, 200)
	if fleet.finalAnswers[Reject] > 10 {
		t.Errorf("%d requests were rejected without overload, want 10 or fewer", fleet.finalAnswers[Reject])
	}
	latency = 250 * ms
	fleet.run(2*time.Second, 200)
	attemptsBefore, requestsBefore := fleet.totalAttempts(), fleet.requests
	fleet.run(3*time.Second, 200)
	if got := fleet.totalAttempts() - attemptsBefore; got > (fleet.requests-requestsBefore)*3/10 {
		t.Errorf("got %d attempts for %d requests that cannot be served, want 30%% or fewer", got, fleet.requests-requestsBefore)
	}
	latency = 20 * ms
	fleet.run(3*time.Second, 200)
	succeededBefore, requestsBefore := fleet.succeeded, fleet.requests
	fleet.run(3*time.Second, 200)
	if got := fleet.succeeded - succeededBefore; float64(got) < 0.95*float64(fleet.requests-requestsBefore) {
		t.Errorf("%d of %d requests succeeded after the overload, want 95%%", got, fleet.requests-requestsBefore)
	}
	if !fleet.logged("load shedding started") || !fleet.logged("load shedding ended") {
		t.Errorf("got log %q, want the start and the end of load shedding", fleet.logs)
	}
}

// totalAttempts returns the number of attempts at all endpoints.
func (f *fakeFleet) totalAttempts() (n int) {
	for _, attempts := range f.sentTo {
		n += attempts
	}
	return n
}

// During a deploy with a crash, half of the endpoints warm up and one refuses connections. The starting ones stay within
// their slow-start budget.
func TestCrashDuringDeploy(t *testing.T) {
	fleet := newFakeFleet(t, testSettings(), func(u string) (Result, time.Duration) {
		if u == "u0" {
			return Reset, 5 * ms
		}
		return OK, 20 * ms
	})
	fleet.setEndpoints(8)
	fleet.reply, fleet.logs = okAfter20ms, nil
	fleet.run(10*time.Second, 200)
	for i := range 4 {
		fleet.updateEndpoints(Delta, Endpoint{Upstream: fmt.Sprint("u", i+4), Zone: "a", StartedAt: fleet.now})
	}
	fleet.reply = func(u string) (Result, time.Duration) {
		if u == "u0" {
			return ConnectFailed, 0
		}
		return OK, 20 * ms
	}
	clear(fleet.sentTo)
	succeededBefore, requestsBefore := fleet.succeeded, fleet.requests
	fleet.run(2*time.Second, 200)
	if got := fleet.succeeded - succeededBefore; float64(got) < 0.95*float64(fleet.requests-requestsBefore) {
		t.Errorf("%d of %d requests succeeded, want 95%%", got, fleet.requests-requestsBefore)
	}
	for i := 4; i < 8; i++ {
		// The overload limit is 3 times the present capacity, which is 0.2 to 0.36 of the full one. The mean load of an endpoint
		// is 25 requests per second.
		if got := fleet.sentTo[fmt.Sprint("u", i)]; got > 40 {
			t.Errorf("starting endpoint u%d got %d attempts in 2 s, want 40 or fewer", i, got)
		}
	}
}

// Guards against ejections caused by a network that breaks every eighth attempt at all endpoints: the few endpoints that
// remain would get the load of all. An endpoint that breaks every connection is ejected.
func TestBrokenConnectionsAreNoDeadUpstream(t *testing.T) {
	n := 0
	fleet := newFakeFleet(t, testSettings(), func(string) (Result, time.Duration) {
		if n++; n%8 == 0 {
			return Reset, ms
		}
		return OK, 20 * ms
	})
	fleet.setEndpoints(12)
	fleet.run(10*time.Second, 200)
	if got := fleet.ejections(); got > 5 {
		t.Errorf("got %d ejections of endpoints that answer seven of eight attempts, want 5 or fewer; log %q", got, fleet.logs)
	}
	fleet.reply = func(u string) (Result, time.Duration) {
		if u == "u0" {
			return Reset, ms
		}
		return OK, 20 * ms
	}
	fleet.logs, fleet.sentTo["u0"] = nil, 0
	fleet.run(4*time.Second, 200)
	if got := fleet.ejections(); got != 1 || fleet.sentTo["u0"] > 20 {
		t.Errorf("one of twelve endpoints breaks every connection: got %d ejections and %d attempts at it, want 1 and 20 or fewer", got, fleet.sentTo["u0"])
	}
}

// ejections returns the number of logged ejections.
func (f *fakeFleet) ejections() (n int) {
	for _, line := range f.logs {
		if strings.HasPrefix(line, "endpoint ejected upstream=") {
			n++
		}
	}
	return n
}

// Guards against load shedding because of stalled requests. After 300 ms without any answer, one attempt in ten gets no
// answer and the endpoints answer the others quickly. Stalled requests are no sign of congestion, and the rate of answers
// during the 300 ms is below what the endpoints can serve.
func TestStalledRequestsAreNoOverload(t *testing.T) {
	s := testSettings()
	s.Hedging = false
	attempts, silentEvery := 0, 0
	fleet := newFakeFleet(t, s, func(string) (Result, time.Duration) {
		if attempts++; silentEvery > 0 && attempts%silentEvery == 0 {
			return OK, -1
		}
		return OK, 60 * ms
	})
	fleet.setEndpoints(12)
	fleet.run(3*time.Second, 300)
	silentEvery = 1
	fleet.run(300*ms, 300)
	silentEvery = 10
	fleet.run(2*time.Second, 300)
	succeededBefore, requestsBefore := fleet.succeeded, fleet.requests
	fleet.run(4*time.Second, 300)
	if got, total := fleet.succeeded-succeededBefore, fleet.requests-requestsBefore; float64(got) < 0.75*float64(total) {
		t.Errorf("%d of %d requests succeeded, want 75%%: nine of ten attempts are answered in 60 ms", got, total)
	}
}

// A request counts as stalled only while its latest attempt is stalled, and no longer once it is sent again or has ended.
func TestStalledIsTheAttemptNotTheRequest(t *testing.T) {
	s := testSettings()
	s.Hedging, s.Classes[0].LateValueFraction = false, 0.5 // a late answer has value, so the request waits after its objective
	r := newRig(t, s)
	r.setEndpoints(1)
	r.wantAttempt(r.request("lost", "c", time.Second))
	r.now += 350 * ms
	r.wantAttempt(r.request("later", "c", time.Second))
	r.now += 20 * ms
	r.endAttempt("later", 0, OK, 20*ms)
	r.advance(150 * ms)
	if r.b.admission.stalled != 1 {
		t.Fatalf("got %d stalled requests, want 1: an attempt sent more than 1.5 objectives later was served", r.b.admission.stalled)
	}
	r.wantAttempt(r.endAttempt("lost", 0, Reset, 500*ms))
	if r.b.admission.stalled != 0 {
		t.Errorf("got %d stalled requests after it was sent again, want 0", r.b.admission.stalled)
	}
	r.advance(time.Second)
	if r.b.admission.stalled != 0 || r.b.admission.inFlight != 0 {
		t.Errorf("got %d stalled requests and %d in flight after all have ended, want 0", r.b.admission.stalled, r.b.admission.inFlight)
	}
}

// A remote zone is unreachable and the watch on the list has failed: requests stay in the local zone, the other zone gets
// only probes, and is used again once it is reachable.
func TestZoneCutWithoutAList(t *testing.T) {
	s := testSettings()
	s.MustSubscribe = true
	unreachable := false
	fleet := newFakeFleet(t, s, func(u string) (Result, time.Duration) {
		if unreachable && u > "u3" {
			return ConnectFailed, 200 * ms
		}
		return OK, 20 * ms
	})
	var list []Endpoint
	for i := range 8 {
		list = append(list, Endpoint{Upstream: fmt.Sprint("u", i), Zone: "ab"[i/4 : i/4+1]})
	}
	fleet.updateEndpoints(Cached, list...)
	fleet.updateEndpoints(Delta)
	fleet.run(5*time.Second, 100)
	unreachable = true
	fleet.handle(EndpointUpdate{Kind: WatchFailed})
	fleet.run(3*time.Second, 100)
	succeededBefore, requestsBefore := fleet.succeeded, fleet.requests
	clear(fleet.sentTo)
	fleet.run(10*time.Second, 100)
	if got := fleet.succeeded - succeededBefore; float64(got) < 0.97*float64(fleet.requests-requestsBefore) {
		t.Errorf("%d of %d requests succeeded while the zone was unreachable, want 97%%", got, fleet.requests-requestsBefore)
	}
	if remote := fleet.sentTo["u4"] + fleet.sentTo["u5"] + fleet.sentTo["u6"] + fleet.sentTo["u7"]; remote > 60 {
		t.Errorf("unreachable zone got %d attempts, want 60 or fewer", remote)
	}
	unreachable = false
	fleet.run(10*time.Second, 100)
	clear(fleet.sentTo)
	fleet.run(5*time.Second, 100)
	if remote := fleet.sentTo["u4"] + fleet.sentTo["u5"] + fleet.sentTo["u6"] + fleet.sentTo["u7"]; remote < 100 {
		t.Errorf("zone got %d attempts after it was reachable again, want 100 or more", remote)
	}
}

// With a high cost of zone crossings, requests stay in the local zone, unless it is slow.
func TestLocalZoneFirst(t *testing.T) {
	s := testSettings()
	s.CrossZoneCost = 0.2
	slow := false
	fleet := newFakeFleet(t, s, func(u string) (Result, time.Duration) {
		if slow && u < "u2" {
			return OK, 190 * ms
		}
		return OK, 20 * ms
	})
	fleet.updateEndpoints(FullState, Endpoint{Upstream: "u0", Zone: "a"}, Endpoint{Upstream: "u1", Zone: "a"}, Endpoint{Upstream: "u2", Zone: "b"},
		Endpoint{Upstream: "u3", Zone: "b"})
	fleet.run(5*time.Second, 50)
	if remote := fleet.sentTo["u2"] + fleet.sentTo["u3"]; remote > 25 {
		t.Errorf("%d of %d requests went to the remote zone while the local one was fast, want 25 or fewer", remote, fleet.requests)
	}
	slow = true
	clear(fleet.sentTo)
	fleet.run(5*time.Second, 50)
	if remote := fleet.sentTo["u2"] + fleet.sentTo["u3"]; remote < 60 {
		t.Errorf("%d of 250 requests went to the remote zone while the local one was slow, want 60 or more", remote)
	}
}
