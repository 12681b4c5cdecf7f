// Package lease holds leaderships: leases that one process has at a time, each under an epoch that rises with
// every holder. The holder checks its lease at each action that it takes as leader, and whoever is acted upon
// refuses an older epoch (Fence).
//
// elector.go decides and is pure; runner.go carries it out; fence.go is what leaders and those that they act
// upon check. Package lease/explore goes through the protocol state by state.
package lease

import (
	"context"
	"math/rand/v2"
	"time"

	"mosslead/internal/registry/api"
)

// Service is the list service's side of leaderships. An error means that the leadership is not held until a
// later response says so.
type Service interface {
	// AcquireLeadership grants the leadership to the claim's holder, under a new epoch, unless another's lease
	// is valid. The grant names the holder.
	AcquireLeadership(ctx context.Context, c api.LeadershipClaim) (api.LeadershipGrant, error)
	// RenewLeadership extends the lease of the holder under c.Epoch if it still is the holder. The grant names
	// the holder.
	RenewLeadership(ctx context.Context, c api.LeadershipClaim) (api.LeadershipGrant, error)
	// ReleaseLeadership ends the lease at once.
	ReleaseLeadership(ctx context.Context, c api.LeadershipClaim) error
}

// Config configures an Elector.
type Config struct {
	Name   string        // of the leadership
	Holder string        // name of this process; no other has it, and no earlier process of the same member had
	Lease  time.Duration // length of the lease; default: DefaultLease
	// Margin is taken off the lease's end: the holder's clock may run slower than the service's by Margin/Lease.
	// Default: a tenth of the lease, which is a hundred times the drift of a clock that works.
	Margin time.Duration
	// Timeout is how long a response is waited for. Default: DefaultTimeout, or less, so that a failed renewal
	// leaves time for others.
	Timeout    time.Duration
	StartDelay time.Duration  // the first request is sent within this time; default: DefaultStartDelay
	Random     func() float64 // returns at least 0 and below 1; default: rand.Float64
}

// Times of an elector. With them a leadership costs the service one request a second of its holder and at
// most ten of those that wait (leasetable.RetrySpacing), whatever their number. While the service answers
// nobody, each elector sends a request every 2 to 4 s (maxBackoff): 100 requests a second of 300 electors.
const (
	DefaultLease      = 3 * time.Second
	DefaultStartDelay = 3 * time.Second
	DefaultTimeout    = time.Second // of a request
	renewalsPerLease  = 3
	baseBackoff       = 200 * time.Millisecond
	jitter            = 20 * time.Millisecond // after a time that the service named
	// A leader hands over to a fitter one only after minTenure, and does not campaign for yieldTime then: two
	// whose fitness changes hand over to and fro no faster.
	minTenure = 10 * time.Second
	yieldTime = 2 * time.Second
	// HandoverMargin is by how much another has to be fitter for a hand-over.
	HandoverMargin = 100
	// A leader that failed at its work does not campaign for baseCooldown, doubled up to maxRest each time that it
	// fails again within strikeMemory.
	baseCooldown      = 30 * time.Second
	maxCooldown       = 5 * time.Minute
	workFailureWindow = 10 * time.Minute
)

// maxBackoff is the longest wait after a request without a response: a lease and a third.
func (c *Config) maxBackoff() time.Duration { return c.Lease + c.Lease/3 }

func (c *Config) setDefaults() {
	if c.Lease == 0 {
		c.Lease = DefaultLease
	}
	if c.Margin == 0 {
		c.Margin = c.Lease / 10
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Timeout == 0 {
		c.Timeout = min(DefaultTimeout, c.Lease/renewalsPerLease)
	}
	if c.StartDelay == 0 {
		c.StartDelay = DefaultStartDelay
	}
}
