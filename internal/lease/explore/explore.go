// Package explore checks the invariants of the leadership protocol by exhaustive state exploration. The model has two candidates
// (the elector that sidecars run), one service (the list and the lease table that replicas run) and one target of the leader's
// actions. The exploration covers every order of steps, up to a given depth.
//
// A step is one of: a tick of time, in which a candidate's clock may stand still as often as the drift allows; the arrival of a
// message in flight, in any order (a message that never arrives is lost); the late commit of a log entry; an election of a new
// leader of the service, with or without the uncommitted entries; the start of an action, and its arrival; a candidate that is
// paused or resumed, or that stops campaigning or starts again. Bounds limit how often each step occurs on a path, not when.
package explore

import (
	"fmt"
	"time"

	"mosslead/internal/lease"
	"mosslead/internal/modelcheck"
)

// The scale of the model: a lease is three ticks, the margin is one, the timeout of a request is two. A clock stands still for at
// most one tick in a lease, which is the drift that the margin allows for.
const (
	Tick          = time.Second
	Lease         = 3 * Tick
	Margin        = Tick
	stallInterval = int(Lease / Tick) // shortest time between two stalls of a clock, in ticks
)

// Bounds limit the length of a path, and how often each kind of step occurs on it.
type Bounds struct {
	Depth       int // the length of a path in steps
	Ticks       int
	Pauses      int
	Elections   int
	Withdrawals int // a candidate stops campaigning; it may start again at any time
	Delays      int // a log entry is not committed at once
	Actions     int // actions that are started; Broken checks in each state which candidates may act, regardless of this bound
}

// Faults are faults injected into the model, to test that the exploration finds them.
type Faults struct {
	NoMargin    bool // a holder acts until the very end of its lease
	NoFence     bool // the target accepts an action under an older epoch
	NoTermCheck bool // the log ends a term that the leader took for expired, even if it was renewed since
}

// Result is the result of an exploration.
type Result = modelcheck.Result

// Run explores the model breadth first.
func Run(b Bounds, f Faults) Result { return modelcheck.Search(newState(b, f), b.Depth, nil) }

func (f Faults) config(candidate int) lease.Config {
	c := lease.Config{Name: leadershipName, Holder: holderName(candidate), Lease: Lease, Margin: Margin, Timeout: 2 * Tick,
		StartDelay: time.Nanosecond, Random: func() float64 { return 0 }}
	if f.NoMargin {
		c.Margin = time.Nanosecond
	}
	return c
}

const leadershipName = "d"

func holderName(candidate int) string { return fmt.Sprint("h", candidate) }
