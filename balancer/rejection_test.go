package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an upstream that drains before the list tells: it rejects all it is sent, at once. It is left out
// after three in a row, and what it rejects is no crowd, for which others would be refused.
func TestEndpointThatRejectsEverythingIsEjected(t *testing.T) {
	type out struct {
		id  string
		n   int
		due time.Duration
	}
	const takes = 60 * ms // a third of the objective, with several in flight everywhere
	r := newRig(t, testSettings())
	r.setEndpoints(4)
	var busy []out
	sent, rejected := 0, 0
	for i := range 400 {
		for len(busy) > 0 && busy[0].due <= r.now {
			r.endAttempt(busy[0].id, busy[0].n, OK, takes)
			busy = busy[1:]
		}
		id := fmt.Sprint(i)
		actions := r.request(id, "c", time.Second)
		for n := 0; ; n++ {
			rejected += len(actionsOfKind(actions, Reject))
			to := actionsOfKind(actions, StartAttempt)
			if len(to) == 0 {
				break
			}
			if to[0].Upstream != "u0" {
				busy = append(busy, out{id, n, r.now + takes})
				break
			}
			sent++
			actions = r.endAttempt(id, n, Overloaded, ms)
		}
		r.advance(5 * ms)
	}
	if sent > 12 { // three, and a probe now and then
		t.Errorf("%d sent to the one that turns all away", sent)
	}
	if rejected > 3 { // for those that told of a crowd, before it was left out
		t.Errorf("%d refused, while the others answer in time", rejected)
	}
	if u := r.b.endpoints.byID["u0"]; u.health.ejections == 0 {
		t.Error("it is not left out")
	}
	r.advance(max(r.b.endpoints.byID["u0"].health.ejectedUntil-r.now, 0))
	for i := 0; i < 100 && r.b.endpoints.byID["u0"].health.rejections > 0; i++ { // tried again, and used once it serves
		id := fmt.Sprint("again", i)
		r.wantAttempt(r.request(id, "c", time.Second))
		r.advance(5 * ms)
		r.endAttempt(id, 0, OK, 10*ms)
	}
	if u := r.b.endpoints.byID["u0"]; u.health.ejections != 0 || u.health.rejections != 0 {
		t.Errorf("it serves, and is out: %d ejections", u.health.ejections)
	}
}

// Guards against refusals for a crowd that is none: the first request rejected may tell of one, the next at the same
// upstream tell of that upstream.
func TestRepeatedRejectionIsNoCongestion(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(1)
	r.wantAttempt(r.request("1", "c", time.Second))
	r.wantAttempt(r.endAttempt("1", 0, Overloaded, ms))
	first := r.b.admission.congestion
	r.endAttempt("1", 1, Overloaded, ms)
	if first == 0 || r.b.admission.congestion != first {
		t.Errorf("crowd %.2f, then %.2f", first, r.b.admission.congestion)
	}
}
