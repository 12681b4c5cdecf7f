package explore

import (
	"encoding/json"
	"fmt"
	"slices"

	"mosslead/internal/registry/list"
)

// Steps adds all steps that are possible in this state.
func (s *state) Steps(add func(name string, do func(*state))) {
	s.ownerSteps(add)
	for i := range s.leaders {
		if s.leaders[i].leading {
			s.leaderSteps(i, add)
		}
	}
	for k, chunk := range s.lateChunks {
		add(fmt.Sprintf("late chunk %d from %d to %d is committed", chunk.Part, chunk.From, chunk.To), func(n *state) {
			n.lateChunks = slices.Delete(n.lateChunks, k, k+1)
			_ = n.commitChunk(chunk, nil) // no leader waits for the result
		})
	}
	switch other := 1 - s.newestLeader; {
	case !s.leaders[s.newestLeader].leading:
		add(fmt.Sprintf("%s starts", leaderName(s.newestLeader)), func(n *state) { n.elect(n.newestLeader) })
	case s.remaining.Elections > 0:
		add(fmt.Sprintf("%s starts", leaderName(other)), func(n *state) { n.remaining.Elections--; n.elect(other) })
	}
	if s.remaining.Restarts > 0 {
		add("the follower restarts", func(n *state) { n.remaining.Restarts--; n.restartFollower() })
	}
	if s.remaining.Reads > 0 {
		add("the sidecar reads", func(n *state) { n.remaining.Reads--; n.readSettings(n.follower) })
		if s.laggingFollower.List != s.follower.List {
			add("the sidecar reads at the lagging replica", func(n *state) { n.remaining.Reads--; n.readSettings(n.laggingFollower) })
			add("the follower's lagging replica catches up", func(n *state) { n.laggingFollower = n.follower })
		}
	}
}

// ownerSteps adds the steps of the owner and its lagging replica.
func (s *state) ownerSteps(add func(string, func(*state))) {
	if s.remaining.Changes > 0 {
		changes := []string{"+a", "+b", "+" + service}
		for _, name := range []string{"a", "b"} {
			if _, ok := s.currentView.entries[name]; ok {
				changes = append(changes, "-"+name)
			}
		}
		if d, ok := s.currentView.documents[service]; ok && !d.Deleted {
			changes = append(changes, "-"+service)
		}
		for _, change := range changes {
			add("owner "+change, func(n *state) { n.remaining.Changes--; n.changeOwner(change) })
		}
	}
	if s.owner.List == s.laggingOwner.List {
		return
	}
	add("the owner's lagging replica catches up", func(n *state) { n.laggingOwner = n.owner })
	if s.remaining.Restores > 0 {
		add("the owner is restored", func(n *state) {
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

// leaderSteps adds the steps of one leader.
func (s *state) leaderSteps(i int, add func(string, func(*state))) {
	l := &s.leaders[i]
	name := leaderName(i)
	switch {
	case !l.watching && len(l.events) == 0 && len(l.chunks) == 0:
		for source := range 2 {
			if source == 1 && s.laggingOwner.List == s.owner.List {
				break // both replicas are the same, so one watch covers both cases
			}
			add(fmt.Sprintf("%s watches %s", name, sourceName(source)), func(n *state) { n.startWatch(i, source) })
		}
	case l.watching && len(l.events) < maxInFlight:
		if _, ok := s.nextEvent(l.source, l.watchRevision); ok {
			add(fmt.Sprintf("%s receives one more event", name), func(n *state) { n.receiveEvent(i) })
		}
	}
	if l.watching && s.remaining.Losses > 0 {
		add(fmt.Sprintf("%s loses its watch", name), func(n *state) {
			n.remaining.Losses--
			n.leaders[i].watching, n.leaders[i].events = false, nil
		})
	}
	if len(l.events) > 0 && len(l.chunks) == 0 {
		add(fmt.Sprintf("%s applies an event to %d", name, l.events[0].Revision), func(n *state) { n.applyEvent(i) })
		if s.remaining.Duplicates > 0 {
			add(fmt.Sprintf("%s applies an event to %d, which comes again", name, l.events[0].Revision), func(n *state) {
				n.remaining.Duplicates--
				event := n.leaders[i].events[0]
				n.applyEvent(i)
				n.leaders[i].events = append(slices.Clone(n.leaders[i].events), event)
			})
		}
	}
	if len(l.chunks) > 0 {
		s.chunkSteps(i, l.chunks[0], add)
	}
	if i != s.newestLeader {
		add(fmt.Sprintf("%s ends", name), func(n *state) { n.leaders[i] = leader{} })
	}
}

// chunkSteps adds what may happen to the next chunk that a leader proposes.
func (s *state) chunkSteps(i int, chunk list.Chunk, add func(string, func(*state))) {
	name := fmt.Sprintf("%s's chunk %d from %d to %d", leaderName(i), chunk.Part, chunk.From, chunk.To)
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
		add(name+" is abandoned", func(n *state) {
			n.remaining.LateChunks--
			n.failProposal(i)
			n.leaders[i].leading = !n.remaining.Barrier
			n.lateChunks = append(n.lateChunks, chunk)
		})
	}
	if s.remaining.Duplicates > 0 && len(s.lateChunks) < maxInFlight && !s.remaining.Barrier {
		add(name+", which comes again", func(n *state) {
			n.remaining.Duplicates--
			n.propose(i)
			n.lateChunks = append(n.lateChunks, chunk)
		})
	}
}

// restartFollower loads the follower from its snapshot, and starts a leader.
func (s *state) restartFollower() {
	before := s.follower.key // set in every explored state
	var snapshot list.State
	if err := json.Unmarshal(before, &snapshot); err != nil {
		s.violation = fmt.Sprintf("the follower's snapshot cannot be decoded: %v", err)
		return
	}
	s.follower = sharedList{List: list.Load(snapshot, history)}
	if s.follower.setKey(); string(s.follower.key) != string(before) {
		s.violation = fmt.Sprintf("the follower's snapshot differs once it is loaded: got %s, want %s", s.follower.key, before)
	}
	s.leaders = [2]leader{}
	s.elect(s.newestLeader)
}
