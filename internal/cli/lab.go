package cli

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"mosslead/internal/lab/campaign"
	"mosslead/internal/lab/capacity"
	"mosslead/internal/lab/experiment"
	"mosslead/internal/lab/fake"
	"mosslead/internal/lab/report"
)

// threadsPerProcessor is the factor by which GOMAXPROCS of the laboratory exceeds the number of processors.
const threadsPerProcessor = 4

func (a *app) lab() *cobra.Command {
	c := group(&cobra.Command{
		Use:   "lab",
		Short: "Play experiments: real sidecars, load, faults, verdicts and pictures",
		Long: "The laboratory plays experiments on this machine's loopback addresses: real sidecar processes, stand-in upstreams and\n" +
			"discovery, clients whose load is drawn from a seed, and faults on a timeline.",
		Example: "  mosslead lab list\n  mosslead lab run experiments/crash.toml\n  mosslead lab faults",
	})
	c.AddCommand(a.labRun(), a.labList(), a.labCompare(), a.labPlot(), a.labFaults(), a.labService(), a.labCapacity(), a.labScale(), a.labHollow(), a.labDuties(), a.labCandidate(), a.labNaive())
	return c
}

func (a *app) labRun() *cobra.Command {
	var out, format string
	var seeds []uint
	var repeats int
	var variants []string
	var keep bool
	c := &cobra.Command{
		Use:   "run EXPERIMENT.toml",
		Short: "Play an experiment and report on it",
		Long: "Plays all variants of an experiment in turn, prints medians with their spread, and leaves result.json, histograms\n" +
			"and index.html in the directory of the result. Exit status 1: an expectation failed, or it was broken off.",
		Example: "  mosslead lab run experiments/crash.toml\n  mosslead lab run experiments/calm.toml --repeats 5 --out /tmp/calm -o json",
		Args:    checkArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := experiment.LoadFile(args[0])
			if err != nil {
				return usageError{err}
			}
			if err := selectPlays(e, seeds, repeats, variants); err != nil {
				return err
			}
			if format != "table" && format != "json" {
				return usageError{fmt.Errorf("-o: %q is neither table nor json", format)}
			}
			dir := resultDir(out, e.Name)
			// With more threads than processors, a thread that the kernel has descheduled delays fewer clients.
			runtime.GOMAXPROCS(threadsPerProcessor * runtime.NumCPU())
			self, err := executable()
			if err != nil {
				return err
			}
			r, err := campaign.Run(c.Context(), e, campaign.Options{Dir: dir, Self: []string{self, "lab", "naive"},
				Replica: []string{self, "registry", "serve", "--config"}, KeepLogs: keep, Log: a.log, Progress: a.progress})
			if r != nil {
				if err := a.writeResult(r, format, dir); err != nil {
					return err
				}
			}
			if err != nil {
				return err
			}
			if !r.Held() {
				return fmt.Errorf("%s: an expectation failed", e.Name)
			}
			return nil
		},
	}
	c.Flags().StringVar(&out, "out", "", "directory of the result (logs/lab/NAME-TIME)")
	c.Flags().UintSliceVar(&seeds, "seeds", nil, "play these seeds instead of the experiment's")
	c.Flags().IntVar(&repeats, "repeats", 0, "plays of each variant with each seed, instead of the experiment's")
	c.Flags().StringSliceVar(&variants, "variants", nil, "play only these variants")
	c.Flags().BoolVar(&keep, "keep-logs", false, "keep the sidecars' logs of plays in which all was well")
	c.Flags().StringVarP(&format, "output", "o", "table", "table or json")
	return c
}

// writeResult writes the result of an experiment to standard output, and the path of its report to standard error.
func (a *app) writeResult(r *report.Result, format, dir string) error {
	if format == "json" {
		enc := json.NewEncoder(a.stdout)
		enc.SetIndent("", " ")
		if err := enc.Encode(map[string]any{"medians": r.Medians, "expects": r.Expects, "partial": r.Partial, "dir": dir}); err != nil {
			return err
		}
	} else {
		a.writeTable(r)
	}
	_, _ = fmt.Fprintf(a.stderr, "report: %s\n", filepath.Join(dir, "index.html"))
	return nil
}

// selectPlays restricts an experiment to the seeds, repeats and variants of the flags.
func selectPlays(e *experiment.Experiment, seeds []uint, repeats int, variants []string) error {
	if len(seeds) > 0 {
		e.Seeds = nil
		for _, s := range seeds {
			e.Seeds = append(e.Seeds, uint64(s))
		}
	}
	if repeats < 0 {
		return usageError{fmt.Errorf("--repeats: %d is below 0", repeats)}
	}
	if repeats > 0 {
		e.Repeats = repeats
	}
	if len(variants) == 0 {
		return nil
	}
	for _, v := range variants {
		if !slices.ContainsFunc(e.Variants, func(x experiment.Variant) bool { return x.Name == v }) {
			return usageError{fmt.Errorf("--variants: there is no variant %q", v)}
		}
	}
	selected := func(v string) bool { return v == "" || slices.Contains(variants, v) }
	e.Variants = slices.DeleteFunc(e.Variants, func(x experiment.Variant) bool { return !selected(x.Name) })
	e.Expects = slices.DeleteFunc(e.Expects, func(x experiment.Expect) bool { return !selected(x.Variant) || !selected(x.RatioTo) })
	return nil
}

// progress shows how far a run has got, if standard error is a terminal.
func (a *app) progress(done, total int, what string) {
	if !a.terminal {
		return
	}
	_, _ = fmt.Fprintf(a.stderr, "\r\033[K%d of %d  %s", done, total, what)
	if done == total {
		_, _ = fmt.Fprint(a.stderr, "\r\033[K")
	}
}

// writeTable writes a result as text: medians of each variant, expectations, and doubts about plays.
func (a *app) writeTable(r *report.Result) {
	w := tabwriter.NewWriter(a.stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "%s\t%s\n", "figure", strings.Join(r.Variants, "\t"))
	for _, name := range report.Names {
		row, hasValue := []string{name[0]}, false
		for _, v := range r.Variants {
			s, ok := r.Medians[v][name[0]]
			hasValue = hasValue || ok
			switch {
			case !ok:
				row = append(row, "-")
			case s.Plays == 1 || s.Least == s.Most:
				row = append(row, fmt.Sprintf("%.4g", s.Median))
			default:
				row = append(row, fmt.Sprintf("%.4g (%.4g to %.4g)", s.Median, s.Least, s.Most))
			}
		}
		if hasValue {
			_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
		}
	}
	_ = w.Flush()
	_, _ = fmt.Fprintln(a.stdout)
	for _, expect := range r.Expects {
		verdict := "held  "
		if !expect.Held {
			verdict = "FAILED"
		}
		_, _ = fmt.Fprintf(a.stdout, "%s  %s: %s\n", verdict, expect.Says, expect.Shows)
	}
	for _, p := range r.Plays {
		for _, doubt := range slices.Concat(p.Doubts, p.Notes) {
			_, _ = fmt.Fprintf(a.stdout, "DOUBT   %s, seed %d, play %d: %s\n", p.Variant, p.Seed, p.Repeat+1, doubt)
		}
	}
}

func (a *app) labList() *cobra.Command {
	dir := "experiments"
	c := &cobra.Command{
		Use:     "list",
		Short:   "List the experiments at hand, each with its question",
		Example: "  mosslead lab list\n  mosslead lab list --dir mine",
		Args:    checkArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			paths, err := filepath.Glob(filepath.Join(dir, "*.toml"))
			if err != nil {
				return usageError{err}
			}
			if len(paths) == 0 {
				return usageError{fmt.Errorf("no experiments in %s", dir)}
			}
			w := tabwriter.NewWriter(a.stdout, 0, 4, 2, ' ', 0)
			for _, path := range paths {
				e, err := experiment.LoadFile(path)
				if f, fleetErr := capacity.LoadFleet(path); err != nil && fleetErr == nil { // the file holds figures of a fleet, not an experiment
					_, _ = fmt.Fprintf(w, "%s\t%s\n", path, f.Question)
					continue
				}
				if err != nil {
					_, _ = fmt.Fprintf(w, "%s\t%v\n", path, err)
					continue
				}
				_, _ = fmt.Fprintf(w, "%s\t%s\n", path, e.Question)
			}
			return w.Flush()
		},
	}
	c.Flags().StringVar(&dir, "dir", dir, "where experiments are")
	return c
}

func (a *app) labCompare() *cobra.Command {
	var variantA, variantB, format string
	c := &cobra.Command{
		Use:   "compare A B",
		Short: "Set two results side by side, as ratios with 95% intervals",
		Long: "Compares a variant of one result with a variant of another, which may be the same result. Each ratio of medians has an\n" +
			"interval by bootstrap; where that holds 1, no difference was seen.",
		Example: "  mosslead lab compare logs/lab/calm-1 logs/lab/calm-2\n  mosslead lab compare R R --variant-a with --variant-b without",
		Args:    checkArgs(cobra.ExactArgs(2)),
		RunE: func(_ *cobra.Command, args []string) error {
			resultA, err := report.Read(args[0])
			if err != nil {
				return usageError{err}
			}
			resultB, err := report.Read(args[1])
			if err != nil {
				return usageError{err}
			}
			if variantA == "" {
				variantA = resultA.Variants[0]
			}
			if variantB == "" {
				variantB = resultB.Variants[0]
			}
			ratios, err := report.Compare(resultA, variantA, resultB, variantB)
			if err != nil {
				return usageError{err}
			}
			if format == "json" {
				return json.NewEncoder(a.stdout).Encode(ratios)
			}
			w := tabwriter.NewWriter(a.stdout, 0, 4, 2, ' ', 0)
			_, _ = fmt.Fprintf(w, "figure\t%s\t%s\tratio\t95%%\tplays\t\n", variantA, variantB)
			for _, r := range ratios {
				interval := "-"
				if r.High > 0 {
					interval = fmt.Sprintf("%.3f to %.3f", r.Low, r.High)
				}
				_, _ = fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.3f\t%s\t%d\t%s\n", r.Figure, r.A, r.B, r.Value, interval, r.Compared, r.Verdict)
			}
			return w.Flush()
		},
	}
	c.Flags().StringVar(&variantA, "variant-a", "", "variant of A (its first)")
	c.Flags().StringVar(&variantB, "variant-b", "", "variant of B (its first)")
	c.Flags().StringVarP(&format, "output", "o", "table", "table or json")
	return c
}

func (a *app) labPlot() *cobra.Command {
	var chart, path string
	c := &cobra.Command{
		Use:     "plot RESULT",
		Short:   "Draw one picture of a result into a file",
		Example: "  mosslead lab plot logs/lab/crash-1 --chart worth --to worth.png",
		Args:    checkArgs(cobra.ExactArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			r, err := report.Read(args[0])
			if err != nil {
				return usageError{err}
			}
			format := strings.TrimPrefix(filepath.Ext(path), ".")
			if !slices.Contains([]string{"svg", "png", "pdf"}, format) {
				return usageError{fmt.Errorf("--to: %q does not end in svg, png or pdf", path)}
			}
			f, err := os.Create(path)
			if err != nil {
				return usageError{err}
			}
			defer func() { _ = f.Close() }()
			if err := r.Plot(f, chart, format); err != nil {
				return usageError{err}
			}
			return f.Close()
		},
	}
	c.Flags().StringVar(&chart, "chart", "worth", "the first words of the chart's title")
	c.Flags().StringVar(&path, "to", "plot.svg", "file to write")
	return c
}

func (a *app) labFaults() *cobra.Command {
	return &cobra.Command{
		Use:     "faults",
		Short:   "List the faults that an experiment can have",
		Example: "  mosslead lab faults",
		Args:    checkArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			w := tabwriter.NewWriter(a.stdout, 0, 4, 2, ' ', 0)
			_, _ = fmt.Fprintln(w, "kind\tof\twhat it does")
			for _, kind := range slices.Sorted(maps.Keys(experiment.FaultKinds)) {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", kind, experiment.FaultKinds[kind].Party, experiment.FaultKinds[kind].Says)
			}
			return w.Flush()
		},
	}
}

// labNaive returns the command that the laboratory starts for a variant with program = "naive".
func (a *app) labNaive() *cobra.Command {
	var breaks string
	c := &cobra.Command{
		Use:     "naive",
		Short:   "Run the naive sidecar, which can break one rule on purpose",
		Example: "  GW_CONFIG=config.json mosslead lab naive --break two-at-once",
		Hidden:  true,
		Args:    checkArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			return fake.RunNaive(c.Context(), os.Getenv("GW_CONFIG"), breaks)
		},
	}
	c.Flags().StringVar(&breaks, "break", "", "the rule to break")
	return c
}
