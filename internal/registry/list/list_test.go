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

// watcher is the list of a watcher, built from the messages that it was sent.
type watcher struct {
	revision int64
	entries  map[string]api.Endpoint
}

func (w *watcher) apply(t *rapid.T, event api.WatchEvent) {
	if event.Snapshot {
		w.entries = map[string]api.Endpoint{}
	}
	last := int64(0)
	seen := map[string]bool{}
	for _, e := range event.Endpoints {
		if seen[e.Name] {
			t.Fatalf("entry %s: got it twice in one message, want once", e.Name)
		}
		seen[e.Name] = true
		if e.Status == api.Removed {
			delete(w.entries, e.Name)
		} else {
			w.entries[e.Name] = e
		}
	}
	if event.Revision < w.revision || event.Revision < last {
		t.Fatalf("got revision %d, want %d or above", event.Revision, w.revision)
	}
	w.revision = event.Revision
}

// Checks that a watcher that applies the changes it is sent has the current list, however far behind it was, and that a snapshot
// preserves the list.
func TestWatchersHaveTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(rapid.IntRange(1, 6).Draw(t, "history"))
		watchers := make([]watcher, 3)
		for i := range watchers {
			watchers[i] = watcher{revision: -1}
		}
		highest := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprint("u", rapid.IntRange(0, 4).Draw(t, "name"))
			c := Command{Name: name, Incarnation: rapid.Int64Range(0, 3).Draw(t, "incarnation")}
			// "of tomorrow" is an operation that this program does not know.
			switch c.Op = rapid.SampledFrom([]string{Register, Register, Drain, Deregister, SetAdminState, Expire, "of tomorrow"}).Draw(t, "op"); c.Op {
			case Register:
				c.Registration = &api.Registration{Address: fmt.Sprint("127.0.0.1:", rapid.IntRange(1, 3).Draw(t, "port")), Incarnation: c.Incarnation, LeaseMs: 1000}
			case SetAdminState:
				c.AdminState = rapid.SampledFrom([]string{"", api.AdminDrain, api.AdminBan}).Draw(t, "hand")
			case Expire:
				c.Expired = []api.Heartbeat{{Name: name, Incarnation: c.Incarnation}}
			}
			if rapid.Bool().Draw(t, "conditional") {
				ifRevision := rapid.Int64Range(0, l.Revision()).Draw(t, "if_version")
				c.IfRevision = &ifRevision
			}
			before := l.State()
			result := l.Apply(c)
			if result.Err != nil && l.Revision() != before.Revision {
				t.Fatalf("command %+v failed with %v: got revision %d, want %d", c, result.Err, l.Revision(), before.Revision)
			}
			if l.Revision() < highest {
				t.Fatalf("got revision %d, want %d or above", l.Revision(), highest)
			}
			highest = l.Revision()
			if r, exists := l.Get(name); exists && r.AdminState != api.AdminNone && r.Status == api.Ready {
				t.Fatalf("entry %s: got status %s with administrative state %q, want it not ready", name, r.Status, r.AdminState)
			}
			if len(l.changes) > 2*l.window {
				t.Fatalf("got %d stored changes, want %d at most", len(l.changes), 2*l.window)
			}
			w := &watchers[rapid.IntRange(0, 2).Draw(t, "watcher")]
			w.apply(t, l.ChangesSince(w.revision))
			want := map[string]api.Endpoint{}
			for _, e := range l.Full().Endpoints {
				want[e.Name] = e
			}
			if !maps.Equal(w.entries, want) {
				t.Fatalf("after command %+v: got watcher entries %v, want %v", c, w.entries, want)
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
					t.Fatalf("snapshot of a loaded snapshot: got\n%s\nwant\n%s", again, text)
				}
			}
		}
	})
}

func TestConditionsAndIncarnations(t *testing.T) {
	l := New(CompactionWindow)
	register := func(incarnation int64, ifRevision ...int64) Result {
		c := Command{Op: Register, Name: "u", Registration: &api.Registration{Address: "127.0.0.1:1", Weight: 1, Incarnation: incarnation}}
		if len(ifRevision) > 0 {
			c.IfRevision = &ifRevision[0]
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
		name string
		got  Result
		want string
	}{
		{"conditional on no entry, without an entry", register(5, 0), ""},
		{"conditional on no entry, with an entry", register(5, 0), api.CodeConflict},
		{"older incarnation", register(4), api.CodeOlderIncarnation},
		{"same incarnation again", register(5), ""},
		{"drain of an older process", l.Apply(Command{Op: Drain, Name: "u", Incarnation: 4}), api.CodeOlderIncarnation},
		{"leave", l.Apply(Command{Op: Deregister, Name: "u", Incarnation: 5}), ""},
		{"drain after the entry was removed", l.Apply(Command{Op: Drain, Name: "u"}), api.CodeNotFound},
		{"older incarnation after the entry was removed", register(4), api.CodeOlderIncarnation},
		{"newer incarnation", register(6), ""},
	} {
		if code(step.got) != step.want {
			t.Errorf("%s: got code %q, want %q", step.name, code(step.got), step.want)
		}
	}
	if l.Revision() != 3 { // registered, left, registered again; repeating a registration changes nothing
		t.Errorf("got revision %d, want 3", l.Revision())
	}
}

func TestRestoreGoesOnFromTheHigherVersion(t *testing.T) {
	old := New(CompactionWindow)
	old.Apply(Command{Op: Register, Name: "kept", Registration: &api.Registration{Address: "127.0.0.1:1", Weight: 1}})
	backup := old.State()
	current := New(CompactionWindow)
	for i := range 10 {
		current.Apply(Command{Op: Register, Name: fmt.Sprint("late", i), Registration: &api.Registration{Address: "127.0.0.1:1", Weight: 1}})
	}
	before := current.Revision()
	current.Apply(Command{Op: AddReplica, Replica: &api.Replica{Name: "r"}})
	current.Apply(Command{Op: Restore, State: &backup})
	event := current.ChangesSince(before)
	if current.Revision() <= before || !event.Snapshot || len(event.Endpoints) != 1 || event.Endpoints[0].Name != "kept" {
		t.Errorf("after a restore at revision %d, watcher from revision %d: got %+v, want a snapshot with only the entry \"kept\"", current.Revision(), before, event)
	}
	if got := slices.Collect(maps.Keys(current.Replicas())); len(got) != 1 {
		t.Errorf("got replicas %v, want 1", got)
	}
}
