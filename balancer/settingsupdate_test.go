package balancer

import (
	"math"
	"testing"
	"time"
)

// Guards against new settings that affect requests in flight, and against the loss of what was learned. Requests in flight
// retain their class, and make no more attempts than both the old and the new settings allow.
func TestRetune(t *testing.T) {
	s := testSettings()
	r := newRig(t, s)
	r.setEndpoints(3)
	r.handle(Ban{Upstream: "u0"})
	r.wantAttempt(r.request("old", "c", time.Second))
	r.wantAttempt(r.request("few", "c", time.Second))
	r.b.endpoints.byID["u1"].latency.value = 0.123
	s.Classes = []Class{{Name: "c", LatencyObjective: 400 * ms, Deadline: 2 * time.Second, Idempotency: NotIdempotent}, {Name: "d", LatencyObjective: 200 * ms, Deadline: time.Second}}
	s.MaxAttempts = 2
	r.handle(SettingsUpdate{s})
	if !r.b.endpoints.banned["u0"] || r.b.endpoints.byID["u1"].latency.value != 0.123 || math.Abs(r.b.meanObjective-0.3) > 1e-9 {
		t.Errorf("got ban %v, estimate %v, mean objective %v after new settings; want true, 0.123, 0.3", r.b.endpoints.banned["u0"],
			r.b.endpoints.byID["u1"].latency.value, r.b.meanObjective)
	}
	r.wantAttempt(r.request("new", "c", time.Second))
	r.wantFinalAnswer(r.endAttempt("new", 0, Reset, ms), Fail) // by the new settings it must not run twice
	r.wantAttempt(r.endAttempt("old", 0, Reset, ms))           // it retains its class, which is idempotent
	r.wantFinalAnswer(r.endAttempt("old", 1, Reset, ms), Reject)
	s.MaxAttempts = 4
	r.handle(SettingsUpdate{s})
	r.wantAttempt(r.request("d", "d", time.Second))
	r.wantFinalAnswer(r.request("gone", "e", time.Second), Reject)
	s.MaxAttempts = 0 // counts as 1
	s.Classes = s.Classes[:1]
	r.handle(SettingsUpdate{s})
	r.wantFinalAnswer(r.endAttempt("few", 0, Reset, ms), Reject)
	r.wantFinalAnswer(r.request("dropped", "d", time.Second), Reject)
	s.Classes[0].Deadline = 0
	r.handle(SettingsUpdate{s})
	if r.b.classes["c"].Deadline != 2*time.Second {
		t.Errorf("got deadline %v after invalid settings, want 2s", r.b.classes["c"].Deadline)
	}
}
