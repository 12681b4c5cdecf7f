package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Kinds of day that a row is for.
const (
	Steady = "steady day"
	Change = "one change"
	Worst  = "worst minute"
)

// None is the mechanism of a row that no part of the program carries.
const None = "none"

const daysPerYear = 365

// Row is one quantity that a role bears on a kind of day.
type Row struct {
	Role string `json:"role"`
	What string `json:"what"`
	Day  string `json:"day"`
	Unit string `json:"unit"`
	// Figure is the value at the fleet's size; nil if it was not measured.
	Figure *Interval `json:"figure,omitempty"`
	// Budget is the largest value allowed; 0 if nobody named one, which BudgetFrom states.
	Budget     float64 `json:"budget,omitempty"`
	BudgetFrom string  `json:"budget_from"`
	// Slopes are the fitted lines behind the figure.
	Slopes    []Slope `json:"slopes,omitempty"`
	Mechanism string  `json:"mechanism"` // package and type of the code; or None, which may be followed by what exists instead
	Carried   bool    `json:"carried"`
	PerYear   float64 `json:"per_year"` // how often such a day comes
	Touches   float64 `json:"touches"`  // processes affected each time; 0: all
	Note      string  `json:"note,omitempty"`
}

// Slope is the fitted line of one series, with its form evaluated at one size.
type Slope struct {
	Measure  string   `json:"measure"`
	Series   string   `json:"series"`
	Unit     string   `json:"unit"`
	Form     string   `json:"form"`
	Slope    Interval `json:"slope"`
	Constant float64  `json:"constant"`
	Sizes    int      `json:"sizes"`
	At       float64  `json:"at"`     // the form's value for the fleet
	Beyond   float64  `json:"beyond"` // ratio of At to the largest value of the form that was measured
	// Refuted is the ratio of the measured to the predicted value, if the measured value was outside the interval and
	// the ratio is above 1.25 or below 1/1.25; otherwise 0.
	Refuted float64 `json:"refuted,omitempty"`
	// Exchange is the processor time of both ends of a bare exchange in the same runs, and ExchangeMedian its duration, in µs; 0
	// if not measured.
	Exchange       float64 `json:"exchange_cpu_us,omitempty"`
	ExchangeMedian float64 `json:"exchange_us,omitempty"`
	Revision       string  `json:"revision"`
	Command        string  `json:"command"`
}

// Left returns the ratio of the budget to the figure, or 0 if one of them is missing.
func (r Row) Left() float64 {
	if r.Figure == nil || r.Budget == 0 || !(r.Figure.Value > 0) {
		return 0
	}
	return r.Budget / r.Figure.Value
}

// Over reports whether the figure is above its budget.
func (r Row) Over() bool { return r.Left() > 0 && r.Left() < 1 }

// Table holds all results that are calculated from a fleet and measures.
type Table struct {
	Fleet    *Fleet     `json:"fleet"`
	Load     []Quantity `json:"load"`
	Rows     []Row      `json:"rows"`
	After    []Row      `json:"after"`   // with documents and regions, see afterRows
	Missing  []Claim    `json:"missing"` // rows that lack a mechanism or exceed their budget, the most pressing first
	Measures []Checked  `json:"measures"`

	measures []*Measure // as they were read, sorted by name
}

// Claim is a row that no mechanism carries or that is over its budget.
type Claim struct {
	Row     Row     `json:"row"`
	Why     string  `json:"why"`
	PerYear float64 `json:"per_year"`
	Touches float64 `json:"touches"`        // processes affected each time
	Over    float64 `json:"over,omitempty"` // the figure divided by its budget
}

// Checked compares the prediction for a series with what was measured.
type Checked struct {
	Measure  string             `json:"measure"`
	Series   string             `json:"series"`
	Unit     string             `json:"unit"`
	Form     string             `json:"form"`
	Sizes    map[string]float64 `json:"sizes"`
	Slope    Interval           `json:"slope"`
	Says     Interval           `json:"says"`
	Came     float64            `json:"came"`
	Played   bool               `json:"played"`
	Command  string             `json:"command"`
	Revision string             `json:"revision"`
}

// Build calculates the table.
func Build(f *Fleet, m Measures) (*Table, error) {
	b := &builder{fleet: f, measures: m, load: f.Work()}
	t := &Table{Fleet: f, Load: b.load.Quantities}
	t.Rows = b.rows()
	t.After = b.afterRows()
	if b.err != nil {
		return nil, b.err
	}
	t.Missing = claimsOf(t.Rows, f.Operators.Upstreams.Value)
	for _, name := range m.names() {
		t.measures = append(t.measures, m[name])
		all, err := m[name].compareChecks()
		if err != nil {
			return nil, err
		}
		t.Measures = append(t.Measures, all...)
	}
	return t, nil
}

// claimsOf returns the rows without a carrier, ordered by how often their day comes times the processes it affects, and then those over
// their budget, ordered by the same product times the figure over the budget.
func claimsOf(rows []Row, processes float64) (claims []Claim) {
	for _, r := range rows {
		c := Claim{Row: r, Why: "no carrier", PerYear: r.PerYear, Touches: cmp.Or(r.Touches, processes)}
		if r.Left() > 0 {
			c.Over = 1 / r.Left()
		}
		if r.Carried {
			c.Why = "over its budget"
		}
		if !r.Carried || r.Over() {
			claims = append(claims, c)
		}
	}
	slices.SortStableFunc(claims, func(a, b Claim) int {
		switch {
		case a.Row.Carried && !b.Row.Carried:
			return 1
		case b.Row.Carried && !a.Row.Carried:
			return -1
		case a.Row.Carried:
			return cmp.Compare(b.Over*b.PerYear*b.Touches, a.Over*a.PerYear*a.Touches)
		}
		return cmp.Compare(b.PerYear*b.Touches, a.PerYear*a.Touches)
	})
	return claims
}

// compareChecks compares the prediction of each series with the mean of its checks.
func (m *Measure) compareChecks() (all []Checked, err error) {
	for _, s := range m.Series {
		line, err := m.fit(s)
		if err != nil {
			return nil, fmt.Errorf("%s: %s: %w", m.Name, s.Name, err)
		}
		c := Checked{Measure: m.Name, Series: s.Name, Unit: s.Unit, Form: s.Form, Slope: line.Slope, Command: m.Command, Revision: m.Revision}
		if m.Prediction != nil {
			c.Sizes, c.Says = m.Prediction.Sizes, m.Prediction.Says[s.Name]
		}
		c.Came, c.Played = m.checkMean(s.Name), len(m.Checks) > 0
		all = append(all, c)
	}
	return all, nil
}

const refutationFactor = 1.25

// refutedRatio returns the ratio of the measured to the predicted value if the prediction is refuted, and 0 otherwise; see Slope.
func (m *Measure) refutedRatio(series string) float64 {
	if m.Prediction == nil || len(m.Checks) == 0 {
		return 0
	}
	predicted, measured := m.Prediction.Says[series], m.checkMean(series)
	if ratio := measured / predicted.Value; !predicted.Holds(measured) && predicted.Value > 0 && (ratio > refutationFactor || ratio < 1/refutationFactor) {
		return ratio
	}
	return 0
}

// checkMean returns the mean of the checks, which were taken at the predicted size.
func (m *Measure) checkMean(series string) (mean float64) {
	for _, x := range m.Checks {
		mean += x.Got[series] / float64(len(m.Checks))
	}
	return mean
}

// checkedFigure returns the mean of a series' checks, or no figure if there are none.
func (b *builder) checkedFigure(measure, series string) figure {
	m, ok := b.measures[measure]
	if !ok || len(m.Checks) == 0 {
		return figure{}
	}
	return exactFigure(m.checkMean(series))
}

// sampleMean returns the mean of a value in all samples, or 0 if a sample lacks it.
func (m *Measure) sampleMean(name string) (mean float64) {
	for _, x := range m.Samples {
		got, ok := x.Got[name]
		if !ok {
			return 0
		}
		mean += got / float64(len(m.Samples))
	}
	return mean
}

// exchanges returns the figure, if it is a duration or a processor time, as a number of bare exchanges of the machine that it was
// measured on. n is 0 if the figure has another unit or no exchange was measured.
func (r Row) exchanges() (n float64, unit string) {
	if r.Figure == nil || len(r.Slopes) == 0 {
		return 0, ""
	}
	s := r.Slopes[0]
	for _, other := range r.Slopes {
		if other.Exchange != s.Exchange && other.Exchange > 0 {
			s.Exchange = (s.Exchange + other.Exchange) / 2 // both were measured on the same machine
		}
	}
	switch {
	case r.Unit == "of a core" && s.Exchange > 0:
		return r.Figure.Value * 1e6 / s.Exchange, "a second"
	case r.Unit == "ms" && s.ExchangeMedian > 0:
		return r.Figure.Value * 1e3 / s.ExchangeMedian, "in time"
	case r.Unit == "ms" && s.Exchange > 0:
		return r.Figure.Value * 1e3 / s.Exchange, "in processor time"
	}
	return 0, ""
}

// builder calculates rows; err is the first error.
type builder struct {
	fleet    *Fleet
	measures Measures
	load     Load
	err      error
}

// figure is a value and the slopes behind it; the Interval is nil if it was not measured.
type figure struct {
	*Interval
	slopes []Slope
}

// estimate returns the value of a series' fitted line at the given sizes, or no figure if the measure is missing.
func (b *builder) estimate(measure, series string, sizes map[string]float64) figure {
	m, ok := b.measures[measure]
	if !ok {
		return figure{}
	}
	s, line, err := m.Line(series)
	var x float64
	if err == nil {
		x, err = formValue(s.Form, sizes)
	}
	if err != nil {
		b.err = cmp.Or(b.err, fmt.Errorf("%s: %s: %w", measure, series, err))
		return figure{}
	}
	largest := math.Inf(-1)
	for _, played := range slices.Concat(m.Samples, m.Checks) {
		if v, err := formValue(s.Form, played.Sizes); err == nil {
			largest = max(largest, v)
		}
	}
	value := line.At(x)
	return figure{&value, []Slope{{Measure: measure, Series: s.Name, Unit: s.Unit, Form: s.Form, Slope: line.Slope, Constant: line.Constant, Sizes: line.Sizes, At: x, Beyond: x / largest,
		Refuted: m.refutedRatio(series), Exchange: m.sampleMean("exchange_cpu_us"), ExchangeMedian: m.sampleMean("exchange_us"), Revision: m.Revision, Command: m.Command}}}
}

// slopeOf returns the slope of a series: the cost of one more unit of its form.
func (b *builder) slopeOf(measure, series string) figure {
	f := b.estimate(measure, series, unitSizes)
	if f.Interval == nil {
		return f
	}
	s := f.slopes[0]
	s.Beyond, s.At = 0, 0
	return figure{&s.Slope, []Slope{s}}
}

// unitSizes has a value for each size, so that forms can be evaluated where only their slope is needed.
var unitSizes = map[string]float64{"watchers": 1, "entries": 1, "calls": 1, "renewals": 1, "changes": 1, "candidates": 1, "members": 2, "documents": 1, "sidecars": 1}

func (f figure) times(factor float64) figure {
	if f.Interval == nil {
		return f
	}
	i := f.Times(factor)
	return figure{&i, f.slopes}
}

func (f figure) and(g figure) figure {
	if f.Interval == nil || g.Interval == nil {
		return figure{}
	}
	i := f.And(*g.Interval)
	return figure{&i, slices.Concat(f.slopes, g.slopes)}
}

func (f figure) inRow(r Row) Row {
	r.Figure, r.Slopes = f.Interval, f.slopes
	return r
}

func exactFigure(x float64) figure {
	i := exactInterval(x)
	return figure{Interval: &i}
}

const noBudget = "none named"

// singleSize returns sizes with one entry.
func singleSize(name string, value float64) map[string]float64 {
	return map[string]float64{name: value}
}
