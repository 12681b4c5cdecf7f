// Package leasetable holds, at the leader of the list service, how long leaderships are held by its clock,
// and when those that wait are to ask again. It is pure: times are passed in, monotonic from any origin. What
// it decides is a proposal; the replicated log decides (list.AcquireLeadership).
//
// An expiry is decided when somebody claims the leadership, and enters the log with that claim as a
// compare-and-set on the term that has expired. So an expiry that nobody waits for costs no log entry, and a
// leader that was deposed meanwhile can end nothing: the term that it names is no longer the present one, or
// its command is not committed.
package leasetable

import (
	"encoding/binary"
	"slices"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

// The pace of those that wait: a leadership costs the service at most one request each RetrySpacing while it
// is held, whatever their number.
const (
	RetrySpacing    = 100 * time.Millisecond // between two that are told to come back
	MinRetryAfter   = 500 * time.Millisecond // one that was rejected comes back after this, or at the lease's end
	MaxRetryAfter   = time.Minute            // and after this at the latest
	HandoverMargin  = 100                    // fitness by which one has to be better than the holder for the holder to be told
	WaitingTime     = 2 * MinRetryAfter      // one that waits is known for this long after it was last rejected
	ReservationTime = 700 * time.Millisecond // a released leadership is reserved this long for the one that the holder was told of
	IdleTime        = 10 * time.Second       // an expired leadership that nobody claims is forgotten after this
)

// Table holds the leases of the present leaderships. The zero value is that of a replica that does not lead.
// Not safe for concurrent use.
type Table struct {
	entries      map[string]*entry
	blockedUntil time.Duration // until then nothing is granted that nobody is known to hold
}

type entry struct {
	list.LeaseTerm                 // Epoch 0: nobody holds it, as far as is known here
	expiresAt        time.Duration // of the lease
	fitness          float64       // of the holder, as last reported
	lastRetryAt      time.Duration // when the last of those that wait was told to come back
	candidate        string        // the fittest of those that wait
	candidateFitness float64
	candidateSeenAt  time.Duration
	reservedUntil    time.Duration // for the one that waits
}

// Lead begins with the leaderships of the list, each with its full time again: an election only makes a lease
// longer.
func (t *Table) Lead(now time.Duration, leaderships []list.Leadership) {
	*t = Table{entries: map[string]*entry{}}
	for _, d := range leaderships {
		t.Committed(now, d)
	}
}

// Committed takes in a leadership as the log has just made it. Its holder sent the claim earlier, so its own
// count of the lease ends before the one here.
func (t *Table) Committed(now time.Duration, d list.Leadership) {
	x := t.entry(d.Name)
	if d.Holder == "" {
		if x.Epoch != 0 && x.hasFitterCandidate(now) {
			x.reservedUntil = now + ReservationTime
		}
		x.LeaseTerm = list.LeaseTerm{}
		return
	}
	if x.Epoch != d.Epoch {
		x.expiresAt, x.candidate, x.reservedUntil = 0, "", 0
	}
	x.LeaseTerm = d.LeaseTerm
	x.expiresAt = max(x.expiresAt, now+time.Duration(d.LeaseMs)*time.Millisecond)
}

func (t *Table) entry(name string) *entry {
	x := t.entries[name]
	if x == nil {
		x = &entry{}
		t.entries[name] = x
	}
	return x
}

// Invalidate is called when the list has lost who holds what. For the longest lease nobody gets a leadership
// that somebody may still hold. A leader that fails in that time takes the wait with it; epochs are what is
// left then.
func (t *Table) Invalidate(now time.Duration) {
	t.entries = map[string]*entry{}
	t.blockedUntil = now + api.MaxLeadershipLeaseMs*time.Millisecond
}

// Decide tells whether a claim is worth a command: then over, which may be nil, is the term that it ends.
// Otherwise after is when the claimant is to ask again. d is the leadership by the list here, and isHeld
// whether somebody has it.
func (t *Table) Decide(now time.Duration, d list.Leadership, isHeld bool, c api.LeadershipClaim) (over *list.LeaseTerm, after time.Duration, acquire bool) {
	x := t.entry(c.Name)
	if isHeld && x.LeaseTerm != d.LeaseTerm {
		t.Committed(now, d)
	}
	switch {
	case isHeld && d.Holder == c.Holder:
		return nil, 0, true
	case !isHeld && now < t.blockedUntil:
		return nil, max(min(t.blockedUntil-now, MaxRetryAfter), MinRetryAfter), false
	case (!isHeld || now >= x.expiresAt) && (now >= x.reservedUntil || x.candidate == c.Holder):
		if isHeld {
			over = &d.LeaseTerm
		}
		return over, 0, true
	}
	if now >= x.candidateSeenAt+WaitingTime || c.Fitness > x.candidateFitness || x.candidate == c.Holder {
		x.candidate, x.candidateFitness, x.candidateSeenAt = c.Holder, c.Fitness, now
	}
	if x.candidate == c.Holder && x.hasFitterCandidate(now) {
		return nil, MinRetryAfter, false // the holder may hand over to it at any time
	}
	// One that the holder stopped renewing is claimed at its lease's end.
	soonest := max(RetrySpacing, min(MinRetryAfter, x.expiresAt-now))
	x.lastRetryAt = min(max(now+soonest, x.lastRetryAt+RetrySpacing), now+MaxRetryAfter)
	return nil, x.lastRetryAt - now, false
}

// Renewed notes a holder's fitness, and returns the fitness of the one that waits if it is better by
// HandoverMargin; 0: none is.
func (t *Table) Renewed(now time.Duration, c api.LeadershipClaim) (better float64) {
	x := t.entry(c.Name)
	x.fitness = c.Fitness
	if x.hasFitterCandidate(now) {
		return x.candidateFitness
	}
	return 0
}

// hasFitterCandidate tells whether one that waits is fitter than the holder by HandoverMargin.
func (x *entry) hasFitterCandidate(now time.Duration) bool {
	return x.candidate != "" && now < x.candidateSeenAt+WaitingTime && x.candidateFitness >= x.fitness+HandoverMargin
}

// Expired returns the terms that have been over for IdleTime, by name, and forgets leaderships that nobody
// holds or claims.
func (t *Table) Expired(now time.Duration) (idle []list.LeaseTerm) {
	for name, x := range t.entries {
		switch {
		case x.Epoch != 0 && now > x.expiresAt+IdleTime:
			idle = append(idle, x.LeaseTerm)
		case x.Epoch == 0 && now > max(x.candidateSeenAt, x.lastRetryAt)+IdleTime:
			delete(t.entries, name)
		}
	}
	slices.SortFunc(idle, func(a, b list.LeaseTerm) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return idle
}

// Clone returns a copy in the same state.
func (t *Table) Clone() Table {
	c := Table{entries: map[string]*entry{}, blockedUntil: t.blockedUntil}
	for name, x := range t.entries {
		same := *x
		c.entries[name] = &same
	}
	return c
}

// AppendKey appends all that the future of a leadership may depend on, for state exploration: times from now
// on, epochs and renewals relative to the leadership's, and nothing for what is over.
func (t *Table) AppendKey(b []byte, now time.Duration, d list.Leadership) []byte {
	x := t.entries[d.Name]
	if x == nil {
		return append(b, 0)
	}
	put := func(at time.Duration) { b = binary.AppendVarint(b, int64(max(0, at-now))) }
	b = binary.AppendVarint(append(b, 1), int64(d.Epoch-x.Epoch))
	b = binary.AppendVarint(b, int64(d.Renewals-x.Renewals))
	b = binary.AppendVarint(b, int64(1000*x.fitness))
	put(x.expiresAt)
	put(x.lastRetryAt)
	put(t.blockedUntil)
	if now < max(x.candidateSeenAt+WaitingTime, x.reservedUntil) {
		b = binary.AppendVarint(append(b, x.candidate...), int64(1000*x.candidateFitness))
		put(x.candidateSeenAt + WaitingTime)
		put(x.reservedUntil)
	}
	return b
}
