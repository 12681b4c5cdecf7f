package scale

import (
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"mosslead/internal/lab/chart"
)

// Plot draws how late changes were in force: for each day and cause the median, 99 of 100 and the latest.
func Plot(path string, r *Result) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("From a change's acceptance until it is in force, %d hollow and %d real sidecars", r.Hollow, r.Real)
	p.Y.Label.Text, p.Y.Min = "ms", 0
	var names []string
	var lines []any
	for i, what := range []string{"median", "99 of 100", "latest"} {
		var points plotter.XYs
		for _, play := range r.Plays {
			for _, d := range play.Delays {
				name := play.Day + ", " + d.Cause
				if !slices.Contains(names, name) {
					names = append(names, name)
				}
				points = append(points, plotter.XY{X: float64(slices.Index(names, name)), Y: []float64{d.P50Ms, d.P99Ms, d.MostMs}[i]})
			}
		}
		if len(points) > 0 {
			lines = append(lines, what, points)
		}
	}
	if len(lines) == 0 { // nothing was changed
		return nil
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.9
	p.X.Tick.Label.XAlign = -1
	if err := plotutil.AddScatters(p, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return chart.Save(p, 24*vg.Centimeter, 14*vg.Centimeter, path)
}
