package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mosslead/internal/registry/api"
)

func newRecords(n int) (records []api.Record) {
	for i := range n {
		records = append(records, api.Record{Endpoint: api.Endpoint{Name: fmt.Sprint("u", i)}, LeaseMs: 1000, ServerStatus: api.Ready, Incarnation: 1})
	}
	return records
}

// advance runs the checks of a period in which all n servers but the silent ones renew their leases. It returns the names of the
// servers whose entries were to be removed, sorted.
func advance(l *leaseTable, from, to time.Duration, n int, silent map[int]bool) (removed []string) {
	for now := from; now < to; now += leaseCheckInterval {
		for i := range n {
			if !silent[i] {
				l.renew(now, api.Heartbeat{Name: fmt.Sprint("u", i), Incarnation: 1})
			}
		}
		for _, heartbeat := range l.expire(now) {
			removed = append(removed, heartbeat.Name)
			delete(l.byName, heartbeat.Name)
		}
	}
	slices.Sort(removed)
	return removed
}

func TestLeases(t *testing.T) {
	s := time.Second
	for _, test := range []struct {
		name   string
		silent []int
		run    func(l *leaseTable, silent map[int]bool) []string
		want   []string
	}{
		{"one server is silent", []int{3}, func(l *leaseTable, silent map[int]bool) []string { return advance(l, 0, 3*s, 10, silent) }, []string{"u3"}},
		{"one server is silent, within the grace period", []int{3}, func(l *leaseTable, silent map[int]bool) []string {
			return advance(l, 0, 1400*time.Millisecond, 10, silent)
		}, nil},
		{"many at once, preserved", []int{0, 1, 2}, func(l *leaseTable, silent map[int]bool) []string { return advance(l, 0, 60*s, 10, silent) }, nil},
		{"many at once, overruled", []int{0, 1, 2}, func(l *leaseTable, silent map[int]bool) []string {
			advance(l, 0, 5*s, 10, silent)
			l.overruled = true
			return advance(l, 5*s, 6*s, 10, silent)
		}, []string{"u0", "u1", "u2"}},
		{"many at once, and most renew again", []int{0, 1, 2}, func(l *leaseTable, silent map[int]bool) []string {
			advance(l, 0, 5*s, 10, silent)
			return advance(l, 5*s, 6*s, 10, map[int]bool{0: true})
		}, []string{"u0"}},
		{"this process was stopped", nil, func(l *leaseTable, silent map[int]bool) []string {
			advance(l, 0, s, 10, nil)
			return advance(l, 31*s, 32*s, 10, nil)
		}, nil},
		{"a new leader renews all leases", []int{3}, func(l *leaseTable, silent map[int]bool) []string {
			advance(l, 0, 1300*time.Millisecond, 10, silent)
			l.reset(1300*time.Millisecond, newRecords(10))
			return advance(l, 1300*time.Millisecond, 2700*time.Millisecond, 10, silent)
		}, nil},
	} {
		l := &leaseTable{grace: 500 * time.Millisecond, preserveFraction: 0.2}
		l.reset(0, newRecords(10))
		silent := map[int]bool{}
		for _, i := range test.silent {
			silent[i] = true
		}
		if got := test.run(l, silent); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v removed, want %v", test.name, got, test.want)
		}
	}
}

func TestLeaseOfAnotherProcessIsNotRenewed(t *testing.T) {
	l := &leaseTable{}
	l.reset(0, newRecords(1))
	if l.renew(0, api.Heartbeat{Name: "u0", Incarnation: 2}) || l.renew(0, api.Heartbeat{Name: "u1", Incarnation: 1}) {
		t.Error("renewing the lease of another incarnation or of an unknown server: got true, want false")
	}
}
