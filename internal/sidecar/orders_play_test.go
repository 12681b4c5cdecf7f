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

// playOrder plays an order once. It returns the violations of the rules and, if there are any and withTranscript is set, the
// transcript of the network.
func playOrder(t *testing.T, o *order, fault plantedFault, withTranscript bool) (violations []string, recordText string) {
	defer func() { // synctest panics if the goroutines of the bubble are deadlocked
		if r := recover(); r != nil {
			stacks := make([]byte, 1<<20)
			stacks = stacks[:runtime.Stack(stacks, true)]
			violations = append(violations, fmt.Sprint(r))
			for stack := range strings.SplitSeq(string(stacks), "\n\n") {
				if strings.Contains(stack, "synctest bubble") {
					violations = append(violations, stack)
				}
			}
		}
	}()
	synctest.Test(t, func(t *testing.T) {
		h := newOrderHarness(t, o, fault)
		time.Sleep(o.settleTime)
		if o.warmUp {
			autoAnswer := [2]time.Duration{h.upstreams[0].autoAnswer, h.upstreams[1].autoAnswer}
			h.upstreams[0].autoAnswer, h.upstreams[1].autoAnswer = 0, 0
			for _, c := range h.clients {
				c.send("search", time.Second, 0, false)
			}
			time.Sleep(50 * milli)
			h.mu.Lock()
			h.upstreams[0].autoAnswer, h.upstreams[1].autoAnswer = autoAnswer[0], autoAnswer[1]
			h.mu.Unlock()
		}
		begun := time.Now()
		actions := slices.Clone(o.actions)
		slices.SortStableFunc(actions, func(a, b orderAction) int { return int(a.at - a.networkDelay() - b.at + b.networkDelay()) })
		end := time.Duration(0)
		for _, a := range actions {
			time.Sleep(a.at - a.networkDelay() - time.Since(begun))
			h.note("order", "all", "%v", a)
			h.perform(a)
			end = max(end, a.at+a.timeout+a.delay)
			if a.kind == pipelinesComplete {
				end += 2 * time.Second // the sidecar reads a pipelined request only after it has answered the one before
			}
		}
		time.Sleep(end + 700*milli - time.Since(begun))
		if h.terminatedAt.IsZero() {
			time.Sleep(idleCloseWait)
		} else {
			time.Sleep(killDelay + 50*milli - time.Since(h.terminatedAt))
		}
		h.mu.Lock()
		h.recording = false
		h.mu.Unlock()
		h.record.Stop()
		violations = checkRules(h)
		if withTranscript && len(violations) > 0 {
			recordText = h.record.Text()
		}
	})
	return violations, recordText
}

// without returns a clone of the order without the action at index i.
func (o *order) without(i int) *order {
	shorter := *o
	shorter.actions = slices.Delete(slices.Clone(o.actions), i, i+1)
	return &shorter
}

// playUntilViolation plays an order until it violates a rule, up to the given number of times.
func (o *order) playUntilViolation(t *testing.T, fault plantedFault, runs int) (violations []string, recordText string) {
	for range runs {
		if violations, recordText = playOrder(t, o, fault, true); len(violations) > 0 {
			break
		}
	}
	return violations, recordText
}

// shrink returns the order without the actions that are not needed for a violation.
func (o *order) shrink(t *testing.T, fault plantedFault) *order {
	for removed := true; removed; {
		removed = false
		for i := len(o.actions) - 1; i >= 0; i-- {
			if shorter := o.without(i); len(shorter.actions) > 0 {
				if violations, _ := shorter.playUntilViolation(t, fault, orderRepeats); len(violations) > 0 {
					o, removed = shorter, true
				}
			}
		}
	}
	return o
}

// discardLogs discards the sidecars' logs until the test ends.
func discardLogs(t *testing.T) {
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(previous) })
}

// reportViolation shrinks an order that violated a rule and fails the test with its actions, violations and transcript.
func reportViolation(t *testing.T, o *order, fault plantedFault, violations []string, recordText string) {
	t.Helper()
	if shrunk := o.shrink(t, fault); len(shrunk.actions) < len(o.actions) {
		if repeated, shrunkText := shrunk.playUntilViolation(t, fault, 2*orderRepeats); len(repeated) > 0 {
			o, violations, recordText = shrunk, repeated, shrunkText
		}
	}
	numbers := ""
	for _, a := range o.actions {
		numbers += fmt.Sprint(",", a.number)
	}
	t.Errorf("got violations of the rules, want none; replay with -orders.seed=%d -orders.keep=%s\n%v\n%s\n%s", o.seed, strings.TrimPrefix(numbers, ","), o, strings.Join(violations, "\n"), recordText)
}
