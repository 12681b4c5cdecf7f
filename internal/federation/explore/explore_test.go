package explore

import (
	"flag"
	"testing"
	"time"
)

var deeper = flag.Int("deeper", 0, "steps to add to the depth of the cases without an injected fault")

// Checks that the invariants hold on every path, and that each injected fault breaks one, except for ContinueAfterLoss alone, which
// the log makes harmless.
func TestExplore(t *testing.T) {
	for _, test := range []struct {
		name   string
		bounds Bounds
		faults Faults
		breaks bool
	}{
		{"changes, lost watches and chunks", Bounds{Depth: 7, Changes: 3, Losses: 1}, Faults{}, false},
		{"catching up from an empty list", Bounds{Depth: 8, Empty: true, Changes: 2, Losses: 1, LateChunks: 1}, Faults{}, false},
		{"duplicate and late chunks", Bounds{Depth: 8, Changes: 2, Duplicates: 1, LateChunks: 1}, Faults{}, false},
		{"two leaders", Bounds{Depth: 7, Changes: 2, Elections: 1, LateChunks: 1}, Faults{}, false},
		{"a restart of the follower", Bounds{Depth: 8, Changes: 2, Restarts: 1, LateChunks: 1}, Faults{}, false},
		{"a sidecar", Bounds{Depth: 8, Changes: 2, Reads: 3}, Faults{}, false},
		{"a restored owner", Bounds{Depth: 6, Changes: 3, Restores: 1}, Faults{}, false},
		{"a restored owner, another leader", Bounds{Depth: 6, Changes: 3, Restores: 1, Elections: 1, LateChunks: 1, Barrier: true}, Faults{}, false},
		{"all at once but restores", Bounds{Depth: 5, Changes: 3, Losses: 1, LateChunks: 1, Duplicates: 1, Elections: 1, Restarts: 1, Reads: 2}, Faults{}, false},
		{"all at once behind a barrier", Bounds{Depth: 5, Changes: 3, Losses: 1, LateChunks: 1, Duplicates: 1, Elections: 1, Restarts: 1, Restores: 1, Reads: 2, Barrier: true}, Faults{}, false},
		{"no barrier, and a restored owner", Bounds{Depth: 9, Changes: 2, Restores: 1, LateChunks: 1}, Faults{}, true},
		{"a leader continues after a lost chunk", Bounds{Depth: 8, Empty: true, Changes: 1, Losses: 1}, Faults{ContinueAfterLoss: true}, false},
		{"a leader continues after a lost chunk, no check of the number of chunks", Bounds{Depth: 8, Empty: true, Changes: 1, Losses: 1}, Faults{ContinueAfterLoss: true, NoPartCheck: true}, true},
		{"no check of the number of chunks", Bounds{Depth: 10, Empty: true, Changes: 2, LateChunks: 1}, Faults{NoPartCheck: true}, true},
		{"no check of the highest revision seen", Bounds{Depth: 8, Empty: true, Changes: 1, Losses: 1}, Faults{NoSeenCheck: true}, true},
		{"no check of the revision a chunk continues from", Bounds{Depth: 10, Changes: 2, LateChunks: 1}, Faults{NoFromCheck: true}, true},
		{"documents that are not named are removed", Bounds{Depth: 8, Changes: 2, Restores: 1}, Faults{DropUnnamed: true}, true},
		{"no full list after a silence", Bounds{Depth: 8, Changes: 2, Restores: 1}, Faults{NoResync: true}, true},
		{"a sidecar accepts older settings", Bounds{Depth: 8, Changes: 1, Reads: 2}, Faults{AcceptOlder: true}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if !test.breaks {
				test.bounds.Depth += *deeper
			}
			start := time.Now()
			result := Run(test.bounds, test.faults)
			t.Logf("%d states, to depth %d, in %.1f s; violation %q on path %q", result.States, result.Depth, time.Since(start).Seconds(), result.Broken, result.Path)
			if (result.Broken != "") != test.breaks {
				t.Errorf("got violation %q on path %q, want a violation: %v", result.Broken, result.Path, test.breaks)
			}
		})
	}
}
