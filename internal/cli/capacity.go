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

	"github.com/spf13/cobra"

	"mosslead/internal/lab/capacity"
	"mosslead/internal/lab/capacity/plays"
)

// Default paths of the file of the fleet's figures and of the directory of measures, relative to the root of the repository.
const (
	capacityFleet    = "experiments/capacity.toml"
	capacityMeasures = "docs/capacity"
)

func (a *app) labCapacity() *cobra.Command {
	var fleet, measures, page string
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Work out what a fleet asks of each role, and what is left of each budget",
		Long: "Works the load of a fleet and the table of docs/CAPACITY.md out of the fleet's figures and of measures at smaller sizes. What was\n" +
			"not measured is said so. --page renews what is worked out in a page, and leaves the rest of it.",
		Example: "  mosslead lab capacity\n  mosslead lab capacity --fleet mine.toml -o json\n  mosslead lab capacity --page docs/CAPACITY.md\n  mosslead lab capacity measure watchers",
		Args:    checkArgs(cobra.NoArgs),
	}
	format := outputFlag(c)
	c.Flags().StringVar(&fleet, "fleet", capacityFleet, "the fleet's figures and what is assumed")
	c.Flags().StringVar(&measures, "measures", capacityMeasures, "directory of measures")
	c.Flags().StringVar(&page, "page", "", "a Markdown page whose worked out parts are to be renewed")
	c.RunE = func(*cobra.Command, []string) error {
		f, err := capacity.LoadFleet(fleet)
		if err != nil {
			return usageError{err}
		}
		m, err := capacity.ReadMeasures(measures)
		if err != nil {
			return usageError{err}
		}
		t, err := capacity.Build(f, m)
		if err != nil {
			return err
		}
		if page == "" {
			return a.print(*format, t, func(w io.Writer) { writeCapacity(w, t) })
		}
		old, err := os.ReadFile(page)
		if err != nil {
			return usageError{fmt.Errorf("--page: %w", err)}
		}
		text, err := t.Renew(string(old))
		if err != nil {
			return usageError{fmt.Errorf("--page: %s: %w", page, err)}
		}
		return os.WriteFile(page, []byte(text), 0o644)
	}
	c.AddCommand(a.labCapacityMeasure(), a.labCapacityTake())
	return c
}

// writeCapacity writes t as text columns.
func writeCapacity(w io.Writer, t *capacity.Table) {
	_, _ = fmt.Fprintln(w, "load\tvalue\tunit")
	for _, q := range t.Load {
		_, _ = fmt.Fprintf(w, "%s\t%.4g\t%s\n", q.What, q.Value, q.Unit)
	}
	for _, part := range []struct {
		name string
		rows []capacity.Row
	}{{"before", t.Rows}, {"after", t.After}} {
		if len(part.rows) == 0 {
			continue
		}
		_, _ = fmt.Fprintf(w, "\nrole (%s)\twhat\tday\tfigure\t95%%\tunit\tbudget\tbudget/figure\tcarried\n", part.name)
		for _, r := range part.rows {
			figure, interval, budget, headroom := "not measured", "-", "-", "-"
			if r.Figure != nil {
				figure, interval = fmt.Sprintf("%.4g", r.Figure.Value), fmt.Sprintf("%.4g to %.4g", r.Figure.Low, r.Figure.High)
			}
			if r.Budget > 0 {
				budget = fmt.Sprintf("%.4g", r.Budget)
			}
			if r.Left() > 0 {
				headroom = fmt.Sprintf("%.3g", r.Left())
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%v\n", r.Role, r.What, r.Day, figure, interval, r.Unit, budget, headroom, r.Carried)
		}
	}
	_, _ = fmt.Fprintln(w, "\nmissing first\twhat\twhy\ta year\tfigure/budget")
	for _, c := range t.Missing {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%.3g\n", c.Row.Role, c.Row.What, c.Why, c.PerYear, c.Over)
	}
}

func (a *app) labCapacityTake() *cobra.Command {
	var measures string
	var predict int
	var check bool
	c := &cobra.Command{
		Use:   "take DAY RESULT...",
		Short: "Make a measure of results of the scale run at several sizes",
		Long: "Takes what roles spent on a day out of results of `mosslead lab scale -o json` at four sizes or more, and writes scale-DAY.json with\n" +
			"what they say of --predict sidecars. With --check the results are of that size, and are written beside the prediction.",
		Example: "  mosslead lab capacity take steady 100.json 200.json 400.json 800.json\n  mosslead lab capacity take steady --check 1812.json",
		Args:    checkArgs(cobra.MinimumNArgs(2)),
	}
	c.Flags().StringVar(&measures, "measures", capacityMeasures, "directory of measures")
	c.Flags().IntVar(&predict, "predict", 1812, "sidecars, hollow and real, of which a play is predicted")
	c.Flags().BoolVar(&check, "check", false, "the results are of the size that was predicted")
	c.RunE = func(_ *cobra.Command, args []string) error {
		var results [][]byte
		for _, path := range args[1:] {
			text, err := os.ReadFile(path)
			if err != nil {
				return usageError{err}
			}
			results = append(results, text)
		}
		var m *capacity.Measure
		var err error
		if check {
			if m, err = capacity.ReadMeasure(filepath.Join(measures, "scale-"+args[0]+".json")); err == nil {
				err = m.CheckScale(args[0], results)
			}
		} else {
			m, err = capacity.FromScale(args[0], results, float64(predict))
		}
		if err != nil {
			return usageError{err}
		}
		return m.Write(measures)
	}
	return c
}

func (a *app) labCapacityMeasure() *cobra.Command {
	var measures, out string
	var check bool
	c := &cobra.Command{
		Use:   "measure NAME",
		Short: "Play a measure at several sizes and predict the next, or play what was predicted",
		Long: "Plays a measure at several sizes on this machine, each for some seconds, and writes NAME.json with what they say of a size that was\n" +
			"not played. With --check that size is played, and what came is written beside the prediction. Measures: " + strings.Join(plays.Names(), ", ") + ".",
		Example: "  mosslead lab capacity measure watchers\n  mosslead lab capacity measure watchers --check",
		Args:    checkArgs(cobra.ExactArgs(1)),
	}
	format := outputFlag(c)
	c.Flags().StringVar(&measures, "measures", capacityMeasures, "directory of measures")
	c.Flags().StringVar(&out, "out", "", "directory of programs and logs (logs/lab/capacity-TIME)")
	c.Flags().BoolVar(&check, "check", false, "play the size that was predicted")
	c.RunE = func(c *cobra.Command, args []string) error {
		var m *capacity.Measure
		var err error
		if check {
			if m, err = readPrediction(measures, args[0]); err != nil {
				return usageError{err}
			}
		} else if !slices.Contains(plays.Names(), args[0]) { // checked before the sidecar is built
			return usageError{fmt.Errorf("%w %q: there are %s", plays.ErrUnknown, args[0], strings.Join(plays.Names(), ", "))}
		}
		p, err := a.newPlayer(c.Context(), out)
		if err != nil {
			return err
		}
		if check {
			err = p.Check(c.Context(), m)
		} else {
			m, err = p.Measure(c.Context(), args[0])
		}
		if errors.Is(err, plays.ErrUnknown) {
			return usageError{err}
		}
		if err != nil {
			return err
		}
		if err := m.Write(measures); err != nil {
			return err
		}
		return a.print(*format, m, func(w io.Writer) { measureTable(w, m) })
	}
	return c
}

// readPrediction reads a measure that has a prediction.
func readPrediction(measures, name string) (*capacity.Measure, error) {
	m, err := capacity.ReadMeasure(filepath.Join(measures, name+".json"))
	if err != nil {
		return nil, err
	}
	if m.Prediction == nil {
		return nil, fmt.Errorf("%s: nothing was predicted", name)
	}
	return m, nil
}

// newPlayer creates the result directory, builds the sidecar, and returns a player of measures.
func (a *app) newPlayer(ctx context.Context, out string) (*plays.Player, error) {
	dir, err := createResultDir(out, "capacity")
	if err != nil {
		return nil, err
	}
	built, err := buildPrograms(ctx, dir)
	if err != nil {
		return nil, err
	}
	return &plays.Player{Service: built.service, Sidecar: built.sidecar, Dir: dir, Revision: built.revision, Progress: a.progress}, nil
}

// measureTable writes m as text columns: a row for each series, with its slope, the prediction and the mean of the checks.
func measureTable(w io.Writer, m *capacity.Measure) {
	_, _ = fmt.Fprintln(w, "series\tunit\tstraight in\tslope\t95%\tpredicted\tcame")
	for _, s := range m.Series {
		_, l, err := m.Line(s.Name)
		if err != nil {
			continue // does not occur: Write has checked the series
		}
		predicted, measured := m.Prediction.Says[s.Name], "-"
		if len(m.Checks) > 0 {
			sum := 0.0
			for _, check := range m.Checks {
				sum += check.Got[s.Name]
			}
			measured = fmt.Sprintf("%.4g", sum/float64(len(m.Checks)))
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%.4g to %.4g\t%.4g (%.4g to %.4g)\t%s\n", s.Name, s.Unit, s.Form, l.Slope.Value, l.Slope.Low, l.Slope.High,
			predicted.Value, predicted.Low, predicted.High, measured)
	}
}
