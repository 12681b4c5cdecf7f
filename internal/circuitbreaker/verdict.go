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
	startupTime       = time.Second      // a new tracker opens nothing for this long, since its roster is incomplete
	falseReportRate   = 1.0 / 200        // probability that a member is wrong about a given upstream
	maxFalseVerdict   = 1.0 / 50         // highest accepted probability that all reporters that a verdict requires are wrong at once
	flapWithin        = 30 * time.Second // a verdict that opens again within this time after it closed is delayed
	baseFlapDelay     = time.Second      // delay of the first reopening; it doubles with each further one
	maxFlapDelay      = 16 * time.Second
	maxNamedReporters = 8 // reporters that a reason lists
)

// requiredReporters returns how many independent reporters a verdict requires if n members could have seen the
// fault: the smallest k, at least 2, such that k or more members are wrong at once with a probability of at
// most maxFalseVerdict. The number of wrong members is taken as Poisson distributed.
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

// announcement is the last verdict that was returned on a subject.
type announcement struct {
	Verdict
	until    time.Duration // end of its validity
	closedAt time.Duration // when it last closed
	flaps    int           // consecutive reopenings, each within flapWithin of the previous closing
}

// weights holds the summed weights of the reports on one subject.
type weights struct {
	open, healthy                map[string]float64 // weights of the reports of an open breaker, and of success, by site
	pathEvidence, serverEvidence map[string]float64 // parts of open, by site: evidence that may be a fault of the path, and of the server
	confirmed                    bool               // at least one report is more than a suspicion
	since, last                  time.Duration      // when the first open report was received, and when the last one expires
}

// evaluate returns the verdicts on all subjects that have changed or would expire soon. There are few subjects,
// since mostly open breakers are reported.
func (t *VerdictTracker) evaluate(now time.Duration) (changed []Verdict) {
	t.sweep(now)
	reported := t.accusations()
	for _, s := range t.subjects() {
		old := t.announced[s]
		if old == nil {
			old = &announcement{closedAt: -flapWithin}
			t.announced[s] = old
		}
		v := t.verdict(now, s, old, reported)
		if v.Open && !old.Open {
			if now-old.closedAt > flapWithin {
				old.flaps = 0
			} else if now-old.closedAt < min(baseFlapDelay<<min(old.flaps, 8), maxFlapDelay) {
				v.Open, v.PassFraction, v.Probes = false, 0, ProbeByEach
			} else {
				old.flaps++
			}
		}
		expires := v.Open && old.until-now < v.For/2 // the verdict would expire before it is announced again
		v.Changed = v.Open != old.Open || v.PassFraction != old.PassFraction || v.Probes != old.Probes || v.Open && v.StartedMs != old.StartedMs
		if v.Changed || expires {
			v.ProbesSucceeded = !v.Open && v.Round > old.Round && v.StartedMs == old.StartedMs
			v.Reason = t.explain(now, s, reported)
			changed = append(changed, v)
			if old.until = now + v.For; old.Open && !v.Open {
				old.closedAt = now
			}
			old.Verdict = v
		}
		if !old.Open && t.reports[s] == nil && now-old.closedAt > flapWithin {
			delete(t.announced, s)
		}
	}
	return changed
}

// verdict returns the verdict on s at now; old is the last announced verdict.
func (t *VerdictTracker) verdict(now time.Duration, s subject, old *announcement, reported accusations) Verdict {
	u, listed := t.listed[s.upstream]
	sums := t.sumWeights(now, s, reported)
	v := Verdict{Upstream: s.upstream, StartedMs: u.StartedMs, Class: s.class, Since: sums.since, Round: t.round(s.upstream)}
	need, siteNeed := float64(requiredReporters(t.potentialReporters(""))), float64(requiredReporters(t.potentialReporters(t.config.Site)))
	if old.Open { // hysteresis: an open verdict needs half a report less to stay open
		need, siteNeed = need-0.5, siteNeed-0.5
	}
	v.Open = listed && now-t.startedAt >= startupTime && sums.confirmed && (sums.fleetQuorum(need, t.config.Site) || sums.siteQuorum(siteNeed, t.config.Site))
	if s.class == "" {
		v.Probes, v.Step, v.PassFraction = t.probing(now, s.upstream)
	}
	if !v.Open && old.Open && listed && v.StartedMs == old.StartedMs && v.Step > 0 && v.Round == old.Round { // a breaker that closes in steps stays open even if reports are withdrawn
		v.Open, sums.last = true, t.probes[s.upstream].until
	}
	if !v.Open {
		v.Probes, v.Step, v.PassFraction = ProbeByEach, 0, 0
		return v
	}
	v.For = sums.last - now
	return v
}

// sumWeights adds up the weights of the reports on s.
func (t *VerdictTracker) sumWeights(now time.Duration, s subject, reported accusations) *weights {
	sums := &weights{open: map[string]float64{}, healthy: map[string]float64{}, pathEvidence: map[string]float64{}, serverEvidence: map[string]float64{}, since: now}
	names := slices.Sorted(maps.Keys(t.reports[s])) // sorted, since a sum of fractions depends on the order
	for _, name := range names {
		r := t.reports[s][name]
		weight, _ := t.reportWeight(now, s, name, r, reported)
		if !r.open() || weight == 0 {
			continue
		}
		site := t.members[name].Site
		sums.open[site] += weight
		sums.confirmed = sums.confirmed || r.report.SelfSuspicion < Suspicion && weight >= 0.5
		sums.since, sums.last = min(sums.since, r.firstAt), max(sums.last, r.until)
		if isPathEvidence(r.report.Evidence) {
			sums.pathEvidence[site] += weight
		} else {
			sums.serverEvidence[site] += weight
		}
	}
	for _, name := range names {
		if r := t.reports[s][name]; !r.open() && r.newEvidenceAt >= sums.since { // successes before the fault don't count
			weight, _ := t.reportWeight(now, s, name, r, reported)
			sums.healthy[t.members[name].Site] += weight
		}
	}
	return sums
}

// fleetQuorum reports whether the fleet agrees that the upstream fails. The weight has to reach need, of which
// one site contributes at most half, so at least two sites have to report the fault. Also, more sites have to
// report the fault than report success. If most evidence may be a fault of the path, there is no quorum while
// members of this sidecar's own site still get answers.
func (w *weights) fleetQuorum(need float64, own string) bool {
	sum, open, healthy := 0.0, 0, 0
	for _, weight := range w.open {
		if sum += min(weight, math.Ceil(need/2)); weight >= 0.5 {
			open++
		}
	}
	for site, weight := range w.healthy {
		if weight >= 0.5 && weight >= w.open[site] {
			healthy++
		}
	}
	if own != "" && w.healthy[own] > w.pathEvidence[own] && total(w.serverEvidence) < total(w.pathEvidence) {
		return false
	}
	return sum >= need && open > healthy
}

// siteQuorum reports whether this sidecar's own site agrees that its paths to the upstream fail: the weight of
// its path evidence reaches need, and exceeds the weight of its reports of success.
func (w *weights) siteQuorum(need float64, own string) bool {
	return w.pathEvidence[own] >= need && w.pathEvidence[own] > w.healthy[own]
}

func total(weightBySite map[string]float64) (sum float64) {
	for _, w := range weightBySite {
		sum += w
	}
	return sum
}

// evidenceNames has the names of evidence in the reasons for operators: "breaks" are broken connections, and
// "full" are rejections.
var evidenceNames = map[message.Evidence]string{message.ErrorAnswers: "errors", message.BrokenConnections: "breaks", message.Silence: "silence", message.Rejections: "full"}

// explain describes for operators which member reports what on s, and how much each report counts.
func (t *VerdictTracker) explain(now time.Duration, s subject, reported accusations) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(t.reports[s])) {
		if len(parts) == maxNamedReporters {
			parts = append(parts, fmt.Sprintf("%d more", len(t.reports[s])-maxNamedReporters))
			break
		}
		r := t.reports[s][name]
		finding := "serves it"
		if r.open() {
			finding = evidenceNames[r.report.Evidence]
		}
		text := fmt.Sprintf("%s/%s %s %d", t.members[name].Site, name, finding, r.report.Count)
		if weight, reason := t.reportWeight(now, s, name, r, reported); reason != "" {
			text += fmt.Sprintf(" (counts %.1f: %s)", weight, reason)
		}
		parts = append(parts, text)
	}
	return fmt.Sprintf("%d of %d needed: %s", requiredReporters(t.potentialReporters("")), t.potentialReporters(""), strings.Join(parts, "; "))
}
