package sidecar

import (
	"fmt"
	"log/slog"
	"runtime"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// play plays an order and tells what broke the rules, and what went over the wire if that is asked for.
func play(t *testing.T, o *order, p plant, statsTick bool) (broken []string, text string) {
	defer func() { // a bubble that can't end
		if r := recover(); r != nil {
			stacks := make([]byte, 1<<20)
			stacks = stacks[:runtime.Stack(stacks, true)]
			broken = append(broken, fmt.Sprint(r))
			for one := range strings.SplitSeq(string(stacks), "\n\n") {
				if strings.Contains(one, "synctest bubble") {
					broken = append(broken, one)
				}
			}
		}
	}()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, o, p)
		time.Sleep(o.settle)
		if o.warm {
			auto := [2]time.Duration{w.ups[0].auto, w.ups[1].auto}
			w.ups[0].auto, w.ups[1].auto = 0, 0
			for _, c := range w.clients {
				c.send("search", time.Second, 0, false)
			}
			time.Sleep(50 * milli)
			w.mu.Lock()
			w.ups[0].auto, w.ups[1].auto = auto[0], auto[1]
			w.mu.Unlock()
		}
		begun := time.Now()
		actions := slices.Clone(o.actions)
		slices.SortStableFunc(actions, func(a, b act) int { return int(a.at - a.lead() - b.at + b.lead()) })
		last := time.Duration(0)
		for _, a := range actions {
			time.Sleep(a.at - a.lead() - time.Since(begun))
			w.say("order", "all", "%v", a)
			w.do(a)
			last = max(last, a.at+a.timeout+a.gap)
			if a.kind == pipelinesComplete {
				last += 2 * time.Second // it is read only after the one before
			}
		}
		time.Sleep(last + 700*milli - time.Since(begun))
		if w.termed.IsZero() {
			time.Sleep(maxPause)
		} else {
			time.Sleep(killWait + 50*milli - time.Since(w.termed))
		}
		w.mu.Lock()
		w.on = false
		w.mu.Unlock()
		w.record.Stop()
		broken = judge(w)
		if statsTick && len(broken) > 0 {
			text = w.record.Text()
		}
	})
	return broken, text
}

// without is the order without one act.
func (o *order) without(i int) *order {
	less := *o
	less.actions = slices.Delete(slices.Clone(o.actions), i, i+1)
	return &less
}

// fails plays an order until it breaks a rule, that many times at the most.
func (o *order) fails(t *testing.T, p plant, times int) (broken []string, text string) {
	for range times {
		if broken, text = play(t, o, p, true); len(broken) > 0 {
			break
		}
	}
	return broken, text
}

// shorter leaves out acts for as long as the order goes on to fail.
func (o *order) shorter(t *testing.T, p plant) *order {
	for again := true; again; {
		again = false
		for i := len(o.actions) - 1; i >= 0; i-- {
			if less := o.without(i); len(less.actions) > 0 {
				if broken, _ := less.fails(t, p, orderRepeats); len(broken) > 0 {
					o, again = less, true
				}
			}
		}
	}
	return o
}

// hush keeps the sidecars' logs out of the test's.
func hush(t *testing.T) {
	was := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(was) })
}

func report(t *testing.T, o *order, p plant, broken []string, text string) {
	t.Helper()
	if short := o.shorter(t, p); len(short.actions) < len(o.actions) {
		if again, fields := short.fails(t, p, 2*orderRepeats); len(again) > 0 {
			o, broken, text = short, again, fields
		}
	}
	kept := ""
	for _, a := range o.actions {
		kept += fmt.Sprint(",", a.number)
	}
	t.Errorf("replay with -orders.seed=%d -orders.keep=%s\n%v\n%s\n%s", o.seed, strings.TrimPrefix(kept, ","), o, strings.Join(broken, "\n"), text)
}
