// Package explore owns the proof by exhaustion that a region's documents and entries are followed without going back: an owner of
// two replicas, a fresh one and one that may lag; a follower's log, in which two replicas may both take themselves for the leader
// that follows; and a sidecar that reads at a replica of the follower that is up to date or at one that lags. They are taken through
// every order of what may happen, to a depth.
//
// A step is one of: a change by the owner, which forgets what changed before the last few; a replica that catches up; a watch that
// begins at either source, and one line more on it; one that is lost with all that is under way; a line that is taken in, or comes
// twice; a chunk that is carried out, is lost, or is given up by who proposed it and carried out later; another leader, beside the
// former, and the former's end; a follower that starts again from its snapshot; an owner that is put back to the copy that lagged,
// and goes on from there; a sidecar that reads. How often each happens on a path is bounded, when is not.
//
// Lists, chunks and how a leader stands are the program's own; the sidecar's rule and the order of a watch's lines are worded anew
// in a few lines. An owner that is put back is silent for so long that a leader asks for the whole list, as the program's is after
// its 10 s; one that is back beyond what was seen before that is not explored, nor is what several owners say of one service, nor a
// takeover. Where an owner is put back, leaders begin behind a barrier: a chunk of before that were carried out behind the first
// listing after it would not be undone until the whole list is told again.
package explore

import (
	"fmt"

	"mosslead/internal/modelcheck"
)

// Bounds are how often something may happen on a path, and how long the paths are.
type Bounds struct {
	Depth      int  // steps
	Empty      bool // the follower holds nothing at first; else all of the owner's first two changes, of which one source has one
	Changes    int  // by the owner
	Losses     int  // a watch or a chunk is lost
	LateChunks int  // a chunk is carried out after who proposed it gave it up
	Duplicates int  // a line is taken in a second time, or a chunk carried out
	Elections  int  // another leader begins
	Restarts   int  // the follower starts again
	Restores   int  // the owner is put back
	Barrier    bool // a leader begins as the program's does, see begins; else the log alone keeps leaders apart
	Reads      int  // of the sidecar
}

// Faults are planted, to see that they are found.
type Faults struct {
	NoSeenCheck       bool // neither the leader nor the log looks at the highest version that was begun
	NoFromCheck       bool // the log does not look at where a chunk goes on from
	NoPartCheck       bool // the log does not look at how many chunks were taken in
	ContinueAfterLoss bool // a leader goes on behind a chunk that was lost
	DropUnnamed       bool // documents that a whole list does not name are gone
	NoResync          bool // a leader asks for what changed however long the owner was silent
	AcceptOlder       bool // the sidecar takes in whatever it is told
}

// Result is what an exploration came to.
type Result = modelcheck.Result

// Run explores breadth first. Whether what is held can be healed is looked at in each state.
func Run(b Bounds, f Faults) Result {
	return modelcheck.Search(newState(b, f), b.Depth, (*state).checkConvergence)
}

const (
	north   = "north" // the owner
	south   = "south" // the follower
	service = "s"     // the one that the sidecar is of
)

func sourceName(at int) string { return [...]string{"the fresh source", "the lagging source"}[at] }

func leaderName(who int) string { return fmt.Sprint("leader ", who) }
