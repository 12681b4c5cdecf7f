package sidecar

import (
	"context"
	"slices"
	"time"

	"mosslead/balancer"
)

// The requests in flight, and the events that the dispatcher handles.

// inFlightRequest is a request from its arrival until it has its answer and the results of all its attempts.
type inFlightRequest struct {
	request         *clientRequest
	acceptedAt      time.Duration
	expiresAt       time.Duration // 0 while its body is still being received
	attempts        []inFlightAttempt
	pendingAttempts int
	done            bool
}

// mayHaveRun reports whether an upstream may have processed the request, by the results of its attempts.
func (f *inFlightRequest) mayHaveRun() bool {
	return slices.ContainsFunc(f.attempts, func(a inFlightAttempt) bool {
		return a.reply.result != balancer.NotSent && a.reply.result != balancer.ConnectFailed && a.reply.result != balancer.Overloaded
	})
}

// inFlightAttempt is one attempt of an inFlightRequest.
type inFlightAttempt struct {
	upstream     string
	sentAt       time.Duration
	endedAt      time.Duration           // 0 while it is pending
	reply        attemptReply            // set once it has ended, without header and body
	cancel       context.CancelCauseFunc // cancels ctx with a cause, which may be nil, and frees its timer; must be called once the attempt has ended
	endWithCause context.CancelCauseFunc // cancels ctx with a cause but does not free its timer
	ctx          context.Context
}

// answer is the final answer to a request.
type answer struct {
	kind       answerKind
	retryAfter time.Duration // set if kind is rejected
	reply      attemptReply  // set if kind is served
	attempted  bool          // an attempt was made
	decidedAt  time.Duration // clock time at which the dispatcher gave the answer; 0 if it gave none
	expiresAt  time.Duration // clock time at which the client stops waiting; 0 if its body is still being received
	timerDelay time.Duration // how late the timer was handled that led to the answer; 0 if none did
}

// answerKind is how a request was answered.
type answerKind int

const (
	served answerKind = iota
	rejected
	failed
	duplicate    // another request with this id is in flight
	disconnected // no answer: the client has disconnected
)

// requestArrived is the event of a new request.
type requestArrived struct{ request *clientRequest }

// bodyComplete is the event that the body of a request has been received; expiresAt is the request's deadline.
type bodyComplete struct {
	request   *clientRequest
	expiresAt time.Duration
}

// bodyExpired is the event that the time of a request may be over, although its body is still received.
type bodyExpired struct{ request *clientRequest }

// clientDisconnected is the event that the client of a request has disconnected.
type clientDisconnected struct{ request *clientRequest }

// attemptEnded is the event that an attempt has ended.
type attemptEnded struct {
	inFlight *inFlightRequest
	attempt  int
	at       time.Duration
	reply    attemptReply
}

// banCommand is an operator's ban, or the lifting of one; done is closed once it has been applied.
type banCommand struct {
	balancer.Ban
	done chan struct{}
}

// settingsCommand changes the settings; done is closed once they are in force.
type settingsCommand struct {
	settings balancer.Settings
	done     chan struct{}
}

// snapshotCommand requests the balancer's snapshot; the channel must have a buffer of one.
type snapshotCommand struct{ snapshot chan balancer.Snapshot }

// abort is the event sent before the process is killed: all requests in flight fail, and later ones are rejected.
type abort struct{}
