package scale

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"mosslead/internal/registry/api"
)

const second = int64(time.Second)

// fleet is a record that followers of one list made, each of whom may break a rule.
type fleet struct {
	*Record
	version int64
	now     int64
	names   []string
}

func newFleet(followers int) *fleet {
	f := &fleet{Record: &Record{}, version: 10, now: 100 * second}
	for i := range 5 {
		name := fmt.Sprint("u", i)
		f.names = append(f.names, name)
		f.Changes = append(f.Changes, &Change{Name: name, Status: api.Ready, Lo: int64(i + 1), Hi: int64(i + 1)})
	}
	for i := range followers {
		p := &Process{Name: fmt.Sprint("h", i), Lives: []Span{{From: f.now}}, Control: Control{Measured: true, Bytes: 400, CPU: 0.002, MemoryMB: 9}}
		f.Processes = append(f.Processes, p)
		f.tells(p, f.now+second/10, f.whole())
	}
	return f
}

// whole is the list as it stands.
func (f *fleet) whole() *Message {
	m := &Message{Index: f.version, Whole: true}
	for _, name := range f.names {
		status := ""
		for _, c := range f.Changes {
			if c.Name == name {
				status = c.Status
			}
		}
		if status != gone {
			m.Entries = append(m.Entries, Seen{name, status})
		}
	}
	return m
}

func (f *fleet) tells(p *Process, at int64, m *Message) { p.Sights = append(p.Sights, Sight{at, m}) }

// change issues one, and has all but some hear of it 20 ms later.
func (f *fleet) change(name, status string, but ...*Process) (*Change, *Message) {
	f.now += second
	f.version++
	c := &Change{Name: name, Status: status, Cause: "change", Lo: f.version, Hi: f.version, Issued: f.now, Accepted: f.now + second/100}
	if status == gone { // the service did it by itself: which version it became is known roughly
		c.Lo, c.Hi, c.Cause = f.version-1, f.version+1, "lapse"
	}
	f.Changes = append(f.Changes, c)
	m := &Message{Index: f.version, Entries: []Seen{{name, status}}}
	for _, p := range f.Processes {
		if !slices.Contains(but, p) {
			f.tells(p, f.now+second/50, m)
		}
	}
	return c, m
}

// day is one on which all is well: changes, a lapse, who is away and comes back with a whole list, and changes told together.
func (f *fleet) day() {
	f.change("u1", api.Terminating)
	f.change("u1", api.Ready)
	f.settings(7)
	f.settings(8)
	away := f.Processes[1]
	away.Lives[0].To = f.now + second/2
	f.change("u2", gone, away)
	f.change("u2", api.Ready, away)
	f.change("u3", gone, away)
	f.now += 20 * second
	away.Lives = append(away.Lives, Span{From: f.now})
	f.tells(away, f.now+second/10, f.whole())
	slow := f.Processes[2]
	f.change("u4", api.Terminating, slow)
	_, b := f.change("u4", api.Ready, slow)
	_, c := f.change("u0", api.Terminating, slow)
	f.tells(slow, f.now+second/5, &Message{Index: c.Index, Entries: []Seen{b.Entries[0], c.Entries[0]}})
}

// settings puts some, which are in force at all of the service but some.
func (f *fleet) settings(version int64, but ...*Process) {
	f.now += second
	f.Changes = append(f.Changes, &Change{Name: settingsOf("svc"), Service: "svc", Status: atVersion(version), Cause: "settings",
		Lo: version, Hi: version, Issued: f.now, Accepted: f.now + second/100})
	for i, p := range f.Processes {
		if p.Service = []string{"svc", "other"}[i%3%2]; p.Service == "svc" && !slices.Contains(but, p) {
			f.tells(p, f.now+second/50, inForce("svc", version))
		}
	}
}

func (f *fleet) end() { f.End = f.now + 20*second }

func broken(f *fleet) (verdicts []string, text string) {
	f.end()
	found, _ := Judge(f.Record)
	for _, x := range found {
		if !slices.Contains(verdicts, x.Verdict) {
			verdicts = append(verdicts, x.Verdict)
		}
		text += x.Process + ": " + x.Text + "\n"
	}
	return verdicts, text
}

// Guards against a verdict that blames who kept all rules.
func TestNobodyIsBlamedForADayOnWhichAllIsWell(t *testing.T) {
	f := newFleet(4)
	f.day()
	if verdicts, text := broken(f); verdicts != nil {
		t.Errorf("%v: %s", verdicts, text)
	}
	_, delays := Judge(f.Record)
	if len(delays) != 3 || delays[0].Cause != "change" || delays[0].Counted != 6*4 || delays[0].MostMs < 1000 || delays[0].P50Ms != 10 {
		t.Errorf("delays: %+v", delays)
	}
}

// Guards against a verdict that sees nothing: each is found broken by the fault that is planted for it, at that process, and no other is.
func TestEachVerdictCatchesItsFault(t *testing.T) {
	for name, c := range map[string]struct {
		want  string
		plant func(f *fleet, p *Process)
	}{
		"a watch that drops one line": {NoneLost, func(f *fleet, p *Process) {
			f.change("u1", api.Terminating, p)
			f.change("u2", api.Terminating)
		}},
		"a watch that drops the line of a lapse": {NoneLost, func(f *fleet, p *Process) {
			f.change("u1", gone, p)
			f.now += 2 * second
			f.change("u2", api.Terminating)
		}},
		"a line that comes late": {InForce, func(f *fleet, p *Process) {
			_, m := f.change("u1", api.Terminating, p)
			f.tells(p, f.now+8*second, m)
		}},
		"a follower that goes back": {NoneOlder, func(f *fleet, p *Process) {
			before := f.whole()
			f.change("u1", api.Terminating)
			f.tells(p, f.now+second, before)
			f.tells(p, f.now+second+1, f.whole())
		}},
		"an older state under a newer version": {NoneOlder, func(f *fleet, p *Process) {
			f.change("u1", api.Terminating)
			f.tells(p, f.now+second, &Message{Index: f.version, Entries: []Seen{{"u1", api.Ready}}})
		}},
		"a list that nobody issued": {Issued, func(f *fleet, p *Process) {
			f.version++
			f.tells(p, f.now+second, &Message{Index: f.version, Entries: []Seen{{"u1", gone}}})
		}},
		"an entry that nobody registered": {Issued, func(f *fleet, p *Process) {
			m := f.whole()
			m.Entries = append(m.Entries, Seen{"ghost", api.Ready})
			f.tells(p, f.now+second, m)
		}},
		"a whole list that lacks an entry": {Issued, func(f *fleet, p *Process) {
			m := f.whole()
			m.Entries = m.Entries[1:]
			f.tells(p, f.now+second, m)
		}},
		"a change that is seen before it is issued": {Issued, func(f *fleet, p *Process) {
			f.tells(p, f.now+second/2, &Message{Index: f.version + 1, Entries: []Seen{{"u1", api.Terminating}}})
			f.change("u1", api.Terminating)
		}},
		"a first list that is an old one": {NoneOlder, func(f *fleet, p *Process) {
			before := *f.whole()
			f.change("u1", api.Terminating)
			p.Lives[0].To = f.now + second
			p.Lives = append(p.Lives, Span{From: f.now + 2*second})
			before.Index = f.version
			f.tells(p, f.now+3*second, &before)
			f.tells(p, f.now+4*second, f.whole())
		}},
		"settings that do not come": {NoneLost, func(f *fleet, p *Process) { f.settings(7, p) }},
		"settings that go back": {NoneOlder, func(f *fleet, p *Process) {
			f.settings(7)
			f.settings(8)
			f.tells(p, f.now+second, inForce("svc", 7))
		}},
		"settings that nobody put": {Issued, func(f *fleet, p *Process) {
			f.settings(7)
			f.tells(p, f.now+second, inForce("svc", 9))
		}},
		"a chatty hollow one": {Bytes, func(_ *fleet, p *Process) { p.Control.Bytes = 2100 }},
		"a busy one":          {CPU, func(_ *fleet, p *Process) { p.Control.CPU = 0.017 }},
		"a large one":         {Memory, func(_ *fleet, p *Process) { p.Control.MemoryMB = 33 }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(4)
			c.plant(f, f.Processes[3])
			verdicts, text := broken(f)
			if !slices.Equal(verdicts, []string{c.want}) || !strings.HasPrefix(text, "h3: ") || strings.Contains(text, "h0") {
				t.Errorf("%v: %s", verdicts, text)
			}
		})
	}
}

// Guards against a cut that excuses too much or too little: its own region's changes are owed during it, the other's once it has healed.
func TestACutExcusesOnlyTheOtherRegionsChanges(t *testing.T) {
	for name, c := range map[string]struct {
		region string
		seen   int64 // after the change
		want   []string
	}{
		"other region, soon after the heal":  {"south", 65 * second, nil},
		"other region, long after the heal":  {"south", 68 * second, []string{InForce}},
		"other region, never":                {"south", 0, []string{NoneLost}},
		"own region, in time":                {"north", second, nil},
		"own region, not before the heal":    {"north", 61 * second, []string{InForce}},
		"other region, though it was apart":  {"south", second, nil},
		"own region, never, for all its cut": {"north", 0, []string{NoneLost}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1)
			p := f.Processes[0]
			p.Region = "north"
			for _, x := range f.Changes {
				x.Region = c.region
			}
			at := f.now + 10*second
			f.Cuts = []Span{{From: at - second, To: at + 60*second}}
			f.Changes = append(f.Changes, &Change{Name: "u1", Status: api.Terminating, Cause: "cut", Region: c.region, Issued: at, Accepted: at + 1})
			if c.seen > 0 {
				f.tells(p, at+c.seen, &Message{Index: 90, Entries: []Seen{{"u1", api.Terminating}}})
			}
			f.now = at + 90*second
			if verdicts, text := broken(f); !slices.Equal(verdicts, c.want) {
				t.Errorf("%v, not %v: %s", verdicts, c.want, text)
			}
		})
	}
}

// Guards against hollow sidecars that are believed though they do less, or more, than real ones.
func TestHollowOnesThatDifferAreFound(t *testing.T) {
	like := func(bytes, messages int64) *Record {
		r := &Record{}
		for _, kind := range []string{"hollow", "real"} {
			c := Control{Measured: true, Seconds: 10, messagesCounted: true, UpBytes: 1000, DownBytes: 2000, UpMsgs: 20, DownMsgs: 30}
			if kind == "hollow" {
				c.UpBytes, c.UpMsgs = bytes, messages
			}
			r.Processes = append(r.Processes, &Process{Kind: kind, Control: c})
		}
		return r
	}
	for _, c := range []struct {
		bytes, messages int64
		found           int
	}{{1000, 20, 0}, {1090, 22, 0}, {910, 18, 0}, {1110, 20, 1}, {890, 20, 1}, {300, 2, 2}, {0, 0, 2}} {
		if found := alike(compare("steady", like(c.bytes, c.messages))); len(found) != c.found {
			t.Errorf("%+v: %v", c, found)
		}
	}
	if found := alike(compare("steady", &Record{})); len(found) != 4 {
		t.Errorf("nobody measured: %v", found)
	}
}
