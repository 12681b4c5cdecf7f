package leasetable

import (
	"fmt"
	"testing"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

// 300 candidates that ask when they are told to cost at most a call each Spacing while the leadership is held, and it is taken
// soon after its lease is over.
func TestThoseWhoWaitAreSpread(t *testing.T) {
	const n, until = 300, 2 * time.Minute
	var x Table
	x.Lead(0, nil)
	d := list.Leadership{LeaseTerm: list.LeaseTerm{Name: "d", Epoch: 1, Renewals: 1}, Holder: "h", LeaseMs: 3000}
	x.Committed(0, d)
	at := make([]time.Duration, n)
	perSecond := map[time.Duration]int{}
	taken := time.Duration(0)
	for now := time.Duration(0); taken == 0; now += 10 * time.Millisecond {
		if now < until && now%time.Second == 0 {
			d.Renewals++
			x.Committed(now, d)
		}
		for i := range at {
			if now < at[i] || taken != 0 {
				continue
			}
			perSecond[now/time.Second]++
			over, after, acquire := x.Decide(now, d, true, api.LeadershipClaim{Name: "d", Holder: fmt.Sprint(i)})
			if acquire != (over != nil) || acquire && now < until+2*time.Second {
				t.Fatalf("at %v: %v, %v", now, over, acquire)
			}
			if acquire {
				taken = now
			}
			at[i] = now + after
		}
	}
	for s, calls := range perSecond {
		if s > 0 && calls > int(time.Second/RetrySpacing)+1 { // all came at the beginning
			t.Errorf("%d calls in second %d", calls, s)
		}
	}
	if late := taken - (until + 2*time.Second); late > time.Second { // last renewed a second before until
		t.Errorf("taken %v after the lease's end", late)
	}
}

// One whose fitness is well above the holder's is named to it, comes back soon, and finds the leadership kept for it.
func TestTheBetterOneIsNextInTurn(t *testing.T) {
	var x Table
	x.Lead(0, nil)
	d := list.Leadership{LeaseTerm: list.LeaseTerm{Name: "d", Epoch: 1, Renewals: 1}, Holder: "h", LeaseMs: 3000}
	x.Committed(0, d)
	claim := func(who string, fitness float64) api.LeadershipClaim {
		return api.LeadershipClaim{Name: "d", Holder: who, Fitness: fitness}
	}
	x.Renewed(0, claim("h", 300))
	for range 50 {
		x.Decide(0, d, true, claim("other", 300))
	}
	if better := x.Renewed(0, claim("h", 300)); better != 0 {
		t.Errorf("no better one, and told of %v", better)
	}
	x.Committed(0, list.Leadership{LeaseTerm: d.LeaseTerm})
	if _, _, acquire := x.Decide(0, list.Leadership{}, false, claim("another", 300)); !acquire {
		t.Error("kept for one that is no better")
	}
	x.Committed(0, d)
	if _, after, acquire := x.Decide(0, d, true, claim("better", 500)); acquire || after != MinRetryAfter {
		t.Errorf("the better one: %v, %v", after, acquire)
	}
	if better := x.Renewed(time.Millisecond, claim("h", 300)); better != 500 {
		t.Errorf("told of %v", better)
	}
	x.Committed(2*time.Millisecond, list.Leadership{LeaseTerm: d.LeaseTerm})
	if _, _, acquire := x.Decide(3*time.Millisecond, list.Leadership{}, false, claim("other", 300)); acquire {
		t.Error("the other one was first")
	}
	if _, _, acquire := x.Decide(MinRetryAfter, list.Leadership{}, false, claim("better", 500)); !acquire {
		t.Error("it was not kept for the better one")
	}
	if _, _, acquire := x.Decide(time.Second, list.Leadership{}, false, claim("other", 300)); !acquire {
		t.Error("it is kept although the better one does not come")
	}
}
