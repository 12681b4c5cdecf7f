package balancer

import (
	"math"
	"testing"
	"time"
)

// Guards against rules that change under a request in flight: it keeps its class, and makes no more attempts than it might
// when it came, nor than now; and against the snapshot being lost.
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
		t.Error("a ban or an estimate is lost, or the aims are the old ones")
	}
	r.wantAttempt(r.request("new", "c", time.Second))
	r.wantFinalAnswer(r.endAttempt("new", 0, Reset, ms), Fail) // unsafe now
	r.wantAttempt(r.endAttempt("old", 0, Reset, ms))           // safe still
	r.wantFinalAnswer(r.endAttempt("old", 1, Reset, ms), Reject)
	s.MaxAttempts = 4
	r.handle(SettingsUpdate{s})
	r.wantAttempt(r.request("d", "d", time.Second))
	r.wantFinalAnswer(r.request("gone", "e", time.Second), Reject)
	s.MaxAttempts = 0 // taken as 1
	s.Classes = s.Classes[:1]
	r.handle(SettingsUpdate{s})
	r.wantFinalAnswer(r.endAttempt("few", 0, Reset, ms), Reject)
	r.wantFinalAnswer(r.request("dropped", "d", time.Second), Reject)
	s.Classes[0].Deadline = 0
	r.handle(SettingsUpdate{s})
	if r.b.classes["c"].Deadline != 2*time.Second {
		t.Error("unusable settings were taken")
	}
}
