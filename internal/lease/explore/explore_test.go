package explore

import (
	"flag"
	"testing"
)

var deeper = flag.Int("deeper", 0, "steps to add to the depth of the cases without an injected fault")

// Checks that the invariants hold on every path, and that each injected fault breaks one.
func TestExplore(t *testing.T) {
	const unlimited = 99
	for _, test := range []struct {
		name   string
		bounds Bounds
		faults Faults
		breaks bool
	}{
		{"time, lost and late messages", Bounds{Depth: 10, Ticks: unlimited}, Faults{}, false},
		{"a pause", Bounds{Depth: 8, Ticks: unlimited, Pauses: 1}, Faults{}, false},
		{"a late commit", Bounds{Depth: 8, Ticks: unlimited, Delays: 1}, Faults{}, false},
		{"a new leader", Bounds{Depth: 8, Ticks: unlimited, Elections: 1, Delays: 1}, Faults{}, false},
		{"a handover, and actions", Bounds{Depth: 12, Ticks: 1, Withdrawals: 1, Actions: 2}, Faults{}, false},
		{"a withdrawal, and late messages", Bounds{Depth: 11, Ticks: 3, Withdrawals: 1}, Faults{}, false},
		{"all at once", Bounds{Depth: 6, Ticks: unlimited, Pauses: 1, Elections: 1, Withdrawals: 1, Delays: 1, Actions: 1}, Faults{}, false},
		{"no margin", Bounds{Depth: 8, Ticks: unlimited}, Faults{NoMargin: true}, true},
		{"no check of epochs", Bounds{Depth: 10, Withdrawals: 1, Actions: 2}, Faults{NoFence: true}, true},
		{"no check of terms", Bounds{Depth: 8, Ticks: unlimited, Delays: 1}, Faults{NoTermCheck: true}, true},
	} {
		if !test.breaks {
			test.bounds.Depth += *deeper
		}
		result := Run(test.bounds, test.faults)
		t.Logf("%s: %d states, to depth %d; violation %q on path %q", test.name, result.States, result.Depth, result.Broken, result.Path)
		if (result.Broken != "") != test.breaks {
			t.Errorf("%s: got violation %q on path %q, want a violation: %v", test.name, result.Broken, result.Path, test.breaks)
		}
	}
}
