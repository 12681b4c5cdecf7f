package lease

import (
	"encoding/binary"
	"time"

	"mosslead/internal/registry/api"
)

// Op is the operation of a request to the service.
type Op uint8

// The operations.
const (
	None Op = iota // no request
	Acquire
	Renew
	Release
)

// Event is an input of an Elector: one of the types below, or nil if only time has passed.
type Event any

type (
	// Campaign starts or stops campaigning. Fitness is how fit this process is to lead: 0 to api.MaxFitness.
	Campaign struct {
		On      bool
		Fitness float64
	}
	// Response is the result of the request with that ID. If Known is false, the request failed or its
	// outcome is unknown.
	Response struct {
		ID    uint64
		Known bool
		Grant api.LeadershipGrant
	}
	// WorkFailed reports that this process fails at the work of the leader.
	WorkFailed struct{}
	// Stop releases the leadership and ends the elector.
	Stop struct{}
)

// Action is an output of an Elector: one of the types below.
type Action any

type (
	// Request is a call of the service. It invalidates every earlier request.
	Request struct {
		ID      uint64
		Op      Op
		Claim   api.LeadershipClaim
		Timeout time.Duration
	}
	// Acquired reports that the lease is valid until ExpiresAt. New means that it was not valid before.
	Acquired struct {
		Epoch     uint64
		ExpiresAt time.Duration
		New       bool
	}
	// Expired reports that the lease is no longer valid.
	Expired struct {
		Epoch  uint64
		Reason string
	}
	// Done is the last action, after Stop.
	Done struct{}
)

// Elector is the state machine of one process in the election for one leadership. It does no I/O and reads no
// clock: times are passed in, monotonic from any origin. A copy is an independent elector in the same state.
// Not safe for concurrent use.
type Elector struct {
	config      Config
	campaigning bool
	fitness     float64
	stopped     bool

	pending   Op            // operation of the request that has no response yet
	requestID uint64        // ID of the latest request
	sentAt    time.Duration // time of the latest request

	held            bool
	epoch           uint64
	expiresAt       time.Duration // end of the lease, less the margin
	acquiredAt      time.Duration
	releasedEpoch   uint64        // the latest released epoch; grants under this or an earlier epoch are ignored
	releasePending  bool          // the service may not know of the release yet
	releaseDeadline time.Duration // when the lease has expired at the service even without the release

	nextRequestAt     time.Duration // earliest time of the next request
	failures          int           // requests in a row without a known outcome
	cooldownUntil     time.Duration // earliest time of the next Acquire
	workFailures      int           // recent failures at the leader's work, see workFailureWindow
	lastWorkFailureAt time.Duration

	actions []Action
}

// NewElector returns an elector that starts at now and does not campaign yet.
func NewElector(c Config, now time.Duration) Elector {
	c.setDefaults()
	return Elector{config: c, nextRequestAt: now + c.random(c.StartDelay)}
}

func (c *Config) random(limit time.Duration) time.Duration {
	return time.Duration(c.Random() * float64(limit))
}

// Holds reports whether the lease is valid, and returns its epoch. The leader calls it before each action, and
// the action carries the epoch.
func (e *Elector) Holds(now time.Duration) (epoch uint64, ok bool) {
	return e.epoch, e.held && now < e.expiresAt
}

// Handle processes an event at time now, and returns the actions to carry out.
func (e *Elector) Handle(now time.Duration, event Event) []Action {
	e.actions = nil
	if e.held && now >= e.expiresAt {
		e.expire("its lease is over")
	}
	switch ev := event.(type) {
	case Campaign:
		e.campaigning, e.fitness = ev.On, ev.Fitness
		if e.held && !e.campaigning {
			e.release(now, "not wanted any more")
		}
	case Response:
		if e.pending != None && ev.ID == e.requestID {
			e.onResponse(now, ev)
		}
	case WorkFailed:
		e.onWorkFailed(now)
	case Stop:
		e.stopped, e.campaigning = true, false
		if e.held {
			e.release(now, "it ends")
		}
	}
	if e.pending != None && now >= e.sentAt+e.config.Timeout {
		e.onResponse(now, Response{})
	}
	e.sendNextRequest(now)
	return e.actions
}

// Next returns the time by which Handle has to be called even without an event; ok is false if there is no such time.
func (e *Elector) Next() (at time.Duration, ok bool) {
	earlier := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if e.held {
		earlier(e.expiresAt)
	}
	switch {
	case e.pending != None:
		earlier(e.sentAt + e.config.Timeout)
	case e.releasePending:
		earlier(min(e.nextRequestAt, e.releaseDeadline))
	case e.held:
		earlier(e.nextRequestAt)
	case e.campaigning:
		earlier(max(e.nextRequestAt, e.cooldownUntil))
	}
	return at, ok
}

// sendNextRequest sends the next request if one is due. Once the elector is stopped and has nothing to release,
// it emits Done.
func (e *Elector) sendNextRequest(now time.Duration) {
	if e.releasePending && now >= e.releaseDeadline {
		e.releasePending = false
	}
	if e.pending != None {
		return
	}
	claim := api.LeadershipClaim{Name: e.config.Name, Holder: e.config.Holder, LeaseMs: e.config.Lease.Milliseconds(), Fitness: e.fitness}
	switch {
	case e.releasePending:
		if now < e.nextRequestAt {
			return
		}
		e.pending, claim.Epoch = Release, e.releasedEpoch
	case e.held:
		if now < e.nextRequestAt {
			return
		}
		e.pending, claim.Epoch = Renew, e.epoch
	case e.stopped:
		e.emit(Done{})
		return
	case e.campaigning && now >= max(e.nextRequestAt, e.cooldownUntil):
		// The claim carries the latest released epoch: the service takes it for a retry only if this process holds the
		// leadership under a later one.
		e.pending, claim.Epoch = Acquire, e.releasedEpoch
	default:
		return
	}
	e.requestID++
	e.sentAt = now
	e.emit(Request{e.requestID, e.pending, claim, e.config.Timeout})
}

func (e *Elector) emit(a Action) { e.actions = append(e.actions, a) }

// onResponse processes the response to the pending request.
func (e *Elector) onResponse(now time.Duration, r Response) {
	op := e.pending
	e.pending = None
	if !r.Known {
		e.failures++
		e.nextRequestAt = now + e.backoff(op)
		return
	}
	e.failures = 0
	g := r.Grant
	until := e.sentAt + min(e.config.Lease, time.Duration(g.LeaseMs)*time.Millisecond) - e.config.Margin
	switch {
	case op == Release:
		e.releasePending = false
		e.nextRequestAt = now
	case op == Acquire && g.HeldBy(e.config.Holder, e.releasedEpoch):
		e.epoch = g.Epoch
		switch {
		case !e.campaigning: // campaigning stopped after the request was sent
			e.expiresAt = until
			e.release(now, "")
		case now >= until: // the lease ended before its response came
			e.nextRequestAt = now + e.backoff(op)
		default:
			e.held, e.expiresAt, e.acquiredAt = true, until, now
			e.nextRequestAt = e.sentAt + e.renewAfter()
			e.emit(Acquired{e.epoch, until, true})
		}
	case op == Renew && e.held && g.HeldBy(e.config.Holder, e.epoch-1) && g.Epoch == e.epoch:
		e.expiresAt = max(e.expiresAt, until)
		e.nextRequestAt = e.sentAt + e.renewAfter()
		e.emit(Acquired{e.epoch, e.expiresAt, false})
		if g.BetterFitness >= e.fitness+HandoverMargin && now >= e.acquiredAt+minTenure {
			e.release(now, "handed on to a better one")
			e.cooldownUntil = max(e.cooldownUntil, now+yieldTime)
		}
	case op == Renew && e.held:
		e.expire("another holds it")
		e.nextRequestAt = now + e.backoff(op)
	default: // the claim was rejected, or the lease expired during the renewal
		e.nextRequestAt = now + max(time.Duration(g.RetryAfterMs)*time.Millisecond, baseBackoff) + e.config.random(jitter)
	}
}

// backoff returns the wait after a failed request of operation op.
func (e *Elector) backoff(op Op) time.Duration {
	limit := min(baseBackoff<<min(e.failures, 10), e.config.maxBackoff())
	if op != Acquire && e.held || op == Release { // the lease may still be valid at the service
		limit = min(limit, e.config.Lease/(2*renewalsPerLease))
	}
	return limit/2 + e.config.random(limit/2)
}

// renewAfter returns the time from one renewal to the next.
func (e *Elector) renewAfter() time.Duration {
	interval := e.config.Lease / renewalsPerLease
	return interval - e.config.random(interval/8)
}

func (e *Elector) expire(reason string) {
	e.held = false
	e.emit(Expired{e.epoch, reason})
}

// release ends the lease locally first, and then schedules the request that ends it at the service. A pending
// renewal is abandoned: it has no effect whether it arrives before the release or after it.
func (e *Elector) release(now time.Duration, reason string) {
	if e.held {
		e.expire(reason)
	}
	if e.pending == Renew {
		e.pending = None
	}
	e.releasedEpoch, e.releasePending, e.releaseDeadline = e.epoch, true, e.expiresAt+e.config.Margin
	e.nextRequestAt, e.failures = now, 0
}

// onWorkFailed releases the leadership because this process fails at the leader's work, and starts a cooldown.
func (e *Elector) onWorkFailed(now time.Duration) {
	if !e.held {
		return
	}
	if now > e.lastWorkFailureAt+workFailureWindow {
		e.workFailures = 0
	}
	e.cooldownUntil = now + min(baseCooldown<<min(e.workFailures, 10), maxCooldown)
	e.workFailures++
	e.lastWorkFailureAt = now
	e.release(now, "it fails at it")
}

// AppendKey appends a key of the elector's state for state exploration. It encodes times relative to now, and
// epochs as their distance from highest. State that can't affect the future is left out, as is the ID of the
// pending request.
func (e *Elector) AppendKey(b []byte, now time.Duration, highest uint64) []byte {
	flags := byte(e.pending)
	for i, set := range []bool{e.campaigning, e.stopped, e.held, e.releasePending} {
		if set {
			flags |= 8 << i
		}
	}
	b = append(b, flags)
	put := func(d time.Duration) { b = binary.AppendVarint(b, int64(d)) }
	put(max(0, e.nextRequestAt-now))
	put(max(0, e.cooldownUntil-now))
	put(time.Duration(min(e.failures, 5)))
	put(time.Duration(highest - e.releasedEpoch))
	put(time.Duration(e.fitness * 1000))
	if e.pending != None {
		put(e.sentAt - now)
	}
	if e.held {
		put(time.Duration(highest - e.epoch))
		put(max(0, e.expiresAt-now))
		put(min(now-e.acquiredAt, minTenure))
	}
	if e.releasePending {
		put(max(0, e.releaseDeadline-now))
	}
	if e.workFailures > 0 && now <= e.lastWorkFailureAt+workFailureWindow {
		put(time.Duration(e.workFailures))
		put(now - e.lastWorkFailureAt)
	}
	return b
}

// PendingID returns the ID of the request that has no response yet, or 0 if there is none.
func (e *Elector) PendingID() uint64 {
	if e.pending == None {
		return 0
	}
	return e.requestID
}
