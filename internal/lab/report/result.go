package report

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mosslead/internal/lab"
	"mosslead/internal/lab/experiment"
	"mosslead/internal/lab/verdict"
)

// Schema is the version of the form of result.json. A reader refuses a higher one.
const Schema = 1

const (
	maxLag             = 5.0  // ms, p99 of the generator's lag; a play with more is not trusted
	maxLittleDeviation = 0.01 // relative deviation from Little's law; a play with more is not trusted
	maxViolations      = 50   // number kept for each rule
	maxWorst           = 10
	seriesStep         = 500 * time.Millisecond
	resultName         = "result.json"
	pageName           = "index.html"
	percentiles        = 5 // lines of .hgrm files each time that the distance to 100% halves
)

// Result holds all results of a run of an experiment.
type Result struct {
	Schema     int                           `json:"schema"`
	Experiment string                        `json:"experiment"`
	Question   string                        `json:"question"`
	Text       string                        `json:"text"` // text of the experiment's file, from which it can be repeated
	Started    time.Time                     `json:"started"`
	Machine    Machine                       `json:"machine"`
	Programs   map[string]string             `json:"programs"` // revision or path of each variant's program
	Variants   []string                      `json:"variants"`
	Partial    bool                          `json:"partial"` // the run was broken off
	Plays      []*Play                       `json:"plays"`
	Medians    map[string]map[string]Summary `json:"medians"` // by variant and figure
	Expects    []Expected                    `json:"expects"`
}

// Machine describes the machine of a run.
type Machine struct {
	CPUs     int     `json:"cpus"`
	MemoryMB float64 `json:"memory_mb"`
	Kernel   string  `json:"kernel"`
	Go       string  `json:"go"`
}

// Play is one play of one variant.
type Play struct {
	Variant    string              `json:"variant"`
	Seed       uint64              `json:"seed"`
	Repeat     int                 `json:"repeat"`
	Partial    bool                `json:"partial,omitempty"`
	Trusted    bool                `json:"trusted"`
	Doubts     []string            `json:"doubts,omitempty"` // reasons why it is not trusted
	PlanHash   string              `json:"plan_hash"`
	FaultsHash string              `json:"faults_hash"`
	Figures    Figures             `json:"figures"`
	Parts      map[string]Figures  `json:"parts,omitempty"` // figures of the parts of the load that expectations are about
	Counts     map[string]int      `json:"violations"`      // by rule
	Violations []verdict.Violation `json:"shown,omitempty"`
	Series     Series              `json:"series"`
	Bands      []Band              `json:"bands"`
	Worst      []Worst             `json:"worst"`
	Notes      []string            `json:"notes,omitempty"`

	histograms map[string]*hdrhistogram.Histogram
}

// Band is the time of a fault, in seconds since the start of the load.
type Band struct {
	Name string  `json:"name"`
	From float64 `json:"from"`
	To   float64 `json:"to"`
}

// Series holds figures over the load's time, with a value for each step, which is -1 if there is none.
type Series struct {
	StepS    float64              `json:"step_s"`
	Served   []float64            `json:"served"`
	InTime   []float64            `json:"in_time"`
	P50      []float64            `json:"p50_ms"`
	P99      []float64            `json:"p99_ms"`
	P999     []float64            `json:"p999_ms"`
	Refused  []float64            `json:"refused"`
	Attempts []float64            `json:"attempts"`
	Held     map[string][]float64 `json:"held"` // by upstream
}

// Worst is one of the requests with the worst outcome, with all its steps.
type Worst struct {
	ID    string   `json:"id"`
	At    float64  `json:"at_s"`
	Class string   `json:"class"`
	Via   string   `json:"sidecar"`
	End   string   `json:"end"`
	Ms    float64  `json:"ms"`
	Way   []string `json:"way"`
	Broke string   `json:"rule,omitempty"`
}

// Summary is a figure over several plays.
type Summary struct {
	Median float64 `json:"median"`
	Least  float64 `json:"least"`
	Most   float64 `json:"most"`
	Plays  int     `json:"plays"`
}

// Expected is an expectation with its result.
type Expected struct {
	Says  string `json:"says"`
	Held  bool   `json:"held"`
	Shows string `json:"shows"` // the value, or the request or event that breaks it
}

// NewMachine returns the description of this machine.
func NewMachine() Machine {
	m := Machine{CPUs: runtime.NumCPU(), Go: runtime.Version()}
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) == nil {
		m.MemoryMB = float64(info.Totalram) * float64(info.Unit) / (1 << 20)
	}
	if text, err := os.ReadFile("/proc/sys/kernel/osrelease"); err == nil {
		m.Kernel = strings.TrimSpace(string(text))
	}
	return m
}

// NewPlay computes the figures, verdicts and chart data of a play.
func NewPlay(e *experiment.Experiment, variant string, seed uint64, repeat int, o *lab.Outcome) *Play {
	rules := verdict.Standard()
	rules.DrainGrace, rules.MaxAttempts = e.Rules.DrainGrace.Duration, e.Rules.MaxAttempts
	rules.DrainGrace += e.Net.Cross.Duration + e.Net.Jitter.Duration // on its way
	found := verdict.Judge(o.Record, rules)
	all := wishes(o)
	p := &Play{Variant: variant, Seed: seed, Repeat: repeat, Partial: o.Record.Partial, PlanHash: o.PlanHash, FaultsHash: o.FaultsHash,
		Figures: measure(o, all, 0, 0), Counts: map[string]int{}, Notes: o.Notes, Parts: map[string]Figures{}}
	for _, x := range e.Expects {
		if key := partKey(x); key != "" {
			p.Parts[key] = measure(o, all, x.From.Duration, x.To.Duration)
		}
	}
	p.Figures["violations"] = float64(len(found))
	broke := map[string]string{}
	for _, v := range found {
		if p.Counts[v.Rule]++; p.Counts[v.Rule] <= maxViolations {
			v.At -= o.Begin
			p.Violations = append(p.Violations, v)
		}
		broke[v.Request] = v.Rule
	}
	p.checkTrust(o)
	p.addSeries(o, all)
	p.addWorst(o, all, broke)
	p.addHistograms(all)
	for _, b := range o.Record.Bands {
		p.Bands = append(p.Bands, Band{b.Name, (b.From - o.Begin).Seconds(), (b.To - o.Begin).Seconds()})
	}
	slices.SortFunc(p.Bands, func(a, b Band) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Name, b.Name)) })
	return p
}

// partKey returns the name of the part of the load that an expectation is about, or the empty string for the whole load.
func partKey(x experiment.Expect) string {
	if x.From.Duration == 0 && x.To.Duration == 0 {
		return ""
	}
	return fmt.Sprintf("%v to %v", x.From.Duration, x.To.Duration)
}

// checkTrust adds the reasons why a play can't be trusted, and sets Trusted.
func (p *Play) checkTrust(o *lab.Outcome) {
	if lag := p.Figures["lag_p99_ms"]; lag > maxLag {
		p.Doubts = append(p.Doubts, fmt.Sprintf("the generator began sends up to %.1f ms late (p99; %.0f ms at most)", lag, maxLag))
	}
	if a, b := o.Littles[0], o.Littles[1]; a > 0 && (b/a > 1+maxLittleDeviation || b/a < 1-maxLittleDeviation) {
		p.Doubts = append(p.Doubts, fmt.Sprintf("Little's law does not hold in the upstreams: %.2f against %.2f job-seconds", a, b))
	}
	if p.Partial {
		p.Doubts = append(p.Doubts, "the play was broken off")
	}
	p.Trusted = len(p.Doubts) == 0
}

// addSeries computes the series of a play.
func (p *Play) addSeries(o *lab.Outcome, all []*wish) {
	s := Series{StepS: seriesStep.Seconds(), Held: map[string][]float64{}}
	steps := int((o.Plan.Spec.Length + seriesStep - 1) / seriesStep)
	valueOrNone := func(f Figures, name string) float64 {
		if x, ok := f[name]; ok {
			return x
		}
		return -1
	}
	for i := range steps {
		f := Figures{}
		if some := between(all, time.Duration(i)*seriesStep, time.Duration(i+1)*seriesStep); len(some) > 0 {
			f.outcomes(some)
			f.attempts(o.Record, some)
		}
		s.Served = append(s.Served, valueOrNone(f, "served"))
		s.InTime = append(s.InTime, valueOrNone(f, "in_time"))
		s.P50, s.P99, s.P999 = append(s.P50, valueOrNone(f, "p50_ms")), append(s.P99, valueOrNone(f, "p99_ms")), append(s.P999, valueOrNone(f, "p999_ms"))
		s.Refused, s.Attempts = append(s.Refused, valueOrNone(f, "refused")), append(s.Attempts, valueOrNone(f, "attempts"))
	}
	for _, l := range o.Record.Loads {
		i := int((l.At - o.Begin) / seriesStep)
		if l.At < o.Begin || i >= steps {
			continue
		}
		held := s.Held[l.Upstream]
		for len(held) <= i {
			held = append(held, 0)
		}
		held[i] = max(held[i], float64(l.Held))
		s.Held[l.Upstream] = held
	}
	p.Series = s
}

// addWorst keeps the requests with the worst outcome: those that broke a rule, then by worth lost, then by time.
func (p *Play) addWorst(o *lab.Outcome, all []*wish, broke map[string]string) {
	rule := func(w *wish) string {
		for _, q := range w.tries {
			if r := broke[q.ID]; r != "" {
				return r
			}
		}
		return ""
	}
	badness := func(w *wish) (score float64) {
		if rule(w) != "" {
			score = 1e6
		}
		return score + (w.worth-w.earned)*1e3 + w.took.Seconds()
	}
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b *wish) int { return cmp.Compare(badness(b), badness(a)) })
	for _, w := range sorted[:min(maxWorst, len(sorted))] {
		x := Worst{ID: w.first().ID, At: w.at.Seconds(), Class: w.first().Class, Via: w.first().Sidecar, End: w.last().End.String(),
			Ms: w.took.Seconds() * 1e3, Broke: rule(w)}
		rel := func(t time.Duration) string { return fmt.Sprintf("%.1f ms", (t-w.first().Intended).Seconds()*1e3) }
		for _, q := range w.tries {
			x.Way = append(x.Way, fmt.Sprintf("client sends %s at %s, %s at %s", q.ID, rel(q.Intended), q.End, rel(q.Ended)))
			for _, a := range w.attempts {
				if a.Request != q.ID {
					continue
				}
				line := fmt.Sprintf("%s begins it at %s (work %.1f ms)", a.Upstream, rel(a.Begun), a.Work.Seconds()*1e3)
				switch {
				case a.GivenUp > 0 && (a.Ended == 0 || a.GivenUp < a.Ended):
					line += ", given up at " + rel(a.GivenUp)
				case a.Ended > 0:
					line += fmt.Sprintf(", %v at %s", a.How, rel(a.Ended))
				default:
					line += ", no end"
				}
				x.Way = append(x.Way, line)
			}
		}
		p.Worst = append(p.Worst, x)
	}
}

// addHistograms computes histograms of the times of served wishes: of all, and by class, tenant and window of 5 s.
func (p *Play) addHistograms(all []*wish) {
	p.histograms = map[string]*hdrhistogram.Histogram{}
	add := func(key string, d time.Duration) {
		h := p.histograms[key]
		if h == nil {
			h = newHistogram()
			p.histograms[key] = h
		}
		recordTime(h, d)
	}
	for _, w := range all {
		if !w.served {
			continue
		}
		add("all", w.took)
		add("class-"+w.first().Class, w.took)
		if t := w.first().Tenant; t != "" {
			add("tenant-"+t, w.took)
		}
		add(fmt.Sprintf("from-%02ds", int(w.at.Seconds())/5*5), w.took)
	}
}

// Finish computes medians and expectations over all plays.
func (r *Result) Finish(e *experiment.Experiment) {
	r.Medians = map[string]map[string]Summary{}
	for _, v := range r.Variants {
		r.Medians[v] = r.summaries(v, "")
	}
	r.Expects = nil
	for _, x := range e.Expects {
		r.Expects = append(r.Expects, r.expect(e, x)...)
	}
}

// summaries returns the figures of a variant over its plays, of a part of the load or, if part is empty, of the whole.
func (r *Result) summaries(variant, part string) map[string]Summary {
	values := map[string][]float64{}
	for _, p := range r.Plays {
		if p.Variant != variant {
			continue
		}
		figures := p.Figures
		if part != "" {
			figures = p.Parts[part]
		}
		for name, x := range figures {
			values[name] = append(values[name], x)
		}
	}
	out := map[string]Summary{}
	for name, xs := range values {
		out[name] = Summary{median(xs), slices.Min(xs), slices.Max(xs), len(xs)}
	}
	return out
}

// median returns the median of at least one value. For an even number of values it is the mean of the middle two.
func median(xs []float64) float64 {
	s := slices.Sorted(slices.Values(xs))
	n := len(s)
	return (s[(n-1)/2] + s[n/2]) / 2
}

// expect checks one expectation for each variant that it is about.
func (r *Result) expect(e *experiment.Experiment, x experiment.Expect) (out []Expected) {
	for _, v := range r.Variants {
		if x.Variant != "" && x.Variant != v || x.RatioTo == v && x.Variant == "" {
			continue
		}
		if x.Rule != "" {
			out = append(out, r.expectRule(v, x))
		} else {
			out = append(out, r.expectFigure(v, x))
		}
	}
	return out
}

// expectRule checks an expectation about a rule.
func (r *Result) expectRule(variant string, x experiment.Expect) Expected {
	got := Expected{Says: fmt.Sprintf("%s: rule %s is kept", variant, x.Rule), Held: true, Shows: "kept"}
	if x.Broken {
		got = Expected{Says: fmt.Sprintf("%s: rule %s is seen broken", variant, x.Rule), Shows: "kept"}
	}
	for _, p := range r.Plays {
		if p.Variant != variant {
			continue
		}
		for _, v := range p.Violations {
			if x.Rule != "all" && v.Rule != x.Rule {
				continue
			}
			got.Held = x.Broken
			got.Shows = strings.TrimSpace(fmt.Sprintf("seed %d, at %.3f s, %s: %s %s: %s", p.Seed, v.At.Seconds(), v.Rule, v.Party, v.Request, v.Text))
			return got
		}
	}
	return got
}

// expectFigure checks an expectation about a figure.
func (r *Result) expectFigure(variant string, x experiment.Expect) Expected {
	says := fmt.Sprintf("%s: %s", variant, x.Figure)
	if x.RatioTo != "" {
		says += " over that of " + x.RatioTo
	}
	key := partKey(x)
	if key != "" {
		says += " from " + key
	}
	if x.Min != nil {
		says += fmt.Sprintf(", at least %g", *x.Min)
	}
	if x.Max != nil {
		says += fmt.Sprintf(", at most %g", *x.Max)
	}
	got := Expected{Says: says}
	s, ok := r.summaries(variant, key)[x.Figure]
	if !ok {
		got.Shows = "no play has this figure"
		return got
	}
	value := s.Median
	got.Shows = fmt.Sprintf("%.4g (%.4g to %.4g in %d plays)", s.Median, s.Least, s.Most, s.Plays)
	if x.RatioTo != "" {
		base, ok := r.summaries(x.RatioTo, key)[x.Figure]
		if !ok || base.Median == 0 {
			got.Shows = "no play of " + x.RatioTo + " has this figure"
			return got
		}
		value = s.Median / base.Median
		got.Shows = fmt.Sprintf("%.4g (%.4g over %.4g)", value, s.Median, base.Median)
	}
	got.Held = (x.Min == nil || value >= *x.Min) && (x.Max == nil || value <= *x.Max)
	return got
}

// Held reports whether every expectation was met.
func (r *Result) Held() bool {
	return !slices.ContainsFunc(r.Expects, func(x Expected) bool { return !x.Held })
}

// Write writes the result, the histograms and the page into a directory.
func (r *Result) Write(dir string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("encoding the result: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, resultName), append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("writing the result: %w", err)
	}
	for _, variant := range r.Variants {
		if err := r.writeHistograms(dir, variant); err != nil {
			return err
		}
	}
	page, err := os.Create(filepath.Join(dir, pageName))
	if err != nil {
		return fmt.Errorf("writing the page: %w", err)
	}
	defer func() { _ = page.Close() }()
	if err := r.Page(page); err != nil {
		return fmt.Errorf("writing the page: %w", err)
	}
	return page.Close()
}

// writeHistograms writes the histograms of a variant's times in ms, over all its plays.
func (r *Result) writeHistograms(dir, variant string) error {
	sums := map[string]*hdrhistogram.Histogram{}
	for _, p := range r.Plays {
		if p.Variant != variant {
			continue
		}
		for key, h := range p.histograms {
			if sums[key] == nil {
				sums[key] = newHistogram()
			}
			sums[key].Merge(h)
		}
	}
	for key, h := range sums {
		f, err := os.Create(filepath.Join(dir, fmt.Sprintf("%s.%s.hgrm", variant, key)))
		if err != nil {
			return fmt.Errorf("writing a histogram: %w", err)
		}
		_, err = h.PercentilesPrint(f, percentiles, 1000)
		if err := cmp.Or(err, f.Close()); err != nil {
			return fmt.Errorf("writing a histogram: %w", err)
		}
	}
	return nil
}

// Read reads a result from its directory or file.
func Read(path string) (*Result, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		path = filepath.Join(path, resultName)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading a result: %w", err)
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Schema < 1 || r.Schema > Schema {
		return nil, fmt.Errorf("%s: schema %d; this program reads 1 to %d", path, r.Schema, Schema)
	}
	return r, nil
}
