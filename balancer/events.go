package balancer

import "time"

// Event is something that happened to a sidecar. The types of this file, and no others, implement it.
type Event interface{ event() }

// EndpointState is an endpoint's state in the list.
type EndpointState int

// The states of an endpoint.
const (
	Active   EndpointState = iota
	Draining               // finishes what it has, and gets nothing new
	Removed
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Upstream, Zone string        // name of the endpoint, and where it runs
	Machine        string        // kind of machine; empty: all are alike
	Cell           int           // its group, for KeyScopeCell
	State          EndpointState // default: Active
	StartedAt      time.Duration // clock time of its latest start; 0: long ago
	Weight         float64       // capacity, relative to the other endpoints; default: 1
}

// UpdateKind tells what an EndpointUpdate holds.
type UpdateKind int

// The kinds of EndpointUpdate.
const (
	FullState   UpdateKind = iota // the complete list
	Delta                         // changed entries only
	Cached                        // the complete list as last known; it may be out of date
	WatchFailed                   // nothing: a Subscribe failed, or the watch broke
)

// EndpointUpdate brings the endpoint list, or a change of it.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Ban takes an endpoint out of use, whatever the list says, until a Ban with Cleared. The endpoint counts as
// just started when that comes: operators restart endpoints meanwhile.
type Ban struct {
	Upstream string
	Cleared  bool
}

// SettingsUpdate brings other settings. Requests that are in flight keep their class.
type SettingsUpdate struct{ Settings Settings }

// Request is a client's request. It gets one final answer, Reject, Fail or a successful attempt's, before
// ExpiresAt.
type Request struct {
	ID, Class, Tenant string
	ExpiresAt         time.Duration // clock time at which the client stops waiting
	CostHint          time.Duration // expected work; 0: unknown
	BodyPending       bool          // the body is still being received; ExpiresAt counts from BodyComplete on
}

// BodyComplete says that the body of a request with BodyPending has been received.
type BodyComplete struct {
	ID        string
	ExpiresAt time.Duration // clock time at which the client stops waiting
}

// FirstByte says that a streamed answer has begun.
type FirstByte struct {
	ID      string
	Attempt int // number of the attempt, from 0
}

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	OK            Result = iota
	ServerError          // error answer; may have run
	Overloaded           // rejected by the endpoint (queue full, draining): did not run
	Timeout              // no answer in time; may have run
	ConnectFailed        // did not run
	Reset                // connection broke; may have run
	Cancelled            // may have run
	NotSent              // ended before its first byte was sent
)

// AttemptEnded ends an attempt. Each StartAttempt is followed by exactly one.
type AttemptEnded struct {
	ID           string
	Attempt      int // number of the attempt, from 0
	Result       Result
	Elapsed      time.Duration // since StartAttempt, or since BodyComplete if that came later
	Final        bool          // the request has its final answer
	BodyConsumed bool          // the body can't be sent again
}

// ClientDisconnected says that the client is gone: no answer is due any more.
type ClientDisconnected struct{ ID string }

// TimerFired reports the timer of the last SetTimer.
type TimerFired struct{}

func (EndpointUpdate) event()     {}
func (Ban) event()                {}
func (SettingsUpdate) event()     {}
func (Snapshot) event()           {}
func (Request) event()            {}
func (BodyComplete) event()       {}
func (FirstByte) event()          {}
func (AttemptEnded) event()       {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
