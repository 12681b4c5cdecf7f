package report

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"maps"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// chart describes a chart of lines over the load's time, with the faults as bands behind them.
type chart struct {
	title, axis string
	log         bool // logarithmic scale of the values
	minYMax     float64
	lines       []line
	bands       []Band
	legend      bool // drawn inside the chart; a page has its own beside it
}

type line struct {
	name string
	y    []float64 // one value for each step; below 0 there is none
	faint,
	dashed bool
}

// palette holds the colours of lines, which readers with red-green colour blindness can tell apart too.
var palette = []color.NRGBA{{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255}, {86, 180, 233, 255},
	{230, 159, 0, 255}, {60, 60, 60, 255}}

const minLogValue = 0.1 // ms; smaller values are drawn at this height

// draw returns the chart as a plot.
func (c chart) draw(step float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.X.Label.Text = c.title, c.axis, "s"
	p.Title.TextStyle.Font.Size, p.Y.Label.TextStyle.Font.Size, p.X.Label.TextStyle.Font.Size = vg.Points(12), vg.Points(10), vg.Points(10)
	p.Legend.TextStyle.Font.Size = vg.Points(9)
	p.Legend.Top, p.Legend.ThumbnailWidth = true, vg.Points(18)
	for _, f := range []*font.Font{&p.Title.TextStyle.Font, &p.X.Label.TextStyle.Font, &p.Y.Label.TextStyle.Font,
		&p.X.Tick.Label.Font, &p.Y.Tick.Label.Font, &p.Legend.TextStyle.Font} {
		f.Variant = "Sans"
	}
	low, high := math.Inf(1), c.minYMax
	longest := 0
	for _, l := range c.lines {
		longest = max(longest, len(l.y))
		for _, y := range l.y {
			if y >= 0 {
				low, high = min(low, y), max(high, y)
			}
		}
	}
	if math.IsInf(low, 1) {
		low = 0
	}
	p.Y.Min, p.Y.Max = 0, max(high*1.04, 0.01)
	if c.log {
		p.Y.Min, p.Y.Max = max(low*0.8, minLogValue), max(high*1.3, 2*minLogValue)
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	p.X.Min, p.X.Max = 0, max(float64(longest)*step, step)
	for i, b := range c.bands {
		from, to := max(b.From, 0), min(max(b.To, b.From+step/5), p.X.Max)
		if from >= p.X.Max {
			continue
		}
		band, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: p.Y.Min}, {X: to, Y: p.Y.Min}, {X: to, Y: p.Y.Max}, {X: from, Y: p.Y.Max}})
		if err != nil {
			return nil, err
		}
		band.Color, band.Width = color.NRGBA{90, 100, 115, uint8(34 + 14*(i%3))}, 0
		p.Add(band)
	}
	p.Add(plotter.NewGrid())
	for i, l := range c.lines {
		if err := c.add(p, l, i, step); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// add adds one line to a plot, in several pieces if it has gaps.
func (c chart) add(p *plot.Plot, l line, i int, step float64) error {
	var xy plotter.XYs
	named := false
	flush := func() error {
		if len(xy) == 0 {
			return nil
		}
		drawn, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		drawn.Color, drawn.Width = palette[i%len(palette)], vg.Points(1.6)
		if l.faint {
			drawn.Width = vg.Points(0.7)
		}
		if l.dashed {
			drawn.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		}
		p.Add(drawn)
		if c.legend && !named && l.name != "" {
			p.Legend.Add(l.name, drawn)
			named = true
		}
		xy = nil
		return nil
	}
	for j, y := range l.y {
		if y < 0 {
			if err := flush(); err != nil {
				return err
			}
			continue
		}
		if c.log {
			y = max(y, minLogValue)
		}
		xy = append(xy, plotter.XY{X: (float64(j) + 0.5) * step, Y: y})
	}
	return flush()
}

// svg returns the chart as an SVG element for a page.
func (c chart) svg(step float64) (template.HTML, error) {
	p, err := c.draw(step)
	if err != nil {
		return "", fmt.Errorf("chart %s: %w", c.title, err)
	}
	w, err := p.WriterTo(15*vg.Centimeter, 6.5*vg.Centimeter, "svg")
	if err != nil {
		return "", fmt.Errorf("chart %s: %w", c.title, err)
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", fmt.Errorf("chart %s: %w", c.title, err)
	}
	text := b.String()
	if at := strings.Index(text, "<svg"); at > 0 { // drops the XML header, which has no place inside a page
		text = text[at:]
	}
	return template.HTML(text), nil // safe: drawn from numbers, and the library escapes names
}

// legendKey is the name and colour of a line, for the legend of a page.
type legendKey struct{ Name, Colour string }

// keys returns the legend of the lines that have a name.
func (c chart) keys() (all []legendKey) {
	for i, l := range c.lines {
		if l.name != "" {
			p := palette[i%len(palette)]
			all = append(all, legendKey{l.name, fmt.Sprintf("#%02x%02x%02x", p.R, p.G, p.B)})
		}
	}
	return all
}

// charts returns the charts of a result. They show the first play of each variant, which have the same seed and so the same faults.
func (r *Result) charts() []chart {
	firsts := r.firstPlays()
	if len(firsts) == 0 {
		return nil
	}
	bands := firsts[0].Bands
	for _, p := range firsts {
		if len(p.Bands) > len(bands) {
			bands = p.Bands
		}
	}
	perVariant := func(title, axis string, minYMax float64, series func(*Play) []float64) chart {
		c := chart{title: title, axis: axis, minYMax: minYMax, bands: bands}
		for _, p := range firsts {
			c.lines = append(c.lines, line{name: p.Variant, y: series(p)})
		}
		return c
	}
	all := []chart{
		perVariant("Worth served", "share", 1, func(p *Play) []float64 { return p.Series.Served }),
		perVariant("In time", "share", 1, func(p *Play) []float64 { return p.Series.InTime }),
		perVariant("Refused", "share", 0.1, func(p *Play) []float64 { return p.Series.Refused }),
		perVariant("Attempts for each request", "attempts", 1.2, func(p *Play) []float64 { return p.Series.Attempts }),
	}
	for _, p := range firsts {
		all = append(all, chart{title: "Time to the answer: " + p.Variant, axis: "ms", log: true, bands: p.Bands,
			lines: []line{{name: "p50", y: p.Series.P50}, {name: "p99", y: p.Series.P99, dashed: true}, {name: "p99.9", y: p.Series.P999, faint: true}}})
	}
	for _, p := range firsts {
		c := chart{title: "Requests held by each upstream: " + p.Variant, axis: "requests", minYMax: 4, bands: p.Bands}
		names := slices.SortedFunc(maps.Keys(p.Series.Held), func(a, b string) int {
			return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
		})
		for _, name := range names {
			l := line{y: p.Series.Held[name], faint: true}
			if len(names) <= 12 {
				l.name = name
			}
			c.lines = append(c.lines, l)
		}
		all = append(all, c)
	}
	return all
}

// firstPlays returns the first play of each variant, a whole one if there is any.
func (r *Result) firstPlays() (firsts []*Play) {
	for _, v := range r.Variants {
		if plays := r.playsOf(v); len(plays) > 0 {
			firsts = append(firsts, plays[0])
		} else if i := slices.IndexFunc(r.Plays, func(p *Play) bool { return p.Variant == v }); i >= 0 {
			firsts = append(firsts, r.Plays[i]) // the variant has only partial plays
		}
	}
	return firsts
}

// Plot draws one chart of a result to w, in svg, png or pdf. title is the beginning of the chart's title, in any case of letters.
func (r *Result) Plot(w io.Writer, title, format string) error {
	for _, c := range r.charts() {
		if !strings.HasPrefix(strings.ToLower(c.title), strings.ToLower(title)) {
			continue
		}
		c.legend = true
		p, err := c.draw(seriesStep.Seconds())
		if err != nil {
			return err
		}
		to, err := p.WriterTo(18*vg.Centimeter, 9*vg.Centimeter, format)
		if err != nil {
			return err
		}
		_, err = to.WriteTo(w)
		return err
	}
	var titles []string
	for _, c := range r.charts() {
		titles = append(titles, fmt.Sprintf("%q", c.title))
	}
	return fmt.Errorf("no chart begins with %q; there are %s", title, strings.Join(titles, ", "))
}
