package leasetable

import (
	"fmt"
	"testing"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

// Checks that 300 candidates, which retry when they are told to, make at most one call per RetrySpacing while the leadership is
// held, and that one of them acquires it soon after its lease has ended.
func TestThoseWhoWaitAreSpread(t *testing.T) {
	const n, until = 300, 2 * time.Minute
	var table Table
	table.Lead(0, nil)
	d := list.Leadership{LeaseTerm: list.LeaseTerm{Name: "d", Epoch: 1, Renewals: 1}, Holder: "h", LeaseMs: 3000}
	table.Committed(0, d)
	retryAt := make([]time.Duration, n)
	perSecond := map[time.Duration]int{}
	acquiredAt := time.Duration(0)
	for now := time.Duration(0); acquiredAt == 0; now += 10 * time.Millisecond {
		if now < until && now%time.Second == 0 {
			d.Renewals++
			table.Committed(now, d)
		}
		for i := range retryAt {
			if now < retryAt[i] || acquiredAt != 0 {
				continue
			}
			perSecond[now/time.Second]++
			expired, retryAfter, acquire := table.Decide(now, d, true, api.LeadershipClaim{Name: "d", Holder: fmt.Sprint(i)})
			if acquire != (expired != nil) || acquire && now < until+2*time.Second {
				t.Fatalf("at %v: got acquire %v and expired term %v, want both or none, and none before %v", now, acquire, expired, until+2*time.Second)
			}
			if acquire {
				acquiredAt = now
			}
			retryAt[i] = now + retryAfter
		}
	}
	for s, calls := range perSecond {
		if s > 0 && calls > int(time.Second/RetrySpacing)+1 { // all candidates claim at the start
			t.Errorf("second %d: got %d calls, want at most %d", s, calls, int(time.Second/RetrySpacing)+1)
		}
	}
	if late := acquiredAt - (until + 2*time.Second); late > time.Second { // the lease was last renewed a second before until
		t.Errorf("acquired %v after the end of the lease, want at most %v", late, time.Second)
	}
}

// Checks that the holder is told of a candidate whose fitness exceeds its own by HandoverMargin, and that the leadership is
// reserved for that candidate once it is released.
func TestTheBetterOneIsNextInTurn(t *testing.T) {
	var table Table
	table.Lead(0, nil)
	d := list.Leadership{LeaseTerm: list.LeaseTerm{Name: "d", Epoch: 1, Renewals: 1}, Holder: "h", LeaseMs: 3000}
	table.Committed(0, d)
	claim := func(candidate string, fitness float64) api.LeadershipClaim {
		return api.LeadershipClaim{Name: "d", Holder: candidate, Fitness: fitness}
	}
	table.Renewed(0, claim("h", 300))
	for range 50 {
		table.Decide(0, d, true, claim("other", 300))
	}
	if better := table.Renewed(0, claim("h", 300)); better != 0 {
		t.Errorf("no candidate is fitter: got fitness %v, want 0", better)
	}
	table.Committed(0, list.Leadership{LeaseTerm: d.LeaseTerm})
	if _, _, acquire := table.Decide(0, list.Leadership{}, false, claim("another", 300)); !acquire {
		t.Error("released, and no candidate is fitter: got acquire false, want true")
	}
	table.Committed(0, d)
	if _, retryAfter, acquire := table.Decide(0, d, true, claim("better", 500)); acquire || retryAfter != MinRetryAfter {
		t.Errorf("claim of the fitter candidate: got acquire %v and retry after %v, want false and %v", acquire, retryAfter, MinRetryAfter)
	}
	if better := table.Renewed(time.Millisecond, claim("h", 300)); better != 500 {
		t.Errorf("a fitter candidate waits: got fitness %v, want 500", better)
	}
	table.Committed(2*time.Millisecond, list.Leadership{LeaseTerm: d.LeaseTerm})
	if _, _, acquire := table.Decide(3*time.Millisecond, list.Leadership{}, false, claim("other", 300)); acquire {
		t.Error("claim of another candidate while the leadership is reserved: got acquire true, want false")
	}
	if _, _, acquire := table.Decide(MinRetryAfter, list.Leadership{}, false, claim("better", 500)); !acquire {
		t.Error("claim of the fitter candidate while the leadership is reserved: got acquire false, want true")
	}
	if _, _, acquire := table.Decide(time.Second, list.Leadership{}, false, claim("other", 300)); !acquire {
		t.Error("claim of another candidate after the reservation: got acquire false, want true")
	}
}
