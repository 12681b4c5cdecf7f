// Package modelcheck explores every order of the steps of a small model, breadth first and up to a given
// depth. The path that it reports to a broken invariant is therefore one of the shortest.
package modelcheck

import (
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
)

// Hash identifies a state: states with equal hashes are taken for the same.
type Hash [16]byte

// State is a state of a model, of type S. Data that a clone shares with its original must not be changed.
type State[S any] interface {
	Clone() S
	// Steps adds all steps that may come next, each with a name and its effect on a clone.
	Steps(add func(name string, do func(S)))
	// Broken returns the invariant that does not hold here, or on the step from before; empty if all hold.
	Broken(before S) string
	Hash() Hash
}

// Result is the result of a search.
type Result struct {
	States int      // number of different states seen
	Depth  int      // all states up to this depth were seen
	Broken string   // the invariant that does not hold; empty if all hold
	Path   []string // steps of a shortest path to the broken invariant; empty if all hold
}

// node is a state and the last step of the path to it.
type node[S any] struct {
	state  S
	parent *node[S]
	step   string
}

// path returns the names of the steps from the first state to n.
func (n *node[S]) path() (steps []string) {
	for ; n.parent != nil; n = n.parent {
		steps = append(steps, n.step)
	}
	slices.Reverse(steps)
	return steps
}

// step is a step from a state, with the state after it.
type step[S any] struct {
	name   string
	state  S
	broken string
	hash   Hash
}

// expansion is the result of checking one state, and the steps from it.
type expansion[S any] struct {
	violation string
	steps     []step[S]
}

// Search explores all states that can be reached from first within maxDepth steps. check, if it is not nil, is
// called with each state, including those at maxDepth, and returns what is wrong with it, or an empty string.
func Search[S State[S]](first S, maxDepth int, check func(S) string) Result {
	seen := map[Hash]struct{}{first.Hash(): {}}
	level := []*node[S]{{state: first}}
	var zero S
	for depth := 0; ; depth++ {
		if depth == maxDepth && check == nil {
			return Result{States: len(seen), Depth: maxDepth}
		}
		var next []*node[S]
		for batch := range slices.Chunk(level, 1024) {
			for i, expanded := range expand(batch, depth < maxDepth, check) {
				if expanded.violation != "" {
					return Result{len(seen), depth, expanded.violation, batch[i].path()}
				}
				for _, step := range expanded.steps {
					if step.broken != "" {
						return Result{len(seen), depth, step.broken, append(batch[i].path(), step.name)}
					}
					if _, ok := seen[step.hash]; ok {
						continue
					}
					seen[step.hash] = struct{}{}
					next = append(next, &node[S]{step.state, batch[i], step.name})
				}
				batch[i].state = zero // only the path is still needed
			}
		}
		if level = next; len(level) == 0 {
			return Result{States: len(seen), Depth: min(depth, maxDepth)}
		}
	}
}

// expand expands the nodes of a batch in parallel. The order of the result does not depend on the number of
// processors.
func expand[S State[S]](batch []*node[S], withSteps bool, check func(S) string) []expansion[S] {
	results := make([]expansion[S], len(batch))
	var taken atomic.Int64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := int(taken.Add(1)) - 1; i < len(batch); i = int(taken.Add(1)) - 1 {
				s, result := batch[i].state, &results[i]
				if check != nil {
					result.violation = check(s)
				}
				if !withSteps || result.violation != "" {
					continue
				}
				s.Steps(func(name string, do func(S)) {
					next := s.Clone()
					do(next)
					result.steps = append(result.steps, step[S]{name: name, state: next})
				})
				for j := range result.steps {
					st := &result.steps[j]
					st.broken, st.hash = st.state.Broken(s), st.state.Hash()
				}
			}
		})
	}
	workers.Wait()
	return results
}
