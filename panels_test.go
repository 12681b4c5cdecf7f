package mosslead_test

import (
	"cmp"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a panels.sh that excuses other failures than the two that the operators excuse, each on its own kind of day, or that
// passes a panel with another failure beside them.
// The script runs on a fake bench, which prints recorded output: the short days of manila-orders on seed 31, played on 2 December 2026,
// whose gate failed for the first of the two causes. The text of the second, and of several causes in a line, is recorded from trials
// with a program that rejects nearly all requests.
func TestPanelsExcuseTwoCasesAndNothingElse(t *testing.T) {
	script, err := filepath.Abs("panels.sh")
	if err != nil {
		t.Fatal(err)
	}
	read := func(path string) string {
		text, err := os.ReadFile(filepath.Join("testdata/panels", path))
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	recorded, several := read("short.txt"), read("several.txt")
	const (
		crowd         = "floor (40 of 64 further attempts told more time than was left), herd+crowd+brink+mass-13"
		throng        = "floor (served 0.033, wanted 0.166), throng+brink+mass-14"
		gateFailed    = "GATE failed: "
		panelFailed   = "panel short: FAILED: a failed gate"
		excusedPrefix = "panel short: excused: "
	)
	if strings.Count(recorded, gateFailed+crowd+"\n") != 1 || strings.Count(recorded, "GATE") != 1 || strings.Count(several, throng+"; ") != 1 {
		t.Fatal("testdata/panels: short.txt or several.txt differs from the recording")
	}
	with := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(recorded) }
	gate := func(line string) string { return with(gateFailed+crowd, line) }
	for name, c := range map[string]struct {
		panel, prints string   // panel is short if empty; prints is the output of the bench
		benchStatus   int      // exit status of the bench
		pass          bool     // whether the panel passes
		want          []string // texts in the output
		wantNone      string   // text that is not in the output
	}{
		"passed":                           {prints: gate("GATE passed"), pass: true, wantNone: "excused"},
		"as recorded":                      {prints: recorded, pass: true, want: []string{excusedPrefix + crowd}},
		"the other case":                   {prints: gate(gateFailed + throng), pass: true, want: []string{excusedPrefix + throng}},
		"both":                             {prints: gate(gateFailed + crowd + "; " + throng), pass: true, want: []string{excusedPrefix + crowd, excusedPrefix + throng}},
		"both days with throng":            {prints: gate(gateFailed + throng + "; floor (served 0.030, wanted 0.174), throng+brink+mass-15"), pass: true, want: []string{excusedPrefix + throng, "mass-15"}},
		"both, a line each":                {prints: gate(gateFailed + crowd + "\n" + gateFailed + throng), pass: true, want: []string{excusedPrefix + crowd, excusedPrefix + throng}},
		"many of many":                     {prints: with("40 of 64", "181 of 210"), pass: true, want: []string{excusedPrefix + "floor (181 of 210 "}},
		"other words beside crowd":         {prints: with("), herd+crowd+brink+mass-13", "), herd+pipeline+crowd+brink+mass-7"), pass: true, want: []string{excusedPrefix}},
		"several, as recorded":             {prints: gate(several), want: []string{panelFailed, excusedPrefix + throng}},
		"attempts on another day":          {prints: with("), herd+crowd+brink+mass-13", "), herd+brink+mass-6"), want: []string{panelFailed}, wantNone: excusedPrefix},
		"attempts on a day named so":       {prints: with("), herd+crowd+brink+mass-13", "), herd+crowded+brink+mass-13"), want: []string{panelFailed}, wantNone: excusedPrefix},
		"attempts on throng":               {prints: with("), herd+crowd+brink+mass-13", "), throng+brink+mass-14"), want: []string{panelFailed}, wantNone: excusedPrefix},
		"attempts on all days":             {prints: with("), herd+crowd+brink+mass-13", "), all days"), want: []string{panelFailed}, wantNone: excusedPrefix},
		"first attempts on crowd":          {prints: with("further attempts", "first attempts"), want: []string{panelFailed}, wantNone: excusedPrefix},
		"sent after the close, on crowd":   {prints: with("64 further attempts told more time than was left", "64 were sent on after the close"), want: []string{panelFailed}, wantNone: excusedPrefix},
		"served on crowd":                  {prints: gate(gateFailed + strings.Replace(throng, "throng", "herd+crowd", 1)), want: []string{panelFailed}, wantNone: excusedPrefix},
		"served on another day":            {prints: gate(gateFailed + strings.Replace(throng, "throng", "roll", 1)), want: []string{panelFailed}, wantNone: excusedPrefix},
		"served on all days":               {prints: gate(gateFailed + "floor (served 0.181 in the mean, wanted 0.305), all days"), want: []string{panelFailed}, wantNone: excusedPrefix},
		"a class on throng":                {prints: gate(gateFailed + strings.Replace(throng, "served", "class plan-read served", 1)), want: []string{panelFailed}, wantNone: excusedPrefix},
		"in the mean, on throng":           {prints: gate(gateFailed + strings.Replace(throng, "0.033,", "0.033 in the mean,", 1)), want: []string{panelFailed}, wantNone: excusedPrefix},
		"no reason, on throng":             {prints: gate(gateFailed + "floor, throng+brink+mass-14"), want: []string{panelFailed}, wantNone: excusedPrefix},
		"a crash on throng":                {prints: gate(gateFailed + "crash, throng+brink+mass-14"), want: []string{panelFailed}, wantNone: excusedPrefix},
		"another cause behind it":          {prints: gate(gateFailed + crowd + "; floor (served 0.032, wanted 0.188), roll+brink+mass-1"), want: []string{panelFailed, excusedPrefix + crowd}},
		"another cause before it":          {prints: gate(gateFailed + "lost, roll+brink+mass-1; " + crowd), want: []string{panelFailed, excusedPrefix + crowd}},
		"another line beside it":           {prints: gate(gateFailed + crowd + "\n" + gateFailed + "lost, roll+brink+mass-1"), want: []string{panelFailed, excusedPrefix + crowd}},
		"more words behind it":             {prints: gate(gateFailed + crowd + " and more"), want: []string{panelFailed}, wantNone: excusedPrefix},
		"no cause":                         {prints: gate(gateFailed), want: []string{panelFailed}, wantNone: excusedPrefix},
		"passed, with something behind it": {prints: gate("GATE passed but for one"), want: []string{panelFailed}},
		"a crash":                          {prints: gate(gateFailed + "crash, roll+brink+mass-1"), want: []string{panelFailed}, wantNone: excusedPrefix},
		"a crash beside it":                {prints: gate("    node n0 crashed: exited with 1\n" + gateFailed + crowd), want: []string{"FAILED: a broken rule or a crash"}},
		"a broken rule beside it":          {prints: with("score 0.20", "score 0.00  BROKEN: lost"), want: []string{"FAILED: a broken rule or a crash"}},
		"a fault beside it":                {prints: gate("FAULT (the day counts as zero): node n1 ended\n" + gateFailed + crowd), want: []string{"FAILED: a broken rule or a crash"}},
		"the bench ends with an error":     {prints: recorded, benchStatus: 1, want: []string{"FAILED: the bench ended with 1"}},
		"the bench is cut short":           {prints: gate("snapshot"), want: []string{"FAILED: no gate was passed"}, wantNone: excusedPrefix},
		"hardly a day is played":           {prints: "GATE passed\n", want: []string{"FAILED: 0 days played"}},
		"on the full-size days":            {panel: "full-size", prints: with(" score 0.00", " score 0.01"), want: []string{"panel full-size: FAILED: a failed gate"}, wantNone: "excused"},
		"on the fleet's days":              {panel: "fleet", prints: with(" score 0.00", " score 0.01"), want: []string{"panel fleet: FAILED: a failed gate"}, wantNone: "excused"},
		"a day at 0 there":                 {panel: "full-size", prints: gate("GATE passed"), want: []string{"panel full-size: FAILED: a day at 0"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			for _, benchDir := range []string{"more/bin", "more/mass/bin"} {
				if err := os.MkdirAll(filepath.Join(dir, benchDir), 0o755); err != nil {
					t.Fatal(err)
				}
				bench := "#!/bin/sh\ncat \"$(dirname \"$0\")/prints\"\nexit " + string(rune('0'+c.benchStatus)) + "\n"
				for path, text := range map[string]string{"lbreal": bench, "prints": c.prints} {
					if err := os.WriteFile(filepath.Join(dir, benchDir, path), []byte(text), 0o755); err != nil {
						t.Fatal(err)
					}
				}
			}
			cmd := exec.CommandContext(t.Context(), "sh", script, dir, "site.toml", "a test", cmp.Or(c.panel, "short"))
			out, err := cmd.CombinedOutput()
			if status := cmd.ProcessState.ExitCode(); status != 0 && status != 1 || (status == 0) != c.pass {
				t.Errorf("panels.sh: got status %d, error %v, want status 0 or 1 and success %v", status, err, c.pass)
			}
			for _, text := range c.want {
				if !strings.Contains(string(out), text) {
					t.Errorf("panels.sh: got output without %q, want it in the output", text)
				}
			}
			if c.wantNone != "" && strings.Contains(string(out), c.wantNone) || c.pass && strings.Contains(string(out), "FAILED") {
				t.Errorf("panels.sh: got output with %q, or with FAILED; want no %q, and FAILED only if the panel fails (success %v)", c.wantNone, c.wantNone, c.pass)
			}
			if t.Failed() {
				t.Logf("%s", out)
			}
		})
	}
}
