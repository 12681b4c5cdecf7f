// Package approve compares transcripts with those that a person has approved, in a test's testdata/transcripts. The flag -update
// approves the present ones.
package approve

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Text compares text with the approved transcript of that name. shows is the line, or the part of a line, that the transcript has
// to contain: a transcript without it fails and can't be approved.
func Text(t *testing.T, name, shows, text string) {
	t.Helper()
	if !strings.Contains(text, shows) {
		t.Errorf("transcript %s: got a text without %q, want it contained:\n%s", name, shows, text)
		return
	}
	goldie.New(t, goldie.WithFixtureDir("testdata/transcripts"), goldie.WithNameSuffix(".txt"), goldie.WithDiffEngine(goldie.Simple)).Assert(t, name, []byte(text))
}
