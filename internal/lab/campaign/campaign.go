// Package campaign runs a whole experiment: it builds the programs, plays the variants in turn and writes the result.
package campaign

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"mosslead/internal/lab"
	"mosslead/internal/lab/build"
	"mosslead/internal/lab/experiment"
	"mosslead/internal/lab/report"
)

// Options are where and how to run an experiment.
type Options struct {
	Dir      string   // of the result, created if it does not exist
	Self     []string // command of this program as the naive sidecar: its path, and the arguments before the rule to break
	Replica  []string // command of this program as a replica of the list service, before the path of its configuration
	KeepLogs bool     // keeps also the logs of plays without violations and notes
	Log      *slog.Logger
	// Progress is called before each play, and at the end with done = total.
	Progress func(done, total int, what string)
}

// program is what a variant runs.
type program struct {
	command      []string
	firstReplica []string // command of the first replica of the list service; empty if it runs this program, like the others
	source       string   // what it was built from, in words
}

// Run plays an experiment. If ctx ends before all is played, Run writes and returns what was recorded as a partial
// result, with the context's error.
func Run(ctx context.Context, e *experiment.Experiment, o Options) (*report.Result, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("directory of the result: %w", err)
	}
	work, err := os.MkdirTemp("", "mosslead-lab-")
	if err != nil {
		return nil, fmt.Errorf("directory of programs: %w", err)
	}
	defer func() { _ = os.RemoveAll(work) }()
	r := &report.Result{Schema: report.Schema, Experiment: e.Name, Question: e.Question, Text: e.Text, Started: time.Now().UTC().Truncate(time.Second),
		Machine: report.NewMachine(), Programs: map[string]string{}}
	total := len(e.Variants) * len(e.Seeds) * e.Repeats
	o.Progress(0, total, "building")
	programs := map[string]program{}
	for _, v := range e.Variants {
		r.Variants = append(r.Variants, v.Name)
		if programs[v.Name], err = o.prepareProgram(ctx, filepath.Join(work, v.Name), v, programs, e.Variants); err != nil {
			return nil, fmt.Errorf("variant %s: %w", v.Name, err)
		}
		if v.ServiceRevision != "" {
			if programs[v.Name], err = o.withOlderReplica(ctx, filepath.Join(work, v.Name+"-service"), v.ServiceRevision, programs[v.Name]); err != nil {
				return nil, fmt.Errorf("variant %s: %w", v.Name, err)
			}
		}
		r.Programs[v.Name] = programs[v.Name].source
	}
	err = o.playAll(ctx, e, r, programs, total)
	r.Partial = err != nil
	r.Finish(e)
	if len(r.Plays) == 0 && err != nil {
		return nil, err
	}
	return r, errors.Join(err, r.Write(o.Dir))
}

// playAll runs all plays: for each seed and repeat all variants, in an order that rotates, so that a machine that
// becomes slower affects each variant alike.
func (o Options) playAll(ctx context.Context, e *experiment.Experiment, r *report.Result, programs map[string]program, total int) error {
	round := 0
	for _, seed := range e.Seeds {
		for repeat := range e.Repeats {
			for i := range e.Variants {
				v := e.Variants[(i+round)%len(e.Variants)]
				o.Progress(len(r.Plays), total, fmt.Sprintf("%s, seed %d, play %d", v.Name, seed, repeat+1))
				if err := o.playOnce(ctx, e, v, seed, repeat, r, programs[v.Name]); err != nil {
					return fmt.Errorf("%s, seed %d: %w", v.Name, seed, err)
				}
				if ctx.Err() != nil {
					return ctx.Err()
				}
			}
			round++
		}
	}
	o.Progress(total, total, "done")
	return nil
}

func (o Options) playOnce(ctx context.Context, e *experiment.Experiment, v experiment.Variant, seed uint64, repeat int, r *report.Result, run program) error {
	dir, err := filepath.Abs(filepath.Join(o.Dir, "plays", fmt.Sprintf("%s-%d-%d", v.Name, seed, repeat+1)))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("directory of the play: %w", err)
	}
	outcome, err := lab.Play(ctx, e, v, seed, dir, lab.Programs{Sidecar: run.command, Replica: o.Replica, First: run.firstReplica}, o.Log)
	if err != nil {
		return err
	}
	p := report.NewPlay(e, v.Name, seed, repeat, outcome)
	r.Plays = append(r.Plays, p)
	if p.Figures["violations"] == 0 && !o.KeepLogs && len(p.Notes) == 0 {
		return os.RemoveAll(dir)
	}
	return nil
}

// withOlderReplica returns p with an earlier revision of this program for the first replica.
func (o Options) withOlderReplica(ctx context.Context, dir, revision string, p program) (program, error) {
	root, err := build.Root(".")
	if err != nil {
		return p, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return p, err
	}
	path, source, err := build.Service(ctx, root, dir, build.Source{Revision: revision})
	if err != nil {
		return p, err
	}
	p.firstReplica = append([]string{path}, o.Replica[1:]...)
	p.source += ", first replica " + strings.TrimSpace(source)
	return p, nil
}

// prepareProgram builds or finds the program that a variant runs. Variants of the same source share it.
func (o Options) prepareProgram(ctx context.Context, dir string, v experiment.Variant, built map[string]program, all []experiment.Variant) (program, error) {
	switch {
	case v.Program == "naive":
		source := "naive sidecar"
		if v.Breaks != "" {
			source += " that breaks " + v.Breaks
		}
		return program{command: append(append([]string{}, o.Self...), "--break="+v.Breaks), source: source}, nil
	case v.Program != "":
		path, err := filepath.Abs(v.Program)
		if err != nil {
			return program{}, err
		}
		if _, err := os.Stat(path); err != nil {
			return program{}, fmt.Errorf("program: %w", err)
		}
		return program{command: []string{path}, source: filepath.Base(path)}, nil
	}
	for _, other := range all {
		if other.Name == v.Name {
			break
		}
		if other.Program == "" && other.Revision == v.Revision && other.Patch == v.Patch && other.Tags == v.Tags {
			return built[other.Name], nil
		}
	}
	root, err := build.Root(".")
	if err != nil {
		return program{}, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return program{}, err
	}
	path, source, err := build.Sidecar(ctx, root, dir, build.Source{Revision: v.Revision, Patch: v.Patch, Tags: v.Tags})
	if err != nil {
		return program{}, err
	}
	return program{command: []string{path}, source: strings.TrimSpace(source)}, nil
}
