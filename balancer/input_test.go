package balancer

import (
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestNewNamesTheBadSetting(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes":           func(s *Settings) { s.Classes = nil },
		"Name":              func(s *Settings) { s.Classes[0].Name = "" },
		"LatencyObjective":  func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"Deadline":          func(s *Settings) { s.Classes[0].Deadline = 0 },
		"Idempotency":       func(s *Settings) { s.Classes[0].Idempotency = 7 },
		"KeyScope":          func(s *Settings) { s.Classes[0].Idempotency, s.Classes[0].KeyScope = IdempotentByKey, -1 },
		"DedupWindow":       func(s *Settings) { s.Classes[0].Idempotency, s.Classes[0].DedupWindow = IdempotentByKey, -1 },
		"PriorityWeight":    func(s *Settings) { s.Classes[0].PriorityWeight = -1 },
		"Tick":              func(s *Settings) { s.Tick = -1 },
		"SlowStartWindow":   func(s *Settings) { s.SlowStartWindow = -1 },
		"OverloadMultiple":  func(s *Settings) { s.OverloadMultiple = -1 },
		"MaxAttempts":       func(s *Settings) { s.MaxAttempts = -1 },
		"CrossZoneCost":     func(s *Settings) { s.CrossZoneCost = -1 },
		"SlowStartCapacity": func(s *Settings) { s.SlowStartCapacity = 1.5 },
		"OverQuotaFraction": func(s *Settings) { s.OverQuotaFraction = math.NaN() },
		"LateValueFraction": func(s *Settings) { s.Classes[0].LateValueFraction = 1.2 },
		"ObjectiveStretch":  func(s *Settings) { s.Classes[0].ObjectiveStretch = math.Inf(1) },
		"Quota":             func(s *Settings) { s.Tenants = []Tenant{{Name: "t", Quota: -0.1}} },
		"FleetSize":         func(s *Settings) { s.FleetSize = -2 },
		"OverloadDuration":  func(s *Settings) { s.OverloadDuration = -1 },
		"MaxRetryAfter":     func(s *Settings) { s.MaxRetryAfter = -1 },
		"ConnectTimeout":    func(s *Settings) { s.ConnectTimeout = -1 },
	} {
		s := testSettings()
		change(&s)
		_, err := New(s, 1)
		var invalid *SettingError
		if !errors.As(err, &invalid) || invalid.Setting != want && invalid.Field != want || !strings.Contains(err.Error(), want) {
			t.Errorf("invalid %s: got error %v, want a SettingError that names it", want, err)
		}
	}
	if _, err := New(Settings{Classes: []Class{{Name: "c", Deadline: time.Second}}}, 1); err != nil {
		t.Errorf("settings without optional values: got error %v, want defaults", err)
	}
}

// With a class as the only setting, a request is sent and answered.
func TestBareSettings(t *testing.T) {
	r := newRig(t, Settings{Classes: []Class{{Name: "c", Deadline: time.Second}}})
	r.setEndpoints(1)
	r.wantAttempt(r.request("1", "c", time.Second))
	r.wantNothing(r.endAttempt("1", 0, OK, 10*ms))
	r.wantNothing(r.advance(2 * time.Second))
}

func TestInvalidInputIsHarmless(t *testing.T) {
	r := newRig(t, testSettings())
	r.updateEndpoints(FullState) // empty list
	r.wantFinalAnswer(r.request("?", "no such class", time.Second), Reject)
	r.setEndpoints(1)
	r.wantAttempt(r.request("1", "c", time.Second))
	r.wantNothing(r.request("1", "c", time.Second)) // a repeated ID
	r.wantNothing(r.endAttempt("1", 5, OK, 10*ms))  // there is no such attempt
	r.wantNothing(r.endAttempt("1", -1, OK, 10*ms))
	r.wantNothing(r.endAttempt("1", 0, OK, 10*ms))
	r.wantNothing(r.endAttempt("1", 0, Reset, 10*ms)) // the attempt has ended already
	r.wantNothing(r.handle(ClientDisconnected{ID: "1"}))
	r.now -= time.Second // time that goes back counts as unchanged
	r.wantAttempt(r.handle(Request{ID: "2", Class: "c", Tenant: "stranger", ExpiresAt: r.now + 3*time.Second}))
	r.wantNothing(r.handle(ClientDisconnected{ID: "2"}))
	r.wantNothing(r.endAttempt("2", 0, OK, 10*ms))
	actions := r.request("3", "c", -time.Second) // it has expired already
	actions = append(actions, r.advance(time.Second+20*ms)...)
	if len(finalAnswers(actions)) != 1 || len(actionsOfKind(actions, StartAttempt)) != 0 {
		t.Errorf("expired request: got actions %+v, want one final answer and no attempt", actions)
	}
}

// Requests that have ended and endpoints that were removed are not retained.
func TestForgets(t *testing.T) {
	r := newRig(t, testSettings())
	r.setEndpoints(3)
	for i := range 1000 {
		id := time.Duration(i).String()
		r.request(id, "c", time.Second)
		r.endAttempt(id, 0, OK, 10*ms)
		r.advance(5 * ms)
	}
	r.updateEndpoints(FullState, Endpoint{Upstream: "new"})
	r.advance(2 * time.Second)
	if len(r.b.requests) != 0 || len(r.b.endpoints.byID) != 1 || len(r.b.endpoints.order) != 1 || r.b.timers.Len() != 0 {
		t.Errorf("got %d requests, %d endpoints, %d in order, %d timers; want 0, 1, 1, 0", len(r.b.requests), len(r.b.endpoints.byID), len(r.b.endpoints.order),
			r.b.timers.Len())
	}
}

// Equal events and seeds give equal actions.
func TestDeterministic(t *testing.T) {
	run := func() (all []Action) {
		r := newRig(t, testSettings())
		r.setEndpoints(8)
		for i := range 300 {
			id := time.Duration(i).String()
			all = append(all, r.request(id, "c", time.Second)...)
			if i%3 == 0 {
				all = append(all, r.endAttempt(id, 0, Result(i/3%7), 20*ms)...)
			}
			all = append(all, r.advance(5*ms)...)
		}
		return all
	}
	a, b := run(), run()
	if len(a) != len(b) {
		t.Fatalf("got %d and %d actions in two runs, want equal numbers", len(a), len(b))
	}
	for i := range a {
		if !reflect.DeepEqual(a[i], b[i]) {
			t.Fatalf("action %d of two runs: got %+v and %+v, want equal ones", i, a[i], b[i])
		}
	}
}

// A repeated endpoint list does not change what was learned.
func TestRepeatedListChangesNothing(t *testing.T) {
	r := newRig(t, testSettings())
	entries := []Endpoint{{Upstream: "a", Machine: "m"}, {Upstream: "b", Machine: "m"}}
	r.updateEndpoints(FullState, entries...)
	r.wantAttempt(r.request("1", "c", time.Second))
	r.now += 50 * ms
	r.endAttempt("1", 0, OK, 50*ms)
	before := []*endpoint{r.b.endpoints.order[0], r.b.endpoints.order[1]}
	saved := []endpoint{*before[0], *before[1]}
	r.updateEndpoints(FullState, entries...)
	r.updateEndpoints(Cached, entries...)
	for i, ep := range before {
		if r.b.endpoints.order[i] != ep || ep.latency != saved[i].latency || ep.slowStart.active || ep.health.lastAnswerAt != saved[i].health.lastAnswerAt {
			t.Errorf("endpoint after a repeated list: got %+v, want %+v", *r.b.endpoints.order[i], saved[i])
		}
	}
}
