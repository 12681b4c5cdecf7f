package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Guards against endpoints in slow start that stay unused while load is shed, when they are particularly needed. Fewer requests
// are admitted then, so a budget in proportion to the admitted load would shrink.
func TestSlowStartHoldsWhileLoadIsShed(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(6)
	for i := range 600 {
		id := fmt.Sprint(i)
		r.wantAttempt(r.request(id, "c", time.Second))
		r.advance(5 * ms)
		r.endAttempt(id, 0, OK, 10*ms)
	}
	tokensAfter200ms := func() float64 {
		r.updateEndpoints(Delta, Endpoint{Upstream: "cold", Zone: "a", StartedAt: r.now})
		ep := r.b.endpoints.byID["cold"]
		ep.slowStart.tokens, ep.slowStart.refilledAt = 0, r.now
		r.now += 200 * ms
		r.b.now = r.now
		r.b.slowStartAllows(ep)
		r.updateEndpoints(Delta, Endpoint{Upstream: "cold", Zone: "a", State: Removed})
		return ep.slowStart.tokens
	}
	before := tokensAfter200ms()
	r.b.admission.lastShedAt, r.b.admission.offeredAtShedding = r.now, r.b.admission.offered.perSecond(r.now)
	r.now += 20 * time.Second // no request is admitted in this time
	if after := tokensAfter200ms(); after < 0.9*before {
		t.Errorf("got %.2f tokens in 0.2 s while load is shed, want 90%% of %.2f or more", after, before)
	}
	r.b.admission.lastShedAt = 0
	if after := tokensAfter200ms(); after > 0.6*before {
		t.Errorf("got %.2f tokens in 0.2 s with a low load, want 60%% of %.2f or less", after, before)
	}
}

// Guards against congestion while some endpoints are banned: the requests in flight are compared with the capacity of the
// endpoints that can be sent work.
func TestCongestionIsMeasuredOnUsableEndpoints(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 1
	r := newRig(t, s)
	r.setEndpoints(12)
	for i := range 36 {
		r.request(fmt.Sprint(i), "c", 30*time.Second)
	}
	r.advance(150 * ms)
	if p := r.b.pressure(); p > 1 { // 6 requests of both sidecars are in flight per endpoint, and no attempt showed congestion
		t.Errorf("got pressure %.2f with all endpoints in use, want 1 or less", p)
	}
	for i := range 4 {
		r.handle(Ban{Upstream: fmt.Sprint("u", i)})
	}
	if p := r.b.pressure(); p <= 1 { // 9 requests are in flight per usable endpoint, and none is served
		t.Errorf("got pressure %.2f with a third of the endpoints banned, want above 1", p)
	}
	r.b.endpoints.byID["u5"].health.ejectedUntil, r.b.endpoints.byID["u6"].health.ejectedUntil = r.now+time.Second, r.now+time.Second
	if n := r.b.usableCapacity(); n != 6 {
		t.Errorf("got usable capacity %v, want 6", n)
	}
}
