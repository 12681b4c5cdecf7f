package balancer

import "time"

// Event is something that happened to a sidecar. Only types of this package implement it.
type Event interface{ event() }

// EndpointState is an endpoint's state in the list.
type EndpointState int

// The states of an endpoint.
const (
	Active   EndpointState = iota
	Draining               // finishes its requests in flight, and gets no new ones
	Removed
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Upstream, Zone string        // name of the endpoint, and where it runs
	Machine        string        // kind of machine; empty: all are alike
	Cell           int           // number of its group, for KeyScopeCell
	State          EndpointState // default: Active
	StartedAt      time.Duration // clock time of its latest start; 0: long ago
	Weight         float64       // capacity, relative to the other endpoints; default: 1
}

// UpdateKind is the kind of an EndpointUpdate.
type UpdateKind int

// The kinds of EndpointUpdate.
const (
	FullState   UpdateKind = iota // the complete list
	Delta                         // changed entries only
	Cached                        // the complete list as last known; it may be out of date
	WatchFailed                   // no list: a Subscribe or the watch has failed
)

// EndpointUpdate carries the endpoint list, or changes to it.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Ban excludes an endpoint from use, regardless of the list, until a Ban in which Cleared is set. The
// endpoint then counts as just started, because operators restart banned endpoints.
type Ban struct {
	Upstream string
	Cleared  bool
}

// SettingsUpdate carries new settings. Requests in flight retain their class.
type SettingsUpdate struct{ Settings Settings }

// Request is a client's request. It gets one final answer before ExpiresAt: Reject, Fail or the answer of a
// successful attempt.
type Request struct {
	ID, Class, Tenant string
	ExpiresAt         time.Duration // clock time at which the client stops waiting
	CostHint          time.Duration // expected work; 0: unknown
	BodyPending       bool          // the body is still being received; BodyComplete replaces ExpiresAt
	// AnswerDelay is how much longer than usual an answer takes to the client. The request is abandoned so
	// much sooner.
	AnswerDelay time.Duration
}

// BodyComplete reports that the body of a request with BodyPending has been received.
type BodyComplete struct {
	ID        string
	ExpiresAt time.Duration // clock time at which the client stops waiting

	AnswerDelay time.Duration // see Request
}

// FirstByte reports that a streamed answer has begun.
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
	Reset                // established connection failed; may have run
	Cancelled            // may have run
	NotSent              // ended before its first byte was sent
)

// AttemptEnded reports the end of an attempt. Each StartAttempt is followed by exactly one.
type AttemptEnded struct {
	ID           string
	Attempt      int // number of the attempt, from 0
	Result       Result
	Elapsed      time.Duration // since StartAttempt, or since BodyComplete if that came later
	Final        bool          // the request has its final answer
	BodyConsumed bool          // the body can't be sent again
}

// ClientDisconnected reports that the client has disconnected and needs no answer.
type ClientDisconnected struct{ ID string }

// TimerFired reports that the timer of the last SetTimer has fired.
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
