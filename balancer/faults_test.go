package balancer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// fakeFleet answers attempts as a script says, tick by tick: a table of what each upstream does, no model of a server.
type fakeFleet struct {
	*rig
	reply        func(u string) (Result, time.Duration) // and after how long; a negative time: no answer ever
	pending      []pendingAttempt
	sentTo       map[string]int
	finalAnswers map[ActionKind]int
	succeeded    int
	requests     int
}

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

func (w *fakeFleet) apply(actions []Action, attempts map[string]int) {
	for _, a := range actions {
		switch a.Kind {
		case StartAttempt:
			res, d := w.reply(a.Upstream)
			f := pendingAttempt{action: a, number: attempts[a.ID], sentAt: w.now, endsAt: w.now + d, result: res}
			if d < 0 || d > a.Timeout {
				f.endsAt, f.result = w.now+a.Timeout, Timeout
			}
			attempts[a.ID]++
			w.sentTo[a.Upstream]++
			w.pending = append(w.pending, f)
		case CancelAttempt:
			for i := range w.pending {
				if w.pending[i].action.ID == a.ID && w.pending[i].number == a.Attempt {
					w.pending[i].endsAt, w.pending[i].result = w.now, Cancelled
				}
			}
		case Reject, Fail:
			w.finalAnswers[a.Kind]++
		}
	}
}

// run runs for d with perSec requests a second, spread evenly.
func (w *fakeFleet) run(d time.Duration, perSec int) {
	attempts := map[string]int{}
	tick := w.b.settings.Tick
	due := 0.0
	for end := w.now + d; w.now < end; {
		w.now += tick
		w.apply(w.handle(TimerFired{}), attempts)
		for due += float64(perSec) * tick.Seconds(); due >= 1; due-- {
			w.requests++
			w.apply(w.handle(Request{ID: fmt.Sprint("r", w.requests), Class: w.b.settings.Classes[0].Name,
				ExpiresAt: w.now + w.b.settings.Classes[0].Deadline}), attempts)
		}
		for i := 0; i < len(w.pending); i++ {
			f := w.pending[i]
			if f.endsAt > w.now {
				continue
			}
			w.pending = slices.Delete(w.pending, i, i+1)
			i--
			if f.result == OK {
				w.succeeded++
			}
			w.apply(w.handle(AttemptEnded{ID: f.action.ID, Attempt: f.number, Result: f.result, Elapsed: w.now - f.sentAt,
				Final: f.result == OK}), attempts)
		}
	}
}

func (w *fakeFleet) logged(text string) bool {
	return slices.ContainsFunc(w.logs, func(l string) bool { return strings.Contains(l, text) })
}

func okAfter20ms(string) (Result, time.Duration) { return OK, 20 * ms }

// A crashed upstream refuses at once and so looks fast; it must not draw picks. It comes back by single probes.
func TestCrashedUpstreamDrawsNoPicks(t *testing.T) {
	down := true
	w := newFakeFleet(t, testSettings(), func(u string) (Result, time.Duration) {
		if u == "u0" && down {
			return ConnectFailed, 0
		}
		return OK, 20 * ms
	})
	w.setEndpoints(5)
	w.run(10*time.Second, 100)
	if w.sentTo["u0"] > 10 {
		t.Errorf("%d attempts on the crashed upstream", w.sentTo["u0"])
	}
	if w.finalAnswers[Reject]+w.finalAnswers[Fail] > 0 {
		t.Errorf("requests lost with four upstreams fine: %v", w.finalAnswers)
	}
	down = false
	w.run(10*time.Second, 100)
	if w.sentTo["u0"] < 50 || !w.logged("endpoint ejected upstream=u0") || !w.logged("endpoint reinstated upstream=u0") {
		t.Errorf("not back: %d attempts, log %q", w.sentTo["u0"], w.logs)
	}
}

// A hung upstream answers nothing: known by the age of what is out, ejected by its silence.
func TestHungUpstreamIsLeft(t *testing.T) {
	for _, hedges := range []bool{true, false} {
		s := testSettings()
		s.Hedging = hedges
		w := newFakeFleet(t, s, func(u string) (Result, time.Duration) {
			if u == "u0" {
				return OK, -1
			}
			return OK, 20 * ms
		})
		w.setEndpoints(5)
		w.run(10*time.Second, 100)
		if w.sentTo["u0"] > 60 || w.succeeded < 950 {
			t.Errorf("copies %v: %d attempts on the hung upstream, %d of %d served", hedges, w.sentTo["u0"], w.succeeded, w.requests)
		}
	}
}

// A pause shorter than any health check: copies save what waits there.
func TestPauseIsCoveredByHedging(t *testing.T) {
	var w *fakeFleet
	w = newFakeFleet(t, testSettings(), func(u string) (Result, time.Duration) {
		if phase := w.now % (2 * time.Second); u == "u0" && phase < 300*ms {
			return OK, 300*ms - phase + 20*ms
		}
		return OK, 20 * ms
	})
	w.setEndpoints(4)
	w.run(20*time.Second, 100)
	if float64(w.succeeded) < 0.99*float64(w.requests-5) {
		t.Errorf("%d of %d served", w.succeeded, w.requests)
	}
}

// A slow upstream gets less, and no more than moves.
func TestSlowUpstreamGetsLess(t *testing.T) {
	w := newFakeFleet(t, testSettings(), func(u string) (Result, time.Duration) {
		if u == "u0" {
			return OK, 120 * ms
		}
		return OK, 20 * ms
	})
	w.setEndpoints(4)
	w.run(10*time.Second, 100)
	if w.sentTo["u0"] > w.sentTo["u1"]/2 {
		t.Errorf("slow %d, others %d", w.sentTo["u0"], w.sentTo["u1"])
	}
}

// A costly request does not make its upstream look slow: samples are normalised by hints.
func TestCostlyRequestIsNoSlowUpstream(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(1)
	for i := range 200 { // a mean of 20 ms of work, all answered in 20 ms
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
		t.Errorf("estimate %v, %v after six times the work in six times the time", before, after)
	}
}

// Overload, as it looks from a sidecar: everything takes longer than it may. Work is refused early instead of failing
// late, also with a slow upstream on top, and shedding ends with its cause.
func TestOverloadIsShedEarlyAndEnds(t *testing.T) {
	latency := 20 * ms
	w := newFakeFleet(t, testSettings(), func(u string) (Result, time.Duration) {
		if u == "u0" {
			return OK, 2 * latency
		}
		return OK, latency
	})
	w.setEndpoints(4)
	w.run(5*time.Second, 200)
	if w.finalAnswers[Reject] > 10 {
		t.Errorf("%d refused in calm", w.finalAnswers[Reject])
	}
	latency = 250 * ms
	w.run(2*time.Second, 200)
	sent, n := w.totalAttempts(), w.requests
	w.run(3*time.Second, 200)
	if got := w.totalAttempts() - sent; got > (w.requests-n)*3/10 {
		t.Errorf("%d attempts for %d requests that cannot be served", got, w.requests-n)
	}
	latency = 20 * ms
	w.run(3*time.Second, 200)
	ok, n := w.succeeded, w.requests
	w.run(3*time.Second, 200)
	if got := w.succeeded - ok; float64(got) < 0.95*float64(w.requests-n) {
		t.Errorf("%d of %d served after the overload", got, w.requests-n)
	}
	if !w.logged("load shedding started") || !w.logged("load shedding ended") {
		t.Errorf("log %q", w.logs)
	}
}

func (w *fakeFleet) totalAttempts() (n int) {
	for _, k := range w.sentTo {
		n += k
	}
	return n
}

// A crash during a deploy: half the fleet cold, one dead; the cold stay within their budget.
func TestCrashDuringDeploy(t *testing.T) {
	w := newFakeFleet(t, testSettings(), func(u string) (Result, time.Duration) {
		if u == "u0" {
			return Reset, 5 * ms
		}
		return OK, 20 * ms
	})
	w.setEndpoints(8)
	w.reply, w.logs = okAfter20ms, nil
	w.run(10*time.Second, 200)
	for i := range 4 {
		w.updateEndpoints(Delta, Endpoint{Upstream: fmt.Sprint("u", i+4), Zone: "a", StartedAt: w.now})
	}
	w.reply = func(u string) (Result, time.Duration) {
		if u == "u0" {
			return ConnectFailed, 0
		}
		return OK, 20 * ms
	}
	clear(w.sentTo)
	ok, n := w.succeeded, w.requests
	w.run(2*time.Second, 200)
	if got := w.succeeded - ok; float64(got) < 0.95*float64(w.requests-n) {
		t.Errorf("%d of %d served", got, w.requests-n)
	}
	for i := 4; i < 8; i++ {
		// The fall rule: 3 times 0.2 to 0.36 of the capacity; 25 a second each is the mean load.
		if got := w.sentTo[fmt.Sprint("u", i)]; got > 40 {
			t.Errorf("u%d, cold: %d in 2 s", i, got)
		}
	}
}

// A network that breaks every eighth attempt, wherever it goes: upstreams that answer all the while are not taken
// for dead ones, or the few that are left at a moment would get what all can carry. One that breaks every
// connection is.
func TestBrokenConnectionsAreNoDeadUpstream(t *testing.T) {
	n := 0
	w := newFakeFleet(t, testSettings(), func(string) (Result, time.Duration) {
		if n++; n%8 == 0 {
			return Reset, ms
		}
		return OK, 20 * ms
	})
	w.setEndpoints(12)
	w.run(10*time.Second, 200)
	if got := w.ejections(); got > 5 {
		t.Errorf("%d ejections, of upstreams that answer seven of eight: %q", got, w.logs)
	}
	w.reply = func(u string) (Result, time.Duration) {
		if u == "u0" {
			return Reset, ms
		}
		return OK, 20 * ms
	}
	w.logs, w.sentTo["u0"] = nil, 0
	w.run(4*time.Second, 200)
	if got := w.ejections(); got != 1 || w.sentTo["u0"] > 20 {
		t.Errorf("%d ejections and %d attempts, where one upstream of twelve breaks every connection", got, w.sentTo["u0"])
	}
}

func (w *fakeFleet) ejections() (n int) {
	for _, l := range w.logs {
		if strings.HasPrefix(l, "endpoint ejected upstream=") {
			n++
		}
	}
	return n
}

// Answers that never come, one in ten, after a moment in which none did, from upstreams that answer the rest
// at once: what hangs is no crowd, and what is served meanwhile no measure of what could be.
func TestStalledRequestsAreNoOverload(t *testing.T) {
	s := testSettings()
	s.Hedging = false
	n, every := 0, 0
	w := newFakeFleet(t, s, func(string) (Result, time.Duration) {
		if n++; every > 0 && n%every == 0 {
			return OK, -1
		}
		return OK, 60 * ms
	})
	w.setEndpoints(12)
	w.run(3*time.Second, 300)
	every = 1
	w.run(300*ms, 300)
	every = 10
	w.run(2*time.Second, 300)
	ok, polls := w.succeeded, w.requests
	w.run(4*time.Second, 300)
	if got, of := w.succeeded-ok, w.requests-polls; float64(got) < 0.75*float64(of) {
		t.Errorf("%d of %d served, where nine of ten answers come at once", got, of)
	}
}

// A request counts as lost for as long as its attempt is: not when it is sent again, and not when it has ended.
func TestStalledIsTheAttemptNotTheRequest(t *testing.T) {
	s := testSettings()
	s.Hedging, s.Classes[0].LateValueFraction = false, 0.5 // it is worth waiting for after its objective
	r := newRig(t, s)
	r.setEndpoints(1)
	r.wantAttempt(r.request("lost", "c", time.Second))
	r.now += 350 * ms
	r.wantAttempt(r.request("later", "c", time.Second))
	r.now += 20 * ms
	r.endAttempt("later", 0, OK, 20*ms)
	r.advance(150 * ms)
	if r.b.admission.stalled != 1 {
		t.Fatalf("%d lost, where one was overtaken by more than an aim and a half", r.b.admission.stalled)
	}
	r.wantAttempt(r.endAttempt("lost", 0, Reset, 500*ms))
	if r.b.admission.stalled != 0 {
		t.Errorf("%d lost after it was sent again", r.b.admission.stalled)
	}
	r.advance(time.Second)
	if r.b.admission.stalled != 0 || r.b.admission.inFlight != 0 {
		t.Errorf("%d lost, %d in hand after all has ended", r.b.admission.stalled, r.b.admission.inFlight)
	}
}

// A cut zone with the list lost: work stays home, the cut zone is left alone but for probes, and comes back.
func TestZoneCutWithoutAList(t *testing.T) {
	s := testSettings()
	s.MustSubscribe = true
	cut := false
	w := newFakeFleet(t, s, func(u string) (Result, time.Duration) {
		if cut && u > "u3" {
			return ConnectFailed, 200 * ms
		}
		return OK, 20 * ms
	})
	var list []Endpoint
	for i := range 8 {
		list = append(list, Endpoint{Upstream: fmt.Sprint("u", i), Zone: "ab"[i/4 : i/4+1]})
	}
	w.updateEndpoints(Cached, list...)
	w.updateEndpoints(Delta)
	w.run(5*time.Second, 100)
	cut = true
	w.handle(EndpointUpdate{Kind: WatchFailed})
	w.run(3*time.Second, 100)
	ok, n := w.succeeded, w.requests
	clear(w.sentTo)
	w.run(10*time.Second, 100)
	if got := w.succeeded - ok; float64(got) < 0.97*float64(w.requests-n) {
		t.Errorf("%d of %d served in the cut", got, w.requests-n)
	}
	if far := w.sentTo["u4"] + w.sentTo["u5"] + w.sentTo["u6"] + w.sentTo["u7"]; far > 60 {
		t.Errorf("%d attempts over the cut", far)
	}
	cut = false
	w.run(10*time.Second, 100)
	clear(w.sentTo)
	w.run(5*time.Second, 100)
	if far := w.sentTo["u4"] + w.sentTo["u5"] + w.sentTo["u6"] + w.sentTo["u7"]; far < 100 {
		t.Errorf("%d attempts to the zone after the cut", far)
	}
}

// A dear crossing keeps work at home while home serves, and lets it go when home cannot.
func TestLocalZoneFirst(t *testing.T) {
	s := testSettings()
	s.CrossZoneCost = 0.2
	slow := false
	w := newFakeFleet(t, s, func(u string) (Result, time.Duration) {
		if slow && u < "u2" {
			return OK, 190 * ms
		}
		return OK, 20 * ms
	})
	w.updateEndpoints(FullState, Endpoint{Upstream: "u0", Zone: "a"}, Endpoint{Upstream: "u1", Zone: "a"}, Endpoint{Upstream: "u2", Zone: "b"},
		Endpoint{Upstream: "u3", Zone: "b"})
	w.run(5*time.Second, 50)
	if far := w.sentTo["u2"] + w.sentTo["u3"]; far > 25 {
		t.Errorf("%d of %d crossed while home was fine", far, w.requests)
	}
	slow = true
	clear(w.sentTo)
	w.run(5*time.Second, 50)
	if far := w.sentTo["u2"] + w.sentTo["u3"]; far < 60 {
		t.Errorf("%d of 250 crossed while home was slow", far)
	}
}
