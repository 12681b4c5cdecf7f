package peer

import (
	"maps"
	"time"

	"mosslead/internal/peer/api"
)

// store holds the newest record of each key, until its time to live is over. Pure: it is given the time, of any monotonic clock.
type store struct {
	owners map[string]map[api.Key]*held
	count  int // records in all
	full   uint64
}

type held struct {
	api.Record
	until time.Duration
}

func newStore() *store { return &store{owners: map[string]map[api.Key]*held{}} }

// merge takes r in and tells whether it was news. What is no later than what is there is none, nor what of its owner's newer
// process is known already.
func (s *store) merge(now time.Duration, r api.Record) bool {
	if r.Check() != nil {
		return false
	}
	own := s.owners[r.Owner]
	if own == nil {
		own = map[api.Key]*held{}
		s.owners[r.Owner] = own
	}
	if old := own[r.Key]; old != nil {
		if now < old.until && !r.Later(&old.Record) {
			return false
		}
	} else if len(own) >= api.OwnerMost {
		s.full++
		return false
	} else {
		s.count++
	}
	own[r.Key] = &held{r, now + r.TTL}
	return true
}

// live are the records that have not lapsed, with what is left of their time.
func (s *store) live(now time.Duration) (all []api.Record) {
	for _, own := range s.owners {
		for _, h := range own {
			if left := h.until - now; left > 0 {
				r := h.Record
				r.TTL = left
				all = append(all, r)
			}
		}
	}
	return all
}

// sweep drops what has lapsed.
func (s *store) sweep(now time.Duration) {
	for owner, own := range s.owners {
		maps.DeleteFunc(own, func(_ api.Key, h *held) bool {
			over := h.until <= now
			if over {
				s.count--
			}
			return over
		})
		if len(own) == 0 {
			delete(s.owners, owner)
		}
	}
}
