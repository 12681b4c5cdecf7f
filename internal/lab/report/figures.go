// Package report computes the figures of plays, stores results on disk, compares them and writes the page that a person reads.
package report

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mosslead/internal/lab"
	"mosslead/internal/lab/record"
)

// Figures holds the figures of one play, by name; see Names. A figure that a play does not have is absent.
type Figures map[string]float64

// Names lists the figures with their meaning, in the order in which they are shown.
var Names = [][2]string{
	{"served", "share of the worth asked for that was earned; late answers earn a part"},
	{"in_time", "share of wishes served within the aim"},
	{"answered", "share of wishes served"},
	{"refused", "share of wishes whose last answer was a refusal"},
	{"failed", "share of wishes that ended otherwise without being served"},
	{"p50_ms", "time to the served answer, median, from the intended send"},
	{"p99_ms", "the same, 99 of 100"},
	{"p999_ms", "the same, 999 of 1,000"},
	{"worst_2s", "least share of the worth earned in any 2 s"},
	{"worst_class", "least share of the worth earned in any class"},
	{"worst_tenant", "least share of the worth earned for any tenant"},
	{"worst_sidecar", "least share of the worth earned for the clients of any sidecar"},
	{"worst_zone", "the same of any zone's sidecars"},
	{"forwarded", "share of tries that a sidecar forwarded to another"},
	{"forwarded_begun", "of them, those that the other one began"},
	{"forwarded_served", "of them, those that were served, there or at home"},
	{"attempts", "attempts for each try of a client"},
	{"turned_away", "share of attempts that upstreams turned away"},
	{"cross", "share of attempts that crossed zones"},
	{"wasted", "work done for attempts that served nobody, over all work done"},
	{"restarts", "processes of sidecars that were ended within the load"},
	{"ready_ms", "from a restart to ready, median"},
	{"never_ready", "restarts that never got ready"},
	{"first_served_ms", "from a restart to the first request served, median"},
	{"lost_per_restart", "worth lost by a sidecar's clients in the 5 s after it was ended, for each such end"},
	{"dark_served", "share of the worth earned of what clients asked restarted sidecars, from 1 s after the restart on"},
	{"news_ms", "from a change of the list to a sidecar's being told, median; changes that servers or operators asked for"},
	{"news_max_ms", "the same, the longest"},
	{"harmed", "share of wishes with an attempt that an upstream failed, broke or never answered"},
	{"hung", "attempts that were never answered"},
	{"trials_hung", "of them, those sent to an upstream that the sidecar held to be bad already"},
	{"know95_ms", "from the first sidecar's own evidence against an upstream in a fault until 95 of 100 sidecars knew, the slowest upstream"},
	{"told95_ms", "the same from the first verdict upon others' evidence on: what the telling takes"},
	{"hearsay_part", "greatest part of a zone's usable upstreams that a sidecar sent nothing to for 3 s upon what others said"},
	{"view_ms", "from the end of the last fault until every sidecar counted all as present"},
	{"believed_ms", "from there until the last sidecar stopped believing others' words against an upstream"},
	{"calls", "calls on the list service whose answers were judged"},
	{"calls_unknown", "of them, those without an answer"},
	{"watched", "messages of watches that were judged"},
	{"cpu_ms", "processor time of the sidecars for each try of a client, in ms"},
	{"memory_mb", "most memory of a sidecar"},
	{"descriptors", "most descriptors of a sidecar"},
	{"rate", "wishes a second"},
	{"lag_p99_ms", "how late the generator began a send, 99 of 100"},
	{"violations", "broken rules"},
}

const (
	worstWindow = 2 * time.Second
	lossWindow  = 5 * time.Second // requests sent to a sidecar within this time after the end of its process count towards the losses
	settleTime  = time.Second     // dark_served counts the requests of a restarted sidecar from this time after its start on
	// bounds of the histograms in microseconds, and their significant digits
	shortest, longest, digits = 1, 60_000_000, 3
)

// Measure computes the figures of the part [from, to) of a play's load, or of all of it if to is 0.
func Measure(o *lab.Outcome, from, to time.Duration) Figures {
	return measure(o, wishes(o), from, to)
}

// measure is Measure for wishes that are known already.
func measure(o *lab.Outcome, all []*wish, from, to time.Duration) Figures {
	whole := to <= 0
	if whole {
		to = o.Plan.Spec.Length
	}
	some := between(all, from, to)
	f := Figures{"lag_p99_ms": quantile(o.Lags, 0.99), "rate": float64(len(some)) / (to - from).Seconds()}
	if len(some) == 0 {
		return f
	}
	f.outcomes(some)
	f.attempts(o.Record, some)
	f.harm(some)
	f.shares(o.Record, some)
	f.forwards(o.Record, some)
	f["worst_2s"] = worstWindowShare(some, from, to)
	if whole {
		f.restarts(o, all)
		f.resources(o.Record, some)
		f.listDelays(o)
		f.sharing(o)
	}
	return f
}

// outcomes measures how wishes ended and how long served ones took.
func (f Figures) outcomes(some []*wish) {
	var worth, earned, inTime, served, refused float64
	classes, tenants := map[string][2]float64{}, map[string][2]float64{}
	add := func(m map[string][2]float64, key string, w *wish) {
		x := m[key]
		m[key] = [2]float64{x[0] + w.worth, x[1] + w.earned}
	}
	times := newHistogram()
	for _, w := range some {
		worth += w.worth
		earned += w.earned
		add(classes, w.first().Class, w)
		add(tenants, w.first().Tenant, w)
		switch {
		case w.served:
			served++
			recordTime(times, w.took)
		case w.last().End == record.Refused:
			refused++
		}
		if w.inTime() {
			inTime++
		}
	}
	n := float64(len(some))
	f["served"], f["in_time"], f["answered"], f["refused"] = earned/worth, inTime/n, served/n, refused/n
	f["failed"] = (n - served - refused) / n
	f["worst_class"], f["worst_tenant"] = leastShare(classes), leastShare(tenants)
	if served > 0 {
		for name, q := range map[string]float64{"p50_ms": 50, "p99_ms": 99, "p999_ms": 99.9} {
			f[name] = float64(times.ValueAtQuantile(q)) / 1e3
		}
	}
}

// leastShare returns the least ratio of earned to possible worth. Each value of m is the pair of possible and earned
// worth.
func leastShare(m map[string][2]float64) float64 {
	low := math.Inf(1)
	for _, x := range m {
		low = min(low, x[1]/x[0])
	}
	return low
}

// attempts measures the attempts of wishes and the work done for them.
func (f Figures) attempts(rec *record.Record, some []*wish) {
	var tries, attempts, away, cross, work, wasted float64
	for _, w := range some {
		tries += float64(len(w.tries))
		used := false
		for _, a := range w.attempts {
			attempts++
			if a.How == record.TurnedAway {
				away++
				continue
			}
			work += a.Work.Seconds()
			if !w.served || a.How != record.OK || used {
				wasted += a.Work.Seconds()
			}
			used = used || a.How == record.OK
			if rec.Zones[a.Sidecar] != rec.Zones[a.Upstream] {
				cross++
			}
		}
	}
	f["attempts"] = attempts / tries
	if attempts > 0 {
		f["turned_away"], f["cross"] = away/attempts, cross/attempts
	}
	if work > 0 {
		f["wasted"] = wasted / work
	}
}

// worstWindowShare returns the least share of the possible worth that was earned in a window. Windows begin at each
// half second.
func worstWindowShare(some []*wish, from, to time.Duration) float64 {
	low := math.Inf(1)
	for at := from; at+worstWindow <= to; at += worstWindow / 4 {
		var worth, earned float64
		for _, w := range between(some, at, at+worstWindow) {
			worth += w.worth
			earned += w.earned
		}
		if worth > 0 {
			low = min(low, earned/worth)
		}
	}
	if math.IsInf(low, 1) {
		return earnedShare(some)
	}
	return low
}

// earnedShare returns the share of the possible worth that was earned.
func earnedShare(some []*wish) float64 {
	var worth, earned float64
	for _, w := range some {
		worth += w.worth
		earned += w.earned
	}
	return earned / worth
}

// restarts measures the losses after ends of processes, and the time until service was back. First starts do not count.
func (f Figures) restarts(o *lab.Outcome, all []*wish) {
	var readies, firsts []time.Duration
	var never, ends, lost, askedDark, earnedDark float64
	seen := map[string]int{}
	for _, l := range o.Record.Lives {
		if l.Paused {
			continue
		}
		seen[l.Party]++
		end := l.End
		if end == 0 {
			end = o.Record.Length
		}
		if endedAt := end - o.Begin; endedAt < o.Plan.Spec.Length { // ended within the load
			ends++
			for _, w := range between(all, endedAt, endedAt+lossWindow) {
				if w.first().Sidecar == l.Party {
					lost += w.worth - w.earned
				}
			}
		}
		if seen[l.Party] == 1 {
			continue
		}
		if l.Ready == 0 {
			never++
		} else {
			readies = append(readies, l.Ready-l.Start)
		}
		first := time.Duration(0)
		for _, w := range between(all, l.Start-o.Begin-lossWindow, end-o.Begin) {
			q := w.last()
			if q.Sidecar != l.Party {
				continue
			}
			if q.End == record.Served && q.Sent > l.Start && (first == 0 || q.Ended < first) {
				first = q.Ended
			}
			if w.at+o.Begin > l.Start+settleTime {
				askedDark += w.worth
				earnedDark += w.earned
			}
		}
		if first > 0 {
			firsts = append(firsts, first-l.Start)
		}
	}
	if len(readies) > 0 {
		f["ready_ms"] = quantile(readies, 0.5)
	}
	if len(firsts) > 0 {
		f["first_served_ms"] = quantile(firsts, 0.5)
	}
	if len(readies)+int(never) > 0 {
		f["never_ready"] = never
	}
	if ends > 0 {
		f["restarts"] = ends
		f["lost_per_restart"] = lost / ends
	}
	if askedDark > 0 {
		f["dark_served"] = earnedDark / askedDark
	}
}

// listDelays measures the time until sidecars learn of changes of the list. A change does not count for a sidecar that did not
// learn of it before the upstream's next change, or at all because it was not running.
func (f Figures) listDelays(o *lab.Outcome) {
	if o.Record.Calls > 0 {
		f["calls"], f["calls_unknown"], f["watched"] = float64(o.Record.Calls), float64(o.Record.Unknown), float64(o.Record.Watched)
	}
	var lags []time.Duration
	for i, c := range o.Record.Listed {
		if c.At < o.Begin {
			continue
		}
		end := o.Record.Length
		for _, later := range o.Record.Listed[i+1:] {
			if later.Upstream == c.Upstream {
				end = later.At
				break
			}
		}
		for sidecar := range o.Record.Limits {
			for _, t := range o.Record.Told {
				if t.Sidecar == sidecar && t.Upstream == c.Upstream && t.Source == record.List && t.Usable == c.Usable && t.At >= c.At && t.At < end {
					lags = append(lags, t.At-c.At)
					break
				}
			}
		}
	}
	if len(lags) > 0 {
		f["news_ms"], f["news_max_ms"] = quantile(lags, 0.5), quantile(lags, 1)
	}
}

// resources measures the processor time, memory and descriptors of sidecars.
func (f Figures) resources(rec *record.Record, some []*wish) {
	cpu := map[[2]any]time.Duration{}
	for _, s := range rec.Samples {
		f["memory_mb"] = max(f["memory_mb"], s.MemoryMB)
		f["descriptors"] = max(f["descriptors"], float64(s.Descriptors))
		key := [2]any{s.Party, s.Start}
		cpu[key] = max(cpu[key], s.CPU)
	}
	sum, tries := time.Duration(0), 0
	for _, x := range cpu {
		sum += x
	}
	for _, w := range some {
		tries += len(w.tries)
	}
	if sum > 0 {
		f["cpu_ms"] = sum.Seconds() * 1e3 / float64(tries)
	}
}

// quantile returns the quantile q (0 to 1) of times in ms, or 0 if there are none.
func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Seconds() * 1e3
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(shortest, longest, digits) }

// recordTime adds a time to a histogram, limited to its bounds.
func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), shortest), longest)) // can't fail within the bounds
}
