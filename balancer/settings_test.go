package balancer

import (
	"testing"
	"time"
)

// Guards against an attempt that is given up for another that may not follow: the last one that the settings allow, and one
// whose repeats upstreams drop no longer.
func TestLateAttemptGoesOnWhereNoneMayFollow(t *testing.T) {
	for name, c := range map[string]struct {
		most   int
		window time.Duration
		cancel int
	}{
		"another may follow": {2, time.Second, 1},
		"the last one":       {1, time.Second, 0},
		"the window is over": {2, 300 * ms, 0},
	} {
		s := testSettings()
		s.MaxAttempts, s.Hedging = c.most, false
		s.Classes[0].Idempotency, s.Classes[0].DedupWindow, s.Classes[0].LateValueFraction = IdempotentByKey, c.window, 1
		r := newRig(t, s)
		r.setEndpoints(3)
		for _, id := range []string{"1", "2", "3"} { // served, so that the budget holds an attempt
			r.request(id, "c", time.Second)
			r.now += 10 * ms
			r.endAttempt(id, 0, OK, 10*ms)
		}
		r.now += 10 * ms
		r.request("late", "c", time.Second)
		r.b.retryBudget.tokens = 1
		r.b.latency.hedgeDelay.value, r.b.latency.median.value = 0, 0.5/r.b.requests["late"].work // late once half a second is left
		r.b.startHedgeTimer(r.b.requests["late"])
		r.advance(400 * ms)
		r.b.latency.median.value /= 5 // answers come sooner now
		actions := r.advance(300 * ms)
		if n := len(actionsOfKind(actions, CancelAttempt)); n != c.cancel {
			t.Errorf("%s: %d cancelled, want %d", name, n, c.cancel)
		}
		if n := len(finalAnswers(actions)); n > 0 {
			t.Errorf("%s: ended with time left", name)
		}
	}
}

// Guards against a start that is refused for a word that nothing asks for, and against times that are reckoned from an aim
// which no request has: it ends with the deadline.
func TestSettingsOfAnotherCustomer(t *testing.T) {
	s := testSettings()
	s.Classes = []Class{
		{Name: "safe", LatencyObjective: 750 * ms, Deadline: 500 * ms, KeyScope: -1, DedupWindow: -1},
		{Name: "unsafe", LatencyObjective: 100 * ms, Deadline: 500 * ms, Idempotency: NotIdempotent, KeyScope: 9, DedupWindow: -1},
	}
	r := newRig(t, s)
	if objective := r.b.classes["safe"].LatencyObjective; objective != 500*ms || r.b.meanObjective != 0.3 {
		t.Errorf("aim %v, mean %v; want 500ms, 0.3", objective, r.b.meanObjective)
	}
	if s.Classes[0].LatencyObjective != 750*ms {
		t.Error("the caller's settings changed")
	}
}
