package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Guards against cold upstreams that stay unused when they are needed most: while work is refused, the work admitted
// shrinks, and a budget that is a part of it would shrink too.
func TestColdBudgetHoldsWhileWorkIsRefused(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(6)
	for i := range 600 {
		id := fmt.Sprint(i)
		r.wantSend(r.request(id, "c", time.Second))
		r.pass(5 * ms)
		r.result(id, 0, OK, 10*ms)
	}
	budget := func() float64 {
		r.list(Change, Member{Upstream: "cold", Zone: "a", CameUp: r.now})
		u := r.b.ups["cold"]
		u.tokens, u.filled = 0, r.now
		r.now += 200 * ms
		r.b.now = r.now
		r.b.coldAllows(u)
		r.list(Change, Member{Upstream: "cold", Zone: "a", State: Left})
		return u.tokens
	}
	before := budget()
	r.b.shedding, r.b.carried = r.now, r.b.offered.per(r.now)
	r.now += 20 * time.Second // nothing is admitted meanwhile
	if now := budget(); now < 0.9*before {
		t.Errorf("%.2f in 0.2 s, was %.2f", now, before)
	}
	r.b.shedding = 0
	if now := budget(); now > 0.6*before {
		t.Errorf("%.2f in 0.2 s with little work, was %.2f", now, before)
	}
}
