package balancer

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against a new process that goes to slow upstreams as to any other, and knows no rate, on which cold budgets
// rest: it begins with what the one before has learnt, but for upstreams that started anew.
func TestLearntGoesOn(t *testing.T) {
	old := newRig(t, testSettings())
	list := []Member{{Upstream: "slow", Zone: "a"}, {Upstream: "quick", Zone: "a"}, {Upstream: "failing", Zone: "a"},
		{Upstream: "renewed", Zone: "a", CameUp: 5 * time.Second}}
	old.list(Full, list...)
	for i := range 400 {
		id := fmt.Sprint(i)
		took, res := 10*ms, OK
		switch old.wantSend(old.request(id, "c", time.Second)) {
		case "slow", "renewed":
			took = 150 * ms
		case "failing":
			res = ServerError
		}
		old.pass(5 * ms)
		old.result(id, 0, res, took)
		for n := 1; res == ServerError && n < 4 && old.b.reqs[id] != nil && len(old.b.reqs[id].attempts) > n; n++ {
			old.result(id, n, OK, took)
		}
	}
	text, err := json.Marshal(old.b.Learnt(old.now))
	if err != nil {
		t.Fatal(err)
	}
	var l Learnt
	if err := json.Unmarshal(text, &l); err != nil {
		t.Fatal(err)
	}
	r := newRig(t, testSettings())
	r.now = 10 * time.Minute // another clock
	list[3].CameUp = r.now - time.Second
	r.list(Full, list...)
	r.do(l)
	if x, y := old.b.offered.per(old.now), r.b.offered.per(r.now); math.Abs(x-y) > 1e-6*x {
		t.Errorf("rate %v, was %v", y, x)
	}
	if u, v := old.b.ups["slow"], r.b.ups["slow"]; math.Abs(old.b.load(u)-r.b.load(v)) > 1e-6*old.b.load(u) {
		t.Errorf("load of the slow one %v, was %v", r.b.load(v), old.b.load(u))
	}
	if u := r.b.ups["failing"]; u.ejections == 0 || u.until <= r.now {
		t.Error("the failing one is in use")
	}
	if u := r.b.ups["renewed"]; !u.cold || u.est.at != r.now {
		t.Error("the one that started anew was taken for the old one")
	}
}

// Guards against a hand-over that upsets the decisions: what makes no sense is left out whole.
func TestUnusableLearntIsLeftOut(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(2)
	before := r.b.fleet
	r.do(Learnt{})
	r.do(Learnt{Fleet: 1, Mean: 1, Mid: 1, Late: 1, Limit: 0.5, Upstreams: map[string]LearntUpstream{"u0": {Estimate: -1}}})
	if r.b.fleet != before {
		t.Error("taken")
	}
	r.wantSend(r.request("1", "c", time.Second))
}

// Guards against a cold upstream pushed over after a crash: what the process before may have sent it since it last told
// counts as sent, and what is left of its warm-up is no longer than it was.
func TestBudgetOfAColdUpstreamIsUsedUpAfterACrash(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		l := Learnt{Upstreams: map[string]LearntUpstream{"u": {UpFor: time.Second, ColdFor: time.Second, Tokens: 0.8, Age: time.Second, Left: 3 * time.Second}},
			ShedAge: time.Second, Carried: 5, Offered: LearntRate{Sum: 3, Age: time.Second}, Tenants: map[string]LearntRate{"t": {Sum: 1, Age: 1}}}
		l.Pass(2*time.Second, crashed)
		u := l.Upstreams["u"]
		if want := map[bool]float64{false: 0.8, true: 0}[crashed]; u.Tokens != want {
			t.Errorf("crashed %v: %v of the budget is left, want %v", crashed, u.Tokens, want)
		}
		if u.ColdFor != 3*time.Second || u.UpFor != 3*time.Second || u.Age != 3*time.Second || u.Left != time.Second || l.Offered.Sum != 3 {
			t.Errorf("crashed %v: after 2 s %+v", crashed, l)
		}
		l.Pass(time.Minute, crashed)
		if u := l.Upstreams["u"]; u.Left != 0 || l.ShedAge != 0 || l.Carried != 0 || l.Offered != (LearntRate{}) || l.Tenants["t"] != (LearntRate{}) {
			t.Errorf("crashed %v: after a minute %+v", crashed, l)
		}
	}
}

// Guards against a process that begins with nothing because the one before was in debt to a cold upstream, by a costly
// request; and against a debt that a crash makes good.
func TestDebtToAColdUpstreamIsKept(t *testing.T) {
	old := newRig(t, testSettings())
	old.list(Full, Member{Upstream: "u", Zone: "a", CameUp: old.now - time.Second})
	old.b.ups["u"].tokens = -1.5
	for _, crashed := range []bool{false, true} {
		l := old.b.Learnt(old.now)
		l.Pass(time.Second, crashed)
		l.Fleet = 0.123
		r := newRig(t, testSettings())
		r.list(Full, Member{Upstream: "u", Zone: "a", CameUp: r.now - 2*time.Second})
		r.do(l)
		if u := r.b.ups["u"]; r.b.fleet != 0.123 || u.tokens != -1.5 {
			t.Errorf("crashed %v: %v of the budget is left, mean latency %v", crashed, u.tokens, r.b.fleet)
		}
	}
}
