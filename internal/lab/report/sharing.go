package report

import (
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
}

// knowing is when the first sidecar found an upstream bad by its own evidence during a fault, and when each knew, by its own or by
// others'; first 0: none did.
func knowing(rec *record.Record, upstream string, b record.Band) (first time.Duration, knew []time.Duration) {
	known := map[string]bool{}
	for _, s := range rec.Said { // in time
		if s.Upstream != upstream || !s.Open || s.At < b.From || s.At > b.To || first == 0 && s.Verdict || known[s.Sidecar] {
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
	until := map[string]map[string]time.Duration{} // by sidecar and upstream
	for _, s := range rec.Said {
		if !s.Verdict {
			continue
		}
		mine := until[s.Sidecar]
		if mine == nil {
			mine = map[string]time.Duration{}
			until[s.Sidecar] = mine
		}
		if delete(mine, s.Upstream); s.Open {
			mine[s.Upstream] = s.At + s.For
		}
		out := map[string]int{}
		for u, end := range mine {
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
