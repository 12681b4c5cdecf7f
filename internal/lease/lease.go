package lease

import (
	"sync"
	"time"
)

// Held is what a holder knows of its duty, for all that act under it. Safe for concurrent use.
type Held struct {
	mu    sync.Mutex
	epoch uint64
	until time.Time // by the holder's monotonic clock, the margin taken off
}

// hold begins or lengthens a lease.
func (h *Held) hold(epoch uint64, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.epoch, h.until = epoch, until
}

// drop ends it at once.
func (h *Held) drop() { h.hold(0, time.Time{}) }

// Act is asked at each act: whether the duty is still held, and the epoch that the act has to carry.
func (h *Held) Act(now time.Time) (epoch uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch, now.Before(h.until)
}

// fenceMost is how many duties a fence knows.
const fenceMost = 4096

// Fence is the highest epoch that was seen of each duty, by one who is acted upon. It is in memory: one that starts anew takes
// the first epoch that it sees. Safe for concurrent use.
type Fence struct {
	mu      sync.Mutex
	highest map[string]uint64
}

// Admit tells whether an act under epoch may be taken: not once a higher one was seen, never under none, and not of more duties
// than a fence knows.
func (f *Fence) Admit(duty string, epoch uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	highest, known := f.highest[duty]
	if epoch == 0 || epoch < highest || !known && len(f.highest) >= fenceMost {
		return false
	}
	if f.highest == nil {
		f.highest = map[string]uint64{}
	}
	f.highest[duty] = epoch
	return true
}
