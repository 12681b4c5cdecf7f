package lease

import (
	"sync"
	"time"
)

// CurrentLease is the lease of a leader, which checks it before each action. Safe for concurrent use.
type CurrentLease struct {
	mu        sync.Mutex
	epoch     uint64
	expiresAt time.Time // on the holder's monotonic clock, less the margin
}

// set begins or extends a lease.
func (l *CurrentLease) set(epoch uint64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch, l.expiresAt = epoch, until
}

// clear ends the lease at once.
func (l *CurrentLease) clear() { l.set(0, time.Time{}) }

// Holds reports whether the lease is valid at now, and returns its epoch. The leader calls it before each
// action, and the action carries the epoch.
func (l *CurrentLease) Holds(now time.Time) (epoch uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch, now.Before(l.expiresAt)
}

// maxFenced is the number of leaderships that a Fence holds at most.
const maxFenced = 4096

// Fence holds the highest epoch seen of each leadership, in the target of a leader's actions: epochs are
// fencing tokens. It is kept in memory only, so that after a restart it accepts any first epoch. Safe for
// concurrent use.
type Fence struct {
	mu      sync.Mutex
	highest map[string]uint64
}

// Admit reports whether to accept an action under epoch. It rejects epoch 0, an epoch below the highest seen,
// and a new leadership if maxFenced are known.
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
