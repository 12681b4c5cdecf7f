// Package approve holds transcripts against those that a person has approved, in a test's testdata/transcripts; -update approves
// what there is now.
package approve

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Text is the transcript of that name; shows is the line, or a part of one, that it is about: one that lacks it is approved by
// nobody.
func Text(t *testing.T, name, shows, text string) {
	t.Helper()
	if !strings.Contains(text, shows) {
		t.Errorf("lacks %q:\n%s", shows, text)
		return
	}
	goldie.New(t, goldie.WithFixtureDir("testdata/transcripts"), goldie.WithNameSuffix(".txt"), goldie.WithDiffEngine(goldie.Simple)).Assert(t, name, []byte(text))
}
