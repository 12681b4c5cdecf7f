// Package memory owns a service of leaderships in one process's memory: the list and the terms of a replica without log and network,
// for whoever tries candidates out.
package memory

import (
	"context"
	"sync"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/leasetable"
	"mosslead/internal/registry/list"
)

// Service implements leadership.Service. Safe for concurrent use.
type Service struct {
	now func() time.Duration

	mu     sync.Mutex
	list   *list.List
	leases leasetable.Table
	down   bool
	calls  int
}

// New is a service that nobody has asked yet. now is its clock; nil: the time from here on.
func New(now func() time.Duration) *Service {
	if begin := time.Now(); now == nil {
		now = func() time.Duration { return time.Since(begin) }
	}
	s := &Service{now: now, list: list.New(1)}
	s.leases.Lead(now(), nil)
	return s
}

// Down has it answer nobody, or all again after an election.
func (s *Service) Down(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		s.leases.Lead(s.now(), s.list.Leaderships())
	}
	s.down = down
}

// Calls counts calls, those that were not answered too.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Leadership is a leadership as it is now.
func (s *Service) Leadership(name string) api.LeadershipGrant {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, _ := s.list.Leadership(name)
	return d.Grant()
}

// AcquireLeadership implements leadership.Service.
func (s *Service) AcquireLeadership(_ context.Context, c api.LeadershipClaim) (api.LeadershipGrant, error) {
	return s.apply(list.AcquireLeadership, c)
}

// RenewLeadership implements leadership.Service.
func (s *Service) RenewLeadership(_ context.Context, c api.LeadershipClaim) (api.LeadershipGrant, error) {
	return s.apply(list.RenewLeadership, c)
}

// ReleaseLeadership implements leadership.Service.
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
		over, after, acquire := s.leases.Decide(now, d, isHeld, c)
		if !acquire {
			g := d.Grant()
			g.RetryAfterMs = after.Milliseconds()
			return g, nil
		}
		claim.ExpiredTerm = over
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
