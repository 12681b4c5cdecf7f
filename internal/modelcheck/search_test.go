package modelcheck

import (
	"slices"
	"strings"
	"testing"
)

// count is a model of a number from 0 to 9, which may grow by one or double, and must not be 7.
type count struct {
	n          int
	allowSeven bool // 7 breaks nothing
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
	for name, x := range map[string]struct {
		free   bool
		most   int
		look   func(*count) string
		states int
		depth  int
		broken string
		path   string
	}{
		"not deep enough":           {most: 4, states: 8, depth: 4}, // 0; 1; 2; 3, 4; 5, 6, 8
		"the shortest way":          {most: 9, states: 8, depth: 4, broken: "seven", path: "one more, one more, one more, double, one more"},
		"all there is":              {free: true, most: 30, states: 10, depth: 5},
		"all there is, looked at":   {free: true, most: 30, look: func(*count) string { return "" }, states: 10, depth: 5},
		"amiss at the last depth":   {free: true, most: 3, look: func(c *count) string { return strings.Repeat("four", c.n/4) }, states: 5, depth: 3, broken: "four", path: "one more, one more, double"},
		"no step, and it is amiss":  {most: 0, look: func(*count) string { return "at once" }, states: 1, broken: "at once"},
		"no step, nothing to be at": {most: 0, states: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := Search(&count{allowSeven: x.free}, x.most, x.look)
			path := []string{}
			if x.path != "" {
				path = strings.Split(x.path, ", ")
			}
			if f.States != x.states || f.Depth != x.depth || f.Broken != x.broken || !slices.Equal(f.Path, path) && len(f.Path)+len(path) > 0 {
				t.Errorf("%+v", f)
			}
		})
	}
}
