package transcript

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"mosslead/internal/lease"
	"mosslead/internal/registry/api"
)

// DutyLine is the connection of one candidate to a lease.Service. It delays each call and each answer, and records both in words.
// It is safe for concurrent use.
type DutyLine struct {
	Service lease.Service
	Record  *Transcript
	Name    string        // of the candidate
	Way     time.Duration // delay of a call, and again of its answer

	mu          sync.Mutex
	dropAnswers bool
}

// Cut makes the line drop all answers, or deliver them again.
func (l *DutyLine) Cut(drop bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropAnswers = drop
}

// AcquireLeadership implements lease.Service.
func (l *DutyLine) AcquireLeadership(ctx context.Context, c api.LeadershipClaim) (g api.LeadershipGrant, err error) {
	return l.call(ctx, fmt.Sprintf("take %s for %d ms, fitness %g, above epoch %d", c.Name, c.LeaseMs, c.Fitness, c.Epoch), func() (api.LeadershipGrant, error) {
		return l.Service.AcquireLeadership(ctx, c)
	})
}

// RenewLeadership implements lease.Service.
func (l *DutyLine) RenewLeadership(ctx context.Context, c api.LeadershipClaim) (api.LeadershipGrant, error) {
	return l.call(ctx, fmt.Sprintf("renew %s for %d ms, fitness %g, epoch %d", c.Name, c.LeaseMs, c.Fitness, c.Epoch), func() (api.LeadershipGrant, error) {
		return l.Service.RenewLeadership(ctx, c)
	})
}

// ReleaseLeadership implements lease.Service.
func (l *DutyLine) ReleaseLeadership(ctx context.Context, c api.LeadershipClaim) error {
	_, err := l.call(ctx, fmt.Sprintf("release %s, epoch %d", c.Name, c.Epoch), func() (api.LeadershipGrant, error) {
		return api.LeadershipGrant{}, l.Service.ReleaseLeadership(ctx, c)
	})
	return err
}

const (
	partyService = "service"
	partySelf    = "itself"
)

// call records a call in words, carries it out and records its answer. It waits until ctx ends if answers are dropped.
func (l *DutyLine) call(ctx context.Context, words string, do func() (api.LeadershipGrant, error)) (g api.LeadershipGrant, err error) {
	l.Record.Say(l.Name, partyService, "%s", words)
	if !l.delay(ctx) {
		return g, ctx.Err()
	}
	if g, err = do(); err != nil {
		l.Record.Say(partyService, l.Name, "fails: %v", err)
	} else {
		l.Record.Say(partyService, l.Name, "%s", formatGrant(g))
	}
	l.mu.Lock()
	drop := l.dropAnswers
	l.mu.Unlock()
	if drop {
		<-ctx.Done()
	}
	if !l.delay(ctx) {
		return api.LeadershipGrant{}, errors.Join(ctx.Err(), err)
	}
	return g, err
}

// delay waits for the time of one way, and reports whether ctx has not ended by then.
func (l *DutyLine) delay(ctx context.Context) bool {
	select {
	case <-time.After(l.Way):
		return ctx.Err() == nil
	case <-ctx.Done():
		l.Record.Say(l.Name, partySelf, "waits no longer")
		return false
	}
}

// formatGrant returns an answer of the service in words.
func formatGrant(g api.LeadershipGrant) string {
	if g.Holder == "" && g.Epoch == 0 {
		return "done"
	}
	words := fmt.Sprintf("%s holds epoch %d for %d ms", g.Holder, g.Epoch, g.LeaseMs)
	if g.Holder == "" {
		words = fmt.Sprintf("nobody holds it, the last epoch was %d", g.Epoch)
	}
	if g.RetryAfterMs > 0 {
		words += fmt.Sprintf("; ask again after %d ms", g.RetryAfterMs)
	}
	if g.BetterFitness > 0 {
		words += fmt.Sprintf("; one of fitness %g waits", g.BetterFitness)
	}
	return words
}

// DutyTarget is a target of acts under a duty. It records each act, and whether its fence accepted the act.
type DutyTarget struct {
	Record *Transcript
	fence  lease.Fence
}

// Act handles an act of a candidate under a duty, and reports whether the fence accepted it.
func (t *DutyTarget) Act(by, name string, epoch uint64) (ok bool) {
	t.Record.Say(by, "target", "act of %s, epoch %d", name, epoch)
	if ok = t.fence.Admit(name, epoch); ok {
		t.Record.Say("target", by, "taken")
	} else {
		t.Record.Say("target", by, "refused: a higher epoch was seen")
	}
	return ok
}

// Candidate is a candidate for a duty as one process runs it in a script. Its random numbers have a seed of their own, and it records when
// it may act.
type Candidate struct {
	*lease.Runner
	Line DutyLine

	mu     sync.Mutex
	resume chan struct{} // if not nil, the process stops at its next decision until this is closed
}

// candidateStartDelay is the upper bound of the wait before a candidate's first call.
const candidateStartDelay = 8 * time.Millisecond

// NewCandidate returns a candidate of that name for a duty. Its calls, and their answers, take the time way each.
func NewCandidate(record *Transcript, s lease.Service, way time.Duration, name, duty string) *Candidate {
	c := &Candidate{Line: DutyLine{Service: s, Record: record, Name: name, Way: way}}
	rng, start := rand.New(rand.NewPCG(uint64(name[0]), 1)), time.Now()
	c.Runner = lease.NewRunner(&c.Line, lease.Config{Name: duty, Holder: name, StartDelay: candidateStartDelay, Random: func() float64 {
		c.mu.Lock()
		resume := c.resume
		c.mu.Unlock()
		if resume != nil {
			<-resume
		}
		return float64(rng.IntN(1000)) / 1000
	}}, func(a lease.Action) {
		switch a := a.(type) {
		case lease.Acquired:
			if remaining := a.ExpiresAt - time.Since(start); remaining > 0 {
				record.Say(name, partySelf, "may act under epoch %d for %d ms", a.Epoch, remaining.Milliseconds())
			} else {
				record.Say(name, partySelf, "epoch %d was over before it knew of it", a.Epoch)
			}
		case lease.Expired:
			record.Say(name, partySelf, "may not act any more under epoch %d: %s", a.Epoch, a.Reason)
		}
	})
	return c
}

// Stop stops the process from its next decision on, as SIGSTOP does. The function that it returns continues the process.
func (c *Candidate) Stop() (cont func()) {
	resume := make(chan struct{})
	set := func(ch chan struct{}) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.resume = ch
	}
	set(resume)
	return func() {
		set(nil)
		close(resume)
	}
}
