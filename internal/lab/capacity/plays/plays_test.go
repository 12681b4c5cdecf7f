package plays

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"mosslead/internal/lab/capacity"
	"mosslead/internal/registry"
	"mosslead/internal/sidecar"
)

// TestMain lets this binary run as a replica, with "TEST --dev --listen ADDRESS" or "TEST --config FILE", and as a sidecar, with
// "TEST sidecar".
func TestMain(m *testing.M) {
	if len(os.Args) < 2 || os.Args[1] != "--dev" && os.Args[1] != "--config" && os.Args[1] != "sidecar" {
		os.Exit(m.Run())
	}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := runProgram(ctx); err != nil {
		os.Exit(1)
	}
	os.Exit(0)
}

func runProgram(ctx context.Context) error {
	if os.Args[1] == "sidecar" {
		c, err := sidecar.LoadConfig(os.Getenv("GW_CONFIG"))
		if err != nil {
			return err
		}
		return sidecar.Run(ctx, c, nil)
	}
	c, err := registry.Dev(os.Args[len(os.Args)-1]), error(nil)
	if os.Args[1] == "--config" {
		if c, err = registry.LoadConfig(os.Args[2]); err != nil {
			return err
		}
	}
	n, err := registry.Open(c, slog.Default())
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

func newTestPlayer(t *testing.T) *Player {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return &Player{Service: []string{self}, Sidecar: []string{self, "sidecar"}, Dir: t.TempDir(), Revision: "test", quick: true}
}

// TestPlaysGiveTheirSeries runs each play once, small and short, and checks that its result has every series.
func TestPlaysGiveTheirSeries(t *testing.T) {
	small := map[string]sizes{"watchers": {"watchers": 3}, "return": {"watchers": 3, "entries": 12}, "renewals": {"renewals": 90}, "writes": {"changes": 10},
		"cut": {"watchers": 3}, "apart": {"watchers": 3}, "sidecar": {"entries": 3}, "calls": {"calls": 100}, "duty": {"candidates": 2}, "documents": {"documents": 3}, "settings": {"sidecars": 2}, "heal": {"entries": 12}}
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			at, ok := small[name]
			if !ok {
				t.Fatalf("play %s has no size in this test, want one", name)
			}
			p := newTestPlayer(t)
			got, err := plays[name].run(p, t.Context(), at, name)
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range plays[name].series {
				if _, ok := got[s.Name]; !ok {
					t.Errorf("series %s is missing in the result %v", s.Name, got)
				}
			}
		})
	}
}

// TestMeasuresArePredictedAndChecked measures, predicts, checks and writes a measure, with a play made for the test.
func TestMeasuresArePredictedAndChecked(t *testing.T) {
	plays["made"] = play{question: "none", series: []capacity.Series{{Name: "y", Unit: "s", Form: "x"}}, sampleSizes: eachSize("x", 1, 2, 3, 4), repeats: 2, checkSizes: sizes{"x": 9},
		run: func(_ *Player, _ context.Context, at sizes, _ string) (map[string]float64, error) {
			if at["x"] > 9 {
				return nil, errors.New("too large")
			}
			return map[string]float64{"y": 1 + 2*at["x"]}, nil
		}}
	defer delete(plays, "made")
	p, steps := newTestPlayer(t), 0
	p.Progress = func(int, int, string) { steps++ }
	m, err := p.Measure(t.Context(), "made")
	if err != nil || len(m.Samples) != 8 || steps != 9 {
		t.Fatalf("got measure %+v (error %v) after %d steps, want 8 samples after 9 steps", m, err, steps)
	}
	if says := m.Prediction.Says["y"]; says.Value < 18.99 || says.Value > 19.01 {
		t.Errorf("predicted: got %+v, want 19", says)
	}
	if err := p.Check(t.Context(), m); err != nil || len(m.Checks) != 2 || m.Checks[0].Got["y"] != 19 {
		t.Errorf("got checks %+v (error %v), want two, the first with y 19", m.Checks, err)
	}
	if err := m.Write(t.TempDir()); err != nil {
		t.Error(err)
	}
	m.Prediction.Sizes = sizes{"x": 10}
	if err := p.Check(t.Context(), m); err == nil || !strings.Contains(err.Error(), "too large") {
		t.Errorf("a play that fails: got error %v, want one with \"too large\"", err)
	}
	if _, err := p.Measure(t.Context(), "none"); !errors.Is(err, ErrUnknown) {
		t.Errorf("unknown measure: got error %v, want ErrUnknown", err)
	}
}

func TestExchangesAreMeasured(t *testing.T) {
	if cpu, median, err := measureExchange(); err != nil || cpu <= 0 || median <= 0 || median > time.Second {
		t.Errorf("got processor time %v and median %v (error %v), want both above 0 and the median at most 1s", cpu, median, err)
	}
}

// TestAMomentsStandstillIsNotAdded delays the calls of one side in one of three blocks, as a short standstill of the
// machine does.
func TestAMomentsStandstillIsNotAdded(t *testing.T) {
	var through, straight []time.Duration
	for i := range 3 * blockCalls {
		straight = append(straight, time.Millisecond)
		through = append(through, 3*time.Millisecond)
		if i/blockCalls == 1 && i%10 == 0 {
			through[i] += time.Second
		}
	}
	if got := addedQuantile(through, straight, 0.99); got != 2*time.Millisecond {
		t.Errorf("added in 3 blocks: got %v, want 2ms", got)
	}
	if got := addedQuantile(through[:5], straight[:5], 0.5); got != 2*time.Millisecond {
		t.Errorf("added in 5 calls: got %v, want 2ms", got)
	}
}
