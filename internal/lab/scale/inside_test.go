package scale

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mosslead/internal/lab/record"
)

// asked is a record of requests at two sidecars, one in each region: some a second before the cut, and as many during it. All are
// served inside their region.
func asked(n int) (rs []*record.Request, as []*record.Attempt) {
	for i := range 2 * n {
		for _, name := range []string{"x0", "x1"} {
			id := fmt.Sprint(name, "-", i)
			at := time.Duration(i) * time.Second / time.Duration(n)
			rs = append(rs, &record.Request{ID: id, Sidecar: name, Intended: at, End: record.Served})
			as = append(as, &record.Attempt{Request: id, Upstream: name, First: at + 1, How: record.OK})
		}
	}
	return rs, as
}

// Guards against a verdict on what is served inside a region that blames where all is well, or sees nothing: faults are planted at x1 in
// the south during the cut but for where it says otherwise.
func TestServedInsideCatchesItsFault(t *testing.T) {
	const n = 200
	first := func(as []*record.Attempt, id string) *record.Attempt {
		for _, a := range as {
			if a.Request == id {
				return a
			}
		}
		return nil
	}
	// each has f for so many of x1's requests from the one of that number on.
	each := func(rs []*record.Request, as []*record.Attempt, from, count int, f func(q *record.Request, a *record.Attempt)) {
		for i := from; i < from+count; i++ {
			f(rs[2*i+1], first(as, rs[2*i+1].ID))
		}
	}
	lost := func(q *record.Request, a *record.Attempt) { q.End, a.How = record.Unanswered, record.Lost }
	for name, c := range map[string]struct {
		from, count int
		plant       func(q *record.Request, a *record.Attempt)
		broken      bool
	}{
		"all is well":                           {n, 0, lost, false},
		"1 in 100 lost":                         {n, 2, lost, false},
		"3 in 200 lost":                         {n, 3, lost, true},
		"all lost":                              {n, n, lost, true},
		"as many lost before":                   {0, 2 * n / 10, lost, false},
		"no attempt at all":                     {n, 3, func(q *record.Request, a *record.Attempt) { q.End, a.Request = record.Refused, "" }, true},
		"the other region's from the beginning": {n, 3, func(q *record.Request, a *record.Attempt) { q.End, a.Upstream = record.Unanswered, "x0" }, false},
		"served by the other region":            {n, 3, func(_ *record.Request, a *record.Attempt) { a.How = record.Lost }, true},
		"never sent, as the play was stopped":   {n, 3, func(q *record.Request, _ *record.Attempt) { q.End = record.Unsent }, false},
		"nobody asked during the cut":           {n, n, func(q *record.Request, _ *record.Attempt) { q.End = record.Unsent }, true},
		"nobody asked before it":                {0, n, func(q *record.Request, _ *record.Attempt) { q.End = record.Unsent }, true},
		"nothing served before it":              {0, n, lost, true},
		"lost outside both times":               {2*n - 1, 1, lost, false},
	} {
		t.Run(name, func(t *testing.T) {
			rs, as := asked(n)
			each(rs, as, c.from, c.count, c.plant)
			where := map[string]string{"x0": "north", "x1": "south"}
			found := judgeInside(inside(rs, as, where, where, window{0, time.Second}, window{time.Second, 2 * time.Second}))
			if (len(found) > 0) != c.broken {
				t.Errorf("%+v", found)
			}
			for _, f := range found {
				if f.Verdict != ServedInside || !strings.Contains(f.Process, "south") {
					t.Errorf("%+v", f)
				}
			}
		})
	}
}

// Guards against an attempt that is taken for a request's though it was another day's, of the same name.
func TestInsideLeavesOutAnotherDaysAttempts(t *testing.T) {
	rs := []*record.Request{{ID: "a", Sidecar: "x0", Intended: time.Minute, End: record.Served}}
	as := []*record.Attempt{{Request: "a", Upstream: "x1", First: time.Second, How: record.OK}, {Request: "a", Upstream: "x0", First: time.Minute + 1, How: record.OK}}
	where := map[string]string{"x0": "north", "x1": "south"}
	in := inside(rs, as, where, map[string]string{"x0": "north"}, window{0, time.Second}, window{time.Minute, 2 * time.Minute})
	if len(in) != 1 || in[0] != (Inside{"north", Served{}, Served{1, 1}, 0}) {
		t.Errorf("%+v", in)
	}
}

// Guards against a count that takes requests of other times, or of a sidecar without clients.
func TestInsideCountsItsWindows(t *testing.T) {
	rs, as := asked(10)
	as[1].Upstream = "x0" // the first of x1
	in := inside(rs, as, map[string]string{"x0": "north", "x1": "south"}, map[string]string{"x1": "south"}, window{0, 500 * time.Millisecond}, window{time.Second, 1200 * time.Millisecond})
	if len(in) != 1 || in[0] != (Inside{"south", Served{4, 4}, Served{2, 2}, 1}) {
		t.Errorf("%+v", in)
	}
}
