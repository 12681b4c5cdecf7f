package report

import (
	"cmp"
	"slices"
	"time"

	"mosslead/internal/lab"
	"mosslead/internal/lab/record"
)

// wish is a planned request of a client, with all of its tries.
type wish struct {
	tries    []*record.Request
	attempts []*record.Attempt
	at       time.Duration // since the start of the load
	took     time.Duration // from the first intended send to the served answer, or else to the end of the last try
	served   bool
	worth    float64 // of the answer if it comes in time
	earned   float64
}

func (w *wish) first() *record.Request { return w.tries[0] }
func (w *wish) last() *record.Request  { return w.tries[len(w.tries)-1] }
func (w *wish) inTime() bool           { return w.served && w.took <= w.first().Aim }

// wishes groups tries and attempts by wish, sorted by time. Tries that were never sent or have not ended, since the play was
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
	byNumber := map[int]*wish{}
	for _, q := range o.Record.Requests {
		if q.End == record.Unsent || q.End == record.Pending {
			continue
		}
		w := byNumber[q.Wish]
		if w == nil {
			w = &wish{}
			byNumber[q.Wish] = w
		}
		w.tries = append(w.tries, q)
		w.attempts = append(w.attempts, attempts[q.ID]...)
	}
	all := make([]*wish, 0, len(byNumber))
	for _, w := range byNumber {
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

// between returns the wishes whose time is in [from, to).
func between(all []*wish, from, to time.Duration) []*wish {
	lo, _ := slices.BinarySearchFunc(all, from, func(w *wish, t time.Duration) int { return cmp.Compare(w.at, t) })
	hi, _ := slices.BinarySearchFunc(all, to, func(w *wish, t time.Duration) int { return cmp.Compare(w.at, t) })
	return all[lo:max(lo, hi)]
}
