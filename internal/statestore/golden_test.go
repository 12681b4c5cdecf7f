package statestore

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"mosslead/balancer"
	"mosslead/internal/golden"
)

// Guards against renaming a stored field: a sidecar must read what an earlier version wrote.
func TestStoredFormsKeepTheirKeys(t *testing.T) {
	golden.JSON(t, "stored", &List{}, &Snapshot{}, &Incarnation{}, &Settings{}, &balancer.Snapshot{})
}

// testdata/written is a state directory that revision 835c747 wrote. All of it must be read: bans, list, snapshot and the
// incarnation of the previous process.
func TestDirectoryOfAnEarlierVersionIsRead(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/written")); err != nil {
		t.Fatal(err)
	}
	summary, corruptions, err := Summarize(dir, noon.Add(time.Second))
	if err != nil || len(corruptions) > 0 {
		t.Fatalf("got error %v, corruptions %v, want none", err, corruptions)
	}
	summary.Dir = ""
	text, err := json.MarshalIndent(summary, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "written", string(text)+"\n")
	l, err := New(dir, "s1").Load(noon.Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "written-values", golden.Values([]any{l.Name, l.Bans, l.List, l.Snapshot, l.Incarnation, l.Crashed})+"\n")
}
