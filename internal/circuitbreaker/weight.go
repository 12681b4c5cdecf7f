package circuitbreaker

import (
	"math"
	"time"

	"mosslead/internal/gossip/message"
)

// Suspicion is the SelfSuspicion of a report on a first failure. Such a report adds weight to others, but
// opens no verdict unless there is also a report with less self-suspicion.
const Suspicion = 0.5

// Limits on the weight of reports.
const (
	// A site's largest number of members counts for sizeMemory, so that a sidecar that no longer sees other
	// members does not require fewer reporters.
	sizeMemory         = 2 * time.Minute
	scoreHalfLife      = time.Minute // time in which a score halves
	maxScore           = 8.0
	evidenceLifetime   = 20 * time.Second // a report that is repeated without new evidence counts for this long
	maxAccusedFraction = 0.5              // a reporter that accuses more than this fraction of a site's upstreams is more likely at fault itself
)

// memberCount is a number of members that was seen recently.
type memberCount struct {
	n  int
	at time.Duration // when this number was last seen
}

// score is how often a reporter was contradicted, halved every scoreHalfLife.
type score struct {
	value float64
	at    time.Duration
}

// decayed returns the score's value at now.
func (sc score) decayed(now time.Duration) float64 {
	return sc.value * math.Exp2(-float64(now-sc.at)/float64(scoreHalfLife))
}

// setMembers replaces the roster. Scores of members that left are retained until they have decayed to almost
// 0, since otherwise a member could clear its score by leaving.
func (t *VerdictTracker) setMembers(now time.Duration, all []message.Member) {
	t.members = map[string]message.Member{}
	count := map[string]int{}
	for _, m := range all {
		t.members[m.Name] = m
		count[m.Site]++
	}
	for site, n := range count {
		if old := t.siteSizes[site]; n >= old.n || now-old.at > sizeMemory {
			t.siteSizes[site] = memberCount{n, now}
		}
	}
	for site, old := range t.siteSizes {
		if count[site] == 0 && now-old.at > sizeMemory {
			delete(t.siteSizes, site)
		}
	}
	for name, s := range t.scores {
		if s.decayed(now) < 0.1 {
			delete(t.scores, name)
		}
	}
}

// potentialReporters returns how many members could have seen a fault: those of site, or of all sites if site
// is "".
func (t *VerdictTracker) potentialReporters(site string) (n int) {
	if site != "" {
		return t.siteSizes[site].n
	}
	for _, s := range t.siteSizes {
		n += s.n
	}
	return n
}

// penalizeContradicted raises the scores of the reporters with an open report on s that is contradicted by a
// report of success of this sidecar, or of as many others as a verdict requires. A success contradicts only
// a report that a difference of paths can't explain: one on the server's own answers, or one from the same site.
func (t *VerdictTracker) penalizeContradicted(now time.Duration, s subject) {
	required := requiredReporters(t.potentialReporters(""))
	for reporter, r := range t.reports[s] {
		if !r.open() || r.contradicted {
			continue
		}
		contradictions := 0
		for name, other := range t.reports[s] {
			m, present := t.members[name]
			if other.open() || !present || other.newEvidenceAt < r.firstAt || isPathEvidence(r.report.Evidence) && t.members[reporter].Site != m.Site {
				continue
			}
			if contradictions++; name == t.config.Self {
				contradictions = required
			}
		}
		if contradictions >= required {
			r.contradicted = true
			t.scores[reporter] = score{min(maxScore, t.scores[reporter].decayed(now)+1), now}
		}
	}
}

// accusations counts the upstreams that each reporter accuses, for all requests or for a class. The keys are
// the reporter and the site of the upstream; site "" has the total.
type accusations map[string]map[string]int

func (t *VerdictTracker) accusations() accusations {
	reported, counted := accusations{}, map[subject]bool{} // the key of counted is upstream and reporter
	for s, byReporter := range t.reports {
		u, listed := t.listed[s.upstream]
		if !listed {
			continue
		}
		for name, r := range byReporter {
			if !r.open() || counted[subject{s.upstream, name}] {
				continue
			}
			counted[subject{s.upstream, name}] = true
			if reported[name] == nil {
				reported[name] = map[string]int{}
			}
			reported[name][u.Site]++
			reported[name][""]++
		}
	}
	return reported
}

// accusesTooMany reports whether a reporter accuses too many upstreams of a site, or in total.
func (t *VerdictTracker) accusesTooMany(reported accusations, name, site string) bool {
	n, limit := reported[name], maxAccusedFraction
	return n[site] > 1 && float64(n[site]) > limit*float64(t.upstreamsBySite[site]) || n[""] > 1 && float64(n[""]) > limit*float64(len(t.listed))
}

// reportWeight returns how much a report counts, 0 to 1, and the reason if it does not count fully.
func (t *VerdictTracker) reportWeight(now time.Duration, s subject, name string, r *peerReport, reported accusations) (float64, string) {
	m, present := t.members[name]
	switch {
	case !present:
		return 0, "not present"
	case m.Incarnation.Newer(r.incarnation):
		return 0, "said by a process before"
	case now-max(r.newEvidenceAt, t.probeFailedAt(s.upstream)) > evidenceLifetime:
		return 0, "nothing new for long"
	case r.report.Round < t.round(s.upstream):
		return 0, "said before it was closed"
	case t.accusesTooMany(reported, name, t.listed[s.upstream].Site):
		return 0, "speaks ill of most upstreams"
	}
	weight, reason := 1-r.report.SelfSuspicion, ""
	if r.report.SelfSuspicion > 0 {
		reason = "doubts itself"
	}
	if score := t.scores[name].decayed(now); score >= 0.1 {
		weight, reason = weight*math.Exp2(-score), "was wrong of late"
	}
	return weight, reason
}

// isPathEvidence reports whether evidence may stem from a fault of the path instead of the server.
func isPathEvidence(e message.Evidence) bool {
	return e == message.BrokenConnections || e == message.Silence
}
