package scale

import (
	"slices"
	"testing"
)

// more plays days in a small fleet, and gives how often each cause was counted and how long it took at 99 of 100.
func more(t *testing.T, names ...string) (r *Result, counted map[string]int, p99 map[string]float64) {
	t.Helper()
	spec := small(t, names...)
	spec.Hollow, spec.Compare = 44, false
	r, err := Run(t.Context(), spec)
	if err != nil {
		t.Fatal(err)
	}
	counted, p99 = map[string]int{}, map[string]float64{}
	for _, p := range r.Plays {
		t.Logf("%s: %.1f s, %+v, load %+v", p.Day, p.Seconds, p.Delays, p.Load)
		for _, f := range p.Findings {
			t.Errorf("%s: %+v", p.Day, f)
		}
		for _, d := range p.Delays {
			counted[d.Cause] += d.Counted
			p99[d.Cause] = max(p99[d.Cause], d.P99Ms)
		}
	}
	if len(r.Plays) != len(names) {
		t.Errorf("%d days", len(r.Plays))
	}
	return r, counted, p99
}

// Guards against a rack whose loss or return is not seen, or of which more than its own are lost.
func TestSmallRack(t *testing.T) {
	t.Parallel()
	r, _, _ := more(t, "rack")
	for _, d := range r.Plays[0].Delays {
		if d.Changes != 2 || d.Counted < 44 {
			t.Errorf("%+v", d)
		}
	}
	if len(r.Plays[0].Delays) != 2 {
		t.Errorf("%+v", r.Plays[0].Delays)
	}
}

// Guards against a rack that is no rack: it is of one zone, grows with the fleet, and has real sidecars too.
func TestARackIsOfOneZone(t *testing.T) {
	if a, b, c := rackSize(14), rackSize(900), rackSize(1800); a != 2 || b != 10 || c != 20 {
		t.Errorf("racks of %d, %d and %d", a, b, c)
	}
	w := &world{spec: Spec{Hollow: 30, Real: 2}, reals: []*real{{number: 30, zone: "z00"}, {number: 31, zone: "z01"}}}
	if got := w.ofZone(1); !slices.Equal(got, []int{1, 15, 29, 31}) {
		t.Errorf("%v", got)
	}
}
