package build

import (
	"context"
	"os"
	"path/filepath"
	"testing"
)

// An experiment compares with earlier revisions, whose sidecar was another command. Both are found.
func TestSidecarOfAnEarlierRevisionIsFound(t *testing.T) {
	for _, name := range sidecarCommands {
		tree := t.TempDir()
		if err := os.MkdirAll(filepath.Join(tree, "cmd", name), 0o755); err != nil {
			t.Fatal(err)
		}
		if got, err := findCommand(tree, sidecarCommands); err != nil || got != name {
			t.Errorf("found %q, %v, want %q", got, err, name)
		}
	}
	if _, err := findCommand(t.TempDir(), sidecarCommands); err == nil {
		t.Error("a tree without a sidecar has one")
	}
}

// A patch plants a fault that an experiment has to find. One that no longer applies would fail it for no fault.
func TestPatchesOfExperimentsApply(t *testing.T) {
	root, err := Root(".")
	if err != nil {
		t.Fatal(err)
	}
	patches, err := filepath.Glob(filepath.Join(root, "experiments", "patches", "*.patch"))
	if err != nil || len(patches) == 0 {
		t.Fatalf("%d patches, %v", len(patches), err)
	}
	for _, patch := range patches {
		if _, err := run(context.Background(), root, "git", "apply", "--check", "--whitespace=nowarn", patch); err != nil {
			t.Error(err)
		}
	}
}
