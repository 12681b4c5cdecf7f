// Package plays runs the measurements for package capacity: each at several small sizes, on this machine's loopback addresses,
// with the real programs.
package plays

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"time"

	"mosslead/internal/lab/capacity"
)

// Player runs the measurements.
type Player struct {
	Service  []string // the list service's program with its arguments up to "serve"
	Sidecar  []string // the sidecar's program with its arguments
	Dir      string   // directory of logs and data
	Revision string   // revision of the programs
	Progress func(done, total int, what string)

	quick bool // shortens every duration to a twentieth, for tests that ignore the figures
}

func (p *Player) scaled(d time.Duration) time.Duration {
	if p.quick {
		return d / 20
	}
	return d
}

type sizes = map[string]float64

// play is the measurement behind one measure.
type play struct {
	question    string
	how         string
	series      []capacity.Series
	sampleSizes []sizes // measured in this order; the whole list is measured repeats times
	repeats     int
	checkSizes  sizes // predicted first, and then measured
	// exchange is set if a bare exchange is measured in the same run, with its processor time as exchange_cpu_us.
	exchange bool
	run      func(p *Player, ctx context.Context, at sizes, dir string) (map[string]float64, error)
}

// runOnce measures one size.
func (pl play) runOnce(ctx context.Context, p *Player, at sizes, dir string) (map[string]float64, error) {
	if !pl.exchange {
		return pl.run(p, ctx, at, dir)
	}
	cpu, _, err := measureExchange()
	if err != nil {
		return nil, err
	}
	got, err := pl.run(p, ctx, at, dir)
	if err == nil {
		got["exchange_cpu_us"] = microseconds(cpu)
	}
	return got, err
}

// plays holds the plays by the names of their measures.
var plays = map[string]play{}

// ErrUnknown is the error for a measure that has no play.
var ErrUnknown = errors.New("no measure is called")

// Names returns the names of all measures that have a play, sorted.
func Names() []string { return slices.Sorted(maps.Keys(plays)) }

// Measure measures the sizes of a play, and predicts the size of its check.
func (p *Player) Measure(ctx context.Context, name string) (*capacity.Measure, error) {
	pl, ok := plays[name]
	if !ok {
		return nil, fmt.Errorf("%w %q: there are %s", ErrUnknown, name, strings.Join(Names(), ", "))
	}
	m := &capacity.Measure{Name: name, Question: pl.question, Command: "mosslead lab capacity measure " + name, Revision: p.Revision,
		Machine: fmt.Sprintf("%d processors, %s, %s", runtime.NumCPU(), runtime.GOARCH, runtime.Version()), How: pl.how, Series: pl.series}
	total := len(pl.sampleSizes) * pl.repeats
	for i := range total {
		at := pl.sampleSizes[i%len(pl.sampleSizes)]
		p.progress(i, total, fmt.Sprint(name, " ", at))
		got, err := pl.runOnce(ctx, p, at, fmt.Sprint(name, "-", i))
		if err != nil {
			return nil, fmt.Errorf("%s at %v: %w", name, at, err)
		}
		m.Samples = append(m.Samples, capacity.Sample{Sizes: at, Got: got})
	}
	p.progress(total, total, name)
	return m, m.Predict(pl.checkSizes, p.Revision)
}

// Check measures the size that was predicted.
func (p *Player) Check(ctx context.Context, m *capacity.Measure) error {
	pl, ok := plays[m.Name]
	if !ok || m.Prediction == nil {
		return fmt.Errorf("%w %q, or nothing of it was predicted", ErrUnknown, m.Name)
	}
	m.Checks = nil
	for i := range pl.repeats {
		p.progress(i, pl.repeats, fmt.Sprint(m.Name, " ", m.Prediction.Sizes))
		got, err := pl.runOnce(ctx, p, m.Prediction.Sizes, fmt.Sprint(m.Name, "-check-", i))
		if err != nil {
			return fmt.Errorf("%s at %v: %w", m.Name, m.Prediction.Sizes, err)
		}
		m.Checks = append(m.Checks, capacity.Sample{Sizes: m.Prediction.Sizes, Got: got})
	}
	p.progress(pl.repeats, pl.repeats, m.Name)
	return nil
}

func (p *Player) progress(done, total int, what string) {
	if p.Progress != nil {
		p.Progress(done, total, what)
	}
}

// eachSize returns one set of sizes for each value, with the one size name.
func eachSize(name string, values ...float64) (at []sizes) {
	for _, v := range values {
		at = append(at, sizes{name: v})
	}
	return at
}
