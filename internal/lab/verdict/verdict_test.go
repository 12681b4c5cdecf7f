package verdict

import (
	"testing"
	"time"

	"mosslead/internal/lab/record"
)

const s = time.Second

// rules returns the names of the rules that the record violates.
func rules(rec *record.Record) (names []string) {
	for _, v := range Judge(rec, Standard()) {
		names = append(names, v.Rule)
	}
	return names
}

// Checks that a sidecar is not blamed for a loss that it could not prevent, and is blamed without such an excuse.
func TestLostIsExcusedByWhatHappenedToTheSidecar(t *testing.T) {
	for name, c := range map[string]struct {
		life  *record.Life
		end   record.End
		first bool
		lost  bool
	}{
		"no answer":                        {nil, record.Unanswered, false, true},
		"no answer, killed":                {&record.Life{Party: "x", Start: 1, End: 11 * s, Killed: true}, record.Unanswered, false, false},
		"no answer, killed long before":    {&record.Life{Party: "x", Start: 1, End: 5 * s, Killed: true}, record.Unanswered, false, true},
		"no answer, another was killed":    {&record.Life{Party: "y", Start: 1, End: 11 * s, Killed: true}, record.Unanswered, false, true},
		"no answer, stopped meanwhile":     {&record.Life{Party: "x", Start: 11 * s, End: 30 * s, Paused: true}, record.Unanswered, false, false},
		"dropped, sent soon after SIGTERM": {&record.Life{Party: "x", Start: 1, Termed: 9900 * time.Millisecond, End: 11 * s, Exit: "exit status 0"}, record.Dropped, false, true},
		"dropped, sent long after SIGTERM": {&record.Life{Party: "x", Start: 1, Termed: 9 * s, End: 11 * s, Exit: "exit status 0"}, record.Dropped, false, true},
		"dropped, killed late, sent soon":  {&record.Life{Party: "x", Start: 1, Termed: 9900 * time.Millisecond, End: 11900 * time.Millisecond, Killed: true}, record.Dropped, false, false},
		"dropped, killed late, sent late":  {&record.Life{Party: "x", Start: 1, Termed: 9 * s, End: 11900 * time.Millisecond, Killed: true}, record.Dropped, false, true},
		"dropped":                          {nil, record.Dropped, false, true},
		"broken":                           {nil, record.Broken, false, true},
		"refused":                          {nil, record.Refused, false, false},
		"no connection":                    {nil, record.NoConnect, false, false},
		"the client left":                  {nil, record.Left, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			rec := record.New()
			rec.Length = 20 * s
			rec.Request(&record.Request{ID: "a", Sidecar: "x", Safe: true, Intended: 10 * s, Sent: 10 * s, Ended: 12 * s, End: c.end, FirstUse: c.first})
			if c.life != nil {
				rec.Life(c.life)
			}
			if got := rules(rec); (len(got) == 1 && got[0] == "lost") != c.lost {
				t.Errorf("got violations %v, want \"lost\": %v", got, c.lost)
			}
		})
	}
}

// Checks a process that was told to end: it may close a connection in order only if the close crosses a request.
func TestAfterTerm(t *testing.T) {
	for name, c := range map[string]struct {
		after  time.Duration // from the sending of the request to the end of the connection
		reset  bool
		begun  bool // whether an upstream received the request
		termed time.Duration
		killed bool
		want   string
	}{
		"crosses":                       {1e6, false, false, 9 * s, false, ""},
		"crosses, but it had been read": {1e6, false, true, 9 * s, false, "unanswered"},
		"closed long after sending":     {s, false, false, 9 * s, false, "unanswered"},
		"reset":                         {1e6, true, false, 9 * s, false, "reset-unread"},
		"reset, not told to end":        {1e6, true, false, 0, false, ""},
		"closed, not told to end":       {s, false, true, 0, false, ""},
		"cut off by SIGKILL, sent soon": {s, true, true, 9900 * time.Millisecond, true, ""},
		"cut off by SIGKILL, sent late": {s, false, true, 9 * s, true, "unanswered"},
	} {
		t.Run(name, func(t *testing.T) {
			rec := record.New()
			rec.Length = 20 * s
			rec.Request(&record.Request{ID: "a", Sidecar: "x", Safe: true, Sent: 13 * s, Ended: 14 * s, End: record.Refused}) // the outcome after it was sent again
			rec.Cut(record.Cut{Request: "a", Sidecar: "x", Sent: 10 * s, At: 10*s + c.after, Reset: c.reset})
			if c.begun {
				rec.Attempt(&record.Attempt{Request: "a", Sidecar: "x", Upstream: "u", First: 10 * s, Begun: 10*s + 1, Ended: 11 * s, How: record.Error})
			}
			life := &record.Life{Party: "x", Start: 1, Termed: c.termed, End: 10*s + c.after + 1, Killed: c.killed}
			if !c.killed && c.termed > 0 {
				life.Exit = "exit status 0"
			}
			rec.Life(life)
			if c.termed == 0 {
				life.End = 0
			}
			if got := rules(rec); len(got) > 1 || (len(got) == 1) != (c.want != "") || c.want != "" && got[0] != c.want {
				t.Errorf("got violations %v, want %q", got, c.want)
			}
		})
	}
}

// Checks that the latest notice of each source is in force: a notice of the list does not lift a ban, and a lifted
// ban is no longer in force.
func TestDrainAndBanBindApart(t *testing.T) {
	told := func(at time.Duration, source record.Source, usable bool) record.Told {
		return record.Told{At: at, Sidecar: "x", Upstream: "u", Source: source, Usable: usable}
	}
	for name, c := range map[string]struct {
		told []record.Told
		want string
	}{
		"within the grace":       {[]record.Told{told(8*s, record.List, false)}, ""},
		"after the grace":        {[]record.Told{told(6*s, record.List, false)}, "drain"},
		"told twice":             {[]record.Told{told(5*s, record.List, false), told(9*s, record.List, false)}, "drain"},
		"usable again since":     {[]record.Told{told(5*s, record.List, false), told(9*s, record.List, true)}, ""},
		"banned":                 {[]record.Told{told(5*s, record.Operator, false)}, "ban"},
		"banned, the list ready": {[]record.Told{told(5*s, record.Operator, false), told(6*s, record.List, true)}, "ban"},
		"after the attempt":      {[]record.Told{told(11*s, record.List, false)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			rec := record.New()
			rec.Length = 20 * s
			rec.Attempt(&record.Attempt{Request: "a", Sidecar: "x", Upstream: "u", First: 10 * s, Begun: 10 * s, Ended: 10*s + 1, How: record.OK})
			for _, x := range c.told {
				rec.Tell(x)
			}
			if got := rules(rec); len(got) > 1 || (len(got) == 1) != (c.want != "") || c.want != "" && got[0] != c.want {
				t.Errorf("got violations %v, want %q", got, c.want)
			}
		})
	}
}
