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

// maxInFlight is how many calls, and how many answers, of a candidate may be under way: the oldest beyond are lost.
const maxInFlight = 2

type candidate struct {
	lease.Elector
	clock           time.Duration // its own
	ticksSinceStall int           // ticks since its clock stood still, oneStill at most
	paused          bool
	campaigning     bool
	requests        []lease.Request // to the service
	response        *lease.Response // from it, to the call that is out
	actionEpoch     uint64          // an act under this epoch is under way; 0: none
}

// entry is one of the log that is not committed yet.
type entry struct {
	command   list.Command
	candidate int
	requestID uint64
}

type state struct {
	remaining  Bounds
	faults     Faults
	now        time.Duration
	list       *list.List // shared by states until one changes it, as terms
	leases     *leasetable.Table
	log        []entry
	candidates [2]candidate
	fenceEpoch uint64 // the fence: the highest epoch it has seen
	violation  string // a promise was broken by an act that was taken
}

func newState(b Bounds, f Faults) *state {
	s := &state{remaining: b, faults: f, list: list.New(1), leases: &leasetable.Table{}}
	s.leases.Lead(0, nil)
	for i := range s.candidates {
		c := &s.candidates[i]
		c.Elector, c.ticksSinceStall, c.campaigning = lease.NewElector(f.config(i), 0), stallInterval, true
		s.handle(i, lease.Campaign{On: true})
	}
	return s
}

// Clone implements modelcheck.State.
func (s *state) Clone() *state {
	c := *s
	c.log = slices.Clone(s.log)
	for i := range c.candidates {
		c.candidates[i].requests = slices.Clone(s.candidates[i].requests)
	}
	return &c
}

// handle has a candidate handle an event.
func (s *state) handle(who int, e lease.Event) {
	c := &s.candidates[who]
	for _, a := range c.Handle(c.clock, e) {
		if call, ok := a.(lease.Request); ok {
			c.requests = append(c.requests, call)
			c.requests = c.requests[max(0, len(c.requests)-maxInFlight):]
		}
	}
	if c.response != nil && c.response.ID != c.PendingID() {
		c.response = nil
	}
}

// unshare makes what the service has this state's alone.
func (s *state) unshare() {
	s.list = list.Load(s.list.State(), 1)
	own := s.leases.Clone()
	s.leases = &own
}

// receiveRequest is a call at the leader.
func (s *state) receiveRequest(who int, call lease.Request) {
	s.unshare()
	claim := &list.LeadershipClaim{LeadershipClaim: call.Claim}
	op := map[lease.Op]string{lease.Acquire: list.AcquireLeadership, lease.Renew: list.RenewLeadership, lease.Release: list.ReleaseLeadership}[call.Op]
	if call.Op == lease.Acquire {
		d, held := s.list.Leadership(leadershipName)
		over, after, ask := s.leases.Decide(s.now, d, held, call.Claim)
		if !ask {
			g := d.Grant()
			g.RetryAfterMs = after.Milliseconds()
			s.respond(who, call.ID, g)
			return
		}
		claim.ExpiredTerm = over
	}
	s.log = append(s.log, entry{list.Command{Op: op, Claim: claim}, who, call.ID})
}

func (s *state) respond(who int, id uint64, g api.LeadershipGrant) {
	c := &s.candidates[who]
	if id == c.PendingID() { // another is not read
		c.response = &lease.Response{ID: id, Known: true, Grant: g}
	}
}

// commit carries out the first entry of the log; told says whether there is a leader that answers.
func (s *state) commit(told bool) {
	s.unshare()
	e := s.log[0]
	s.log = s.log[1:]
	if d, held := s.list.Leadership(leadershipName); s.faults.NoTermCheck && held && e.command.Claim.ExpiredTerm != nil {
		claim := *e.command.Claim
		claim.ExpiredTerm = &d.LeaseTerm
		e.command.Claim = &claim
	}
	r := s.list.Apply(e.command)
	if !told {
		return
	}
	if r.Err == nil {
		s.leases.Committed(s.now, r.Leadership)
	}
	g := r.Leadership.Grant()
	if r.Err == nil && e.command.Op != list.ReleaseLeadership {
		g.BetterFitness = s.leases.Renewed(s.now, e.command.Claim.LeadershipClaim)
	}
	s.respond(e.candidate, e.requestID, g)
}

// elect begins another leader, with what was not committed or without.
func (s *state) elect(keeps bool) {
	for keeps && len(s.log) > 0 {
		s.commit(false)
	}
	s.log = nil
	s.unshare()
	s.leases.Lead(s.now, s.list.Leaderships())
}

// receiveAction is an act that reaches the one acted upon.
func (s *state) receiveAction(who int) {
	epoch := s.candidates[who].actionEpoch
	s.candidates[who].actionEpoch = 0
	if epoch < s.fenceEpoch {
		if s.faults.NoFence {
			s.violation = fmt.Sprintf("an act under epoch %d was taken after one under %d", epoch, s.fenceEpoch)
		}
		return
	}
	s.fenceEpoch = epoch
}

// Broken names a promise that does not hold.
func (s *state) Broken(*state) string {
	if s.violation != "" {
		return s.violation
	}
	d, _ := s.list.Leadership(leadershipName)
	for i := range s.candidates {
		c := &s.candidates[i]
		if epoch, ok := c.Holds(c.clock); ok && (d.Holder != holderName(i) || d.Epoch != epoch) {
			return fmt.Sprintf("%s may act under epoch %d, and the duty is of %q under %d", holderName(i), epoch, d.Holder, d.Epoch)
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
	d, held := s.list.Leadership(leadershipName)
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
	l := s.remaining
	put(uint64(l.Ticks), uint64(l.Pauses), uint64(l.Elections), uint64(l.Withdrawals), uint64(l.Delays), uint64(l.Actions), bit(held), highest-d.Epoch, highest-s.fenceEpoch)
	b = s.leases.AppendKey(append(b, d.Holder...), s.now, d)
	for _, e := range s.log {
		put(uint64(e.candidate), uint64(e.command.Op[2]), highest-e.command.Claim.Epoch, bit(e.requestID == s.candidates[e.candidate].PendingID()))
		if over := e.command.Claim.ExpiredTerm; over != nil {
			put(highest-over.Epoch, d.Renewals-over.Renewals)
		}
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		b = c.AppendKey(append(b, '|'), c.clock, highest)
		put(uint64(c.ticksSinceStall), bit(c.paused), bit(c.campaigning), bit(c.actionEpoch != 0), highest-c.actionEpoch*bit(c.actionEpoch != 0), uint64(len(c.requests)))
		for _, x := range c.requests {
			put(uint64(x.Op), highest-x.Claim.Epoch, bit(x.ID == c.PendingID()))
		}
		if a := c.response; a != nil {
			put(1, highest-a.Grant.Epoch, uint64(a.Grant.RetryAfterMs))
			b = append(b, a.Grant.Holder...)
		}
	}
	return b
}
