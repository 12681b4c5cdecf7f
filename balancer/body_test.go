package balancer

import (
	"testing"
	"time"
)

// Guards against a slow client that makes its endpoint seem slow, or its request late: the time of a request counts from the
// arrival of the last byte of its body.
func TestOpenRequestsTimeBeginsWithItsBodysEnd(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(2)
	to := r.wantAttempt(r.handle(Request{ID: "1", Class: "c", ExpiresAt: r.now + time.Second, BodyPending: true}))
	r.wantNothing(r.advance(20 * time.Second)) // the body arrives slowly, while the client still waits
	if r.b.admission.inFlight != 0 {
		t.Errorf("got %d in flight while the body arrives, want 0", r.b.admission.inFlight)
	}
	if cost, otherCost := r.b.cost(r.b.endpoints.byID[to]), r.b.cost(r.b.endpoints.byID[otherEndpoint(to)]); cost > 2.1*otherCost { // it has a pending attempt, but is not slower
		t.Errorf("got cost %v with a pending attempt, want no more than 2.1 times that of the other endpoint, %v", cost, otherCost)
	}
	r.wantNothing(r.handle(BodyComplete{ID: "1", ExpiresAt: r.now + time.Second}))
	if r.b.admission.inFlight != 1 {
		t.Errorf("got %d in flight after the body has arrived, want 1", r.b.admission.inFlight)
	}
	r.wantNothing(r.endAttempt("1", 0, OK, 20*ms))
	if r.b.admission.inFlight != 0 || len(r.b.requests) != 0 {
		t.Errorf("got %d in flight and %d stored requests after the answer, want 0", r.b.admission.inFlight, len(r.b.requests))
	}
}

// otherEndpoint returns the other ID of the two endpoints u0 and u1.
func otherEndpoint(id string) string {
	if id == "u0" {
		return "u1"
	}
	return "u0"
}

// Guards against a request that is never answered after its body has arrived.
func TestOpenRequestEndsInTime(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(1)
	r.wantAttempt(r.handle(Request{ID: "1", Class: "c", ExpiresAt: r.now + time.Second, BodyPending: true}))
	r.advance(5 * time.Second)
	r.handle(BodyComplete{ID: "1", ExpiresAt: r.now + time.Second})
	if answers := finalAnswers(r.advance(time.Second)); len(answers) != 1 {
		t.Errorf("got final answers %+v within 1 s after the body has arrived, want one", answers)
	}
}

// Guards against a second attempt with an incomplete body. If the first attempt has consumed a part of the body, the request is
// rejected, since it did not run.
func TestConsumedBodyIsNotSentAgain(t *testing.T) {
	s := testSettings()
	s.Classes[0].Idempotency = NotIdempotent
	r := newRig(t, s)
	r.setEndpoints(2)
	r.wantAttempt(r.handle(Request{ID: "1", Class: "c", ExpiresAt: r.now + time.Second, BodyPending: true}))
	r.wantFinalAnswer(r.handle(AttemptEnded{ID: "1", Result: ConnectFailed, Elapsed: ms, BodyConsumed: true}), Reject)
	r.wantAttempt(r.handle(Request{ID: "2", Class: "c", ExpiresAt: r.now + time.Second, BodyPending: true}))
	r.wantAttempt(r.handle(AttemptEnded{ID: "2", Result: ConnectFailed, Elapsed: ms})) // none of its body was consumed
}
