package circuitbreaker

import (
	"math"
	"time"

	"mosslead/internal/gossip/message"
)

// Suspicion is the doubt of a report on a first failure: it adds to what others say, and opens nothing without a firm one.
const Suspicion = 0.5

// How far a reporter is believed.
const (
	sizeMemory    = 2 * time.Minute  // a site counts as large as it was within this: who lost sight of others is no bolder for it
	scoreHalf     = time.Minute      // half of a bad score is forgotten in this
	scoreMost     = 8.0              // and it is no worse than this
	evidenceLasts = 20 * time.Second // a report that is only repeated counts no longer than this
	overreach     = 0.5              // a reporter that speaks ill of more than this part of a site's upstreams is the likelier trouble
)

// size is how many members a site has, or had of late.
type size struct {
	n  int
	at time.Duration // when it had so many last
}

// score is how often a reporter was contradicted, halved each scoreHalf.
type score struct {
	v  float64
	at time.Duration
}

func (s score) now(now time.Duration) float64 {
	return s.v * math.Exp2(-float64(now-s.at)/float64(scoreHalf))
}

// roster takes who is present. Scores of those who left are kept while they matter: else one would leave to be believed again.
func (b *Board) roster(now time.Duration, all []message.Member) {
	b.members = map[string]message.Member{}
	count := map[string]int{}
	for _, m := range all {
		b.members[m.Name] = m
		count[m.Site]++
	}
	for site, n := range count {
		if old := b.sizes[site]; n >= old.n || now-old.at > sizeMemory {
			b.sizes[site] = size{n, now}
		}
	}
	for site, old := range b.sizes {
		if count[site] == 0 && now-old.at > sizeMemory {
			delete(b.sizes, site)
		}
	}
	for name, s := range b.scores {
		if s.now(now) < 0.1 {
			delete(b.scores, name)
		}
	}
}

// could is how many members could have met a fault: of a site, or with "" of all.
func (b *Board) could(site string) (n int) {
	if site != "" {
		return b.sizes[site].n
	}
	for _, s := range b.sizes {
		n += s.n
	}
	return n
}

// contradict marks down those who speak ill of s while it serves this sidecar, or as many others as a verdict takes. Only what
// can't be the paths' difference is a contradiction: of the server's own answers, or within one site.
func (b *Board) contradict(now time.Duration, s subject) {
	need := needed(b.could(""))
	for reporter, r := range b.reports[s] {
		if !r.open() || r.wrong {
			continue
		}
		against := 0
		for name, w := range b.reports[s] {
			m, present := b.members[name]
			if w.open() || !present || w.fresh < r.first || path(r.report.Evidence) && b.members[reporter].Site != m.Site {
				continue
			}
			if against++; name == b.c.Self {
				against = need
			}
		}
		if against >= need {
			r.wrong = true
			b.scores[reporter] = score{min(scoreMost, b.scores[reporter].now(now)+1), now}
		}
	}
}

// reach is of how many upstreams each reporter speaks ill, of a class of them perhaps, by site; "" is all of them.
type reach map[string]map[string]int

func (b *Board) reach() reach {
	all, counted := reach{}, map[subject]bool{} // by upstream and reporter
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

// over tells whether a reporter speaks ill of too many at a site or in all.
func (b *Board) over(all reach, name, site string) bool {
	n, most := all[name], overreach
	return n[site] > 1 && float64(n[site]) > most*float64(b.sites[site]) || n[""] > 1 && float64(n[""]) > most*float64(len(b.listed))
}

// weight is how much of one report counts, 0 to 1, and why not all of it.
func (b *Board) weight(now time.Duration, s subject, name string, r *said, all reach) (float64, string) {
	m, present := b.members[name]
	switch {
	case !present:
		return 0, "not present"
	case m.Incarnation.Newer(r.from):
		return 0, "said by a process before"
	case now-max(r.fresh, b.failedAt(s.upstream)) > evidenceLasts:
		return 0, "nothing new for long"
	case r.report.Round < b.round(s.upstream):
		return 0, "said before it was closed"
	case b.over(all, name, b.listed[s.upstream].Site):
		return 0, "speaks ill of most upstreams"
	}
	w, why := 1-r.report.Doubt, ""
	if r.report.Doubt > 0 {
		why = "doubts itself"
	}
	if bad := b.scores[name].now(now); bad >= 0.1 {
		w, why = w*math.Exp2(-bad), "was wrong of late"
	}
	return w, why
}

// path tells whether evidence may be the path's doing, and not the server's.
func path(e message.Evidence) bool { return e == message.Breaks || e == message.Silence }
