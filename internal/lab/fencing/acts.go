// Package fencing owns the judgement of what was done under duties, by what those who were acted upon took: that no holder's act
// is taken after a later holder's, that two never act at once, and that a duty is not left lying for long.
package fencing

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Act is one act under a duty, or its attempt. Times are on one clock.
type Act struct {
	Duty   string
	Upon   string // who was acted upon
	Holder string
	Epoch  uint64
	Value  uint64        // unlike that of any other act: written if it is taken
	Before uint64        // what it found written, if it was taken
	Looked time.Duration // when the holder looked whether it holds the duty
	Taken  time.Duration // when it was taken or refused, by the one acted upon; 0: it never came
	OK     bool          // it was taken
	Heard  time.Duration // when its holder was told so; 0: never
}

// Span is a time in which nobody can hold a duty: the service had no quorum, or every candidate was cut off.
type Span struct{ From, To time.Duration }

// Rules are what acts are judged by.
type Rules struct {
	Gap     time.Duration // between two acts that were taken, at most: lease, margin and a second
	Excused []Span
}

// Breach is a promise that was not kept.
type Breach struct {
	Rule string        `json:"rule"`
	At   time.Duration `json:"at"`
	Text string        `json:"text"`
}

// Verdict is what acts came to.
type Verdict struct {
	Acts     int           `json:"acts"`
	Taken    int           `json:"taken"`
	Refused  int           `json:"refused"`  // under an epoch that was over: acts that the fence stopped
	HandOns  int           `json:"hand_ons"` // changes of the epoch among acts that were taken
	Longest  time.Duration `json:"longest_gap"`
	LongAt   time.Duration `json:"longest_at"` // its end
	Breaches []Breach      `json:"breaches"`
}

// Check judges the acts under one duty.
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
	highest, holder := map[string]uint64{}, map[uint64]string{}
	for i, a := range taken {
		if was := highest[a.Upon]; a.Epoch < was {
			breach("older", a.Taken, "%s took an act of %s under epoch %d after one under %d", a.Upon, a.Holder, a.Epoch, was)
		}
		highest[a.Upon] = max(highest[a.Upon], a.Epoch)
		if was, known := holder[a.Epoch]; known && was != a.Holder {
			breach("two holders", a.Taken, "acts of %s and of %s were taken under epoch %d", was, a.Holder, a.Epoch)
		}
		if holder[a.Epoch] = a.Holder; i == 0 {
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

// gap is the time from one act to the next, without what is excused.
func (r Rules) gap(from, to time.Duration) time.Duration {
	gap := to - from
	for _, s := range r.Excused {
		gap -= max(0, min(to, s.To)-max(from, s.From))
	}
	return gap
}

// overlappingHolders finds looks that said yes to one holder after one that said so to a later one: also acts that nobody took.
func overlappingHolders(all []Act) (found []Breach) {
	looks := slices.Clone(all)
	slices.SortStableFunc(looks, func(a, b Act) int { return cmp.Compare(a.Looked, b.Looked) })
	highest := Act{}
	for _, a := range looks {
		if a.Epoch < highest.Epoch {
			found = append(found, Breach{"together", a.Looked, fmt.Sprintf("%s began an act under epoch %d, %v after %s did under %d",
				a.Holder, a.Epoch, a.Looked-highest.Looked, highest.Holder, highest.Epoch)})
			continue
		}
		highest = a
	}
	return found
}
