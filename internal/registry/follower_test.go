package registry

import (
	"testing"
	"time"

	"mosslead/internal/registry/list"
)

// Checks from which revision a follower requests changes. It requests the full list (-1) at first, after it rejected an event, and
// after a silence in which the other region may have been restored to an older state; otherwise only the changes.
func TestWhatIsAskedOfAnotherRegion(t *testing.T) {
	n := &Node{start: time.Now().Add(-time.Hour), fsm: &stateMachine{list: list.New(list.CompactionWindow)}}
	n.fsm.list.Apply(list.Command{Op: list.ReplicateRegion, Region: "south", Chunk: &list.Chunk{Region: "north", To: 7, Last: true}})
	f := &follower{node: n, region: "north"}
	for i, step := range []struct {
		do   func()
		want int64
	}{
		{func() {}, -1},
		{func() { f.onHeard(); f.recordSync(false, "", "") }, -1}, // changes without a snapshot are not the full list
		{func() { f.onHeard(); f.recordSync(true, "", "") }, 7},
		{func() { f.onHeard(); f.recordSync(false, "", "its version goes back") }, -1},
		{func() { f.onHeard(); f.recordSync(true, "settings go back", "") }, 7},
		{func() { f.lastHeard = n.now() - resyncAfter }, -1},
		{func() { f.onHeard() }, -1}, // heard again, but without a snapshot since
		{func() { f.recordSync(true, "", "") }, 7},
	} {
		if step.do(); f.nextRevision() != step.want {
			t.Errorf("step %d: got next revision %d, want %d", i, f.nextRevision(), step.want)
		}
	}
	if f.recordSync(false, "", ""); f.syncState.Anomaly != "" || f.syncState.Rejected != "" {
		t.Errorf("got anomaly %q and rejection %q, want none", f.syncState.Anomaly, f.syncState.Rejected)
	}
}
