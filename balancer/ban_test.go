package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Guards against work for an upstream that operators took out, whatever lists say meanwhile.
func TestBanOutlastsLists(t *testing.T) {
	r := newRig(t, testSettings())
	r.do(Ban{Upstream: "u0"}) // before the first list, as in an upgrade
	for round, kind := range []MembersKind{Full, Change, Full} {
		r.list(kind, Member{Upstream: "u0", Zone: "a", CameUp: time.Duration(round) * time.Second}, Member{Upstream: "u1", Zone: "a"})
		for i := range 20 {
			id := fmt.Sprint(round, "-", i)
			if to := r.wantSend(r.request(id, "c", time.Second)); to != "u1" {
				t.Fatalf("round %d: sent to %s", round, to)
			}
			r.result(id, 0, OK, 20*ms)
		}
		r.list(Change, Member{Upstream: "u0", State: Left})
	}
}

// Guards against requests that wait for what operators took out: with all out, they are refused at once.
func TestAllBannedIsRefusedAtOnce(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(2)
	r.do(Ban{Upstream: "u0"})
	r.do(Ban{Upstream: "u1"})
	r.wantFinal(r.request("1", "c", time.Second), Refuse)
}

// Guards against an upstream that stays unused when it is called back, and against one that is pushed over: it gets its
// first request soon, though idle ones look faster, and then no more than its cold budget.
func TestLiftedBanIsColdAndGetsWork(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(12)
	for i := range 200 { // estimates, and a rate
		id := fmt.Sprint("w", i)
		r.wantSend(r.request(id, "c", time.Second))
		r.pass(10 * ms)
		r.result(id, 0, OK, 10*ms)
	}
	r.do(Ban{Upstream: "u3"})
	r.do(Ban{Upstream: "u3"})
	r.pass(time.Second)
	r.do(Ban{Upstream: "u3", Lifted: true})
	if to := r.wantSend(r.request("first", "c", time.Second)); to != "u3" {
		t.Errorf("the first request went to %s", to)
	}
	if u := r.b.ups["u3"]; !u.cold || u.coldFrom != r.now {
		t.Error("it came back warm")
	}
	// Discovery tells of the restart later: cold from the call still, as what runs now began before.
	at := r.now
	r.pass(100 * ms)
	r.list(Change, Member{Upstream: "u3", Zone: "a", CameUp: at - 500*ms})
	if u := r.b.ups["u3"]; !u.cold || u.coldFrom != at {
		t.Error("warm too early")
	}
	n := 0
	for i := range 100 {
		if r.wantSend(r.request(fmt.Sprint("x", i), "c", time.Second)) == "u3" {
			n++
		}
	}
	if n > 20 {
		t.Errorf("%d of 100 at once to a cold upstream", n)
	}
}
