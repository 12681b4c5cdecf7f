package experiment

import (
	"path/filepath"
	"strings"
	"testing"
)

const least = "name = \"x\"\nlength = \"1s\"\n"

// Guards against an experiment that says one thing and plays another: what is wrong is named, with its line where the
// file has one.
func TestWhatIsWrongIsNamed(t *testing.T) {
	for text, want := range map[string]string{
		least + "[load]\nrate = 1\nsurprise = 2\n":                                                                "line 5: unknown key load.surprise",
		least + "[load]\nrate = \"much\"\n":                                                                       "line 4, column 8",
		least + "[load\n":                                                                                         "line 3",
		"name = \"x\"\nlength = \"soon\"\n":                                                                       "line 2",
		"length = \"1s\"\n[load]\nrate = 1\n":                                                                     "name: \"\" is no word",
		least + "[load]\nrate = 1\nshare = 1\n":                                                                   "one of rate and share",
		least + "[load]\nrate = 1\nshape = \"odd\"\n":                                                             "load.shape",
		least + "[load]\nrate = 1\n[fleet]\nsidecars = 1000\n":                                                    "fleet.sidecars",
		least + "[load]\nrate = 1\n[[fault]]\nkind = \"rain\"\n":                                                  "fault 1 (rain 1): kind: there is no fault",
		least + "[load]\nrate = 1\n[[fault]]\nkind = \"kill\"\n":                                                  "of.kind: \"\": this befalls a sidecar or upstream",
		least + "[load]\nrate = 1\n[[variant]]\nbreaks = \"x\"\n":                                                 "name \"\" is empty",
		least + "[load]\nrate = 1\n[[expect]]\nrule = \"manners\"\n":                                              "expect 1: there is no rule",
		least + "[load]\nrate = 1\n[[expect]]\nfigure = \"served\"\n":                                             "min or max is wanted",
		least + "[load]\nrate = 1\n[[expect]]\nrule = \"all\"\nvariant = \"other\"\n":                             "there is no variant",
		least + "[load]\nrate = 1\n[[fault]]\nkind = \"slow\"\nof = { kind = \"upstream\" }\n":                    "times: wanted",
		least + "[load]\nrate = 1\n[[fault]]\nkind = \"slow\"\nat = \"2s\"\nof = { kind = \"upstream\" }\n":       "not within the length",
		least + "[load]\nrate = 1\n[[fault]]\nkind = \"ban\"\nof = { kind = \"sidecar\" }\n":                      "fleet.door",
		least + "[load]\nrate = 1\n[[fault]]\nkind = \"cut\"\nway = \"up\"\nof = { kind = \"sidecar\" }\n":        "way: \"up\"",
		least + "[load]\nrate = 1\n[[fault]]\nkind = \"hang\"\nof = { kind = \"upstream\", zone = \"manila\" }\n": "there is no zone",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q\n gives %v\n want %q", text, err, want)
		}
	}
}

func TestExperimentsAtHandAreGood(t *testing.T) {
	paths, err := filepath.Glob("../../../experiments/*.toml")
	if err != nil || len(paths) < 5 {
		t.Fatalf("%d experiments (%v)", len(paths), err)
	}
	for _, path := range paths {
		if filepath.Base(path) == "capacity.toml" {
			continue // a fleet's figures, of another form: read as strictly by package capacity's TestThePageIsWhatIsWorkedOut
		}
		if e, err := LoadFile(path); err != nil {
			t.Error(err)
		} else if e.Question == "" || len(e.Expects) == 0 {
			t.Errorf("%s: no question, or nothing expected", path)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(least + "[load]\nrate = 1\n")
	f.Add(least + "[[fault]]\nkind = \"kill\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		if e, err := Parse([]byte(text)); err == nil && (e.Fleet.Sidecars < 1 || e.Length.Duration <= 0 || len(e.Variants) < 1) {
			t.Errorf("taken: %+v", e)
		}
	})
}
