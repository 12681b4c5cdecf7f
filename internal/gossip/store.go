package gossip

import (
	"maps"
	"time"

	"mosslead/internal/gossip/message"
)

// store holds the newest record of each key until it expires, and of each owner the newest maxPerOwner
// records. Pure: it is given the time, of any monotonic clock.
//
// Without time it is a join-semilattice: of one key the later record wins, in a total order, and of one owner
// the largest records by (incarnation, sequence). What the bound leaves out lies below maxPerOwner keys whose
// records only ever rise, so no order of merging brings it back. Time only removes records, by each member's
// own clock.
type store struct {
	maxPerOwner int
	owners      map[string]map[message.Key]*storedRecord
	dropped     uint64 // records left out for the bound
}

// storedRecord is a record and its end.
type storedRecord struct {
	message.Record
	until time.Duration
}

func newStore(maxPerOwner int) *store {
	return &store{maxPerOwner: maxPerOwner, owners: map[string]map[message.Key]*storedRecord{}}
}

// merge takes r in, and tells whether it was new.
func (s *store) merge(now time.Duration, r message.Record) bool {
	if r.Check() != nil {
		return false
	}
	own := s.owners[r.Owner]
	if old := own[r.Key]; old != nil && now < old.until && !r.Supersedes(&old.Record) {
		return false
	}
	if own == nil {
		own = map[message.Key]*storedRecord{}
		s.owners[r.Owner] = own
	}
	own[r.Key] = &storedRecord{r, now + r.TTL}
	if len(own) <= s.maxPerOwner {
		return true
	}
	s.dropped++
	oldest := r.Key
	for key, h := range own {
		if own[oldest].Supersedes(&h.Record) {
			oldest = key
		}
	}
	delete(own, oldest)
	return oldest != r.Key
}

// get is the record of a key with its remaining time to live; false: there is none.
func (s *store) get(now time.Duration, key message.Key) (message.Record, bool) {
	h := s.owners[key.Owner][key]
	if h == nil || h.until <= now {
		return message.Record{}, false
	}
	r := h.Record
	r.TTL = h.until - now
	return r, true
}

// live are the records that have not expired, with their remaining time to live.
func (s *store) live(now time.Duration) (all []message.Record) {
	for _, own := range s.owners {
		for key := range own {
			if r, ok := s.get(now, key); ok {
				all = append(all, r)
			}
		}
	}
	return all
}

// sweep removes expired records.
func (s *store) sweep(now time.Duration) {
	for owner, own := range s.owners {
		maps.DeleteFunc(own, func(_ message.Key, h *storedRecord) bool { return h.until <= now })
		if len(own) == 0 {
			delete(s.owners, owner)
		}
	}
}
