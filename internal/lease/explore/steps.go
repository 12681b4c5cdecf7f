package explore

import (
	"fmt"
	"slices"

	"mosslead/internal/lease"
)

// Steps are all that may happen next.
func (s *state) Steps(add func(name string, do func(*state))) {
	for still := range 4 { // a bit for each clock that stands still
		if s.left.Ticks == 0 || still&1 != 0 && s.of[0].rested < oneStill || still&2 != 0 && s.of[1].rested < oneStill {
			continue
		}
		add(fmt.Sprint("tick", still), func(n *state) { n.tick(still) })
	}
	if len(s.log) > 0 {
		add("commit", func(n *state) { n.commit(true) })
	}
	if s.left.Elections > 0 {
		for _, keeps := range []bool{true, false} {
			add(fmt.Sprint("elect ", keeps), func(n *state) { n.left.Elections--; n.elect(keeps) })
			if len(s.log) == 0 {
				break // no difference
			}
		}
	}
	for i := range s.of {
		s.stepsOf(i, add)
	}
}

func (s *state) stepsOf(i int, add func(string, func(*state))) {
	c := &s.of[i]
	for k, call := range c.calls {
		add(fmt.Sprintf("%s's call %d arrives", holder(i), call.Op), func(n *state) {
			n.of[i].calls = slices.Delete(n.of[i].calls, k, k+1)
			n.arrive(i, call)
			for len(n.log) > 0 {
				n.commit(true)
			}
		})
		if s.left.Delays > 0 {
			add(fmt.Sprintf("%s's call %d is in the log", holder(i), call.Op), func(n *state) {
				n.left.Delays--
				n.of[i].calls = slices.Delete(n.of[i].calls, k, k+1)
				n.arrive(i, call)
			})
		}
	}
	if a := c.answer; a != nil && !c.stopped {
		add(fmt.Sprintf("%s is answered %s %d", holder(i), a.Grant.Holder, a.Grant.Epoch), func(n *state) {
			n.of[i].answer = nil
			n.tell(i, *a)
		})
	}
	epoch, acts := c.Holds(c.clock)
	switch {
	case c.act != 0:
		add(holder(i)+"'s act arrives", func(n *state) { n.take(i) })
	case acts && !c.stopped && s.left.Acts > 0:
		add(fmt.Sprintf("%s acts under %d", holder(i), epoch), func(n *state) { n.left.Acts--; n.of[i].act = epoch })
	}
	switch {
	case c.stopped:
		add(holder(i)+" goes on", func(n *state) { n.of[i].stopped = false; n.tell(i, nil) })
	case s.left.Stops > 0:
		add(holder(i)+" is stopped", func(n *state) { n.left.Stops--; n.of[i].stopped = true })
	}
	if !c.stopped && (!c.wants || s.left.Wishes > 0) {
		add(fmt.Sprintf("%s wants it: %v", holder(i), !c.wants), func(n *state) {
			x := &n.of[i]
			if x.wants {
				n.left.Wishes--
			}
			x.wants = !x.wants
			n.tell(i, lease.Campaign{On: x.wants})
		})
	}
}

// tick is the next point of time; each clock goes on with it unless its bit in still says not.
func (s *state) tick(still int) {
	s.now += Tick
	s.left.Ticks--
	for i := range s.of {
		c := &s.of[i]
		if still&(1<<i) != 0 {
			c.rested = 1
		} else {
			c.rested = min(c.rested+1, oneStill)
			c.clock += Tick
		}
		if at, ok := c.Next(); ok && at <= c.clock && !c.stopped {
			s.tell(i, nil)
		}
	}
}
