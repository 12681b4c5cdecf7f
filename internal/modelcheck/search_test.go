package modelcheck

import (
	"slices"
	"strings"
	"testing"
)

// count is a model of a number that starts at 0. A step adds one to a number below 9, or doubles a number from 1 to 4. The number 7
// breaks the invariant unless allowSeven is set.
type count struct {
	n          int
	allowSeven bool // 7 breaks no invariant
}

func (c *count) Clone() *count { x := *c; return &x }

func (c *count) Steps(add func(string, func(*count))) {
	if c.n < 9 {
		add("one more", func(c *count) { c.n++ })
	}
	if c.n > 0 && c.n < 5 {
		add("double", func(c *count) { c.n *= 2 })
	}
}

func (c *count) Broken(before *count) string {
	if c.n == 7 && !c.allowSeven {
		return "seven"
	}
	return ""
}

func (c *count) Hash() (h Hash) { h[0] = byte(c.n); return h }

func TestSearch(t *testing.T) {
	for name, test := range map[string]struct {
		allowSeven bool
		maxDepth   int
		check      func(*count) string
		states     int
		depth      int
		broken     string
		path       string
	}{
		"not deep enough":               {maxDepth: 4, states: 8, depth: 4}, // the states by depth: 0; 1; 2; 3, 4; 5, 6, 8
		"the shortest path":             {maxDepth: 9, states: 8, depth: 4, broken: "seven", path: "one more, one more, one more, double, one more"},
		"all states":                    {allowSeven: true, maxDepth: 30, states: 10, depth: 5},
		"all states, each checked":      {allowSeven: true, maxDepth: 30, check: func(*count) string { return "" }, states: 10, depth: 5},
		"check fails at the last depth": {allowSeven: true, maxDepth: 3, check: func(c *count) string { return strings.Repeat("four", c.n/4) }, states: 5, depth: 3, broken: "four", path: "one more, one more, double"},
		"no step, check fails":          {maxDepth: 0, check: func(*count) string { return "at once" }, states: 1, broken: "at once"},
		"no step, no check":             {maxDepth: 0, states: 1},
	} {
		t.Run(name, func(t *testing.T) {
			result := Search(&count{allowSeven: test.allowSeven}, test.maxDepth, test.check)
			path := []string{}
			if test.path != "" {
				path = strings.Split(test.path, ", ")
			}
			if result.States != test.states || result.Depth != test.depth || result.Broken != test.broken || !slices.Equal(result.Path, path) && len(result.Path)+len(path) > 0 {
				t.Errorf("got %+v, want %d states, depth %d, violation %q, path %q", result, test.states, test.depth, test.broken, path)
			}
		})
	}
}
