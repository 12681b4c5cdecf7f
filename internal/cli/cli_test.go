package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/statestore"
)

func call(t *testing.T, args ...string) (status int, out, said string) {
	t.Helper()
	var o, e bytes.Buffer
	status = (&app{stdout: &o, stderr: &e}).run(context.Background(), args)
	return status, o.String(), e.String()
}

// Guards against mistakes that pass for work, or spill onto standard output: each is one line and status 2.
func TestMistakesAreUsage(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"x\"\ncolour = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"fly"}, "no command is called \"fly\""},
		{[]string{"lab", "fly"}, "no command is called \"fly\""},
		{[]string{"lab", "run"}, "accepts 1 arg"},
		{[]string{"lab", "run", "--height", "3", "x"}, "unknown flag: --height"},
		{[]string{"lab", "run", bad}, bad + ": line 2: unknown key colour"},
		{[]string{"lab", "run", bad + ".missing"}, "no such file"},
		{[]string{"lab", "run", "../../experiments/calm.toml", "--variants", "other"}, "no variant \"other\""},
		{[]string{"lab", "run", "../../experiments/calm.toml", "-o", "xml"}, "neither table nor json"},
		{[]string{"lab", "scale", "--days", "steady,sunny"}, "nothing is called \"sunny\""},
		{[]string{"lab", "scale", "--days", "steady,steady"}, "there twice"},
		{[]string{"lab", "scale", "--hollow", "13"}, "hollow: 14 to 10000"},
		{[]string{"lab", "scale", "--hollow", "10000", "--lease", "1ms"}, "lease: at least"},
		{[]string{"lab", "scale", "--real", "1"}, "real: 2 to 64"},
		{[]string{"lab", "scale", "-o", "xml"}, "table or json"},
		{[]string{"lab", "compare", bad, bad}, "invalid character"},
		{[]string{"lab", "list", "--dir", t.TempDir()}, "no experiments"},
		{[]string{"lab", "capacity", "--fleet", "none.toml"}, "none.toml"},
		{[]string{"lab", "capacity", "--fleet", "../../experiments/calm.toml"}, "unknown key"},
		{[]string{"lab", "capacity", "--fleet", "../../experiments/capacity.toml", "--measures", "none"}, "measures"},
		{[]string{"lab", "capacity", "--fleet", "../../experiments/capacity.toml", "--measures", "../../docs/capacity", "--page", "../../README.md"}, "worked out: fleet"},
		{[]string{"lab", "capacity", "--fleet", "../../experiments/capacity.toml", "--measures", "../../docs/capacity", "-o", "xml"}, "table or json"},
		{[]string{"lab", "capacity", "measure"}, "accepts 1 arg"},
		{[]string{"lab", "capacity", "take", "steady"}, "requires at least 2 arg"},
		{[]string{"lab", "capacity", "take", "steady", bad}, "result 1: invalid character"},
		{[]string{"lab", "capacity", "take", "none", "--check", bad, "--measures", "../../docs/capacity"}, "scale-none.json"},
		{[]string{"lab", "capacity", "measure", "none", "--out", t.TempDir()}, "no measure is called \"none\""},
		{[]string{"lab", "capacity", "measure", "none", "--check", "--measures", "../../docs/capacity"}, "none.json"},
		{[]string{"state", "check", bad + ".missing"}, "no such file"},
		{[]string{"state", "show", bad}, "is not a directory"},
	} {
		status, out, said := call(t, c.args...)
		if status != exitUsage || out != "" || !strings.Contains(said, c.want) || strings.Count(said, "\n") != 1 {
			t.Errorf("%v: status %d, printed %q, said %q; want %q", c.args, status, out, said, c.want)
		}
	}
}

func TestEveryCommandHasHelpWithAnExample(t *testing.T) {
	walk := func(path []string) {
		status, out, _ := call(t, append(path, "--help")...)
		if status != exitOK || !strings.Contains(out, "Examples:\n  ") || !strings.Contains(out, "mosslead") {
			t.Errorf("%v --help: status %d, %q", path, status, out)
		}
	}
	for _, path := range [][]string{{}, {"lab"}, {"lab", "run"}, {"lab", "list"}, {"lab", "compare"}, {"lab", "plot"}, {"lab", "faults"}, {"lab", "scale"}, {"lab", "hollow"},
		{"lab", "capacity"}, {"lab", "capacity", "measure"}, {"lab", "capacity", "take"},
		{"state"}, {"state", "show"}, {"state", "check"}, {"state", "repair"}} {
		walk(path)
	}
	for _, args := range [][]string{{"--version"}, {"completion", "bash"}, {"lab", "faults"}, {"lab", "list", "--dir", "../../experiments"},
		{"lab", "capacity", "--fleet", "../../experiments/capacity.toml", "--measures", "../../docs/capacity"},
		{"lab", "capacity", "--fleet", "../../experiments/capacity.toml", "--measures", "../../docs/capacity", "-o", "json"}} {
		if status, out, said := call(t, args...); status != exitOK || out == "" || said != "" {
			t.Errorf("%v: status %d, said %q", args, status, said)
		}
	}
}

// A state directory that is whole passes, one that is damaged fails with a line for each damage, and is repaired.
func TestStateIsShownCheckedAndRepaired(t *testing.T) {
	dir := t.TempDir()
	s := statestore.New(dir, "n1")
	if err := s.Lock(); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Open(time.Now()); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(s.Ban("u1", time.Now()), s.WriteList("here", json.RawMessage(`{"index":3,"endpoints":[{}]}`), time.Now()),
		s.WriteSettings(statestore.Settings{Service: "orders", Document: api.Document{Service: "orders", Region: "south", Revision: 41}}, time.Now())); err != nil {
		t.Fatal(err)
	}
	if status, out, _ := call(t, "state", "check", dir); status != exitOK || out != "" { // beside the process that writes
		t.Errorf("check: status %d, %q", status, out)
	}
	if status, _, said := call(t, "state", "repair", dir); status != exitFailed || !strings.Contains(said, "a sidecar writes there") {
		t.Errorf("repair beside it: status %d, %q", status, said)
	}
	if err := s.Release(true); err != nil {
		t.Fatal(err)
	}
	if status, out, _ := call(t, "state", "show", dir); status != exitOK || !strings.Contains(out, "u1 since") || !strings.Contains(out, "version 3 of here") || !strings.Contains(out, "of orders: version 41 of south, 0s old") {
		t.Errorf("show: status %d, %q", status, out)
	}
	if err := os.WriteFile(filepath.Join(dir, "list.1"), []byte("MBX1 and no more"), 0o600); err != nil {
		t.Fatal(err)
	}
	if status, out, said := call(t, "state", "check", dir); status != exitFailed || !strings.HasPrefix(out, "list.1: byte 0: cut short") || !strings.Contains(said, "1 damages") {
		t.Errorf("check: status %d, %q, %q", status, out, said)
	}
	if status, out, _ := call(t, "state", "repair", dir); status != exitOK || !strings.HasPrefix(out, "dropped list.1") {
		t.Errorf("repair: status %d, %q", status, out)
	}
	status, out, _ := call(t, "state", "show", dir, "-o", "json")
	var shown struct {
		Bans        map[string]string
		Quarantined []string
	}
	if err := json.Unmarshal([]byte(out), &shown); status != exitOK || err != nil || len(shown.Bans) != 1 || len(shown.Quarantined) != 1 {
		t.Errorf("show -o json: status %d, %v, %s", status, err, out)
	}
}
