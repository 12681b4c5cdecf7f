package cli

import (
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

func (a *app) labDuties() *cobra.Command {
	var kinds []string
	var seeds, handOns, together int
	var lease time.Duration
	var noFence bool
	var out string
	c := &cobra.Command{
		Use:   "duties",
		Short: "Take duties from one process to another while holders and the list service are broken, and judge every act",
		Example: "  mosslead lab duties\n  mosslead lab duties --kinds duty-cut --seeds 2 --hand-ons 10 -o json\n" +
			"  mosslead lab duties --kinds duty-stall --no-fence    # its breaches are to be seen",
		Args: args(cobra.NoArgs),
	}
	format := outputFlag(c)
	c.Flags().StringSliceVar(&kinds, "kinds", leases.Kinds, "experiments: "+strings.Join(leases.Kinds, ", "))
	c.Flags().IntVar(&seeds, "seeds", 10, "seeds of each, from 1 on")
	c.Flags().IntVar(&handOns, "hand-ons", 20, "hand-ons of each seed")
	c.Flags().IntVar(&together, "together", 4, "experiments at the same time")
	c.Flags().DurationVar(&lease, "lease", time.Second, "length of a lease; the margin is a tenth of it")
	c.Flags().BoolVar(&noFence, "no-fence", false, "plant a fault: who is acted upon looks at no epoch")
	c.Flags().StringVar(&out, "out", "", "directory of logs (logs/lab/duties-TIME)")
	c.RunE = func(c *cobra.Command, _ []string) error {
		for _, k := range kinds {
			if !slices.Contains(leases.Kinds, k) {
				return usageError{fmt.Errorf("--kinds: no experiment is called %q", k)}
			}
		}
		if seeds < 1 || handOns < 1 || together < 1 || lease < 500*time.Millisecond {
			return usageError{errors.New("--seeds, --hand-ons and --together: at least 1; --lease: at least 500ms")}
		}
		self, err := os.Executable()
		if err != nil {
			return fmt.Errorf("finding this program: %w", err)
		}
		if out == "" {
			out = filepath.Join("logs", "lab", "duties-"+time.Now().Format("20060102-150405"))
		}
		if out, err = filepath.Abs(out); err != nil {
			return err
		}
		type play struct {
			leases.Result
			err error
		}
		plays := make([]play, len(kinds)*seeds)
		slots := make(chan struct{}, together)
		var all sync.WaitGroup
		for i := range plays {
			kind, seed := kinds[i/seeds], uint64(i%seeds+1)
			dir := filepath.Join(out, fmt.Sprintf("%s-%d", kind, seed))
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return fmt.Errorf("directory of logs: %w", err)
			}
			slots <- struct{}{}
			all.Go(func() {
				plays[i].Result, plays[i].err = leases.Run(c.Context(), leases.Spec{Program: self, Dir: dir, Kind: kind, Seed: seed,
					HandOns: handOns, Lease: lease, NoFence: noFence})
				<-slots
			})
		}
		all.Wait()
		var results []leases.Result
		breaches := 0
		for _, p := range plays {
			if p.err != nil {
				return p.err
			}
			results = append(results, p.Result)
			breaches += len(p.Breaches)
		}
		err = a.print(*format, results, func(w io.Writer) {
			_, _ = fmt.Fprintln(w, "experiment\tseed\thand-ons\tacts\ttaken\trefused\tlongest gap\tbreaches\ts")
			for _, x := range results {
				_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%v\t%d\t%.0f\n", x.Kind, x.Seed, x.HandOns, x.Acts, x.Taken, x.Refused,
					x.Longest.Round(time.Millisecond), len(x.Breaches), x.Seconds)
			}
		})
		if err == nil && breaches > 0 {
			err = fmt.Errorf("%d promises were not kept: see -o json", breaches)
		}
		return err
	}
	return c
}

// labCandidate is what lab duties starts.
func (a *app) labCandidate() *cobra.Command {
	var x leases.Candidate
	c := &cobra.Command{
		Use:     "candidate",
		Short:   "Want one duty, and act under it",
		Example: "  mosslead lab candidate --service 127.0.0.1:7000 --target 127.0.0.1:7001 --holder a --number 1",
		Hidden:  true,
		Args:    args(cobra.NoArgs),
		RunE:    func(c *cobra.Command, _ []string) error { return x.Run(c.Context(), a.out) },
	}
	c.Flags().StringVar(&x.Service, "service", "", "replicas, host:port, with commas")
	c.Flags().StringVar(&x.Target, "target", "", "who is acted upon, host:port")
	c.Flags().StringVar(&x.Holder, "holder", "", "name, unlike any other")
	c.Flags().Uint64Var(&x.Number, "number", 0, "number, unlike any other")
	c.Flags().DurationVar(&x.Lease, "lease", time.Second, "length of a lease")
	return c
}
