// Package duty owns what one process holds at a time: a lease under an epoch, looked at again at each act, and the fence of
// those who are acted upon.
package duty

import (
	"context"
	"sync"
	"time"

	"mosslead/internal/registry/api"
)

// Service is the list service's side of duties.
type Service interface {
	// Take gives the duty to the claim's holder if nobody else's lease stands, under a new epoch; else it tells who holds it.
	Take(ctx context.Context, c api.Claim) (api.Grant, error)
	// Renew lengthens the lease of the holder under c.Epoch, if it still is the holder.
	Renew(ctx context.Context, c api.Claim) (api.Grant, error)
	// Release gives the duty up at once.
	Release(ctx context.Context, c api.Claim) error
}

// Lease is what a holder knows of its duty. Safe for concurrent use.
type Lease struct {
	mu    sync.Mutex
	epoch uint64
	until time.Time // by the holder's monotonic clock, the margin taken off
}

// Hold is a grant that was asked for at asked: the lease runs from then, since the service began to count later.
func (l *Lease) Hold(asked time.Time, g api.Grant, margin time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch, l.until = g.Epoch, asked.Add(time.Duration(g.LeaseMs)*time.Millisecond-margin)
}

// Drop ends it at once.
func (l *Lease) Drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = time.Time{}
}

// Act is asked at each act: whether the duty is still held, and the epoch that the act has to carry.
func (l *Lease) Act(now time.Time) (epoch uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch, now.Before(l.until)
}

// Fence is the highest epoch that was seen of each duty. Safe for concurrent use.
type Fence struct {
	mu      sync.Mutex
	highest map[string]uint64
}

// Admit tells whether an act under epoch may be taken: not once a higher one was seen.
func (f *Fence) Admit(duty string, epoch uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch < f.highest[duty] {
		return false
	}
	if f.highest == nil {
		f.highest = map[string]uint64{}
	}
	f.highest[duty] = epoch
	return true
}
