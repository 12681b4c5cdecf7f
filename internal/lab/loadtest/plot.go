package loadtest

import (
	"cmp"
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot draws how late a change is heard against the number of watchers, a line for each number of entries.
func Plot(path string, all []Watchers) error {
	p := plot.New()
	p.Title.Text = "A change of the list, until 99 of 100 watchers have it"
	p.X.Label.Text, p.Y.Label.Text = "watchers of one replica", "ms"
	p.Y.Min = 0
	by := map[int]plotter.XYs{}
	for _, w := range all {
		by[w.Entries] = append(by[w.Entries], plotter.XY{X: float64(w.Watchers), Y: w.P99Ms})
	}
	var lines []any
	var entries []int
	for n := range by {
		entries = append(entries, n)
	}
	slices.Sort(entries)
	for _, n := range entries {
		xy := by[n]
		slices.SortFunc(xy, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
		lines = append(lines, fmt.Sprintf("%d entries", n), xy)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
