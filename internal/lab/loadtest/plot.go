package loadtest

import (
	"fmt"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"mosslead/internal/lab/chart"
)

// Plot draws how late a change is heard against the number of watchers, a line for each number of entries.
func Plot(path string, all []Watchers) error {
	p := plot.New()
	p.Title.Text = "A change of the list, until 99 of 100 watchers have it"
	p.X.Label.Text, p.Y.Label.Text = "watchers of one replica", "ms"
	p.Y.Min = 0
	byEntries := map[int]plotter.XYs{}
	for _, w := range all {
		byEntries[w.Entries] = append(byEntries[w.Entries], plotter.XY{X: float64(w.Watchers), Y: w.P99Ms})
	}
	var lines []chart.Line
	for _, entries := range slices.Sorted(maps.Keys(byEntries)) {
		lines = append(lines, chart.Line{Name: fmt.Sprintf("%d entries", entries), Points: byEntries[entries]})
	}
	return chart.SaveLines(p, lines, path)
}
