package lease

import (
	"encoding/binary"
	"time"

	"mosslead/internal/registry/api"
)

// Op is what a call asks of the service.
type Op uint8

// The calls.
const (
	None Op = iota
	Take
	Renew
	Release
)

// Event is what a candidate is told: one of the types below, or nil that time has passed.
type Event any

type (
	// Want says whether the duty is wanted, and how well this process is placed for it, 0 to api.MaxFitness.
	Want struct {
		On      bool
		Fitness float64
	}
	// Answer is what the call with that id came to. Without Told the outcome is unknown, or it was not carried out.
	Answer struct {
		ID    uint64
		Told  bool
		Grant api.Grant
	}
	// Failed says that this process does not get done what the duty is for.
	Failed struct{}
	// Stop gives the duty up and ends the candidate.
	Stop struct{}
)

// Action is what is to be done: one of the types below.
type Action any

type (
	// Call asks the service. Calls that are out are of no interest any more.
	Call struct {
		ID       uint64
		Op       Op
		Claim    api.Claim
		Patience time.Duration
	}
	// Hold says that the duty is held until then, for the first time if First.
	Hold struct {
		Epoch uint64
		Until time.Duration
		First bool
	}
	// Lost says that it is held no more.
	Lost struct {
		Epoch uint64
		Why   string
	}
	// Done says that there is no more to be done, for ever.
	Done struct{}
)

// Candidate is one process's part in one duty. It is pure: times are handed in, monotonic since any origin; a copy is another
// candidate in the same state. Not safe for concurrent use.
type Candidate struct {
	c       Config
	want    bool
	fitness float64
	stopped bool

	out  Op // the call that is out
	id   uint64
	sent time.Duration

	held   bool
	epoch  uint64
	until  time.Duration // of acts
	took   time.Duration
	gaveUp uint64        // the last epoch that was given up: no answer makes it held again
	tell   bool          // the service does not know of that yet, as far as is known
	over   time.Duration // by then it does not matter

	next     time.Duration // no call before
	failures int           // in a row
	rest     time.Duration // not wanted before
	strikes  int
	struck   time.Duration

	actions []Action
}

// NewCandidate begins at now, and does not want the duty yet.
func NewCandidate(c Config, now time.Duration) Candidate {
	c.complete()
	return Candidate{c: c, next: now + c.chance(c.Start)}
}

func (c *Config) chance(most time.Duration) time.Duration {
	return time.Duration(c.Chance() * float64(most))
}

// Act is asked at each act: whether the duty is held, and the epoch that the act has to carry.
func (c *Candidate) Act(now time.Duration) (epoch uint64, ok bool) {
	return c.epoch, c.held && now < c.until
}

// Handle takes an event at a time.
func (c *Candidate) Handle(now time.Duration, event Event) []Action {
	c.actions = nil
	if c.held && now >= c.until {
		c.lose("its lease is over")
	}
	switch e := event.(type) {
	case Want:
		c.want, c.fitness = e.On, e.Fitness
		if c.held && !c.want {
			c.giveUp(now, "not wanted any more")
		}
	case Answer:
		if c.out != None && e.ID == c.id {
			c.answered(now, e)
		}
	case Failed:
		c.fail(now)
	case Stop:
		c.stopped, c.want = true, false
		if c.held {
			c.giveUp(now, "it ends")
		}
	}
	if c.out != None && now >= c.sent+c.c.Patience {
		c.answered(now, Answer{})
	}
	c.call(now)
	return c.actions
}

// Next is when Handle is to be called at the latest, if nothing else happens; false: never.
func (c *Candidate) Next() (at time.Duration, ok bool) {
	earlier := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if c.held {
		earlier(c.until)
	}
	switch {
	case c.out != None:
		earlier(c.sent + c.c.Patience)
	case c.tell:
		earlier(min(c.next, c.over))
	case c.held:
		earlier(c.next)
	case c.want:
		earlier(max(c.next, c.rest))
	}
	return at, ok
}

// call asks the service for what is wanted, if it is time.
func (c *Candidate) call(now time.Duration) {
	if c.tell && now >= c.over {
		c.tell = false
	}
	if c.out != None {
		return
	}
	claim := api.Claim{Name: c.c.Name, Holder: c.c.Holder, LeaseMs: c.c.Lease.Milliseconds(), Fitness: c.fitness}
	switch {
	case c.tell:
		if now < c.next {
			return
		}
		c.out, claim.Epoch = Release, c.gaveUp
	case c.held:
		if now < c.next {
			return
		}
		c.out, claim.Epoch = Renew, c.epoch
	case c.stopped:
		c.act(Done{})
		return
	case c.want && now >= max(c.next, c.rest):
		c.out, claim.Epoch = Take, c.gaveUp
	default:
		return
	}
	c.id++
	c.sent = now
	c.act(Call{c.id, c.out, claim, c.c.Patience})
}

func (c *Candidate) act(a Action) { c.actions = append(c.actions, a) }

// answered takes what the call that is out came to.
func (c *Candidate) answered(now time.Duration, a Answer) {
	op := c.out
	c.out = None
	if !a.Told {
		c.failures++
		c.next = now + c.back(op)
		return
	}
	c.failures = 0
	g := a.Grant
	until := c.sent + min(c.c.Lease, time.Duration(g.LeaseMs)*time.Millisecond) - c.c.Margin
	switch {
	case op == Release:
		c.tell = false
		c.next = now
	case op == Take && g.By(c.c.Holder, c.gaveUp):
		c.epoch = g.Epoch
		switch {
		case !c.want: // it was, when it was asked for
			c.until = until
			c.giveUp(now, "")
		case now >= until: // an answer that took so long is worth nothing
			c.next = now + c.back(op)
		default:
			c.held, c.until, c.took = true, until, now
			c.next = c.sent + c.renewAfter()
			c.act(Hold{c.epoch, until, true})
		}
	case op == Renew && c.held && g.By(c.c.Holder, c.epoch-1) && g.Epoch == c.epoch:
		c.until = max(c.until, until)
		c.next = c.sent + c.renewAfter()
		c.act(Hold{c.epoch, c.until, false})
		if g.Better >= c.fitness+HandOnBy && now >= c.took+holdLeast {
			c.giveUp(now, "handed on to a better one")
			c.rest = max(c.rest, now+yieldFor)
		}
	case op == Renew && c.held:
		c.lose("another holds it")
		c.next = now + c.back(op)
	default: // refused, or lost meanwhile
		c.next = now + max(time.Duration(g.AfterMs)*time.Millisecond, backFirst) + c.c.chance(jitter)
	}
}

// back is how long after a failure the next call comes.
func (c *Candidate) back(op Op) time.Duration {
	most := min(backFirst<<min(c.failures, 10), c.c.backMost())
	if op != Take && c.held || op == Release { // the lease runs on
		most = min(most, c.c.Lease/(2*renewals))
	}
	return most/2 + c.c.chance(most/2)
}

// renewAfter is how long after a renewal the next comes.
func (c *Candidate) renewAfter() time.Duration {
	whole := c.c.Lease / renewals
	return whole - c.c.chance(whole/8)
}

func (c *Candidate) lose(why string) {
	c.held = false
	c.act(Lost{c.epoch, why})
}

// giveUp ends the duty here first, and then tells the service. A renewal that is out is of no interest any more; whether it comes
// before the release or after it makes no difference.
func (c *Candidate) giveUp(now time.Duration, why string) {
	if c.held {
		c.lose(why)
	}
	if c.out == Renew {
		c.out = None
	}
	c.gaveUp, c.tell, c.over = c.epoch, true, c.until+c.c.Margin
	c.next, c.failures = now, 0
}

// fail ends a duty at which this process fails, for a while.
func (c *Candidate) fail(now time.Duration) {
	if !c.held {
		return
	}
	if now > c.struck+strikesLast {
		c.strikes = 0
	}
	c.rest = now + min(restFirst<<min(c.strikes, 10), restMost)
	c.strikes++
	c.struck = now
	c.giveUp(now, "it fails at it")
}

// AppendKey words all that the future may depend on, for who explores it: times from now on, epochs down from the highest, what
// makes no difference any more as nothing. The id of the call that is out is not in it.
func (c *Candidate) AppendKey(b []byte, now time.Duration, highest uint64) []byte {
	flags := byte(c.out)
	for i, on := range []bool{c.want, c.stopped, c.held, c.tell} {
		if on {
			flags |= 8 << i
		}
	}
	b = append(b, flags)
	put := func(d time.Duration) { b = binary.AppendVarint(b, int64(d)) }
	put(max(0, c.next-now))
	put(max(0, c.rest-now))
	put(time.Duration(min(c.failures, 5)))
	put(time.Duration(highest - c.gaveUp))
	put(time.Duration(c.fitness * 1000))
	if c.out != None {
		put(c.sent - now)
	}
	if c.held {
		put(time.Duration(highest - c.epoch))
		put(max(0, c.until-now))
		put(min(now-c.took, holdLeast))
	}
	if c.tell {
		put(max(0, c.over-now))
	}
	if c.strikes > 0 && now <= c.struck+strikesLast {
		put(time.Duration(c.strikes))
		put(now - c.struck)
	}
	return b
}

// Out is the id of the call whose answer is waited for; 0: none.
func (c *Candidate) Out() uint64 {
	if c.out == None {
		return 0
	}
	return c.id
}
