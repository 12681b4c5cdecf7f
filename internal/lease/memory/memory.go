// Package memory implements lease.Service in one process's memory, for tests of candidates. It uses the list and
// the lease table of a replica, without the log and the network.
package memory

import (
	"context"
	"sync"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/leasetable"
	"mosslead/internal/registry/list"
)

// Service implements lease.Service. Safe for concurrent use.
type Service struct {
	now func() time.Duration

	mu     sync.Mutex
	list   *list.List
	leases leasetable.Table
	down   bool
	calls  int
}

// New returns a service without leaderships. now is its clock; if it is nil, the time since this call is used.
func New(now func() time.Duration) *Service {
	if begin := time.Now(); now == nil {
		now = func() time.Duration { return time.Since(begin) }
	}
	s := &Service{now: now, list: list.New(1)}
	s.leases.Lead(now(), nil)
	return s
}

// Down stops the service from answering if down is true; otherwise it starts the service again as a newly elected leader.
func (s *Service) Down(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		s.leases.Lead(s.now(), s.list.Leaderships())
	}
	s.down = down
}

// Calls returns the number of calls so far, including those that were not answered.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Leadership returns the present state of a leadership.
func (s *Service) Leadership(name string) api.LeadershipGrant {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, _ := s.list.Leadership(name)
	return d.Grant()
}

// AcquireLeadership implements lease.Service.
func (s *Service) AcquireLeadership(_ context.Context, c api.LeadershipClaim) (api.LeadershipGrant, error) {
	return s.apply(list.AcquireLeadership, c)
}

// RenewLeadership implements lease.Service.
func (s *Service) RenewLeadership(_ context.Context, c api.LeadershipClaim) (api.LeadershipGrant, error) {
	return s.apply(list.RenewLeadership, c)
}

// ReleaseLeadership implements lease.Service.
func (s *Service) ReleaseLeadership(_ context.Context, c api.LeadershipClaim) error {
	_, err := s.apply(list.ReleaseLeadership, c)
	return err
}

func (s *Service) apply(op string, c api.LeadershipClaim) (api.LeadershipGrant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return api.LeadershipGrant{}, api.Errorf(api.CodeNoLeader, "down")
	}
	if err := c.Check(op != list.AcquireLeadership); err != nil {
		return api.LeadershipGrant{}, err
	}
	now := s.now()
	claim := &list.LeadershipClaim{LeadershipClaim: c}
	if op == list.AcquireLeadership {
		d, isHeld := s.list.Leadership(c.Name)
		expired, retryAfter, acquire := s.leases.Decide(now, d, isHeld, c)
		if !acquire {
			g := d.Grant()
			g.RetryAfterMs = retryAfter.Milliseconds()
			return g, nil
		}
		claim.ExpiredTerm = expired
	}
	r := s.list.Apply(list.Command{Op: op, Claim: claim})
	g := r.Leadership.Grant()
	g.Name = c.Name
	if r.Err == nil {
		s.leases.Committed(now, r.Leadership)
		g.BetterFitness = s.leases.Renewed(now, c)
	}
	return g, nil
}
