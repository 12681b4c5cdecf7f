package circuitbreaker

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"mosslead/internal/gossip/message"
)

const (
	startupTime       = time.Second      // a tracker that has just begun opens nothing: its roster is incomplete
	falseReportRate   = 1.0 / 200        // probability that a member is wrong about a given upstream
	maxFalseVerdict   = 1.0 / 50         // probability, at most, that as many are wrong at once as a verdict takes
	flapWithin        = 30 * time.Second // a verdict that opens again within this after its end is delayed
	baseFlapDelay     = time.Second      // doubles each time
	maxFlapDelay      = 16 * time.Second
	maxNamedReporters = 8 // in a reason
)

// requiredReporters is how many independent reporters a verdict takes if n could have met the fault: so many that by
// chance they are reached less often than maxFalseVerdict, by the Poisson bound on how many of n are wrong at
// once. Two at least.
func requiredReporters(n int) int {
	mean := falseReportRate * float64(n)
	term := math.Exp(-mean) // P(exactly k)
	above := 1 - term       // P(more than k)
	k := 0
	for above > maxFalseVerdict {
		k++
		term *= mean / float64(k)
		above -= term
	}
	return max(2, k+1)
}

// announcement is the verdict that was last returned.
type announcement struct {
	Verdict
	until    time.Duration // its end
	closedAt time.Duration // when it last closed
	flaps    int
}

// weights is the sum of the reports on one subject.
type weights struct {
	open, served                 map[string]float64 // by site
	pathEvidence, serverEvidence map[string]float64 // of open, by site: what may be a fault of the path, and what is one of the server
	firm                         bool               // one report at least is more than a suspicion
	since, last                  time.Duration
}

// evaluate goes through all subjects. There are few, as only what is open is reported.
func (b *VerdictTracker) evaluate(now time.Duration) (changed []Verdict) {
	b.sweep(now)
	all := b.accusations()
	for _, s := range b.subjects() {
		old := b.announced[s]
		if old == nil {
			old = &announcement{closedAt: -flapWithin}
			b.announced[s] = old
		}
		v := b.verdict(now, s, old, all)
		if v.Open && !old.Open {
			if now-old.closedAt > flapWithin {
				old.flaps = 0
			} else if now-old.closedAt < min(baseFlapDelay<<min(old.flaps, 8), maxFlapDelay) {
				v.Open, v.PassFraction, v.Probes = false, 0, ProbeByEach
			} else {
				old.flaps++
			}
		}
		lapses := v.Open && old.until-now < v.For/2 // it would expire before it is announced again
		v.Changed = v.Open != old.Open || v.PassFraction != old.PassFraction || v.Probes != old.Probes || v.Open && v.StartedMs != old.StartedMs
		if v.Changed || lapses {
			v.ProbesSucceeded = !v.Open && v.Round > old.Round && v.StartedMs == old.StartedMs
			v.Reason = b.explain(now, s, all)
			changed = append(changed, v)
			if old.until = now + v.For; old.Open && !v.Open {
				old.closedAt = now
			}
			old.Verdict = v
		}
		if !old.Open && b.reports[s] == nil && now-old.closedAt > flapWithin {
			delete(b.announced, s)
		}
	}
	return changed
}

// verdict is the verdict on s by now; old is the one that was last announced.
func (b *VerdictTracker) verdict(now time.Duration, s subject, old *announcement, all accusations) Verdict {
	u, listed := b.listed[s.upstream]
	t := b.sumWeights(now, s, all)
	v := Verdict{Upstream: s.upstream, StartedMs: u.StartedMs, Class: s.class, Since: t.since, Round: b.round(s.upstream)}
	need, siteNeed := float64(requiredReporters(b.potentialReporters(""))), float64(requiredReporters(b.potentialReporters(b.config.Site)))
	if old.Open { // hysteresis: an open verdict closes at half a report less
		need, siteNeed = need-0.5, siteNeed-0.5
	}
	v.Open = listed && now-b.startedAt >= startupTime && t.firm && (t.fleetQuorum(need, b.config.Site) || t.siteQuorum(siteNeed, b.config.Site))
	if s.class == "" {
		v.Probes, v.Step, v.PassFraction = b.probing(now, s.upstream)
	}
	if !v.Open && old.Open && listed && v.StartedMs == old.StartedMs && v.Step > 0 && v.Round == old.Round { // it closes in steps, whoever withdrew a report
		v.Open, t.last = true, b.probes[s.upstream].until
	}
	if !v.Open {
		v.Probes, v.Step, v.PassFraction = ProbeByEach, 0, 0
		return v
	}
	v.For = t.last - now
	return v
}

// sumWeights adds up the reports on s.
func (b *VerdictTracker) sumWeights(now time.Duration, s subject, all accusations) *weights {
	t := &weights{open: map[string]float64{}, served: map[string]float64{}, pathEvidence: map[string]float64{}, serverEvidence: map[string]float64{}, since: now}
	names := slices.Sorted(maps.Keys(b.reports[s])) // a sum of fractions depends on its order
	for _, name := range names {
		r := b.reports[s][name]
		w, _ := b.reportWeight(now, s, name, r, all)
		if !r.open() || w == 0 {
			continue
		}
		site := b.members[name].Site
		t.open[site] += w
		t.firm = t.firm || r.report.SelfSuspicion < Suspicion && w >= 0.5
		t.since, t.last = min(t.since, r.firstAt), max(t.last, r.until)
		if isPathEvidence(r.report.Evidence) {
			t.pathEvidence[site] += w
		} else {
			t.serverEvidence[site] += w
		}
	}
	for _, name := range names {
		if r := b.reports[s][name]; !r.open() && r.newEvidenceAt >= t.since { // a success before the fault says nothing
			w, _ := b.reportWeight(now, s, name, r, all)
			t.served[b.members[name].Site] += w
		}
	}
	return t
}

// fleetQuorum tells whether the fleet agrees: enough weight, of which no site has more than half and so two
// sites at least, and more sites than those that are served. Evidence that may be the path's does not count
// where the own site's members are served.
func (t *weights) fleetQuorum(need float64, own string) bool {
	sum, open, well := 0.0, 0, 0
	for _, w := range t.open {
		if sum += min(w, math.Ceil(need/2)); w >= 0.5 {
			open++
		}
	}
	for site, w := range t.served {
		if w >= 0.5 && w >= t.open[site] {
			well++
		}
	}
	if own != "" && t.served[own] > t.pathEvidence[own] && total(t.serverEvidence) < total(t.pathEvidence) {
		return false
	}
	return sum >= need && open > well
}

// siteQuorum tells whether the own site agrees that its paths fail, against those of its members that are
// served.
func (t *weights) siteQuorum(need float64, own string) bool {
	return t.pathEvidence[own] >= need && t.pathEvidence[own] > t.served[own]
}

func total(by map[string]float64) (sum float64) {
	for _, w := range by {
		sum += w
	}
	return sum
}

var evidenceNames = map[message.Evidence]string{message.ErrorAnswers: "errors", message.BrokenConnections: "breaks", message.Silence: "silence", message.Rejections: "full"}

// explain tells operators who reports what of s, and how far each report counts.
func (b *VerdictTracker) explain(now time.Duration, s subject, all accusations) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(b.reports[s])) {
		if len(parts) == maxNamedReporters {
			parts = append(parts, fmt.Sprintf("%d more", len(b.reports[s])-maxNamedReporters))
			break
		}
		r := b.reports[s][name]
		what := "serves it"
		if r.open() {
			what = evidenceNames[r.report.Evidence]
		}
		text := fmt.Sprintf("%s/%s %s %d", b.members[name].Site, name, what, r.report.Count)
		if w, why := b.reportWeight(now, s, name, r, all); why != "" {
			text += fmt.Sprintf(" (counts %.1f: %s)", w, why)
		}
		parts = append(parts, text)
	}
	return fmt.Sprintf("%d of %d needed: %s", requiredReporters(b.potentialReporters("")), b.potentialReporters(""), strings.Join(parts, "; "))
}
