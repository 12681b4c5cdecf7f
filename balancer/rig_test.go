package balancer

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// rig sends events to a Balancer, with a clock that the test advances.
type rig struct {
	t       *testing.T
	b       *Balancer
	now     time.Duration
	actions []Action // result of the latest event
	logs    []string // lines of all Log actions
}

// testSettings returns settings with one idempotent class, with hedging and cancellation, and with an endpoint list that
// arrives without a Subscribe.
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

// handle sends an event to the Balancer at the present time, and returns the actions.
func (r *rig) handle(e Event) []Action {
	r.actions = r.b.Handle(r.now, e, nil)
	for _, a := range r.actions {
		if a.Kind == Log {
			r.logs = append(r.logs, a.LogLine())
		}
	}
	return r.actions
}

// advance advances the clock by d, with a TimerFired each tick, and returns all actions.
func (r *rig) advance(d time.Duration) (all []Action) {
	for end := r.now + d; r.now < end; {
		r.now += r.b.settings.Tick
		all = append(all, r.handle(TimerFired{})...)
	}
	return all
}

func (r *rig) updateEndpoints(kind UpdateKind, entries ...Endpoint) []Action {
	return r.handle(EndpointUpdate{Kind: kind, Endpoints: entries})
}

// setEndpoints replaces the endpoint list by n endpoints u0, u1 and so on in zone a.
func (r *rig) setEndpoints(n int) {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Upstream: fmt.Sprintf("u%d", i), Zone: "a"})
	}
	r.updateEndpoints(FullState, list...)
}

// request sends a request whose client waits for the given time.
func (r *rig) request(id, class string, remaining time.Duration) []Action {
	return r.handle(Request{ID: id, Class: class, ExpiresAt: r.now + remaining})
}

// endAttempt ends an attempt of a request. OK is the final answer to the request.
func (r *rig) endAttempt(id string, attempt int, res Result, elapsed time.Duration) []Action {
	return r.handle(AttemptEnded{ID: id, Attempt: attempt, Result: res, Elapsed: elapsed, Final: res == OK})
}

// actionsOfKind returns the actions of one kind.
func actionsOfKind(actions []Action, kind ActionKind) (selected []Action) {
	for _, a := range actions {
		if a.Kind == kind {
			selected = append(selected, a)
		}
	}
	return selected
}

// finalAnswers returns the final answers among the actions: first those of kind Reject, then those of kind Fail.
func finalAnswers(actions []Action) []Action {
	return append(actionsOfKind(actions, Reject), actionsOfKind(actions, Fail)...)
}

// wantAttempt fails the test unless the actions start exactly one attempt, and returns the endpoint's ID.
func (r *rig) wantAttempt(actions []Action) string {
	r.t.Helper()
	starts := actionsOfKind(actions, StartAttempt)
	if len(starts) != 1 {
		r.t.Fatalf("got actions %+v, want one attempt", actions)
	}
	return starts[0].Upstream
}

// wantFinalAnswer fails the test unless the actions contain exactly one final answer, of the given kind, and no attempt.
func (r *rig) wantFinalAnswer(actions []Action, kind ActionKind) {
	r.t.Helper()
	if answers := finalAnswers(actions); len(answers) != 1 || answers[0].Kind != kind || len(actionsOfKind(actions, StartAttempt)) > 0 {
		r.t.Fatalf("got actions %+v, want one final answer of kind %d and no attempt", actions, kind)
	}
}

// wantNothing fails the test if the actions contain an attempt or a final answer.
func (r *rig) wantNothing(actions []Action) {
	r.t.Helper()
	if len(finalAnswers(actions)) > 0 || len(actionsOfKind(actions, StartAttempt)) > 0 {
		r.t.Fatalf("got actions %+v, want no attempt and no final answer", actions)
	}
}
