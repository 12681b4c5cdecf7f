package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against work for an upstream that operators took out, whatever lists say meanwhile.
func TestBanOutlastsLists(t *testing.T) {
	r := newRig(t, testSettings())
	r.handle(Ban{Upstream: "u0"}) // before the first list, as in an upgrade
	for round, kind := range []UpdateKind{FullState, Delta, FullState} {
		r.updateEndpoints(kind, Endpoint{Upstream: "u0", Zone: "a", StartedAt: time.Duration(round) * time.Second}, Endpoint{Upstream: "u1", Zone: "a"})
		for i := range 20 {
			id := fmt.Sprint(round, "-", i)
			if to := r.wantAttempt(r.request(id, "c", time.Second)); to != "u1" {
				t.Fatalf("round %d: sent to %s", round, to)
			}
			r.endAttempt(id, 0, OK, 20*ms)
		}
		r.updateEndpoints(Delta, Endpoint{Upstream: "u0", State: Removed})
	}
}

// Guards against requests that wait for what operators took out: with all out, they are refused at once.
func TestAllBannedIsRejectedAtOnce(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(2)
	r.handle(Ban{Upstream: "u0"})
	r.handle(Ban{Upstream: "u1"})
	r.wantFinalAnswer(r.request("1", "c", time.Second), Reject)
}

// Guards against an upstream that stays unused when it is called back, and against one that is pushed over: it gets its
// first request soon, though idle ones look faster, and then no more than its slow-start budget.
func TestClearedBanBeginsSlowStartAndGetsWork(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(12)
	for i := range 200 { // estimates, and a rate
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
		t.Errorf("the first request went to %s", to)
	}
	if u := r.b.endpoints.byID["u3"]; !u.slowStart.active || u.slowStart.startedAt != r.now {
		t.Error("it came back warm")
	}
	// Discovery tells of the restart later: cold from the call still, as what runs now began before.
	at := r.now
	r.advance(100 * ms)
	r.updateEndpoints(Delta, Endpoint{Upstream: "u3", Zone: "a", StartedAt: at - 500*ms})
	if u := r.b.endpoints.byID["u3"]; !u.slowStart.active || u.slowStart.startedAt != at {
		t.Error("warm too early")
	}
	n := 0
	for i := range 100 {
		if r.wantAttempt(r.request(fmt.Sprint("x", i), "c", time.Second)) == "u3" {
			n++
		}
	}
	if n > 20 {
		t.Errorf("%d of 100 at once to a cold upstream", n)
	}
}

// Guards against an upstream pushed over when it is called back: each sidecar sent it a request at once, and it stood first
// with all of them. Few sidecars still do.
func TestClearedBanIsNotOverloadedByAllSidecars(t *testing.T) {
	for _, c := range []struct {
		sidecars int
		perSec   float64 // of each
	}{{4, 200}, {300, 6}} {
		s := testSettings()
		s.FleetSize, s.SlowStartCapacity, s.SlowStartWindow, s.OverloadMultiple, s.OverloadDuration = c.sidecars, 0.3, 8800*ms, 4, time.Second
		all := make([]*rig, c.sidecars)
		for i := range all {
			s.Zone = string(rune('a' + i%4))
			b, err := New(s, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			all[i] = &rig{t: t, b: b, now: time.Minute}
			var list []Endpoint
			for u := range 40 {
				list = append(list, Endpoint{Upstream: fmt.Sprint(u), Zone: string(rune('a' + u%4))})
			}
			all[i].updateEndpoints(FullState, list...)
			for at := 20 * time.Second; at < time.Minute; at += 100 * ms {
				b.admission.offered.add(c.perSec/10, at)
			}
			all[i].handle(Ban{Upstream: "5"})
			all[i].handle(Ban{Upstream: "5", Cleared: true})
		}
		got, first := 0, 0
		for k := range int(c.perSec) {
			for i, r := range all {
				r.now = time.Minute + time.Duration(k+1)*time.Second/time.Duration(c.perSec+1)
				id := fmt.Sprint(k)
				if r.wantAttempt(r.request(id, "c", time.Second)) == "5" {
					if got++; k == 0 {
						first++
					}
				}
				r.now += 10 * ms
				r.endAttempt(id, 0, OK, 10*ms)
				all[i] = r
			}
		}
		n := 4 * 0.3 * c.perSec * float64(c.sidecars) / 40 / 0.85
		t.Logf("%d sidecars: %d, of them %d at once, where %.0f are allowed", c.sidecars, got, first, n)
		if x := float64(got); x > n+2*math.Sqrt(n)+2 || first == 0 {
			t.Errorf("%d sidecars: %d, of them %d at once, where %.0f are allowed", c.sidecars, got, first, n)
		}
	}
}
