package explore

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"mosslead/internal/lease"
	"mosslead/internal/modelcheck"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/leasetable"
	"mosslead/internal/registry/list"
)

// underWay is how many calls, and how many answers, of a candidate may be under way: the oldest beyond are lost.
const underWay = 2

type candidate struct {
	lease.Elector
	clock   time.Duration // its own
	rested  int           // ticks since its clock stood still, oneStill at most
	stopped bool
	wants   bool
	calls   []lease.Request // to the service
	answer  *lease.Response // from it, to the call that is out
	act     uint64          // an act under this epoch is under way; 0: none
}

// entry is one of the log that is not committed yet.
type entry struct {
	c   list.Command
	who int
	id  uint64
}

type state struct {
	left   Bounds
	faults Faults
	now    time.Duration
	list   *list.List // shared by states until one changes it, as terms
	terms  *leasetable.Table
	log    []entry
	of     [2]candidate
	seen   uint64 // the fence: the highest epoch it has seen
	why    string // a promise was broken by an act that was taken
}

func begin(b Bounds, f Faults) *state {
	s := &state{left: b, faults: f, list: list.New(1), terms: &leasetable.Table{}}
	s.terms.Lead(0, nil)
	for i := range s.of {
		c := &s.of[i]
		c.Elector, c.rested, c.wants = lease.NewElector(f.config(i), 0), oneStill, true
		s.tell(i, lease.Campaign{On: true})
	}
	return s
}

// Clone implements modelcheck.State.
func (s *state) Clone() *state {
	c := *s
	c.log = slices.Clone(s.log)
	for i := range c.of {
		c.of[i].calls = slices.Clone(s.of[i].calls)
	}
	return &c
}

// tell has a candidate handle an event.
func (s *state) tell(who int, e lease.Event) {
	c := &s.of[who]
	for _, a := range c.Handle(c.clock, e) {
		if call, ok := a.(lease.Request); ok {
			c.calls = append(c.calls, call)
			c.calls = c.calls[max(0, len(c.calls)-underWay):]
		}
	}
	if c.answer != nil && c.answer.ID != c.PendingID() {
		c.answer = nil
	}
}

// own makes what the service has this state's alone.
func (s *state) own() {
	s.list = list.Load(s.list.State(), 1)
	own := s.terms.Clone()
	s.terms = &own
}

// arrive is a call at the leader.
func (s *state) arrive(who int, call lease.Request) {
	s.own()
	claim := &list.LeadershipClaim{LeadershipClaim: call.Claim}
	op := map[lease.Op]string{lease.Acquire: list.AcquireLeadership, lease.Renew: list.RenewLeadership, lease.Release: list.ReleaseLeadership}[call.Op]
	if call.Op == lease.Acquire {
		d, held := s.list.Leadership(name)
		over, after, ask := s.terms.Decide(s.now, d, held, call.Claim)
		if !ask {
			g := d.Grant()
			g.RetryAfterMs = after.Milliseconds()
			s.answer(who, call.ID, g)
			return
		}
		claim.ExpiredTerm = over
	}
	s.log = append(s.log, entry{list.Command{Op: op, Claim: claim}, who, call.ID})
}

func (s *state) answer(who int, id uint64, g api.LeadershipGrant) {
	c := &s.of[who]
	if id == c.PendingID() { // another is not read
		c.answer = &lease.Response{ID: id, Known: true, Grant: g}
	}
}

// commit carries out the first entry of the log; told says whether there is a leader that answers.
func (s *state) commit(told bool) {
	s.own()
	e := s.log[0]
	s.log = s.log[1:]
	if d, held := s.list.Leadership(name); s.faults.NoTurns && held && e.c.Claim.ExpiredTerm != nil {
		claim := *e.c.Claim
		claim.ExpiredTerm = &d.LeaseTerm
		e.c.Claim = &claim
	}
	r := s.list.Apply(e.c)
	if !told {
		return
	}
	if r.Err == nil {
		s.terms.Committed(s.now, r.Leadership)
	}
	g := r.Leadership.Grant()
	if r.Err == nil && e.c.Op != list.ReleaseLeadership {
		g.BetterFitness = s.terms.Renewed(s.now, e.c.Claim.LeadershipClaim)
	}
	s.answer(e.who, e.id, g)
}

// elect begins another leader, with what was not committed or without.
func (s *state) elect(keeps bool) {
	for keeps && len(s.log) > 0 {
		s.commit(false)
	}
	s.log = nil
	s.own()
	s.terms.Lead(s.now, s.list.Leaderships())
}

// take is an act that reaches the one acted upon.
func (s *state) take(who int) {
	epoch := s.of[who].act
	s.of[who].act = 0
	if epoch < s.seen {
		if s.faults.NoFence {
			s.why = fmt.Sprintf("an act under epoch %d was taken after one under %d", epoch, s.seen)
		}
		return
	}
	s.seen = epoch
}

// Broken names a promise that does not hold.
func (s *state) Broken(*state) string {
	if s.why != "" {
		return s.why
	}
	d, _ := s.list.Leadership(name)
	for i := range s.of {
		c := &s.of[i]
		if epoch, ok := c.Holds(c.clock); ok && (d.Holder != holder(i) || d.Epoch != epoch) {
			return fmt.Sprintf("%s may act under epoch %d, and the duty is of %q under %d", holder(i), epoch, d.Holder, d.Epoch)
		}
	}
	return ""
}

// Hash is one of the key; two keys with the same one are taken for the same state, by a chance of 1 in 2^128 for a pair.
func (s *state) Hash() (h modelcheck.Hash) {
	sum := sha256.Sum256(s.key(make([]byte, 0, 256)))
	copy(h[:], sum[:])
	return h
}

// key is the state up to what makes no difference: where time and epochs begin, and the ids of calls.
func (s *state) key(b []byte) []byte {
	d, held := s.list.Leadership(name)
	highest := s.list.Epoch()
	if !held {
		d.Epoch = highest
	}
	put := func(all ...uint64) {
		for _, x := range all {
			b = binary.AppendUvarint(b, x)
		}
	}
	bit := func(on bool) uint64 {
		if on {
			return 1
		}
		return 0
	}
	l := s.left
	put(uint64(l.Ticks), uint64(l.Stops), uint64(l.Elections), uint64(l.Wishes), uint64(l.Delays), uint64(l.Acts), bit(held), highest-d.Epoch, highest-s.seen)
	b = s.terms.AppendKey(append(b, d.Holder...), s.now, d)
	for _, e := range s.log {
		put(uint64(e.who), uint64(e.c.Op[2]), highest-e.c.Claim.Epoch, bit(e.id == s.of[e.who].PendingID()))
		if over := e.c.Claim.ExpiredTerm; over != nil {
			put(highest-over.Epoch, d.Renewals-over.Renewals)
		}
	}
	for i := range s.of {
		c := &s.of[i]
		b = c.AppendKey(append(b, '|'), c.clock, highest)
		put(uint64(c.rested), bit(c.stopped), bit(c.wants), bit(c.act != 0), highest-c.act*bit(c.act != 0), uint64(len(c.calls)))
		for _, x := range c.calls {
			put(uint64(x.Op), highest-x.Claim.Epoch, bit(x.ID == c.PendingID()))
		}
		if a := c.answer; a != nil {
			put(1, highest-a.Grant.Epoch, uint64(a.Grant.RetryAfterMs))
			b = append(b, a.Grant.Holder...)
		}
	}
	return b
}
