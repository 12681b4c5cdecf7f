// Package lease owns what one process holds at a time: a lease under an epoch, looked at again at each act, and the fence of
// those who are acted upon.
//
// candidate.go decides and is pure, runner.go carries out, lease.go is what acts and those who are acted upon look at. The
// protocol is explored state by state in explore.
package lease

import (
	"context"
	"math/rand/v2"
	"time"

	"mosslead/internal/registry/api"
)

// Service is the list service's side of duties. A failure means that the duty is not held until a later answer says so.
type Service interface {
	// Take gives the duty to the claim's holder if nobody else's lease stands, under a new epoch; else it tells who holds it.
	Take(ctx context.Context, c api.Claim) (api.Grant, error)
	// RenewDuty lengthens the lease of the holder under c.Epoch, if it still is the holder; else it tells who is.
	RenewDuty(ctx context.Context, c api.Claim) (api.Grant, error)
	// Release gives the duty up at once.
	Release(ctx context.Context, c api.Claim) error
}

// Config is a candidate's.
type Config struct {
	Name   string        // of the duty
	Holder string        // unlike that of any other process, earlier ones of the same member among them
	Lease  time.Duration // 0: Lease
	// Margin is taken off the lease's end: the holder's clock may run slower than the service's by Margin/Lease. 0: a tenth
	// of the lease, which is a hundred times what a clock drifts that is not broken.
	Margin time.Duration
	// Patience is how long an answer is waited for. 0: Patience, or less, so that a renewal leaves time for others.
	Patience time.Duration
	Start    time.Duration  // the first call comes within that; 0: Start
	Chance   func() float64 // at least 0, below 1; nil: rand.Float64
}

// The times of a candidate. With them a duty costs the service, whatever the number of candidates, one call a second of its
// holder and at most ten of those who wait (terms.Spacing); while it answers nobody, each candidate calls every 2 to 4 s
// (backMost): 100 calls a second of 300 candidates.
const (
	Lease     = 3 * time.Second
	Start     = 3 * time.Second
	Patience  = time.Second // of a call
	renewals  = 3           // in a lease
	backFirst = 200 * time.Millisecond
	jitter    = 20 * time.Millisecond // after a time that the service named
	// A holder hands on to a better one only after so long, and does not want the duty back for a while: two whose fitness
	// changes hand it to and fro no faster.
	holdLeast = 10 * time.Second
	yieldFor  = 2 * time.Second
	// HandOnBy is by how much another has to be fitter.
	HandOnBy = 100
	// A holder that failed at its duty is no candidate for so long, doubled each time it fails again within strikesLast.
	restFirst   = 30 * time.Second
	restMost    = 5 * time.Minute
	strikesLast = 10 * time.Minute
)

// backMost is the longest wait after a call that was not answered: the lease and a third.
func (c *Config) backMost() time.Duration { return c.Lease + c.Lease/3 }

func (c *Config) complete() {
	if c.Lease == 0 {
		c.Lease = Lease
	}
	if c.Margin == 0 {
		c.Margin = c.Lease / 10
	}
	if c.Chance == nil {
		c.Chance = rand.Float64
	}
	if c.Patience == 0 {
		c.Patience = min(Patience, c.Lease/renewals)
	}
	if c.Start == 0 {
		c.Start = Start
	}
}
