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

// electorGroup is a group of candidates for one leadership, with a simulated clock.
type electorGroup struct {
	t        *testing.T
	now      time.Duration
	service  *memory.Service
	electors []lease.Elector
}

func newElectorGroup(t *testing.T, n int) *electorGroup {
	g := &electorGroup{t: t}
	g.service = memory.New(func() time.Duration { return g.now })
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		g.electors = append(g.electors, lease.NewElector(lease.Config{Name: "d", Holder: fmt.Sprint(i), Random: rng.Float64}, 0))
		g.handle(i, lease.Campaign{On: true})
	}
	return g
}

// handle passes an event to a candidate, and carries out its requests at once.
func (g *electorGroup) handle(i int, event lease.Event) {
	for _, action := range g.electors[i].Handle(g.now, event) {
		request, ok := action.(lease.Request)
		if !ok {
			continue
		}
		response := lease.Response{ID: request.ID}
		var err error
		switch request.Op {
		case lease.Acquire:
			response.Grant, err = g.service.AcquireLeadership(g.t.Context(), request.Claim)
		case lease.Renew:
			response.Grant, err = g.service.RenewLeadership(g.t.Context(), request.Claim)
		case lease.Release:
			err = g.service.ReleaseLeadership(g.t.Context(), request.Claim)
		}
		response.Known = err == nil
		g.handle(i, response)
	}
}

// holder returns the index of the elector that holds the lease, or -1 if none does.
func (g *electorGroup) holder() int {
	g.t.Helper()
	found := -1
	for i := range g.electors {
		if _, ok := g.electors[i].Holds(g.now); ok {
			if found >= 0 {
				g.t.Fatalf("at %v: electors %d and %d hold the lease, want one at most", g.now, found, i)
			}
			found = i
		}
	}
	return found
}

// runUntil advances time until done returns true, and returns the time elapsed. It fails the test after limit.
func (g *electorGroup) runUntil(limit time.Duration, done func() bool) time.Duration {
	g.t.Helper()
	for start := g.now; ; g.now += 10 * time.Millisecond {
		for i := range g.electors {
			if at, ok := g.electors[i].Next(); ok && at <= g.now {
				g.handle(i, nil)
			}
		}
		if elapsed := g.now - start; done() {
			return elapsed
		} else if elapsed >= limit {
			g.t.Fatalf("at %v: the condition does not hold after %v, want within %v; holder is %d", g.now, elapsed, limit, g.holder())
		}
	}
}

// advance lets d pass.
func (g *electorGroup) advance(d time.Duration) {
	g.t.Helper()
	end := g.now + d
	g.runUntil(d, func() bool { return g.now >= end })
}

// Checks the limits on request rates that config.go states, with 300 candidates: while the leadership is held, and while the service
// does not answer.
func TestThreeHundredCandidates(t *testing.T) {
	g := newElectorGroup(t, 300)
	rate := func(phase string, limit float64) {
		t.Helper()
		before := g.service.Calls()
		g.advance(20 * time.Second)
		if got := float64(g.service.Calls()-before) / 20; got > limit {
			t.Errorf("%s: got %.1f calls a second, want at most %.0f", phase, got, limit)
		}
	}
	held := func() bool { return g.holder() >= 0 }
	g.runUntil(lease.DefaultStartDelay, held)
	g.advance(time.Minute)
	rate("leadership held", 12)
	g.handle(g.holder(), lease.Stop{})
	g.runUntil(time.Second, held)
	g.service.Down(true)
	g.advance(lease.DefaultLease)
	if holder := g.holder(); holder >= 0 {
		t.Errorf("elector %d holds the lease after %v without a service, want none", holder, lease.DefaultLease)
	}
	g.advance(10 * time.Second)
	rate("service down", 105)
	g.service.Down(false)
	g.runUntil(lease.DefaultLease+time.Second, held)
}

// partitionedService is a service that stops answering renewals once partitioned is set.
type partitionedService struct {
	*memory.Service
	mu          sync.Mutex
	partitioned bool
}

func (s *partitionedService) RenewLeadership(ctx context.Context, c api.LeadershipClaim) (api.LeadershipGrant, error) {
	s.mu.Lock()
	partitioned := s.partitioned
	s.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return api.LeadershipGrant{}, ctx.Err()
	}
	return s.Service.RenewLeadership(ctx, c)
}

// Checks that a partitioned holder stops holding the lease when it expires by its own clock, and that another candidate takes over
// within lease + margin + 1 s. A holder that fails at its work, or is less fit than another candidate, hands over; one that failed
// does not get the leadership back for 20 s.
func TestTheDutyGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := memory.New(nil)
		var services [3]*partitionedService
		var runners [3]*lease.Runner
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer func() { cancel(); running.Wait() }()
		for i := range runners {
			services[i] = &partitionedService{Service: service}
			runners[i] = lease.NewRunner(services[i], lease.Config{Name: "d", Holder: fmt.Sprint(i)}, func(lease.Action) {})
			runners[i].Campaign(true, 0)
			running.Go(func() { runners[i].Run(ctx) })
		}
		awaitHolder := func(limit time.Duration, previous int) (holder int) {
			t.Helper()
			for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
				holder = -1
				for i, r := range runners {
					if _, ok := r.Holds(time.Now()); ok {
						if holder >= 0 {
							t.Fatalf("runners %d and %d hold the lease, want one at most", holder, i)
						}
						holder = i
					}
				}
				if holder >= 0 && holder != previous {
					return holder
				}
				if time.Since(start) > limit {
					t.Fatalf("got holder %d after %v, want a holder other than %d (-1: none)", holder, limit, previous)
				}
			}
		}
		first := awaitHolder(lease.DefaultStartDelay, -1)
		epoch, _ := runners[first].Holds(time.Now())
		services[first].mu.Lock()
		services[first].partitioned = true
		services[first].mu.Unlock()
		second := awaitHolder(lease.DefaultLease+lease.DefaultLease/10+time.Second, first)
		if nextEpoch, _ := runners[second].Holds(time.Now()); nextEpoch <= epoch {
			t.Errorf("got epoch %d, want one above %d", nextEpoch, epoch)
		}
		runners[second].ReportFailure()
		awaitHolder(time.Second, second)
		for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			if _, ok := runners[second].Holds(time.Now()); ok {
				t.Fatalf("runner %d holds the lease again within 20 s of its failure, want another holder", second)
			}
		}
		// The holder is first or third, since first can still acquire the lease: only its renewals fail. From here on
		// third is the one of the two that is not the holder.
		third := 3 - first - second
		if holder := awaitHolder(time.Second, -1); holder == third {
			third = first
		}
		runners[third].Campaign(true, 500)
		if holder := awaitHolder(15*time.Second, 3-second-third); holder != third {
			t.Errorf("got holder %d after the handover, want %d, the fitter one", holder, third)
		}
	})
}
