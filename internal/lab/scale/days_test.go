package scale

import (
	"slices"
	"testing"
	"time"
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

// Guards against changes that do not come over slow and lossy links, and against links that are not slow: who is in the other region
// has no change before it has crossed.
func TestSmallSlow(t *testing.T) {
	t.Parallel()
	_, counted, p99 := more(t, "slow")
	for _, cause := range []string{"from afar", "settings from afar"} {
		if p99[cause] < ms(slowDelay) || counted[cause] < 44 {
			t.Errorf("%s: counted %d times, 99 of 100 after %.1f ms", cause, counted[cause], p99[cause])
		}
	}
}

func ms(d time.Duration) float64 { return float64(d) / 1e6 }

// Guards against settings of one service that two regions put: only its owner may.
func TestEachServiceIsPutByOneRegion(t *testing.T) {
	for _, hollow := range []int{14, 44, 60, 1800} {
		w := &world{spec: Spec{Hollow: hollow}}
		for _, name := range w.putBy(0) {
			if slices.Contains(w.putBy(1), name) {
				t.Errorf("%d hollow: %s is put by both", hollow, name)
			}
		}
	}
}
