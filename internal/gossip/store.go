package gossip

import (
	"maps"
	"time"

	"mosslead/internal/gossip/message"
)

// store holds the newest record of each key until it expires, and for each owner the newest maxPerOwner
// records. Callers pass the time, from any monotonic clock.
//
// Apart from expiry it is a join-semilattice: for one key the later record wins, in a total order, and for one
// owner the newest records by (incarnation, sequence). When maxPerOwner drops a record, the owner has newer ones
// under maxPerOwner other keys. Those are only replaced by still newer ones, so no order of merging restores the
// dropped record. Expiry only removes records, by each member's own clock.
type store struct {
	maxPerOwner int
	owners      map[string]map[message.Key]*storedRecord
	dropped     uint64 // number of records dropped because of maxPerOwner
}

// storedRecord is a record and the time when it expires.
type storedRecord struct {
	message.Record
	until time.Duration
}

func newStore(maxPerOwner int) *store {
	return &store{maxPerOwner: maxPerOwner, owners: map[string]map[message.Key]*storedRecord{}}
}

// merge stores r if it is new, and reports whether it was stored.
func (s *store) merge(now time.Duration, r message.Record) bool {
	if r.Check() != nil {
		return false
	}
	records := s.owners[r.Owner]
	if old := records[r.Key]; old != nil && now < old.until && !r.Supersedes(&old.Record) {
		return false
	}
	if records == nil {
		records = map[message.Key]*storedRecord{}
		s.owners[r.Owner] = records
	}
	records[r.Key] = &storedRecord{r, now + r.TTL}
	if len(records) <= s.maxPerOwner {
		return true
	}
	s.dropped++
	oldest := r.Key
	for key, stored := range records {
		if records[oldest].Supersedes(&stored.Record) {
			oldest = key
		}
	}
	delete(records, oldest)
	return oldest != r.Key
}

// get returns the record of a key with its remaining time to live; the boolean is false if there is none.
func (s *store) get(now time.Duration, key message.Key) (message.Record, bool) {
	stored := s.owners[key.Owner][key]
	if stored == nil || stored.until <= now {
		return message.Record{}, false
	}
	r := stored.Record
	r.TTL = stored.until - now
	return r, true
}

// live returns the records that have not expired, with their remaining time to live.
func (s *store) live(now time.Duration) (all []message.Record) {
	for _, records := range s.owners {
		for key := range records {
			if r, ok := s.get(now, key); ok {
				all = append(all, r)
			}
		}
	}
	return all
}

// sweep removes expired records.
func (s *store) sweep(now time.Duration) {
	for owner, records := range s.owners {
		maps.DeleteFunc(records, func(_ message.Key, stored *storedRecord) bool { return stored.until <= now })
		if len(records) == 0 {
			delete(s.owners, owner)
		}
	}
}
