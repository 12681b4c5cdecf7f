// Package modelcheck searches through every order of the steps of a small model, breadth first and to a
// depth, so that a path to a broken invariant is one of the shortest.
package modelcheck

import (
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
)

// Hash tells states apart.
type Hash [16]byte

// State is a state of a model, of type S. What a clone shares must not be changed.
type State[S any] interface {
	Clone() S
	// Steps adds all steps that may come next, each with a name and its effect on a clone.
	Steps(add func(name string, do func(S)))
	Broken(before S) string // the invariant that does not hold here, or on the way from before; empty: all hold
	Hash() Hash
}

// Result is the result of a search.
type Result struct {
	States int      // that differ
	Depth  int      // to which all states were seen
	Broken string   // the invariant that does not hold; empty: all hold
	Path   []string // the steps to where it breaks, one of the shortest paths
}

// node is a state and the path to it.
type node[S any] struct {
	state  S
	parent *node[S]
	step   string
}

func (n *node[S]) path() (steps []string) {
	for ; n.parent != nil; n = n.parent {
		steps = append(steps, n.step)
	}
	slices.Reverse(steps)
	return steps
}

type step[S any] struct {
	name   string
	state  S
	broken string
	hash   Hash
}

// expansion is what can follow one state.
type expansion[S any] struct {
	violation string
	steps     []step[S]
}

// Search goes through all states that follow first within maxDepth steps. check, if it is not nil, is called
// with each state, the last ones too, and returns what is wrong with it.
func Search[S State[S]](first S, maxDepth int, check func(S) string) Result {
	seen := map[Hash]struct{}{first.Hash(): {}}
	level := []*node[S]{{state: first}}
	var none S
	for depth := 0; ; depth++ {
		if depth == maxDepth && check == nil {
			return Result{States: len(seen), Depth: maxDepth}
		}
		var next []*node[S]
		for part := range slices.Chunk(level, 1024) {
			for i, x := range expand(part, depth < maxDepth, check) {
				if x.violation != "" {
					return Result{len(seen), depth, x.violation, part[i].path()}
				}
				for _, x := range x.steps {
					if x.broken != "" {
						return Result{len(seen), depth, x.broken, append(part[i].path(), x.name)}
					}
					if _, ok := seen[x.hash]; ok {
						continue
					}
					seen[x.hash] = struct{}{}
					next = append(next, &node[S]{x.state, part[i], x.name})
				}
				part[i].state = none // its way stays, itself is not needed any more
			}
		}
		if level = next; len(level) == 0 {
			return Result{States: len(seen), Depth: min(depth, maxDepth)}
		}
	}
}

// expand expands each node, on all processors. The order of the result does not depend on them.
func expand[S State[S]](part []*node[S], expandStates bool, check func(S) string) []expansion[S] {
	all := make([]expansion[S], len(part))
	var at atomic.Int64
	var work sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		work.Go(func() {
			for i := int(at.Add(1)) - 1; i < len(part); i = int(at.Add(1)) - 1 {
				s, x := part[i].state, &all[i]
				if check != nil {
					x.violation = check(s)
				}
				if !expandStates || x.violation != "" {
					continue
				}
				s.Steps(func(name string, do func(S)) {
					next := s.Clone()
					do(next)
					x.steps = append(x.steps, step[S]{name: name, state: next})
				})
				for j := range x.steps {
					y := &x.steps[j]
					y.broken, y.hash = y.state.Broken(s), y.state.Hash()
				}
			}
		})
	}
	work.Wait()
	return all
}
