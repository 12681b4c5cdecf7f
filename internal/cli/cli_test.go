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

// call runs a command and returns its exit status and its output.
func call(t *testing.T, args ...string) (status int, stdout, stderr string) {
	t.Helper()
	var outBuf, errBuf bytes.Buffer
	status = (&app{stdout: &outBuf, stderr: &errBuf}).run(context.Background(), args)
	return status, outBuf.String(), errBuf.String()
}

// Guards against wrong arguments that are accepted, or whose error is on standard output: each gives one line on standard error and
// status 2.
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
		status, stdout, stderr := call(t, c.args...)
		if status != exitUsage || stdout != "" || !strings.Contains(stderr, c.want) || strings.Count(stderr, "\n") != 1 {
			t.Errorf("%v: got status %d, stdout %q, stderr %q; want status %d, no stdout, one line on stderr with %q", c.args, status, stdout, stderr, exitUsage, c.want)
		}
	}
}

func TestEveryCommandHasHelpWithAnExample(t *testing.T) {
	checkHelp := func(path []string) {
		status, stdout, _ := call(t, append(path, "--help")...)
		if status != exitOK || !strings.Contains(stdout, "Examples:\n  ") || !strings.Contains(stdout, "mosslead") {
			t.Errorf("%v --help: got status %d, stdout %q; want status %d and an example", path, status, stdout, exitOK)
		}
	}
	for _, path := range [][]string{{}, {"lab"}, {"lab", "run"}, {"lab", "list"}, {"lab", "compare"}, {"lab", "plot"}, {"lab", "faults"}, {"lab", "scale"}, {"lab", "hollow"},
		{"lab", "capacity"}, {"lab", "capacity", "measure"}, {"lab", "capacity", "take"},
		{"state"}, {"state", "show"}, {"state", "check"}, {"state", "repair"}} {
		checkHelp(path)
	}
	for _, args := range [][]string{{"--version"}, {"completion", "bash"}, {"lab", "faults"}, {"lab", "list", "--dir", "../../experiments"},
		{"lab", "capacity", "--fleet", "../../experiments/capacity.toml", "--measures", "../../docs/capacity"},
		{"lab", "capacity", "--fleet", "../../experiments/capacity.toml", "--measures", "../../docs/capacity", "-o", "json"}} {
		if status, stdout, stderr := call(t, args...); status != exitOK || stdout == "" || stderr != "" {
			t.Errorf("%v: got status %d, stdout %q, stderr %q; want status %d, some stdout, no stderr", args, status, stdout, stderr, exitOK)
		}
	}
}

// An intact state directory passes the check. A damaged one fails it with a line for each damage, and can be repaired.
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
	if status, stdout, _ := call(t, "state", "check", dir); status != exitOK || stdout != "" { // while the lock is held
		t.Errorf("check of an intact directory: got status %d, stdout %q; want status %d, no stdout", status, stdout, exitOK)
	}
	if status, _, stderr := call(t, "state", "repair", dir); status != exitFailed || !strings.Contains(stderr, "a sidecar writes there") {
		t.Errorf("repair while locked: got status %d, stderr %q; want status %d, stderr with %q", status, stderr, exitFailed, "a sidecar writes there")
	}
	if err := s.Release(true); err != nil {
		t.Fatal(err)
	}
	if status, stdout, _ := call(t, "state", "show", dir); status != exitOK || !strings.Contains(stdout, "u1 since") || !strings.Contains(stdout, "version 3 of here") || !strings.Contains(stdout, "of orders: version 41 of south, 0s old") {
		t.Errorf("show: got status %d, stdout %q; want status %d and the ban of u1, version 3 of here, version 41 of south", status, stdout, exitOK)
	}
	if err := os.WriteFile(filepath.Join(dir, "list.1"), []byte("MBX1 and no more"), 0o600); err != nil {
		t.Fatal(err)
	}
	if status, stdout, stderr := call(t, "state", "check", dir); status != exitFailed || !strings.HasPrefix(stdout, "list.1: byte 0: cut short") || !strings.Contains(stderr, "1 damages") {
		t.Errorf("check of a damaged list.1: got status %d, stdout %q, stderr %q; want status %d, stdout list.1: byte 0: cut short, stderr with 1 damages", status, stdout, stderr, exitFailed)
	}
	if status, stdout, _ := call(t, "state", "repair", dir); status != exitOK || !strings.HasPrefix(stdout, "dropped list.1") {
		t.Errorf("repair: got status %d, stdout %q; want status %d, stdout dropped list.1", status, stdout, exitOK)
	}
	status, stdout, _ := call(t, "state", "show", dir, "-o", "json")
	var shown struct {
		Bans        map[string]string
		Quarantined []string
	}
	if err := json.Unmarshal([]byte(stdout), &shown); status != exitOK || err != nil || len(shown.Bans) != 1 || len(shown.Quarantined) != 1 {
		t.Errorf("show -o json: got status %d, error %v, stdout %s; want status %d, one ban, one quarantined file", status, err, stdout, exitOK)
	}
}
