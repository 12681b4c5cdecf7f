package list

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"mosslead/internal/registry/api"
)

// watcher is a watcher's list: what messages make of it.
type watcher struct {
	revision int64
	entries  map[string]api.Endpoint
}

func (m *watcher) apply(t *rapid.T, l api.WatchEvent) {
	if l.Snapshot {
		m.entries = map[string]api.Endpoint{}
	}
	last := int64(0)
	seen := map[string]bool{}
	for _, e := range l.Endpoints {
		if seen[e.Name] {
			t.Fatalf("%s is told twice in one message", e.Name)
		}
		seen[e.Name] = true
		if e.Status == api.Removed {
			delete(m.entries, e.Name)
		} else {
			m.entries[e.Name] = e
		}
	}
	if l.Revision < m.revision || l.Revision < last {
		t.Fatalf("version %d after %d", l.Revision, m.revision)
	}
	m.revision = l.Revision
}

// Whatever happens, and however far behind, a watcher that applies what it is told has the list; and a list that went
// through a snapshot is the same.
func TestWatchersHaveTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(rapid.IntRange(1, 6).Draw(t, "history"))
		watchers := make([]watcher, 3)
		for i := range watchers {
			watchers[i] = watcher{revision: -1}
		}
		version := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprint("u", rapid.IntRange(0, 4).Draw(t, "name"))
			c := Command{Name: name, Incarnation: rapid.Int64Range(0, 3).Draw(t, "incarnation")}
			switch c.Op = rapid.SampledFrom([]string{Register, Register, Drain, Deregister, SetAdminState, Expire, "of tomorrow"}).Draw(t, "op"); c.Op {
			case Register:
				c.Registration = &api.Registration{Address: fmt.Sprint("127.0.0.1:", rapid.IntRange(1, 3).Draw(t, "port")), Incarnation: c.Incarnation, LeaseMs: 1000}
			case SetAdminState:
				c.AdminState = rapid.SampledFrom([]string{"", api.AdminDrain, api.AdminBan}).Draw(t, "hand")
			case Expire:
				c.Expired = []api.Heartbeat{{Name: name, Incarnation: c.Incarnation}}
			}
			if rapid.Bool().Draw(t, "conditional") {
				at := rapid.Int64Range(0, l.Revision()).Draw(t, "if_version")
				c.IfRevision = &at
			}
			before := l.State()
			result := l.Apply(c)
			if result.Err != nil && l.Revision() != before.Revision {
				t.Fatalf("%+v failed, and changed the list", c)
			}
			if l.Revision() < version {
				t.Fatalf("version %d after %d", l.Revision(), version)
			}
			version = l.Revision()
			if r, there := l.Get(name); there && r.AdminState != api.AdminNone && r.Status == api.Ready {
				t.Fatalf("%s is ready against the operator's word", name)
			}
			if len(l.changes) > 2*l.window {
				t.Fatalf("%d changes are remembered", len(l.changes))
			}
			w := &watchers[rapid.IntRange(0, 2).Draw(t, "watcher")]
			w.apply(t, l.ChangesSince(w.revision))
			want := map[string]api.Endpoint{}
			for _, e := range l.Full().Endpoints {
				want[e.Name] = e
			}
			if !maps.Equal(w.entries, want) {
				t.Fatalf("after %+v: a watcher has %v, the list is %v", c, w.entries, want)
			}
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				text, err := json.Marshal(l.State())
				if err != nil {
					t.Fatal(err)
				}
				var s State
				if err := json.Unmarshal(text, &s); err != nil {
					t.Fatal(err)
				}
				l = Load(s, l.window)
				if again, _ := json.Marshal(l.State()); string(again) != string(text) {
					t.Fatalf("a snapshot of a snapshot is another one:\n%s\n%s", text, again)
				}
			}
		}
	})
}

func TestConditionsAndIncarnations(t *testing.T) {
	l := New(CompactionWindow)
	register := func(incarnation int64, ifVersion ...int64) Result {
		c := Command{Op: Register, Name: "u", Registration: &api.Registration{Address: "127.0.0.1:1", Weight: 1, Incarnation: incarnation}}
		if len(ifVersion) > 0 {
			c.IfRevision = &ifVersion[0]
		}
		return l.Apply(c)
	}
	code := func(r Result) string {
		if r.Err == nil {
			return ""
		}
		return r.Err.Code
	}
	for _, step := range []struct {
		what string
		got  Result
		want string
	}{
		{"if there is none, and there is none", register(5, 0), ""},
		{"if there is none, and there is one", register(5, 0), api.CodeConflict},
		{"older", register(4), api.CodeOlderIncarnation},
		{"the same again", register(5), ""},
		{"drain of an older process", l.Apply(Command{Op: Drain, Name: "u", Incarnation: 4}), api.CodeOlderIncarnation},
		{"leave", l.Apply(Command{Op: Deregister, Name: "u", Incarnation: 5}), ""},
		{"drain of who left", l.Apply(Command{Op: Drain, Name: "u"}), api.CodeNotFound},
		{"older after its end", register(4), api.CodeOlderIncarnation},
		{"newer", register(6), ""},
	} {
		if code(step.got) != step.want {
			t.Errorf("%s: %q, want %q", step.what, code(step.got), step.want)
		}
	}
	if l.Revision() != 3 { // registered, left, registered anew; the same again changes nothing
		t.Errorf("version %d", l.Revision())
	}
}

func TestRestoreGoesOnFromTheHigherVersion(t *testing.T) {
	old := New(CompactionWindow)
	old.Apply(Command{Op: Register, Name: "kept", Registration: &api.Registration{Address: "127.0.0.1:1", Weight: 1}})
	backup := old.State()
	now := New(CompactionWindow)
	for i := range 10 {
		now.Apply(Command{Op: Register, Name: fmt.Sprint("late", i), Registration: &api.Registration{Address: "127.0.0.1:1", Weight: 1}})
	}
	before := now.Revision()
	now.Apply(Command{Op: AddReplica, Replica: &api.Replica{Name: "r"}})
	now.Apply(Command{Op: Restore, State: &backup})
	l := now.ChangesSince(before)
	if now.Revision() <= before || !l.Snapshot || len(l.Endpoints) != 1 || l.Endpoints[0].Name != "kept" {
		t.Errorf("after a restore at %d, a watcher from %d gets %+v", now.Revision(), before, l)
	}
	if got := slices.Collect(maps.Keys(now.Replicas())); len(got) != 1 {
		t.Errorf("replicas %v", got)
	}
}
