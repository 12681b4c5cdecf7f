package balancer

import (
	"testing"
	"time"
)

// Guards against a slow client that makes its upstream look slow, or its request late: its time begins with the body's
// last byte.
func TestOpenRequestsTimeBeginsWithItsBodysEnd(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(2)
	to := r.wantAttempt(r.handle(Request{ID: "1", Class: "c", ExpiresAt: r.now + time.Second, BodyPending: true}))
	r.wantNothing(r.advance(20 * time.Second)) // it comes slowly; its client waits all the same
	if r.b.admission.inFlight != 0 {
		t.Errorf("%d in hand", r.b.admission.inFlight)
	}
	if x, y := r.b.cost(r.b.endpoints.byID[to]), r.b.cost(r.b.endpoints.byID[otherEndpoint(to)]); x > 2.1*y { // pending, and no slower
		t.Errorf("its upstream looks slow: load %v, the other's %v", x, y)
	}
	r.wantNothing(r.handle(BodyComplete{ID: "1", ExpiresAt: r.now + time.Second}))
	if r.b.admission.inFlight != 1 {
		t.Errorf("%d in hand", r.b.admission.inFlight)
	}
	r.wantNothing(r.endAttempt("1", 0, OK, 20*ms))
	if r.b.admission.inFlight != 0 || len(r.b.requests) != 0 {
		t.Error("not forgotten")
	}
}

func otherEndpoint(id string) string {
	if id == "u0" {
		return "u1"
	}
	return "u0"
}

// Guards against an open request that is never answered, once its body has come.
func TestOpenRequestEndsInTime(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(1)
	r.wantAttempt(r.handle(Request{ID: "1", Class: "c", ExpiresAt: r.now + time.Second, BodyPending: true}))
	r.advance(5 * time.Second)
	r.handle(BodyComplete{ID: "1", ExpiresAt: r.now + time.Second})
	if f := finalAnswers(r.advance(time.Second)); len(f) != 1 {
		t.Errorf("answers %+v", f)
	}
}

// Guards against a second attempt with half a body: it is refused, as it never ran.
func TestConsumedBodyIsNotSentAgain(t *testing.T) {
	s := testSettings()
	s.Classes[0].Idempotency = NotIdempotent
	r := newRig(t, s)
	r.setEndpoints(2)
	r.wantAttempt(r.handle(Request{ID: "1", Class: "c", ExpiresAt: r.now + time.Second, BodyPending: true}))
	r.wantFinalAnswer(r.handle(AttemptEnded{ID: "1", Result: ConnectFailed, Elapsed: ms, BodyConsumed: true}), Reject)
	r.wantAttempt(r.handle(Request{ID: "2", Class: "c", ExpiresAt: r.now + time.Second, BodyPending: true}))
	r.wantAttempt(r.handle(AttemptEnded{ID: "2", Result: ConnectFailed, Elapsed: ms})) // nothing was taken from it yet
}
