// Package leasetable records, at the leader of the list service, when the leases of leaderships end by the leader's
// clock, and when waiting candidates are to retry. It reads no clock: times are passed in, monotonic from any
// origin. Its decisions are proposals; the replicated log makes the final decision (list.AcquireLeadership).
//
// An expiry is decided when a candidate claims the leadership, and enters the log with that claim as a
// compare-and-set on the term that has expired. So an expiry that no candidate waits for costs no log entry, and
// a leader that has been deposed in the meantime can't end a term: the term in its command is no longer the
// current one, or the command is not committed.
package leasetable

import (
	"encoding/binary"
	"slices"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

// Limits of the requests of waiting candidates: a leadership costs the service at most one request per
// RetrySpacing while it is held, if no more than MaxRetryAfter/RetrySpacing candidates wait.
const (
	RetrySpacing    = 100 * time.Millisecond // between the retries of two candidates
	MinRetryAfter   = 500 * time.Millisecond // earliest retry of a rejected candidate, unless the lease ends before that
	MaxRetryAfter   = time.Minute            // latest retry of a rejected candidate
	HandoverMargin  = 100                    // fitness by which a candidate must exceed the holder before the holder is informed of it
	WaitingTime     = 2 * MinRetryAfter      // a candidate counts as waiting for this long after its last rejection
	ReservationTime = 700 * time.Millisecond // how long a released leadership is reserved for the candidate that the holder was informed of
	IdleTime        = 10 * time.Second       // an expired leadership that nobody claims is forgotten after this
)

// Table holds the leases of the present leaderships. The zero value is that of a replica that does not lead.
// Not safe for concurrent use.
type Table struct {
	entries      map[string]*entry
	blockedUntil time.Duration // until then, a leadership without a known holder is not granted
}

type entry struct {
	list.LeaseTerm                 // Epoch is 0 if no holder is known here
	expiresAt        time.Duration // end of the lease
	fitness          float64       // of the holder, as last reported
	lastRetryAt      time.Duration // latest time at which a candidate was told to retry
	candidate        string        // the fittest waiting candidate; empty if none is known
	candidateFitness float64
	candidateSeenAt  time.Duration // time of its latest claim
	reservedUntil    time.Duration // until then only the candidate is granted the leadership
}

// Lead starts with the leaderships of the list, each with its full lease again, so that an
// election can only extend a lease.
func (t *Table) Lead(now time.Duration, leaderships []list.Leadership) {
	*t = Table{entries: map[string]*entry{}}
	for _, leadership := range leaderships {
		t.Committed(now, leadership)
	}
}

// Committed applies a leadership that the log has just committed. Its holder sent the claim earlier, so the lease
// ends earlier by the holder's clock than by the leader's.
func (t *Table) Committed(now time.Duration, leadership list.Leadership) {
	e := t.entry(leadership.Name)
	if leadership.Holder == "" {
		if e.Epoch != 0 && e.hasFitterCandidate(now) {
			e.reservedUntil = now + ReservationTime
		}
		e.LeaseTerm = list.LeaseTerm{}
		return
	}
	if e.Epoch != leadership.Epoch {
		e.expiresAt, e.candidate, e.reservedUntil = 0, "", 0
	}
	e.LeaseTerm = leadership.LeaseTerm
	e.expiresAt = max(e.expiresAt, now+time.Duration(leadership.LeaseMs)*time.Millisecond)
}

func (t *Table) entry(name string) *entry {
	e := t.entries[name]
	if e == nil {
		e = &entry{}
		t.entries[name] = e
	}
	return e
}

// Invalidate is called when the list no longer contains the holders of the leaderships. For the duration of the
// longest lease, no leadership without a known holder is granted, since another candidate may still hold it. If the
// leader fails in that time, the next leader does not wait, and only epochs protect from two holders.
func (t *Table) Invalidate(now time.Duration) {
	t.entries = map[string]*entry{}
	t.blockedUntil = now + api.MaxLeadershipLeaseMs*time.Millisecond
}

// Decide reports whether a claim is to be proposed to the log. If it is, expired is the term that the claim ends,
// or nil if it ends none; otherwise retryAfter is how long the claimant is to wait before it retries. leadership
// is the one in the list of this replica, and isHeld is whether it has a holder.
func (t *Table) Decide(now time.Duration, leadership list.Leadership, isHeld bool, c api.LeadershipClaim) (expired *list.LeaseTerm, retryAfter time.Duration, acquire bool) {
	e := t.entry(c.Name)
	if isHeld && e.LeaseTerm != leadership.LeaseTerm {
		t.Committed(now, leadership)
	}
	switch {
	case isHeld && leadership.Holder == c.Holder:
		return nil, 0, true
	case !isHeld && now < t.blockedUntil:
		return nil, max(min(t.blockedUntil-now, MaxRetryAfter), MinRetryAfter), false
	case (!isHeld || now >= e.expiresAt) && (now >= e.reservedUntil || e.candidate == c.Holder):
		if isHeld {
			expired = &leadership.LeaseTerm
		}
		return expired, 0, true
	}
	if now >= e.candidateSeenAt+WaitingTime || c.Fitness > e.candidateFitness || e.candidate == c.Holder {
		e.candidate, e.candidateFitness, e.candidateSeenAt = c.Holder, c.Fitness, now
	}
	if e.candidate == c.Holder && e.hasFitterCandidate(now) {
		return nil, MinRetryAfter, false // the holder may release the leadership for this candidate at any time
	}
	// If the holder has stopped renewing, a candidate retries at the end of the lease.
	earliest := max(RetrySpacing, min(MinRetryAfter, e.expiresAt-now))
	e.lastRetryAt = min(max(now+earliest, e.lastRetryAt+RetrySpacing), now+MaxRetryAfter)
	return nil, e.lastRetryAt - now, false
}

// Renewed records a holder's fitness, and returns the fitness of the fittest waiting candidate if that exceeds it
// by HandoverMargin, otherwise 0.
func (t *Table) Renewed(now time.Duration, c api.LeadershipClaim) (better float64) {
	e := t.entry(c.Name)
	e.fitness = c.Fitness
	if e.hasFitterCandidate(now) {
		return e.candidateFitness
	}
	return 0
}

// hasFitterCandidate reports whether a waiting candidate is fitter than the holder by HandoverMargin.
func (e *entry) hasFitterCandidate(now time.Duration) bool {
	return e.candidate != "" && now < e.candidateSeenAt+WaitingTime && e.candidateFitness >= e.fitness+HandoverMargin
}

// Expired returns the terms that ended more than IdleTime ago, sorted by name, and forgets leaderships that nobody
// holds or claims.
func (t *Table) Expired(now time.Duration) (idle []list.LeaseTerm) {
	for name, e := range t.entries {
		switch {
		case e.Epoch != 0 && now > e.expiresAt+IdleTime:
			idle = append(idle, e.LeaseTerm)
		case e.Epoch == 0 && now > max(e.candidateSeenAt, e.lastRetryAt)+IdleTime:
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
	for name, e := range t.entries {
		copied := *e
		c.entries[name] = &copied
	}
	return c
}

// AppendKey appends all state on which later decisions about a leadership depend, for state exploration: times relative
// to now, epochs and renewals relative to the leadership's, and nothing for a candidate that no longer counts as waiting.
func (t *Table) AppendKey(b []byte, now time.Duration, leadership list.Leadership) []byte {
	e := t.entries[leadership.Name]
	if e == nil {
		return append(b, 0)
	}
	appendTime := func(at time.Duration) { b = binary.AppendVarint(b, int64(max(0, at-now))) }
	b = binary.AppendVarint(append(b, 1), int64(leadership.Epoch-e.Epoch))
	b = binary.AppendVarint(b, int64(leadership.Renewals-e.Renewals))
	b = binary.AppendVarint(b, int64(1000*e.fitness))
	appendTime(e.expiresAt)
	appendTime(e.lastRetryAt)
	appendTime(t.blockedUntil)
	if now < max(e.candidateSeenAt+WaitingTime, e.reservedUntil) {
		b = binary.AppendVarint(append(b, e.candidate...), int64(1000*e.candidateFitness))
		appendTime(e.candidateSeenAt + WaitingTime)
		appendTime(e.reservedUntil)
	}
	return b
}
