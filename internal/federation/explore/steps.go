package explore

import (
	"encoding/json"
	"fmt"
	"slices"

	"mosslead/internal/registry/list"
)

// Steps are all that may happen next.
func (s *state) Steps(add func(name string, do func(*state))) {
	s.stepsOfOwner(add)
	for i := range s.leaders {
		if s.leaders[i].leads {
			s.stepsOfLeader(i, add)
		}
	}
	for k, p := range s.late {
		add(fmt.Sprintf("late piece %d from %d to %d", p.Part, p.From, p.To), func(n *state) {
			n.late = slices.Delete(n.late, k, k+1)
			_ = n.carryOut(p, nil) // nobody is answered
		})
	}
	switch who := 1 - s.newest; {
	case !s.leaders[s.newest].leads:
		add(fmt.Sprintf("%s begins", leading(s.newest)), func(n *state) { n.begins(n.newest) })
	case s.left.Elections > 0:
		add(fmt.Sprintf("%s begins", leading(who)), func(n *state) { n.left.Elections--; n.begins(who) })
	}
	if s.left.Starts > 0 {
		add("the follower starts again", func(n *state) { n.left.Starts--; n.start() })
	}
	if s.left.Reads > 0 {
		add("the sidecar reads", func(n *state) { n.left.Reads--; n.read(n.follower) })
		if s.lags.List != s.follower.List {
			add("the sidecar reads at the replica that lags", func(n *state) { n.left.Reads--; n.read(n.lags) })
			add("the follower's replica catches up", func(n *state) { n.lags = n.follower })
		}
	}
}

func (s *state) stepsOfOwner(add func(string, func(*state))) {
	if s.left.Changes > 0 {
		whats := []string{"+a", "+b", "+" + service}
		for _, name := range []string{"a", "b"} {
			if _, there := s.now.entries[name]; there {
				whats = append(whats, "-"+name)
			}
		}
		if d, there := s.now.documents[service]; there && !d.Deleted {
			whats = append(whats, "-"+service)
		}
		for _, what := range whats {
			add("owner "+what, func(n *state) { n.left.Changes--; n.issue(what) })
		}
	}
	if s.owner.List == s.behind.List {
		return
	}
	add("the lagging source catches up", func(n *state) { n.behind = n.owner })
	if s.left.Backs > 0 {
		add("the owner is put back", func(n *state) {
			n.left.Backs--
			n.owner, n.back = n.behind, true
			n.now = n.told()
			n.changes += "put back "
			for i := range n.leaders {
				l := &n.leaders[i]
				l.watches, l.unheard = false, !n.faults.NoSilence
			}
		})
	}
}

func (s *state) stepsOfLeader(i int, add func(string, func(*state))) {
	l := &s.leaders[i]
	who := leading(i)
	switch {
	case !l.watches && len(l.lines) == 0 && len(l.chunks) == 0:
		for at := range 2 {
			if at == 1 && s.behind.List == s.owner.List {
				break // no difference
			}
			add(fmt.Sprintf("%s watches %s", who, source(at)), func(n *state) { n.watch(i, at) })
		}
	case l.watches && len(l.lines) < underWay:
		if _, any := s.tells(l.source, l.at); any {
			add(fmt.Sprintf("%s is told one line more", who), func(n *state) { n.line(i) })
		}
	}
	if l.watches && s.left.Losses > 0 {
		add(fmt.Sprintf("%s loses its watch", who), func(n *state) {
			n.left.Losses--
			n.leaders[i].watches, n.leaders[i].lines = false, nil
		})
	}
	if len(l.lines) > 0 && len(l.chunks) == 0 {
		add(fmt.Sprintf("%s takes a line to %d", who, l.lines[0].Revision), func(n *state) { n.applyChunk(i) })
		if s.left.Repeats > 0 {
			add(fmt.Sprintf("%s takes a line to %d, which comes again", who, l.lines[0].Revision), func(n *state) {
				n.left.Repeats--
				again := n.leaders[i].lines[0]
				n.applyChunk(i)
				n.leaders[i].lines = append(slices.Clone(n.leaders[i].lines), again)
			})
		}
	}
	if len(l.chunks) > 0 {
		s.stepsOfChunk(i, l.chunks[0], add)
	}
	if i != s.newest {
		add(fmt.Sprintf("%s ends", who), func(n *state) { n.leaders[i] = leader{} })
	}
}

// stepsOfChunk are what may become of the next chunk that a leader proposes.
func (s *state) stepsOfChunk(i int, p list.Chunk, add func(string, func(*state))) {
	name := fmt.Sprintf("%s's piece %d from %d to %d", leading(i), p.Part, p.From, p.To)
	add(name, func(n *state) { n.propose(i) })
	if s.left.Losses > 0 {
		add(name+" is lost", func(n *state) {
			n.left.Losses--
			if l := &n.leaders[i]; n.faults.GoesOn && len(l.chunks) > 1 {
				l.chunks = l.chunks[1:]
				return
			}
			n.unanswered(i)
		})
	}
	if s.left.Lates > 0 && len(s.late) < underWay {
		add(name+" is given up", func(n *state) {
			n.left.Lates--
			n.unanswered(i)
			n.leaders[i].leads = !n.left.Barrier
			n.late = append(n.late, p)
		})
	}
	if s.left.Repeats > 0 && len(s.late) < underWay && !s.left.Barrier {
		add(name+", which comes again", func(n *state) {
			n.left.Repeats--
			n.propose(i)
			n.late = append(n.late, p)
		})
	}
}

// start has the follower start again from its snapshot, as it is on a disk.
func (s *state) start() {
	before := s.follower.key // of a state that was seen
	var of list.State
	if err := json.Unmarshal(before, &of); err != nil {
		s.why = fmt.Sprintf("the follower's snapshot: %v", err)
		return
	}
	s.follower = frozen{List: list.Load(of, history)}
	if s.follower.freeze(); string(s.follower.key) != string(before) {
		s.why = fmt.Sprintf("the follower's snapshot is not as it was: %s and %s", s.follower.key, before)
	}
	s.leaders = [2]leader{}
	s.begins(s.newest)
}
