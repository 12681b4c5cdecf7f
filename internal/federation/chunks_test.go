package federation

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

// region is the list of one region, to which commands are applied as from its log.
type region struct {
	name string
	list *list.List
}

func newRegion(name string, history int) *region {
	return &region{name, list.New(history)}
}

func (r *region) apply(c list.Command) list.Result {
	c.Region = r.name
	return r.list.Apply(c)
}

func (r *region) register(name, address string) {
	r.apply(list.Command{Op: list.Register, Name: name, Registration: &api.Registration{Address: address, Weight: 1}})
}

// changeDocument puts or deletes the settings of a service, on condition that they are at a revision.
func (r *region) changeDocument(op, service, text string, revision int64) list.Result {
	return r.apply(list.Command{Op: op, Name: service, IfRevision: &revision, Document: &api.Document{Schema: 1, Settings: json.RawMessage(text)}})
}

// clone returns a replica of the region as it is now, loaded from a snapshot.
func (r *region) clone(t interface{ Fatal(...any) }, history int) *region {
	text, err := json.Marshal(r.list.State())
	if err != nil {
		t.Fatal(err)
	}
	var s list.State
	if err := json.Unmarshal(text, &s); err != nil {
		t.Fatal(err)
	}
	return &region{r.name, list.Load(s, history)}
}

// ownChanges returns the event that a watch from another region gets of the changes after revision from; -1 is the full list.
func (r *region) ownChanges(from int64) api.WatchEvent {
	event := r.list.OwnChangesSince(from)
	event.Region = r.name
	return event
}

// watcher is a sidecar of a region, with the entries that result from the events of its watch.
type watcher struct {
	revision int64
	entries  map[string]api.Endpoint
}

// read applies the next event of the list. It returns what is wrong, or an empty string.
func (w *watcher) read(l *list.List) (violation string) {
	event := l.ChangesSince(w.revision)
	if event.Revision < w.revision {
		return fmt.Sprintf("the watcher gets version %d after %d", event.Revision, w.revision)
	}
	if event.Snapshot {
		w.entries = map[string]api.Endpoint{}
	}
	seen := map[string]bool{}
	for _, e := range event.Endpoints {
		if seen[e.Name] {
			return "entry " + e.Name + " is listed twice in one event"
		}
		if seen[e.Name] = true; e.Status == api.Removed {
			delete(w.entries, e.Name)
		} else {
			w.entries[e.Name] = e
		}
	}
	w.revision = event.Revision
	if want := byName(l.Full().Endpoints); !maps.Equal(w.entries, want) {
		return fmt.Sprintf("the watcher has %v, want %v as in the list", w.entries, want)
	}
	return ""
}

func byName(entries []api.Endpoint) map[string]api.Endpoint {
	m := map[string]api.Endpoint{}
	for _, e := range entries {
		m[e.Name] = e
	}
	return m
}

// highestSeen holds the highest revisions seen of what a list replicates from other regions. None of them may go back.
type highestSeen map[string]int64

// check updates the revisions. It returns one that has gone back, or an empty string.
func (h highestSeen) check(l *list.List) (violation string) {
	checkRevision := func(name string, revision int64) {
		if revision < h[name] {
			violation = fmt.Sprintf("%s is at %d after %d", name, revision, h[name])
		}
		h[name] = revision
	}
	for _, other := range l.Regions() {
		replicated := l.Replicated(other)
		checkRevision(other, replicated.Revision)
		checkRevision(other+" seen", replicated.SeenRevision)
		for service, d := range replicated.Documents {
			checkRevision("settings of "+service+" by "+other, d.Revision)
		}
	}
	return violation
}

// runScenario runs a random scenario with two regions: changes in both; events from the owner's newest replica, from a stale copy, or
// from a stale copy that continues by itself; chunks that are lost, duplicated or late; and a follower's list that is loaded from a
// snapshot. acceptOlder injects a follower that applies older revisions. It returns what went wrong, or an empty string.
func runScenario(t *rapid.T, acceptOlder bool) (violation string) {
	history := rapid.IntRange(2, 20).Draw(t, "history")
	north, south := newRegion("north", history), newRegion("south", history)
	if acceptOlder {
		south.list.SkipRegionChecks()
	}
	copies := []*region{north.clone(t, history)}
	var late []list.Chunk // chunks that were applied and may come again
	w, seen := watcher{revision: -1}, highestSeen{}
	steps := rapid.IntRange(1, 60).Draw(t, "steps")
	for i := range steps {
		r := rapid.SampledFrom([]*region{north, north, south}).Draw(t, "region")
		name := fmt.Sprint("u", rapid.IntRange(0, 4).Draw(t, "name"))
		service := fmt.Sprint("s", rapid.IntRange(0, 1).Draw(t, "service"))
		switch rapid.SampledFrom([]string{"register", "register", "leave", "ban", "put", "put", "delete", "copy", "follow", "follow", "follow", "late", "snapshot"}).Draw(t, "step") {
		case "register":
			r.register(name, fmt.Sprint("127.0.0.1:", i+1))
		case "leave":
			r.apply(list.Command{Op: list.Deregister, Name: name})
		case "ban":
			r.apply(list.Command{Op: list.SetAdminState, Name: name, AdminState: rapid.SampledFrom([]string{"", api.AdminBan, api.AdminDrain}).Draw(t, "admin state")})
		case "put", "delete":
			d, _ := r.list.Document(service)
			op := list.PutDocument
			if d.Revision > 0 && rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
				op = list.DeleteDocument
			}
			r.changeDocument(op, service, fmt.Sprintf(`{"by":"%s %d"}`, r.name, i), d.Revision)
		case "copy":
			copies = append(copies, north.clone(t, history))
		case "follow":
			source := north
			if k := rapid.IntRange(-3, len(copies)-1).Draw(t, "source"); k >= 0 {
				source = copies[k]
				if rapid.Bool().Draw(t, "the copy continues") {
					source.register("only in a copy", fmt.Sprint("127.0.0.1:", i+1))
				}
			}
			replicated := south.list.Replicated("north")
			from := replicated.Revision
			if rapid.Bool().Draw(t, "full list") {
				from = -1
			}
			event := source.ownChanges(from)
			if acceptOlder {
				replicated.SeenRevision, replicated.Documents = 0, nil
			}
			// One entry or document per chunk, so that small scenarios have many chunks.
			chunks, _, rejected := ChunkLimit{Entries: 1, Bytes: 1}.Chunks("north", replicated, event)
			if !acceptOlder && (rejected != "") != (event.Revision < replicated.SeenRevision) {
				return fmt.Sprintf("with version %d seen, an event at version %d: got rejection %q", replicated.SeenRevision, event.Revision, rejected)
			}
			for _, chunk := range chunks[:rapid.IntRange(0, len(chunks)).Draw(t, "chunks that arrive")] {
				if result := south.apply(list.Command{Op: list.ReplicateRegion, Chunk: &chunk}); result.Err != nil {
					return fmt.Sprintf("chunk %+v is rejected: %v", chunk, result.Err)
				}
				late = append(late, chunk)
				if violation = seen.check(south.list); violation != "" {
					return violation
				}
			}
		case "late":
			if len(late) > 0 {
				south.apply(list.Command{Op: list.ReplicateRegion, Chunk: &late[rapid.IntRange(0, len(late)-1).Draw(t, "chunk")]})
			}
		case "snapshot":
			before, _ := json.Marshal(south.list.State())
			south = south.clone(t, history)
			if after, _ := json.Marshal(south.list.State()); string(after) != string(before) {
				return fmt.Sprintf("the snapshot of a loaded snapshot differs:\nbefore %s\nnow %s", before, after)
			}
			if acceptOlder {
				south.list.SkipRegionChecks()
			}
		}
		if violation = seen.check(south.list); violation != "" {
			return violation
		}
		if rapid.Bool().Draw(t, "the watcher reads") {
			if violation = w.read(south.list); violation != "" {
				return violation
			}
		}
	}
	if acceptOlder {
		return ""
	}
	// A full list from the newest replica replaces what is replicated. Only settings that a copy has changed to other content at
	// the same revision would remain, and no copy changes settings here.
	north.register("last", "127.0.0.1:9")
	for north.list.Revision() < south.list.Replicated("north").SeenRevision { // a copy has continued beyond north's revision
		north.register("last", fmt.Sprint("127.0.0.1:", north.list.Revision()+10))
	}
	chunks, anomaly, rejected := Chunks("north", south.list.Replicated("north"), north.ownChanges(-1))
	if anomaly != "" || rejected != "" {
		return anomaly + rejected
	}
	for range 2 { // the second time changes nothing
		for _, chunk := range chunks {
			south.apply(list.Command{Op: list.ReplicateRegion, Chunk: &chunk})
		}
	}
	replicated := south.list.Replicated("north")
	if want := byName(north.ownChanges(-1).Endpoints); !maps.Equal(replicated.Entries, want) || replicated.Revision != north.list.Revision() {
		return fmt.Sprintf("replicated at %d: %v, want %d: %v", replicated.Revision, replicated.Entries, north.list.Revision(), want)
	}
	for _, d := range north.ownChanges(-1).Documents {
		if document := replicated.Documents[d.Service]; document.Revision != d.Revision || document.Deleted != d.Deleted || string(document.Settings) != string(d.Settings) {
			return fmt.Sprintf("replicated document %+v, want %+v", document, d)
		}
	}
	return w.read(south.list)
}

// Checks that in any order of events, with lost, late and duplicated chunks, the revisions that a follower replicates never go back.
// At the end the follower has what the owner has; its watchers have its list at each step.
func TestAFollowerOnlyGoesOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := runScenario(t, false); violation != "" {
			t.Fatal(violation)
		}
	})
}

// Checks that the scenarios of TestAFollowerOnlyGoesOn detect a follower that applies older revisions.
func TestAFollowerThatGoesBackIsFound(t *testing.T) {
	violation := ""
	rapid.Check(t, func(t *rapid.T) {
		if violation == "" {
			violation = runScenario(t, true)
		}
	})
	if !strings.Contains(violation, " after ") {
		t.Errorf("got violation %q, want one with the text %q", violation, " after ")
	}
}

// A follower catches up on ten thousand entries: chunks are bounded, documents come first, and the follower's own changes reach its
// watchers between any two chunks. If the source or the leader is killed before the end, only the remaining entries are sent again.
func TestTenThousandEntriesToCatchUp(t *testing.T) {
	north, south := newRegion("north", list.CompactionWindow), newRegion("south", list.CompactionWindow)
	south.register("own", "127.0.0.1:1")
	w := watcher{revision: -1}
	for i := range 10_000 {
		north.register(fmt.Sprint("u", i), "127.0.0.1:1")
	}
	for i := range 20 {
		north.changeDocument(list.PutDocument, fmt.Sprint("s", i), `{"x":"`+strings.Repeat("y", 30<<10)+`"}`, 0)
	}
	seen, writes, applied := highestSeen{}, 0, 0
	catchUp := func(stopBefore int, from int64) {
		t.Helper()
		chunks, anomaly, rejected := Chunks("north", south.list.Replicated("north"), north.ownChanges(from))
		if anomaly != "" || rejected != "" {
			t.Fatalf("got anomaly %q and rejection %q, want neither", anomaly, rejected)
		}
		documents := 0
		for i, chunk := range chunks {
			text, err := json.Marshal(chunk)
			if err != nil || len(chunk.Entries) > MaxChunkEntries || len(text) > MaxChunkBytes+api.MaxSettings {
				t.Fatalf("chunk %d: got %d entries, %d bytes, error %v, want at most %d entries, %d bytes, no error", i, len(chunk.Entries), len(text), err, MaxChunkEntries, MaxChunkBytes+api.MaxSettings)
			}
			if documents += len(chunk.Documents); len(chunk.Documents) > 0 && documents > len(chunk.Documents) && len(chunks[i-1].Entries) > 0 {
				t.Errorf("chunk %d has %d documents and follows a chunk with %d entries, want documents first", i, len(chunk.Documents), len(chunks[i-1].Entries))
			}
			if i == stopBefore {
				return
			}
			if r := south.apply(list.Command{Op: list.ReplicateRegion, Chunk: &chunk}); r.Err != nil {
				t.Fatal(r.Err)
			}
			applied++
			writes++
			south.register("own", fmt.Sprint("127.0.0.1:", 1+writes))
			if violation := w.read(south.list) + seen.check(south.list); violation != "" {
				t.Fatal(violation)
			}
			if got := w.entries["own"].Address; got != fmt.Sprint("127.0.0.1:", 1+writes) {
				t.Fatalf("after chunk %d: the watcher has the own entry at %s, want port %d", i, got, 1+writes)
			}
		}
	}
	catchUp(7, -1) // the source or the leader is killed before chunk 7
	if replicated := south.list.Replicated("north"); replicated.Revision != 0 || replicated.SeenRevision != north.list.Revision() || len(replicated.Entries) == 0 {
		t.Fatalf("catching up: replicated at %d, seen %d, %d entries; want 0, %d and some entries", replicated.Revision, replicated.SeenRevision, len(replicated.Entries), north.list.Revision())
	}
	north.apply(list.Command{Op: list.Deregister, Name: "u0"}) // removed after it was replicated
	north.changeDocument(list.PutDocument, "s0", `{"x":"repaired"}`, 10_001)
	first := applied
	catchUp(-1, -1)
	replicated := south.list.Replicated("north")
	if replicated.Revision != north.list.Revision() || len(replicated.Entries) != 9_999 || len(replicated.Documents) != 20 || string(replicated.Documents["s0"].Settings) != `{"x":"repaired"}` {
		t.Errorf("got version %d, %d entries, %d documents, s0 at %s; want version %d, 9999 entries, 20 documents, s0 repaired",
			replicated.Revision, len(replicated.Entries), len(replicated.Documents), replicated.Documents["s0"].Settings, north.list.Revision())
	}
	if again := applied - first; again > 20 {
		t.Errorf("got %d chunks after the first %d, want at most 20: applied entries are sent again", again, first)
	}
	if chunks, _, _ := Chunks("north", replicated, north.ownChanges(-1)); len(chunks) != 0 {
		t.Errorf("got %d chunks for an unchanged list, want none", len(chunks))
	}
}

// If two regions put settings for one service during a partition, both regions use the settings of the same region, and those of the
// other once that region has deleted its own. A document that both have deleted stays deleted.
func TestTheSmallerRegionsSettingsAreTold(t *testing.T) {
	north, south := newRegion("north", list.CompactionWindow), newRegion("south", list.CompactionWindow)
	follow := func(follower, source *region) (anomaly string) {
		t.Helper()
		chunks, anomaly, rejected := Chunks(source.name, follower.list.Replicated(source.name), source.ownChanges(-1))
		if rejected != "" {
			t.Fatalf("got rejection %q, want none", rejected)
		}
		for _, chunk := range chunks {
			if r := follower.apply(list.Command{Op: list.ReplicateRegion, Chunk: &chunk}); r.Err != nil {
				t.Fatal(r.Err)
			}
		}
		return anomaly
	}
	exchange := func() { t.Helper(); follow(north, south); follow(south, north) }
	wantDocument := func(owner, text string) {
		t.Helper()
		for _, r := range []*region{north, south} {
			if d, _ := r.list.Document("s"); d.Region != owner || string(d.Settings) != text {
				t.Errorf("in region %s: got document %+v, want settings %s of region %s", r.name, d, text, owner)
			}
		}
	}
	south.changeDocument(list.PutDocument, "s", `1`, 0)
	north.changeDocument(list.PutDocument, "s", `2`, 0)
	exchange()
	wantDocument("north", `2`)
	if r := south.changeDocument(list.PutDocument, "s", `3`, 1); r.Err == nil || r.Err.Code != api.CodeConflict || !strings.Contains(r.Err.Text, "region north") {
		t.Errorf("put in a region that does not own the settings: got %+v, want error %s that names region north", r, api.CodeConflict)
	}
	if n := len(south.list.Documents()); n != 2 {
		t.Errorf("got %d documents in the list, want 2", n)
	}
	if r := north.changeDocument(list.DeleteDocument, "s", "", 1); r.Err != nil {
		t.Fatal(r.Err)
	}
	exchange()
	wantDocument("south", `1`)
	if r := south.changeDocument(list.PutDocument, "s", `4`, 1); r.Err != nil {
		t.Fatal(r.Err)
	}
	if r := south.changeDocument(list.DeleteDocument, "s", "", south.list.Revision()); r.Err != nil {
		t.Fatal(r.Err)
	}
	exchange()
	for _, r := range []*region{north, south} {
		if d, found := r.list.Document("s"); !found || !d.Deleted {
			t.Errorf("in region %s: got document %+v, found %v, want a deleted one", r.name, d, found)
		}
	}

	// The owner is restored to an old copy, which then continues beyond the revision seen. Its entries are replicated; its settings,
	// which are older than the replicated ones, are set aside, and an anomaly is reported.
	restored := north.clone(t, list.CompactionWindow)
	north.changeDocument(list.PutDocument, "t", `1`, 0)
	restored.changeDocument(list.PutDocument, "t", `other`, 0)
	north.changeDocument(list.PutDocument, "t", `2`, north.list.Revision())
	exchange()
	for range 9 {
		restored.register("u", fmt.Sprint("127.0.0.1:", restored.list.Revision()+1))
	}
	if anomaly := follow(south, restored); !strings.Contains(anomaly, "settings of t go back") {
		t.Errorf("restored owner: got anomaly %q, want settings of t that go back", anomaly)
	}
	if d, _ := south.list.Document("t"); string(d.Settings) != `2` {
		t.Errorf("restored owner: got document %+v, want settings 2", d)
	}
	if !slices.ContainsFunc(south.list.Full().Endpoints, func(e api.Endpoint) bool { return e.Name == "u" }) {
		t.Errorf("restored owner: got entries %+v, want u among them", south.list.Full().Endpoints)
	}
	if _, _, rejected := Chunks("north", south.list.Replicated("north"), api.WatchEvent{Revision: 1 << 40, Region: "west"}); rejected == "" {
		t.Error("event of region west for the replication of north: got no rejection, want one")
	}
}

// An owner that was restored to an old copy can put other settings at a revision that it has sent before. They are not applied, since
// the content of a revision must not change, and an anomaly is reported.
func TestOtherSettingsAtOneVersion(t *testing.T) {
	north, south := newRegion("north", list.CompactionWindow), newRegion("south", list.CompactionWindow)
	replicate := func(source *region) (anomaly string) {
		t.Helper()
		chunks, anomaly, rejected := Chunks("north", south.list.Replicated("north"), source.ownChanges(-1))
		if rejected != "" {
			t.Fatalf("got rejection %q, want none", rejected)
		}
		for _, chunk := range chunks {
			if r := south.apply(list.Command{Op: list.ReplicateRegion, Chunk: &chunk}); r.Err != nil {
				t.Fatal(r.Err)
			}
		}
		return anomaly
	}
	restored := north.clone(t, list.CompactionWindow)
	north.changeDocument(list.PutDocument, "s", `1`, 0)
	restored.changeDocument(list.PutDocument, "s", `2`, 0)
	for range 2 { // the second time, the document is unchanged, which is no anomaly
		if anomaly := replicate(north); anomaly != "" {
			t.Errorf("owner: got anomaly %q, want none", anomaly)
		}
	}
	for range 2 { // first at the same revision of the list, then at a higher one
		if anomaly := replicate(restored); !strings.Contains(anomaly, "settings of s at version 1 are others") {
			t.Errorf("restored owner: got anomaly %q, want other settings of s at version 1", anomaly)
		}
		restored.register("u", "127.0.0.1:1")
	}
	if d, _ := south.list.Document("s"); string(d.Settings) != `1` {
		t.Errorf("got document %+v, want settings 1", d)
	}
	restored.changeDocument(list.DeleteDocument, "s", "", 1)
	if anomaly := replicate(restored); anomaly != "" {
		t.Errorf("restored owner, at the next version: got anomaly %q, want none", anomaly)
	}
	if d, _ := south.list.Document("s"); !d.Deleted {
		t.Errorf("got document %+v, want a deleted one", d)
	}
}

// A chunk that its leader abandoned is committed after the chunks of the next event were computed. It adds an entry that these chunks
// do not remove, since it was not replicated when they were computed. The log rejects them, and they are computed again.
func TestAPieceThatComesLate(t *testing.T) {
	north, south := newRegion("north", list.CompactionWindow), newRegion("south", list.CompactionWindow)
	north.changeDocument(list.PutDocument, "s", `1`, 0)
	north.register("a", "127.0.0.1:1")
	north.register("b", "127.0.0.1:2")
	limit := ChunkLimit{Entries: 1, Bytes: 1}
	apply := func(chunk list.Chunk) error {
		if r := south.apply(list.Command{Op: list.ReplicateRegion, Chunk: &chunk}); r.Err != nil {
			return r.Err
		}
		return nil
	}
	first, _, _ := limit.Chunks("north", south.list.Replicated("north"), north.ownChanges(-1))
	if len(first) != 3 {
		t.Fatalf("got %d chunks, want 3", len(first))
	}
	if err := apply(first[0]); err != nil {
		t.Fatal(err)
	}
	north.apply(list.Command{Op: list.Deregister, Name: "a"})
	for _, late := range []bool{true, false} {
		chunks, _, _ := limit.Chunks("north", south.list.Replicated("north"), north.ownChanges(-1))
		if late {
			_ = apply(first[1])
		}
		for _, chunk := range chunks {
			if apply(chunk) != nil {
				break
			}
		}
		replicated := south.list.Replicated("north")
		if want := byName(north.ownChanges(-1).Endpoints); replicated.Revision == north.list.Revision() && !maps.Equal(replicated.Entries, want) {
			t.Fatalf("replicated at %d: got entries %v, want %v", replicated.Revision, replicated.Entries, want)
		} else if !late && replicated.Revision != north.list.Revision() {
			t.Errorf("replicated at %d, want %d", replicated.Revision, north.list.Revision())
		}
	}
	for _, chunk := range first { // these chunks continue from an older state than the replicated one
		if apply(chunk) == nil {
			t.Errorf("chunk %+v is applied, want it rejected", chunk)
		}
	}
}
