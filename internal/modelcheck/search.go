// Package modelcheck owns the search through every order of what may happen to a small model, to a depth: breadth first, so that a
// way to where a promise breaks is one of the shortest.
package modelcheck

import (
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
)

// Hash tells states apart.
type Hash [16]byte

// State is that of a model. S is the state's own type. What is shared with a clone must not be changed.
type State[S any] interface {
	Clone() S
	// Steps adds all that may happen next, each by a name and what it does to a clone.
	Steps(add func(name string, do func(S)))
	Broken(before S) string // the promise that does not hold here, or on the way from before; empty: all do
	Hash() Hash
}

// Result is what a search came to.
type Result struct {
	States int      // that differ
	Depth  int      // to which all were seen
	Broken string   // the promise that does not hold; empty: all do
	Path   []string // the steps to where it breaks, one of the shortest
}

// node is a state with the way to it.
type node[S any] struct {
	s    S
	from *node[S]
	step string
}

func (n *node[S]) path() (steps []string) {
	for ; n.from != nil; n = n.from {
		steps = append(steps, n.step)
	}
	slices.Reverse(steps)
	return steps
}

type step[S any] struct {
	name   string
	s      S
	broken string
	hash   Hash
}

// expanded is what can happen in one state.
type expanded[S any] struct {
	amiss string
	steps []step[S]
}

// Search goes through all that can follow first in so many steps. look, where it is given, is asked of each state, the last ones too,
// and tells what is amiss with it.
func Search[S State[S]](first S, maxDepth int, check func(S) string) Result {
	seen := map[Hash]struct{}{first.Hash(): {}}
	level := []*node[S]{{s: first}}
	var none S
	for depth := 0; ; depth++ {
		if depth == maxDepth && check == nil {
			return Result{States: len(seen), Depth: maxDepth}
		}
		var next []*node[S]
		for part := range slices.Chunk(level, 1024) {
			for i, x := range expand(part, depth < maxDepth, check) {
				if x.amiss != "" {
					return Result{len(seen), depth, x.amiss, part[i].path()}
				}
				for _, x := range x.steps {
					if x.broken != "" {
						return Result{len(seen), depth, x.broken, append(part[i].path(), x.name)}
					}
					if _, ok := seen[x.hash]; ok {
						continue
					}
					seen[x.hash] = struct{}{}
					next = append(next, &node[S]{x.s, part[i], x.name})
				}
				part[i].s = none // its way stays, itself is not needed any more
			}
		}
		if level = next; len(level) == 0 {
			return Result{States: len(seen), Depth: min(depth, maxDepth)}
		}
	}
}

// expand looks at each node, on all processors; the order does not depend on them.
func expand[S State[S]](part []*node[S], expandStates bool, check func(S) string) []expanded[S] {
	all := make([]expanded[S], len(part))
	var at atomic.Int64
	var work sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		work.Go(func() {
			for i := int(at.Add(1)) - 1; i < len(part); i = int(at.Add(1)) - 1 {
				s, x := part[i].s, &all[i]
				if check != nil {
					x.amiss = check(s)
				}
				if !expandStates || x.amiss != "" {
					continue
				}
				s.Steps(func(name string, do func(S)) {
					next := s.Clone()
					do(next)
					x.steps = append(x.steps, step[S]{name: name, s: next})
				})
				for j := range x.steps {
					y := &x.steps[j]
					y.broken, y.hash = y.s.Broken(s), y.s.Hash()
				}
			}
		})
	}
	work.Wait()
	return all
}
