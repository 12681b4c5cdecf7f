package duty_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mosslead/internal/duty"
	"mosslead/internal/duty/memory"
	"mosslead/internal/registry/api"
)

// fleet is candidates for one duty, in virtual time.
type fleet struct {
	t       *testing.T
	service *memory.Service
	runners []*duty.Runner
	ends    []context.CancelFunc
	all     sync.WaitGroup
}

func newFleet(t *testing.T, n int, service func(i int, s *memory.Service) duty.Service) *fleet {
	f := &fleet{t: t, service: memory.New()}
	chance := rand.New(rand.NewPCG(1, 1)) // under synctest goroutines may still race for it
	var mu sync.Mutex
	for i := range n {
		s := duty.Service(f.service)
		if service != nil {
			s = service(i, f.service)
		}
		r := duty.NewRunner(s, duty.Config{Name: "d", Holder: fmt.Sprint(i), Chance: func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return chance.Float64()
		}}, func(duty.Action) {})
		r.Want(true, 0)
		ctx, end := context.WithCancel(t.Context())
		f.runners, f.ends = append(f.runners, r), append(f.ends, end)
		f.all.Go(func() { r.Run(ctx) })
	}
	return f
}

// holders are those that may act now: one at most, ever.
func (f *fleet) holder() int {
	f.t.Helper()
	found := -1
	for i, r := range f.runners {
		if _, ok := r.Act(time.Now()); ok {
			if found >= 0 {
				f.t.Fatalf("%d and %d may act", found, i)
			}
			found = i
		}
	}
	return found
}

// until waits, in virtual time, for a holder that is none of these, and gives how long that took.
func (f *fleet) until(most time.Duration, not ...int) (who int, took time.Duration) {
	f.t.Helper()
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		who = f.holder()
		ok := who >= 0
		for _, n := range not {
			ok = ok && who != n
		}
		if took = time.Since(begun); ok {
			return who, took
		} else if took > most {
			f.t.Fatalf("nobody after %v but %d", took, who)
		}
	}
}

func (f *fleet) end() {
	for _, end := range f.ends {
		end()
	}
	f.all.Wait()
}

// What 300 candidates cost the service: as many calls a second as duty.go says, held, handed on, and while nobody is answered.
func TestThreeHundredCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 300, nil)
		defer f.end()
		rate := func(what string, most float64) {
			t.Helper()
			before := f.service.Calls()
			time.Sleep(20 * time.Second)
			f.holder()
			if got := float64(f.service.Calls()-before) / 20; got > most {
				t.Errorf("%s: %.1f calls a second, at most %.0f", what, got, most)
			}
		}
		first, _ := f.until(duty.Start)
		time.Sleep(time.Minute)
		rate("held", 12)
		f.ends[first]()
		if _, took := f.until(time.Second, first); took > time.Second {
			t.Errorf("handed on in %v", took)
		}
		f.service.Down(true)
		time.Sleep(duty.Lease)
		synctest.Wait()
		if who := f.holder(); who >= 0 {
			t.Errorf("%d acts without a service for a lease", who)
		}
		time.Sleep(10 * time.Second)
		rate("down", 105)
		f.service.Down(false)
		if _, took := f.until(duty.Lease + 5*time.Second); took > duty.Lease+time.Second {
			t.Errorf("taken %v after the service came back", took)
		}
	})
}

// silent is a service that one holder can't reach any more, or that does not hear its answers.
type silent struct {
	*memory.Service
	mu  sync.Mutex
	cut bool
}

func (s *silent) RenewDuty(ctx context.Context, c api.Claim) (api.Grant, error) {
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	if cut {
		<-ctx.Done()
		return api.Grant{}, ctx.Err()
	}
	return s.Service.RenewDuty(ctx, c)
}

// A holder that is cut off acts to its own lease's end and no longer, another takes over within lease, margin and a second; one
// that fails at it, or is less fit, hands it on and does not have it back at once.
func TestTheDutyGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cuts := make([]*silent, 3)
		f := newFleet(t, 3, func(i int, s *memory.Service) duty.Service {
			cuts[i] = &silent{Service: s}
			return cuts[i]
		})
		defer f.end()
		first, _ := f.until(duty.Start)
		epoch, _ := f.runners[first].Act(time.Now())
		cuts[first].mu.Lock()
		cuts[first].cut = true
		cuts[first].mu.Unlock()
		second, took := f.until(2*duty.Lease, first)
		if most := duty.Lease + duty.Lease/10 + time.Second; took > most {
			t.Errorf("a gap of %v, at most %v", took, most)
		}
		if next, _ := f.runners[second].Act(time.Now()); next <= epoch {
			t.Errorf("epoch %d after %d", next, epoch)
		}
		f.runners[second].Failed()
		third, took := f.until(time.Second, second)
		if took > time.Second {
			t.Errorf("handed on after a failure in %v", took)
		}
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if who := f.holder(); who == second {
				t.Fatal("who failed has it again")
			}
		}
		third = f.holder()
		better := 3 - first - second
		if better == third {
			better = first
		}
		f.runners[better].Want(true, 500)
		if who, took := f.until(15*time.Second, third); who != better {
			t.Errorf("handed on to %d after %v, and %d is better", who, took, better)
		}
	})
}
