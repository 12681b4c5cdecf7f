package lease

import (
	"encoding/binary"
	"time"

	"mosslead/internal/registry/api"
)

// Op is what a request asks of the service.
type Op uint8

// The operations.
const (
	None Op = iota //
	Acquire
	Renew
	Release
)

// Event is an input of an Elector: one of the types below, or nil when time has passed.
type Event any

type (
	// Campaign says whether the leadership is wanted, and how fit this process is for it: 0 to api.MaxFitness.
	Campaign struct {
		On      bool
		Fitness float64
	}
	// Response is the result of the request with that ID. Unless Known, its outcome is unknown or it failed.
	Response struct {
		ID    uint64
		Known bool
		Grant api.LeadershipGrant
	}
	// WorkFailed says that this process fails at the work of the leader.
	WorkFailed struct{}
	// Stop releases the leadership and ends the elector.
	Stop struct{}
)

// Action is what is to be done: one of the types below.
type Action any

type (
	// Request is a call of the service. It makes every earlier request void.
	Request struct {
		ID      uint64
		Op      Op
		Claim   api.LeadershipClaim
		Timeout time.Duration
	}
	// Acquired says that the lease is valid until ExpiresAt; New: it was not before.
	Acquired struct {
		Epoch     uint64
		ExpiresAt time.Duration
		New       bool
	}
	// Expired says that the lease is no longer valid.
	Expired struct {
		Epoch  uint64
		Reason string
	}
	// Done says that nothing more will be done.
	Done struct{}
)

// Elector is one process's part in the election for one leadership. It is pure: times are passed in,
// monotonic from any origin, and a copy is another elector in the same state. Not safe for concurrent use.
type Elector struct {
	config      Config
	campaigning bool
	fitness     float64
	stopped     bool

	pending   Op     // operation of the request that has no response yet
	requestID uint64 // of that request
	sentAt    time.Duration

	held            bool
	epoch           uint64
	expiresAt       time.Duration // of the lease, less the margin
	acquiredAt      time.Duration
	releasedEpoch   uint64        // the latest epoch that was released: no response makes it valid again
	releasePending  bool          // the service may not know of that release
	releaseDeadline time.Duration // the lease has ended by itself at that time

	nextRequestAt     time.Duration // no request before
	failures          int           // in a row
	cooldownUntil     time.Duration // no campaign before
	workFailures      int
	lastWorkFailureAt time.Duration

	actions []Action
}

// NewElector returns an elector that begins at now, and does not campaign.
func NewElector(c Config, now time.Duration) Elector {
	c.setDefaults()
	return Elector{config: c, nextRequestAt: now + c.random(c.StartDelay)}
}

func (c *Config) random(limit time.Duration) time.Duration {
	return time.Duration(c.Random() * float64(limit))
}

// Holds tells whether the lease is valid, and under which epoch. It is asked at each action that the leader
// takes, and the action carries the epoch.
func (c *Elector) Holds(now time.Duration) (epoch uint64, ok bool) {
	return c.epoch, c.held && now < c.expiresAt
}

// Handle takes in an event at now, and returns what is to be done.
func (c *Elector) Handle(now time.Duration, event Event) []Action {
	c.actions = nil
	if c.held && now >= c.expiresAt {
		c.expire("its lease is over")
	}
	switch e := event.(type) {
	case Campaign:
		c.campaigning, c.fitness = e.On, e.Fitness
		if c.held && !c.campaigning {
			c.release(now, "not wanted any more")
		}
	case Response:
		if c.pending != None && e.ID == c.requestID {
			c.onResponse(now, e)
		}
	case WorkFailed:
		c.onWorkFailed(now)
	case Stop:
		c.stopped, c.campaigning = true, false
		if c.held {
			c.release(now, "it ends")
		}
	}
	if c.pending != None && now >= c.sentAt+c.config.Timeout {
		c.onResponse(now, Response{})
	}
	c.sendNextRequest(now)
	return c.actions
}

// Next is when Handle is to be called at the latest if nothing else happens; false: never.
func (c *Elector) Next() (at time.Duration, ok bool) {
	earlier := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if c.held {
		earlier(c.expiresAt)
	}
	switch {
	case c.pending != None:
		earlier(c.sentAt + c.config.Timeout)
	case c.releasePending:
		earlier(min(c.nextRequestAt, c.releaseDeadline))
	case c.held:
		earlier(c.nextRequestAt)
	case c.campaigning:
		earlier(max(c.nextRequestAt, c.cooldownUntil))
	}
	return at, ok
}

// sendNextRequest sends the next sendNextRequest if it is due.
func (c *Elector) sendNextRequest(now time.Duration) {
	if c.releasePending && now >= c.releaseDeadline {
		c.releasePending = false
	}
	if c.pending != None {
		return
	}
	claim := api.LeadershipClaim{Name: c.config.Name, Holder: c.config.Holder, LeaseMs: c.config.Lease.Milliseconds(), Fitness: c.fitness}
	switch {
	case c.releasePending:
		if now < c.nextRequestAt {
			return
		}
		c.pending, claim.Epoch = Release, c.releasedEpoch
	case c.held:
		if now < c.nextRequestAt {
			return
		}
		c.pending, claim.Epoch = Renew, c.epoch
	case c.stopped:
		c.emit(Done{})
		return
	case c.campaigning && now >= max(c.nextRequestAt, c.cooldownUntil):
		c.pending, claim.Epoch = Acquire, c.releasedEpoch
	default:
		return
	}
	c.requestID++
	c.sentAt = now
	c.emit(Request{c.requestID, c.pending, claim, c.config.Timeout})
}

func (c *Elector) emit(a Action) { c.actions = append(c.actions, a) }

// onResponse takes in the response to the pending request.
func (c *Elector) onResponse(now time.Duration, a Response) {
	op := c.pending
	c.pending = None
	if !a.Known {
		c.failures++
		c.nextRequestAt = now + c.backoff(op)
		return
	}
	c.failures = 0
	g := a.Grant
	until := c.sentAt + min(c.config.Lease, time.Duration(g.LeaseMs)*time.Millisecond) - c.config.Margin
	switch {
	case op == Release:
		c.releasePending = false
		c.nextRequestAt = now
	case op == Acquire && g.HeldBy(c.config.Holder, c.releasedEpoch):
		c.epoch = g.Epoch
		switch {
		case !c.campaigning: // it was when the request was sent
			c.expiresAt = until
			c.release(now, "")
		case now >= until: // the lease ended before its response came
			c.nextRequestAt = now + c.backoff(op)
		default:
			c.held, c.expiresAt, c.acquiredAt = true, until, now
			c.nextRequestAt = c.sentAt + c.renewAfter()
			c.emit(Acquired{c.epoch, until, true})
		}
	case op == Renew && c.held && g.HeldBy(c.config.Holder, c.epoch-1) && g.Epoch == c.epoch:
		c.expiresAt = max(c.expiresAt, until)
		c.nextRequestAt = c.sentAt + c.renewAfter()
		c.emit(Acquired{c.epoch, c.expiresAt, false})
		if g.BetterFitness >= c.fitness+HandoverMargin && now >= c.acquiredAt+minTenure {
			c.release(now, "handed on to a better one")
			c.cooldownUntil = max(c.cooldownUntil, now+yieldTime)
		}
	case op == Renew && c.held:
		c.expire("another holds it")
		c.nextRequestAt = now + c.backoff(op)
	default: // rejected, or expired meanwhile
		c.nextRequestAt = now + max(time.Duration(g.RetryAfterMs)*time.Millisecond, baseBackoff) + c.config.random(jitter)
	}
}

// backoff is the wait after a request of that operation that failed.
func (c *Elector) backoff(op Op) time.Duration {
	limit := min(baseBackoff<<min(c.failures, 10), c.config.maxBackoff())
	if op != Acquire && c.held || op == Release { // the lease is still valid
		limit = min(limit, c.config.Lease/(2*renewalsPerLease))
	}
	return limit/2 + c.config.random(limit/2)
}

// renewAfter is the time from a renewal to the next.
func (c *Elector) renewAfter() time.Duration {
	interval := c.config.Lease / renewalsPerLease
	return interval - c.config.random(interval/8)
}

func (c *Elector) expire(why string) {
	c.held = false
	c.emit(Expired{c.epoch, why})
}

// release ends the lease here first, and then tells the service. A renewal that is under way no longer
// matters, whether it arrives before the release or after it.
func (c *Elector) release(now time.Duration, why string) {
	if c.held {
		c.expire(why)
	}
	if c.pending == Renew {
		c.pending = None
	}
	c.releasedEpoch, c.releasePending, c.releaseDeadline = c.epoch, true, c.expiresAt+c.config.Margin
	c.nextRequestAt, c.failures = now, 0
}

// onWorkFailed releases a leadership at whose work this process fails, and rests.
func (c *Elector) onWorkFailed(now time.Duration) {
	if !c.held {
		return
	}
	if now > c.lastWorkFailureAt+workFailureWindow {
		c.workFailures = 0
	}
	c.cooldownUntil = now + min(baseCooldown<<min(c.workFailures, 10), maxCooldown)
	c.workFailures++
	c.lastWorkFailureAt = now
	c.release(now, "it fails at it")
}

// AppendKey appends all that the future may depend on, for state exploration: times from now on, epochs
// counted down from the highest, and nothing for what no longer matters. The id of the pending request is
// left out.
func (c *Elector) AppendKey(b []byte, now time.Duration, highest uint64) []byte {
	flags := byte(c.pending)
	for i, on := range []bool{c.campaigning, c.stopped, c.held, c.releasePending} {
		if on {
			flags |= 8 << i
		}
	}
	b = append(b, flags)
	put := func(d time.Duration) { b = binary.AppendVarint(b, int64(d)) }
	put(max(0, c.nextRequestAt-now))
	put(max(0, c.cooldownUntil-now))
	put(time.Duration(min(c.failures, 5)))
	put(time.Duration(highest - c.releasedEpoch))
	put(time.Duration(c.fitness * 1000))
	if c.pending != None {
		put(c.sentAt - now)
	}
	if c.held {
		put(time.Duration(highest - c.epoch))
		put(max(0, c.expiresAt-now))
		put(min(now-c.acquiredAt, minTenure))
	}
	if c.releasePending {
		put(max(0, c.releaseDeadline-now))
	}
	if c.workFailures > 0 && now <= c.lastWorkFailureAt+workFailureWindow {
		put(time.Duration(c.workFailures))
		put(now - c.lastWorkFailureAt)
	}
	return b
}

// PendingID is the id of the request that has no response yet; 0: none.
func (c *Elector) PendingID() uint64 {
	if c.pending == None {
		return 0
	}
	return c.requestID
}
