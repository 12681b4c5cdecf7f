package verdict

import (
	"testing"
	"time"

	"mosslead/internal/lab/record"
)

const sec = time.Second

// violatedRules returns the names of the rules that the record violates.
func violatedRules(rec *record.Record) (names []string) {
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
		"no answer, killed":                {&record.Life{Party: "x", Start: 1, End: 11 * sec, Killed: true}, record.Unanswered, false, false},
		"no answer, killed long before":    {&record.Life{Party: "x", Start: 1, End: 5 * sec, Killed: true}, record.Unanswered, false, true},
		"no answer, another was killed":    {&record.Life{Party: "y", Start: 1, End: 11 * sec, Killed: true}, record.Unanswered, false, true},
		"no answer, stopped meanwhile":     {&record.Life{Party: "x", Start: 11 * sec, End: 30 * sec, Paused: true}, record.Unanswered, false, false},
		"dropped, sent soon after SIGTERM": {&record.Life{Party: "x", Start: 1, Termed: 9900 * time.Millisecond, End: 11 * sec, Exit: "exit status 0"}, record.Dropped, false, true},
		"dropped, sent long after SIGTERM": {&record.Life{Party: "x", Start: 1, Termed: 9 * sec, End: 11 * sec, Exit: "exit status 0"}, record.Dropped, false, true},
		"dropped, killed late, sent soon":  {&record.Life{Party: "x", Start: 1, Termed: 9900 * time.Millisecond, End: 11900 * time.Millisecond, Killed: true}, record.Dropped, false, false},
		"dropped, killed late, sent late":  {&record.Life{Party: "x", Start: 1, Termed: 9 * sec, End: 11900 * time.Millisecond, Killed: true}, record.Dropped, false, true},
		"dropped":                          {nil, record.Dropped, false, true},
		"broken":                           {nil, record.Broken, false, true},
		"refused":                          {nil, record.Refused, false, false},
		"no connection":                    {nil, record.NoConnect, false, false},
		"the client left":                  {nil, record.Left, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			rec := record.New()
			rec.Length = 20 * sec
			rec.Request(&record.Request{ID: "a", Sidecar: "x", Safe: true, Intended: 10 * sec, Sent: 10 * sec, Ended: 12 * sec, End: c.end, FirstUse: c.first})
			if c.life != nil {
				rec.Life(c.life)
			}
			if got := violatedRules(rec); (len(got) == 1 && got[0] == "lost") != c.lost {
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
		"crosses":                       {1e6, false, false, 9 * sec, false, ""},
		"crosses, but it had been read": {1e6, false, true, 9 * sec, false, "unanswered"},
		"closed long after sending":     {sec, false, false, 9 * sec, false, "unanswered"},
		"reset":                         {1e6, true, false, 9 * sec, false, "reset-unread"},
		"reset, not told to end":        {1e6, true, false, 0, false, ""},
		"closed, not told to end":       {sec, false, true, 0, false, ""},
		"cut off by SIGKILL, sent soon": {sec, true, true, 9900 * time.Millisecond, true, ""},
		"cut off by SIGKILL, sent late": {sec, false, true, 9 * sec, true, "unanswered"},
	} {
		t.Run(name, func(t *testing.T) {
			rec := record.New()
			rec.Length = 20 * sec
			rec.Request(&record.Request{ID: "a", Sidecar: "x", Safe: true, Sent: 13 * sec, Ended: 14 * sec, End: record.Refused}) // the outcome after it was sent again
			rec.Cut(record.Cut{Request: "a", Sidecar: "x", Sent: 10 * sec, At: 10*sec + c.after, Reset: c.reset})
			if c.begun {
				rec.Attempt(&record.Attempt{Request: "a", Sidecar: "x", Upstream: "u", First: 10 * sec, Begun: 10*sec + 1, Ended: 11 * sec, How: record.Error})
			}
			life := &record.Life{Party: "x", Start: 1, Termed: c.termed, End: 10*sec + c.after + 1, Killed: c.killed}
			if !c.killed && c.termed > 0 {
				life.Exit = "exit status 0"
			}
			rec.Life(life)
			if c.termed == 0 {
				life.End = 0
			}
			if got := violatedRules(rec); len(got) > 1 || (len(got) == 1) != (c.want != "") || c.want != "" && got[0] != c.want {
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
		"within the grace":       {[]record.Told{told(8*sec, record.List, false)}, ""},
		"after the grace":        {[]record.Told{told(6*sec, record.List, false)}, "drain"},
		"told twice":             {[]record.Told{told(5*sec, record.List, false), told(9*sec, record.List, false)}, "drain"},
		"usable again since":     {[]record.Told{told(5*sec, record.List, false), told(9*sec, record.List, true)}, ""},
		"banned":                 {[]record.Told{told(5*sec, record.Operator, false)}, "ban"},
		"banned, the list ready": {[]record.Told{told(5*sec, record.Operator, false), told(6*sec, record.List, true)}, "ban"},
		"after the attempt":      {[]record.Told{told(11*sec, record.List, false)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			rec := record.New()
			rec.Length = 20 * sec
			rec.Attempt(&record.Attempt{Request: "a", Sidecar: "x", Upstream: "u", First: 10 * sec, Begun: 10 * sec, Ended: 10*sec + 1, How: record.OK})
			for _, x := range c.told {
				rec.Tell(x)
			}
			if got := violatedRules(rec); len(got) > 1 || (len(got) == 1) != (c.want != "") || c.want != "" && got[0] != c.want {
				t.Errorf("got violations %v, want %q", got, c.want)
			}
		})
	}
}
