package balancer

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// rig drives a Balancer by an operator.
type rig struct {
	t       *testing.T
	b       *Balancer
	now     time.Duration
	actions []Action // of the last call
	logs    []string
}

// testSettings are a plain site: one safe class, copies and cancelling allowed, pushed list.
func testSettings() Settings {
	return Settings{
		FleetSize: 2, Zone: "a", Tick: 5 * ms, MaxAttempts: 4, Hedging: true, Cancellation: true,
		RetryAfter: true, MaxRetryAfter: time.Second, ConnectTimeout: 200 * ms,
		SlowStartCapacity: 0.2, SlowStartWindow: 10 * time.Second, OverloadMultiple: 3, OverloadDuration: 2 * time.Second,
		Classes: []Class{{Name: "c", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 1}},
	}
}

func newRig(t *testing.T, s Settings) *rig {
	t.Helper()
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &rig{t: t, b: b, now: time.Minute}
}

func (r *rig) handle(e Event) []Action {
	r.actions = r.b.Handle(r.now, e, nil)
	for _, a := range r.actions {
		if a.Kind == Log {
			r.logs = append(r.logs, a.LogLine())
		}
	}
	return r.actions
}

// advance lets time go by, with a Wake each tick.
func (r *rig) advance(d time.Duration) (all []Action) {
	for end := r.now + d; r.now < end; {
		r.now += r.b.settings.Tick
		all = append(all, r.handle(TimerFired{})...)
	}
	return all
}

func (r *rig) updateEndpoints(kind UpdateKind, m ...Endpoint) []Action {
	return r.handle(EndpointUpdate{Kind: kind, Endpoints: m})
}

func (r *rig) setEndpoints(n int) {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Upstream: fmt.Sprintf("u%d", i), Zone: "a"})
	}
	r.updateEndpoints(FullState, list...)
}

func (r *rig) request(id, class string, left time.Duration) []Action {
	return r.handle(Request{ID: id, Class: class, ExpiresAt: r.now + left})
}

func (r *rig) endAttempt(id string, n int, res Result, elapsed time.Duration) []Action {
	return r.handle(AttemptEnded{ID: id, Attempt: n, Result: res, Elapsed: elapsed, Final: res == OK})
}

// actionsOfKind picks the actions of one kind.
func actionsOfKind(actions []Action, k ActionKind) (out []Action) {
	for _, a := range actions {
		if a.Kind == k {
			out = append(out, a)
		}
	}
	return out
}

// finalAnswers are the final answers among acts.
func finalAnswers(actions []Action) []Action {
	return append(actionsOfKind(actions, Reject), actionsOfKind(actions, Fail)...)
}

// wantAttempt fails the test unless acts hold exactly one attempt, and returns its upstream.
func (r *rig) wantAttempt(actions []Action) string {
	r.t.Helper()
	s := actionsOfKind(actions, StartAttempt)
	if len(s) != 1 {
		r.t.Fatalf("want one attempt, got %+v", actions)
	}
	return s[0].Upstream
}

// wantFinalAnswer fails the test unless acts hold exactly one final answer of kind k and no attempt.
func (r *rig) wantFinalAnswer(actions []Action, k ActionKind) {
	r.t.Helper()
	if f := finalAnswers(actions); len(f) != 1 || f[0].Kind != k || len(actionsOfKind(actions, StartAttempt)) > 0 {
		r.t.Fatalf("want one final answer of kind %d and no attempt, got %+v", k, actions)
	}
}

func (r *rig) wantNothing(actions []Action) {
	r.t.Helper()
	if len(finalAnswers(actions)) > 0 || len(actionsOfKind(actions, StartAttempt)) > 0 {
		r.t.Fatalf("want no attempt and no answer, got %+v", actions)
	}
}
