package balancer

import (
	"math"
	"testing"
	"time"
)

// Guards against rules that change under a request in hand: it keeps its class, and makes no more attempts than it might
// when it came, nor than now; and against what was learnt being lost.
func TestRetune(t *testing.T) {
	s := testSettings()
	r := newRig(t, s)
	r.fleet(3)
	r.do(Ban{Upstream: "u0"})
	r.wantSend(r.request("old", "c", time.Second))
	r.wantSend(r.request("few", "c", time.Second))
	r.b.ups["u1"].est.value = 0.123
	s.Classes = []Class{{Name: "c", Aim: 400 * ms, Deadline: 2 * time.Second, Effect: Unsafe}, {Name: "d", Aim: 200 * ms, Deadline: time.Second}}
	s.MaxAttempts = 2
	r.do(Retune{s})
	if !r.b.banned["u0"] || r.b.ups["u1"].est.value != 0.123 || math.Abs(r.b.meanAim-0.3) > 1e-9 {
		t.Error("a ban or an estimate is lost, or the aims are the old ones")
	}
	r.wantSend(r.request("new", "c", time.Second))
	r.wantFinal(r.result("new", 0, Reset, ms), Fail) // unsafe now
	r.wantSend(r.result("old", 0, Reset, ms))        // safe still
	r.wantFinal(r.result("old", 1, Reset, ms), Refuse)
	s.MaxAttempts = 4
	r.do(Retune{s})
	r.wantSend(r.request("d", "d", time.Second))
	r.wantFinal(r.request("gone", "e", time.Second), Refuse)
	s.MaxAttempts = 0 // taken as 1
	s.Classes = s.Classes[:1]
	r.do(Retune{s})
	r.wantFinal(r.result("few", 0, Reset, ms), Refuse)
	r.wantFinal(r.request("dropped", "d", time.Second), Refuse)
	s.Classes[0].Deadline = 0
	r.do(Retune{s})
	if r.b.classes["c"].Deadline != 2*time.Second {
		t.Error("unusable settings were taken")
	}
}
