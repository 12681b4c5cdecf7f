package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func keyedSettings(group KeyScope) Settings {
	s := testSettings()
	s.Hedging = false
	s.Classes = []Class{{Name: "k", LatencyObjective: 400 * ms, Deadline: 1500 * ms, Idempotency: IdempotentByKey, KeyScope: group, DedupWindow: time.Second}}
	return s
}

func notIdempotentSettings() Settings {
	s := testSettings()
	s.Classes = []Class{{Name: "x", LatencyObjective: 400 * ms, Deadline: 1500 * ms, Idempotency: NotIdempotent, LateValueFraction: 0.5}}
	return s
}

// The request's own end counts, often much sooner than its class's deadline.
func TestAnswersBeforeItsOwnEnd(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateValueFraction = 0.5
	r := newRig(t, s)
	r.setEndpoints(2)
	r.request("1", "c", 60*ms)
	end := r.now + 60*ms
	var got []Action
	for r.now < end && len(finalAnswers(got)) == 0 {
		got = r.advance(5 * ms)
	}
	if len(finalAnswers(got)) != 1 || r.now > end {
		t.Fatalf("no answer by the request's end: %+v", got)
	}
}

func TestWaitingRequestIsRejectedInTime(t *testing.T) {
	r := newRig(t, testSettings())
	r.wantNothing(r.request("1", "c", 100*ms)) // no upstream at all: held
	r.wantFinalAnswer(r.advance(95*ms), Reject)
}

func TestWaitingRequestIsSentWhenAnEndpointComes(t *testing.T) {
	r := newRig(t, testSettings())
	r.wantNothing(r.request("1", "c", 150*ms))
	r.setEndpoints(1)
	r.wantAttempt(r.advance(20 * ms))
}

// A time-out at the deadline leaves the answer owed; without late worth it may come at the objective already.
func TestTimeoutAtDeadlineIsAnswered(t *testing.T) {
	r := newRig(t, notIdempotentSettings())
	r.setEndpoints(2)
	r.wantAttempt(r.request("1", "x", 300*ms))
	r.now += 300 * ms
	r.wantFinalAnswer(r.endAttempt("1", 0, Timeout, 300*ms), Fail)
	r.wantNothing(r.advance(time.Second))
}

func TestUnsafeGoesOnOnlyWhenProvedNotRun(t *testing.T) {
	for res, again := range map[Result]bool{Overloaded: true, ConnectFailed: true, NotSent: true,
		ServerError: false, Timeout: false, Reset: false, Cancelled: false} {
		r := newRig(t, notIdempotentSettings())
		r.setEndpoints(3)
		r.wantAttempt(r.request("1", "x", time.Second))
		actions := r.endAttempt("1", 0, res, 10*ms)
		if again {
			r.wantAttempt(actions)
		} else {
			r.wantFinalAnswer(actions, Fail)
		}
	}
}

func TestNotIdempotentIsNotHedged(t *testing.T) {
	r := newRig(t, notIdempotentSettings())
	r.setEndpoints(3)
	r.wantAttempt(r.request("1", "x", time.Second))
	if s := actionsOfKind(r.advance(900*ms), StartAttempt); len(s) > 0 {
		t.Fatalf("second copy of an unsafe request: %+v", s)
	}
}

func TestNotIdempotentIsRejectedWhenNothingRan(t *testing.T) {
	s := notIdempotentSettings()
	s.MaxAttempts = 1
	r := newRig(t, s)
	r.setEndpoints(3)
	r.wantAttempt(r.request("1", "x", time.Second))
	r.wantFinalAnswer(r.endAttempt("1", 0, ConnectFailed, ms), Reject)
}

// Once it may have run, a idempotent by key request stays in its group; before that it may go anywhere.
func TestIdempotentByKeyStaysInItsScope(t *testing.T) {
	for group, same := range map[KeyScope]func(a, b Endpoint) bool{
		KeyScopeAll:  func(a, b Endpoint) bool { return true },
		KeyScopeZone: func(a, b Endpoint) bool { return a.Zone == b.Zone },
		KeyScopeCell: func(a, b Endpoint) bool { return a.Cell == b.Cell },
	} {
		list := map[string]Endpoint{}
		var entries []Endpoint
		for i, m := range []Endpoint{{Zone: "a", Cell: 0}, {Zone: "a", Cell: 1}, {Zone: "b", Cell: 2},
			{Zone: "b", Cell: 2}, {Zone: "a", Cell: 0}, {Zone: "b", Cell: 3}} {
			m.Upstream = string(rune('p' + i))
			list[m.Upstream] = m
			entries = append(entries, m)
		}
		for n := range 40 {
			r := newRig(t, keyedSettings(group))
			r.b.rng.Uint64() // other chances each time
			for range n {
				r.b.rng.Uint64()
			}
			r.updateEndpoints(FullState, entries...)
			first := list[r.wantAttempt(r.request("1", "k", time.Second))]
			for _, a := range actionsOfKind(r.endAttempt("1", 0, ServerError, 10*ms), StartAttempt) {
				if !same(first, list[a.Upstream]) {
					t.Fatalf("group %d: %+v then %+v", group, first, list[a.Upstream])
				}
			}
		}
	}
}

// The window counts from the sending of the attempt that may have run; afterwards no attempt.
func TestDedupWindow(t *testing.T) {
	s := keyedSettings(KeyScopeAll)
	s.Classes[0].DedupWindow = 100 * ms
	s.Classes[0].LatencyObjective = time.Second
	r := newRig(t, s)
	r.setEndpoints(3)
	r.wantAttempt(r.request("1", "k", time.Second))
	r.now += 95 * ms
	r.wantFinalAnswer(r.endAttempt("1", 0, Reset, 95*ms), Reject)
}

func TestIdempotentByKeyRejection(t *testing.T) {
	for group, want := range map[KeyScope]ActionKind{KeyScopeAll: Reject, KeyScopeZone: Fail, KeyScopeCell: Fail} {
		s := keyedSettings(group)
		s.MaxAttempts = 1
		r := newRig(t, s)
		r.setEndpoints(3)
		r.wantAttempt(r.request("1", "k", time.Second))
		r.wantFinalAnswer(r.endAttempt("1", 0, Cancelled, 10*ms), want) // a cancelled attempt may have run
	}
}

func TestNeverTwoPendingWithoutHedging(t *testing.T) {
	r := newRig(t, keyedSettings(KeyScopeZone))
	r.setEndpoints(4)
	r.wantAttempt(r.request("1", "k", time.Second))
	var cancelled bool
	for range 80 {
		actions := r.advance(5 * ms)
		if len(actionsOfKind(actions, StartAttempt)) > 0 {
			t.Fatal("second attempt beside the first")
		}
		cancelled = cancelled || len(actionsOfKind(actions, CancelAttempt)) > 0
	}
	if !cancelled {
		t.Fatal("the silent attempt was never ended")
	}
}

func TestDrainingAndRemovedGetNothing(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(3)
	r.updateEndpoints(Delta, Endpoint{Upstream: "u0", State: Draining}, Endpoint{Upstream: "u1", State: Removed})
	for i := range 30 {
		if u := r.wantAttempt(r.request(string(rune('A'+i)), "c", time.Second)); u != "u2" {
			t.Fatalf("sent to %s", u)
		}
		r.endAttempt(string(rune('A'+i)), 0, OK, 10*ms)
		r.now += 10 * ms
	}
	r.updateEndpoints(FullState) // nothing is left
	r.wantNothing(r.request("z", "c", time.Second))
}

// A failed call is followed by another, later each time, by a chance that is its own, and never so late that a change is told
// more than 6 s after it could be: a call that is never answered has 2.5 s of them, and the next 0.5 s. One answer ends that.
func TestPollsWithBackoff(t *testing.T) {
	s := testSettings()
	s.MustSubscribe = true
	r := newRig(t, s)
	if n := len(actionsOfKind(r.updateEndpoints(Cached, Endpoint{Upstream: "u0"}), Subscribe)); n != 1 {
		t.Fatalf("%d calls at the start", n)
	}
	var waits []time.Duration
	for range 12 {
		polls := r.now
		r.handle(EndpointUpdate{Kind: WatchFailed})
		for len(actionsOfKind(r.advance(5*ms), Subscribe)) == 0 {
			if r.now-polls > 20*time.Second {
				t.Fatal("never asked again")
			}
		}
		waits = append(waits, r.now-polls)
	}
	var later time.Duration
	for i, wait := range waits {
		d := min(basePollBackoff<<i, maxPollBackoff)
		if wait < d/2 || wait > d*3/2+5*ms || wait > 3*time.Second+5*ms {
			t.Errorf("wait %d is %v, around %v", i, wait, d)
		}
		if i > 0 {
			later += wait / time.Duration(len(waits)-1)
		}
	}
	if later < waits[0]*3/2 || slices.Equal(waits[1:6], waits[6:11]) {
		t.Errorf("waits %v do not grow, or are not by chance", waits)
	}
	r.updateEndpoints(Delta)
	if n := len(actionsOfKind(r.advance(20*time.Second), Subscribe)); n != 0 {
		t.Errorf("%d calls while subscribed", n)
	}
	r.handle(EndpointUpdate{Kind: WatchFailed}) // the subscription broke
	if n := len(actionsOfKind(r.advance(2*time.Second), Subscribe)); n != 1 {
		t.Errorf("%d calls after the subscription broke", n)
	}
}

// A restart voids the snapshot of the old process, and the new one is in slow start.
func TestRestartIsANewProcess(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(2)
	r.b.endpoints.byID["u0"].latency = peakEWMA{5, r.now}
	r.b.endpoints.byID["u0"].health.ejectedUntil = r.now + time.Hour
	r.updateEndpoints(Delta, Endpoint{Upstream: "u0", Zone: "a", StartedAt: r.now - time.Second})
	u := r.b.endpoints.byID["u0"]
	if u.latency.value > 1 || u.health.ejectedUntil != 0 || !u.slowStart.active || len(r.b.endpoints.order) != 2 {
		t.Errorf("still known: %+v", u)
	}
}

// A upstream in slow start gets its warmth's share of the mean load at most, whatever goes on: first tries, retries, panic.
func TestSlowStartBucket(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(10)
	n := map[string]int{}
	id := 0
	second := func() {
		for range 200 { // 200 requests a second, answered at once
			id++
			name := string(rune('a'+id%26)) + time.Duration(id).String()
			for _, a := range actionsOfKind(r.request(name, "c", time.Second), StartAttempt) {
				n[a.Upstream]++
				r.endAttempt(name, 0, OK, 5*ms)
			}
			r.advance(5 * ms)
		}
	}
	for range 10 {
		second()
	}
	for i := range 9 { // nearly the whole fleet starts anew
		r.updateEndpoints(Delta, Endpoint{Upstream: "u" + string(rune('0'+i)), Zone: "a", StartedAt: r.now})
	}
	clear(n)
	second()
	for i := range 9 {
		u := "u" + string(rune('0'+i))
		// 20 a second is the mean; at most 0.28 of its capacity is there after 1 s, and a small burst.
		if n[u] > 8 || n[u] == 0 {
			t.Errorf("%d requests to cold %s in its first second", n[u], u)
		}
	}
}

// With everything cold, work is held or refused: panic does not go round the limit.
func TestAllInSlowStart(t *testing.T) {
	r := newRig(t, testSettings())
	var list []Endpoint
	for i := range 4 {
		list = append(list, Endpoint{Upstream: "u" + string(rune('0'+i)), Zone: "a", StartedAt: r.now})
	}
	r.updateEndpoints(FullState, list...)
	sent, ended := 0, 0
	for i := range 400 {
		actions := r.request("r"+time.Duration(i).String(), "c", 150*ms)
		actions = append(actions, r.advance(5*ms)...)
		for _, a := range actionsOfKind(actions, StartAttempt) {
			sent++
			r.endAttempt(a.ID, 0, OK, 5*ms)
		}
		ended += len(finalAnswers(actions))
	}
	// 200 a second over 4 upstreams in slow start at 0.2 to 0.4 of their share: about 60 a second may go.
	if sent > 160 || sent < 40 || ended == 0 {
		t.Errorf("%d sent, %d ended unsent", sent, ended)
	}
}

// A repeat whose aim has passed is refused at once: its time left was cut by the end of all tries, which tells when
// the first came. A repeat early enough is served, and first tries settle what time left is usual.
func TestRepeatPastItsObjectiveIsRejected(t *testing.T) {
	r := newRig(t, testSettings()) // aim 200 ms, deadline 1 s
	r.setEndpoints(3)
	for i := range 20 { // first tries have 600 ms
		id := time.Duration(i).String()
		r.wantAttempt(r.request(id, "c", 600*ms))
		r.endAttempt(id, 0, OK, 10*ms)
		r.advance(10 * ms)
	}
	r.wantFinalAnswer(r.request("stale", "c", 550*ms), Reject) // the first came 450 ms ago
	r.wantAttempt(r.request("early", "c", 900*ms))             // the first came 100 ms ago
	if f := finalAnswers(r.advance(105 * ms)); len(f) != 1 {   // and so it ends when its objective does
		t.Errorf("still open after its aim: %+v", f)
	}
	r.wantAttempt(r.request("first", "c", 601*ms))
}

// A return from ejection is not a cold start: only the list tells of a restart. (iadfa39: three upstreams silent for
// 10 s idled for the whole warm-up after it, the others overloaded.)
func TestReturnIsNotAColdStart(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(2)
	u := r.b.endpoints.byID["u0"]
	u.health.ejections, u.health.ejectedUntil = 3, r.now+10*ms
	r.now += 20 * ms
	n := map[string]int{}
	for i := range 5 {
		n[r.wantAttempt(r.request(string(rune('a'+i)), "c", time.Second))]++
	}
	if n["u0"] != 1 {
		t.Errorf("%d trials at once, want 1", n["u0"])
	}
	for i := range 5 {
		r.endAttempt(string(rune('a'+i)), 0, OK, 20*ms)
	}
	if u.slowStart.active || u.health.ejections != 0 {
		t.Errorf("after its return: %+v", u)
	}
}

// Many quiet sidecars against a fleet most of which has just started: together they stay under what pushes a cold
// upstream over, and still warm it. Nothing is shared between them. (i2a20be: with many cold each sidecar passed those
// without budget, came to all of them and had a full token for each.)
func TestManyQuietSidecarsAgainstSlowStart(t *testing.T) {
	const sidecars, fleet, warming = 400, 40, 36
	for seed := range uint64(5) {
		s := testSettings() // cold from 0.2, warm in 10 s; three times the capacity for 2 s pushes over
		s.FleetSize = sidecars
		g := rand.New(rand.NewPCG(seed, 3))
		var all []*Balancer
		now := time.Minute
		deal := func(b *Balancer, e Event) []Action { return actionsOfKind(b.Handle(now, e, nil), StartAttempt) }
		var entries []Endpoint
		for i := range fleet {
			entries = append(entries, Endpoint{Upstream: fmt.Sprint("u", i), Zone: "ab"[i%2 : i%2+1]})
		}
		for i := range sidecars {
			b, err := New(s, seed<<32+uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			deal(b, EndpointUpdate{Kind: FullState, Endpoints: entries})
			all = append(all, b)
		}
		n := 0
		second := func() map[string]int { // two requests a second from each, answered at once
			sends := map[string]int{}
			for range 100 {
				for range sidecars * 2 / 100 {
					b := all[g.IntN(sidecars)]
					n++
					id := fmt.Sprint(n)
					for _, a := range deal(b, Request{ID: id, Class: "c", ExpiresAt: now + time.Second}) {
						sends[a.Upstream]++
						deal(b, AttemptEnded{ID: id, Result: OK, Elapsed: 20 * ms, Final: true})
					}
				}
				now += 10 * ms
			}
			return sends
		}
		for range 10 {
			second()
		}
		for i := range warming {
			entries[i].StartedAt = now
		}
		for _, b := range all {
			deal(b, EndpointUpdate{Kind: FullState, Endpoints: entries})
		}
		const mean = float64(sidecars) * 2 / fleet // a second, below the capacity of each
		warmed := 0
		for sec := range 8 {
			one, two := second(), second()
			for i := range warming {
				got := one[fmt.Sprint("u", i)] + two[fmt.Sprint("u", i)]
				warmed += got
				if limit := 3 * 2 * mean * (0.2 + 0.8*float64(2*sec)/10); sec < 5 && float64(got) > limit {
					t.Errorf("seed %d: %d sent to cold u%d in 2 s, %.0f push it over", seed, got, i, limit)
				}
			}
		}
		if float64(warmed) < warming*mean*16/8 {
			t.Errorf("seed %d: %d requests to %d upstreams in 16 s: left out while and after cold", seed, warmed, warming)
		}
	}
}

// The final answer comes before the end of what is still out: the sidecar then knows that no attempt follows.
func TestAnswerBeforeCancel(t *testing.T) {
	for _, effect := range []Idempotency{Idempotent, NotIdempotent} {
		s := testSettings()
		s.Classes[0].Idempotency = effect
		r := newRig(t, s)
		r.setEndpoints(1)
		r.wantAttempt(r.request("1", "c", 500*ms))
		var order []ActionKind
		for _, a := range r.advance(600 * ms) {
			if a.Kind == Reject || a.Kind == Fail || a.Kind == CancelAttempt {
				order = append(order, a.Kind)
			}
		}
		if len(order) != 2 || order[0] == CancelAttempt || order[1] != CancelAttempt {
			t.Errorf("effect %d: kinds %v", effect, order)
		}
	}
}

// Where work stays at home, what upstreams in slow start may get is spent by those that have them in their subset at home: it
// is not left to sidecars of other zones that hardly come.
func TestSlowStartFollowsTheLoad(t *testing.T) {
	s := testSettings()
	s.FleetSize, s.CrossZoneCost = 80, 0.1
	var list []Endpoint
	for i := range 60 {
		list = append(list, Endpoint{Upstream: fmt.Sprint("u", i), Zone: "abcd"[i%4 : i%4+1]})
	}
	const sidecars = 30
	warming := 0
	for seed := range uint64(sidecars) {
		w := newFakeFleet(t, s, okAfter20ms)
		var err error
		if w.b, err = New(s, seed); err != nil {
			t.Fatal(err)
		}
		w.updateEndpoints(FullState, list...)
		w.run(10*time.Second, 20)
		restarted := slices.Clone(list)
		for i := range restarted {
			if restarted[i].Zone == "a" {
				restarted[i].StartedAt = w.now
			}
		}
		w.updateEndpoints(FullState, restarted...)
		clear(w.sentTo)
		w.run(5*time.Second, 20)
		for i := 0; i < len(list); i += 4 {
			warming += w.sentTo[fmt.Sprint("u", i)]
		}
	}
	// All home upstreams are at 0.2 to 0.6 of their capacity, and 0.45 x 3 of that may go there.
	all := sidecars * 5 * 20
	if least, limit := all/5, all*55/100; warming < least || warming > limit {
		t.Errorf("%d of %d requests went to the cold home zone, want %d to %d", warming, all, least, limit)
	}
}
