// Package scale owns the scale run: hundreds of hollow sidecars to a process, beside real ones with load and real replicas of
// the list service, through days on which the fleet ahead is broken, judged from outside by what was issued and what was seen.
package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"
)

// Gossip says what is not played here.
const Gossip = "the gossip of so many is played in virtual time, by internal/lab/gossipbench, and not by this run"

const findingsKept = 20

// Play is one day with one seed.
type Play struct {
	Day         string       `json:"day"`
	Seed        uint64       `json:"seed"`
	Held        bool         `json:"held"`
	Failed      []string     `json:"failed,omitempty"`   // verdicts
	Findings    []Finding    `json:"findings,omitempty"` // the first ones
	Found       int          `json:"found,omitempty"`    // all of them
	Delays      []Delay      `json:"delays,omitempty"`
	Roles       []Role       `json:"roles"`
	Comparisons []Comparison `json:"comparisons,omitempty"`
	Load        Served       `json:"load"`
	Inside      []Inside     `json:"inside,omitempty"` // of the day cut, by region
	MemoryMB    float64      `json:"memory_mb"`        // of all processes
	Seconds     float64      `json:"seconds"`
	Error       string       `json:"error,omitempty"` // it could not be played to its end
}

// Result is a whole run.
type Result struct {
	Hollow      int     `json:"hollow"`
	Real        int     `json:"real"`
	Hosts       int     `json:"hosts"`
	Replicas    int     `json:"replicas"`
	LeaseS      float64 `json:"lease_s"`
	LengthS     float64 `json:"length_s"`
	Processes   int     `json:"processes"`
	Descriptors int     `json:"descriptors"` // the most of one process, as reckoned
	MaxProcs    int     `json:"gomaxprocs"`  // of each process but this one
	Revision    string  `json:"revision,omitempty"`
	Gossip      string  `json:"gossip"`
	Plays       []Play  `json:"plays"`
}

// Held tells whether every verdict did.
func (r *Result) Held() bool {
	return len(r.Plays) > 0 && !slices.ContainsFunc(r.Plays, func(p Play) bool { return !p.Held })
}

// Why names the first day, verdict and process that did not hold, and how many there are.
func (r *Result) Why() string {
	for _, p := range r.Plays {
		switch {
		case p.Error != "":
			return fmt.Sprintf("%s, seed %d: %s", p.Day, p.Seed, p.Error)
		case !p.Held:
			f := p.Findings[0]
			return fmt.Sprintf("%s, seed %d: %q did not hold at %s: %s (%d in all)", p.Day, p.Seed, f.Verdict, f.Process, f.Text, p.Found)
		}
	}
	return ""
}

// Run plays all days with all seeds, and leaves result.json and delays.svg in the run's directory. Of a run that was broken off
// the result holds what there is.
func Run(ctx context.Context, spec Spec) (*Result, error) {
	if err := spec.Check(); err != nil {
		return nil, err
	}
	r := &Result{Hollow: spec.Hollow, Real: spec.Real, Hosts: spec.hosts(), Replicas: spec.Replicas, LeaseS: spec.Lease.Seconds(),
		LengthS: spec.Length.Seconds(), Processes: spec.processes(), Descriptors: spec.descriptors(), MaxProcs: runtime.NumCPU(), Revision: spec.Revision,
		Gossip: Gossip}
	total, err := len(spec.Days)*len(spec.Seeds), error(nil)
	for _, seed := range spec.Seeds {
		for _, regions := range []int{1, regionCount} {
			var names []string
			for _, d := range spec.Days {
				if days[d].regions == regions {
					names = append(names, d)
				}
			}
			if len(names) > 0 && err == nil {
				err = r.playAll(ctx, spec, seed, regions, names, total)
			}
		}
	}
	return r, errors.Join(err, r.save(spec.Dir))
}

func (r *Result) save(dir string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "result.json"), append(text, '\n'), 0o644)
	}
	if err == nil {
		err = Plot(filepath.Join(dir, "delays.svg"), r)
	}
	if err != nil {
		return fmt.Errorf("result: %w", err)
	}
	return nil
}

// playAll plays days of one seed in one fleet, one after another.
func (r *Result) playAll(ctx context.Context, spec Spec, seed uint64, regions int, names []string, total int) error {
	spec.Dir = filepath.Join(spec.Dir, fmt.Sprintf("seed%d-%d", seed, regions))
	if err := os.MkdirAll(spec.Dir, 0o755); err != nil {
		return fmt.Errorf("directory of the run: %w", err)
	}
	of := []string{""}
	if regions > 1 {
		of = []string{"north", "south"}
	}
	spec.Progress(len(r.Plays), total, fmt.Sprintf("seed %d: starting %d hollow and %d real sidecars", seed, spec.Hollow, spec.Real))
	w, err := newWorld(ctx, spec, seed, of)
	if err != nil {
		return fmt.Errorf("seed %d: starting the fleet: %w", seed, err)
	}
	defer w.close()
	for _, name := range names {
		spec.Progress(len(r.Plays), total, fmt.Sprintf("seed %d: %s", seed, name))
		p := w.playDay(ctx, name, seed)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r.Plays = append(r.Plays, p)
		if p.Error != "" { // what the fleet is like now nobody knows
			return fmt.Errorf("%s, seed %d: %s", name, seed, p.Error)
		}
	}
	spec.Progress(len(r.Plays), total, "")
	return nil
}

// playDay plays one day and judges it.
func (w *world) playDay(ctx context.Context, name string, seed uint64) (p Play) {
	p = Play{Day: name, Seed: seed}
	fail := func(err error) Play {
		p.Error = err.Error()
		return p
	}
	w.begin()
	begun := time.Now()
	a, err := w.read(ctx)
	if err != nil {
		return fail(err)
	}
	loading, stop := context.WithCancel(ctx)
	defer stop()
	wait := traffic(loading, w.load, w.reals, 10*w.spec.Length+w.spec.Cut, seed)
	played := days[name].play(w, ctx)
	w.settle(ctx)
	b, err := w.read(ctx)
	if err := errors.Join(played, err); err != nil {
		stop()
		wait()
		return fail(err)
	}
	var leaders []string
	for _, r := range w.regions {
		if x := r.leader(ctx); x != nil {
			leaders = append(leaders, x.name)
		}
	}
	var extra []Finding
	if name == "steady" && w.spec.Compare {
		rec := &Record{Processes: w.copies()}
		w.spent(rec, a, b, false)
		p.Comparisons = compare("steady", rec)
		var more []Comparison
		if len(alike(p.Comparisons)) == 0 { // else nothing that follows can mend it
			more, err = w.against(ctx)
		}
		if err != nil {
			stop()
			wait()
			return fail(err)
		}
		p.Comparisons = append(p.Comparisons, more...)
		extra = alike(p.Comparisons)
		w.settle(ctx)
		if _, err := w.read(ctx); err != nil { // all that was seen is in by then
			return fail(err)
		}
	}
	stop()
	p.Load = served(wait)
	w.spent(w.rec, a, b, name != "steady" && w.spec.Length < judgedFrom)
	rec := w.finish()
	p.Seconds = time.Since(begun).Seconds()
	p.Roles = w.roles(rec, a, b, leaders)
	found, delays := Judge(rec)
	found = append(extra, found...)
	if name == cutDay {
		p.Inside = w.insideOf()
		found = append(found, judgeInside(p.Inside)...)
	}
	if p.MemoryMB = b.memory(); p.MemoryMB > memoryMost {
		found = append(found, Finding{"12 GiB", "all", fmt.Sprintf("%.0f MB", p.MemoryMB)})
	}
	p.Delays, p.Found, p.Held = delays, len(found), len(found) == 0
	for _, f := range found {
		if !slices.Contains(p.Failed, f.Verdict) {
			p.Failed = append(p.Failed, f.Verdict)
		}
	}
	p.Findings = found[:min(len(found), findingsKept)]
	return p
}
