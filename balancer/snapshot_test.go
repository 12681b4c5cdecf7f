package balancer

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against a new process that goes to slow upstreams as to any other, and knows no rate, on which slow-start budgets
// rest: it begins with what the one before has learned, but for upstreams that started anew.
func TestSnapshotIsRestored(t *testing.T) {
	old := newRig(t, testSettings())
	list := []Endpoint{{Upstream: "slow", Zone: "a"}, {Upstream: "quick", Zone: "a"}, {Upstream: "failing", Zone: "a"},
		{Upstream: "renewed", Zone: "a", StartedAt: 5 * time.Second}}
	old.updateEndpoints(FullState, list...)
	for i := range 400 {
		id := fmt.Sprint(i)
		usedFraction, res := 10*ms, OK
		switch old.wantAttempt(old.request(id, "c", time.Second)) {
		case "slow", "renewed":
			usedFraction = 150 * ms
		case "failing":
			res = ServerError
		}
		old.advance(5 * ms)
		old.endAttempt(id, 0, res, usedFraction)
		for n := 1; res == ServerError && n < 4 && old.b.requests[id] != nil && len(old.b.requests[id].attempts) > n; n++ {
			old.endAttempt(id, n, OK, usedFraction)
		}
	}
	text, err := json.Marshal(old.b.Snapshot(old.now))
	if err != nil {
		t.Fatal(err)
	}
	var l Snapshot
	if err := json.Unmarshal(text, &l); err != nil {
		t.Fatal(err)
	}
	r := newRig(t, testSettings())
	r.now = 10 * time.Minute // another clock
	list[3].StartedAt = r.now - time.Second
	r.updateEndpoints(FullState, list...)
	r.handle(l)
	if x, y := old.b.admission.offered.perSecond(old.now), r.b.admission.offered.perSecond(r.now); math.Abs(x-y) > 1e-6*x {
		t.Errorf("rate %v, was %v", y, x)
	}
	if u, v := old.b.endpoints.byID["slow"], r.b.endpoints.byID["slow"]; math.Abs(old.b.cost(u)-r.b.cost(v)) > 1e-6*old.b.cost(u) {
		t.Errorf("load of the slow one %v, was %v", r.b.cost(v), old.b.cost(u))
	}
	if u := r.b.endpoints.byID["failing"]; u.health.ejections == 0 || u.health.ejectedUntil <= r.now {
		t.Error("the failing one is in use")
	}
	if u := r.b.endpoints.byID["renewed"]; !u.slowStart.active || u.latency.at != r.now {
		t.Error("the one that started anew was taken for the old one")
	}
}

// Guards against a hand-over that upsets the decisions: what makes no sense is left out whole.
func TestInvalidSnapshotIsIgnored(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(2)
	before := r.b.latency.fleetMean
	r.handle(Snapshot{})
	r.handle(Snapshot{FleetLatency: 1, MeanLatency: 1, MedianLatency: 1, HedgeDelay: 1, LimitFraction: 0.5, Endpoints: map[string]EndpointSnapshot{"u0": {PeakEWMA: -1}}})
	if r.b.latency.fleetMean != before {
		t.Error("taken")
	}
	r.wantAttempt(r.request("1", "c", time.Second))
}

// Guards against a upstream in slow start pushed over after a crash: what the process before may have sent it since it last told
// counts as sent, and what is left of its warm-up is no longer than it was.
func TestBudgetOfAColdUpstreamIsUsedUpAfterACrash(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		l := Snapshot{Endpoints: map[string]EndpointSnapshot{"u": {Uptime: time.Second, SlowStartAge: time.Second, Tokens: 0.8, Age: time.Second, EjectedFor: 3 * time.Second}},
			SheddingAge: time.Second, OfferedAtShedding: 5, Offered: RateSnapshot{Sum: 3, Age: time.Second}, Tenants: map[string]RateSnapshot{"t": {Sum: 1, Age: 1}}}
		l.Age(2*time.Second, crashed)
		u := l.Endpoints["u"]
		if want := map[bool]float64{false: 0.8, true: 0}[crashed]; u.Tokens != want {
			t.Errorf("crashed %v: %v of the budget is left, want %v", crashed, u.Tokens, want)
		}
		if u.SlowStartAge != 3*time.Second || u.Uptime != 3*time.Second || u.Age != 3*time.Second || u.EjectedFor != time.Second || l.Offered.Sum != 3 {
			t.Errorf("crashed %v: after 2 s %+v", crashed, l)
		}
		l.Age(time.Minute, crashed)
		if u := l.Endpoints["u"]; u.EjectedFor != 0 || l.SheddingAge != 0 || l.OfferedAtShedding != 0 || l.Offered != (RateSnapshot{}) || l.Tenants["t"] != (RateSnapshot{}) {
			t.Errorf("crashed %v: after a minute %+v", crashed, l)
		}
	}
}

// Guards against a process that begins with nothing because the one before was in debt to a upstream in slow start, by a costly
// request; and against a debt that a crash makes good.
func TestSlowStartDebtIsPersisted(t *testing.T) {
	old := newRig(t, testSettings())
	old.updateEndpoints(FullState, Endpoint{Upstream: "u", Zone: "a", StartedAt: old.now - time.Second})
	old.b.endpoints.byID["u"].slowStart.tokens = -1.5
	for _, crashed := range []bool{false, true} {
		l := old.b.Snapshot(old.now)
		l.Age(time.Second, crashed)
		l.FleetLatency = 0.123
		r := newRig(t, testSettings())
		r.updateEndpoints(FullState, Endpoint{Upstream: "u", Zone: "a", StartedAt: r.now - 2*time.Second})
		r.handle(l)
		if u := r.b.endpoints.byID["u"]; r.b.latency.fleetMean != 0.123 || u.slowStart.tokens != -1.5 {
			t.Errorf("crashed %v: %v of the budget is left, mean latency %v", crashed, u.slowStart.tokens, r.b.latency.fleetMean)
		}
	}
}
