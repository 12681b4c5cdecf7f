package report

import (
	"iter"
	"slices"
	"time"

	"mosslead/internal/lab"
	"mosslead/internal/lab/record"
)

const (
	knowShare = 0.95 // of the sidecars that are to know
)

// harm counts what trouble at upstreams did to requests.
func (f Figures) harm(some []*wish) {
	var harmed, hung float64
	for _, w := range some {
		bad := false
		for _, a := range w.attempts {
			if a.How == record.Out || a.How == record.GivenUp {
				hung++
			}
			bad = bad || a.How != record.OK && a.How != record.TurnedAway
		}
		if bad {
			harmed++
		}
	}
	f["harmed"], f["hung"] = harmed/float64(len(some)), hung
}

// sharing measures how soon sidecars knew of an upstream in trouble, and what they believed.
func (f Figures) sharing(o *lab.Outcome) {
	if len(o.Record.Said) == 0 {
		return
	}
	sidecars := len(o.Record.Limits)
	for _, b := range o.Record.Bands {
		for _, party := range b.Of {
			first, knew := knowing(o.Record, party, b)
			if first == 0 {
				continue
			}
			late := b.To - first // who never knew
			if need := int(knowShare * float64(sidecars)); len(knew) >= need {
				late = knew[need-1] - first
			}
			f["know95_ms"] = max(f["know95_ms"], late.Seconds()*1e3)
		}
	}
	f["hearsay_part"] = hearsayPart(o.Record)
	healed := time.Duration(0)
	for _, b := range o.Record.Bands {
		healed = max(healed, b.To)
	}
	if healed > 0 && healed < o.Begin+o.Plan.Spec.Length {
		f["view_ms"] = oneView(o, healed).Seconds() * 1e3
	}
}

// knowing is when the first sidecar found an upstream bad by its own evidence during a fault, and when each knew, by its own or by
// others'; first 0: none did.
func knowing(rec *record.Record, upstream string, b record.Band) (first time.Duration, knew []time.Duration) {
	known := map[string]bool{}
	for _, s := range rec.Said { // in time
		if s.Upstream != upstream || !s.Open || s.At < b.From || s.At > b.To || s.What == record.Present || first == 0 && s.What != record.Evidence || known[s.Sidecar] {
			continue
		}
		if first == 0 {
			first = s.At
		}
		known[s.Sidecar] = true
		knew = append(knew, s.At)
	}
	slices.Sort(knew)
	return first, knew
}

// hearsayPart is the greatest part of a zone's upstreams that a sidecar held open at once upon what others said.
func hearsayPart(rec *record.Record) (most float64) {
	of := map[string]int{} // upstreams by zone
	for party, zone := range rec.Zones {
		if _, sidecar := rec.Limits[party]; !sidecar {
			of[zone]++
		}
	}
	for s, open := range believing(rec) {
		out := map[string]int{}
		for u, end := range open {
			if end > s.At {
				out[rec.Zones[u]]++
			}
		}
		for zone, n := range out {
			most = max(most, float64(n)/float64(max(1, of[zone])))
		}
	}
	return most
}

// believing goes through the verdicts in time, with what the sidecar of each then holds open and until when.
func believing(rec *record.Record) iter.Seq2[record.Said, map[string]time.Duration] {
	return func(yield func(record.Said, map[string]time.Duration) bool) {
		open := map[string]map[string]time.Duration{} // by sidecar and upstream
		for _, s := range rec.Said {
			if s.What != record.Verdict {
				continue
			}
			if open[s.Sidecar] == nil {
				open[s.Sidecar] = map[string]time.Duration{}
			}
			if delete(open[s.Sidecar], s.Upstream); s.Open {
				open[s.Sidecar][s.Upstream] = s.At + s.For
			}
			if !yield(s, open[s.Sidecar]) {
				return
			}
		}
	}
}

// oneView is how long after t it took until every sidecar counted all as present and none believed others' words against an
// upstream any more; never: until the end.
func oneView(o *lab.Outcome, t time.Duration) time.Duration {
	end := o.Begin + o.Plan.Spec.Length
	present, whole := map[string]int{}, map[string]time.Duration{}
	for _, s := range o.Record.Said {
		if s.What != record.Present || s.At > end {
			continue
		}
		if present[s.Sidecar] = s.Members; s.Members == len(o.Record.Limits) {
			whole[s.Sidecar] = s.At
		}
	}
	last := t
	for sidecar := range o.Record.Limits {
		if present[sidecar] != len(o.Record.Limits) {
			return end - t
		}
		last = max(last, whole[sidecar])
	}
	open := map[[2]string]time.Duration{}
	for s := range believing(o.Record) {
		key := [2]string{s.Sidecar, s.Upstream}
		if s.At > end {
			break
		}
		if s.Open {
			open[key] = s.At + s.For
		} else if until, was := open[key]; was {
			last = max(last, min(until, s.At))
			delete(open, key)
		}
	}
	for _, until := range open {
		last = max(last, min(until, end))
	}
	return last - t
}
