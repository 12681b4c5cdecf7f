package statestore

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"mosslead/balancer"
	"mosslead/internal/golden"
)

// A sidecar starts with what an earlier version of it wrote.
func TestStoredFormsKeepTheirKeys(t *testing.T) {
	golden.JSON(t, "stored", &List{}, &Snapshot{}, &Incarnation{}, &Settings{}, &balancer.Snapshot{})
}

// testdata/written is a state directory that revision 835c747 wrote. All of it is read: bans, list, estimates and the life of
// the process before.
func TestDirectoryOfAnEarlierVersionIsRead(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/written")); err != nil {
		t.Fatal(err)
	}
	summary, corruptions, err := Summarize(dir, noon.Add(time.Second))
	if err != nil || len(corruptions) > 0 {
		t.Fatalf("error %v, damages %v", err, corruptions)
	}
	summary.Dir = ""
	text, err := json.MarshalIndent(summary, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "written", string(text)+"\n")
	k, err := New(dir, "s1").Load(noon.Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "written-values", golden.Values([]any{k.Name, k.Bans, k.List, k.Snapshot, k.Incarnation, k.Crashed})+"\n")
}
