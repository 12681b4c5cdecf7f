// Package memory owns a service of duties in one process's memory: the list and the terms of a replica without log and network,
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

// Service implements duty.Service. Safe for concurrent use.
type Service struct {
	now func() time.Duration

	mu    sync.Mutex
	list  *list.List
	terms leasetable.Terms
	down  bool
	calls int
}

// New is a service that nobody has asked yet. now is its clock; nil: the time from here on.
func New(now func() time.Duration) *Service {
	if begin := time.Now(); now == nil {
		now = func() time.Duration { return time.Since(begin) }
	}
	s := &Service{now: now, list: list.New(1)}
	s.terms.Lead(now(), nil)
	return s
}

// Down has it answer nobody, or all again after an election.
func (s *Service) Down(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		s.terms.Lead(s.now(), s.list.Duties())
	}
	s.down = down
}

// Calls counts calls, those that were not answered too.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Duty is a duty as it is now.
func (s *Service) Duty(name string) api.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, _ := s.list.Duty(name)
	return d.Grant()
}

// Take implements duty.Service.
func (s *Service) Take(_ context.Context, c api.Claim) (api.Grant, error) { return s.do(list.Take, c) }

// RenewDuty implements duty.Service.
func (s *Service) RenewDuty(_ context.Context, c api.Claim) (api.Grant, error) {
	return s.do(list.Renew, c)
}

// Release implements duty.Service.
func (s *Service) Release(_ context.Context, c api.Claim) error {
	_, err := s.do(list.Release, c)
	return err
}

func (s *Service) do(op string, c api.Claim) (api.Grant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return api.Grant{}, api.Fail(api.CodeNoLeader, "down")
	}
	if err := c.Check(op != list.Take); err != nil {
		return api.Grant{}, err
	}
	now := s.now()
	claim := &list.Claim{Claim: c}
	if op == list.Take {
		d, held := s.list.Duty(c.Name)
		over, after, ask := s.terms.Ask(now, d, held, c)
		if !ask {
			g := d.Grant()
			g.AfterMs = after.Milliseconds()
			return g, nil
		}
		claim.Over = over
	}
	r := s.list.Apply(list.Command{Op: op, Claim: claim})
	g := r.Duty.Grant()
	g.Name = c.Name
	if r.Err == nil {
		s.terms.Turned(now, r.Duty)
		g.Better = s.terms.Renewed(now, c)
	}
	return g, nil
}
