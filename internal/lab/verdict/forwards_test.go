package verdict

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mosslead/internal/lab/record"
)

// Checks that a forwarded request makes one hop, is attempted by one sidecar, and stays inside the budget.
func TestForwardedWorkIsJudged(t *testing.T) {
	type hop struct{ from, to string }
	for name, c := range map[string]struct {
		hops  []hop
		by    []string // the sidecars that attempt it, in turn
		count int      // of such requests, within 100 ms
		want  []string
	}{
		"served by a peer":                    {[]hop{{"x", "y"}}, []string{"y"}, 1, nil},
		"refused unbegun, and served locally": {[]hop{{"x", "y"}}, []string{"x"}, 1, nil},
		"attempted twice locally":             {nil, []string{"x", "x"}, 1, nil},
		"forwarded on":                        {[]hop{{"x", "y"}, {"y", "z"}}, []string{"z"}, 1, []string{"two-hops"}},
		"to two peers":                        {[]hop{{"x", "y"}, {"x", "z"}}, []string{"z"}, 1, []string{"two-hops"}},
		"attempted by a peer without a hop":   {nil, []string{"y"}, 1, []string{"two-hops"}},
		"begun by a peer and locally":         {[]hop{{"x", "y"}}, []string{"y", "x"}, 1, []string{"two-carriers"}},
		"within the part and the burst":       {[]hop{{"x", "y"}}, []string{"y"}, 24, nil},
		"beyond the part and the burst":       {[]hop{{"x", "y"}}, []string{"y"}, 40, []string{"forward-budget"}},
	} {
		rec := record.New()
		rec.Length = 20 * sec
		for i := range c.count {
			id, at := fmt.Sprint(i), sec+time.Duration(i)*100*time.Millisecond/time.Duration(c.count)
			rec.Request(&record.Request{ID: id, Sidecar: "x", Safe: true, Intended: at, Sent: at, Ended: at + sec, End: record.Served, Body: id})
			for n, h := range c.hops {
				rec.Hop(record.Hop{At: at + time.Duration(n+1), Request: id, From: h.from, To: h.to})
			}
			for n, by := range c.by {
				from := at + time.Duration(n+1)*10*time.Millisecond
				rec.Attempt(&record.Attempt{Request: id, Sidecar: by, Upstream: "u", First: from, Begun: from, Ended: from + 5*time.Millisecond, How: record.OK, Body: id})
			}
		}
		if got := slices.Compact(violatedRules(rec)); !slices.Equal(got, c.want) {
			t.Errorf("%s: got violations %v, want %v", name, got, c.want)
		}
	}
}
