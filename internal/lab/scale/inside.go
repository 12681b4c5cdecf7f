package scale

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"mosslead/internal/lab/record"
)

// ServedInside is the verdict on a cut's requests: of those inside a region at least ServedLeast of the share that was served before
// the cut, on the same day in the same fleet under the same load.
const (
	ServedInside = "0.99 served inside a region"
	ServedLeast  = 0.99
)

// Inside is what became of the requests at a region's real sidecars whose first attempt went to the region's own upstreams, or that
// had none. Served are those of them that an own upstream answered.
type Inside struct {
	Region  string `json:"region"`
	Before  Served `json:"before"` // the cut
	During  Served `json:"during"`
	Outside int    `json:"outside"` // went to the other region's at once, in both times; they are in none of the above
}

// window is a time of the load's record.
type window struct{ from, to time.Duration }

func (x window) holds(at time.Duration) bool { return at >= x.from && at < x.to }

// inside counts the requests that were to be sent in two windows. region tells where a real sidecar, or the upstream of the same name,
// belongs. Every region of a sidecar that clients ask is there, by name.
func inside(requests []*record.Request, attempts []*record.Attempt, region, asked map[string]string, before, during window) (all []Inside) {
	byRequest := map[string][]*record.Attempt{}
	for _, a := range attempts {
		byRequest[a.Request] = append(byRequest[a.Request], a)
	}
	for _, name := range sortedValues(asked) {
		in := Inside{Region: name}
		for _, q := range requests {
			to := &in.Before
			if during.holds(q.Intended) {
				to = &in.During
			} else if !before.holds(q.Intended) {
				continue
			}
			if asked[q.Sidecar] != name || q.End == record.Unsent {
				continue
			}
			// A plan of the same seed had the same names on another day.
			of := slices.DeleteFunc(slices.Clone(byRequest[q.ID]), func(a *record.Attempt) bool { return a.First < q.Intended })
			slices.SortFunc(of, func(a, b *record.Attempt) int { return cmp.Compare(a.First, b.First) })
			if len(of) > 0 && region[of[0].Upstream] != name {
				in.Outside++
				continue
			}
			to.Sent++
			if q.End == record.Served && slices.ContainsFunc(of, func(a *record.Attempt) bool { return a.How == record.OK && region[a.Upstream] == name }) {
				to.Served++
			}
		}
		all = append(all, in)
	}
	return all
}

// judgeInside finds regions that served less during a cut. What is owed is rounded down to whole requests.
func judgeInside(all []Inside) (found []Finding) {
	for _, in := range all {
		say := func(format string, args ...any) {
			found = append(found, Finding{ServedInside, "region " + in.Region, fmt.Sprintf(format, args...)})
		}
		if in.Before.Sent == 0 || in.During.Sent == 0 || in.Before.Served == 0 {
			say("%d of %d requests served before the cut, and %d of %d during it: nothing to hold against each other", in.Before.Served, in.Before.Sent,
				in.During.Served, in.During.Sent)
			continue
		}
		owed := math.Floor(ServedLeast*float64(in.Before.Served)/float64(in.Before.Sent)*float64(in.During.Sent) + 1e-9)
		if float64(in.During.Served) < owed {
			say("%d of %d requests served during the cut, and %.0f were owed: %d of %d before it", in.During.Served, in.During.Sent, owed, in.Before.Served, in.Before.Sent)
		}
	}
	return found
}

func sortedValues(m map[string]string) (all []string) {
	for _, v := range m {
		all = append(all, v)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// insideOf counts a day's cut, once its load has ended.
func (w *world) insideOf() (all []Inside) {
	region, asked := map[string]string{}, map[string]string{}
	for _, x := range w.reals {
		region[x.name] = w.rec.Processes[x.number].Region
		if !x.bare {
			asked[x.name] = region[x.name]
		}
	}
	w.load.Change(func() { all = inside(w.load.Requests, w.load.Attempts, region, asked, w.calm, w.apart) })
	return all
}
