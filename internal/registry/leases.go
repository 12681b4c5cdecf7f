package registry

import (
	"slices"
	"time"

	"mosslead/internal/registry/api"
)

// leases are the signs of life of servers, in the memory of the leader alone: a renewal is not worth an entry of the
// log, since a lost one only makes a lease last longer. A new leader gives each its full time again. Times are on the
// monotonic clock. Not safe for concurrent use.
type leases struct {
	grace     time.Duration // between a lease's end and the entry's
	share     float64       // of leases silent at once above which it is the service that is suspected
	until     map[string]lease
	looked    time.Duration
	holding   bool
	overruled bool
}

type lease struct {
	incarnation int64
	length      time.Duration
	end         time.Duration
}

const (
	lookEvery = 100 * time.Millisecond
	// stalled is a time between two looks in which this process, and not the servers, stood still.
	stalled = 10 * lookEvery
	// fewSilent are too few to suspect the service by.
	fewSilent = 3
)

// lead begins with the leases of a list, all with their full time.
func (l *leases) lead(now time.Duration, records []api.Record) {
	l.until, l.looked, l.holding, l.overruled = map[string]lease{}, now, false, false
	for _, r := range records {
		l.registered(now, r)
	}
}

// registered gives the lease of a record its full time, or ends it.
func (l *leases) registered(now time.Duration, r api.Record) {
	if r.Own == api.Gone || r.LeaseMs == 0 {
		delete(l.until, r.Name)
		return
	}
	length := time.Duration(r.LeaseMs) * time.Millisecond
	l.until[r.Name] = lease{r.Incarnation, length, now + length}
}

// renew is a sign of life; false: there is no such lease.
func (l *leases) renew(now time.Duration, x api.Lease) bool {
	had, ok := l.until[x.Name]
	if !ok || had.incarnation != x.Incarnation {
		return false
	}
	had.end = now + had.length
	l.until[x.Name] = had
	return true
}

// silent are those whose lease has ended, by name.
func (l *leases) silent(now time.Duration) []string {
	var names []string
	for name, x := range l.until {
		if now > x.end {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// look gives those whose entries are to end. Where too many fell silent within a grace of each other, it is this service
// that is suspected, and nobody ends until they are heard again or an operator overrules.
func (l *leases) look(now time.Duration) (ended []api.Lease) {
	if gap := now - l.looked; gap > stalled { // nobody could have been heard meanwhile
		for name, x := range l.until {
			x.end += gap
			l.until[name] = x
		}
	}
	l.looked = now
	silent := l.silent(now)
	l.holding = len(silent) >= fewSilent && float64(len(silent)) > l.share*float64(len(l.until)) && !l.overruled
	if len(silent) == 0 {
		l.overruled = false
	}
	if l.holding {
		return nil
	}
	for _, name := range silent {
		if x := l.until[name]; now > x.end+l.grace {
			ended = append(ended, api.Lease{Name: name, Incarnation: x.incarnation})
		}
	}
	return ended
}
