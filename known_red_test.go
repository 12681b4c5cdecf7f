package mosslead_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a known-red.sh that ignores other failures than those listed in KNOWN-RED.txt, or that accepts an invalid or outdated list.
// It runs the script on modules of two packages, whose tests pass or fail as each case says.
func TestKnownRedTestsAreRunPrintedAndPassedOver(t *testing.T) {
	script, err := filepath.Abs("known-red.sh")
	if err != nil {
		t.Fatal(err)
	}
	const (
		bad       = "package p\n\nimport \"testing\"\n\nfunc TestA(t *testing.T) { t.Error(\"as known\") }\n\nfunc TestAB(t *testing.T) {}\n"
		good      = "package p\n\nimport \"testing\"\n\nfunc TestA(t *testing.T) {}\n\nfunc TestAB(t *testing.T) {}\n"
		worse     = "package p\n\nimport \"testing\"\n\nfunc TestA(t *testing.T) { t.Error(\"as known\") }\n\nfunc TestAB(t *testing.T) { t.Error(\"news\") }\n"
		skips     = "package p\n\nimport \"testing\"\n\nfunc TestA(t *testing.T) { t.Skip() }\n"
		exits     = "package p\n\nimport (\n\t\"os\"\n\t\"testing\"\n)\n\nfunc TestA(t *testing.T) { os.Exit(3) }\n"
		broken    = "package p\n\nfunc TestA(t *testing.T) {}\n"
		knownLine = "tiny/p TestA | go test ./p -run TestA | seed 7 | a cause: more of it | issue 25\n"
	)
	for name, c := range map[string]struct {
		p, q, known string // tests of the packages p and q, and KNOWN-RED.txt; "-" for no file
		pass        bool
		wantOutput  string
	}{
		"no file, all pass":          {good, good, "-", true, "ok  \ttiny/q"},
		"no file, one fails":         {bad, good, "-", false, "as known"},
		"an empty file":              {good, good, "", true, "ok  \ttiny/q"},
		"an empty file, one fails":   {bad, good, "", false, "as known"},
		"a known one":                {bad, good, knownLine, true, "known red: " + knownLine},
		"a line without its end":     {bad, good, strings.TrimSpace(knownLine), true, "known red: " + knownLine},
		"two known ones":             {worse, good, knownLine + "tiny/p TestAB | go test ./p | seed none | too | issue 7\n", true, "known red: tiny/p TestAB | go test ./p | seed none | too | issue 7"},
		"no other package":           {bad, "-", knownLine, true, "known red: "},
		"another of its package":     {worse, good, knownLine, false, "--- FAIL: TestAB"},
		"the like-named of another":  {bad, bad, knownLine, false, "FAIL\ttiny/q"},
		"a known one passes":         {good, good, knownLine, false, "TestA does not fail: remove its line"},
		"a known one is skipped":     {skips, good, knownLine, false, "TestA does not fail: remove its line"},
		"a known one ends the run":   {exits, good, knownLine, false, "TestA: its run failed, but not by a failure of the test"},
		"a known one does not build": {broken, good, knownLine, false, "TestA: its run failed, but not by a failure of the test"},
		"a known one is not there":   {good, good, strings.Replace(knownLine, "TestA", "TestB", 1), false, "TestB does not fail"},
		"no such package":            {bad, good, strings.Replace(knownLine, "/p", "/r", 1), false, "no package tiny/r"},
		"four lines":                 {bad, good, strings.Repeat(knownLine, 4), false, "over three lines"},
		"no issue":                   {bad, good, strings.Replace(knownLine, " | issue 25", "", 1), false, "not of the form"},
		"no number of an issue":      {bad, good, strings.Replace(knownLine, "issue 25", "issue", 1), false, "not of the form"},
		"nothing seen":               {bad, good, strings.Replace(knownLine, "a cause: more of it", "", 1), false, "not of the form"},
		"no seed":                    {bad, good, strings.Replace(knownLine, " | seed 7", "", 1), false, "not of the form"},
		"no command":                 {bad, good, strings.Replace(knownLine, " | go test ./p -run TestA", "", 1), false, "not of the form"},
		"another command":            {bad, good, strings.Replace(knownLine, "go test", "make", 1), false, "not of the form"},
		"the form of before":         {bad, good, "tiny/p TestA: a cause (issue 25)\n", false, "not of the form"},
		"a part of a test":           {bad, good, strings.Replace(knownLine, "TestA", "TestA/b", 1), false, "not of the form"},
		"a blank line":               {bad, good, knownLine + "\n", false, "not of the form"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			for path, text := range map[string]string{"go.mod": "module tiny\n\ngo 1.26.0\n", "p/p_test.go": c.p, "q/q_test.go": c.q, "KNOWN-RED.txt": c.known} {
				path = filepath.Join(dir, path)
				if text == "-" {
					continue
				}
				if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			cmd := exec.CommandContext(t.Context(), "sh", script)
			cmd.Dir = dir
			cmd.Env = append(os.Environ(), "GOFLAGS=", "GOWORK=off")
			out, err := cmd.CombinedOutput()
			if (err == nil) != c.pass || !strings.Contains(string(out), strings.TrimSpace(c.wantOutput)) {
				t.Errorf("known-red.sh: got error %v, want success %v and %q in the output:\n%s", err, c.pass, c.wantOutput, out)
			}
		})
	}
}
