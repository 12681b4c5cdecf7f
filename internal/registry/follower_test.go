package registry

import (
	"testing"
	"time"

	"mosslead/internal/registry/list"
)

// The whole list of another region is asked for at first, after what was not taken in, and after a silence in which the other could
// have been put back; else what changed.
func TestWhatIsAskedOfAnotherRegion(t *testing.T) {
	n := &Node{start: time.Now().Add(-time.Hour), fsm: &stateMachine{list: list.New(list.CompactionWindow)}}
	n.fsm.list.Apply(list.Command{Op: list.ReplicateRegion, Region: "south", Chunk: &list.Chunk{Region: "north", To: 7, Last: true}})
	f := &follower{node: n, region: "north"}
	for i, step := range []struct {
		do   func()
		want int64
	}{
		{func() {}, -1},
		{func() { f.onHeard(); f.recordSync(false, "", "") }, -1}, // changes alone are not all
		{func() { f.onHeard(); f.recordSync(true, "", "") }, 7},
		{func() { f.onHeard(); f.recordSync(false, "", "its version goes back") }, -1},
		{func() { f.onHeard(); f.recordSync(true, "settings go back", "") }, 7},
		{func() { f.lastHeard = n.now() - resyncAfter }, -1},
		{func() { f.onHeard() }, -1}, // heard again, and not told all yet
		{func() { f.recordSync(true, "", "") }, 7},
	} {
		if step.do(); f.nextRevision() != step.want {
			t.Errorf("step %d: from %d, want %d", i, f.nextRevision(), step.want)
		}
	}
	if f.recordSync(false, "", ""); f.syncState.Anomaly != "" || f.syncState.Rejected != "" {
		t.Errorf("%q, %q", f.syncState.Anomaly, f.syncState.Rejected)
	}
}
