package registry

import (
	"slices"
	"time"

	"mosslead/internal/registry/api"
)

// leaseTable holds the leases of registered servers, in the leader's memory only: heartbeats bypass the log, and a new leader
// renews all leases, so that a lost one only makes a lease last longer. Times are on the monotonic clock. Not safe for
// concurrent use.
type leaseTable struct {
	grace            time.Duration // between a lease's end and the removal of its entry
	preserveFraction float64       // of leases expired at once above which the service itself is suspected
	byName           map[string]serverLease
	checkedAt        time.Duration
	preserving       bool
	overruled        bool
}

type serverLease struct {
	incarnation int64
	length      time.Duration
	expiresAt   time.Duration
}

const (
	leaseCheckInterval = 100 * time.Millisecond
	// time between two checks above which this process was stopped, not the servers
	stallThreshold = 10 * leaseCheckInterval
	// number of leases below which the service is never suspected
	minExpiredToPreserve = 3
)

// reset starts with the leases of a list, all of them renewed.
func (l *leaseTable) reset(now time.Duration, records []api.Record) {
	l.byName, l.checkedAt, l.preserving, l.overruled = map[string]serverLease{}, now, false, false
	for _, r := range records {
		l.update(now, r)
	}
}

// update renews the lease of a record, or ends it.
func (l *leaseTable) update(now time.Duration, r api.Record) {
	if r.ServerStatus == api.Removed || r.LeaseMs == 0 {
		delete(l.byName, r.Name)
		return
	}
	length := time.Duration(r.LeaseMs) * time.Millisecond
	l.byName[r.Name] = serverLease{r.Incarnation, length, now + length}
}

// renew renews a lease; it returns false if there is none.
func (l *leaseTable) renew(now time.Duration, x api.Heartbeat) bool {
	had, ok := l.byName[x.Name]
	if !ok || had.incarnation != x.Incarnation {
		return false
	}
	had.expiresAt = now + had.length
	l.byName[x.Name] = had
	return true
}

// expiredNames returns the servers whose leases have expired, in order.
func (l *leaseTable) expiredNames(now time.Duration) []string {
	var names []string
	for name, x := range l.byName {
		if now > x.expiresAt {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// expire returns the leases whose entries are to be removed. If too many expired within grace of each other, the fault is
// assumed to be the service's, and no entry is removed until heartbeats return or an operator overrules.
func (l *leaseTable) expire(now time.Duration) (ended []api.Heartbeat) {
	if gap := now - l.checkedAt; gap > stallThreshold { // heartbeats could not be received meanwhile
		for name, x := range l.byName {
			x.expiresAt += gap
			l.byName[name] = x
		}
	}
	l.checkedAt = now
	silent := l.expiredNames(now)
	l.preserving = len(silent) >= minExpiredToPreserve && float64(len(silent)) > l.preserveFraction*float64(len(l.byName)) && !l.overruled
	if len(silent) == 0 {
		l.overruled = false
	}
	if l.preserving {
		return nil
	}
	for _, name := range silent {
		if x := l.byName[name]; now > x.expiresAt+l.grace {
			ended = append(ended, api.Heartbeat{Name: name, Incarnation: x.incarnation})
		}
	}
	return ended
}
