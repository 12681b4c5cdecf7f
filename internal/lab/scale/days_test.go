package scale

import (
	"slices"
	"testing"
	"time"
)

// more plays days in a small fleet, and gives what was counted by cause.
func more(t *testing.T, names ...string) (r *Result, by map[string]Delay) {
	t.Helper()
	spec := small(t, names...)
	spec.Hollow, spec.Compare = 44, false
	r, err := Run(t.Context(), spec)
	if err != nil {
		t.Fatal(err)
	}
	by = map[string]Delay{}
	for _, p := range r.Plays {
		t.Logf("%s: %.1f s, %+v, load %+v, inside %+v", p.Day, p.Seconds, p.Delays, p.Load, p.Inside)
		for _, f := range p.Findings {
			t.Errorf("%s: %+v", p.Day, f)
		}
		for _, d := range p.Delays {
			by[d.Cause] = d
		}
	}
	if len(r.Plays) != len(names) {
		t.Errorf("%d days", len(r.Plays))
	}
	return r, by
}

// Guards against a rack whose loss or return is not seen, or of which more than its own are lost.
func TestSmallRack(t *testing.T) {
	t.Parallel()
	r, _ := more(t, "rack")
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
	_, by := more(t, "slow")
	least := 0.8 * ms(slowDelay) // a change is accepted a little after it has set out
	// Half of all are in the other region.
	if d := by["from afar"]; d.P50Ms < least || d.Counted < 10*44 {
		t.Errorf("%+v", d)
	}
	// Three of five, at four services: see putBy.
	if d := by["settings from afar"]; d.P50Ms < least || d.Counted < 44 {
		t.Errorf("%+v", d)
	}
}

// Guards against a cut that costs requests inside a region, and against a run that does not look.
func TestSmallCut(t *testing.T) {
	t.Parallel()
	r, by := more(t, cutDay)
	for _, cause := range []string{"before the cut", "during the cut", "settings during the cut", "after the heal"} {
		if by[cause].Counted == 0 {
			t.Errorf("%s: %+v", cause, by)
		}
	}
	if in := r.Plays[0].Inside; len(in) != 2 || in[0].Before.Sent == 0 || in[1].During.Sent == 0 {
		t.Errorf("%+v", in)
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
