// Package explore owns the proof by exhaustion that the protocol of leaderships keeps its promises: two candidates (the state
// machine that sidecars run), one service (the list and the terms that replicas run) and one who is acted upon are taken
// through every order of what may happen, to a depth.
//
// A step is one of: a tick of time, in which each candidate's clock may stand still as often as the drift allows; a message
// that arrives, of those under way, in any order; one that never arrives is lost; an entry of the log that is committed only later; a new
// leader, with or without what was not committed; an act that is begun, and its arrival; a candidate that is stopped, or goes on;
// one that gives the leadership up and wants it again. How often each happens on a path is bounded, when is not.
package explore

import (
	"fmt"
	"time"

	"mosslead/internal/lease"
	"mosslead/internal/modelcheck"
)

// The scale of the model: a lease is three ticks, a margin one, an answer is waited for two, and a clock stands still at most once in a lease, which is
// the drift that the margin is for.
const (
	Tick          = time.Second
	Lease         = 3 * Tick
	Margin        = Tick
	stallInterval = int(Lease / Tick)
)

// Bounds are how often something may happen on a path, and how long the paths are.
type Bounds struct {
	Depth       int // steps
	Ticks       int
	Pauses      int
	Elections   int
	Withdrawals int // a candidate gives up, and wants the leadership again
	Delays      int // an entry of the log is not committed at once
	Actions     int // that are begun; whether one could be is looked at in each state anyway
}

// Faults are planted, to see that they are found.
type Faults struct {
	NoMargin    bool // a holder acts to its lease's very end
	NoFence     bool // who is acted upon looks at no epoch
	NoTermCheck bool // the log takes the leader's word for it that a term is over, whatever was renewed since
}

// Result is what an exploration came to.
type Result = modelcheck.Result

// Run explores breadth first.
func Run(b Bounds, f Faults) Result { return modelcheck.Search(newState(b, f), b.Depth, nil) }

func (f Faults) config(who int) lease.Config {
	c := lease.Config{Name: leadershipName, Holder: holderName(who), Lease: Lease, Margin: Margin, Timeout: 2 * Tick,
		StartDelay: time.Nanosecond, Random: func() float64 { return 0 }}
	if f.NoMargin {
		c.Margin = time.Nanosecond
	}
	return c
}

const leadershipName = "d"

func holderName(who int) string { return fmt.Sprint("h", who) }
