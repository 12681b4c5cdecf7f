package circuitbreaker

import (
	"math"
	"time"

	"mosslead/internal/gossip/message"
)

// Suspicion is the SelfSuspicion of a report on a first failure: it adds to what others report, and opens
// nothing without a firm report.
const Suspicion = 0.5

// How far a reporter is believed.
const (
	// a site counts as large as it was within this time: who lost sight of others gains no weight by it
	sizeMemory         = 2 * time.Minute
	scoreHalfLife      = time.Minute // of a bad score
	maxScore           = 8.0
	evidenceLifetime   = 20 * time.Second // a report that is only repeated counts no longer than this
	maxAccusedFraction = 0.5              // a reporter that accuses more than this fraction of a site's upstreams is the likelier fault
)

// memberCount is how many members a site has, or had of late.
type memberCount struct {
	n  int
	at time.Duration // when it had so many last
}

// score is how often a reporter was contradicted, halved each scoreHalfLife.
type score struct {
	value float64
	at    time.Duration
}

func (sc score) decayed(now time.Duration) float64 {
	return sc.value * math.Exp2(-float64(now-sc.at)/float64(scoreHalfLife))
}

// setMembers takes in who is present. Scores of those that left are retained while they matter, or one would
// leave to be believed again.
func (b *VerdictTracker) setMembers(now time.Duration, all []message.Member) {
	b.members = map[string]message.Member{}
	count := map[string]int{}
	for _, m := range all {
		b.members[m.Name] = m
		count[m.Site]++
	}
	for site, n := range count {
		if old := b.siteSizes[site]; n >= old.n || now-old.at > sizeMemory {
			b.siteSizes[site] = memberCount{n, now}
		}
	}
	for site, old := range b.siteSizes {
		if count[site] == 0 && now-old.at > sizeMemory {
			delete(b.siteSizes, site)
		}
	}
	for name, s := range b.scores {
		if s.decayed(now) < 0.1 {
			delete(b.scores, name)
		}
	}
}

// potentialReporters is how many members could have met a fault: of a site, or with "" of all.
func (b *VerdictTracker) potentialReporters(site string) (n int) {
	if site != "" {
		return b.siteSizes[site].n
	}
	for _, s := range b.siteSizes {
		n += s.n
	}
	return n
}

// penalizeContradicted lowers the scores of those that accuse s while it serves this sidecar, or as many others as a
// verdict takes. Only what a difference of paths can't explain contradicts: the server's own answers, or
// reports within one site.
func (b *VerdictTracker) penalizeContradicted(now time.Duration, s subject) {
	need := requiredReporters(b.potentialReporters(""))
	for reporter, r := range b.reports[s] {
		if !r.open() || r.contradicted {
			continue
		}
		against := 0
		for name, w := range b.reports[s] {
			m, present := b.members[name]
			if w.open() || !present || w.newEvidenceAt < r.firstAt || isPathEvidence(r.report.Evidence) && b.members[reporter].Site != m.Site {
				continue
			}
			if against++; name == b.config.Self {
				against = need
			}
		}
		if against >= need {
			r.contradicted = true
			b.scores[reporter] = score{min(maxScore, b.scores[reporter].decayed(now)+1), now}
		}
	}
}

// accusations count the upstreams that each reporter accuses, of a class of requests perhaps, by site; "" is
// all of them.
type accusations map[string]map[string]int

func (b *VerdictTracker) accusations() accusations {
	all, counted := accusations{}, map[subject]bool{} // by upstream and reporter
	for s, by := range b.reports {
		u, listed := b.listed[s.upstream]
		if !listed {
			continue
		}
		for name, r := range by {
			if !r.open() || counted[subject{s.upstream, name}] {
				continue
			}
			counted[subject{s.upstream, name}] = true
			if all[name] == nil {
				all[name] = map[string]int{}
			}
			all[name][u.Site]++
			all[name][""]++
		}
	}
	return all
}

// accusesTooMany tells whether a reporter accuses too many at a site, or in all.
func (b *VerdictTracker) accusesTooMany(all accusations, name, site string) bool {
	n, limit := all[name], maxAccusedFraction
	return n[site] > 1 && float64(n[site]) > limit*float64(b.upstreamsBySite[site]) || n[""] > 1 && float64(n[""]) > limit*float64(len(b.listed))
}

// reportWeight is how much one report counts, 0 to 1, and why not fully.
func (b *VerdictTracker) reportWeight(now time.Duration, s subject, name string, r *peerReport, all accusations) (float64, string) {
	m, present := b.members[name]
	switch {
	case !present:
		return 0, "not present"
	case m.Incarnation.Newer(r.incarnation):
		return 0, "said by a process before"
	case now-max(r.newEvidenceAt, b.probeFailedAt(s.upstream)) > evidenceLifetime:
		return 0, "nothing new for long"
	case r.report.Round < b.round(s.upstream):
		return 0, "said before it was closed"
	case b.accusesTooMany(all, name, b.listed[s.upstream].Site):
		return 0, "speaks ill of most upstreams"
	}
	w, why := 1-r.report.SelfSuspicion, ""
	if r.report.SelfSuspicion > 0 {
		why = "doubts itself"
	}
	if bad := b.scores[name].decayed(now); bad >= 0.1 {
		w, why = w*math.Exp2(-bad), "was wrong of late"
	}
	return w, why
}

// isPathEvidence tells whether evidence may be of a fault of the path, and not of the server.
func isPathEvidence(e message.Evidence) bool {
	return e == message.BrokenConnections || e == message.Silence
}
