package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Guards against upstreams in slow start that stay unused when they are needed most: while work is refused, the work admitted
// shrinks, and a budget that is a part of it would shrink too.
func TestSlowStartHoldsWhileLoadIsShed(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(6)
	for i := range 600 {
		id := fmt.Sprint(i)
		r.wantAttempt(r.request(id, "c", time.Second))
		r.advance(5 * ms)
		r.endAttempt(id, 0, OK, 10*ms)
	}
	budget := func() float64 {
		r.updateEndpoints(Delta, Endpoint{Upstream: "cold", Zone: "a", StartedAt: r.now})
		u := r.b.endpoints.byID["cold"]
		u.slowStart.tokens, u.slowStart.refilledAt = 0, r.now
		r.now += 200 * ms
		r.b.now = r.now
		r.b.slowStartAllows(u)
		r.updateEndpoints(Delta, Endpoint{Upstream: "cold", Zone: "a", State: Removed})
		return u.slowStart.tokens
	}
	before := budget()
	r.b.admission.lastShedAt, r.b.admission.offeredAtShedding = r.now, r.b.admission.offered.perSecond(r.now)
	r.now += 20 * time.Second // nothing is admitted meanwhile
	if now := budget(); now < 0.9*before {
		t.Errorf("%.2f in 0.2 s, was %.2f", now, before)
	}
	r.b.admission.lastShedAt = 0
	if now := budget(); now > 0.6*before {
		t.Errorf("%.2f in 0.2 s with little work, was %.2f", now, before)
	}
}

// Guards against upstreams that are congested while a part of them is out by an operator: what is in flight is set against those
// that take some of it.
func TestCongestionIsMeasuredOnUsableEndpoints(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 1
	r := newRig(t, s)
	r.setEndpoints(12)
	for i := range 36 {
		r.request(fmt.Sprint(i), "c", 30*time.Second)
	}
	r.advance(150 * ms)
	if p := r.b.pressure(); p > 1 { // 6 in flight for each, over both sidecars, and no attempt told of a crowd
		t.Errorf("pressure %.2f with all in use", p)
	}
	for i := range 4 {
		r.handle(Ban{Upstream: fmt.Sprint("u", i)})
	}
	if p := r.b.pressure(); p <= 1 { // 9, and none served
		t.Errorf("pressure %.2f with a third banned", p)
	}
	r.b.endpoints.byID["u5"].health.ejectedUntil, r.b.endpoints.byID["u6"].health.ejectedUntil = r.now+time.Second, r.now+time.Second
	if n := r.b.usableCapacity(); n != 6 {
		t.Errorf("%v usable", n)
	}
}
