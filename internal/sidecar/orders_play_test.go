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

// playOrder plays an order and tells what broke the rules, and what went over the wire if that is asked for.
func playOrder(t *testing.T, o *order, p plantedFault, statsTick bool) (broken []string, text string) {
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
		w := newOrderHarness(t, o, p)
		time.Sleep(o.settleTime)
		if o.warmUp {
			auto := [2]time.Duration{w.upstreams[0].autoAnswer, w.upstreams[1].autoAnswer}
			w.upstreams[0].autoAnswer, w.upstreams[1].autoAnswer = 0, 0
			for _, c := range w.clients {
				c.send("search", time.Second, 0, false)
			}
			time.Sleep(50 * milli)
			w.mu.Lock()
			w.upstreams[0].autoAnswer, w.upstreams[1].autoAnswer = auto[0], auto[1]
			w.mu.Unlock()
		}
		begun := time.Now()
		actions := slices.Clone(o.actions)
		slices.SortStableFunc(actions, func(a, b orderAction) int { return int(a.at - a.networkDelay() - b.at + b.networkDelay()) })
		last := time.Duration(0)
		for _, a := range actions {
			time.Sleep(a.at - a.networkDelay() - time.Since(begun))
			w.note("order", "all", "%v", a)
			w.perform(a)
			last = max(last, a.at+a.timeout+a.delay)
			if a.kind == pipelinesComplete {
				last += 2 * time.Second // it is read only after the one before
			}
		}
		time.Sleep(last + 700*milli - time.Since(begun))
		if w.terminatedAt.IsZero() {
			time.Sleep(idleCloseWait)
		} else {
			time.Sleep(killDelay + 50*milli - time.Since(w.terminatedAt))
		}
		w.mu.Lock()
		w.recording = false
		w.mu.Unlock()
		w.record.Stop()
		broken = checkRules(w)
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

// playUntilViolation plays an order until it breaks a rule, that many times at the most.
func (o *order) playUntilViolation(t *testing.T, p plantedFault, times int) (broken []string, text string) {
	for range times {
		if broken, text = playOrder(t, o, p, true); len(broken) > 0 {
			break
		}
	}
	return broken, text
}

// shrink leaves out acts for as long as the order goes on to fail.
func (o *order) shrink(t *testing.T, p plantedFault) *order {
	for again := true; again; {
		again = false
		for i := len(o.actions) - 1; i >= 0; i-- {
			if less := o.without(i); len(less.actions) > 0 {
				if broken, _ := less.playUntilViolation(t, p, orderRepeats); len(broken) > 0 {
					o, again = less, true
				}
			}
		}
	}
	return o
}

// discardLogs keeps the sidecars' logs out of the test's.
func discardLogs(t *testing.T) {
	was := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(was) })
}

func reportViolation(t *testing.T, o *order, p plantedFault, broken []string, text string) {
	t.Helper()
	if short := o.shrink(t, p); len(short.actions) < len(o.actions) {
		if again, fields := short.playUntilViolation(t, p, 2*orderRepeats); len(again) > 0 {
			o, broken, text = short, again, fields
		}
	}
	kept := ""
	for _, a := range o.actions {
		kept += fmt.Sprint(",", a.number)
	}
	t.Errorf("replay with -orders.seed=%d -orders.keep=%s\n%v\n%s\n%s", o.seed, strings.TrimPrefix(kept, ","), o, strings.Join(broken, "\n"), text)
}
