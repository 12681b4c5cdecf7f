package registry

import (
	"slices"
	"time"

	"mosslead/internal/registry/api"
)

// leaseTable are the signs of life of servers, in the memory of the leader alone: a renewal is not worth an entry of the
// log, since a lost one only makes a lease last longer. A new leader gives each its full time again. Times are on the
// monotonic clock. Not safe for concurrent use.
type leaseTable struct {
	grace            time.Duration // between a lease's end and the entry's
	preserveFraction float64       // of leases silent at once above which it is the service that is suspected
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
	// processStall is a time between two looks in which this process, and not the servers, stood still.
	processStall = 10 * leaseCheckInterval
	// minSilent are too few to suspect the service by.
	minSilent = 3
)

// lead begins with the leases of a list, all with their full time.
func (l *leaseTable) lead(now time.Duration, records []api.Record) {
	l.byName, l.checkedAt, l.preserving, l.overruled = map[string]serverLease{}, now, false, false
	for _, r := range records {
		l.registered(now, r)
	}
}

// registered gives the lease of a record its full time, or ends it.
func (l *leaseTable) registered(now time.Duration, r api.Record) {
	if r.ServerStatus == api.Removed || r.LeaseMs == 0 {
		delete(l.byName, r.Name)
		return
	}
	length := time.Duration(r.LeaseMs) * time.Millisecond
	l.byName[r.Name] = serverLease{r.Incarnation, length, now + length}
}

// renew is a sign of life; false: there is no such lease.
func (l *leaseTable) renew(now time.Duration, x api.Heartbeat) bool {
	had, ok := l.byName[x.Name]
	if !ok || had.incarnation != x.Incarnation {
		return false
	}
	had.expiresAt = now + had.length
	l.byName[x.Name] = had
	return true
}

// silent are those whose lease has ended, by name.
func (l *leaseTable) silent(now time.Duration) []string {
	var names []string
	for name, x := range l.byName {
		if now > x.expiresAt {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// expire gives those whose entries are to end. Where too many fell silent within a grace of each other, it is this service
// that is suspected, and nobody ends until they are heard again or an operator overrules.
func (l *leaseTable) expire(now time.Duration) (ended []api.Heartbeat) {
	if gap := now - l.checkedAt; gap > processStall { // nobody could have been heard meanwhile
		for name, x := range l.byName {
			x.expiresAt += gap
			l.byName[name] = x
		}
	}
	l.checkedAt = now
	silent := l.silent(now)
	l.preserving = len(silent) >= minSilent && float64(len(silent)) > l.preserveFraction*float64(len(l.byName)) && !l.overruled
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
