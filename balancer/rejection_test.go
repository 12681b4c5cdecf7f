package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an endpoint that drains before the list reports it, and rejects every request at once. It is ejected after
// three consecutive rejections, and these do not count as congestion, which would cause other requests to be rejected.
func TestEndpointThatRejectsEverythingIsEjected(t *testing.T) {
	type sentAttempt struct {
		id     string
		number int
		endsAt time.Duration
	}
	const latency = 60 * ms // about a third of the objective, with several attempts in flight at each endpoint
	r := newRig(t, testSettings())
	r.setEndpoints(4)
	var pending []sentAttempt
	sentToRejecting, rejected := 0, 0
	for i := range 400 {
		for len(pending) > 0 && pending[0].endsAt <= r.now {
			r.endAttempt(pending[0].id, pending[0].number, OK, latency)
			pending = pending[1:]
		}
		id := fmt.Sprint(i)
		actions := r.request(id, "c", time.Second)
		for number := 0; ; number++ {
			rejected += len(actionsOfKind(actions, Reject))
			starts := actionsOfKind(actions, StartAttempt)
			if len(starts) == 0 {
				break
			}
			if starts[0].Upstream != "u0" {
				pending = append(pending, sentAttempt{id, number, r.now + latency})
				break
			}
			sentToRejecting++
			actions = r.endAttempt(id, number, Overloaded, ms)
		}
		r.advance(5 * ms)
	}
	if sentToRejecting > 12 { // three rejections eject it, and probes follow from time to time
		t.Errorf("endpoint that rejects every request got %d attempts, want 12 or fewer", sentToRejecting)
	}
	if rejected > 3 { // because of the rejections that counted as congestion before the ejection
		t.Errorf("%d requests were rejected while the other endpoints answer in time, want 3 or fewer", rejected)
	}
	if ep := r.b.endpoints.byID["u0"]; ep.health.ejections == 0 {
		t.Errorf("endpoint that rejects every request: got %d ejections, want some", ep.health.ejections)
	}
	r.advance(max(r.b.endpoints.byID["u0"].health.ejectedUntil-r.now, 0))
	for i := 0; i < 100 && r.b.endpoints.byID["u0"].health.rejections > 0; i++ { // it is probed, and used again once it serves
		id := fmt.Sprint("again", i)
		r.wantAttempt(r.request(id, "c", time.Second))
		r.advance(5 * ms)
		r.endAttempt(id, 0, OK, 10*ms)
	}
	if ep := r.b.endpoints.byID["u0"]; ep.health.ejections != 0 || ep.health.rejections != 0 {
		t.Errorf("endpoint that serves again: got %d ejections and %d rejections, want 0", ep.health.ejections, ep.health.rejections)
	}
}

// Guards against load shedding without congestion: only the first rejection by an endpoint counts as congestion, and the next
// consecutive ones count as a problem of that endpoint.
func TestRepeatedRejectionIsNoCongestion(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(1)
	r.wantAttempt(r.request("1", "c", time.Second))
	r.wantAttempt(r.endAttempt("1", 0, Overloaded, ms))
	first := r.b.admission.congestion
	r.endAttempt("1", 1, Overloaded, ms)
	if first == 0 || r.b.admission.congestion != first {
		t.Errorf("got congestion %.2f after one rejection and %.2f after two, want the same above 0", first, r.b.admission.congestion)
	}
}
