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

// maxInFlight is how many requests of a candidate may be in flight; beyond it the oldest is lost. Of the responses, only the one to
// the pending request is kept.
const maxInFlight = 2

// candidate is an elector with its clock and its messages in flight.
type candidate struct {
	lease.Elector
	clock           time.Duration // the candidate's own time
	ticksSinceStall int           // ticks since its clock last stood still, at most stallInterval
	paused          bool
	campaigning     bool
	requests        []lease.Request // in flight to the service
	response        *lease.Response // in flight from the service, to the pending request
	actionEpoch     uint64          // epoch of the action in flight; 0 if there is none
}

// entry is an uncommitted entry of the service's log.
type entry struct {
	command   list.Command
	candidate int
	requestID uint64
}

// state is a state of the model.
type state struct {
	remaining  Bounds // steps that may still occur
	faults     Faults
	now        time.Duration
	list       *list.List // shared between states until one changes it; so is leases
	leases     *leasetable.Table
	log        []entry // uncommitted
	candidates [2]candidate
	fenceEpoch uint64 // the highest epoch that the target has seen
	violation  string // the invariant that an accepted action broke; empty if none
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

// handle passes an event to a candidate, and sends its requests.
func (s *state) handle(candidate int, e lease.Event) {
	c := &s.candidates[candidate]
	for _, action := range c.Handle(c.clock, e) {
		if request, ok := action.(lease.Request); ok {
			c.requests = append(c.requests, request)
			c.requests = c.requests[max(0, len(c.requests)-maxInFlight):]
		}
	}
	if c.response != nil && c.response.ID != c.PendingID() {
		c.response = nil
	}
}

// unshare copies the service's list and leases, so that this state may change them.
func (s *state) unshare() {
	s.list = list.Load(s.list.State(), 1)
	leases := s.leases.Clone()
	s.leases = &leases
}

// receiveRequest processes a request at the service's leader: it responds, or appends an entry to the log.
func (s *state) receiveRequest(candidate int, request lease.Request) {
	s.unshare()
	claim := &list.LeadershipClaim{LeadershipClaim: request.Claim}
	op := map[lease.Op]string{lease.Acquire: list.AcquireLeadership, lease.Renew: list.RenewLeadership, lease.Release: list.ReleaseLeadership}[request.Op]
	if request.Op == lease.Acquire {
		d, held := s.list.Leadership(leadershipName)
		expired, retryAfter, acquire := s.leases.Decide(s.now, d, held, request.Claim)
		if !acquire {
			g := d.Grant()
			g.RetryAfterMs = retryAfter.Milliseconds()
			s.respond(candidate, request.ID, g)
			return
		}
		claim.ExpiredTerm = expired
	}
	s.log = append(s.log, entry{list.Command{Op: op, Claim: claim}, candidate, request.ID})
}

// respond sends a response, which is dropped if the candidate no longer waits for it.
func (s *state) respond(candidate int, id uint64, g api.LeadershipGrant) {
	c := &s.candidates[candidate]
	if id == c.PendingID() {
		c.response = &lease.Response{ID: id, Known: true, Grant: g}
	}
}

// commit applies the first entry of the log. respond says whether there is still a leader that sends the response.
func (s *state) commit(respond bool) {
	s.unshare()
	e := s.log[0]
	s.log = s.log[1:]
	if d, held := s.list.Leadership(leadershipName); s.faults.NoTermCheck && held && e.command.Claim.ExpiredTerm != nil {
		claim := *e.command.Claim
		claim.ExpiredTerm = &d.LeaseTerm
		e.command.Claim = &claim
	}
	r := s.list.Apply(e.command)
	if !respond {
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

// elect starts another leader of the service. keepLog says whether the uncommitted entries are committed first, or lost.
func (s *state) elect(keepLog bool) {
	for keepLog && len(s.log) > 0 {
		s.commit(false)
	}
	s.log = nil
	s.unshare()
	s.leases.Lead(s.now, s.list.Leaderships())
}

// receiveAction processes the arrival of a candidate's action at the target.
func (s *state) receiveAction(candidate int) {
	epoch := s.candidates[candidate].actionEpoch
	s.candidates[candidate].actionEpoch = 0
	if epoch < s.fenceEpoch {
		if s.faults.NoFence {
			s.violation = fmt.Sprintf("an action under epoch %d was accepted after one under epoch %d", epoch, s.fenceEpoch)
		}
		return
	}
	s.fenceEpoch = epoch
}

// Broken returns the invariant that does not hold, or an empty string.
func (s *state) Broken(*state) string {
	if s.violation != "" {
		return s.violation
	}
	d, _ := s.list.Leadership(leadershipName)
	for i := range s.candidates {
		c := &s.candidates[i]
		if epoch, ok := c.Holds(c.clock); ok && (d.Holder != holderName(i) || d.Epoch != epoch) {
			return fmt.Sprintf("%s may act under epoch %d, but the leadership is held by %q under epoch %d", holderName(i), epoch, d.Holder, d.Epoch)
		}
	}
	return ""
}

// Hash returns a hash of the key. States with equal hashes are taken for the same; the chance of a collision is 1 in 2^128 for a pair.
func (s *state) Hash() (h modelcheck.Hash) {
	sum := sha256.Sum256(s.key(make([]byte, 0, 256)))
	copy(h[:], sum[:])
	return h
}

// key appends an encoding of the state that leaves out what makes no difference: the origins of time and epochs, and the IDs of requests.
func (s *state) key(b []byte) []byte {
	d, held := s.list.Leadership(leadershipName)
	highest := s.list.Epoch()
	if !held {
		d.Epoch = highest
	}
	put := func(values ...uint64) {
		for _, v := range values {
			b = binary.AppendUvarint(b, v)
		}
	}
	bit := func(set bool) uint64 {
		if set {
			return 1
		}
		return 0
	}
	remaining := s.remaining
	put(uint64(remaining.Ticks), uint64(remaining.Pauses), uint64(remaining.Elections), uint64(remaining.Withdrawals), uint64(remaining.Delays), uint64(remaining.Actions), bit(held), highest-d.Epoch, highest-s.fenceEpoch)
	b = s.leases.AppendKey(append(b, d.Holder...), s.now, d)
	for _, e := range s.log {
		put(uint64(e.candidate), uint64(e.command.Op[2]), highest-e.command.Claim.Epoch, bit(e.requestID == s.candidates[e.candidate].PendingID()))
		if expired := e.command.Claim.ExpiredTerm; expired != nil {
			put(highest-expired.Epoch, d.Renewals-expired.Renewals)
		}
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		b = c.AppendKey(append(b, '|'), c.clock, highest)
		put(uint64(c.ticksSinceStall), bit(c.paused), bit(c.campaigning), bit(c.actionEpoch != 0), highest-c.actionEpoch*bit(c.actionEpoch != 0), uint64(len(c.requests)))
		for _, request := range c.requests {
			put(uint64(request.Op), highest-request.Claim.Epoch, bit(request.ID == c.PendingID()))
		}
		if response := c.response; response != nil {
			put(1, highest-response.Grant.Epoch, uint64(response.Grant.RetryAfterMs))
			b = append(b, response.Grant.Holder...)
		}
	}
	return b
}
