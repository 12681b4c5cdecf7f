package sidecar

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	recentIDsTime = 15 * time.Second // least time for which an id is remembered, unless there are too many
	maxRecentIDs  = 16 << 10         // number of ids after which the older ones are forgotten sooner
	maxRelayedIDs = 1 << 10          // number of ids that wait to be sent to the other process of an upgrade
)

// recentIDs remembers which requests that must not run twice may have run, so that one whose id comes again is not run again: its client
// may have left, and connected anew. It holds hashes of the ids. It is safe for concurrent use.
type recentIDs struct {
	mu                sync.Mutex
	current, previous map[uint64]struct{} // previous is forgotten once current is full or old enough
	since             time.Duration       // clock time at which current was begun
}

func newRecentIDs() *recentIDs { return &recentIDs{current: map[uint64]struct{}{}} }

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// contains reports whether a request of this id may have run.
func (r *recentIDs) contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	hash := hashID(id)
	_, isCurrent := r.current[hash]
	_, isPrevious := r.previous[hash]
	return isCurrent || isPrevious
}

// add records the hash of an id.
func (r *recentIDs) add(now time.Duration, hash uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.current) >= maxRecentIDs || now-r.since >= recentIDsTime {
		r.previous, r.current, r.since = r.current, map[uint64]struct{}{}, now
	}
	r.current[hash] = struct{}{}
}

// remove forgets an id, because its request has not run.
func (r *recentIDs) remove(id string) {
	hash := hashID(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.current, hash)
	delete(r.previous, hash)
}

// hashes returns the hashes of all ids.
func (r *recentIDs) hashes() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]uint64, 0, len(r.previous)+len(r.current))
	for hash := range r.previous {
		all = append(all, hash)
	}
	for hash := range r.current {
		all = append(all, hash)
	}
	return all
}
