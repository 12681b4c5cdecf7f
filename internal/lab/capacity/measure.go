package capacity

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/google/renameio/v2"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// minSizes is the least number of different sizes to which a line is fitted.
const minSizes = 4

// Measure holds what was measured at several sizes, as stored in a file beside the page.
type Measure struct {
	Name     string   `json:"name"`
	Question string   `json:"question"`
	Command  string   `json:"command"`
	Revision string   `json:"revision"` // of the measured programs
	Machine  string   `json:"machine"`
	How      string   `json:"how"` // what is counted, and by what
	Series   []Series `json:"series"`
	Samples  []Sample `json:"samples"`
	// Prediction is for a size that no sample has, and is written before that size is measured. Checks are the
	// measurements of that size.
	Prediction *Prediction `json:"prediction,omitempty"`
	Checks     []Sample    `json:"checks,omitempty"`
}

// Series is a quantity that every sample has, and the form in which the quantity is assumed to be linear.
type Series struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Form is the function of the sizes in which the quantity is linear: a size ("watchers"), a product ("watchers*entries"), "log2(members)" or
	// "pushpull(members)": the members divided by the factor by which memberlist lengthens the interval of its exchanges of the
	// whole member list in larger fleets. The line has a constant beside the slope.
	Form string `json:"form"`
}

// Sample holds what one run at one size gave.
type Sample struct {
	Sizes map[string]float64 `json:"sizes"`
	Got   map[string]float64 `json:"got"`
}

// Prediction holds the values that the fitted lines give for another size.
type Prediction struct {
	Sizes    map[string]float64  `json:"sizes"`
	Revision string              `json:"revision"` // of the work tree when it was written
	Says     map[string]Interval `json:"says"`
}

// Interval is a value with the bounds between which 95 in 100 values lie.
type Interval struct {
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
}

// Holds reports whether x lies within the bounds.
func (i Interval) Holds(x float64) bool { return i.Low <= x && x <= i.High }

// Times returns the interval multiplied by factor, which must be above 0.
func (i Interval) Times(factor float64) Interval {
	return Interval{i.Value * factor, i.Low * factor, i.High * factor}
}

// Plus returns the interval plus an exact value.
func (i Interval) Plus(x float64) Interval { return Interval{i.Value + x, i.Low + x, i.High + x} }

// And returns the sum of two intervals. It adds the bounds too, so the result may be too wide but is never too narrow.
func (i Interval) And(j Interval) Interval {
	return Interval{i.Value + j.Value, i.Low + j.Low, i.High + j.High}
}

func exactInterval(x float64) Interval { return Interval{x, x, x} }

// Line is the straight line fitted to a series by least squares.
type Line struct {
	Constant float64  `json:"constant"`
	Slope    Interval `json:"slope"`
	Sizes    int      `json:"sizes"` // number of different values of the form
	mean     float64  // mean of the form's values
	spread   float64  // sum of their squared distances from the mean
	scatter  float64  // standard error of the samples about the line
	t        float64  // quantile of Student's t for 95% intervals
	n        float64  // number of samples
}

// At returns the line's prediction for one run where the form has the value x.
func (l Line) At(x float64) Interval {
	value := l.Constant + l.Slope.Value*x
	margin := l.t * l.scatter * math.Sqrt(1+1/l.n+(x-l.mean)*(x-l.mean)/l.spread)
	return Interval{value, value - margin, value + margin}
}

// fit fits the line of a series to the samples.
func (m *Measure) fit(s Series) (l Line, err error) {
	var xs, ys []float64
	different := map[float64]bool{}
	for i, sample := range m.Samples {
		x, err := formValue(s.Form, sample.Sizes)
		if err != nil {
			return l, fmt.Errorf("sample %d: %w", i, err)
		}
		y, ok := sample.Got[s.Name]
		if !ok {
			return l, fmt.Errorf("sample %d has no %s", i, s.Name)
		}
		xs, ys = append(xs, x), append(ys, y)
		different[x] = true
	}
	if l.Sizes = len(different); l.Sizes < minSizes {
		return l, fmt.Errorf("%d sizes, and a slope needs at least %d", l.Sizes, minSizes)
	}
	l.Constant, l.Slope.Value = stat.LinearRegression(xs, ys, nil, false)
	l.n, l.mean = float64(len(xs)), stat.Mean(xs, nil)
	rest := 0.0
	for i, x := range xs {
		l.spread += (x - l.mean) * (x - l.mean)
		off := ys[i] - l.Constant - l.Slope.Value*x
		rest += off * off
	}
	l.scatter = math.Sqrt(rest / (l.n - 2))
	l.t = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: l.n - 2}.Quantile(0.975)
	off := l.t * l.scatter / math.Sqrt(l.spread)
	l.Slope.Low, l.Slope.High = l.Slope.Value-off, l.Slope.Value+off
	return l, nil
}

// formValue returns the value of a form at the given sizes.
func formValue(form string, sizes map[string]float64) (float64, error) {
	if inner, ok := strings.CutPrefix(form, "log2("); ok {
		x, err := formValue(strings.TrimSuffix(inner, ")"), sizes)
		if err == nil && !(x > 0) {
			return 0, fmt.Errorf("%s of %v", form, x)
		}
		return math.Log2(x), err
	}
	if inner, ok := strings.CutPrefix(form, "pushpull("); ok {
		x, err := formValue(strings.TrimSuffix(inner, ")"), sizes)
		return x / (1 + max(0, math.Ceil(math.Log2(max(x, 1))-5))), err
	}
	x := 1.0
	for name := range strings.SplitSeq(form, "*") {
		size, ok := sizes[name]
		if !ok {
			return 0, fmt.Errorf("no size %q, which the form %q needs", name, form)
		}
		x *= size
	}
	return x, nil
}

// Line returns the series of that name and its fitted line.
func (m *Measure) Line(name string) (Series, Line, error) {
	for _, s := range m.Series {
		if s.Name == name {
			l, err := m.fit(s)
			return s, l, err
		}
	}
	return Series{}, Line{}, fmt.Errorf("%s: no series %q", m.Name, name)
}

// Predict stores a prediction for other sizes, and removes earlier checks.
func (m *Measure) Predict(sizes map[string]float64, revision string) error {
	p := &Prediction{Sizes: sizes, Revision: revision, Says: map[string]Interval{}}
	for i, sample := range m.Samples {
		if maps.Equal(sample.Sizes, sizes) {
			return fmt.Errorf("%s: sample %d has the sizes that are to be predicted", m.Name, i)
		}
	}
	for _, s := range m.Series {
		l, err := m.fit(s)
		if err != nil {
			return fmt.Errorf("%s: %s: %w", m.Name, s.Name, err)
		}
		x, err := formValue(s.Form, sizes)
		if err != nil {
			return fmt.Errorf("%s: %s: %w", m.Name, s.Name, err)
		}
		p.Says[s.Name] = l.At(x)
	}
	m.Prediction, m.Checks = p, nil
	return nil
}

// check returns an error that names what is wrong with the measure.
func (m *Measure) check() error {
	if m.Name == "" || m.Command == "" || m.Revision == "" || len(m.Series) == 0 || len(m.Samples) == 0 {
		return errors.New("name, command, revision, series and samples must all be there")
	}
	for _, s := range m.Series {
		if _, err := m.fit(s); err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	if len(m.Checks) > 0 && m.Prediction == nil {
		return errors.New("checks without a prediction")
	}
	for i, c := range m.Checks {
		if !maps.Equal(c.Sizes, m.Prediction.Sizes) {
			return fmt.Errorf("check %d is of other sizes than the prediction", i)
		}
	}
	return nil
}

// ReadMeasure reads a measure from a file. Errors name the file.
func ReadMeasure(path string) (*Measure, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading a measure: %w", err)
	}
	m := &Measure{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(m); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := m.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return m, nil
}

// Measures are the measures of a directory by name.
type Measures map[string]*Measure

// ReadMeasures reads the measures of all *.json files of a directory.
func ReadMeasures(dir string) (Measures, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("measures: %w", err)
	}
	if len(paths) == 0 {
		if _, err := os.Stat(dir); err != nil {
			return nil, fmt.Errorf("measures: %w", err)
		}
	}
	all := Measures{}
	for _, path := range paths {
		m, err := ReadMeasure(path)
		if err != nil {
			return nil, err
		}
		if want := m.Name + ".json"; filepath.Base(path) != want {
			return nil, fmt.Errorf("%s: the measure's name is %s", path, m.Name)
		}
		all[m.Name] = m
	}
	return all, nil
}

// Write writes the measure atomically to the file NAME.json in a directory.
func (m *Measure) Write(dir string) error {
	if err := m.check(); err != nil {
		return fmt.Errorf("measure %s: %w", m.Name, err)
	}
	text, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return fmt.Errorf("measure %s: %w", m.Name, err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil && !errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("measure %s: %w", m.Name, err)
	}
	return renameio.WriteFile(filepath.Join(dir, m.Name+".json"), append(text, '\n'), 0o644)
}

// names returns the names of the measures, sorted.
func (m Measures) names() []string { return sortedKeys(m) }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
