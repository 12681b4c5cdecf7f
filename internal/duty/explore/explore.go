// Package explore owns the proof by exhaustion that the protocol of duties keeps its promises: two candidates (the state
// machine that sidecars run), one service (the list and the terms that replicas run) and one who is acted upon are taken
// through every order of what may happen, to a depth.
//
// A step is one of: a tick of time, in which each candidate's clock may stand still as often as the drift allows; a message
// that arrives, of those under way, in any order; one that never arrives is lost; an entry of the log that is committed only later; a new
// leader, with or without what was not committed; an act that is begun, and its arrival; a candidate that is stopped, or goes on;
// one that gives the duty up and wants it again. How often each happens on a path is bounded, when is not.
package explore

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mosslead/internal/duty"
)

// The scale of the model: a lease is three ticks, a margin one, an answer is waited for two, and a clock stands still at most once in a lease, which is
// the drift that the margin is for.
const (
	Tick     = time.Second
	Lease    = 3 * Tick
	Margin   = Tick
	oneStill = int(Lease / Tick)
)

// Bounds are how often something may happen on a path, and how long the paths are.
type Bounds struct {
	Depth     int // steps
	Ticks     int
	Stops     int
	Elections int
	Wishes    int // a candidate gives up, and wants the duty again
	Delays    int // an entry of the log is not committed at once
	Acts      int // that are begun; whether one could be is looked at in each state anyway
}

// Faults are planted, to see that they are found.
type Faults struct {
	NoMargin bool // a holder acts to its lease's very end
	NoFence  bool // who is acted upon looks at no epoch
	NoTurns  bool // the log takes the leader's word for it that a term is over, whatever was renewed since
}

// Found is what an exploration came to.
type Found struct {
	States int      // that differ
	Depth  int      // to which all were seen
	Broken string   // the promise that does not hold; empty: all do
	Path   []string // the steps to where it breaks, one of the shortest
}

// node is a state with the way to it.
type node struct {
	s    *state
	from *node
	step string
}

func (n *node) path() (steps []string) {
	for ; n.from != nil; n = n.from {
		steps = append([]string{n.step}, steps...)
	}
	return steps
}

// Run explores breadth first.
func Run(b Bounds, f Faults) Found {
	first := begin(b, f)
	seen := map[hash]struct{}{first.hash(): {}}
	level := []*node{{s: first}}
	for depth := range b.Depth {
		var next []*node
		for part := range slices.Chunk(level, 1024) {
			for i, steps := range expand(part) {
				for _, x := range steps {
					if x.broken != "" {
						return Found{len(seen), depth, x.broken, append(part[i].path(), x.name)}
					}
					if _, ok := seen[x.hash]; ok {
						continue
					}
					seen[x.hash] = struct{}{}
					next = append(next, &node{x.s, part[i], x.name})
				}
				part[i].s = nil // its way stays, itself is not needed any more
			}
		}
		if level = next; len(level) == 0 {
			return Found{States: len(seen), Depth: depth}
		}
	}
	return Found{States: len(seen), Depth: b.Depth}
}

// expand finds the steps of each node, on all processors; the order does not depend on them.
func expand(part []*node) [][]step {
	all := make([][]step, len(part))
	var at atomic.Int64
	var work sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		work.Go(func() {
			for i := int(at.Add(1)) - 1; i < len(part); i = int(at.Add(1)) - 1 {
				all[i] = part[i].s.steps()
				for j := range all[i] {
					x := &all[i][j]
					x.broken, x.hash = x.s.broken(), x.s.hash()
				}
			}
		})
	}
	work.Wait()
	return all
}

func (f Faults) config(who int) duty.Config {
	c := duty.Config{Name: name, Holder: holder(who), Lease: Lease, Margin: Margin, Patience: 2 * Tick,
		Start: time.Nanosecond, Chance: func() float64 { return 0 }}
	if f.NoMargin {
		c.Margin = time.Nanosecond
	}
	return c
}

const name = "d"

func holder(who int) string { return fmt.Sprint("h", who) }
