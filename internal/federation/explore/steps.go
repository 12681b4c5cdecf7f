package explore

import (
	"encoding/json"
	"fmt"
	"slices"

	"mosslead/internal/registry/list"
)

// Steps are all that may happen next.
func (s *state) Steps(add func(name string, do func(*state))) {
	s.ownerSteps(add)
	for i := range s.leaders {
		if s.leaders[i].leading {
			s.leaderSteps(i, add)
		}
	}
	for k, p := range s.lateChunks {
		add(fmt.Sprintf("late piece %d from %d to %d", p.Part, p.From, p.To), func(n *state) {
			n.lateChunks = slices.Delete(n.lateChunks, k, k+1)
			_ = n.commitChunk(p, nil) // nobody is answered
		})
	}
	switch who := 1 - s.newestLeader; {
	case !s.leaders[s.newestLeader].leading:
		add(fmt.Sprintf("%s begins", leaderName(s.newestLeader)), func(n *state) { n.elect(n.newestLeader) })
	case s.remaining.Elections > 0:
		add(fmt.Sprintf("%s begins", leaderName(who)), func(n *state) { n.remaining.Elections--; n.elect(who) })
	}
	if s.remaining.Restarts > 0 {
		add("the follower starts again", func(n *state) { n.remaining.Restarts--; n.restartFollower() })
	}
	if s.remaining.Reads > 0 {
		add("the sidecar reads", func(n *state) { n.remaining.Reads--; n.readSettings(n.follower) })
		if s.laggingFollower.List != s.follower.List {
			add("the sidecar reads at the replica that lags", func(n *state) { n.remaining.Reads--; n.readSettings(n.laggingFollower) })
			add("the follower's replica catches up", func(n *state) { n.laggingFollower = n.follower })
		}
	}
}

func (s *state) ownerSteps(add func(string, func(*state))) {
	if s.remaining.Changes > 0 {
		whats := []string{"+a", "+b", "+" + service}
		for _, name := range []string{"a", "b"} {
			if _, there := s.currentView.entries[name]; there {
				whats = append(whats, "-"+name)
			}
		}
		if d, there := s.currentView.documents[service]; there && !d.Deleted {
			whats = append(whats, "-"+service)
		}
		for _, what := range whats {
			add("owner "+what, func(n *state) { n.remaining.Changes--; n.changeOwner(what) })
		}
	}
	if s.owner.List == s.laggingOwner.List {
		return
	}
	add("the lagging source catches up", func(n *state) { n.laggingOwner = n.owner })
	if s.remaining.Restores > 0 {
		add("the owner is put back", func(n *state) {
			n.remaining.Restores--
			n.owner, n.restored = n.laggingOwner, true
			n.currentView = n.ownerView()
			n.changeLog += "put back "
			for i := range n.leaders {
				l := &n.leaders[i]
				l.watching, l.silent = false, !n.faults.NoResync
			}
		})
	}
}

func (s *state) leaderSteps(i int, add func(string, func(*state))) {
	l := &s.leaders[i]
	who := leaderName(i)
	switch {
	case !l.watching && len(l.events) == 0 && len(l.chunks) == 0:
		for at := range 2 {
			if at == 1 && s.laggingOwner.List == s.owner.List {
				break // no difference
			}
			add(fmt.Sprintf("%s watches %s", who, sourceName(at)), func(n *state) { n.startWatch(i, at) })
		}
	case l.watching && len(l.events) < maxInFlight:
		if _, any := s.nextEvent(l.source, l.watchRevision); any {
			add(fmt.Sprintf("%s is told one line more", who), func(n *state) { n.receiveEvent(i) })
		}
	}
	if l.watching && s.remaining.Losses > 0 {
		add(fmt.Sprintf("%s loses its watch", who), func(n *state) {
			n.remaining.Losses--
			n.leaders[i].watching, n.leaders[i].events = false, nil
		})
	}
	if len(l.events) > 0 && len(l.chunks) == 0 {
		add(fmt.Sprintf("%s takes a line to %d", who, l.events[0].Revision), func(n *state) { n.applyEvent(i) })
		if s.remaining.Duplicates > 0 {
			add(fmt.Sprintf("%s takes a line to %d, which comes again", who, l.events[0].Revision), func(n *state) {
				n.remaining.Duplicates--
				again := n.leaders[i].events[0]
				n.applyEvent(i)
				n.leaders[i].events = append(slices.Clone(n.leaders[i].events), again)
			})
		}
	}
	if len(l.chunks) > 0 {
		s.chunkSteps(i, l.chunks[0], add)
	}
	if i != s.newestLeader {
		add(fmt.Sprintf("%s ends", who), func(n *state) { n.leaders[i] = leader{} })
	}
}

// chunkSteps are what may become of the next chunk that a leader proposes.
func (s *state) chunkSteps(i int, p list.Chunk, add func(string, func(*state))) {
	name := fmt.Sprintf("%s's piece %d from %d to %d", leaderName(i), p.Part, p.From, p.To)
	add(name, func(n *state) { n.propose(i) })
	if s.remaining.Losses > 0 {
		add(name+" is lost", func(n *state) {
			n.remaining.Losses--
			if l := &n.leaders[i]; n.faults.ContinueAfterLoss && len(l.chunks) > 1 {
				l.chunks = l.chunks[1:]
				return
			}
			n.failProposal(i)
		})
	}
	if s.remaining.LateChunks > 0 && len(s.lateChunks) < maxInFlight {
		add(name+" is given up", func(n *state) {
			n.remaining.LateChunks--
			n.failProposal(i)
			n.leaders[i].leading = !n.remaining.Barrier
			n.lateChunks = append(n.lateChunks, p)
		})
	}
	if s.remaining.Duplicates > 0 && len(s.lateChunks) < maxInFlight && !s.remaining.Barrier {
		add(name+", which comes again", func(n *state) {
			n.remaining.Duplicates--
			n.propose(i)
			n.lateChunks = append(n.lateChunks, p)
		})
	}
}

// restartFollower has the follower restartFollower again from its snapshot, as it is on a disk.
func (s *state) restartFollower() {
	before := s.follower.key // of a state that was seen
	var of list.State
	if err := json.Unmarshal(before, &of); err != nil {
		s.violation = fmt.Sprintf("the follower's snapshot: %v", err)
		return
	}
	s.follower = sharedList{List: list.Load(of, history)}
	if s.follower.setKey(); string(s.follower.key) != string(before) {
		s.violation = fmt.Sprintf("the follower's snapshot is not as it was: %s and %s", s.follower.key, before)
	}
	s.leaders = [2]leader{}
	s.elect(s.newestLeader)
}
