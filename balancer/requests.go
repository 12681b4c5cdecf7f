package balancer

import (
	"slices"
	"time"
)

// class is a Class of the settings and what was learned about it.
type class struct {
	Class
	meanLatency  float64 // seconds
	firstAttempt firstAttemptTime
}

// newClass returns a class that keeps the mean latency of old, the class that it replaces, unless old is nil.
func newClass(settings Class, old *class) *class {
	c := &class{Class: settings, meanLatency: settings.LatencyObjective.Seconds() / initialLatencyDivisor}
	if old != nil {
		c.meanLatency = old.meanLatency
	}
	return c
}

// attempt is one sending of a request to an endpoint.
type attempt struct {
	request    *request
	number     int // from 0
	endpoint   *endpoint
	zone       string // of the endpoint, when the attempt was sent
	cell       int    // of the endpoint, when the attempt was sent
	sentAt     time.Duration
	pending    bool // it has no result yet
	mayHaveRun bool // false if it is known not to have run
}

// request is the state of a client's request until it is answered and all its attempts have ended.
type request struct {
	id          string
	class       *class
	tenant      int // index in Settings.Tenants; -1 if its tenant is not in them
	arrivedAt   time.Duration
	expiresAt   time.Duration
	objectiveAt time.Duration // clock time at which its latency objective ends
	abandonAt   time.Duration // clock time at which it is abandoned
	costHint    time.Duration
	work        float64 // expected work, relative to the mean request

	attempts        []*attempt
	pendingAttempts int
	maxAttempts     int // by the settings in force when it arrived

	bodyPending   bool
	pastObjective bool          // the client first sent it longer ago than the objective
	done          bool          // it has its answer, or its client has disconnected
	stalled       bool          // its pending attempt will probably get no answer, see checkStalled
	streaming     bool          // its answer has begun
	hedgeAt       time.Duration // clock time at which its latest attempt is late
}

func (r *request) attempted(ep *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.endpoint == ep })
}

// onRequest processes a new request. One with the ID of a request in flight is ignored.
func (b *Balancer) onRequest(e Request) {
	c := b.classes[e.Class]
	if b.requests[e.ID] != nil {
		return
	}
	if c == nil {
		b.emit(Action{Kind: Reject, ID: e.ID})
		return
	}
	r := &request{id: e.ID, class: c, work: b.latency.expectedWork(c, e.CostHint), costHint: e.CostHint,
		bodyPending: e.BodyPending, maxAttempts: b.settings.MaxAttempts, tenant: b.tenantIndex(e.Tenant)}
	b.setDeadlines(r, e.ExpiresAt, e.AnswerDelay)
	b.requests[r.id] = r
	b.startTimer(r.abandonAt, timerAbandon, r)
	if !r.bodyPending {
		b.admission.addInFlight(r, 1)
		b.startStallTimer(r)
	}
	if b.now >= r.abandonAt || !b.admit(r) {
		b.abandon(r)
		return
	}
	b.admission.offered.add(r.work, b.now) // rejected requests are left out, since their repeats count
	b.dispatch(r)
}

// onBodyComplete sets the deadlines and timers of a request whose body has now been received. If they were
// set earlier, slow clients would make endpoints seem slow and the sidecar seem overloaded: endpoints, too,
// start processing only after the last byte.
func (b *Balancer) onBodyComplete(e BodyComplete) {
	r := b.requests[e.ID]
	if r == nil || r.done || !r.bodyPending {
		return
	}
	r.bodyPending = false
	b.setDeadlines(r, e.ExpiresAt, e.AnswerDelay)
	b.admission.addInFlight(r, 1)
	b.startTimer(r.abandonAt, timerAbandon, r)
	b.startStallTimer(r)
	for _, a := range r.attempts {
		if a.pending {
			a.sentAt = b.now
			b.startHedgeTimer(r)
		}
	}
}

// dispatch sends a request that has no attempt pending. If no endpoint is ready, the request waits for one.
// It is abandoned if it can't have another attempt, or if there is too little time for one.
func (b *Balancer) dispatch(r *request) {
	if b.now+b.latency.expected(r.work) > r.abandonAt && len(r.attempts) > 0 {
		b.abandon(r)
		return
	}
	if ep := b.pick(r); ep != nil {
		b.startAttempt(r, ep)
		return
	}
	if b.attemptsExhausted(r) || b.retryForbidden(r) || b.endpoints.allBanned() {
		b.abandon(r)
		return
	}
	b.startTimer(b.now+2*b.settings.Tick, timerDispatch, r)
}

// startAttempt sends r to an endpoint that pick returned for it.
func (b *Balancer) startAttempt(r *request, ep *endpoint) {
	deadline := b.retryAllowedUntil(r)
	a := &attempt{request: r, number: len(r.attempts), endpoint: ep, zone: ep.zone, cell: ep.cell, sentAt: b.now,
		pending: true, mayHaveRun: true}
	if a.number == 0 {
		b.retryBudget.deposit(b.admission.offered.perSecond(b.now))
	} else {
		b.retryBudget.withdraw()
	}
	if r.stalled { // in the previous attempt
		r.stalled = false
		b.admission.stalled--
		b.startStallTimer(r)
	}
	r.attempts = append(r.attempts, a)
	r.pendingAttempts++
	ep.inFlight = append(ep.inFlight, a)
	ep.slowStart.tokens -= r.work
	delete(b.endpoints.awaitingFirstRequest, ep.id)
	b.emit(Action{Kind: StartAttempt, ID: r.id, Upstream: ep.id, Timeout: b.attemptTimeout(r, ep), At: deadline})
	if !r.bodyPending {
		b.startHedgeTimer(r)
	}
}

// onFirstByte records that an attempt's answer has begun, and cancels the other attempts.
func (b *Balancer) onFirstByte(e FirstByte) {
	if r := b.requests[e.ID]; r != nil {
		r.streaming = true
		b.cancelOthers(r, e.Attempt)
	}
}

// onAttemptEnded records an attempt's result, and ends its request or sends it again if necessary.
func (b *Balancer) onAttemptEnded(e AttemptEnded) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].pending {
		return
	}
	a := r.attempts[e.Attempt]
	a.pending = false
	r.pendingAttempts--
	a.mayHaveRun = e.Result != Overloaded && e.Result != ConnectFailed && e.Result != NotSent
	a.endpoint.inFlight = slices.DeleteFunc(a.endpoint.inFlight, func(x *attempt) bool { return x == a })
	if !r.bodyPending || e.Result != Cancelled { // a client that aborts its body is no sign of a fault
		b.observeAttempt(a, e.Result, e.Elapsed)
		b.updateHealth(a, e.Result, e.Elapsed)
	}
	if e.Final && !r.done {
		b.onFinalAnswer(r, e.Attempt)
	}
	if r.done {
		b.forgetRequest(r)
		return
	}
	if r.pendingAttempts > 0 || r.streaming {
		return
	}
	if e.BodyConsumed || e.Result != ConnectFailed && b.retryBudget.empty() {
		b.abandon(r)
		return
	}
	b.dispatch(r)
}

// onFinalAnswer ends a request that an attempt has answered.
func (b *Balancer) onFinalAnswer(r *request, number int) {
	if r.pendingAttempts > 0 {
		b.hedges.record(number > 0 && b.now < r.objectiveAt)
	}
	b.cancelOthers(r, number)
	b.adjustLimit(r)
	b.closeRequest(r)
}

func (b *Balancer) onClientDisconnected(e ClientDisconnected) {
	if r := b.requests[e.ID]; r != nil {
		b.closeRequest(r)
	}
}

// cancelOthers cancels r's pending attempts, except the one with the given number. With -1 it cancels all.
func (b *Balancer) cancelOthers(r *request, number int) {
	for _, a := range r.attempts {
		if a.pending && a.number != number && b.settings.Cancellation {
			b.emit(Action{Kind: CancelAttempt, ID: r.id, Attempt: a.number})
		}
	}
}

// closeRequest ends a request that has its answer or whose client has disconnected.
func (b *Balancer) closeRequest(r *request) {
	if r.done {
		return
	}
	r.done = true
	if !r.bodyPending {
		b.admission.addInFlight(r, -1)
	}
	if r.stalled {
		b.admission.stalled--
	}
	b.forgetRequest(r)
}

// forgetRequest removes a request once it is done and all its attempts have a result.
func (b *Balancer) forgetRequest(r *request) {
	if r.done && r.pendingAttempts == 0 {
		delete(b.requests, r.id)
	}
}
