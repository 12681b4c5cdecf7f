package report

import (
	"cmp"
	"slices"
	"time"

	"mosslead/internal/lab"
	"mosslead/internal/lab/record"
)

const (
	knownShare = 0.95 // of the sidecars that are to know
	// An upstream that gets none of the attempts to its zone in a window, where each would have had hearsayEach, is left out.
	hearsayWindow   = 3 * time.Second
	hearsayAttempts = 6
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
			first, knew := detectionTimes(o.Record, party, b)
			if first == 0 {
				continue
			}
			late := b.To - first // who never knew
			if need := int(knownShare * float64(sidecars)); len(knew) >= need {
				late = knew[need-1] - first
			}
			f["know95_ms"] = max(f["know95_ms"], late.Seconds()*1e3)
			if told := firstVerdict(o.Record, party, b); told > 0 {
				f["told95_ms"] = max(f["told95_ms"], (first+late-told).Seconds()*1e3)
			}
		}
	}
	f["trials_hung"] = trialsHung(o.Record)
	if !slices.ContainsFunc(o.Record.Said, func(s record.Said) bool { return s.What == record.Present }) {
		return // nobody shares
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

// detectionTimes is when the first sidecar found an upstream bad by its own evidence during a fault, and when each knew, by its own or by
// others'; first 0: none did.
func detectionTimes(rec *record.Record, upstream string, b record.Band) (first time.Duration, knew []time.Duration) {
	known := map[string]bool{}
	for _, s := range rec.Said { // in time
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

// firstVerdict is when the first sidecar believed others against an upstream during a fault; 0: none did.
func firstVerdict(rec *record.Record, upstream string, b record.Band) time.Duration {
	for _, s := range rec.Said {
		if s.What == record.Verdict && s.Open && s.Upstream == upstream && s.At >= b.From && s.At <= b.To {
			return s.At
		}
	}
	return 0
}

// spans are times, by sidecar and upstream.
type spans map[[2]string][][2]time.Duration

func (s spans) during(key [2]string, from, to time.Duration) bool {
	return slices.ContainsFunc(s[key], func(x [2]time.Duration) bool { return x[0] < to && x[1] > from })
}

func (s spans) throughout(key [2]string, from, to time.Duration) bool {
	return slices.ContainsFunc(s[key], func(x [2]time.Duration) bool { return x[0] <= from && x[1] >= to })
}

// knownBad is when sidecars held upstreams to be bad for all classes: by own evidence, and upon what others said.
func knownBad(rec *record.Record) (own, against spans) {
	own, against = spans{}, spans{}
	for _, s := range rec.Said {
		in := against
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
	return own, against
}

// trialsHung counts attempts that were never answered, at upstreams that their sidecar held to be bad when it sent them.
func trialsHung(rec *record.Record) (n float64) {
	own, against := knownBad(rec)
	for _, a := range rec.Attempts {
		key := [2]string{a.Sidecar, a.Upstream}
		if (a.How == record.Out || a.How == record.GivenUp) && (own.throughout(key, a.Begun, a.Begun) || against.throughout(key, a.Begun, a.Begun)) {
			n++
		}
	}
	return n
}

// hearsayPart is the greatest part of a zone's usable upstreams that a sidecar left out at once upon what others said: those with
// a verdict against them, and no own evidence, that got none of so many attempts as would bring each hearsayEach.
func hearsayPart(rec *record.Record) (most float64) {
	zones := map[string][]string{} // upstreams
	for party, zone := range rec.Zones {
		if _, sidecar := rec.Limits[party]; !sidecar {
			zones[zone] = append(zones[zone], party)
		}
	}
	own, against := knownBad(rec)
	sent := map[string][]*record.Attempt{}
	for _, a := range rec.Attempts {
		sent[a.Sidecar] = append(sent[a.Sidecar], a)
	}
	for sidecar := range rec.Limits {
		slices.SortFunc(sent[sidecar], func(a, b *record.Attempt) int { return cmp.Compare(a.Begun, b.Begun) })
		for from := time.Duration(0); from+hearsayWindow <= rec.Length; from += hearsayWindow / 4 {
			to := from + hearsayWindow
			got, of := map[string]int{}, map[string]int{}
			lo, _ := slices.BinarySearchFunc(sent[sidecar], from, func(a *record.Attempt, t time.Duration) int { return cmp.Compare(a.Begun, t) })
			for _, a := range sent[sidecar][lo:] {
				if a.Begun >= to {
					break
				}
				got[a.Upstream]++
				of[rec.Zones[a.Upstream]]++
			}
			for zone, ups := range zones {
				out, usable := 0, 0
				for _, u := range ups {
					key := [2]string{sidecar, u}
					if own.during(key, from, to) {
						continue
					}
					usable++
					if got[u] == 0 && against.throughout(key, from, to) {
						out++
					}
				}
				if usable > 0 && of[zone] >= hearsayAttempts*len(ups) {
					most = max(most, float64(out)/float64(usable))
				}
			}
		}
	}
	return most
}

// timeToFullView is how long after t it took until every sidecar counted all as present; never: until the end.
func timeToFullView(o *lab.Outcome, t time.Duration) time.Duration {
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
	return last - t
}

// timeToLastBelief is how long after t the last sidecar still timeToLastBelief others' words against an upstream.
func timeToLastBelief(o *lab.Outcome, t time.Duration) time.Duration {
	end, last := o.Begin+o.Plan.Spec.Length, t
	open := map[[3]string]time.Duration{} // by sidecar, upstream and class: until when
	for _, s := range o.Record.Said {
		if s.What != record.Verdict || s.At > end {
			continue
		}
		key := [3]string{s.Sidecar, s.Upstream, s.Class}
		if until, was := open[key]; was {
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
