package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"mosslead/internal/lab/loadtest"
)

func (a *app) labService() *cobra.Command {
	var watchers, entries []int
	var changes, rush int
	var renewals float64
	var length time.Duration
	var out string
	c := &cobra.Command{
		Use:   "service",
		Short: "Measure what the list service bears: watchers of one replica, and leases of a quorum",
		Example: "  mosslead lab service\n  mosslead lab service --watchers 10000 --entries 1000 -o json\n" +
			"  mosslead lab service --watchers 0 --renewals 2000",
		Args: args(cobra.NoArgs),
	}
	format := outputFlag(c)
	c.Flags().IntSliceVar(&watchers, "watchers", []int{1000, 5000, 10000}, "numbers of watchers; 0: none are measured")
	c.Flags().IntSliceVar(&entries, "entries", []int{100, 5000}, "numbers of entries")
	c.Flags().IntVar(&changes, "changes", 20, "changes for each")
	c.Flags().Float64Var(&renewals, "renewals", 2000, "renewals a second, of a quorum of three; 0: none are measured")
	c.Flags().DurationVar(&length, "length", 10*time.Second, "how long leases are renewed")
	c.Flags().IntVar(&rush, "rush", 10000, "watchers that come back within a second; a tenth of them watch 1,500 of 5,000 entries change in 7 s; 0: none")
	c.Flags().StringVar(&out, "out", "", "directory of watchers.svg and of the replicas' logs (logs/lab/service-TIME)")
	c.RunE = func(c *cobra.Command, _ []string) error {
		self, err := os.Executable()
		if err != nil {
			return fmt.Errorf("finding this program: %w", err)
		}
		if out == "" {
			out = filepath.Join("logs", "lab", "service-"+time.Now().Format("20060102-150405"))
		}
		if out, err = filepath.Abs(out); err != nil {
			return err
		}
		if err := os.MkdirAll(out, 0o755); err != nil {
			return fmt.Errorf("directory of the result: %w", err)
		}
		run := loadtest.Runner{Command: []string{self, "registry", "serve"}, Dir: out}
		var found struct {
			Watchers []loadtest.Watchers `json:"watchers"`
			Renewals []loadtest.Renewals `json:"renewals"`
			Churn    []loadtest.Churn    `json:"churn"`
			Return   []loadtest.Return   `json:"return"`
		}
		for _, e := range entries {
			for _, n := range watchers {
				if n <= 0 || e <= 0 {
					continue
				}
				w, err := run.MeasureWatchers(c.Context(), n, e, changes)
				if err != nil {
					return err
				}
				found.Watchers = append(found.Watchers, w)
			}
		}
		if len(found.Watchers) > 0 {
			if err := loadtest.Plot(filepath.Join(out, "watchers.svg"), found.Watchers); err != nil {
				return err
			}
		}
		if renewals > 0 {
			r, err := run.MeasureRenewals(c.Context(), 3, 2000, renewals, length)
			if err != nil {
				return err
			}
			found.Renewals = append(found.Renewals, r)
		}
		if rush > 0 {
			m, err := run.MeasureChurn(c.Context(), rush/10, 5000, 1500, 7*time.Second)
			if err != nil {
				return err
			}
			found.Churn = append(found.Churn, m)
			for _, whole := range []bool{false, true} {
				back, err := run.MeasureReturn(c.Context(), rush, 500, whole, time.Second)
				if err != nil {
					return err
				}
				found.Return = append(found.Return, back)
			}
		}
		return a.print(*format, found, func(w io.Writer) {
			_, _ = fmt.Fprintln(w, "watchers\tentries\tchanges\tp50 ms\tp99 ms\tmost ms\tunheard\tKB a watcher\tCPU ms a change")
			for _, x := range found.Watchers {
				_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%d\t%.1f\t%.1f\n", x.Watchers, x.Entries, x.Changes, x.P50Ms, x.P99Ms, x.MostMs, x.Unheard, x.KBPerWatcher, x.CPUPerChange)
			}
			_, _ = fmt.Fprintln(w, "\nwatchers\tentries\tchanges\tin s\tp99 ms\tchanges a line\tall heard\tMB")
			for _, x := range found.Churn {
				_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%v\t%.0f\n", x.Watchers, x.Entries, x.Changes, x.Seconds, x.P99Ms, x.Joined, x.AllHeard, x.MemoryMB)
			}
			_, _ = fmt.Fprintln(w, "\ncome back\tentries\twhole list\twithin s\tall back s\tp99 ms\tfailed\tMB")
			for _, x := range found.Return {
				_, _ = fmt.Fprintf(w, "%d\t%d\t%v\t%.1f\t%.2f\t%.1f\t%d\t%.0f\n", x.Watchers, x.Entries, x.Whole, x.Within, x.AllBack, x.P99Ms, x.Failed, x.MemoryMB)
			}
			_, _ = fmt.Fprintln(w, "\nreplicas\tservers\tasked/s\ttook/s\tfailed\tlost\tp99 ms\tcores\tcallers' cores")
			for _, x := range found.Renewals {
				_, _ = fmt.Fprintf(w, "%d\t%d\t%.0f\t%.0f\t%d\t%d\t%.1f\t%.2f\t%.2f\n", x.Replicas, x.Servers, x.Asked, x.Took, x.Failed, x.Lost, x.P99Ms, x.Cores, x.OwnCores)
			}
		})
	}
	return c
}
