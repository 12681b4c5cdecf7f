package cli

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"mosslead/internal/lab/loadtest"
)

// Sizes of the load test that have no flag.
const (
	renewalReplicas = 3
	renewalServers  = 2000
	churnEntries    = 5000
	churnChanges    = 1500
	churnTime       = 7 * time.Second
	churnFraction   = 10 // the churn is measured with 1/churnFraction of the number of returning watchers
	returnEntries   = 500
	returnTime      = time.Second
)

// loadTest holds the parameters of `mosslead lab service`.
type loadTest struct {
	watchers, entries  []int         // each number of watchers is measured with each number of entries
	changes, returning int           // changes in each of these measurements; number of watchers that reconnect at once
	renewals           float64       // renewals per second
	length             time.Duration // how long leases are renewed
}

// loadTestResult is the result of a loadTest.
type loadTestResult struct {
	Watchers []loadtest.Watchers `json:"watchers"`
	Renewals []loadtest.Renewals `json:"renewals"`
	Churn    []loadtest.Churn    `json:"churn"`
	Return   []loadtest.Return   `json:"return"`
}

func (a *app) labService() *cobra.Command {
	var test loadTest
	var out string
	c := &cobra.Command{
		Use:   "service",
		Short: "Measure what the list service bears: watchers of one replica, and leases of a quorum",
		Example: "  mosslead lab service\n  mosslead lab service --watchers 10000 --entries 1000 -o json\n" +
			"  mosslead lab service --watchers 0 --renewals 2000",
		Args: checkArgs(cobra.NoArgs),
	}
	format := outputFlag(c)
	c.Flags().IntSliceVar(&test.watchers, "watchers", []int{1000, 5000, 10000}, "numbers of watchers; 0: none are measured")
	c.Flags().IntSliceVar(&test.entries, "entries", []int{100, 5000}, "numbers of entries")
	c.Flags().IntVar(&test.changes, "changes", 20, "changes for each")
	c.Flags().Float64Var(&test.renewals, "renewals", 2000, "renewals a second, of a quorum of three; 0: none are measured")
	c.Flags().DurationVar(&test.length, "length", 10*time.Second, "how long leases are renewed")
	c.Flags().IntVar(&test.returning, "rush", 10000, "watchers that come back within a second; a tenth of them watch 1,500 of 5,000 entries change in 7 s; 0: none")
	c.Flags().StringVar(&out, "out", "", "directory of watchers.svg and of the replicas' logs (logs/lab/service-TIME)")
	c.RunE = func(c *cobra.Command, _ []string) error {
		self, err := executable()
		if err != nil {
			return err
		}
		dir, err := createResultDir(out, "service")
		if err != nil {
			return err
		}
		run := loadtest.Runner{Command: []string{self, "registry", "serve"}, Dir: dir}
		result, err := test.run(c.Context(), run)
		if err != nil {
			return err
		}
		return a.print(*format, result, result.writeTables)
	}
	return c
}

// run measures watchers, renewals, churn and returning watchers, in this order. It leaves out those whose parameter is 0.
func (t *loadTest) run(ctx context.Context, run loadtest.Runner) (result loadTestResult, err error) {
	if result.Watchers, err = t.measureWatchers(ctx, run); err != nil {
		return result, err
	}
	if t.renewals > 0 {
		r, err := run.MeasureRenewals(ctx, renewalReplicas, renewalServers, t.renewals, t.length)
		if err != nil {
			return result, err
		}
		result.Renewals = append(result.Renewals, r)
	}
	if t.returning <= 0 {
		return result, nil
	}
	churn, err := run.MeasureChurn(ctx, t.returning/churnFraction, churnEntries, churnChanges, churnTime)
	if err != nil {
		return result, err
	}
	result.Churn = append(result.Churn, churn)
	for _, fullList := range []bool{false, true} {
		returned, err := run.MeasureReturn(ctx, t.returning, returnEntries, fullList, returnTime)
		if err != nil {
			return result, err
		}
		result.Return = append(result.Return, returned)
	}
	return result, nil
}

// measureWatchers measures every number of watchers with every number of entries, and plots the results.
func (t *loadTest) measureWatchers(ctx context.Context, run loadtest.Runner) (results []loadtest.Watchers, err error) {
	for _, entries := range t.entries {
		for _, watchers := range t.watchers {
			if watchers <= 0 || entries <= 0 {
				continue
			}
			w, err := run.MeasureWatchers(ctx, watchers, entries, t.changes)
			if err != nil {
				return results, err
			}
			results = append(results, w)
		}
	}
	if len(results) == 0 {
		return nil, nil
	}
	return results, loadtest.Plot(filepath.Join(run.Dir, "watchers.svg"), results)
}

// writeTables writes the result as text columns.
func (r *loadTestResult) writeTables(w io.Writer) {
	_, _ = fmt.Fprintln(w, "watchers\tentries\tchanges\tp50 ms\tp99 ms\tmost ms\tunheard\tKB a watcher\tCPU ms a change")
	for _, x := range r.Watchers {
		_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%d\t%.1f\t%.1f\n", x.Watchers, x.Entries, x.Changes, x.P50Ms, x.P99Ms, x.MostMs, x.Unheard, x.KBPerWatcher, x.CPUPerChange)
	}
	_, _ = fmt.Fprintln(w, "\nwatchers\tentries\tchanges\tin s\tp99 ms\tchanges a line\tall heard\tMB")
	for _, x := range r.Churn {
		_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%v\t%.0f\n", x.Watchers, x.Entries, x.Changes, x.Seconds, x.P99Ms, x.Joined, x.AllHeard, x.MemoryMB)
	}
	_, _ = fmt.Fprintln(w, "\ncome back\tentries\twhole list\twithin s\tall back s\tp99 ms\tfailed\tMB")
	for _, x := range r.Return {
		_, _ = fmt.Fprintf(w, "%d\t%d\t%v\t%.1f\t%.2f\t%.1f\t%d\t%.0f\n", x.Watchers, x.Entries, x.Whole, x.Within, x.AllBack, x.P99Ms, x.Failed, x.MemoryMB)
	}
	_, _ = fmt.Fprintln(w, "\nreplicas\tservers\tasked/s\ttook/s\tfailed\tlost\tp99 ms\tcores\tcallers' cores")
	for _, x := range r.Renewals {
		_, _ = fmt.Fprintf(w, "%d\t%d\t%.0f\t%.0f\t%d\t%d\t%.1f\t%.2f\t%.2f\n", x.Replicas, x.Servers, x.Asked, x.Took, x.Failed, x.Lost, x.P99Ms, x.Cores, x.OwnCores)
	}
}
