package lease

import (
	"sync"
	"time"
)

// CurrentLease is the lease of a leader, for all that act as the leader. Safe for concurrent use.
type CurrentLease struct {
	mu        sync.Mutex
	epoch     uint64
	expiresAt time.Time // on the holder's monotonic clock, less the margin
}

// set begins or extends a lease.
func (h *CurrentLease) set(epoch uint64, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.epoch, h.expiresAt = epoch, until
}

// clear ends it at once.
func (h *CurrentLease) clear() { h.set(0, time.Time{}) }

// Holds tells whether the lease is valid at now, and under which epoch. It is asked at each action that the
// leader takes, and the action carries the epoch.
func (h *CurrentLease) Holds(now time.Time) (epoch uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch, now.Before(h.expiresAt)
}

// maxFenced bounds the leaderships that a Fence knows.
const maxFenced = 4096

// Fence holds the highest epoch that was seen of each leadership, at those that a leader acts upon: epochs
// are fencing tokens. It is in memory only, and accepts the first epoch after a restart. Safe for concurrent
// use.
type Fence struct {
	mu      sync.Mutex
	highest map[string]uint64
}

// Admit tells whether an action under epoch may be accepted: not after a higher epoch was seen, not under
// epoch 0, and not for more than maxFenced leaderships.
func (f *Fence) Admit(name string, epoch uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	highest, known := f.highest[name]
	if epoch == 0 || epoch < highest || !known && len(f.highest) >= maxFenced {
		return false
	}
	if f.highest == nil {
		f.highest = map[string]uint64{}
	}
	f.highest[name] = epoch
	return true
}
