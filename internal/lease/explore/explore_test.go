package explore

import (
	"flag"
	"testing"
)

var deeper = flag.Int("deeper", 0, "steps by which to go deeper where nothing is planted")

// The promises hold on every path, and each planted fault breaks one.
func TestExplore(t *testing.T) {
	const any = 99
	for _, x := range []struct {
		name   string
		b      Bounds
		f      Faults
		breaks bool
	}{
		{"time, lost and late messages", Bounds{Depth: 10, Ticks: any}, Faults{}, false},
		{"a stop", Bounds{Depth: 8, Ticks: any, Pauses: 1}, Faults{}, false},
		{"a late commit", Bounds{Depth: 8, Ticks: any, Delays: 1}, Faults{}, false},
		{"a new leader", Bounds{Depth: 8, Ticks: any, Elections: 1, Delays: 1}, Faults{}, false},
		{"handing on, and acts", Bounds{Depth: 12, Ticks: 1, Withdrawals: 1, Actions: 2}, Faults{}, false},
		{"giving up, and late messages", Bounds{Depth: 11, Ticks: 3, Withdrawals: 1}, Faults{}, false},
		{"all at once", Bounds{Depth: 6, Ticks: any, Pauses: 1, Elections: 1, Withdrawals: 1, Delays: 1, Actions: 1}, Faults{}, false},
		{"no margin", Bounds{Depth: 8, Ticks: any}, Faults{NoMargin: true}, true},
		{"no look at epochs", Bounds{Depth: 10, Withdrawals: 1, Actions: 2}, Faults{NoFence: true}, true},
		{"no look at turns", Bounds{Depth: 8, Ticks: any, Delays: 1}, Faults{NoTermCheck: true}, true},
	} {
		if !x.breaks {
			x.b.Depth += *deeper
		}
		f := Run(x.b, x.f)
		t.Logf("%s: %d states, to depth %d; %s %q", x.name, f.States, f.Depth, f.Broken, f.Path)
		if (f.Broken != "") != x.breaks {
			t.Errorf("%s: broken is %q", x.name, f.Broken)
		}
	}
}
