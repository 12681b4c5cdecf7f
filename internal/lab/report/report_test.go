package report

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mosslead/internal/lab"
	"mosslead/internal/lab/experiment"
	"mosslead/internal/lab/load"
	"mosslead/internal/lab/record"
)

// sampleOutcome returns a play of 4 s with 10 wishes a second, in which the wishes of the third second were refused.
func sampleOutcome() *lab.Outcome {
	rec := record.New()
	rec.Zones = map[string]string{"s0": "a", "u0": "b"}
	for i := range 40 {
		at := time.Duration(i) * 100 * time.Millisecond
		q := &record.Request{ID: string(rune('A' + i)), Wish: i, Sidecar: "s0", Class: "read", Worth: 2, Safe: true, Sent: at + 1, Intended: at,
			Aim: 50 * time.Millisecond, Patience: time.Second, Ended: at + 10*time.Millisecond, End: record.Served}
		switch {
		case i/10 == 2:
			q.End = record.Refused
		case i == 39: // late
			q.Ended = at + 80*time.Millisecond
		}
		rec.Request(q)
		if q.End == record.Served {
			q.Body = q.ID
			rec.Attempt(&record.Attempt{Request: q.ID, Sidecar: "s0", Upstream: "u0", First: at + 2, Begun: at + 2, Ended: q.Ended - 1, Work: time.Millisecond, How: record.OK, Body: q.ID})
		}
	}
	rec.Length = 5 * time.Second
	return &lab.Outcome{Record: rec, Lags: []time.Duration{time.Millisecond, 9 * time.Millisecond},
		Plan: load.Plan{Spec: load.Spec{Length: 4 * time.Second, Classes: []load.Class{{Name: "read", LateWorth: 0.25}}}}}
}

func checkFigure(t *testing.T, f Figures, name string, want float64) {
	t.Helper()
	if got, ok := f[name]; !ok || math.Abs(got-want) > 0.01*max(want, 1) {
		t.Errorf("figure %s: got %v, want %v", name, got, want)
	}
}

func TestFiguresOfAKnownPlay(t *testing.T) {
	f := Measure(sampleOutcome(), 0, 0)
	for name, want := range map[string]float64{"served": (29 + 0.25) / 40, "in_time": 29.0 / 40, "answered": 0.75, "refused": 0.25, "failed": 0,
		"p50_ms": 10, "p999_ms": 80, "attempts": 0.75, "cross": 1, "worst_2s": 9.25 / 20, "rate": 10} {
		checkFigure(t, f, name, want)
	}
	part := Measure(sampleOutcome(), 2*time.Second, 3*time.Second)
	checkFigure(t, part, "served", 0)
	checkFigure(t, part, "refused", 1)
}

func testResult(t *testing.T, expects string) (*Result, *experiment.Experiment) {
	t.Helper()
	e, err := experiment.Parse([]byte("name = \"x\"\nlength = \"4s\"\n[load]\nrate = 10\n[[variant]]\nname = \"a\"\n[[variant]]\nname = \"b\"\n" + expects))
	if err != nil {
		t.Fatal(err)
	}
	r := &Result{Schema: Schema, Experiment: "x", Variants: []string{"a", "b"}}
	for seed := range uint64(3) {
		for _, v := range r.Variants {
			r.Plays = append(r.Plays, NewPlay(e, v, seed, 0, sampleOutcome()))
		}
	}
	r.Finish(e)
	return r, e
}

// Guards against an expectation that can't fail: the test has cases of expectations that hold and of others that fail.
func TestExpectationsHoldAndFail(t *testing.T) {
	for text, want := range map[string]bool{
		"rule = \"all\"":                                                     true,
		"rule = \"lost\"\nbroken = true":                                     false,
		"figure = \"served\"\nmin = 0.7\nmax = 0.8":                          true,
		"figure = \"served\"\nmin = 0.8":                                     false,
		"figure = \"served\"\nfrom = \"2s\"\nto = \"3s\"\nmax = 0":           true,
		"figure = \"served\"\nvariant = \"a\"\nratio_to = \"b\"\nmin = 0.99": true,
		"figure = \"served\"\nvariant = \"a\"\nratio_to = \"b\"\nmin = 1.01": false,
		"figure = \"ready_ms\"\nmax = 1e9":                                   false, // no play has this figure
	} {
		r, _ := testResult(t, "[[expect]]\n"+text)
		if r.Held() != want {
			t.Errorf("expectation %q: got held %v, want %v: %+v", text, r.Held(), want, r.Expects)
		}
	}
}

func TestDoubtsAreSaid(t *testing.T) {
	r, _ := testResult(t, "")
	if p := r.Plays[0]; p.Trusted || len(p.Doubts) != 1 || !strings.Contains(p.Doubts[0], "9.0 ms late") {
		t.Errorf("generator that lagged by 9 ms: got trusted %v and doubts %q, want one doubt with the lag", p.Trusted, p.Doubts)
	}
	o := sampleOutcome()
	o.Lags, o.Littles = nil, [2]float64{1, 1.1}
	if p := NewPlay(&experiment.Experiment{}, "a", 1, 0, o); p.Trusted || !strings.Contains(p.Doubts[0], "Little") {
		t.Errorf("upstreams that break Little's law: got trusted %v and doubts %q, want a doubt about it first", p.Trusted, p.Doubts)
	}
}

func TestResultIsWrittenAndRead(t *testing.T) {
	r, _ := testResult(t, "[[expect]]\nrule = \"all\"")
	dir := t.TempDir()
	if err := r.Write(dir); err != nil {
		t.Fatal(err)
	}
	again, err := Read(dir)
	if err != nil || len(again.Plays) != 6 || again.Medians["a"]["served"] != r.Medians["a"]["served"] {
		t.Errorf("read back: got error %v and %+v, want 6 plays and the same medians as %+v", err, again, r)
	}
	hgrm, err := os.ReadFile(filepath.Join(dir, "a.class-read.hgrm"))
	if err != nil || !strings.Contains(string(hgrm), "Percentile") {
		t.Errorf("histogram: got error %v and %q, want a table of percentiles", err, hgrm)
	}
	page, err := os.ReadFile(filepath.Join(dir, "index.html"))
	if err != nil || bytes.Count(page, []byte("<svg")) != 8 || bytes.Contains(page, []byte("http://")) && bytes.Contains(page, []byte("src=")) {
		t.Errorf("page: got error %v and %d charts, want 8 charts and nothing loaded from elsewhere", err, bytes.Count(page, []byte("<svg")))
	}
	for text, want := range map[string]string{`{"schema": 99}`: "schema 99", `{`: "unexpected end", `{"schema":0}`: "schema 0"} {
		path := filepath.Join(dir, "bad.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("result file %q: got error %v, want one with %q", text, err, want)
		}
	}
	var png bytes.Buffer
	if err := r.Plot(&png, "worth", "png"); err != nil || !bytes.HasPrefix(png.Bytes(), []byte("\x89PNG")) {
		t.Errorf("plot: got error %v and %d bytes, want a PNG", err, png.Len())
	}
	if err := r.Plot(&png, "nothing", "png"); err == nil || !strings.Contains(err.Error(), "Worth served") {
		t.Errorf("chart that does not exist: got error %v, want one that lists \"Worth served\"", err)
	}
}

// Guards against a comparison that reports noise as a difference, or misses a difference that is there.
func TestCompareSaysNoMoreThanItSees(t *testing.T) {
	with := func(served ...float64) *Result {
		r := &Result{}
		for i, x := range served {
			r.Plays = append(r.Plays, &Play{Variant: "v", Seed: uint64(i), Figures: Figures{"served": x}})
		}
		return r
	}
	base := []float64{0.80, 0.90, 0.70, 0.85, 0.75}
	for name, c := range map[string]struct {
		a    []float64
		want string
	}{
		"the same":  {base, "no difference seen"},
		"noise":     {[]float64{0.82, 0.88, 0.71, 0.83, 0.76}, "no difference seen"},
		"higher":    {[]float64{0.88, 0.99, 0.78, 0.94, 0.83}, "higher"}, // by a tenth on each seed, although seeds differ by more
		"lower":     {[]float64{0.72, 0.81, 0.63, 0.76, 0.67}, "lower"},
		"one of it": {[]float64{0.9}, "one play"},
	} {
		ratios, err := Compare(with(c.a...), "v", with(base...), "v")
		if err != nil || len(ratios) != 1 || !strings.HasPrefix(ratios[0].Verdict, c.want) {
			t.Errorf("%s: got ratios %+v and error %v, want one ratio with the verdict %q", name, ratios, err, c.want)
		}
	}
	if _, err := Compare(with(1), "w", with(1), "v"); err == nil {
		t.Error("comparison with a variant that does not exist: got no error, want one")
	}
}
