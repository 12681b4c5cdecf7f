// Package leasetable owns how long duties are held by the leader's clock, and when those who wait for one ask again. It is pure:
// times are handed in, monotonic since any origin. What it says is a wish: the log decides (list.Take).
//
// A lapse is decided when somebody asks for the duty, and enters the log with the take, as a compare-and-set on the term that
// is over: a lapse that nobody waits for costs no entry of the log, and a leader that was deposed meanwhile can end nothing,
// since the turn that it names is not the present one any more or its command is not committed.
package leasetable

import (
	"encoding/binary"
	"slices"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

// The pace of those who wait: a duty costs the service at most a call each Spacing while it is held, whatever their number.
const (
	Spacing   = 100 * time.Millisecond // between two who are told to come back
	Soonest   = 500 * time.Millisecond // one that was refused comes back after that, or at the lease's end
	Latest    = time.Minute            // and at the latest after that
	HandOnBy  = 100                    // fitness by which one has to be better than the holder for its wish to be told
	WishLasts = 2 * Soonest            // since it was last refused
	Reserved  = 700 * time.Millisecond // a released duty is kept so long for the one whose wish was told
	Idle      = 10 * time.Second       // a lapsed duty that nobody takes is forgotten after that
)

// Terms are those of the present duties. The zero value is that of a replica that does not lead. Not safe for concurrent use.
type Terms struct {
	of    map[string]*term
	quiet time.Duration // until then nothing is given that nobody is known to hold
}

type term struct {
	list.Term               // Epoch 0: nobody holds it, as far as is known here
	end       time.Duration // of the lease
	fitness   float64       // the holder's, as last said
	slot      time.Duration // when the last of those who wait was told to come back
	wish      string        // the best of those who wait
	best      float64
	wishedAt  time.Duration
	keep      time.Duration // for the wish, until then
}

// Lead begins with the duties of the list, all with their full time again: a lease only gets longer by an election.
func (t *Terms) Lead(now time.Duration, duties []list.Duty) {
	*t = Terms{of: map[string]*term{}}
	for _, d := range duties {
		t.Turned(now, d)
	}
}

// Turned is a duty as the log has just made it. Whoever asked for that did so earlier, so its own count of the lease ends
// before the one here.
func (t *Terms) Turned(now time.Duration, d list.Duty) {
	x := t.at(d.Name)
	if d.Holder == "" {
		if x.Epoch != 0 && x.better(now) {
			x.keep = now + Reserved
		}
		x.Term = list.Term{}
		return
	}
	if x.Epoch != d.Epoch {
		x.end, x.wish, x.keep = 0, "", 0
	}
	x.Term = d.Term
	x.end = max(x.end, now+time.Duration(d.LeaseMs)*time.Millisecond)
}

func (t *Terms) at(name string) *term {
	x := t.of[name]
	if x == nil {
		x = &term{}
		t.of[name] = x
	}
	return x
}

// Forgot says that the list lost who holds what: for the longest lease nobody gets what one may hold yet. A leader that
// falls in that time takes the wait with it; epochs are what is left then.
func (t *Terms) Forgot(now time.Duration) {
	t.of = map[string]*term{}
	t.quiet = now + api.MaxDutyLeaseMs*time.Millisecond
}

// Ask tells whether a claim is worth a command: then over, which may be nil, is the term that it ends. Else when the
// candidate is to ask again. d is the duty by the list here, and held whether it has it.
func (t *Terms) Ask(now time.Duration, d list.Duty, held bool, c api.Claim) (over *list.Term, after time.Duration, ask bool) {
	x := t.at(c.Name)
	if held && x.Term != d.Term {
		t.Turned(now, d)
	}
	switch {
	case held && d.Holder == c.Holder:
		return nil, 0, true
	case !held && now < t.quiet:
		return nil, max(min(t.quiet-now, Latest), Soonest), false
	case (!held || now >= x.end) && (now >= x.keep || x.wish == c.Holder):
		if held {
			over = &d.Term
		}
		return over, 0, true
	}
	if now >= x.wishedAt+WishLasts || c.Fitness > x.best || x.wish == c.Holder {
		x.wish, x.best, x.wishedAt = c.Holder, c.Fitness, now
	}
	if x.wish == c.Holder && x.better(now) {
		return nil, Soonest, false // the holder may hand on to it at any time
	}
	// A holder that does not renew any more is followed at its lease's end.
	soonest := max(Spacing, min(Soonest, x.end-now))
	x.slot = min(max(now+soonest, x.slot+Spacing), now+Latest)
	return nil, x.slot - now, false
}

// Renewed notes a holder's fitness, and gives the best wish that is above it by enough; 0: none.
func (t *Terms) Renewed(now time.Duration, c api.Claim) (better float64) {
	x := t.at(c.Name)
	x.fitness = c.Fitness
	if x.better(now) {
		return x.best
	}
	return 0
}

// better tells whether one who waits is well above the holder.
func (x *term) better(now time.Duration) bool {
	return x.wish != "" && now < x.wishedAt+WishLasts && x.best >= x.fitness+HandOnBy
}

// Idle are terms that have been over for long, in the order of names, and forgets what is known of duties that nobody
// holds or asks for.
func (t *Terms) Idle(now time.Duration) (idle []list.Term) {
	for name, x := range t.of {
		switch {
		case x.Epoch != 0 && now > x.end+Idle:
			idle = append(idle, x.Term)
		case x.Epoch == 0 && now > max(x.wishedAt, x.slot)+Idle:
			delete(t.of, name)
		}
	}
	slices.SortFunc(idle, func(a, b list.Term) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return idle
}

// Clone is another in the same state.
func (t *Terms) Clone() Terms {
	c := Terms{of: map[string]*term{}, quiet: t.quiet}
	for name, x := range t.of {
		same := *x
		c.of[name] = &same
	}
	return c
}

// AppendKey words all that the future of a duty may depend on, for who explores it: times from now on, epochs and turns from
// those of the duty, what is over as nothing. Who waits is worded by the holder's name.
func (t *Terms) AppendKey(b []byte, now time.Duration, d list.Duty) []byte {
	x := t.of[d.Name]
	if x == nil {
		return append(b, 0)
	}
	put := func(at time.Duration) { b = binary.AppendVarint(b, int64(max(0, at-now))) }
	b = binary.AppendVarint(append(b, 1), int64(d.Epoch-x.Epoch))
	b = binary.AppendVarint(b, int64(d.Turn-x.Turn))
	b = binary.AppendVarint(b, int64(1000*x.fitness))
	put(x.end)
	put(x.slot)
	put(t.quiet)
	if now < max(x.wishedAt+WishLasts, x.keep) {
		b = binary.AppendVarint(append(b, x.wish...), int64(1000*x.best))
		put(x.wishedAt + WishLasts)
		put(x.keep)
	}
	return b
}
