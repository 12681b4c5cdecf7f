// Package plays owns the plays behind the measures of package capacity: each at several small sizes, on this machine's loopback
// addresses, with the real programs.
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

// Player plays measures.
type Player struct {
	Service  []string // the list service's program with its words up to "serve"
	Sidecar  []string // the sidecar's
	Dir      string   // of logs and data
	Revision string   // of the programs
	Progress func(done, total int, what string)

	quick bool // a twentieth of every length: a test wants to see that it plays, and believes no figure
}

func (p *Player) scaled(d time.Duration) time.Duration {
	if p.quick {
		return d / 20
	}
	return d
}

type sizes = map[string]float64

// play is one measure's.
type play struct {
	question string
	how      string
	series   []capacity.Series
	at       []sizes // played in this order, the whole of it repeats times
	repeats  int
	check    sizes // predicted, and then played
	// exchange has a bare exchange made in the same run, whose processor time is told as exchange_cpu_us.
	exchange bool
	run      func(p *Player, ctx context.Context, at sizes, dir string) (map[string]float64, error)
}

// runOnce plays one size.
func (x play) runOnce(ctx context.Context, p *Player, at sizes, dir string) (map[string]float64, error) {
	if !x.exchange {
		return x.run(p, ctx, at, dir)
	}
	cpu, _, err := measureExchange()
	if err != nil {
		return nil, err
	}
	got, err := x.run(p, ctx, at, dir)
	if err == nil {
		got["exchange_cpu_us"] = microseconds(cpu)
	}
	return got, err
}

// plays are the plays by the names of their measures.
var plays = map[string]play{}

// ErrUnknown is of a measure that nobody can play.
var ErrUnknown = errors.New("no measure is called")

// Names are those of all measures that can be played.
func Names() []string { return slices.Sorted(maps.Keys(plays)) }

// Measure plays the sizes, and predicts the one that is left for the check.
func (p *Player) Measure(ctx context.Context, name string) (*capacity.Measure, error) {
	x, ok := plays[name]
	if !ok {
		return nil, fmt.Errorf("%w %q: there are %s", ErrUnknown, name, strings.Join(Names(), ", "))
	}
	m := &capacity.Measure{Name: name, Question: x.question, Command: "mosslead lab capacity measure " + name, Revision: p.Revision,
		Machine: fmt.Sprintf("%d processors, %s, %s", runtime.NumCPU(), runtime.GOARCH, runtime.Version()), How: x.how, Series: x.series}
	total := len(x.at) * x.repeats
	for i := range total {
		at := x.at[i%len(x.at)]
		p.progress(i, total, fmt.Sprint(name, " ", at))
		got, err := x.runOnce(ctx, p, at, fmt.Sprint(name, "-", i))
		if err != nil {
			return nil, fmt.Errorf("%s at %v: %w", name, at, err)
		}
		m.Samples = append(m.Samples, capacity.Sample{Sizes: at, Got: got})
	}
	p.progress(total, total, name)
	return m, m.Predict(x.check, p.Revision)
}

// Check plays the size that was predicted.
func (p *Player) Check(ctx context.Context, m *capacity.Measure) error {
	x, ok := plays[m.Name]
	if !ok || m.Prediction == nil {
		return fmt.Errorf("%w %q, or nothing of it was predicted", ErrUnknown, m.Name)
	}
	m.Checks = nil
	for i := range x.repeats {
		p.progress(i, x.repeats, fmt.Sprint(m.Name, " ", m.Prediction.Sizes))
		got, err := x.runOnce(ctx, p, m.Prediction.Sizes, fmt.Sprint(m.Name, "-check-", i))
		if err != nil {
			return fmt.Errorf("%s at %v: %w", m.Name, m.Prediction.Sizes, err)
		}
		m.Checks = append(m.Checks, capacity.Sample{Sizes: m.Prediction.Sizes, Got: got})
	}
	p.progress(x.repeats, x.repeats, m.Name)
	return nil
}

func (p *Player) progress(done, total int, what string) {
	if p.Progress != nil {
		p.Progress(done, total, what)
	}
}

// eachSize makes the sizes of a measure in one size alone.
func eachSize(name string, values ...float64) (at []sizes) {
	for _, v := range values {
		at = append(at, sizes{name: v})
	}
	return at
}
