package leasetable

import (
	"fmt"
	"testing"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

// 300 candidates that ask when they are told to cost at most a call each Spacing while the duty is held, and it is taken
// soon after its lease is over.
func TestThoseWhoWaitAreSpread(t *testing.T) {
	const n, until = 300, 2 * time.Minute
	var x Terms
	x.Lead(0, nil)
	d := list.Duty{Term: list.Term{Name: "d", Epoch: 1, Turn: 1}, Holder: "h", LeaseMs: 3000}
	x.Turned(0, d)
	at := make([]time.Duration, n)
	perSecond := map[time.Duration]int{}
	taken := time.Duration(0)
	for now := time.Duration(0); taken == 0; now += 10 * time.Millisecond {
		if now < until && now%time.Second == 0 {
			d.Turn++
			x.Turned(now, d)
		}
		for i := range at {
			if now < at[i] || taken != 0 {
				continue
			}
			perSecond[now/time.Second]++
			over, after, ask := x.Ask(now, d, true, api.Claim{Name: "d", Holder: fmt.Sprint(i)})
			if ask != (over != nil) || ask && now < until+2*time.Second {
				t.Fatalf("at %v: %v, %v", now, over, ask)
			}
			if ask {
				taken = now
			}
			at[i] = now + after
		}
	}
	for s, calls := range perSecond {
		if s > 0 && calls > int(time.Second/Spacing)+1 { // all came at the beginning
			t.Errorf("%d calls in second %d", calls, s)
		}
	}
	if late := taken - (until + 2*time.Second); late > time.Second { // last renewed a second before until
		t.Errorf("taken %v after the lease's end", late)
	}
}

// One whose fitness is well above the holder's is named to it, comes back soon, and finds the duty kept for it.
func TestTheBetterOneIsNextInTurn(t *testing.T) {
	var x Terms
	x.Lead(0, nil)
	d := list.Duty{Term: list.Term{Name: "d", Epoch: 1, Turn: 1}, Holder: "h", LeaseMs: 3000}
	x.Turned(0, d)
	claim := func(who string, fitness float64) api.Claim {
		return api.Claim{Name: "d", Holder: who, Fitness: fitness}
	}
	x.Renewed(0, claim("h", 300))
	for range 50 {
		x.Ask(0, d, true, claim("other", 300))
	}
	if better := x.Renewed(0, claim("h", 300)); better != 0 {
		t.Errorf("no better one, and told of %v", better)
	}
	x.Turned(0, list.Duty{Term: d.Term})
	if _, _, ask := x.Ask(0, list.Duty{}, false, claim("another", 300)); !ask {
		t.Error("kept for one that is no better")
	}
	x.Turned(0, d)
	if _, after, ask := x.Ask(0, d, true, claim("better", 500)); ask || after != Soonest {
		t.Errorf("the better one: %v, %v", after, ask)
	}
	if better := x.Renewed(time.Millisecond, claim("h", 300)); better != 500 {
		t.Errorf("told of %v", better)
	}
	x.Turned(2*time.Millisecond, list.Duty{Term: d.Term})
	if _, _, ask := x.Ask(3*time.Millisecond, list.Duty{}, false, claim("other", 300)); ask {
		t.Error("the other one was first")
	}
	if _, _, ask := x.Ask(Soonest, list.Duty{}, false, claim("better", 500)); !ask {
		t.Error("it was not kept for the better one")
	}
	if _, _, ask := x.Ask(time.Second, list.Duty{}, false, claim("other", 300)); !ask {
		t.Error("it is kept although the better one does not come")
	}
}
