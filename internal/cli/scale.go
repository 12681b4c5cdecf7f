package cli

import (
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"mosslead/internal/lab/scale"
)

func (a *app) labScale() *cobra.Command {
	spec := scale.Spec{}
	var seeds []uint
	var out string
	c := &cobra.Command{
		Use:   "scale",
		Short: "Play days of a large fleet: hollow sidecars beside real ones and real replicas of the list service",
		Long: "Hollow sidecars are the program's own parts without requests, hundreds to a process. Beside them are real ones with load,\n" +
			"and real replicas of the list service. Each day is judged from outside: every accepted change in force within 7 s at every\n" +
			"process that can be reached, none lost, none overtaken by an older one, nothing that nobody issued, and what each process\n" +
			"spends against 2 KB/s, 1.6% of a core and 32 MB; on cut, what is served inside a region too, against 0.99 of the share before it.\n" +
			"The cut is of the links between the list services: requests themselves go on between regions. Exit status 1: a verdict did not\n" +
			"hold; it names day, verdict and process.\n\n" +
			"Days: " + strings.Join(scale.DayNames(), ", ") + ". Not played: " + scale.Gossip + ".\n\n" +
			"On slow, what regions tell each other takes 150 ms each way, and 1% of the pieces on a connection, and what is behind them, 200 ms more,\n" +
			"as for what is sent again; a connection's handshake takes 300 ms.",
		Example: "  mosslead lab scale\n  mosslead lab scale --hollow 400 --days steady --length 20s --compare=false -o json\n" +
			"  mosslead lab scale --days cut --cut 20s --seeds 2",
		Args: checkArgs(cobra.NoArgs),
	}
	format := outputFlag(c)
	addScaleFlags(c, &spec, &seeds)
	c.Flags().StringVar(&out, "out", "", "directory of result.json, delays.svg and logs (logs/lab/scale-TIME)")
	c.RunE = func(c *cobra.Command, _ []string) error {
		for _, s := range seeds {
			spec.Seeds = append(spec.Seeds, uint64(s))
		}
		if err := spec.Check(); err != nil {
			return usageError{err}
		}
		if *format != "table" && *format != "json" { // checked before a run that takes minutes
			return usageError{fmt.Errorf("--output: table or json, not %q", *format)}
		}
		var err error
		if spec.Dir, err = createResultDir(out, "scale"); err != nil {
			return err
		}
		built, err := buildPrograms(c.Context(), spec.Dir)
		if err != nil {
			return err
		}
		spec.Service, spec.Host, spec.Sidecar = built.service, []string{built.self, "lab", "hollow"}, built.sidecar
		spec.Revision, spec.Progress = built.revision, a.progress
		// With more threads than processors, a thread that the kernel has descheduled delays fewer of the other goroutines.
		runtime.GOMAXPROCS(threadsPerProcessor * runtime.NumCPU())
		r, err := scale.Run(c.Context(), spec)
		if r != nil && len(r.Plays) > 0 {
			if err := a.print(*format, r, func(w io.Writer) { scaleTable(w, r) }); err != nil {
				return err
			}
			_, _ = fmt.Fprintf(a.stderr, "result: %s\n", spec.Dir)
		}
		if err != nil {
			return err
		}
		if !r.Held() {
			return fmt.Errorf("%s", r.Why())
		}
		return nil
	}
	return c
}

// addScaleFlags adds the flags that set spec and seeds.
func addScaleFlags(c *cobra.Command, spec *scale.Spec, seeds *[]uint) {
	c.Flags().IntVar(&spec.Hollow, "hollow", 1800, "hollow sidecars")
	c.Flags().IntVar(&spec.Real, "real", 12, "real sidecars, one in six of them without clients")
	c.Flags().IntVar(&spec.Replicas, "replicas", 3, "replicas of the list service, of each region")
	c.Flags().StringSliceVar(&spec.Days, "days", []string{"steady", "wave", "restarts", "rack", "zone", "leader", "return", "cut", "slow"}, "days, in this order but for cut and slow, which come last: they need two regions")
	c.Flags().UintSliceVar(seeds, "seeds", []uint{1}, "each plays all days")
	c.Flags().DurationVar(&spec.Length, "length", time.Minute, "of the steady day and of the wave")
	c.Flags().DurationVar(&spec.Lease, "lease", 10*time.Second, "of upstreams")
	c.Flags().DurationVar(&spec.Cut, "cut", 3*time.Minute, "how long regions are apart on that day")
	c.Flags().BoolVar(&spec.Compare, "compare", true, "hold hollow ones against real ones, for eight leases after the steady day")
}

// scaleTable writes the result of a scale run as text.
func scaleTable(w io.Writer, r *scale.Result) {
	_, _ = fmt.Fprintf(w, "%d hollow in %d processes, %d real, %d replicas in a region; leases of %.3g s; %d processes, %d descriptors at most in one\n",
		r.Hollow, r.Hosts, r.Real, r.Replicas, r.LeaseS, r.Processes, r.Descriptors)
	_, _ = fmt.Fprintf(w, "not played: %s\n", r.Gossip)
	writeDelays(w, r)
	writeRoles(w, r)
	writeLoad(w, r)
	writeComparisons(w, r)
	writeFindings(w, r)
	_, _ = fmt.Fprintln(w)
}

// writeDelays writes the verdicts of each day, and the delays until changes were in force.
func writeDelays(w io.Writer, r *scale.Result) {
	_, _ = fmt.Fprintln(w, "\nday\tseed\tverdicts\tcause\tchanges\tcounted\tp50 ms\tp99 ms\tlongest ms")
	for _, p := range r.Plays {
		verdict := "held"
		if !p.Held {
			verdict = "FAILED " + strings.Join(p.Failed, ", ")
		}
		if len(p.Delays) == 0 {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t-\t-\t-\t-\t-\t-\n", p.Day, p.Seed, verdict)
		}
		for _, d := range p.Delays {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\n", p.Day, p.Seed, verdict, d.Cause, d.Changes, d.Counted, d.P50Ms, d.P99Ms, d.MostMs)
			verdict = ""
		}
	}
}

// writeRoles writes the network traffic, memory and processor time of the processes of each role.
func writeRoles(w io.Writer, r *scale.Result) {
	_, _ = fmt.Fprintln(w, "\nWhat a process spends is judged where it ran for the whole day; one that was restarted began with a whole list, and is in the means")
	_, _ = fmt.Fprintln(w, "and mosts below. Hollow ones have an even part of their host, with the gates that count; processor time and memory are judged on")
	_, _ = fmt.Fprintln(w, "real ones without load. Real ones are seen at their door, late by 200 ms at the most.")
	_, _ = fmt.Fprintln(w, "\nday\tseed\trole\tprocesses\tbytes/s\tmost\tup\tdown\tmessages/s up\tdown\tKB\tmost\tCPU %\tmost")
	for _, p := range r.Plays {
		for _, x := range p.Roles {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.0f\t%.0f\t%.2f\t%.2f\n", p.Day, p.Seed, x.Role, x.Count, x.BytesS, x.MostBytes,
				x.UpS, x.DownS, x.UpMsgsS, x.DownMsgsS, x.KB, x.MostKB, 100*x.CPU, 100*x.MostCPU)
		}
	}
}

// writeLoad writes how many requests were sent and served, in total and inside each region.
func writeLoad(w io.Writer, r *scale.Result) {
	_, _ = fmt.Fprintln(w, "\nday\tseed\tin s\tMB of all\trequests beside\tserved")
	for _, p := range r.Plays {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.0f\t%.0f\t%d\t%d\n", p.Day, p.Seed, p.Seconds, p.MemoryMB, p.Load.Sent, p.Load.Served)
	}
	_, _ = fmt.Fprintln(w, "\nrequests inside a region\tregion\tseed\tbefore the cut\tserved\tduring it\tserved\tleft out, as they went to the other")
	for _, p := range r.Plays {
		for _, x := range p.Inside {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Day, x.Region, p.Seed, x.Before.Sent, x.Before.Served, x.During.Sent, x.During.Served, x.Outside)
		}
	}
}

// writeComparisons writes the comparisons of hollow with real sidecars.
func writeComparisons(w io.Writer, r *scale.Result) {
	_, _ = fmt.Fprintln(w, "\nhollow beside real\ta second\thollow\treal\tratio")
	for _, p := range r.Plays {
		for _, x := range p.Comparisons {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\t%.3f\n", x.Phase, x.What, x.Hollow, x.Real, x.Ratio)
		}
	}
}

// writeFindings writes the failed verdicts, and the errors that ended plays.
func writeFindings(w io.Writer, r *scale.Result) {
	for _, p := range r.Plays {
		for _, f := range p.Findings {
			_, _ = fmt.Fprintf(w, "\nFAILED %s, seed %d, %s, %s: %s", p.Day, p.Seed, f.Verdict, f.Process, f.Text)
		}
		if p.Error != "" {
			_, _ = fmt.Fprintf(w, "\nBROKEN OFF %s, seed %d: %s", p.Day, p.Seed, p.Error)
		}
	}
}

// labHollow returns the command that a scale run starts: a host of hollow sidecars, controlled through its standard input.
func (a *app) labHollow() *cobra.Command {
	return &cobra.Command{
		Use:     "hollow",
		Short:   "Host hollow sidecars for a scale run",
		Example: "  mosslead lab hollow",
		Hidden:  true,
		Args:    checkArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			slog.SetDefault(a.log) // hollow sidecars log to the default logger: warnings, but not their statistics
			return scale.Host(c.Context(), c.InOrStdin(), a.stdout)
		},
	}
}
