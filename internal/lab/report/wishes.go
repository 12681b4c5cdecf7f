package report

import (
	"cmp"
	"slices"
	"time"

	"mosslead/internal/lab"
	"mosslead/internal/lab/record"
)

// wish is what a client wanted, with all of its tries.
type wish struct {
	tries    []*record.Request
	attempts []*record.Attempt
	at       time.Duration // of the load's time
	took     time.Duration // from the first intended send to the answer that was served, else to the last end
	served   bool
	worth    float64 // asked for
	earned   float64
}

func (w *wish) first() *record.Request { return w.tries[0] }
func (w *wish) last() *record.Request  { return w.tries[len(w.tries)-1] }
func (w *wish) inTime() bool           { return w.served && w.took <= w.first().Aim }

// wishes puts tries and attempts together, in the order of their time. Those that were never sent, since the play was
// broken off, are left out.
func wishes(o *lab.Outcome) []*wish {
	late := map[string]float64{}
	for _, c := range o.Plan.Spec.Classes {
		late[c.Name] = c.LateWorth
	}
	attempts := map[string][]*record.Attempt{}
	for _, a := range o.Record.Attempts {
		attempts[a.Request] = append(attempts[a.Request], a)
	}
	by := map[int]*wish{}
	for _, q := range o.Record.Requests {
		if q.End == record.Unsent || q.End == record.Pending {
			continue
		}
		w := by[q.Wish]
		if w == nil {
			w = &wish{}
			by[q.Wish] = w
		}
		w.tries = append(w.tries, q)
		w.attempts = append(w.attempts, attempts[q.ID]...)
	}
	all := make([]*wish, 0, len(by))
	for _, w := range by {
		slices.SortFunc(w.tries, func(a, b *record.Request) int { return cmp.Compare(a.Try, b.Try) })
		slices.SortFunc(w.attempts, func(a, b *record.Attempt) int { return cmp.Compare(a.Begun, b.Begun) })
		first := w.first()
		w.at, w.worth = first.Intended-o.Begin, first.Worth
		w.took = w.last().Ended - first.Intended
		for _, q := range w.tries {
			if q.End == record.Served {
				w.served, w.took = true, q.Ended-first.Intended
				break
			}
		}
		switch {
		case w.inTime():
			w.earned = w.worth
		case w.served:
			w.earned = w.worth * late[first.Class]
		}
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *wish) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.first().ID, b.first().ID)) })
	return all
}

// between gives those whose time is in [from, to).
func between(all []*wish, from, to time.Duration) []*wish {
	lo, _ := slices.BinarySearchFunc(all, from, func(w *wish, t time.Duration) int { return cmp.Compare(w.at, t) })
	hi, _ := slices.BinarySearchFunc(all, to, func(w *wish, t time.Duration) int { return cmp.Compare(w.at, t) })
	return all[lo:max(lo, hi)]
}
