package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The four rules, checked on the stream of actions under random legal events. This knows nothing of the balancer.

type checkedAttempt struct {
	upstream, zone      string
	cell                int
	sentAt, deadline    time.Duration
	pending, mayHaveRun bool
}

type checkedRequest struct {
	class        Class
	expiresAt    time.Duration
	attempts     []*checkedAttempt
	answers      int
	done         bool // an end was reported or given
	disconnected bool
}

type ruleChecker struct {
	t        *testing.T
	settings Settings
	now      time.Duration
	requests map[string]*checkedRequest
	openIDs  []string
	active   map[string]Endpoint
	timers   []time.Duration
}

func (f *ruleChecker) checkAction(a Action) {
	f.t.Helper()
	q := f.requests[a.ID]
	if q == nil && a.Kind <= Fail {
		f.t.Fatalf("action for unknown request: %+v", a)
	}
	switch a.Kind {
	case StartAttempt:
		f.checkAttempt(a, q)
	case CancelAttempt:
		if !f.settings.Cancellation {
			f.t.Fatal("cancel is not allowed")
		}
		if a.Attempt < 0 || a.Attempt >= len(q.attempts) {
			f.t.Fatalf("cancel of attempt %d, never made", a.Attempt)
		}
	case Reject, Fail:
		if a.Kind == Reject && (q.class.Idempotency != Idempotent && (q.class.Idempotency != IdempotentByKey || q.class.KeyScope != KeyScopeAll)) &&
			slices.ContainsFunc(q.attempts, func(x *checkedAttempt) bool { return x.mayHaveRun }) {
			f.t.Fatalf("refused %s, which may have run", a.ID)
		}
		if q.done {
			f.t.Fatalf("second answer to %s", a.ID)
		}
		q.answers, q.done = q.answers+1, true
	case SetTimer:
		f.timers = append(f.timers, a.At)
	}
}

func (f *ruleChecker) checkAttempt(a Action, q *checkedRequest) {
	f.t.Helper()
	m, listed := f.active[a.Upstream]
	switch {
	case q.done:
		f.t.Fatalf("%s: attempt after its end", a.ID)
	case f.now >= q.expiresAt:
		f.t.Fatalf("%s: attempt after its time", a.ID)
	case !listed:
		f.t.Fatalf("%s: attempt to %s, which drains or is gone", a.ID, a.Upstream)
	case len(q.attempts) >= f.settings.MaxAttempts:
		f.t.Fatalf("%s: attempt %d of %d", a.ID, len(q.attempts)+1, f.settings.MaxAttempts)
	}
	for _, x := range q.attempts {
		if x.pending && !f.settings.Hedging {
			f.t.Fatalf("%s: two attempts out", a.ID)
		}
		if !x.mayHaveRun {
			continue
		}
		c := q.class
		if c.Idempotency == NotIdempotent {
			f.t.Fatalf("%s: unsafe, and sent again", a.ID)
		}
		if c.Idempotency == IdempotentByKey && (f.now-x.sentAt > c.DedupWindow || c.KeyScope == KeyScopeZone && x.zone != m.Zone ||
			c.KeyScope == KeyScopeCell && x.cell != m.Cell) {
			f.t.Fatalf("%s: keyed, and sent outside its group or window", a.ID)
		}
	}
	limit := q.expiresAt
	if a.Timeout != 0 {
		limit = min(limit, f.now+a.Timeout)
	}
	q.attempts = append(q.attempts, &checkedAttempt{a.Upstream, m.Zone, m.Cell, f.now, limit, true, true})
}

func randomSettings(g *rand.Rand) Settings {
	s := testSettings()
	s.Hedging, s.Cancellation, s.RetryAfter = g.IntN(2) == 0, g.IntN(2) == 0, g.IntN(2) == 0
	s.MustSubscribe = g.IntN(2) == 0
	s.MaxAttempts = 1 + g.IntN(5)
	s.CrossZoneCost = []float64{0, 0.01, 0.2}[g.IntN(3)]
	s.OverloadMultiple = float64(g.IntN(4))
	s.Zone = []string{"a", "a", ""}[g.IntN(3)]
	s.WeightByWork, s.OverQuotaFraction = g.IntN(2) == 0, float64(g.IntN(2))/2
	s.Tenants = []Tenant{{Name: "t", Quota: 0.5}, {Name: "v", Quota: 0.5}}[:g.IntN(3)]
	s.Classes = nil
	for e := Idempotent; e <= NotIdempotent; e++ {
		for group := KeyScopeAll; group <= KeyScopeCell; group++ {
			objective := time.Duration(50+g.IntN(400)) * ms
			s.Classes = append(s.Classes, Class{Name: fmt.Sprint(e, group), LatencyObjective: objective, Deadline: objective * time.Duration(1+g.IntN(4)) / 2, Idempotency: e,
				KeyScope: group, DedupWindow: time.Duration(20+g.IntN(800)) * ms, LateValueFraction: float64(g.IntN(2)) / 2,
				PriorityWeight: float64(1 + g.IntN(9)), ObjectiveStretch: float64(g.IntN(2)), Stream: g.IntN(4) == 0})
		}
	}
	return s
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		g := rand.New(rand.NewPCG(seed, 7))
		s := randomSettings(g)
		s.ShareEvidence = seed%3 == 0
		b, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		f := &ruleChecker{t: t, settings: s, now: time.Hour, requests: map[string]*checkedRequest{}, active: map[string]Endpoint{}}
		deal := func(e Event) {
			for _, a := range b.Handle(f.now, e, nil) {
				f.checkAction(a)
			}
		}
		runRandomEvents(f, g, deal, 1200)
		if n := len(b.requests); n != 0 {
			t.Fatalf("seed %d: %d requests kept after all have ended", seed, n)
		}
	}
}

// runRandomEvents plays ticks with random events, then lets all that is open end.
func runRandomEvents(f *ruleChecker, g *rand.Rand, deal func(Event), ticks int) {
	deal(EndpointUpdate{Kind: Cached})
	for i := range ticks + 1000 {
		f.now += f.settings.Tick + time.Duration(g.IntN(2000))*time.Microsecond
		if i < ticks {
			f.sendRandomUpdate(g, deal)
			for range g.IntN(4) {
				f.sendRandomRequest(g, deal, i)
			}
			f.sendIrrelevantEvents(g, deal)
		}
		f.fireTimers(deal)
		f.endRandomAttempts(g, deal)
	}
	for id, q := range f.requests {
		if !q.done {
			f.t.Fatalf("%s never answered", id)
		}
	}
}

func (f *ruleChecker) sendRandomUpdate(g *rand.Rand, deal func(Event)) {
	if g.IntN(20) > 0 {
		return
	}
	if g.IntN(6) == 0 {
		deal(EndpointUpdate{Kind: WatchFailed})
		return
	}
	var entries []Endpoint
	kind := Delta
	if g.IntN(5) == 0 {
		kind = FullState
		clear(f.active)
	}
	for range g.IntN(8) {
		n := g.IntN(10)
		m := Endpoint{Upstream: fmt.Sprint("u", n), Zone: []string{"a", "b"}[n%2], Cell: n % 4, State: EndpointState(g.IntN(3))}
		if g.IntN(2) == 0 {
			m.State = Active
		}
		if g.IntN(3) == 0 {
			m.StartedAt = f.now - time.Duration(g.IntN(12000))*ms
		}
		delete(f.active, m.Upstream)
		if m.State == Active {
			f.active[m.Upstream] = m
		}
		entries = append(entries, m)
	}
	deal(EndpointUpdate{Kind: kind, Endpoints: entries})
}

func (f *ruleChecker) sendRandomRequest(g *rand.Rand, deal func(Event), i int) {
	c := f.settings.Classes[g.IntN(len(f.settings.Classes))]
	id := fmt.Sprint(i, "-", g.Uint32())
	q := &checkedRequest{class: c, expiresAt: f.now + time.Duration(1+g.IntN(int(c.Deadline/ms)))*ms}
	f.requests[id], f.openIDs = q, append(f.openIDs, id)
	deal(Request{ID: id, Class: c.Name, Tenant: []string{"t", "v", "?"}[g.IntN(3)], ExpiresAt: q.expiresAt,
		CostHint: time.Duration(g.IntN(3)*g.IntN(100)) * ms})
	if g.IntN(50) == 0 && !q.done {
		q.done, q.disconnected = true, true
		deal(ClientDisconnected{ID: id})
	}
}

// sendIrrelevantEvents is what must change nothing: strangers, repeats, stale timers, messages, and for the rules what others say.
func (f *ruleChecker) sendIrrelevantEvents(g *rand.Rand, deal func(Event)) {
	if f.settings.ShareEvidence && g.IntN(10) == 0 {
		m := f.active[fmt.Sprint("u", g.IntN(10))]
		deal(PeerVerdict{Upstream: m.Upstream, StartedAt: m.StartedAt, Until: f.now + time.Duration(g.IntN(3000))*ms, Since: f.now,
			PassFraction: float64(g.IntN(3)) / 2, Probes: ProbeOwner(g.IntN(3)), ProbeSucceeded: g.IntN(2) == 0})
	}
	switch g.IntN(12) {
	case 0:
		deal(AttemptEnded{ID: "nobody", Result: OK, Final: true})
	case 1:
		if n := len(f.openIDs); n > 0 {
			id := f.openIDs[g.IntN(n)]
			deal(AttemptEnded{ID: id, Attempt: len(f.requests[id].attempts) + g.IntN(3) - 1 + 1, Result: OK, Final: true})
		}
	case 2:
		deal(TimerFired{})
	case 3:
		deal(ClientDisconnected{ID: "nobody"})
		deal(FirstByte{ID: "nobody"})
	}
}

func (f *ruleChecker) fireTimers(deal func(Event)) {
	due := 0
	f.timers = slices.DeleteFunc(f.timers, func(at time.Duration) bool {
		if at <= f.now {
			due++
		}
		return at <= f.now
	})
	for range due {
		deal(TimerFired{})
	}
}

func (f *ruleChecker) endRandomAttempts(g *rand.Rand, deal func(Event)) {
	for _, id := range f.openIDs {
		q := f.requests[id]
		for n := 0; n < len(q.attempts); n++ {
			x := q.attempts[n]
			if !x.pending || f.now < x.deadline && g.IntN(12) > 0 {
				continue
			}
			res := Result(g.IntN(int(NotSent) + 1))
			if f.now >= x.deadline {
				res = Timeout
			}
			x.pending = false
			x.mayHaveRun = res != Overloaded && res != ConnectFailed && res != NotSent
			if res == OK {
				q.done = true
			}
			e := AttemptEnded{ID: id, Attempt: n, Result: res, Elapsed: f.now - x.sentAt, Final: q.done}
			deal(e)
			if g.IntN(10) == 0 {
				deal(e) // the same again
			}
		}
		if !q.done && f.now > q.expiresAt+20*ms {
			f.t.Fatalf("%s: no answer %v after its time", id, f.now-q.expiresAt)
		}
	}
	f.openIDs = slices.DeleteFunc(f.openIDs, func(id string) bool {
		q := f.requests[id]
		return q.done && !slices.ContainsFunc(q.attempts, func(x *checkedAttempt) bool { return x.pending })
	})
}
