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

// DutyLine is a duty.Service as one candidate reaches it: each way takes its time, and what is said is written down in words.
// Safe for concurrent use.
type DutyLine struct {
	Service lease.Service
	Record  *Transcript
	Name    string // the candidate's
	Way     time.Duration

	mu          sync.Mutex
	dropAnswers bool
}

// Cut has answers not arrive, or arrive again.
func (l *DutyLine) Cut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropAnswers = on
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

func (l *DutyLine) call(ctx context.Context, words string, call func() (api.LeadershipGrant, error)) (g api.LeadershipGrant, err error) {
	l.Record.Say(l.Name, partyService, "%s", words)
	if !l.delay(ctx) {
		return g, ctx.Err()
	}
	if g, err = call(); err != nil {
		l.Record.Say(partyService, l.Name, "fails: %v", err)
	} else {
		l.Record.Say(partyService, l.Name, "%s", formatGrant(g))
	}
	l.mu.Lock()
	cut := l.dropAnswers
	l.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	if !l.delay(ctx) {
		return api.LeadershipGrant{}, errors.Join(ctx.Err(), err)
	}
	return g, err
}

func (l *DutyLine) delay(ctx context.Context) bool {
	select {
	case <-time.After(l.Way):
		return ctx.Err() == nil
	case <-ctx.Done():
		l.Record.Say(l.Name, partySelf, "waits no longer")
		return false
	}
}

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

// DutyTarget is one that is acted upon, and writes down which acts it takes.
type DutyTarget struct {
	Record *Transcript
	fence  lease.Fence
}

// Act is an act that arrives.
func (t *DutyTarget) Act(by, name string, epoch uint64) (taken bool) {
	t.Record.Say(by, "target", "act of %s, epoch %d", name, epoch)
	if taken = t.fence.Admit(name, epoch); taken {
		t.Record.Say("target", by, "taken")
	} else {
		t.Record.Say("target", by, "refused: a higher epoch was seen")
	}
	return taken
}

// Candidate is one process's part in a duty as a script plays it: with chances of its own seed, and writing down when it may act.
type Candidate struct {
	*lease.Runner
	Line DutyLine

	mu     sync.Mutex
	resume chan struct{} // while it is there the process is stopped, once its candidate has something to decide
}

// candidateStartDelay bounds the wait before a candidate's first call.
const candidateStartDelay = 8 * time.Millisecond

// NewCandidate prepares a candidate of that name for a duty; Line.Way is how long its calls take.
func NewCandidate(record *Transcript, s lease.Service, way time.Duration, name, of string) *Candidate {
	c := &Candidate{Line: DutyLine{Service: s, Record: record, Name: name, Way: way}}
	chance, begun := rand.New(rand.NewPCG(uint64(name[0]), 1)), time.Now()
	c.Runner = lease.NewRunner(&c.Line, lease.Config{Name: of, Holder: name, StartDelay: candidateStartDelay, Random: func() float64 {
		c.mu.Lock()
		hold := c.resume
		c.mu.Unlock()
		if hold != nil {
			<-hold
		}
		return float64(chance.IntN(1000)) / 1000
	}}, func(a lease.Action) {
		switch a := a.(type) {
		case lease.Acquired:
			if left := a.ExpiresAt - time.Since(begun); left > 0 {
				record.Say(name, partySelf, "may act under epoch %d for %d ms", a.Epoch, left.Milliseconds())
			} else {
				record.Say(name, partySelf, "epoch %d was over before it knew of it", a.Epoch)
			}
		case lease.Expired:
			record.Say(name, partySelf, "may not act any more under epoch %d: %s", a.Epoch, a.Reason)
		}
	})
	return c
}

// Stop stops its process, as SIGSTOP, from its next decision on; what it returns lets it go.
func (c *Candidate) Stop() (cont func()) {
	hold := make(chan struct{})
	set := func(to chan struct{}) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.resume = to
	}
	set(hold)
	return func() {
		set(nil)
		close(hold)
	}
}
