package explore

import (
	"fmt"
	"slices"

	"mosslead/internal/lease"
)

// Steps are all that may happen next.
func (s *state) Steps(add func(name string, do func(*state))) {
	for still := range 4 { // a bit for each clock that stands still
		if s.remaining.Ticks == 0 || still&1 != 0 && s.candidates[0].ticksSinceStall < stallInterval || still&2 != 0 && s.candidates[1].ticksSinceStall < stallInterval {
			continue
		}
		add(fmt.Sprint("tick", still), func(n *state) { n.tick(still) })
	}
	if len(s.log) > 0 {
		add("commit", func(n *state) { n.commit(true) })
	}
	if s.remaining.Elections > 0 {
		for _, keeps := range []bool{true, false} {
			add(fmt.Sprint("elect ", keeps), func(n *state) { n.remaining.Elections--; n.elect(keeps) })
			if len(s.log) == 0 {
				break // no difference
			}
		}
	}
	for i := range s.candidates {
		s.candidateSteps(i, add)
	}
}

func (s *state) candidateSteps(i int, add func(string, func(*state))) {
	c := &s.candidates[i]
	for k, call := range c.requests {
		add(fmt.Sprintf("%s's call %d arrives", holderName(i), call.Op), func(n *state) {
			n.candidates[i].requests = slices.Delete(n.candidates[i].requests, k, k+1)
			n.receiveRequest(i, call)
			for len(n.log) > 0 {
				n.commit(true)
			}
		})
		if s.remaining.Delays > 0 {
			add(fmt.Sprintf("%s's call %d is in the log", holderName(i), call.Op), func(n *state) {
				n.remaining.Delays--
				n.candidates[i].requests = slices.Delete(n.candidates[i].requests, k, k+1)
				n.receiveRequest(i, call)
			})
		}
	}
	if a := c.response; a != nil && !c.paused {
		add(fmt.Sprintf("%s is answered %s %d", holderName(i), a.Grant.Holder, a.Grant.Epoch), func(n *state) {
			n.candidates[i].response = nil
			n.handle(i, *a)
		})
	}
	epoch, acts := c.Holds(c.clock)
	switch {
	case c.actionEpoch != 0:
		add(holderName(i)+"'s act arrives", func(n *state) { n.receiveAction(i) })
	case acts && !c.paused && s.remaining.Actions > 0:
		add(fmt.Sprintf("%s acts under %d", holderName(i), epoch), func(n *state) { n.remaining.Actions--; n.candidates[i].actionEpoch = epoch })
	}
	switch {
	case c.paused:
		add(holderName(i)+" goes on", func(n *state) { n.candidates[i].paused = false; n.handle(i, nil) })
	case s.remaining.Pauses > 0:
		add(holderName(i)+" is stopped", func(n *state) { n.remaining.Pauses--; n.candidates[i].paused = true })
	}
	if !c.paused && (!c.campaigning || s.remaining.Withdrawals > 0) {
		add(fmt.Sprintf("%s wants it: %v", holderName(i), !c.campaigning), func(n *state) {
			x := &n.candidates[i]
			if x.campaigning {
				n.remaining.Withdrawals--
			}
			x.campaigning = !x.campaigning
			n.handle(i, lease.Campaign{On: x.campaigning})
		})
	}
}

// tick is the next point of time; each clock goes on with it unless its bit in still says not.
func (s *state) tick(still int) {
	s.now += Tick
	s.remaining.Ticks--
	for i := range s.candidates {
		c := &s.candidates[i]
		if still&(1<<i) != 0 {
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
