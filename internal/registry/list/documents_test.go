package list

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mosslead/internal/registry/api"
)

// Checks that the revisions of a service's settings only rise, over deletions, snapshots, and restores of any earlier state; that a
// write succeeds exactly if it is based on the current revision; and that the list returns the latest written document.
func TestVersionsOfDocumentsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(CompactionWindow)
		type writtenDocument struct {
			revision int64
			text     string
			deleted  bool
		}
		written := map[string]writtenDocument{}
		backups := []State{l.State()}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			service := fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "service"))
			current := written[service]
			ifRevision := current.revision
			switch rapid.IntRange(0, 3).Draw(t, "based on") {
			case 0:
				ifRevision = 0
			case 1:
				ifRevision = rapid.Int64Range(0, l.Revision()+1).Draw(t, "version")
			}
			c := Command{Op: rapid.SampledFrom([]string{PutDocument, PutDocument, DeleteDocument, Register, Restore, "snapshot"}).Draw(t, "op"), Name: service, IfRevision: &ifRevision, Region: "north"}
			live := current.revision > 0 && !current.deleted
			switch c.Op {
			case PutDocument:
				text := fmt.Sprintf(`{"x":%d}`, i)
				c.Document = &api.Document{Schema: 1, Settings: json.RawMessage(text)}
				wantDone := ifRevision == current.revision || ifRevision == 0 && !live
				if r := l.Apply(c); (r.Err == nil) != wantDone || wantDone && r.Revision <= current.revision {
					t.Fatalf("put based on revision %d of document %+v: got result %+v, want success %v with a higher revision", ifRevision, current, r, wantDone)
				} else if wantDone {
					written[service] = writtenDocument{r.Revision, text, false}
				}
			case DeleteDocument:
				r := l.Apply(c)
				switch {
				case current.revision == 0:
					if r.Err == nil || r.Err.Code != api.CodeNotFound {
						t.Fatalf("deletion of a document that never existed: got result %+v, want code %q", r, api.CodeNotFound)
					}
				case (r.Err == nil) != (ifRevision == current.revision), r.Err == nil && current.deleted && r.Revision != current.revision:
					t.Fatalf("deletion based on revision %d of document %+v: got result %+v, want success %v", ifRevision, current, r, ifRevision == current.revision)
				case r.Err == nil && !current.deleted:
					written[service] = writtenDocument{r.Revision, "", true}
				}
			case Register:
				l.Apply(Command{Op: Register, Name: service, Registration: &api.Registration{Address: fmt.Sprint("127.0.0.1:", i+1), Weight: 1}})
			case Restore:
				backup := backups[rapid.IntRange(0, len(backups)-1).Draw(t, "backup")]
				l.Apply(Command{Op: Restore, State: &backup})
				for _, d := range l.Documents() {
					if previous := written[d.Service]; d.Revision <= previous.revision {
						t.Fatalf("after a restore: got document %+v, want a revision above that of %+v", d, previous)
					}
					written[d.Service] = writtenDocument{d.Revision, string(d.Settings), d.Deleted}
				}
			case "snapshot":
				text, err := json.Marshal(l.State())
				var s State
				if err != nil || json.Unmarshal(text, &s) != nil {
					t.Fatalf("snapshot: got error %v and text %s, want a state that can be decoded", err, text)
				}
				l = Load(s, CompactionWindow)
				backups = append(backups, s)
			}
			for service, current := range written {
				d, found := l.Document(service)
				if !found || d.Revision != current.revision || string(d.Settings) != current.text || d.Deleted != current.deleted || d.Region != "north" {
					t.Fatalf("service %s: got document %+v, want %+v", service, d, current)
				}
				if len(l.documents[service].Earlier) > MaxEarlierRevisions {
					t.Fatalf("service %s: got %d earlier revisions, want %d at most", service, len(l.documents[service].Earlier), MaxEarlierRevisions)
				}
			}
		}
		if s := l.State(); len(written) > 0 && s.Schema() != DocumentSchema {
			t.Fatalf("state with documents: got schema %d, want %d", s.Schema(), DocumentSchema)
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
		t.Errorf("got %d large documents stored, want %d", n, api.MaxAllSettings/api.MaxSettings)
	}
	l = New(CompactionWindow)
	for n = 0; put(fmt.Sprint("s", n), `{}`) == nil; n++ {
	}
	if n != api.MaxDocuments {
		t.Errorf("got %d small documents stored, want %d", n, api.MaxDocuments)
	}
	for _, chunk := range []*Chunk{nil, {}, {Region: "", To: 1}, {Region: "north", From: 2, To: 1}, {Region: "north", From: 0, To: 5, Part: 1}} {
		if r := l.Apply(Command{Op: ReplicateRegion, Chunk: chunk}); r.Err == nil {
			t.Errorf("chunk %+v: got success, want an error", chunk)
		}
	}
	var entries []api.Endpoint
	for i := range api.MaxEndpoints + 1 {
		entries = append(entries, api.Endpoint{Name: fmt.Sprint("u", i), Status: api.Ready})
	}
	if r := l.Apply(Command{Op: ReplicateRegion, Chunk: &Chunk{Region: "north", To: 5, Entries: entries}}); r.Err == nil || r.Err.Code != api.CodeFull || len(l.Regions()) != 0 {
		t.Errorf("chunk of %d entries: got result %+v and regions %v, want code %q and no region", len(entries), r, l.Regions(), api.CodeFull)
	}
}

// Checks that a restore does not roll back what is replicated of other regions; an empty list gets it from the backup.
func TestARestoreKeepsWhatOthersSaid(t *testing.T) {
	l := New(CompactionWindow)
	replicate := func(to int64, name string) {
		from := l.Replicated("north").Revision
		if r := l.Apply(Command{Op: ReplicateRegion, Region: "south", Chunk: &Chunk{Region: "north", From: from, To: to, Last: true,
			Entries:   []api.Endpoint{{Name: name, Status: api.Ready}},
			Documents: []api.Document{{Service: "s", Revision: to, Schema: 1, Settings: json.RawMessage(`{}`)}}}}); r.Err != nil {
			t.Fatalf("chunk up to revision %d: got error %v, want nil", to, r.Err)
		}
	}
	replicate(5, "early")
	backup := l.State()
	replicate(9, "late")
	l.Apply(Command{Op: Restore, State: &backup})
	empty := New(CompactionWindow)
	empty.Apply(Command{Op: Restore, State: &backup})
	for _, c := range []struct {
		l        *List
		revision int64
		entries  int
	}{{l, 9, 2}, {empty, 5, 1}} {
		d, _ := c.l.Document("s")
		if replicated := c.l.Replicated("north"); replicated.Revision != c.revision || replicated.SeenRevision != c.revision || len(c.l.Full().Endpoints) != c.entries || d.Revision != c.revision || d.Region != "north" {
			t.Errorf("region north: got revisions %d and %d, list %+v and document %+v; want revision %d and %d entries", replicated.Revision, replicated.SeenRevision, c.l.Full(), d, c.revision, c.entries)
		}
	}
}
