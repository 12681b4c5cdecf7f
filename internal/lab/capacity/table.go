package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// The days of a row.
const (
	Steady = "steady day"
	Change = "one change"
	Worst  = "worst minute"
)

// None is the mechanism of a row that nothing carries.
const None = "none"

const daysPerYear = 365

// Row is what a role bears on a day.
type Row struct {
	Role string `json:"role"`
	What string `json:"what"`
	Day  string `json:"day"`
	Unit string `json:"unit"`
	// Figure is at the fleet's size; nil: not measured.
	Figure *Interval `json:"figure,omitempty"`
	// Budget is what it may be; 0: nobody named one, and BudgetFrom says so.
	Budget     float64 `json:"budget,omitempty"`
	BudgetFrom string  `json:"budget_from"`
	// Slopes are the lines that the figure rests on.
	Slopes    []Slope `json:"slopes,omitempty"`
	Mechanism string  `json:"mechanism"` // by package and type; None, or None and what there is instead
	Carried   bool    `json:"carried"`
	PerYear   float64 `json:"per_year"` // how often its day comes
	Touches   float64 `json:"touches"`  // processes each time; 0: all
	Note      string  `json:"note,omitempty"`
}

// Slope is the line of one series at one size.
type Slope struct {
	Measure  string   `json:"measure"`
	Series   string   `json:"series"`
	Unit     string   `json:"unit"`
	Form     string   `json:"form"`
	Slope    Interval `json:"slope"`
	Constant float64  `json:"constant"`
	Sizes    int      `json:"sizes"`
	At       float64  `json:"at"`     // the form's value for the fleet
	Beyond   float64  `json:"beyond"` // that, over the largest that was played
	// Refuted is what came over what was predicted, where that was outside the interval and off by more than a quarter; else 0.
	Refuted float64 `json:"refuted,omitempty"`
	// Exchange is the processor time of both ends of a bare exchange in the same runs, in µs, and ExchangeMedian its time; 0: not
	// measured.
	Exchange       float64 `json:"exchange_cpu_us,omitempty"`
	ExchangeMedian float64 `json:"exchange_us,omitempty"`
	Revision       string  `json:"revision"`
	Command        string  `json:"command"`
}

// Left is the budget over the figure; 0: one of them is not there.
func (r Row) Left() float64 {
	if r.Figure == nil || r.Budget == 0 || !(r.Figure.Value > 0) {
		return 0
	}
	return r.Budget / r.Figure.Value
}

// Over tells whether the figure is above its budget.
func (r Row) Over() bool { return r.Left() > 0 && r.Left() < 1 }

// Table is all that is worked out of a fleet and of measures.
type Table struct {
	Fleet    *Fleet     `json:"fleet"`
	Load     []Quantity `json:"load"`
	Rows     []Row      `json:"rows"`
	After    []Row      `json:"after"`   // with documents and regions, see afterRows
	Missing  []Claim    `json:"missing"` // rows that compete for the mechanism that is built first
	Measures []Checked  `json:"measures"`

	measures []*Measure // as they were read, by name
}

// Claim is a row that has no carrier or is over its budget.
type Claim struct {
	Row     Row     `json:"row"`
	Why     string  `json:"why"`
	PerYear float64 `json:"per_year"`
	Touches float64 `json:"touches"`        // processes each time
	Over    float64 `json:"over,omitempty"` // the figure over its budget
}

// Checked is how far a prediction was off.
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

// Build works the table out.
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

// claimsOf are the rows without a carrier, by how often their day comes and how many of the processes it touches, and then those
// over their budget, by how far too.
func claimsOf(rows []Row, processes float64) (all []Claim) {
	for _, r := range rows {
		c := Claim{Row: r, Why: "no carrier", PerYear: r.PerYear, Touches: cmp.Or(r.Touches, processes)}
		if r.Left() > 0 {
			c.Over = 1 / r.Left()
		}
		if r.Carried {
			c.Why = "over its budget"
		}
		if !r.Carried || r.Over() {
			all = append(all, c)
		}
	}
	slices.SortStableFunc(all, func(a, b Claim) int {
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
	return all
}

// compareChecks sets what was predicted beside what came.
func (m *Measure) compareChecks() (all []Checked, err error) {
	for _, s := range m.Series {
		l, err := m.fit(s)
		if err != nil {
			return nil, fmt.Errorf("%s: %s: %w", m.Name, s.Name, err)
		}
		c := Checked{Measure: m.Name, Series: s.Name, Unit: s.Unit, Form: s.Form, Slope: l.Slope, Command: m.Command, Revision: m.Revision}
		if m.Prediction != nil {
			c.Sizes, c.Says = m.Prediction.Sizes, m.Prediction.Says[s.Name]
		}
		c.Came, c.Played = m.checkMean(s.Name), len(m.Checks) > 0
		all = append(all, c)
	}
	return all, nil
}

const refutationFactor = 1.25

// refutedRatio is what came of a prediction over it, where it is far off; else 0.
func (m *Measure) refutedRatio(series string) float64 {
	if m.Prediction == nil || len(m.Checks) == 0 {
		return 0
	}
	says, came := m.Prediction.Says[series], m.checkMean(series)
	if off := came / says.Value; !says.Holds(came) && says.Value > 0 && (off > refutationFactor || off < 1/refutationFactor) {
		return off
	}
	return 0
}

// checkMean is the mean of what was played at the size that was predicted.
func (m *Measure) checkMean(series string) (mean float64) {
	for _, x := range m.Checks {
		mean += x.Got[series] / float64(len(m.Checks))
	}
	return mean
}

// checkedFigure is what came at the size that was predicted.
func (b *builder) checkedFigure(measure, series string) figure {
	m, ok := b.measures[measure]
	if !ok || len(m.Checks) == 0 {
		return figure{}
	}
	return exactFigure(m.checkMean(series))
}

// sampleMean is that of what the samples have beside their series; 0: one has it not.
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

// exchanges is a time, or a processor time, in bare exchanges of the machine that it was measured on; 0: it is none, or rests on
// several measures.
func (r Row) exchanges() (n float64, unit string) {
	if r.Figure == nil || len(r.Slopes) == 0 {
		return 0, ""
	}
	s := r.Slopes[0]
	for _, other := range r.Slopes {
		if other.Exchange != s.Exchange && other.Exchange > 0 {
			s.Exchange = (s.Exchange + other.Exchange) / 2 // of runs on one machine
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

type builder struct {
	fleet    *Fleet
	measures Measures
	load     Load
	err      error
}

// figure is what a series says at some sizes, and the slope behind it; nil: not measured.
type figure struct {
	*Interval
	slopes []Slope
}

func (b *builder) estimate(measure, series string, sizes map[string]float64) figure {
	m, ok := b.measures[measure]
	if !ok {
		return figure{}
	}
	s, l, err := m.Line(series)
	var x float64
	if err == nil {
		x, err = formValue(s.Form, sizes)
	}
	if err != nil {
		b.err = cmp.Or(b.err, fmt.Errorf("%s: %s: %w", measure, series, err))
		return figure{}
	}
	most := math.Inf(-1)
	for _, played := range slices.Concat(m.Samples, m.Checks) {
		if at, err := formValue(s.Form, played.Sizes); err == nil {
			most = max(most, at)
		}
	}
	says := l.At(x)
	return figure{&says, []Slope{{Measure: measure, Series: s.Name, Unit: s.Unit, Form: s.Form, Slope: l.Slope, Constant: l.Constant, Sizes: l.Sizes, At: x, Beyond: x / most,
		Refuted: m.refutedRatio(series), Exchange: m.sampleMean("exchange_cpu_us"), ExchangeMedian: m.sampleMean("exchange_us"), Revision: m.Revision, Command: m.Command}}}
}

// slopeOf is what one more of a form's sizes takes.
func (b *builder) slopeOf(measure, series string) figure {
	f := b.estimate(measure, series, unitSizes)
	if f.Interval == nil {
		return f
	}
	s := f.slopes[0]
	s.Beyond, s.At = 0, 0
	return figure{&s.Slope, []Slope{s}}
}

// unitSizes lets forms be worked out where only their slope is wanted.
var unitSizes = map[string]float64{"watchers": 1, "entries": 1, "calls": 1, "renewals": 1, "changes": 1, "candidates": 1, "members": 2, "documents": 1, "sidecars": 1}

func (x figure) times(by float64) figure {
	if x.Interval == nil {
		return x
	}
	i := x.Times(by)
	return figure{&i, x.slopes}
}

func (x figure) and(y figure) figure {
	if x.Interval == nil || y.Interval == nil {
		return figure{}
	}
	i := x.And(*y.Interval)
	return figure{&i, slices.Concat(x.slopes, y.slopes)}
}

func (x figure) inRow(r Row) Row {
	r.Figure, r.Slopes = x.Interval, x.slopes
	return r
}

func exactFigure(x float64) figure {
	i := exactInterval(x)
	return figure{Interval: &i}
}

const noBudget = "none named"

// singleSize is a set of one singleSize.
func singleSize(name string, value float64) map[string]float64 {
	return map[string]float64{name: value}
}
