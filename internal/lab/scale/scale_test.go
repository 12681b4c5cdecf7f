package scale

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"mosslead/internal/registry"
	"mosslead/internal/sidecar"
)

// TestMain lets this binary be what a run starts: "TEST replica --config FILE", "TEST host", or "TEST sidecar" with GW_CONFIG.
func TestMain(m *testing.M) {
	if len(os.Args) < 2 || !slices.Contains([]string{"replica", "host", "sidecar"}, os.Args[1]) {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if err := be(ctx, os.Args[1]); err != nil {
		panic(err)
	}
}

func be(ctx context.Context, what string) error {
	switch what {
	case "host":
		return Host(ctx, os.Stdin, os.Stdout)
	case "sidecar":
		c, err := sidecar.LoadConfig(os.Getenv("GW_CONFIG"))
		if err != nil {
			return err
		}
		return sidecar.Run(ctx, c, nil)
	}
	c, err := registry.LoadConfig(os.Args[3])
	if err != nil {
		return err
	}
	n, err := registry.Open(c, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// small is a run of the tests. What a program of the tests costs says nothing, so that processor time and memory are left out.
func small(t *testing.T, names ...string) Spec {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Spec{Hollow: 60, Real: 4, Replicas: 3, Days: names, Seeds: []uint64{1}, Lease: 600 * time.Millisecond, Length: 3500 * time.Millisecond, Cut: 6 * time.Second, Compare: true,
		Service: []string{self, "replica"}, Host: []string{self, "host"}, Sidecar: []string{self, "sidecar"}, Dir: t.TempDir(),
		Progress: func(int, int, string) {}, costless: true}
}

// Guards against a fleet in which a change is lost, late, overtaken or made up on any day, against hollow sidecars that are not like real
// ones, and against a run that sees nothing.
func TestSmallScale(t *testing.T) {
	t.Parallel()
	r, err := Run(t.Context(), small(t, "steady", "wave", "restarts", "zone", "leader", "return"))
	if err != nil {
		t.Fatal(err)
	}
	if why := r.Why(); why != "" || !r.Held() {
		t.Error(why)
	}
	counted := map[string]int{}
	for _, p := range r.Plays {
		t.Logf("%s: %.1f s, %+v %+v", p.Day, p.Seconds, p.Delays, p.Roles)
		for _, f := range p.Findings {
			t.Errorf("%s: %+v", p.Day, f)
		}
		for _, d := range p.Delays {
			counted[d.Cause] += d.Counted
		}
		if p.Load.Sent == 0 || p.Load.Served < p.Load.Sent*9/10 {
			t.Errorf("%s: of the requests beside, %+v", p.Day, p.Load)
		}
	}
	for _, cause := range []string{"change by hand", "lapse", "restart", "back after a failure", "leader killed", "leader stopped", "all back at once"} {
		if counted[cause] < 60 {
			t.Errorf("%s: counted %d times", cause, counted[cause])
		}
	}
	if len(r.Plays) != 6 || len(r.Plays[0].Comparisons) != 12 {
		t.Errorf("%d days, comparisons %+v", len(r.Plays), r.Plays[0].Comparisons)
	}
}

// Guards against a comparison that sees nothing: hollow sidecars without the renewals of their upstreams are not like real ones.
func TestHollowOnesWithoutRenewalsAreFound(t *testing.T) {
	t.Parallel()
	spec := small(t, "steady")
	spec.Hollow, spec.mute = 14, true
	r, err := Run(t.Context(), spec)
	if err != nil {
		t.Fatal(err)
	}
	if r.Held() || !strings.Contains(r.Why(), LikeReal) {
		t.Errorf("%q, %+v", r.Why(), r.Plays[0].Comparisons)
	}
}
