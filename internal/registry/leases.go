package registry

import (
	"slices"
	"time"

	"mosslead/internal/registry/api"
)

// leaseTable holds the leases of registered servers, in the leader's memory only: heartbeats bypass the log, and a new leader
// renews all leases, so that heartbeats lost with the old leader only make leases last longer. Times are on the monotonic
// clock. Not safe for concurrent use.
type leaseTable struct {
	grace            time.Duration // between a lease's end and the removal of its entry
	preserveFraction float64       // fraction of leases expired at once above which entries are preserved
	byName           map[string]serverLease
	checkedAt        time.Duration // time of the latest call of expire
	preserving       bool
	overruled        bool // an operator has decided that preserved entries are to be removed
}

type serverLease struct {
	incarnation int64
	length      time.Duration
	expiresAt   time.Duration
}

const (
	leaseCheckInterval = 100 * time.Millisecond
	// stallThreshold is the time between two checks above which it is assumed that this process was stopped, and not the servers.
	stallThreshold = 10 * leaseCheckInterval
	// minExpiredToPreserve is the number of expired leases below which entries are never preserved.
	minExpiredToPreserve = 3
)

// reset replaces all leases with those of the records, each of them renewed.
func (l *leaseTable) reset(now time.Duration, records []api.Record) {
	l.byName, l.checkedAt, l.preserving, l.overruled = map[string]serverLease{}, now, false, false
	for _, r := range records {
		l.update(now, r)
	}
}

// update renews the lease of a record, or deletes it if the server was removed or has no lease.
func (l *leaseTable) update(now time.Duration, r api.Record) {
	if r.ServerStatus == api.Removed || r.LeaseMs == 0 {
		delete(l.byName, r.Name)
		return
	}
	length := time.Duration(r.LeaseMs) * time.Millisecond
	l.byName[r.Name] = serverLease{r.Incarnation, length, now + length}
}

// renew renews a lease. It returns false if that incarnation has none.
func (l *leaseTable) renew(now time.Duration, heartbeat api.Heartbeat) bool {
	lease, ok := l.byName[heartbeat.Name]
	if !ok || lease.incarnation != heartbeat.Incarnation {
		return false
	}
	lease.expiresAt = now + lease.length
	l.byName[heartbeat.Name] = lease
	return true
}

// expiredNames returns the names of the servers whose leases have expired, sorted.
func (l *leaseTable) expiredNames(now time.Duration) []string {
	var names []string
	for name, lease := range l.byName {
		if now > lease.expiresAt {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// expire returns the leases whose entries are to be removed. If too many expired within grace of each other, the fault is
// assumed to be the service's, and no entry is removed until heartbeats are received again or an operator overrules this.
func (l *leaseTable) expire(now time.Duration) (toRemove []api.Heartbeat) {
	if gap := now - l.checkedAt; gap > stallThreshold { // heartbeats could not be received meanwhile
		for name, lease := range l.byName {
			lease.expiresAt += gap
			l.byName[name] = lease
		}
	}
	l.checkedAt = now
	expired := l.expiredNames(now)
	l.preserving = len(expired) >= minExpiredToPreserve && float64(len(expired)) > l.preserveFraction*float64(len(l.byName)) && !l.overruled
	if len(expired) == 0 {
		l.overruled = false
	}
	if l.preserving {
		return nil
	}
	for _, name := range expired {
		if lease := l.byName[name]; now > lease.expiresAt+l.grace {
			toRemove = append(toRemove, api.Heartbeat{Name: name, Incarnation: lease.incarnation})
		}
	}
	return toRemove
}
