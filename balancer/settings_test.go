package balancer

import (
	"testing"
	"time"
)

// Guards against the cancellation of a late attempt if no other attempt may follow, because it is the last one that the
// settings allow, or because endpoints no longer drop its repeats.
func TestLateAttemptGoesOnWhereNoneMayFollow(t *testing.T) {
	for name, c := range map[string]struct {
		maxAttempts int
		dedupWindow time.Duration
		wantCancels int
	}{
		"another may follow":       {2, time.Second, 1},
		"the last one":             {1, time.Second, 0},
		"the dedup window is over": {2, 300 * ms, 0},
	} {
		s := testSettings()
		s.MaxAttempts, s.Hedging = c.maxAttempts, false
		s.Classes[0].Idempotency, s.Classes[0].DedupWindow, s.Classes[0].LateValueFraction = IdempotentByKey, c.dedupWindow, 1
		r := newRig(t, s)
		r.setEndpoints(3)
		for _, id := range []string{"1", "2", "3"} { // these are served, so that the retry budget allows another attempt
			r.request(id, "c", time.Second)
			r.now += 10 * ms
			r.endAttempt(id, 0, OK, 10*ms)
		}
		r.now += 10 * ms
		r.request("late", "c", time.Second)
		r.b.retryBudget.tokens = 1
		r.b.latency.hedgeDelay.value, r.b.latency.median.value = 0, 0.5/r.b.requests["late"].work // the attempt counts as late when half a second remains
		r.b.startHedgeTimer(r.b.requests["late"])
		r.advance(400 * ms)
		r.b.latency.median.value /= 5 // answers are now expected sooner
		actions := r.advance(300 * ms)
		if n := len(actionsOfKind(actions, CancelAttempt)); n != c.wantCancels {
			t.Errorf("%s: got %d attempts cancelled, want %d", name, n, c.wantCancels)
		}
		if n := len(finalAnswers(actions)); n > 0 {
			t.Errorf("%s: got %d final answers before the deadline, want 0", name, n)
		}
	}
}

// Guards against settings that are rejected because of a field that their class does not use, and against a latency objective
// beyond the deadline: it is reduced to the deadline.
func TestSettingsOfAnotherCustomer(t *testing.T) {
	s := testSettings()
	s.Classes = []Class{
		{Name: "safe", LatencyObjective: 750 * ms, Deadline: 500 * ms, KeyScope: -1, DedupWindow: -1},
		{Name: "unsafe", LatencyObjective: 100 * ms, Deadline: 500 * ms, Idempotency: NotIdempotent, KeyScope: 9, DedupWindow: -1},
	}
	r := newRig(t, s)
	if objective := r.b.classes["safe"].LatencyObjective; objective != 500*ms || r.b.meanObjective != 0.3 {
		t.Errorf("got objective %v, mean %v; want 500ms, 0.3", objective, r.b.meanObjective)
	}
	if s.Classes[0].LatencyObjective != 750*ms {
		t.Errorf("caller's settings: got objective %v, want 750ms", s.Classes[0].LatencyObjective)
	}
}
