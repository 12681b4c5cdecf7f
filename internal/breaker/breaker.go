// Package breaker owns the verdict on an upstream from what several sidecars report of it. Pure: events and the time in,
// verdicts out; no I/O and no clock.
package breaker

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"mosslead/internal/peer/api"
)

// Event is what a Board is told: Heard, Own, Listed.
type Event interface{ event() }

// Heard is a report of another member, believed for at most TTL.
type Heard struct {
	From   api.Member
	Report api.Report
	TTL    time.Duration
	Over   bool // taken back
}

// Own is what this sidecar's balancer says itself.
type Own struct{ Report api.Report }

// Upstream is an entry of the list.
type Upstream struct {
	Name, Site string
	SinceMs    int64
}

// Listed is the list as it stands: what is said of another life of an upstream, or of none, counts for nothing.
type Listed struct{ Upstreams []Upstream }

// Tick lets time pass.
type Tick struct{}

func (Heard) event()  {}
func (Own) event()    {}
func (Listed) event() {}
func (Tick) event()   {}

// Verdict is what the others' reports come to, for a sidecar that has not met the fault itself.
type Verdict struct {
	Upstream string
	SinceMs  int64
	Class    string // whose requests it holds for; empty: all
	Open     bool
	For      time.Duration // and no longer
	Why      string
}

// Config says who looks at the reports.
type Config struct{ Self, Site string }

const (
	sitesNeeded = 2 // that reporters come from, or
	ownNeeded   = 2 // reporters of the own site, where the path may be the trouble
)

type subject struct{ upstream, class string }

type said struct {
	site   string
	report api.Report
	until  time.Duration
}

// Board holds the reports. Not safe for concurrent use.
type Board struct {
	c       Config
	listed  map[string]Upstream
	reports map[subject]map[string]said // by reporter
	open    map[subject]bool            // as the last verdicts had it
}

// New is a board without reports.
func New(c Config) *Board {
	return &Board{c: c, listed: map[string]Upstream{}, reports: map[subject]map[string]said{}, open: map[subject]bool{}}
}

// Handle takes in what happened at now, and tells what has changed of the verdicts.
func (b *Board) Handle(now time.Duration, e Event) []Verdict {
	switch e := e.(type) {
	case Heard:
		b.hear(now, e)
	case Listed:
		b.listed = map[string]Upstream{}
		for _, u := range e.Upstreams {
			b.listed[u.Name] = u
		}
	}
	return b.judge(now)
}

func (b *Board) hear(now time.Duration, e Heard) {
	s := subject{e.Report.Upstream, e.Report.Class}
	if b.reports[s] == nil {
		b.reports[s] = map[string]said{}
	}
	b.reports[s][e.From.Name] = said{e.From.Site, e.Report, now + e.TTL}
	if e.Over || e.Report.State == api.Closed {
		delete(b.reports[s], e.From.Name)
	}
}

// judge goes through all subjects: there are few, as only what is open is reported.
func (b *Board) judge(now time.Duration) (changed []Verdict) {
	for s, by := range b.reports {
		sites, own, last := map[string]bool{}, 0, time.Duration(0)
		u, listed := b.listed[s.upstream]
		maps.DeleteFunc(by, func(_ string, r said) bool {
			return r.until <= now || listed && r.report.SinceMs != u.SinceMs
		})
		for _, r := range by {
			sites[r.site] = true
			if r.site == b.c.Site && r.report.Evidence != api.Errors {
				own++
			}
			last = max(last, r.until)
		}
		open := listed && (len(sites) >= sitesNeeded || own >= ownNeeded)
		if open != b.open[s] {
			changed = append(changed, Verdict{Upstream: s.upstream, SinceMs: u.SinceMs, Class: s.class, Open: open, For: last - now,
				Why: fmt.Sprintf("%d reports from %d sites", len(by), len(sites))})
		}
		b.open[s] = open
		if len(by) == 0 {
			delete(b.reports, s)
			delete(b.open, s)
		}
	}
	slices.SortFunc(changed, func(x, y Verdict) int {
		return slices.Compare([]string{x.Upstream, x.Class}, []string{y.Upstream, y.Class})
	})
	return changed
}
