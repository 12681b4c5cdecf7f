// Package chart saves the plots of the laboratory's measurements.
package chart

import (
	"cmp"
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot of lines.
const (
	linesWidth  = 16 * vg.Centimeter
	linesHeight = 10 * vg.Centimeter
)

// Line is a named line of points.
type Line struct {
	Name   string
	Points plotter.XYs
}

// SaveLines adds lines to a plot, with their points sorted by X, and saves it to a file whose extension gives the format.
func SaveLines(p *plot.Plot, lines []Line, path string) error {
	var all []any
	for _, l := range lines {
		slices.SortStableFunc(l.Points, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
		all = append(all, l.Name, l.Points)
	}
	if err := plotutil.AddLinePoints(p, all...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return Save(p, linesWidth, linesHeight, path)
}

// Save saves a plot to a file whose extension gives the format.
func Save(p *plot.Plot, width, height vg.Length, path string) error {
	if err := p.Save(width, height, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
