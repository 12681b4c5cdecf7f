package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mosslead/internal/lease"
	"mosslead/internal/lease/memory"
	"mosslead/internal/registry/api"
)

// electorGroup is candidates for one leadership, in a time of its own.
type electorGroup struct {
	t        *testing.T
	now      time.Duration
	service  *memory.Service
	electors []lease.Elector
}

func newElectorGroup(t *testing.T, n int) *electorGroup {
	c := &electorGroup{t: t}
	c.service = memory.New(func() time.Duration { return c.now })
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		c.electors = append(c.electors, lease.NewElector(lease.Config{Name: "d", Holder: fmt.Sprint(i), Random: rng.Float64}, 0))
		c.handle(i, lease.Campaign{On: true})
	}
	return c
}

// handle has a candidate handle an event, and its calls carried out at once.
func (c *electorGroup) handle(i int, e lease.Event) {
	for _, a := range c.electors[i].Handle(c.now, e) {
		call, ok := a.(lease.Request)
		if !ok {
			continue
		}
		answer := lease.Response{ID: call.ID}
		var err error
		switch call.Op {
		case lease.Acquire:
			answer.Grant, err = c.service.AcquireLeadership(c.t.Context(), call.Claim)
		case lease.Renew:
			answer.Grant, err = c.service.RenewLeadership(c.t.Context(), call.Claim)
		case lease.Release:
			err = c.service.ReleaseLeadership(c.t.Context(), call.Claim)
		}
		answer.Known = err == nil
		c.handle(i, answer)
	}
}

// holder is who may act; -1: nobody.
func (c *electorGroup) holder() int {
	c.t.Helper()
	found := -1
	for i := range c.electors {
		if _, ok := c.electors[i].Holds(c.now); ok {
			if found >= 0 {
				c.t.Fatalf("%d and %d may act", found, i)
			}
			found = i
		}
	}
	return found
}

// runUntil lets time pass until over says so, and gives how much.
func (c *electorGroup) runUntil(limit time.Duration, over func() bool) time.Duration {
	c.t.Helper()
	for begun := c.now; ; c.now += 10 * time.Millisecond {
		for i := range c.electors {
			if at, ok := c.electors[i].Next(); ok && at <= c.now {
				c.handle(i, nil)
			}
		}
		if took := c.now - begun; over() {
			return took
		} else if took >= limit {
			c.t.Fatalf("at %v, after %v: %d holds it", c.now, took, c.holder())
		}
	}
}

func (c *electorGroup) advance(d time.Duration) {
	c.t.Helper()
	end := c.now + d
	c.runUntil(d, func() bool { return c.now >= end })
}

// What 300 candidates cost the service: as many calls a second as leadership.go says, held, handed on, and while nobody is answered.
func TestThreeHundredCandidates(t *testing.T) {
	c := newElectorGroup(t, 300)
	rate := func(what string, limit float64) {
		t.Helper()
		before := c.service.Calls()
		c.advance(20 * time.Second)
		if got := float64(c.service.Calls()-before) / 20; got > limit {
			t.Errorf("%s: %.1f calls a second, at most %.0f", what, got, limit)
		}
	}
	held := func() bool { return c.holder() >= 0 }
	c.runUntil(lease.DefaultStartDelay, held)
	c.advance(time.Minute)
	rate("held", 12)
	c.handle(c.holder(), lease.Stop{})
	c.runUntil(time.Second, held)
	c.service.Down(true)
	c.advance(lease.DefaultLease)
	if who := c.holder(); who >= 0 {
		t.Errorf("%d acts without a service for a lease", who)
	}
	c.advance(10 * time.Second)
	rate("down", 105)
	c.service.Down(false)
	c.runUntil(lease.DefaultLease+time.Second, held)
}

// partitionedService is a service that does not answer renewals any more once it is cut.
type partitionedService struct {
	*memory.Service
	mu          sync.Mutex
	partitioned bool
}

func (s *partitionedService) RenewLeadership(ctx context.Context, c api.LeadershipClaim) (api.LeadershipGrant, error) {
	s.mu.Lock()
	cut := s.partitioned
	s.mu.Unlock()
	if cut {
		<-ctx.Done()
		return api.LeadershipGrant{}, ctx.Err()
	}
	return s.Service.RenewLeadership(ctx, c)
}

// A holder that is cut off acts to its own lease's end and no longer, another takes over within lease, margin and a second; one
// that fails at it, or is less fit, hands it on and does not have it back at once.
func TestTheDutyGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := memory.New(nil)
		var cuts [3]*partitionedService
		var all [3]*lease.Runner
		ctx, end := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer func() { end(); running.Wait() }()
		for i := range all {
			cuts[i] = &partitionedService{Service: service}
			all[i] = lease.NewRunner(cuts[i], lease.Config{Name: "d", Holder: fmt.Sprint(i)}, func(lease.Action) {})
			all[i].Campaign(true, 0)
			running.Go(func() { all[i].Run(ctx) })
		}
		next := func(limit time.Duration, than int) (who int) {
			t.Helper()
			for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
				who = -1
				for i, r := range all {
					if _, ok := r.Holds(time.Now()); ok {
						if who >= 0 {
							t.Fatalf("%d and %d may act", who, i)
						}
						who = i
					}
				}
				if who >= 0 && who != than {
					return who
				}
				if time.Since(begun) > limit {
					t.Fatalf("nobody but %d after %v", who, limit)
				}
			}
		}
		first := next(lease.DefaultStartDelay, -1)
		epoch, _ := all[first].Holds(time.Now())
		cuts[first].mu.Lock()
		cuts[first].partitioned = true
		cuts[first].mu.Unlock()
		second := next(lease.DefaultLease+lease.DefaultLease/10+time.Second, first)
		if now, _ := all[second].Holds(time.Now()); now <= epoch {
			t.Errorf("epoch %d after %d", now, epoch)
		}
		all[second].ReportFailure()
		next(time.Second, second)
		for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			if _, ok := all[second].Holds(time.Now()); ok {
				t.Fatal("who failed has it again")
			}
		}
		third := 3 - first - second
		if now := next(time.Second, -1); now == third { // the one that is cut off can be the better one too
			third = first
		}
		all[third].Campaign(true, 500)
		if who := next(15*time.Second, 3-second-third); who != third {
			t.Errorf("handed on to %d, and %d is better", who, third)
		}
	})
}
