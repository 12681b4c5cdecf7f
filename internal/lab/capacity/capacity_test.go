package capacity

import (
	"bytes"
	"encoding/json"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	fleetPath   = "../../../experiments/capacity.toml"
	measuresDir = "../../../docs/capacity"
	pagePath    = "../../../docs/CAPACITY.md"
	resultsPath = "../../../docs/RESULTS.md"
)

func buildTable(t *testing.T) *Table {
	t.Helper()
	f, err := LoadFleet(fleetPath)
	if err != nil {
		t.Fatal(err)
	}
	m, err := ReadMeasures(measuresDir)
	if err != nil {
		t.Fatal(err)
	}
	table, err := Build(f, m)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// TestThePageIsWhatIsWorkedOut checks that the pages match the fleet and the measures, and that a number edited by hand is found.
func TestThePageIsWhatIsWorkedOut(t *testing.T) {
	table := buildTable(t)
	var pages [2]string
	for i, path := range []string{pagePath, resultsPath} {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		pages[i] = string(text)
	}
	ownSections := 0
	for _, s := range sections {
		for i, page := range pages {
			if n, otherPage := strings.Count(page, beginMark(s.name)+"\n"), i == 1; (n == 1) != (otherPage == (s.name == "plays")) || n > 1 {
				t.Errorf("section %s: got %d copies on page %d, want one copy, on its own page (section plays on page 1, the others on page 0)", s.name, n, i)
			}
		}
		if s.name != "plays" {
			ownSections++
		}
	}
	if ownSections < 7 {
		t.Errorf("got %d sections on the page, want at least 7", ownSections)
	}
	checkPage(t, table, "docs/CAPACITY.md", pages[0])
	checkPage(t, table, "docs/RESULTS.md", pages[1])
}

// checkPage checks that a page equals its generated form, that a changed digit in any section is found, and that pages without marks
// are rejected.
func checkPage(t *testing.T, table *Table, name, page string) {
	t.Helper()
	want, err := table.Renew(page)
	if err != nil {
		t.Fatal(err)
	}
	if page != want {
		offset := 0
		for offset < min(len(page), len(want)) && page[offset] == want[offset] {
			offset++
		}
		t.Fatalf("%s is not as generated: run `mosslead lab capacity --page %s`. It differs at\n%.200s\nwant\n%.200s", name, name, page[offset:], want[offset:])
	}
	for _, s := range sections {
		section, err := table.Section(s.name)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(page, beginMark(s.name)) {
			continue // on the other page
		}
		digit := strings.LastIndexAny(section, "123456789")
		if digit < 0 {
			continue // nothing was measured for it yet
		}
		offset := strings.Index(page, section) + digit
		planted := page[:offset] + string('1'+(page[offset]-'0')%9) + page[offset+1:]
		if planted == page {
			t.Fatalf("section %s: the planted digit is the same as before", s.name)
		}
		if again, err := table.Renew(planted); err != nil || again == planted {
			t.Errorf("section %s: a changed digit stays in the renewed page (error %v), want it replaced", s.name, err)
		}
	}
	if _, err := table.Renew("# Another page\n"); err == nil {
		t.Error("a page without a section: got no error, want one")
	}
	if _, err := table.Renew(strings.ReplaceAll(page, endMark, "")); err == nil {
		t.Error("a section without an end mark: got no error, want one")
	}
}

// TestFleetsAreReadStrictly checks that the error for each mistake names its line or key.
func TestFleetsAreReadStrictly(t *testing.T) {
	text, err := os.ReadFile(fleetPath)
	if err != nil {
		t.Fatal(err)
	}
	good := string(text)
	for _, c := range []struct{ old, new, want string }{
		{"[operators]\n", "[operators]\nupstream = { value = 1, from = \"x\" }\n", "unknown key operators.upstream"},
		{"value = 1800,", "value = \"many\",", "operators.upstreams"},
		{"value = 1800,", "value = 0,", "operators.upstreams: 0"},
		{"value = 1800,", "value = -3,", "operators.upstreams: -3"},
		{"value = 1800,", "value = nan,", "operators.upstreams"},
		{"value = 1800,", "worth = 1800,", "line 8: unknown key operators.worth"},
		{"from = \"operators: 1,800 upstreams, each with its sidecar\"", "from = \"\"", "operators.upstreams: from is missing"},
		{"value = 160,", "value = 1801,", "operators.services"},
		{"regions               = { value = 4,", "regions               = { value = 15,", "operators.regions"},
		{"[assumed]", "[assumed", "line"},
	} {
		bad := strings.Replace(good, c.old, c.new, 1)
		if bad == good {
			t.Fatalf("%q is not in the fleet's file", c.old)
		}
		if _, err := ParseFleet([]byte(bad)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one with %q", c.new, err, c.want)
		}
	}
	if _, err := ParseFleet(nil); err == nil {
		t.Error("an empty fleet: got no error, want one")
	}
	if _, err := LoadFleet(filepath.Join(t.TempDir(), "none.toml")); err == nil {
		t.Error("a missing file: got no error, want one")
	}
}

// TestTheLoadFollowsTheFleet changes a figure of the fleet and checks the quantities that depend on it.
func TestTheLoadFollowsTheFleet(t *testing.T) {
	f, err := LoadFleet(fleetPath)
	if err != nil {
		t.Fatal(err)
	}
	l := f.Work()
	checkNear := func(name string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9*math.Abs(want) {
			t.Errorf("%s: got %v, want %v", name, got, want)
		}
	}
	checkNear("calls", l.CallsMean, 170000.0/1800)
	checkNear("zone", l.ZoneSidecars, 1800.0/14)
	checkNear("region", l.RegionSidecars, 450)
	checkNear("chain", l.ChainSlow, 1-math.Pow(0.99, 22))
	f.Operators.Upstreams.Value = 3600
	twice := f.Work()
	checkNear("calls of twice as many", twice.CallsMean, l.CallsMean/2)
	checkNear("renewals of twice as many", twice.Renewals, 2*l.Renewals)
	if len(twice.Quantities) != len(l.Quantities) || len(l.Quantities) < 20 {
		t.Errorf("got %d quantities, and %d with twice as many upstreams; want at least 20 and the same number", len(l.Quantities), len(twice.Quantities))
	}
}

// syntheticMeasure returns a measure whose samples lie on a line, with noise.
func syntheticMeasure(name string, constant, slope, noise float64, at ...float64) *Measure {
	rng := rand.New(rand.NewPCG(1, 2))
	m := &Measure{Name: name, Command: "none", Revision: "none", Series: []Series{{Name: "y", Unit: "MB", Form: "x"}}}
	for _, x := range at {
		m.Samples = append(m.Samples, Sample{Sizes: map[string]float64{"x": x}, Got: map[string]float64{"y": constant + slope*x + noise*rng.NormFloat64()}})
	}
	return m
}

// TestLinesAreFitted checks that 95% intervals contain 95% of the values: of 400 synthetic lines, about 380 slopes and
// about 380 next runs must lie within their intervals.
func TestLinesAreFitted(t *testing.T) {
	m := syntheticMeasure("exact", 3, 2, 0, 1, 2, 3, 4)
	_, l, err := m.Line("y")
	if err != nil {
		t.Fatal(err)
	}
	if got := l.At(10); math.Abs(got.Value-23) > 1e-9 || math.Abs(got.High-got.Low) > 1e-6 {
		t.Errorf("an exact line: got %+v, want 23 without scatter", got)
	}
	rng := rand.New(rand.NewPCG(3, 4))
	slopes, plays := 0, 0
	const lines = 400
	for range lines {
		m := syntheticMeasure("noisy", 0, 0, 0, 1, 2, 4, 8, 16)
		for i := range m.Samples {
			m.Samples[i].Got["y"] = 5 + 0.5*m.Samples[i].Sizes["x"] + rng.NormFloat64()
		}
		_, l, err := m.Line("y")
		if err != nil {
			t.Fatal(err)
		}
		if l.Slope.Holds(0.5) {
			slopes++
		}
		if l.At(32).Holds(5 + 0.5*32 + rng.NormFloat64()) {
			plays++
		}
	}
	for what, held := range map[string]int{"slopes": slopes, "plays": plays} {
		if held < lines*92/100 || held > lines*98/100 {
			t.Errorf("%d of %d %s lie in their intervals, want 92%% to 98%%", held, lines, what)
		}
	}
	if _, _, err := syntheticMeasure("few", 1, 1, 0, 1, 2, 3, 3).Line("y"); err == nil || !strings.Contains(err.Error(), "3 sizes") {
		t.Errorf("a slope from three sizes: got error %v, want one with \"3 sizes\"", err)
	}
	for form, want := range map[string]float64{"x": 8, "x*z": 24, "log2(x)": 3, "pushpull(x)": 8, "pushpull(many)": 256.0 / 4} {
		if got, err := formValue(form, map[string]float64{"x": 8, "z": 3, "many": 256}); err != nil || got != want {
			t.Errorf("%s: got %v (error %v), want %v", form, got, err, want)
		}
	}
	for _, form := range []string{"w", "x*w", "log2(w)", "log2(zero)"} {
		if _, err := formValue(form, map[string]float64{"x": 8, "zero": 0}); err == nil {
			t.Errorf("form %s: got no error, want one", form)
		}
	}
}

// TestMeasuresAreKept writes a measure, reads it again, and checks that invalid files are rejected.
func TestMeasuresAreKept(t *testing.T) {
	dir := t.TempDir()
	m := syntheticMeasure("one", 3, 2, 0.1, 1, 2, 3, 4)
	if err := m.Predict(map[string]float64{"x": 4}, "none"); err == nil {
		t.Error("a prediction for a size that was measured: got no error, want one")
	}
	if err := m.Predict(map[string]float64{"x": 8}, "none"); err != nil {
		t.Fatal(err)
	}
	m.Checks = []Sample{{Sizes: map[string]float64{"x": 8}, Got: map[string]float64{"y": 19}}}
	if err := m.Write(dir); err != nil {
		t.Fatal(err)
	}
	all, err := ReadMeasures(dir)
	if err != nil || len(all) != 1 {
		t.Fatalf("got measures %v (error %v), want one", all, err)
	}
	checked, err := all["one"].compareChecks()
	if err != nil || len(checked) != 1 || !checked[0].Played || checked[0].Came != 19 || !checked[0].Says.Holds(checked[0].Says.Value) {
		t.Errorf("got comparison %+v (error %v), want one series, measured as 19 and within the bounds of its prediction", checked, err)
	}
	text, err := os.ReadFile(filepath.Join(dir, "one.json"))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ old, new string }{
		"unknown key":           {`"how"`, `"why"`},
		"no JSON":               {`{`, `[`},
		"another name":          {`"name": "one"`, `"name": "two"`},
		"a check of other size": {`"x": 8`, `"x": 9`},
		"no command":            {`"command": "none"`, `"command": ""`},
		"a series without data": {`"name": "y"`, `"name": "z"`},
	} {
		bad := t.TempDir()
		changed := strings.Replace(string(text), c.old, c.new, 1)
		if changed == string(text) {
			t.Fatalf("%s: %q is not in the measure's file", name, c.old)
		}
		if err := os.WriteFile(filepath.Join(bad, "one.json"), []byte(changed), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadMeasures(bad); err == nil || !strings.Contains(err.Error(), "one.json") {
			t.Errorf("%s: got error %v, want one that names one.json", name, err)
		}
	}
	if _, err := ReadMeasures(filepath.Join(dir, "none")); err == nil {
		t.Error("a missing directory: got no error, want one")
	}
}

// TestWhatIsMissingComesFirst checks that rows without a carrier come before those over their budget, and that rows that were not
// measured are marked so.
func TestWhatIsMissingComesFirst(t *testing.T) {
	over := exactInterval(4)
	far := exactInterval(8)
	under := exactInterval(1)
	rows := []Row{
		{What: "over", Figure: &over, Budget: 2, Carried: true, PerYear: 365},
		{What: "under", Figure: &under, Budget: 2, Carried: true, PerYear: 365},
		{What: "seldom", Mechanism: None, PerYear: 4000, Touches: 1},
		{What: "often", Mechanism: None, PerYear: 3000},
		{What: "far over", Figure: &far, Budget: 2, Carried: true, PerYear: 365},
		{What: "not measured", Budget: 2, Carried: true, PerYear: 365},
	}
	var got []string
	for _, c := range claimsOf(rows, 10) {
		got = append(got, c.Row.What)
	}
	if want := "often, seldom, far over, over"; strings.Join(got, ", ") != want {
		t.Errorf("got %s, want %s", strings.Join(got, ", "), want)
	}
	f, err := LoadFleet(fleetPath)
	if err != nil {
		t.Fatal(err)
	}
	bare, err := Build(f, Measures{})
	if err != nil {
		t.Fatal(err)
	}
	section, err := bare.Section("table")
	if err != nil || !strings.Contains(section, "not measured") {
		t.Errorf("a table without measures: got error %v and %q, want no error and \"not measured\"", err, section)
	}
	if _, err := json.Marshal(bare); err != nil {
		t.Error(err)
	}
	for _, r := range append(bare.Rows, bare.After...) {
		if !r.Carried && !strings.HasPrefix(r.Mechanism, None) || r.Carried && !strings.Contains(r.Mechanism, "`") || r.PerYear <= 0 || r.BudgetFrom == "" || r.Unit == "" {
			t.Errorf("incomplete row: got %+v, want a unit, a budget's source, a number per year, and a mechanism that names code exactly if it is carried", r)
		}
	}
}

func TestNumbers(t *testing.T) {
	for x, want := range map[float64]string{0: "0", 1800: "1,800", 170000: "170,000", 94.44: "94.4", 0.31: "0.31", 6.818: "6.82", 1234567.8: "1,234,568", -1234: "-1,234", 3.1e10: "3.10e+10", 0.0000123: "1.2e-05", 12: "12"} {
		if got := formatNumber(x); got != want {
			t.Errorf("%v: got %s, want %s", x, got, want)
		}
	}
}

// TestScaleRunsAreTaken makes a measure from results of the scale run, and checks that only results of the predicted size are
// accepted as checks.
func TestScaleRunsAreTaken(t *testing.T) {
	result := func(hollow int, day, trouble string) []byte {
		n := float64(hollow + 12)
		role := func(name string, bytes, kb, cpu float64) map[string]any {
			return map[string]any{"role": name, "bytes_s": bytes, "kb": kb, "cpu": cpu}
		}
		text, err := json.Marshal(map[string]any{"hollow": hollow, "real": 12, "replicas": 3, "lease_s": 10, "revision": "r", "plays": []any{map[string]any{"day": day, "seed": 1, "held": true, "error": trouble,
			"delays": []any{map[string]any{"cause": "of settings", "p99_ms": 80}},
			"roles":  []any{role("hollow", 30, 100, 0.001), role("real", 31, 17000, 0.005), role("replica", 0, 20000+10*n, 0.0001*n), role("leading replica", 0, 21000+20*n, 0.0002*n)}}}})
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	var results [][]byte
	for _, n := range []int{88, 188, 388, 588} {
		results = append(results, result(n, "steady", ""))
	}
	m, err := FromScale("steady", results, 1812)
	if err != nil {
		t.Fatal(err)
	}
	if says := m.Prediction.Says["leading_replica_cpu"]; math.Abs(says.Value-0.0002*1812) > 1e-9 || m.Samples[0].Got["of_settings_p99_ms"] != 80 {
		t.Errorf("got prediction %+v and sample %+v, want 0.0002*1812 and of_settings_p99_ms 80", says, m.Samples[0])
	}
	if err := m.CheckScale("steady", [][]byte{result(1800, "steady", "")}); err != nil || len(m.Checks) != 1 {
		t.Errorf("got checks %+v (error %v), want one check", m.Checks, err)
	}
	if err := m.CheckScale("steady", [][]byte{result(900, "steady", "")}); err == nil {
		t.Error("a check of another size: got no error, want one")
	}
	for what, wrong := range map[string][][]byte{"three sizes": results[:3], "another day": append(results[:3:3], result(588, "wave", "")), "broken off": append(results[:3:3], result(588, "steady", "no room")),
		"no JSON": append(results[:3:3], []byte("{"))} {
		if _, err := FromScale("steady", wrong, 1812); err == nil {
			t.Errorf("%s: got no error, want one", what)
		}
	}
}

// TestARefutedPredictionIsSaid checks that a row states it when the row's figure rests on a refuted prediction.
func TestARefutedPredictionIsSaid(t *testing.T) {
	m := syntheticMeasure("one", 3, 2, 0.1, 1, 2, 3, 4)
	if err := m.Predict(map[string]float64{"x": 8}, "none"); err != nil {
		t.Fatal(err)
	}
	for came, want := range map[float64]float64{19: 0, 20: 0, 190: 10, 9.5: 0.5} {
		m.Checks = []Sample{{Sizes: map[string]float64{"x": 8}, Got: map[string]float64{"y": came}}}
		if got := m.refutedRatio("y"); math.Abs(got-want) > 0.02*want {
			t.Errorf("measured %v: got ratio %v, want %v", came, got, want)
		}
	}
	var w bytes.Buffer
	writeRows(&w, []Row{{Role: "r", What: "w", Unit: "MB", Slopes: []Slope{{Measure: "one", Series: "y", Refuted: 5.76}}, Carried: true}})
	if !strings.Contains(w.String(), "refuted: what came is 5.76 times it") {
		t.Errorf("got %q, want it to state that the prediction was refuted", w.String())
	}
}
