package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The rules of package balancer are checked on the actions that follow random valid events. ruleChecker knows only events and
// actions, and not the Balancer's code or state.

// checkedAttempt is an attempt as seen by a ruleChecker.
type checkedAttempt struct {
	upstream, zone      string
	cell                int
	sentAt, deadline    time.Duration
	pending, mayHaveRun bool
}

// checkedRequest is a request as seen by a ruleChecker.
type checkedRequest struct {
	class        Class
	expiresAt    time.Duration
	attempts     []*checkedAttempt
	answers      int
	done         bool // it has its final answer, or its client has disconnected
	disconnected bool
}

// ruleChecker checks each action against the rules and the events so far.
type ruleChecker struct {
	t        *testing.T
	settings Settings
	now      time.Duration
	requests map[string]*checkedRequest
	openIDs  []string // requests without a final answer or with a pending attempt, in order
	active   map[string]Endpoint
	timers   []time.Duration // times of SetTimer actions that have not fired
}

func (c *ruleChecker) checkAction(a Action) {
	c.t.Helper()
	req := c.requests[a.ID]
	if req == nil && a.Kind <= Fail {
		c.t.Fatalf("got action %+v for an unknown request, want none", a)
	}
	switch a.Kind {
	case StartAttempt:
		c.checkAttempt(a, req)
	case CancelAttempt:
		if !c.settings.Cancellation {
			c.t.Fatalf("request %s: got CancelAttempt without the Cancellation setting, want none", a.ID)
		}
		if a.Attempt < 0 || a.Attempt >= len(req.attempts) {
			c.t.Fatalf("request %s: got CancelAttempt of attempt %d, want one of the %d attempts made", a.ID, a.Attempt, len(req.attempts))
		}
	case Reject, Fail:
		if a.Kind == Reject && (req.class.Idempotency != Idempotent && (req.class.Idempotency != IdempotentByKey || req.class.KeyScope != KeyScopeAll)) &&
			slices.ContainsFunc(req.attempts, func(attempt *checkedAttempt) bool { return attempt.mayHaveRun }) {
			c.t.Fatalf("request %s: got Reject although it may have run, want Fail", a.ID)
		}
		if req.done {
			c.t.Fatalf("request %s: got a second final answer %+v, want one", a.ID, a)
		}
		req.answers, req.done = req.answers+1, true
	case SetTimer:
		c.timers = append(c.timers, a.At)
	}
}

// checkAttempt checks a StartAttempt action of a request, and records the attempt.
func (c *ruleChecker) checkAttempt(a Action, req *checkedRequest) {
	c.t.Helper()
	entry, listed := c.active[a.Upstream]
	switch {
	case req.done:
		c.t.Fatalf("request %s: got an attempt after its final answer or the client's disconnection", a.ID)
	case c.now >= req.expiresAt:
		c.t.Fatalf("request %s: got an attempt at %v, want none from %v on", a.ID, c.now, req.expiresAt)
	case !listed:
		c.t.Fatalf("request %s: got an attempt at %s, want none at draining or removed endpoints", a.ID, a.Upstream)
	case len(req.attempts) >= c.settings.MaxAttempts:
		c.t.Fatalf("request %s: got %d attempts, want %d or fewer", a.ID, len(req.attempts)+1, c.settings.MaxAttempts)
	}
	for _, earlier := range req.attempts {
		if earlier.pending && !c.settings.Hedging {
			c.t.Fatalf("request %s: got two pending attempts without hedging, want one", a.ID)
		}
		if !earlier.mayHaveRun {
			continue
		}
		class := req.class
		if class.Idempotency == NotIdempotent {
			c.t.Fatalf("request %s: got another attempt although it must not run twice and may have run", a.ID)
		}
		if class.Idempotency == IdempotentByKey && (c.now-earlier.sentAt > class.DedupWindow || class.KeyScope == KeyScopeZone && earlier.zone != entry.Zone ||
			class.KeyScope == KeyScopeCell && earlier.cell != entry.Cell) {
			c.t.Fatalf("request %s: got an attempt at %s outside the key scope or dedup window of attempt %+v", a.ID, a.Upstream, *earlier)
		}
	}
	deadline := req.expiresAt
	if a.Timeout != 0 {
		deadline = min(deadline, c.now+a.Timeout)
	}
	req.attempts = append(req.attempts, &checkedAttempt{a.Upstream, entry.Zone, entry.Cell, c.now, deadline, true, true})
}

// randomSettings returns random valid settings with a class for each Idempotency and KeyScope.
func randomSettings(rng *rand.Rand) Settings {
	s := testSettings()
	s.Hedging, s.Cancellation, s.RetryAfter = rng.IntN(2) == 0, rng.IntN(2) == 0, rng.IntN(2) == 0
	s.MustSubscribe = rng.IntN(2) == 0
	s.MaxAttempts = 1 + rng.IntN(5)
	s.CrossZoneCost = []float64{0, 0.01, 0.2}[rng.IntN(3)]
	s.OverloadMultiple = float64(rng.IntN(4))
	s.Zone = []string{"a", "a", ""}[rng.IntN(3)]
	s.WeightByWork, s.OverQuotaFraction = rng.IntN(2) == 0, float64(rng.IntN(2))/2
	s.Tenants = []Tenant{{Name: "t", Quota: 0.5}, {Name: "v", Quota: 0.5}}[:rng.IntN(3)]
	s.Classes = nil
	for e := Idempotent; e <= NotIdempotent; e++ {
		for scope := KeyScopeAll; scope <= KeyScopeCell; scope++ {
			objective := time.Duration(50+rng.IntN(400)) * ms
			s.Classes = append(s.Classes, Class{Name: fmt.Sprint(e, scope), LatencyObjective: objective, Deadline: objective * time.Duration(1+rng.IntN(4)) / 2, Idempotency: e,
				KeyScope: scope, DedupWindow: time.Duration(20+rng.IntN(800)) * ms, LateValueFraction: float64(rng.IntN(2)) / 2,
				PriorityWeight: float64(1 + rng.IntN(9)), ObjectiveStretch: float64(rng.IntN(2)), Stream: rng.IntN(4) == 0})
		}
	}
	return s
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s := randomSettings(rng)
		s.ShareEvidence = seed%3 == 0
		b, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		checker := &ruleChecker{t: t, settings: s, now: time.Hour, requests: map[string]*checkedRequest{}, active: map[string]Endpoint{}}
		send := func(e Event) {
			for _, a := range b.Handle(checker.now, e, nil) {
				checker.checkAction(a)
			}
		}
		runRandomEvents(checker, rng, send, 1200)
		if n := len(b.requests); n != 0 {
			t.Fatalf("seed %d: got %d requests stored after all have ended, want 0", seed, n)
		}
	}
}

// runRandomEvents sends random events for some ticks, then only those that end the open requests.
func runRandomEvents(checker *ruleChecker, rng *rand.Rand, send func(Event), ticks int) {
	send(EndpointUpdate{Kind: Cached})
	for i := range ticks + 1000 {
		checker.now += checker.settings.Tick + time.Duration(rng.IntN(2000))*time.Microsecond
		if i < ticks {
			checker.sendRandomUpdate(rng, send)
			for range rng.IntN(4) {
				checker.sendRandomRequest(rng, send, i)
			}
			checker.sendIrrelevantEvents(rng, send)
		}
		checker.fireTimers(send)
		checker.endRandomAttempts(rng, send)
	}
	for id, req := range checker.requests {
		if !req.done {
			checker.t.Fatalf("request %s: got no final answer, want one", id)
		}
	}
}

// sendRandomUpdate sends a random EndpointUpdate in 1 of 20 calls.
func (c *ruleChecker) sendRandomUpdate(rng *rand.Rand, send func(Event)) {
	if rng.IntN(20) > 0 {
		return
	}
	if rng.IntN(6) == 0 {
		send(EndpointUpdate{Kind: WatchFailed})
		return
	}
	var entries []Endpoint
	kind := Delta
	if rng.IntN(5) == 0 {
		kind = FullState
		clear(c.active)
	}
	for range rng.IntN(8) {
		n := rng.IntN(10)
		entry := Endpoint{Upstream: fmt.Sprint("u", n), Zone: []string{"a", "b"}[n%2], Cell: n % 4, State: EndpointState(rng.IntN(3))}
		if rng.IntN(2) == 0 {
			entry.State = Active
		}
		if rng.IntN(3) == 0 {
			entry.StartedAt = c.now - time.Duration(rng.IntN(12000))*ms
		}
		delete(c.active, entry.Upstream)
		if entry.State == Active {
			c.active[entry.Upstream] = entry
		}
		entries = append(entries, entry)
	}
	send(EndpointUpdate{Kind: kind, Endpoints: entries})
}

// sendRandomRequest sends a request and, for 1 of 50, the disconnection of its client.
func (c *ruleChecker) sendRandomRequest(rng *rand.Rand, send func(Event), tick int) {
	class := c.settings.Classes[rng.IntN(len(c.settings.Classes))]
	id := fmt.Sprint(tick, "-", rng.Uint32())
	req := &checkedRequest{class: class, expiresAt: c.now + time.Duration(1+rng.IntN(int(class.Deadline/ms)))*ms}
	c.requests[id], c.openIDs = req, append(c.openIDs, id)
	send(Request{ID: id, Class: class.Name, Tenant: []string{"t", "v", "?"}[rng.IntN(3)], ExpiresAt: req.expiresAt,
		CostHint: time.Duration(rng.IntN(3)*rng.IntN(100)) * ms})
	if rng.IntN(50) == 0 && !req.done {
		req.done, req.disconnected = true, true
		send(ClientDisconnected{ID: id})
	}
}

// sendIrrelevantEvents sends random events that must not affect the rules: those with unknown requests or attempts, early
// timers, and verdicts of other sidecars.
func (c *ruleChecker) sendIrrelevantEvents(rng *rand.Rand, send func(Event)) {
	if c.settings.ShareEvidence && rng.IntN(10) == 0 {
		entry := c.active[fmt.Sprint("u", rng.IntN(10))]
		send(PeerVerdict{Upstream: entry.Upstream, StartedAt: entry.StartedAt, Until: c.now + time.Duration(rng.IntN(3000))*ms, Since: c.now,
			PassFraction: float64(rng.IntN(3)) / 2, Probes: ProbeOwner(rng.IntN(3)), ProbeSucceeded: rng.IntN(2) == 0})
	}
	switch rng.IntN(12) {
	case 0:
		send(AttemptEnded{ID: "nobody", Result: OK, Final: true})
	case 1:
		if n := len(c.openIDs); n > 0 {
			id := c.openIDs[rng.IntN(n)]
			send(AttemptEnded{ID: id, Attempt: len(c.requests[id].attempts) + rng.IntN(3) - 1 + 1, Result: OK, Final: true})
		}
	case 2:
		send(TimerFired{})
	case 3:
		send(ClientDisconnected{ID: "nobody"})
		send(FirstByte{ID: "nobody"})
	}
}

// fireTimers sends a TimerFired for each timer that is due.
func (c *ruleChecker) fireTimers(send func(Event)) {
	due := 0
	c.timers = slices.DeleteFunc(c.timers, func(at time.Duration) bool {
		if at <= c.now {
			due++
		}
		return at <= c.now
	})
	for range due {
		send(TimerFired{})
	}
}

// endRandomAttempts ends each pending attempt with a probability of 1 in 12, or when it times out, with a random result.
func (c *ruleChecker) endRandomAttempts(rng *rand.Rand, send func(Event)) {
	for _, id := range c.openIDs {
		req := c.requests[id]
		for n := 0; n < len(req.attempts); n++ {
			attempt := req.attempts[n]
			if !attempt.pending || c.now < attempt.deadline && rng.IntN(12) > 0 {
				continue
			}
			res := Result(rng.IntN(int(NotSent) + 1))
			if c.now >= attempt.deadline {
				res = Timeout
			}
			attempt.pending = false
			attempt.mayHaveRun = res != Overloaded && res != ConnectFailed && res != NotSent
			if res == OK {
				req.done = true
			}
			e := AttemptEnded{ID: id, Attempt: n, Result: res, Elapsed: c.now - attempt.sentAt, Final: req.done}
			send(e)
			if rng.IntN(10) == 0 {
				send(e) // a repeated event
			}
		}
		if !req.done && c.now > req.expiresAt+20*ms {
			c.t.Fatalf("request %s: got no final answer %v after it expired, want one in time", id, c.now-req.expiresAt)
		}
	}
	c.openIDs = slices.DeleteFunc(c.openIDs, func(id string) bool {
		req := c.requests[id]
		return req.done && !slices.ContainsFunc(req.attempts, func(attempt *checkedAttempt) bool { return attempt.pending })
	})
}
