package balancer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// Guards against refactorings that change decisions by mistake. The decisions are a pure function of the settings, the seed
// and the events. If a random draw or an arithmetic step is reordered, the choices stay plausible and no other test fails.
// Seeded sequences of events of every kind are therefore passed to Handle, and a hash of all actions is compared with the
// recorded one. The hash does not cover the texts of Log actions, which may be reworded. A change that is meant to change decisions
// records the new hashes, and its commit gives the reason.
func TestDecisionTrace(t *testing.T) {
	hashes, ok := traceHashes[runtime.GOARCH]
	if !ok {
		t.Fatalf("no hashes are recorded for the architecture %s", runtime.GOARCH)
	}
	for endpoints, want := range hashes {
		t.Run(fmt.Sprint(endpoints), func(t *testing.T) {
			tr := newTrace(t, endpoints)
			for range 12_000 {
				tr.step()
			}
			if got := hex.EncodeToString(tr.digest.Sum(nil)[:16]); got != want {
				t.Errorf("actions of the trace: got hash %s, want %s (%d attempts, actions by kind %v)", got, want, tr.attemptCount, tr.actionCounts)
			}
			for kind := StartAttempt; kind <= ReportEvidence; kind++ {
				if tr.actionCounts[kind] == 0 && (endpoints == 10 || kind != ReportEvidence && kind != Subscribe && kind != Fail) {
					t.Errorf("got no action of kind %d in the trace, want some", kind)
				}
			}
		})
	}
}

// traceHashes has the recorded hash for each architecture and number of endpoints. math.Exp is implemented in assembly for each
// architecture, and the last bit of its result may differ: with one endpoint, one of the hashed results of Pressure does. The
// values for arm64 hold for builds without fused multiply-add (-gcflags=all=-d=fmahash=qn).
var traceHashes = map[string]map[int]string{
	"amd64": {
		1:   "8d558801df2a164d9ea3fc6547a42c46",
		10:  "3b0e083db5fbbbc2fc2af7fe62313a8a",
		300: "01a5256f104cb3e078d5afabc9df162a",
	},
	"arm64": {
		1:   "4a6e2440a94c5719e5f2e2bc5836ad92",
		10:  "3b0e083db5fbbbc2fc2af7fe62313a8a",
		300: "01a5256f104cb3e078d5afabc9df162a",
	},
}

// traceAttempt is a pending attempt.
type traceAttempt struct {
	id       string
	number   int
	upstream string
	sentAt   time.Duration
}

// trace sends a seeded sequence of events to a Balancer, and hashes the actions.
type trace struct {
	t             *testing.T
	endpoints     int
	b             *Balancer
	settings      Settings
	rng           *rand.Rand
	digest        hash.Hash
	now           time.Duration
	timerAt       time.Duration  // 0 if no timer is set
	nextRequest   int            // number of the next request
	attempts      map[string]int // number of attempts of each request
	pending       []traceAttempt
	bodiesPending []string // requests whose body is still being received
	banned        []string
	startedAt     map[string]time.Duration
	actionCounts  map[ActionKind]int
	attemptCount  int
	failing       string // endpoint at which 85% of attempts fail at present
}

func newTrace(t *testing.T, endpoints int) *trace {
	t.Helper()
	s := testSettings()
	s.FleetSize, s.ShareEvidence, s.CrossZoneCost, s.MustSubscribe = 4, true, 0.1, true
	s.SlowStartWindow, s.OverloadDuration = 3*time.Second, time.Second
	s.Classes = []Class{
		{Name: "read", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 1, LateValueFraction: 0.5},
		{Name: "write", LatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 3, Idempotency: NotIdempotent},
		{Name: "keyed", LatencyObjective: 150 * ms, Deadline: 900 * ms, PriorityWeight: 2, Idempotency: IdempotentByKey, KeyScope: KeyScopeCell, DedupWindow: 600 * ms, ObjectiveStretch: 0.5},
		{Name: "stream", LatencyObjective: 400 * ms, Deadline: 3 * time.Second, PriorityWeight: 0.5, Stream: true},
	}
	s.Tenants = []Tenant{{Name: "x", Quota: 0.5}, {Name: "y", Quota: 0.2}}
	s.OverQuotaFraction = 0.3
	b, err := New(s, uint64(endpoints))
	if err != nil {
		t.Fatal(err)
	}
	tr := &trace{t: t, endpoints: endpoints, b: b, settings: s, rng: rand.New(rand.NewPCG(uint64(endpoints), 7)), digest: sha256.New(),
		now: time.Minute, attempts: map[string]int{}, startedAt: map[string]time.Duration{}, actionCounts: map[ActionKind]int{}}
	tr.handle(EndpointUpdate{Kind: Cached, Endpoints: tr.entries()})
	tr.handle(EndpointUpdate{Kind: FullState, Endpoints: tr.entries()})
	return tr
}

func (tr *trace) endpointID(i int) string { return fmt.Sprint("u", i) }

func (tr *trace) randomEndpoint() string { return tr.endpointID(tr.rng.IntN(tr.endpoints)) }

// entry returns the list entry of an endpoint.
func (tr *trace) entry(id string) Endpoint {
	var i int
	_, _ = fmt.Sscanf(id, "u%d", &i)
	return Endpoint{Upstream: id, Zone: string(rune('a' + i%3)), Machine: fmt.Sprint("kind", i%2), Cell: i % 4, StartedAt: tr.startedAt[id],
		Weight: 1 + float64(i%5)/2}
}

// entries returns the entries of all endpoints.
func (tr *trace) entries() (list []Endpoint) {
	for i := range tr.endpoints {
		list = append(list, tr.entry(tr.endpointID(i)))
	}
	return list
}

// step advances the clock by a random time, 2 ms on average, and sends one random event.
func (tr *trace) step() {
	tr.now += time.Duration(tr.rng.ExpFloat64() * float64(2*ms))
	if tr.timerAt != 0 && tr.now >= tr.timerAt {
		tr.timerAt = 0
		tr.handle(TimerFired{})
	}
	switch n := tr.rng.IntN(1000); {
	case n < 400:
		tr.request()
	case n < 880:
		tr.attemptEnded()
	case n < 900:
		tr.bodyComplete()
	case n < 915:
		if len(tr.pending) > 0 {
			a := tr.pending[tr.rng.IntN(len(tr.pending))]
			tr.handle(FirstByte{ID: a.id, Attempt: a.number})
		}
	case n < 930:
		if tr.nextRequest > 0 {
			tr.handle(ClientDisconnected{ID: fmt.Sprint("r", max(0, tr.nextRequest-1-tr.rng.IntN(10)))})
		}
	case n < 950:
		tr.endpointUpdate()
	case n < 956:
		tr.ban()
	case n < 985:
		tr.verdict()
	case n < 988:
		tr.handle(EndpointUpdate{Kind: WatchFailed})
	case n < 990:
		s := tr.settings
		s.MaxAttempts = 2 + tr.rng.IntN(3)
		s.Hedging = tr.rng.IntN(4) > 0
		tr.handle(SettingsUpdate{Settings: s})
	case n < 991:
		tr.restart()
	case n < 996:
		tr.failing = tr.randomEndpoint()
	default:
		pressure, zone := tr.b.Pressure(tr.now)
		tr.hashNumbers(math.Float64bits(pressure), math.Float64bits(zone))
		for _, id := range tr.b.Ejected(tr.now) {
			tr.hashText(id)
		}
		tr.now += time.Duration(tr.rng.IntN(300)) * ms
	}
}

func (tr *trace) request() {
	class := tr.settings.Classes[tr.rng.IntN(len(tr.settings.Classes))]
	id := fmt.Sprint("r", tr.nextRequest)
	tr.nextRequest++
	e := Request{ID: id, Class: class.Name, Tenant: []string{"x", "y", "z"}[tr.rng.IntN(3)], ExpiresAt: tr.now + class.Deadline}
	if tr.rng.IntN(5) == 0 {
		e.ExpiresAt = tr.now + class.Deadline/3
	}
	if tr.rng.IntN(2) == 0 {
		e.CostHint = time.Duration(1+tr.rng.IntN(60)) * ms
	}
	if tr.rng.IntN(20) == 0 {
		e.BodyPending = true
		tr.bodiesPending = append(tr.bodiesPending, id)
	}
	tr.handle(e)
}

func (tr *trace) bodyComplete() {
	if len(tr.bodiesPending) == 0 {
		return
	}
	id := tr.bodiesPending[0]
	tr.bodiesPending = tr.bodiesPending[1:]
	tr.handle(BodyComplete{ID: id, ExpiresAt: tr.now + 800*ms})
}

// attemptEnded ends one of the four oldest pending attempts.
func (tr *trace) attemptEnded() {
	if len(tr.pending) == 0 {
		return
	}
	i := tr.rng.IntN(min(len(tr.pending), 4))
	a := tr.pending[i]
	tr.pending = append(tr.pending[:i], tr.pending[i+1:]...)
	res := OK
	if x := tr.rng.IntN(100); a.upstream == tr.failing && x < 85 {
		res = []Result{ServerError, Overloaded, ConnectFailed, Reset}[tr.nextRequest/500%4]
	} else if x < 20 {
		res = []Result{ServerError, Overloaded, Timeout, ConnectFailed, Reset, Cancelled, NotSent}[x%7]
	}
	tr.handle(AttemptEnded{ID: a.id, Attempt: a.number, Result: res, Elapsed: tr.now - a.sentAt, Final: res == OK, BodyConsumed: tr.rng.IntN(50) == 0})
}

func (tr *trace) endpointUpdate() {
	id := tr.randomEndpoint()
	switch tr.rng.IntN(4) {
	case 0:
		entry := tr.entry(id)
		entry.State = EndpointState(1 + tr.rng.IntN(2))
		tr.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{entry}})
	case 1:
		tr.startedAt[id] = tr.now - time.Duration(tr.rng.IntN(500))*ms
		tr.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{tr.entry(id)}})
	case 2:
		tr.handle(EndpointUpdate{Kind: FullState, Endpoints: tr.entries()})
	case 3:
		tr.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{tr.entry(id)}})
	}
}

func (tr *trace) ban() {
	if len(tr.banned) > 0 && (tr.endpoints == 1 || tr.rng.IntN(2) == 0) {
		tr.handle(Ban{Upstream: tr.banned[0], Cleared: true})
		tr.banned = tr.banned[1:]
		return
	}
	id := tr.randomEndpoint()
	tr.banned = append(tr.banned, id)
	tr.handle(Ban{Upstream: id})
}

func (tr *trace) verdict() {
	id := tr.randomEndpoint()
	e := PeerVerdict{Upstream: id, StartedAt: tr.startedAt[id], Until: tr.now + time.Duration(tr.rng.IntN(3000))*ms, Since: tr.now - 50*ms,
		PassFraction: float64(tr.rng.IntN(3)) / 4, Probes: ProbeOwner(tr.rng.IntN(3))}
	if tr.rng.IntN(3) == 0 {
		e.Class = tr.settings.Classes[tr.rng.IntN(len(tr.settings.Classes))].Name
	}
	if tr.rng.IntN(4) == 0 {
		e.Until, e.ProbeSucceeded = 0, tr.rng.IntN(2) == 0
	}
	tr.handle(e)
}

// restart replaces the Balancer by a new one that starts from the old one's snapshot.
func (tr *trace) restart() {
	snapshot := tr.b.Snapshot(tr.now)
	snapshot.Age(time.Duration(tr.rng.IntN(4000))*ms, tr.rng.IntN(2) == 0)
	b, err := New(tr.settings, uint64(tr.nextRequest))
	if err != nil {
		tr.t.Fatal(err)
	}
	tr.b, tr.pending, tr.bodiesPending, tr.attempts, tr.timerAt = b, nil, nil, map[string]int{}, 0
	for _, id := range tr.banned {
		tr.handle(Ban{Upstream: id})
	}
	tr.handle(EndpointUpdate{Kind: FullState, Endpoints: tr.entries()})
	tr.handle(snapshot)
}

// handle sends an event, and adds its actions to the hash.
func (tr *trace) handle(e Event) {
	for _, a := range tr.b.Handle(tr.now, e, nil) {
		tr.actionCounts[a.Kind]++
		tr.hashNumbers(uint64(a.Kind), uint64(a.Attempt), uint64(a.Timeout), uint64(a.RetryAfter), uint64(a.At), uint64(a.Evidence), uint64(a.Count))
		for _, x := range []string{a.ID, a.Upstream, a.Class, fmt.Sprint(a.Suspicion, a.Probe)} {
			tr.hashText(x)
		}
		switch a.Kind {
		case StartAttempt:
			tr.attemptCount++
			tr.pending = append(tr.pending, traceAttempt{a.ID, tr.attempts[a.ID], a.Upstream, tr.now})
			tr.attempts[a.ID]++
		case SetTimer:
			tr.timerAt = a.At
		}
	}
}

func (tr *trace) hashNumbers(xs ...uint64) {
	for _, x := range xs {
		_ = binary.Write(tr.digest, binary.LittleEndian, x)
	}
}

func (tr *trace) hashText(x string) {
	tr.hashNumbers(uint64(len(x)))
	_, _ = tr.digest.Write([]byte(x))
}
