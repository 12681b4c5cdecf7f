package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"mosslead/internal/lab/leases"
)

// minTestLease is the shortest lease of the leadership experiments.
const minTestLease = 500 * time.Millisecond

// leadershipTest holds the parameters of `mosslead lab duties`.
type leadershipTest struct {
	kinds      []string
	seeds      int           // number of seeds of each kind; the first seed is 1
	handOns    int           // changes of the leader in each experiment
	concurrent int           // experiments at the same time
	lease      time.Duration // length of a lease
	noFence    bool          // plants a fault: the target of the acts does not check their epoch
}

func (a *app) labDuties() *cobra.Command {
	var test leadershipTest
	var out string
	c := &cobra.Command{
		Use:   "duties",
		Short: "Take duties from one process to another while holders and the list service are broken, and judge every act",
		Example: "  mosslead lab duties\n  mosslead lab duties --kinds duty-cut --seeds 2 --hand-ons 10 -o json\n" +
			"  mosslead lab duties --kinds duty-stall --no-fence    # its breaches are to be seen",
		Args: checkArgs(cobra.NoArgs),
	}
	format := outputFlag(c)
	c.Flags().StringSliceVar(&test.kinds, "kinds", leases.Kinds, "experiments: "+strings.Join(leases.Kinds, ", "))
	c.Flags().IntVar(&test.seeds, "seeds", 10, "seeds of each, from 1 on")
	c.Flags().IntVar(&test.handOns, "hand-ons", 20, "hand-ons of each seed")
	c.Flags().IntVar(&test.concurrent, "together", 4, "experiments at the same time")
	c.Flags().DurationVar(&test.lease, "lease", time.Second, "length of a lease; the margin is a tenth of it")
	c.Flags().BoolVar(&test.noFence, "no-fence", false, "plant a fault: who is acted upon looks at no epoch")
	c.Flags().StringVar(&out, "out", "", "directory of logs (logs/lab/duties-TIME)")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := test.check(); err != nil {
			return usageError{err}
		}
		self, err := executable()
		if err != nil {
			return err
		}
		dir, err := filepath.Abs(resultDir(out, "duties"))
		if err != nil {
			return err
		}
		results, err := test.run(c.Context(), self, dir)
		if err != nil {
			return err
		}
		if err := a.print(*format, results, func(w io.Writer) { leadershipTable(w, results) }); err != nil {
			return err
		}
		breaches := 0
		for _, r := range results {
			breaches += len(r.Breaches)
		}
		if breaches > 0 {
			return fmt.Errorf("%d promises were not kept: see -o json", breaches)
		}
		return nil
	}
	return c
}

// check returns an error if a flag is invalid.
func (t *leadershipTest) check() error {
	for _, kind := range t.kinds {
		if !slices.Contains(leases.Kinds, kind) {
			return fmt.Errorf("--kinds: no experiment is called %q", kind)
		}
	}
	if t.seeds < 1 || t.handOns < 1 || t.concurrent < 1 || t.lease < minTestLease {
		return errors.New("--seeds, --hand-ons and --together: at least 1; --lease: at least 500ms")
	}
	return nil
}

// run plays each kind with each seed, t.concurrent plays at the same time, and returns the results ordered by kind and seed. The
// logs are in directories below dir.
func (t *leadershipTest) run(ctx context.Context, program, dir string) ([]leases.Result, error) {
	results := make([]leases.Result, len(t.kinds)*t.seeds)
	errs := make([]error, len(results))
	slots := make(chan struct{}, t.concurrent)
	var running sync.WaitGroup
	for i := range results {
		kind, seed := t.kinds[i/t.seeds], uint64(i%t.seeds+1)
		logs := filepath.Join(dir, fmt.Sprintf("%s-%d", kind, seed))
		if err := os.MkdirAll(logs, 0o755); err != nil {
			return nil, fmt.Errorf("directory of logs: %w", err)
		}
		slots <- struct{}{}
		running.Go(func() {
			results[i], errs[i] = leases.Run(ctx, leases.Spec{Program: program, Dir: logs, Kind: kind, Seed: seed,
				HandOns: t.handOns, Lease: t.lease, NoFence: t.noFence})
			<-slots
		})
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

// leadershipTable writes results as text columns.
func leadershipTable(w io.Writer, results []leases.Result) {
	_, _ = fmt.Fprintln(w, "experiment\tseed\thand-ons\tacts\ttaken\trefused\tlongest gap\tbreaches\ts")
	for _, x := range results {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%v\t%d\t%.0f\n", x.Kind, x.Seed, x.HandOns, x.Acts, x.Taken, x.Refused,
			x.Longest.Round(time.Millisecond), len(x.Breaches), x.Seconds)
	}
}

// labCandidate returns the command that lab duties starts: one candidate for a leadership.
func (a *app) labCandidate() *cobra.Command {
	var candidate leases.Candidate
	c := &cobra.Command{
		Use:     "candidate",
		Short:   "Want one duty, and act under it",
		Example: "  mosslead lab candidate --service 127.0.0.1:7000 --target 127.0.0.1:7001 --holder a --number 1",
		Hidden:  true,
		Args:    checkArgs(cobra.NoArgs),
		RunE:    func(c *cobra.Command, _ []string) error { return candidate.Run(c.Context(), a.stdout) },
	}
	c.Flags().StringVar(&candidate.Service, "service", "", "replicas, host:port, with commas")
	c.Flags().StringVar(&candidate.Target, "target", "", "who is acted upon, host:port")
	c.Flags().StringVar(&candidate.Holder, "holder", "", "name, unlike any other")
	c.Flags().Uint64Var(&candidate.Number, "number", 0, "number, unlike any other")
	c.Flags().DurationVar(&candidate.Lease, "lease", time.Second, "length of a lease")
	return c
}
