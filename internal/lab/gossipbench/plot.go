package gossipbench

import (
	"fmt"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"mosslead/internal/lab/chart"
)

// Plot draws the time until all members know over the number of sidecars, with a line for each loss. Several seeds are points
// of one line.
func Plot(path string, all []Result) error {
	p := plot.New()
	p.Title.Text = "What two sidecars leave out, until all know"
	p.X.Label.Text, p.Y.Label.Text = "sidecars", "ms"
	p.X.Scale, p.X.Tick.Marker, p.Y.Min = plot.LogScale{}, plot.LogTicks{Prec: 0}, 0
	byLoss := map[float64]plotter.XYs{}
	for _, r := range all {
		byLoss[r.Loss] = append(byLoss[r.Loss], plotter.XY{X: float64(r.Members), Y: r.KnownMs})
	}
	var lines []chart.Line
	for _, loss := range slices.Sorted(maps.Keys(byLoss)) {
		lines = append(lines, chart.Line{Name: fmt.Sprintf("loss %.0f%%", 100*loss), Points: byLoss[loss]})
	}
	return chart.SaveLines(p, lines, path)
}
