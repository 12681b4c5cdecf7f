package build

import (
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
		if got, err := command(tree, sidecarCommands); err != nil || got != name {
			t.Errorf("found %q, %v, want %q", got, err, name)
		}
	}
	if _, err := command(t.TempDir(), sidecarCommands); err == nil {
		t.Error("a tree without a sidecar has one")
	}
}
