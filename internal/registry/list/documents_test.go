package list

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mosslead/internal/registry/api"
)

// Whatever happens to the settings of a service, its versions only rise: over deletions, snapshots, and restores of any earlier
// state. A write is done exactly where it is based on the present version, and what was written last is told.
func TestVersionsOfDocumentsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(CompactionWindow)
		type known struct {
			version int64
			text    string
			deleted bool
		}
		present := map[string]known{}
		backups := []State{l.State()}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			service := fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "service"))
			is := present[service]
			on := is.version
			switch rapid.IntRange(0, 3).Draw(t, "based on") {
			case 0:
				on = 0
			case 1:
				on = rapid.Int64Range(0, l.Revision()+1).Draw(t, "version")
			}
			c := Command{Op: rapid.SampledFrom([]string{PutDocument, PutDocument, DeleteDocument, Register, Restore, "snapshot"}).Draw(t, "op"), Name: service, IfRevision: &on, Region: "north"}
			live := is.version > 0 && !is.deleted
			switch c.Op {
			case PutDocument:
				text := fmt.Sprintf(`{"x":%d}`, i)
				c.Document = &api.Document{Schema: 1, Settings: json.RawMessage(text)}
				done := on == is.version || on == 0 && !live
				if r := l.Apply(c); (r.Err == nil) != done || done && r.Revision <= is.version {
					t.Fatalf("put on %d where %+v is: %+v", on, is, r)
				} else if done {
					present[service] = known{r.Revision, text, false}
				}
			case DeleteDocument:
				r := l.Apply(c)
				switch {
				case is.version == 0:
					if r.Err == nil || r.Err.Code != api.CodeNotFound {
						t.Fatalf("what was never there is deleted: %+v", r)
					}
				case (r.Err == nil) != (on == is.version), r.Err == nil && is.deleted && r.Revision != is.version:
					t.Fatalf("deleted on %d where %+v is: %+v", on, is, r)
				case r.Err == nil && !is.deleted:
					present[service] = known{r.Revision, "", true}
				}
			case Register:
				l.Apply(Command{Op: Register, Name: service, Registration: &api.Registration{Address: fmt.Sprint("127.0.0.1:", i+1), Weight: 1}})
			case Restore:
				backup := backups[rapid.IntRange(0, len(backups)-1).Draw(t, "backup")]
				l.Apply(Command{Op: Restore, State: &backup})
				for _, d := range l.Documents() {
					if was := present[d.Service]; d.Revision <= was.version {
						t.Fatalf("restored: %+v after %+v", d, was)
					}
					present[d.Service] = known{d.Revision, string(d.Settings), d.Deleted}
				}
			case "snapshot":
				text, err := json.Marshal(l.State())
				var s State
				if err != nil || json.Unmarshal(text, &s) != nil {
					t.Fatal(err)
				}
				l = Load(s, CompactionWindow)
				backups = append(backups, s)
			}
			for service, is := range present {
				d, found := l.Document(service)
				if !found || d.Revision != is.version || string(d.Settings) != is.text || d.Deleted != is.deleted || d.Region != "north" {
					t.Fatalf("%s is %+v, and %+v was written", service, d, is)
				}
				if len(l.documents[service].Earlier) > MaxEarlierRevisions {
					t.Fatalf("%d versions of %s are remembered", len(l.documents[service].Earlier), service)
				}
			}
		}
		if s := l.State(); len(present) > 0 && s.Schema() != DocumentSchema {
			t.Fatalf("schema %d of a state with documents", s.Schema())
		}
	})
}

func TestDocumentsAreBounded(t *testing.T) {
	l := New(CompactionWindow)
	zero := int64(0)
	put := func(service, text string) *api.Error {
		return l.Apply(Command{Op: PutDocument, Name: service, IfRevision: &zero, Document: &api.Document{Schema: 1, Settings: json.RawMessage(text)}}).Err
	}
	large := `"` + string(make([]byte, api.MaxSettings-2)) + `"`
	n := 0
	for ; put(fmt.Sprint("l", n), large) == nil; n++ {
	}
	if n != api.MaxAllSettings/api.MaxSettings {
		t.Errorf("%d large ones", n)
	}
	l = New(CompactionWindow)
	for n = 0; put(fmt.Sprint("s", n), `{}`) == nil; n++ {
	}
	if n != api.MaxDocuments {
		t.Errorf("%d small ones", n)
	}
	for _, p := range []*Chunk{nil, {}, {Region: "", To: 1}, {Region: "north", From: 2, To: 1}, {Region: "north", From: 0, To: 5, Part: 1}} {
		if r := l.Apply(Command{Op: ReplicateRegion, Chunk: p}); r.Err == nil {
			t.Errorf("%+v was taken in", p)
		}
	}
	var many []api.Endpoint
	for i := range api.MaxEndpoints + 1 {
		many = append(many, api.Endpoint{Name: fmt.Sprint("u", i), Status: api.Ready})
	}
	if r := l.Apply(Command{Op: ReplicateRegion, Chunk: &Chunk{Region: "north", To: 5, Entries: many}}); r.Err == nil || r.Err.Code != api.CodeFull || len(l.Regions()) != 0 {
		t.Errorf("too many entries: %+v", r)
	}
}

// A backup brings back what this region wrote; of the others, what was heard since stays.
func TestARestoreKeepsWhatOthersSaid(t *testing.T) {
	l := New(CompactionWindow)
	on := func(to int64, name string) {
		from := l.Replicated("north").Revision
		if r := l.Apply(Command{Op: ReplicateRegion, Region: "south", Chunk: &Chunk{Region: "north", From: from, To: to, Last: true,
			Entries:   []api.Endpoint{{Name: name, Status: api.Ready}},
			Documents: []api.Document{{Service: "s", Revision: to, Schema: 1, Settings: json.RawMessage(`{}`)}}}}); r.Err != nil {
			t.Fatal(r.Err)
		}
	}
	on(5, "early")
	backup := l.State()
	on(9, "late")
	l.Apply(Command{Op: Restore, State: &backup})
	empty := New(CompactionWindow)
	empty.Apply(Command{Op: Restore, State: &backup})
	for _, x := range []struct {
		l       *List
		version int64
		entries int
	}{{l, 9, 2}, {empty, 5, 1}} {
		d, _ := x.l.Document("s")
		if h := x.l.Replicated("north"); h.Revision != x.version || h.SeenRevision != x.version || len(x.l.Full().Endpoints) != x.entries || d.Revision != x.version || d.Region != "north" {
			t.Errorf("held at %d, seen %d; told %+v and %+v", h.Revision, h.SeenRevision, x.l.Full(), d)
		}
	}
}
