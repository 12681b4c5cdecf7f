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
	settle     = time.Second      // a board that has just begun opens nothing: its roster is not whole
	chance     = 1.0 / 200        // a member is wrong about a given upstream at so many times
	chanceMost = 1.0 / 50         // and so often at the most that many are wrong at once
	flapWithin = 30 * time.Second // a verdict that opens anew within this after its end is held back
	flapBase   = time.Second      // for so long, doubled each time
	flapMost   = 16 * time.Second
	whyMost    = 8 // reporters that are named
)

// needed is how many independent reporters a verdict takes where n could have met the fault: so many that chance alone reaches
// them less than chanceMost of the time, by the Poisson bound on the number of n that are wrong at once. Two at least.
func needed(n int) int {
	mean := chance * float64(n)
	term := math.Exp(-mean) // P(exactly k)
	above := 1 - term       // P(more than k)
	k := 0
	for above > chanceMost {
		k++
		term *= mean / float64(k)
		above -= term
	}
	return max(2, k+1)
}

// standing is the verdict that was told last.
type standing struct {
	Verdict
	until  time.Duration // that it was told for
	closed time.Duration // when it ended
	flaps  int
}

// tally is what the reports on one subject come to.
type tally struct {
	open, well  map[string]float64 // weight by site
	paths, sure map[string]float64 // of open: what may be the paths' doing, and what is not
	firm        bool               // one at least is more than a suspicion
	since, last time.Duration
}

// judge goes through all subjects: there are few, as only what is open is reported.
func (b *Board) judge(now time.Duration) (changed []Verdict) {
	b.sweep(now)
	all := b.reach()
	for _, s := range b.subjects() {
		old := b.told[s]
		if old == nil {
			old = &standing{closed: -flapWithin}
			b.told[s] = old
		}
		v := b.verdict(now, s, old, all)
		if v.Open && !old.Open {
			if now-old.closed > flapWithin {
				old.flaps = 0
			} else if now-old.closed < min(flapBase<<min(old.flaps, 8), flapMost) {
				v.Open, v.Share, v.Tries = false, 0, Each
			} else {
				old.flaps++
			}
		}
		lapses := v.Open && old.until-now < v.For/2 // else it would lapse before it is told again
		v.News = v.Open != old.Open || v.Share != old.Share || v.Tries != old.Tries || v.Open && v.SinceMs != old.SinceMs
		if v.News || lapses {
			v.Tried = !v.Open && v.Round > old.Round && v.SinceMs == old.SinceMs
			v.Why = b.why(now, s, all)
			changed = append(changed, v)
			if old.until = now + v.For; old.Open && !v.Open {
				old.closed = now
			}
			old.Verdict = v
		}
		if !old.Open && b.reports[s] == nil && now-old.closed > flapWithin {
			delete(b.told, s)
		}
	}
	return changed
}

// verdict is what is said of s by now; old is what was told before.
func (b *Board) verdict(now time.Duration, s subject, old *standing, all reach) Verdict {
	u, listed := b.listed[s.upstream]
	t := b.count(now, s, all)
	v := Verdict{Upstream: s.upstream, SinceMs: u.SinceMs, Class: s.class, Since: t.since, Round: b.round(s.upstream)}
	need, home := float64(needed(b.could(""))), float64(needed(b.could(b.c.Site)))
	if old.Open { // what stands falls below half a report less
		need, home = need-0.5, home-0.5
	}
	v.Open = listed && now-b.began >= settle && t.firm && (t.fleet(need, b.c.Site) || t.home(home, b.c.Site))
	if s.class == "" {
		v.Tries, v.Step, v.Share = b.trying(now, s.upstream)
	}
	if !v.Open && old.Open && listed && v.SinceMs == old.SinceMs && v.Step > 0 && v.Round == old.Round { // it closes in steps, whoever took back what
		v.Open, t.last = true, b.trials[s.upstream].until
	}
	if !v.Open {
		v.Tries, v.Step, v.Share = Each, 0, 0
		return v
	}
	v.For = t.last - now
	return v
}

// count weighs what is said of s.
func (b *Board) count(now time.Duration, s subject, all reach) *tally {
	t := &tally{open: map[string]float64{}, well: map[string]float64{}, paths: map[string]float64{}, sure: map[string]float64{}, since: now}
	names := slices.Sorted(maps.Keys(b.reports[s])) // sums of fractions depend on their order
	for _, name := range names {
		r := b.reports[s][name]
		w, _ := b.weight(now, s, name, r, all)
		if !r.open() || w == 0 {
			continue
		}
		site := b.members[name].Site
		t.open[site] += w
		t.firm = t.firm || r.report.Doubt < Suspicion && w >= 0.5
		t.since, t.last = min(t.since, r.first), max(t.last, r.until)
		if path(r.report.Evidence) {
			t.paths[site] += w
		} else {
			t.sure[site] += w
		}
	}
	for _, name := range names {
		if r := b.reports[s][name]; !r.open() && r.fresh >= t.since { // what served before the trouble tells nothing
			w, _ := b.weight(now, s, name, r, all)
			t.well[b.members[name].Site] += w
		}
	}
	return t
}

// fleet: enough weight, none of the sites more than half of it and so two at least, more of them than say that all is well. What
// may be the paths' doing does not hold where the own site's members are served.
func (t *tally) fleet(need float64, own string) bool {
	sum, open, well := 0.0, 0, 0
	for _, w := range t.open {
		if sum += min(w, math.Ceil(need/2)); w >= 0.5 {
			open++
		}
	}
	for site, w := range t.well {
		if w >= 0.5 && w >= t.open[site] {
			well++
		}
	}
	if own != "" && t.well[own] > t.paths[own] && sums(t.sure) < sums(t.paths) {
		return false
	}
	return sum >= need && open > well
}

// home: enough of the own site, of what may be its paths' doing, against what it says else.
func (t *tally) home(need float64, own string) bool {
	return t.paths[own] >= need && t.paths[own] > t.well[own]
}

func sums(by map[string]float64) (sum float64) {
	for _, w := range by {
		sum += w
	}
	return sum
}

var evidenceNames = map[message.Evidence]string{message.Errors: "errors", message.Breaks: "breaks", message.Silence: "silence", message.Full: "full"}

// why tells operators who says what of s, and how far each counts.
func (b *Board) why(now time.Duration, s subject, all reach) string {
	var words []string
	for _, name := range slices.Sorted(maps.Keys(b.reports[s])) {
		if len(words) == whyMost {
			words = append(words, fmt.Sprintf("%d more", len(b.reports[s])-whyMost))
			break
		}
		r := b.reports[s][name]
		what := "serves it"
		if r.open() {
			what = evidenceNames[r.report.Evidence]
		}
		text := fmt.Sprintf("%s/%s %s %d", b.members[name].Site, name, what, r.report.Count)
		if w, why := b.weight(now, s, name, r, all); why != "" {
			text += fmt.Sprintf(" (counts %.1f: %s)", w, why)
		}
		words = append(words, text)
	}
	return fmt.Sprintf("%d of %d needed: %s", needed(b.could("")), b.could(""), strings.Join(words, "; "))
}
