package explore

import (
	"fmt"
	"slices"

	"mosslead/internal/lease"
)

// Steps adds all steps that are possible in this state.
func (s *state) Steps(add func(name string, do func(*state))) {
	for stalled := range 4 { // a bit mask of the candidates whose clocks stand still
		if s.remaining.Ticks == 0 || stalled&1 != 0 && s.candidates[0].ticksSinceStall < stallInterval || stalled&2 != 0 && s.candidates[1].ticksSinceStall < stallInterval {
			continue
		}
		add(fmt.Sprint("tick", stalled), func(n *state) { n.tick(stalled) })
	}
	if len(s.log) > 0 {
		add("commit", func(n *state) { n.commit(true) })
	}
	if s.remaining.Elections > 0 {
		for _, keepLog := range []bool{true, false} {
			add(fmt.Sprint("election, log kept: ", keepLog), func(n *state) { n.remaining.Elections--; n.elect(keepLog) })
			if len(s.log) == 0 {
				break // an empty log has nothing to keep or lose, so one election covers both cases
			}
		}
	}
	for i := range s.candidates {
		s.candidateSteps(i, add)
	}
}

// candidateSteps adds the steps of one candidate and its messages.
func (s *state) candidateSteps(i int, add func(string, func(*state))) {
	c := &s.candidates[i]
	for k, request := range c.requests {
		add(fmt.Sprintf("%s's request of operation %d arrives and is committed", holderName(i), request.Op), func(n *state) {
			n.candidates[i].requests = slices.Delete(n.candidates[i].requests, k, k+1)
			n.receiveRequest(i, request)
			for len(n.log) > 0 {
				n.commit(true)
			}
		})
		if s.remaining.Delays > 0 {
			add(fmt.Sprintf("%s's request of operation %d arrives and is not committed yet", holderName(i), request.Op), func(n *state) {
				n.remaining.Delays--
				n.candidates[i].requests = slices.Delete(n.candidates[i].requests, k, k+1)
				n.receiveRequest(i, request)
			})
		}
	}
	if response := c.response; response != nil && !c.paused {
		add(fmt.Sprintf("%s receives the response: holder %q, epoch %d", holderName(i), response.Grant.Holder, response.Grant.Epoch), func(n *state) {
			n.candidates[i].response = nil
			n.handle(i, *response)
		})
	}
	epoch, ok := c.Holds(c.clock)
	switch {
	case c.actionEpoch != 0:
		add(holderName(i)+"'s action arrives", func(n *state) { n.receiveAction(i) })
	case ok && !c.paused && s.remaining.Actions > 0:
		add(fmt.Sprintf("%s starts an action under epoch %d", holderName(i), epoch), func(n *state) { n.remaining.Actions--; n.candidates[i].actionEpoch = epoch })
	}
	switch {
	case c.paused:
		add(holderName(i)+" resumes", func(n *state) { n.candidates[i].paused = false; n.handle(i, nil) })
	case s.remaining.Pauses > 0:
		add(holderName(i)+" is paused", func(n *state) { n.remaining.Pauses--; n.candidates[i].paused = true })
	}
	if !c.paused && (!c.campaigning || s.remaining.Withdrawals > 0) {
		add(fmt.Sprintf("%s campaigns: %v", holderName(i), !c.campaigning), func(n *state) {
			candidate := &n.candidates[i]
			if candidate.campaigning {
				n.remaining.Withdrawals--
			}
			candidate.campaigning = !candidate.campaigning
			n.handle(i, lease.Campaign{On: candidate.campaigning})
		})
	}
}

// tick advances time by one tick. Each candidate's clock advances too, unless its bit in stalled is set.
func (s *state) tick(stalled int) {
	s.now += Tick
	s.remaining.Ticks--
	for i := range s.candidates {
		c := &s.candidates[i]
		if stalled&(1<<i) != 0 {
			c.ticksSinceStall = 1
		} else {
			c.ticksSinceStall = min(c.ticksSinceStall+1, stallInterval)
			c.clock += Tick
		}
		if at, ok := c.Next(); ok && at <= c.clock && !c.paused {
			s.handle(i, nil)
		}
	}
}
