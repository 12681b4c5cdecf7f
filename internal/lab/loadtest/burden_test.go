package loadtest

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"mosslead/internal/registry"
)

// TestMain lets this binary be a replica: as "TEST --dev --listen ADDRESS", or "TEST --config FILE".
func TestMain(m *testing.M) {
	if len(os.Args) < 3 || os.Args[1] != "--dev" && os.Args[1] != "--config" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	c, err := registry.Dev(os.Args[len(os.Args)-1]), error(nil)
	if os.Args[1] == "--config" {
		c, err = registry.LoadConfig(os.Args[2])
	}
	if err == nil {
		var n *registry.Node
		if n, err = registry.Open(c, slog.New(slog.DiscardHandler)); err == nil {
			err = n.Run(ctx)
		}
	}
	if err != nil {
		os.Exit(1)
	}
	os.Exit(0)
}

func TestWhatIsMeasuredIsHeard(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	r := Runner{Command: []string{self}, Dir: t.TempDir()}
	if w, err := r.MeasureWatchers(t.Context(), 20, 3, 2); err != nil || w.Unheard > 0 || w.P99Ms <= 0 || w.P99Ms < w.P50Ms {
		t.Errorf("watchers: %+v, %v", w, err)
	}
	if m, err := r.MeasureChurn(t.Context(), 5, 20, 20, 100*time.Millisecond); err != nil || !m.AllHeard || m.Joined < 1 {
		t.Errorf("churn: %+v, %v", m, err)
	}
	if m, err := r.MeasureReturn(t.Context(), 20, 20, true, 50*time.Millisecond); err != nil || m.Failed > 0 || m.P99Ms <= 0 {
		t.Errorf("return: %+v, %v", m, err)
	}
	m, err := r.MeasureRenewals(t.Context(), 3, 5, 100, 200*time.Millisecond)
	if err != nil || m.Failed > 0 || m.Lost > 0 || m.Took < 50 {
		t.Errorf("renewals: %+v, %v", m, err)
	}
}
