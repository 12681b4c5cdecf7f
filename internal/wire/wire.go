// Package wire converts the simulator's messages and the platform's settings to the types of package balancer, and back. All
// names that the platform defines are in this package. It makes no decisions.
package wire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"mosslead/balancer"
)

// timerCookie identifies an instance's timer in the protocol. An instance has only one timer, so the cookie is constant.
const timerCookie = "w"

type batch struct {
	NowMs  float64           `json:"TsMs"`
	Events []json.RawMessage `json:"in"`
}

// event holds the decoded fields of all event verbs.
type event struct {
	Verb       string        `json:"verb"`
	Instance   int           `json:"I"`
	Seed       json.Number   `json:"Prng"`
	Settings   *settingsFile `json:"Env"`
	Table      int           `json:"Table"`
	Endpoints  []endpoint    `json:"MembersList"`
	Scope      string        `json:"Scope"`
	ID         string        `json:"Id"`
	Class      string        `json:"Type"`
	Tenant     any           `json:"Billing"` // any type is accepted; only a string is used
	ExpiresMs  float64       `json:"ExpiresMs"`
	CostHintMs float64       `json:"PredictedMs"`
	Flags      int           `json:"Bits"`
	Attempt    int           `json:"Hop"`
	Upstream   string        `json:"Upstream"`
	Result     int           `json:"Result"`
	ElapsedMs  float64       `json:"ElapsedMs"`
	Final      bool          `json:"Finished"`
}

type endpoint struct {
	Zone      string  `json:"RackZone"`
	Cell      int     `json:"Cell"`
	State     string  `json:"StageState"`
	Upstream  string  `json:"Upstream"`
	Machine   string  `json:"Machine"`
	StartedMs float64 `json:"CameUpMs"`
	Weight    float64 `json:"Weight"`
}

// action is an action of any verb on the wire.
type action struct {
	Verb         string  `json:"verb"`
	Instance     int     `json:"I"`
	ID           string  `json:"Id,omitempty"`
	Upstream     string  `json:"Upstream,omitempty"`
	TimeoutMs    float64 `json:"LimitMs,omitempty"`
	Attempt      *int    `json:"Hop,omitempty"`
	RetryAfterMs float64 `json:"RetryInMs,omitempty"`
	AtMs         float64 `json:"MomentMs,omitempty"`
	Cookie       string  `json:"Cookie,omitempty"`
	Enable       bool    `json:"Enable,omitempty"`
	Text         string  `json:"ReasonText,omitempty"`
}

// flagHintValid is the bit of event.Flags that is set if CostHintMs is valid.
const flagHintValid = 1

// adapter holds the balancer instances of this process, and the endpoint lists, by table number, that their events refer to.
type adapter struct {
	balancers map[int]*balancer.Balancer
	lists     map[int][]balancer.Endpoint
	actions   []balancer.Action // buffer that is reused for each decision
}

// Serve reads batches from in, one per line, and writes their replies to out until in ends. Its error names the line that
// failed.
func Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	a := &adapter{balancers: map[int]*balancer.Balancer{}, lists: map[int][]balancer.Endpoint{}}
	for line := 1; ; line++ {
		text, err := readLine(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		reply, err := a.handleBatch(text)
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		if err := json.NewEncoder(w).Encode(map[string][]action{"outbox": reply}); err != nil {
			return fmt.Errorf("line %d: writing the reply: %w", line, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("line %d: writing the reply: %w", line, err)
		}
	}
}

// readLine returns the next line, and io.EOF after the last one.
func readLine(r *bufio.Reader) ([]byte, error) {
	text, err := r.ReadBytes('\n')
	if err == io.EOF && len(text) > 0 {
		return text, nil
	}
	return text, err
}

func (a *adapter) handleBatch(text []byte) ([]action, error) {
	var b batch
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, fmt.Errorf("decoding the batch: %w", err)
	}
	reply := []action{}
	now := duration(b.NowMs)
	for n, raw := range b.Events {
		var e event
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, fmt.Errorf("event %d: %w", n, err)
		}
		var err error
		if reply, err = a.handleEvent(now, &e, reply); err != nil {
			return nil, fmt.Errorf("event %d (%s): %w", n, e.Verb, err)
		}
	}
	return reply, nil
}

func (a *adapter) handleEvent(now time.Duration, e *event, reply []action) ([]action, error) {
	switch e.Verb {
	case "Inventory":
		a.lists[e.Table] = endpoints(e.Endpoints)
		return reply, nil
	case "PowerOn":
		if e.Settings == nil {
			return nil, fmt.Errorf("missing key Env")
		}
		b, err := balancer.New(e.Settings.settings(), seed(e.Seed))
		if err != nil {
			return nil, err
		}
		a.balancers[e.Instance] = b
		return reply, nil
	}
	translated := a.translate(e)
	if translated == nil && e.Verb != "Teardown" {
		return reply, nil // the verb or the scope is unknown: the event is ignored
	}
	b := a.balancers[e.Instance]
	if b == nil {
		return nil, fmt.Errorf("instance %d was never started", e.Instance)
	}
	if e.Verb == "Teardown" {
		delete(a.balancers, e.Instance)
		return reply, nil
	}
	return a.decide(b, now, e.Instance, translated, reply), nil
}

// decide passes one event to the balancer and appends its actions to reply. After a panic, a BailOut action with the text of
// the panic is appended to the actions encoded so far.
func (a *adapter) decide(b *balancer.Balancer, now time.Duration, instance int, e balancer.Event, reply []action) (out []action) {
	defer func() {
		if p := recover(); p != nil {
			out = append(reply, action{Verb: "BailOut", Instance: instance, Text: fmt.Sprint(p)})
		}
	}()
	a.actions = b.Handle(now, e, a.actions[:0])
	for i := range a.actions {
		reply = append(reply, encode(instance, &a.actions[i]))
	}
	return reply
}

// translate returns the balancer's event, or nil if the verb or the scope of the list is unknown.
func (a *adapter) translate(e *event) balancer.Event {
	switch e.Verb {
	case "Topology":
		kinds := map[string]balancer.UpdateKind{"INCREMENTAL": balancer.Delta, "FULL": balancer.FullState,
			"SAVED": balancer.Cached, "FAILED": balancer.WatchFailed}
		kind, known := kinds[e.Scope]
		if !known {
			return nil
		}
		if kind == balancer.WatchFailed {
			return balancer.EndpointUpdate{Kind: kind}
		}
		return balancer.EndpointUpdate{Kind: kind, Endpoints: a.lists[e.Table]}
	case "Order":
		r := balancer.Request{ID: e.ID, Class: e.Class, ExpiresAt: duration(e.ExpiresMs)}
		r.Tenant, _ = e.Tenant.(string)
		if e.Flags&flagHintValid != 0 {
			r.CostHint = duration(e.CostHintMs)
		}
		return r
	case "FirstByte":
		return balancer.FirstByte{ID: e.ID, Attempt: e.Attempt}
	case "Returned":
		return balancer.AttemptEnded{ID: e.ID, Attempt: e.Attempt, Result: attemptResult(e.Result),
			Elapsed: duration(e.ElapsedMs), Final: e.Final}
	case "Hangup":
		return balancer.ClientDisconnected{ID: e.ID}
	case "Wakeup":
		return balancer.TimerFired{}
	}
	return nil
}

func encode(instance int, a *balancer.Action) action {
	switch a.Kind {
	case balancer.StartAttempt:
		return action{Verb: "Try", Instance: instance, ID: a.ID, Upstream: a.Upstream, TimeoutMs: milliseconds(a.Timeout)}
	case balancer.CancelAttempt:
		attempt := a.Attempt
		return action{Verb: "Retract", Instance: instance, ID: a.ID, Attempt: &attempt}
	case balancer.Reject:
		return action{Verb: "Refuse", Instance: instance, ID: a.ID, RetryAfterMs: milliseconds(a.RetryAfter)}
	case balancer.Fail:
		return action{Verb: "Error", Instance: instance, ID: a.ID}
	case balancer.SetTimer:
		return action{Verb: "Defer", Instance: instance, AtMs: milliseconds(a.At), Cookie: timerCookie}
	case balancer.Subscribe:
		return action{Verb: "Watch", Instance: instance, Enable: true}
	case balancer.Log:
		return action{Verb: "Emit", Instance: instance, Text: a.LogLine()}
	}
	panic(fmt.Sprintf("no wire form for action kind %d", a.Kind))
}

// attemptResult returns the result for a completion code. An attempt with an unknown code may have been processed, and counts
// as a server error.
func attemptResult(code int) balancer.Result {
	switch code {
	case 200:
		return balancer.OK
	case 429:
		return balancer.Overloaded
	case 408:
		return balancer.Timeout
	case 521:
		return balancer.ConnectFailed
	case 520:
		return balancer.Reset
	case 444:
		return balancer.Cancelled
	case 409:
		return balancer.NotSent
	}
	return balancer.ServerError
}

func endpoints(entries []endpoint) []balancer.Endpoint {
	states := map[string]balancer.EndpointState{"active": balancer.Active, "leaving": balancer.Draining}
	list := make([]balancer.Endpoint, len(entries))
	for i, e := range entries {
		state, known := states[e.State]
		if !known {
			state = balancer.Removed // the entry is removed, or its state is unknown
		}
		list[i] = balancer.Endpoint{Upstream: e.Upstream, Zone: e.Zone, Cell: e.Cell, Machine: e.Machine,
			State: state, StartedAt: duration(e.StartedMs), Weight: e.Weight}
	}
	return list
}

// seed converts any 64-bit integer on the wire, signed or unsigned, to the balancer's seed.
func seed(n json.Number) uint64 {
	var u uint64
	if _, err := fmt.Sscan(n.String(), &u); err == nil {
		return u
	}
	i, _ := n.Int64()
	return uint64(i)
}

// duration converts milliseconds, rounded to microseconds. It saturates at about 142 years, so that a sum with a clock time
// does not overflow.
func duration(ms float64) time.Duration {
	const limit = 1 << 52
	return time.Duration(math.Round(min(max(ms*1000, -limit), limit))) * time.Microsecond
}

func milliseconds(d time.Duration) float64 {
	return float64(d/time.Microsecond) / 1000
}
