package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against requests to an endpoint that operators banned, regardless of the endpoint list.
func TestBanOutlastsLists(t *testing.T) {
	r := newRig(t, testSettings())
	r.handle(Ban{Upstream: "u0"}) // before the first list, as after an upgrade
	for round, kind := range []UpdateKind{FullState, Delta, FullState} {
		r.updateEndpoints(kind, Endpoint{Upstream: "u0", Zone: "a", StartedAt: time.Duration(round) * time.Second}, Endpoint{Upstream: "u1", Zone: "a"})
		for i := range 20 {
			id := fmt.Sprint(round, "-", i)
			if to := r.wantAttempt(r.request(id, "c", time.Second)); to != "u1" {
				t.Fatalf("round %d: request went to %s, want u1", round, to)
			}
			r.endAttempt(id, 0, OK, 20*ms)
		}
		r.updateEndpoints(Delta, Endpoint{Upstream: "u0", State: Removed})
	}
}

// Guards against requests that wait for banned endpoints: if all endpoints are banned, requests are rejected at once.
func TestAllBannedIsRejectedAtOnce(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(2)
	r.handle(Ban{Upstream: "u0"})
	r.handle(Ban{Upstream: "u1"})
	r.wantFinalAnswer(r.request("1", "c", time.Second), Reject)
}

// Guards against an endpoint that stays unused, or is overloaded, after its ban was cleared: it gets its first request soon,
// although idle endpoints seem faster, and then no more than its slow-start budget.
func TestClearedBanBeginsSlowStartAndGetsWork(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(12)
	for i := range 200 { // for latency estimates, and for a rate of requests
		id := fmt.Sprint("w", i)
		r.wantAttempt(r.request(id, "c", time.Second))
		r.advance(10 * ms)
		r.endAttempt(id, 0, OK, 10*ms)
	}
	r.handle(Ban{Upstream: "u3"})
	r.handle(Ban{Upstream: "u3"})
	r.advance(time.Second)
	r.handle(Ban{Upstream: "u3", Cleared: true})
	if to := r.wantAttempt(r.request("first", "c", time.Second)); to != "u3" {
		t.Errorf("first request after the ban was cleared went to %s, want u3", to)
	}
	if ep := r.b.endpoints.byID["u3"]; !ep.slowStart.active || ep.slowStart.startedAt != r.now {
		t.Errorf("got slow start %+v after the ban was cleared, want an active one since %v", ep.slowStart, r.now)
	}
	// The list reports a restart later. The warm-up still counts from the end of the ban, because the process started before that.
	clearedAt := r.now
	r.advance(100 * ms)
	r.updateEndpoints(Delta, Endpoint{Upstream: "u3", Zone: "a", StartedAt: clearedAt - 500*ms})
	if ep := r.b.endpoints.byID["u3"]; !ep.slowStart.active || ep.slowStart.startedAt != clearedAt {
		t.Errorf("got slow start %+v after the reported restart, want an active one since %v", ep.slowStart, clearedAt)
	}
	n := 0
	for i := range 100 {
		if r.wantAttempt(r.request(fmt.Sprint("x", i), "c", time.Second)) == "u3" {
			n++
		}
	}
	if n > 20 {
		t.Errorf("starting endpoint got %d of 100 simultaneous requests, want 20 or fewer", n)
	}
}

// Guards against the overload of an endpoint whose ban was cleared. Every sidecar puts it first in its order, and could send
// it a request at once, but only few may do so.
func TestClearedBanIsNotOverloadedByAllSidecars(t *testing.T) {
	for _, c := range []struct {
		sidecars  int
		perSecond float64 // requests of each sidecar
	}{{4, 200}, {300, 6}} {
		s := testSettings()
		s.FleetSize, s.SlowStartCapacity, s.SlowStartWindow, s.OverloadMultiple, s.OverloadDuration = c.sidecars, 0.3, 8800*ms, 4, time.Second
		rigs := make([]*rig, c.sidecars)
		for i := range rigs {
			s.Zone = string(rune('a' + i%4))
			b, err := New(s, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			rigs[i] = &rig{t: t, b: b, now: time.Minute}
			var list []Endpoint
			for u := range 40 {
				list = append(list, Endpoint{Upstream: fmt.Sprint(u), Zone: string(rune('a' + u%4))})
			}
			rigs[i].updateEndpoints(FullState, list...)
			for at := 20 * time.Second; at < time.Minute; at += 100 * ms {
				b.admission.offered.add(c.perSecond/10, at)
			}
			rigs[i].handle(Ban{Upstream: "5"})
			rigs[i].handle(Ban{Upstream: "5", Cleared: true})
		}
		attempts, firstRound := 0, 0
		for round := range int(c.perSecond) {
			for i, r := range rigs {
				r.now = time.Minute + time.Duration(round+1)*time.Second/time.Duration(c.perSecond+1)
				id := fmt.Sprint(round)
				if r.wantAttempt(r.request(id, "c", time.Second)) == "5" {
					if attempts++; round == 0 {
						firstRound++
					}
				}
				r.now += 10 * ms
				r.endAttempt(id, 0, OK, 10*ms)
				rigs[i] = r
			}
		}
		allowed := 4 * 0.3 * c.perSecond * float64(c.sidecars) / 40 / 0.85
		t.Logf("%d sidecars: got %d attempts, %d of them in the first round; %.0f are allowed", c.sidecars, attempts, firstRound, allowed)
		if got := float64(attempts); got > allowed+2*math.Sqrt(allowed)+2 || firstRound == 0 {
			t.Errorf("%d sidecars: got %d attempts, %d of them in the first round; want about %.0f or fewer, and some in the first round",
				c.sidecars, attempts, firstRound, allowed)
		}
	}
}
