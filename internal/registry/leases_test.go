package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mosslead/internal/registry/api"
)

func newRecords(n int) (all []api.Record) {
	for i := range n {
		all = append(all, api.Record{Endpoint: api.Endpoint{Name: fmt.Sprint("u", i)}, LeaseMs: 1000, ServerStatus: api.Ready, Incarnation: 1})
	}
	return all
}

// advance lets time pass while all but the silent ones renew, and gives whose entries ended.
func advance(l *leaseTable, from, to time.Duration, n int, silent map[int]bool) (ended []string) {
	for now := from; now < to; now += leaseCheckInterval {
		for i := range n {
			if !silent[i] {
				l.renew(now, api.Heartbeat{Name: fmt.Sprint("u", i), Incarnation: 1})
			}
		}
		for _, x := range l.expire(now) {
			ended = append(ended, x.Name)
			delete(l.byName, x.Name)
		}
	}
	slices.Sort(ended)
	return ended
}

func TestLeases(t *testing.T) {
	s := time.Second
	for _, x := range []struct {
		name   string
		silent []int
		play   func(l *leaseTable, silent map[int]bool) []string
		want   []string
	}{
		{"one falls silent", []int{3}, func(l *leaseTable, silent map[int]bool) []string { return advance(l, 0, 3*s, 10, silent) }, []string{"u3"}},
		{"not before its grace", []int{3}, func(l *leaseTable, silent map[int]bool) []string {
			return advance(l, 0, 1400*time.Millisecond, 10, silent)
		}, nil},
		{"many at once: the service is suspected", []int{0, 1, 2}, func(l *leaseTable, silent map[int]bool) []string { return advance(l, 0, 60*s, 10, silent) }, nil},
		{"many at once, overruled", []int{0, 1, 2}, func(l *leaseTable, silent map[int]bool) []string {
			advance(l, 0, 5*s, 10, silent)
			l.overruled = true
			return advance(l, 5*s, 6*s, 10, silent)
		}, []string{"u0", "u1", "u2"}},
		{"many, and most are heard again", []int{0, 1, 2}, func(l *leaseTable, silent map[int]bool) []string {
			advance(l, 0, 5*s, 10, silent)
			return advance(l, 5*s, 6*s, 10, map[int]bool{0: true})
		}, []string{"u0"}},
		{"this process stood still", nil, func(l *leaseTable, silent map[int]bool) []string {
			advance(l, 0, s, 10, nil)
			return advance(l, 31*s, 32*s, 10, nil)
		}, nil},
		{"a new leader gives the full time", []int{3}, func(l *leaseTable, silent map[int]bool) []string {
			advance(l, 0, 1300*time.Millisecond, 10, silent)
			l.reset(1300*time.Millisecond, newRecords(10))
			return advance(l, 1300*time.Millisecond, 2700*time.Millisecond, 10, silent)
		}, nil},
	} {
		l := &leaseTable{grace: 500 * time.Millisecond, preserveFraction: 0.2}
		l.reset(0, newRecords(10))
		silent := map[int]bool{}
		for _, i := range x.silent {
			silent[i] = true
		}
		if got := x.play(l, silent); !slices.Equal(got, x.want) {
			t.Errorf("%s: %v ended, want %v", x.name, got, x.want)
		}
	}
}

func TestLeaseOfAnotherProcessIsNotRenewed(t *testing.T) {
	l := &leaseTable{}
	l.reset(0, newRecords(1))
	if l.renew(0, api.Heartbeat{Name: "u0", Incarnation: 2}) || l.renew(0, api.Heartbeat{Name: "u1", Incarnation: 1}) {
		t.Error("renewed what it does not know")
	}
}
