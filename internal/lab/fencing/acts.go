// Package fencing checks the acts under duties against what their targets accepted: no holder's act is accepted after one of a
// later holder, two holders never act at once, and no duty is without a holder for long.
package fencing

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Act is an act under a duty, or an attempt of one. All times are on one clock.
type Act struct {
	Duty   string
	Upon   string // the target of the act
	Holder string
	Epoch  uint64
	Value  uint64        // unique among acts; written to the target if the act is accepted
	Before uint64        // the value that the target held before, if the act was accepted
	Looked time.Duration // when the holder checked that it holds the duty
	Taken  time.Duration // when the target accepted or refused it; 0 if it never arrived
	OK     bool          // the act was accepted
	Heard  time.Duration // when the holder got the answer; 0 if it never did
}

// Span is a time in which nobody can hold a duty: the service had no quorum, or every candidate was cut off.
type Span struct{ From, To time.Duration }

// Rules are the rules by which acts are checked.
type Rules struct {
	Gap     time.Duration // upper bound between two accepted acts: lease, margin and a second
	Excused []Span
}

// Breach is a violation of a rule.
type Breach struct {
	Rule string        `json:"rule"`
	At   time.Duration `json:"at"`
	Text string        `json:"text"`
}

// Verdict is the result of checking acts.
type Verdict struct {
	Acts     int           `json:"acts"`
	Taken    int           `json:"taken"`
	Refused  int           `json:"refused"`  // acts that the fence refused, because their epoch was over
	HandOns  int           `json:"hand_ons"` // changes of the epoch among accepted acts
	Longest  time.Duration `json:"longest_gap"`
	LongAt   time.Duration `json:"longest_at"` // end of the longest gap
	Breaches []Breach      `json:"breaches"`
}

// Check checks the acts under one duty.
func Check(all []Act, rules Rules) (v Verdict) {
	v.Acts = len(all)
	breach := func(rule string, at time.Duration, format string, args ...any) {
		v.Breaches = append(v.Breaches, Breach{rule, at, fmt.Sprintf(format, args...)})
	}
	var taken []Act
	for _, a := range all {
		switch {
		case a.OK:
			taken = append(taken, a)
		case a.Taken > 0:
			v.Refused++
		}
	}
	v.Taken = len(taken)
	slices.SortStableFunc(taken, func(a, b Act) int { return cmp.Compare(a.Taken, b.Taken) })
	highest, holders := map[string]uint64{}, map[uint64]string{}
	for i, a := range taken {
		if seen := highest[a.Upon]; a.Epoch < seen {
			breach("older", a.Taken, "%s took an act of %s under epoch %d after one under %d", a.Upon, a.Holder, a.Epoch, seen)
		}
		highest[a.Upon] = max(highest[a.Upon], a.Epoch)
		if other, known := holders[a.Epoch]; known && other != a.Holder {
			breach("two holders", a.Taken, "acts of %s and of %s were taken under epoch %d", other, a.Holder, a.Epoch)
		}
		if holders[a.Epoch] = a.Holder; i == 0 {
			continue
		}
		if a.Epoch != taken[i-1].Epoch {
			v.HandOns++
		}
		if gap := rules.gap(taken[i-1].Taken, a.Taken); gap > v.Longest {
			v.Longest, v.LongAt = gap, a.Taken
			if gap > rules.Gap {
				breach("gap", a.Taken, "nobody acted for %v, at most %v", gap, rules.Gap)
			}
		}
	}
	v.Breaches = append(v.Breaches, overlappingHolders(all)...)
	return v
}

// gap returns the time from one act to the next, without the excused spans.
func (r Rules) gap(from, to time.Duration) time.Duration {
	gap := to - from
	for _, s := range r.Excused {
		gap -= max(0, min(to, s.To)-max(from, s.From))
	}
	return gap
}

// overlappingHolders returns a breach for each act that a holder began after a later holder had begun one. Acts that no target accepted
// count too.
func overlappingHolders(all []Act) (found []Breach) {
	byLook := slices.Clone(all)
	slices.SortStableFunc(byLook, func(a, b Act) int { return cmp.Compare(a.Looked, b.Looked) })
	highest := Act{}
	for _, a := range byLook {
		if a.Epoch < highest.Epoch {
			found = append(found, Breach{"together", a.Looked, fmt.Sprintf("%s began an act under epoch %d, %v after %s did under %d",
				a.Holder, a.Epoch, a.Looked-highest.Looked, highest.Holder, highest.Epoch)})
			continue
		}
		highest = a
	}
	return found
}
