package report

import (
	"cmp"
	"slices"
	"time"

	"mosslead/internal/lab"
	"mosslead/internal/lab/record"
)

const (
	knownShare = 0.95 // share of the sidecars that have to know
	// An upstream counts as left out if it gets none of the attempts to its zone in a window, and an equal share of them would be at least
	// hearsayAttempts.
	hearsayWindow   = 3 * time.Second
	hearsayAttempts = 6
)

// harm measures the effect of faulty upstreams on requests.
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

// sharing measures how soon sidecars knew of a faulty upstream, and which reports of others they believed.
func (f Figures) sharing(o *lab.Outcome) {
	if len(o.Record.Said) == 0 {
		return
	}
	sidecars := len(o.Record.Limits)
	for _, b := range o.Record.Bands {
		for _, party := range b.Of {
			first, knew := detectionTimes(o.Record, party, b)
			if first == 0 {
				continue
			}
			late := b.To - first // until the fault's end, as for a sidecar that never knew
			if need := int(knownShare * float64(sidecars)); len(knew) >= need {
				late = knew[need-1] - first
			}
			f["know95_ms"] = max(f["know95_ms"], late.Seconds()*1e3)
			if verdict := firstVerdict(o.Record, party, b); verdict > 0 {
				f["told95_ms"] = max(f["told95_ms"], (first+late-verdict).Seconds()*1e3)
			}
		}
	}
	f["trials_hung"] = trialsHung(o.Record)
	if !slices.ContainsFunc(o.Record.Said, func(s record.Said) bool { return s.What == record.Present }) {
		return // no sidecar shares its evidence
	}
	f["hearsay_part"] = hearsayPart(o.Record)
	healed := time.Duration(0)
	for _, b := range o.Record.Bands {
		healed = max(healed, b.To)
	}
	if healed > 0 && healed < o.Begin+o.Plan.Spec.Length {
		f["view_ms"] = timeToFullView(o, healed).Seconds() * 1e3
		f["believed_ms"] = timeToLastBelief(o, healed).Seconds() * 1e3
	}
}

// detectionTimes returns when the first sidecar found an upstream bad by its own evidence during a fault, and when each sidecar knew, by
// its own evidence or by others'. first is 0 if none did.
func detectionTimes(rec *record.Record, upstream string, b record.Band) (first time.Duration, knew []time.Duration) {
	known := map[string]bool{}
	for _, s := range rec.Said { // in order of time
		if s.Upstream != upstream || !s.Open || s.At < b.From || s.At > b.To || s.What == record.Present || first == 0 && s.What != record.Evidence || s.Suspected || known[s.Sidecar] {
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

// firstVerdict returns when the first sidecar believed others' reports against an upstream during a fault, or 0 if none did.
func firstVerdict(rec *record.Record, upstream string, b record.Band) time.Duration {
	for _, s := range rec.Said {
		if s.What == record.Verdict && s.Open && s.Upstream == upstream && s.At >= b.From && s.At <= b.To {
			return s.At
		}
	}
	return 0
}

// spans holds periods of time by sidecar and upstream.
type spans map[[2]string][][2]time.Duration

// during reports whether a period of the key overlaps with the time between from and to.
func (s spans) during(key [2]string, from, to time.Duration) bool {
	return slices.ContainsFunc(s[key], func(x [2]time.Duration) bool { return x[0] < to && x[1] > from })
}

// throughout reports whether a period of the key covers the time between from and to.
func (s spans) throughout(key [2]string, from, to time.Duration) bool {
	return slices.ContainsFunc(s[key], func(x [2]time.Duration) bool { return x[0] <= from && x[1] >= to })
}

// knownBad returns the periods in which sidecars held upstreams to be bad for all classes: by their own evidence, and by verdicts upon
// others' reports.
func knownBad(rec *record.Record) (own, reported spans) {
	own, reported = spans{}, spans{}
	for _, s := range rec.Said {
		in := reported
		if s.What == record.Evidence {
			in = own
		}
		if s.What == record.Present || s.Suspected || s.Class != "" {
			continue
		}
		key := [2]string{s.Sidecar, s.Upstream}
		if last := len(in[key]) - 1; last >= 0 {
			in[key][last][1] = min(in[key][last][1], s.At)
		}
		if s.Open {
			to := rec.Length
			if s.For > 0 {
				to = s.At + s.For
			}
			in[key] = append(in[key], [2]time.Duration{s.At, to})
		}
	}
	return own, reported
}

// trialsHung returns the number of attempts that were never answered, at upstreams that their sidecar held to be bad when it sent them.
func trialsHung(rec *record.Record) (n float64) {
	own, reported := knownBad(rec)
	for _, a := range rec.Attempts {
		key := [2]string{a.Sidecar, a.Upstream}
		if (a.How == record.Out || a.How == record.GivenUp) && (own.throughout(key, a.Begun, a.Begun) || reported.throughout(key, a.Begun, a.Begun)) {
			n++
		}
	}
	return n
}

// hearsayPart returns the greatest part of a zone's usable upstreams that a sidecar left out at the same time upon others' reports.
// These are upstreams with a verdict and no own evidence against them that got none of the zone's attempts, although there were
// enough to give each upstream hearsayAttempts.
func hearsayPart(rec *record.Record) (greatest float64) {
	zones := map[string][]string{} // upstreams by zone
	for party, zone := range rec.Zones {
		if _, sidecar := rec.Limits[party]; !sidecar {
			zones[zone] = append(zones[zone], party)
		}
	}
	own, reported := knownBad(rec)
	sent := map[string][]*record.Attempt{}
	for _, a := range rec.Attempts {
		sent[a.Sidecar] = append(sent[a.Sidecar], a)
	}
	for sidecar := range rec.Limits {
		slices.SortFunc(sent[sidecar], func(a, b *record.Attempt) int { return cmp.Compare(a.Begun, b.Begun) })
		for from := time.Duration(0); from+hearsayWindow <= rec.Length; from += hearsayWindow / 4 {
			to := from + hearsayWindow
			byUpstream, byZone := map[string]int{}, map[string]int{}
			lo, _ := slices.BinarySearchFunc(sent[sidecar], from, func(a *record.Attempt, t time.Duration) int { return cmp.Compare(a.Begun, t) })
			for _, a := range sent[sidecar][lo:] {
				if a.Begun >= to {
					break
				}
				byUpstream[a.Upstream]++
				byZone[rec.Zones[a.Upstream]]++
			}
			for zone, ups := range zones {
				leftOut, usable := 0, 0
				for _, u := range ups {
					key := [2]string{sidecar, u}
					if own.during(key, from, to) {
						continue
					}
					usable++
					if byUpstream[u] == 0 && reported.throughout(key, from, to) {
						leftOut++
					}
				}
				if usable > 0 && byZone[zone] >= hearsayAttempts*len(ups) {
					greatest = max(greatest, float64(leftOut)/float64(usable))
				}
			}
		}
	}
	return greatest
}

// timeToFullView returns how long after t every sidecar counted all sidecars as present, or the time until the end if one does not.
func timeToFullView(o *lab.Outcome, t time.Duration) time.Duration {
	end := o.Begin + o.Plan.Spec.Length
	present, completeAt := map[string]int{}, map[string]time.Duration{}
	for _, s := range o.Record.Said {
		if s.What != record.Present || s.At > end {
			continue
		}
		if present[s.Sidecar] = s.Members; s.Members == len(o.Record.Limits) {
			completeAt[s.Sidecar] = s.At
		}
	}
	last := t
	for sidecar := range o.Record.Limits {
		if present[sidecar] != len(o.Record.Limits) {
			return end - t
		}
		last = max(last, completeAt[sidecar])
	}
	return last - t
}

// timeToLastBelief returns how long after t it took until no sidecar believed others' reports against an upstream any more.
func timeToLastBelief(o *lab.Outcome, t time.Duration) time.Duration {
	end, last := o.Begin+o.Plan.Spec.Length, t
	open := map[[3]string]time.Duration{} // end of the belief, by sidecar, upstream and class
	for _, s := range o.Record.Said {
		if s.What != record.Verdict || s.At > end {
			continue
		}
		key := [3]string{s.Sidecar, s.Upstream, s.Class}
		if until, ok := open[key]; ok {
			last = max(last, min(until, s.At))
		}
		if delete(open, key); s.Open {
			open[key] = end
			if s.For > 0 {
				open[key] = min(end, s.At+s.For)
			}
		}
	}
	for _, until := range open {
		last = max(last, until)
	}
	return last - t
}
