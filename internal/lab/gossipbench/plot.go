package gossipbench

import (
	"cmp"
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot draws when all know against the number of sidecars, a line for each loss; several seeds are points of one line.
func Plot(path string, all []Result) error {
	p := plot.New()
	p.Title.Text = "What two sidecars leave out, until all know"
	p.X.Label.Text, p.Y.Label.Text = "sidecars", "ms"
	p.X.Scale, p.X.Tick.Marker, p.Y.Min = plot.LogScale{}, plot.LogTicks{Prec: 0}, 0
	by := map[float64]plotter.XYs{}
	var losses []float64
	for _, r := range all {
		if by[r.Loss] == nil {
			losses = append(losses, r.Loss)
		}
		by[r.Loss] = append(by[r.Loss], plotter.XY{X: float64(r.Members), Y: r.KnownMs})
	}
	slices.Sort(losses)
	var lines []any
	for _, loss := range losses {
		slices.SortStableFunc(by[loss], func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
		lines = append(lines, fmt.Sprintf("loss %.0f%%", 100*loss), by[loss])
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
