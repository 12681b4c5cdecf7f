// Package lease implements leader election with leases. A leadership is a lease that at most one process holds
// at a time, under an epoch that rises with every holder. The holder checks its lease before each action that
// it takes as leader, and the target of the action rejects an older epoch (Fence).
//
// elector.go is the state machine, without I/O; runner.go carries out its actions; fence.go has the checks that
// leaders and the targets of their actions make. Package lease/explore checks the protocol by state exploration.
package lease

import (
	"context"
	"math/rand/v2"
	"time"

	"mosslead/internal/registry/api"
)

// Service grants leaderships; the list service implements it. If a call returns an error, the caller
// assumes that no lease was granted or extended.
type Service interface {
	// AcquireLeadership grants the leadership to the claim's holder, under a new epoch, unless another
	// holder's lease is valid. The grant names the holder.
	AcquireLeadership(ctx context.Context, c api.LeadershipClaim) (api.LeadershipGrant, error)
	// RenewLeadership extends the lease of the holder under c.Epoch if it still is the holder. The grant names
	// the holder.
	RenewLeadership(ctx context.Context, c api.LeadershipClaim) (api.LeadershipGrant, error)
	// ReleaseLeadership ends the lease at once.
	ReleaseLeadership(ctx context.Context, c api.LeadershipClaim) error
}

// Config configures an Elector.
type Config struct {
	Name   string        // name of the leadership
	Holder string        // name of this process, unique among all processes, including earlier ones of the same member
	Lease  time.Duration // length of the lease; default: DefaultLease
	// Margin is subtracted from the lease's end: the holder's clock may run slower than the service's by
	// Margin/Lease. Default: a tenth of the lease, which is a hundred times the drift of a working clock.
	Margin time.Duration
	// Timeout is how long to wait for a response. Default: DefaultTimeout, or less if the lease is short, so
	// that after a failed renewal there is time for further ones.
	Timeout    time.Duration
	StartDelay time.Duration  // the first request is sent within this time; default: DefaultStartDelay
	Random     func() float64 // returns at least 0 and below 1; default: rand.Float64
}

// Times of an elector. With these, a leadership costs the service one request a second from its holder and at
// most ten from all waiting candidates together (leasetable.RetrySpacing). While the service does not answer,
// each elector sends a request every 2 to 4 s (maxBackoff): 100 requests a second from 300 electors.
const (
	DefaultLease      = 3 * time.Second
	DefaultStartDelay = 3 * time.Second
	DefaultTimeout    = time.Second // how long to wait for the response to a request
	renewalsPerLease  = 3
	baseBackoff       = 200 * time.Millisecond
	jitter            = 20 * time.Millisecond // upper limit of the random time added to the wait that the service asks for
	// A leader hands over to a fitter candidate only after minTenure, and does not campaign for yieldTime
	// afterwards. This limits how often two processes with changing fitness hand over to each other.
	minTenure = 10 * time.Second
	yieldTime = 2 * time.Second
	// A leader hands over only to a candidate whose fitness exceeds its own by HandoverMargin or more.
	HandoverMargin = 100
	// A leader that failed at its work does not campaign for baseCooldown. Each further failure within
	// workFailureWindow doubles that time, up to maxCooldown.
	baseCooldown      = 30 * time.Second
	maxCooldown       = 5 * time.Minute
	workFailureWindow = 10 * time.Minute
)

// maxBackoff returns the longest wait after a request without a response: 4/3 of a lease.
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
