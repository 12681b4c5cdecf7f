package explore

import (
	"flag"
	"testing"
	"time"
)

var deeper = flag.Int("deeper", 0, "steps by which to go deeper where nothing is planted")

// The promises hold on every path, and each planted fault breaks one.
func TestExplore(t *testing.T) {
	for _, x := range []struct {
		name   string
		b      Bounds
		f      Faults
		breaks bool
	}{
		{"changes, lost watches and pieces", Bounds{Depth: 7, Changes: 3, Losses: 1}, Faults{}, false},
		{"catching up from nothing", Bounds{Depth: 8, Empty: true, Changes: 2, Losses: 1, LateChunks: 1}, Faults{}, false},
		{"what comes twice or late", Bounds{Depth: 8, Changes: 2, Duplicates: 1, LateChunks: 1}, Faults{}, false},
		{"two leaders", Bounds{Depth: 7, Changes: 2, Elections: 1, LateChunks: 1}, Faults{}, false},
		{"the follower starts again", Bounds{Depth: 8, Changes: 2, Restarts: 1, LateChunks: 1}, Faults{}, false},
		{"a sidecar", Bounds{Depth: 8, Changes: 2, Reads: 3}, Faults{}, false},
		{"an owner put back", Bounds{Depth: 6, Changes: 3, Restores: 1}, Faults{}, false},
		{"an owner put back, another leader", Bounds{Depth: 6, Changes: 3, Restores: 1, Elections: 1, LateChunks: 1, Barrier: true}, Faults{}, false},
		{"all at once but putting back", Bounds{Depth: 5, Changes: 3, Losses: 1, LateChunks: 1, Duplicates: 1, Elections: 1, Restarts: 1, Reads: 2}, Faults{}, false},
		{"all at once behind a barrier", Bounds{Depth: 5, Changes: 3, Losses: 1, LateChunks: 1, Duplicates: 1, Elections: 1, Restarts: 1, Restores: 1, Reads: 2, Barrier: true}, Faults{}, false},
		{"no barrier, and an owner put back", Bounds{Depth: 9, Changes: 2, Restores: 1, LateChunks: 1}, Faults{}, true},
		{"a leader goes on behind a lost piece", Bounds{Depth: 8, Empty: true, Changes: 1, Losses: 1}, Faults{ContinueAfterLoss: true}, false},
		{"it does, and a last piece counts for all", Bounds{Depth: 8, Empty: true, Changes: 1, Losses: 1}, Faults{ContinueAfterLoss: true, NoPartCheck: true}, true},
		{"no look at what was taken in meanwhile", Bounds{Depth: 10, Empty: true, Changes: 2, LateChunks: 1}, Faults{NoPartCheck: true}, true},
		{"no look at what was begun", Bounds{Depth: 8, Empty: true, Changes: 1, Losses: 1}, Faults{NoSeenCheck: true}, true},
		{"no look at where a piece goes on from", Bounds{Depth: 10, Changes: 2, LateChunks: 1}, Faults{NoFromCheck: true}, true},
		{"documents that are not named are gone", Bounds{Depth: 8, Changes: 2, Restores: 1}, Faults{DropUnnamed: true}, true},
		{"no whole list after a silence", Bounds{Depth: 8, Changes: 2, Restores: 1}, Faults{NoResync: true}, true},
		{"a sidecar takes in whatever it is told", Bounds{Depth: 8, Changes: 1, Reads: 2}, Faults{AcceptOlder: true}, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			if !x.breaks {
				x.b.Depth += *deeper
			}
			begun := time.Now()
			f := Run(x.b, x.f)
			t.Logf("%d states, to depth %d, in %.1f s; %s %q", f.States, f.Depth, time.Since(begun).Seconds(), f.Broken, f.Path)
			if (f.Broken != "") != x.breaks {
				t.Errorf("broken is %q", f.Broken)
			}
		})
	}
}
