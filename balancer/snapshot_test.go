package balancer

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against a new process that sends to slow endpoints as to any others, and does not know the load, from which slow-start
// budgets are computed. It starts with what the previous process has learned, except about restarted endpoints.
func TestSnapshotIsRestored(t *testing.T) {
	old := newRig(t, testSettings())
	list := []Endpoint{{Upstream: "slow", Zone: "a"}, {Upstream: "quick", Zone: "a"}, {Upstream: "failing", Zone: "a"},
		{Upstream: "renewed", Zone: "a", StartedAt: 5 * time.Second}}
	old.updateEndpoints(FullState, list...)
	for i := range 400 {
		id := fmt.Sprint(i)
		latency, res := 10*ms, OK
		switch old.wantAttempt(old.request(id, "c", time.Second)) {
		case "slow", "renewed":
			latency = 150 * ms
		case "failing":
			res = ServerError
		}
		old.advance(5 * ms)
		old.endAttempt(id, 0, res, latency)
		for n := 1; res == ServerError && n < 4 && old.b.requests[id] != nil && len(old.b.requests[id].attempts) > n; n++ {
			old.endAttempt(id, n, OK, latency)
		}
	}
	text, err := json.Marshal(old.b.Snapshot(old.now))
	if err != nil {
		t.Fatal(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		t.Fatal(err)
	}
	r := newRig(t, testSettings())
	r.now = 10 * time.Minute // the clock of another process
	list[3].StartedAt = r.now - time.Second
	r.updateEndpoints(FullState, list...)
	r.handle(snapshot)
	if oldRate, rate := old.b.admission.offered.perSecond(old.now), r.b.admission.offered.perSecond(r.now); math.Abs(oldRate-rate) > 1e-6*oldRate {
		t.Errorf("got offered rate %v, want %v", rate, oldRate)
	}
	if oldSlow, slow := old.b.endpoints.byID["slow"], r.b.endpoints.byID["slow"]; math.Abs(old.b.cost(oldSlow)-r.b.cost(slow)) > 1e-6*old.b.cost(oldSlow) {
		t.Errorf("got cost %v of the slow endpoint, want %v", r.b.cost(slow), old.b.cost(oldSlow))
	}
	if ep := r.b.endpoints.byID["failing"]; ep.health.ejections == 0 || ep.health.ejectedUntil <= r.now {
		t.Errorf("failing endpoint: got %d ejections until %v, want some until after %v", ep.health.ejections, ep.health.ejectedUntil, r.now)
	}
	if ep := r.b.endpoints.byID["renewed"]; !ep.slowStart.active || ep.latency.at != r.now {
		t.Errorf("restarted endpoint: got slow start %+v and estimate %+v, want an active slow start and an estimate set at %v",
			ep.slowStart, ep.latency, r.now)
	}
}

// Guards against a snapshot that disturbs the decisions: one with an invalid value is ignored entirely.
func TestInvalidSnapshotIsIgnored(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(2)
	before := r.b.latency.fleetMean
	r.handle(Snapshot{})
	r.handle(Snapshot{FleetLatency: 1, MeanLatency: 1, MedianLatency: 1, HedgeDelay: 1, LimitFraction: 0.5, Endpoints: map[string]EndpointSnapshot{"u0": {PeakEWMA: -1}}})
	if r.b.latency.fleetMean != before {
		t.Errorf("got fleet mean %v after invalid snapshots, want %v", r.b.latency.fleetMean, before)
	}
	r.wantAttempt(r.request("1", "c", time.Second))
}

// Guards against the overload of an endpoint in slow start after a crash of the sidecar: all tokens since the last snapshot
// count as used, and the warm-up does not start again.
func TestBudgetOfAColdUpstreamIsUsedUpAfterACrash(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		snapshot := Snapshot{Endpoints: map[string]EndpointSnapshot{"u": {Uptime: time.Second, SlowStartAge: time.Second, Tokens: 0.8, Age: time.Second, EjectedFor: 3 * time.Second}},
			SheddingAge: time.Second, OfferedAtShedding: 5, Offered: RateSnapshot{Sum: 3, Age: time.Second}, Tenants: map[string]RateSnapshot{"t": {Sum: 1, Age: 1}}}
		snapshot.Age(2*time.Second, crashed)
		ep := snapshot.Endpoints["u"]
		if want := map[bool]float64{false: 0.8, true: 0}[crashed]; ep.Tokens != want {
			t.Errorf("crashed %v: got %v tokens, want %v", crashed, ep.Tokens, want)
		}
		if ep.SlowStartAge != 3*time.Second || ep.Uptime != 3*time.Second || ep.Age != 3*time.Second || ep.EjectedFor != time.Second || snapshot.Offered.Sum != 3 {
			t.Errorf("crashed %v: got %+v after 2 s, want ages of 3 s, an ejection for 1 s more, and an unchanged sum of the rate", crashed, snapshot)
		}
		snapshot.Age(time.Minute, crashed)
		if ep := snapshot.Endpoints["u"]; ep.EjectedFor != 0 || snapshot.SheddingAge != 0 || snapshot.OfferedAtShedding != 0 || snapshot.Offered != (RateSnapshot{}) || snapshot.Tenants["t"] != (RateSnapshot{}) {
			t.Errorf("crashed %v: got %+v after a minute, want no ejection, no rates and no load shedding", crashed, snapshot)
		}
	}
}

// Guards against a snapshot that is ignored because an endpoint in slow start has a negative number of tokens after a costly
// request, and against a crash that resets this number to 0.
func TestSlowStartDebtIsPersisted(t *testing.T) {
	old := newRig(t, testSettings())
	old.updateEndpoints(FullState, Endpoint{Upstream: "u", Zone: "a", StartedAt: old.now - time.Second})
	old.b.endpoints.byID["u"].slowStart.tokens = -1.5
	for _, crashed := range []bool{false, true} {
		snapshot := old.b.Snapshot(old.now)
		snapshot.Age(time.Second, crashed)
		snapshot.FleetLatency = 0.123
		r := newRig(t, testSettings())
		r.updateEndpoints(FullState, Endpoint{Upstream: "u", Zone: "a", StartedAt: r.now - 2*time.Second})
		r.handle(snapshot)
		if ep := r.b.endpoints.byID["u"]; r.b.latency.fleetMean != 0.123 || ep.slowStart.tokens != -1.5 {
			t.Errorf("crashed %v: got %v tokens and mean latency %v, want -1.5 and 0.123", crashed, ep.slowStart.tokens, r.b.latency.fleetMean)
		}
	}
}
