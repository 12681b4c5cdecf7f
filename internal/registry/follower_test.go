package registry

import (
	"testing"
	"time"

	"mosslead/internal/registry/list"
)

// The whole list of another region is asked for at first, after what was not taken in, and after a silence in which the other could
// have been put back; else what changed.
func TestWhatIsAskedOfAnotherRegion(t *testing.T) {
	n := &Node{start: time.Now().Add(-time.Hour), machine: &machine{list: list.New(list.History)}}
	n.machine.list.Apply(list.Command{Op: list.Follow, Region: "south", Piece: &list.Piece{Region: "north", To: 7, Last: true}})
	f := &follower{n: n, region: "north"}
	for i, step := range []struct {
		do   func()
		want int64
	}{
		{func() {}, -1},
		{func() { f.heardOf(); f.stands(false, "", "") }, -1}, // changes alone are not all
		{func() { f.heardOf(); f.stands(true, "", "") }, 7},
		{func() { f.heardOf(); f.stands(false, "", "its version goes back") }, -1},
		{func() { f.heardOf(); f.stands(true, "settings go back", "") }, 7},
		{func() { f.heard = n.now() - anewAfter }, -1},
		{func() { f.heardOf() }, -1}, // heard again, and not told all yet
		{func() { f.stands(true, "", "") }, 7},
	} {
		if step.do(); f.from() != step.want {
			t.Errorf("step %d: from %d, want %d", i, f.from(), step.want)
		}
	}
	if f.stands(false, "", ""); f.stand.Odd != "" || f.stand.Refused != "" {
		t.Errorf("%q, %q", f.stand.Odd, f.stand.Refused)
	}
}
