package build

import (
	"context"
	"os"
	"path/filepath"
	"testing"
)

// Checks that the sidecar's command is found under its present name and under that of earlier revisions, which
// experiments compare with.
func TestSidecarOfAnEarlierRevisionIsFound(t *testing.T) {
	for _, name := range sidecarCommands {
		tree := t.TempDir()
		if err := os.MkdirAll(filepath.Join(tree, "cmd", name), 0o755); err != nil {
			t.Fatal(err)
		}
		if got, err := findCommand(tree, sidecarCommands); err != nil || got != name {
			t.Errorf("command in a tree with cmd/%s: got %q, error %v, want %q", name, got, err, name)
		}
	}
	if _, err := findCommand(t.TempDir(), sidecarCommands); err == nil {
		t.Error("command in a tree without a sidecar: got no error, want one")
	}
}

// Checks that every patch applies. A patch plants a fault that an experiment has to find; if it did not apply, the
// experiment would fail without a fault.
func TestPatchesOfExperimentsApply(t *testing.T) {
	root, err := Root(".")
	if err != nil {
		t.Fatal(err)
	}
	patches, err := filepath.Glob(filepath.Join(root, "experiments", "patches", "*.patch"))
	if err != nil || len(patches) == 0 {
		t.Fatalf("looking for patches: got %d, error %v, want at least 1", len(patches), err)
	}
	for _, patch := range patches {
		if _, err := run(context.Background(), root, "git", "apply", "--check", "--whitespace=nowarn", patch); err != nil {
			t.Error(err)
		}
	}
}
