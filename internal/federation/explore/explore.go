// Package explore checks the replication of one region's documents and entries to another by exhaustive state exploration: the
// replicated state must never go back. The model has an owner with two replicas, one up to date and one that may lag; a follower, of
// which two replicas may both act as the leader and write chunks to its log; and a sidecar that reads from an up-to-date or from a
// lagging replica of the follower. The exploration covers every order of steps, up to a given depth.
//
// A step is one of: a change by the owner, whose history keeps only the last changes; a replica that catches up; a leader that starts
// a watch at either replica of the owner, receives one more event, or loses the watch with all its events; an event that is applied,
// once or twice; a proposed chunk that is committed, is lost, or is abandoned by its leader and committed later; a new leader beside
// the former one, and the former one's end; a restart of the follower from its snapshot; a restore of the owner to its lagging
// replica, from which it continues; a read by the sidecar. Bounds limit how often each step occurs on a path, not when.
//
// Lists, chunks and a leader's sync state are the program's own code; the sidecar's rule and the order of watch events are modelled
// in a few lines. A restored owner is silent for so long that a leader requests the full list, as the program's leader does after
// 10 s. Not explored are a restored owner that exceeds the highest revision seen before that request, documents that several owners
// have for one service, and takeovers. With a restored owner, leaders start behind a barrier: a chunk from before the restore that is
// committed after the first full list would not be undone before the next full list.
package explore

import (
	"fmt"

	"mosslead/internal/modelcheck"
)

// Bounds limit the length of a path, and how often each kind of step occurs on it.
type Bounds struct {
	Depth      int  // the length of a path in steps
	Empty      bool // the follower starts with nothing; otherwise with the owner's first two changes, of which the lagging replica has one
	Changes    int  // changes by the owner
	Losses     int  // a watch or a chunk is lost
	LateChunks int  // a chunk is committed after its leader abandoned it
	Duplicates int  // an event is applied, or a chunk committed, a second time
	Elections  int  // another leader starts
	Restarts   int  // the follower restarts from its snapshot
	Restores   int  // the owner is restored to its lagging replica
	Barrier    bool // leaders start as in the program, see elect; otherwise the former leader and its abandoned chunks remain
	Reads      int  // reads by the sidecar
}

// Faults are faults injected into the model, to test that the exploration finds them.
type Faults struct {
	NoSeenCheck       bool // neither the leader nor the log checks the highest revision seen
	NoFromCheck       bool // the log does not check the revision from which a chunk continues
	NoPartCheck       bool // the log does not check how many chunks were applied
	ContinueAfterLoss bool // a leader continues with the next chunk after one was lost
	DropUnnamed       bool // documents that a full list does not name are removed
	NoResync          bool // a leader requests only changes even after a long silence of the owner
	AcceptOlder       bool // the sidecar accepts an older revision
}

// Result is the result of an exploration.
type Result = modelcheck.Result

// Run explores the model breadth first, and checks in each state that the replication converges from there.
func Run(b Bounds, f Faults) Result {
	return modelcheck.Search(newState(b, f), b.Depth, (*state).checkConvergence)
}

const (
	north   = "north" // the owner
	south   = "south" // the follower
	service = "s"     // the sidecar's service
)

// sourceName returns the name of a replica of the owner: 0 is the one up to date, 1 the lagging one.
func sourceName(source int) string {
	return [...]string{"the owner's up-to-date replica", "the owner's lagging replica"}[source]
}

func leaderName(i int) string { return fmt.Sprint("leader ", i) }
