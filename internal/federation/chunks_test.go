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

// region is one region's list, as its log makes it.
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

func (r *region) changeDocument(op, service, text string, on int64) list.Result {
	return r.apply(list.Command{Op: op, Name: service, IfRevision: &on, Document: &api.Document{Schema: 1, Settings: json.RawMessage(text)}})
}

// clone is a replica of the region as it is now.
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

func (r *region) ownChanges(from int64) api.WatchEvent {
	l := r.list.OwnChangesSince(from)
	l.Region = r.name
	return l
}

// watcher is a sidecar of a region: what the lines of a watch make of it.
type watcher struct {
	revision int64
	entries  map[string]api.Endpoint
}

func (w *watcher) read(l *list.List) (wrong string) {
	told := l.ChangesSince(w.revision)
	if told.Revision < w.revision {
		return fmt.Sprintf("version %d after %d", told.Revision, w.revision)
	}
	if told.Snapshot {
		w.entries = map[string]api.Endpoint{}
	}
	seen := map[string]bool{}
	for _, e := range told.Endpoints {
		if seen[e.Name] {
			return e.Name + " twice"
		}
		if seen[e.Name] = true; e.Status == api.Removed {
			delete(w.entries, e.Name)
		} else {
			w.entries[e.Name] = e
		}
	}
	w.revision = told.Revision
	if want := byName(l.Full().Endpoints); !maps.Equal(w.entries, want) {
		return fmt.Sprintf("a watcher has %v, and the list is %v", w.entries, want)
	}
	return ""
}

func byName(all []api.Endpoint) map[string]api.Endpoint {
	m := map[string]api.Endpoint{}
	for _, e := range all {
		m[e.Name] = e
	}
	return m
}

// highestSeen is the highest of what was highestSeen of other regions in one: none of it may go back.
type highestSeen map[string]int64

func (s highestSeen) check(l *list.List) (wrong string) {
	at := func(what string, version int64) {
		if version < s[what] {
			wrong = fmt.Sprintf("%s is at %d after %d", what, version, s[what])
		}
		s[what] = version
	}
	for _, other := range l.Regions() {
		h := l.Replicated(other)
		at(other, h.Revision)
		at(other+" seen", h.SeenRevision)
		for service, d := range h.Documents {
			at("settings of "+service+" by "+other, d.Revision)
		}
	}
	return wrong
}

// runScenario draws what happens in two regions and between them: changes of both; listings from the other's newest replica, from one
// that is behind, or from a copy of before that goes on by itself; chunks that are lost, come twice, or come late; and a follower's
// list that goes through a snapshot. careless plants a follower that takes in what is older. It gives what went wrong.
func runScenario(t *rapid.T, careless bool) (wrong string) {
	history := rapid.IntRange(2, 20).Draw(t, "history")
	north, south := newRegion("north", history), newRegion("south", history)
	if careless {
		south.list.SkipRegionChecks()
	}
	behind := []*region{north.clone(t, history)}
	var late []list.Chunk // that were proposed once
	w, had := watcher{revision: -1}, highestSeen{}
	steps := rapid.IntRange(1, 60).Draw(t, "steps")
	for i := range steps {
		of := rapid.SampledFrom([]*region{north, north, south}).Draw(t, "region")
		name := fmt.Sprint("u", rapid.IntRange(0, 4).Draw(t, "name"))
		service := fmt.Sprint("s", rapid.IntRange(0, 1).Draw(t, "service"))
		switch rapid.SampledFrom([]string{"register", "register", "leave", "ban", "put", "put", "delete", "copy", "follow", "follow", "follow", "late", "snapshot"}).Draw(t, "what") {
		case "register":
			of.register(name, fmt.Sprint("127.0.0.1:", i+1))
		case "leave":
			of.apply(list.Command{Op: list.Deregister, Name: name})
		case "ban":
			of.apply(list.Command{Op: list.SetAdminState, Name: name, AdminState: rapid.SampledFrom([]string{"", api.AdminBan, api.AdminDrain}).Draw(t, "hand")})
		case "put", "delete":
			d, _ := of.list.Document(service)
			op := list.PutDocument
			if d.Revision > 0 && rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
				op = list.DeleteDocument
			}
			of.changeDocument(op, service, fmt.Sprintf(`{"by":"%s %d"}`, of.name, i), d.Revision)
		case "copy":
			behind = append(behind, north.clone(t, history))
		case "follow":
			source := north
			if k := rapid.IntRange(-3, len(behind)-1).Draw(t, "source"); k >= 0 {
				source = behind[k]
				if rapid.Bool().Draw(t, "it goes on") {
					source.register("only in a copy", fmt.Sprint("127.0.0.1:", i+1))
				}
			}
			replicated := south.list.Replicated("north")
			from := replicated.Revision
			if rapid.Bool().Draw(t, "whole") {
				from = -1
			}
			told := source.ownChanges(from)
			if careless {
				replicated.SeenRevision, replicated.Documents = 0, nil
			}
			// One entry or document a chunk, so that small plays have many.
			chunks, _, rejected := ChunkLimit{Entries: 1, Bytes: 1}.Chunks("north", replicated, told)
			if !careless && (rejected != "") != (told.Revision < replicated.SeenRevision) {
				return fmt.Sprintf("seen up to %d, told version %d: %q", replicated.SeenRevision, told.Revision, rejected)
			}
			for _, p := range chunks[:rapid.IntRange(0, len(chunks)).Draw(t, "pieces that arrive")] {
				if r := south.apply(list.Command{Op: list.ReplicateRegion, Chunk: &p}); r.Err != nil {
					return fmt.Sprintf("%+v: %v", p, r.Err)
				}
				late = append(late, p)
				if wrong = had.check(south.list); wrong != "" {
					return wrong
				}
			}
		case "late":
			if len(late) > 0 {
				south.apply(list.Command{Op: list.ReplicateRegion, Chunk: &late[rapid.IntRange(0, len(late)-1).Draw(t, "piece")]})
			}
		case "snapshot":
			before, _ := json.Marshal(south.list.State())
			south = south.clone(t, history)
			if after, _ := json.Marshal(south.list.State()); string(after) != string(before) {
				return fmt.Sprintf("a snapshot of a snapshot is another one:\n%s\n%s", before, after)
			}
			if careless {
				south.list.SkipRegionChecks()
			}
		}
		if wrong = had.check(south.list); wrong != "" {
			return wrong
		}
		if rapid.Bool().Draw(t, "the watcher reads") {
			if wrong = w.read(south.list); wrong != "" {
				return wrong
			}
		}
	}
	if careless {
		return ""
	}
	// Once the newest is told whole, it is held as it is; but settings that a copy invented at the same versions can't be told
	// from others, and none was.
	north.register("last", "127.0.0.1:9")
	for north.list.Revision() < south.list.Replicated("north").SeenRevision { // a copy went on beyond it
		north.register("last", fmt.Sprint("127.0.0.1:", north.list.Revision()+10))
	}
	chunks, anomaly, rejected := Chunks("north", south.list.Replicated("north"), north.ownChanges(-1))
	if anomaly != "" || rejected != "" {
		return anomaly + rejected
	}
	for range 2 { // the second time changes nothing
		for _, p := range chunks {
			south.apply(list.Command{Op: list.ReplicateRegion, Chunk: &p})
		}
	}
	replicated := south.list.Replicated("north")
	if want := byName(north.ownChanges(-1).Endpoints); !maps.Equal(replicated.Entries, want) || replicated.Revision != north.list.Revision() {
		return fmt.Sprintf("held at %d: %v, and it is at %d: %v", replicated.Revision, replicated.Entries, north.list.Revision(), want)
	}
	for _, d := range north.ownChanges(-1).Documents {
		if h := replicated.Documents[d.Service]; h.Revision != d.Revision || h.Deleted != d.Deleted || string(h.Settings) != string(d.Settings) {
			return fmt.Sprintf("held %+v of %+v", h, d)
		}
	}
	return w.read(south.list)
}

// Whatever order things come in, a follower goes on only, takes no harm from what comes twice, late or not at all, and has in the
// end what the other has; its watchers have its list at each step.
func TestAFollowerOnlyGoesOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if wrong := runScenario(t, false); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// The same plays find a follower that takes in what is older.
func TestAFollowerThatGoesBackIsFound(t *testing.T) {
	found := ""
	rapid.Check(t, func(t *rapid.T) {
		if found == "" {
			found = runScenario(t, true)
		}
	})
	if !strings.Contains(found, " after ") {
		t.Errorf("found: %q", found)
	}
}

// Ten thousand entries to catch up: bounded chunks, documents first, the own region's writes told between any two, and a source
// that is killed in the middle of a chunk costs the rest of it alone.
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
	had, writes, taken := highestSeen{}, 0, 0
	catchUp := func(most int, from int64) {
		t.Helper()
		chunks, anomaly, rejected := Chunks("north", south.list.Replicated("north"), north.ownChanges(from))
		if anomaly != "" || rejected != "" {
			t.Fatal(anomaly, rejected)
		}
		documents := 0
		for i, p := range chunks {
			text, err := json.Marshal(p)
			if err != nil || len(p.Entries) > MaxChunkEntries || len(text) > MaxChunkBytes+api.MaxSettings {
				t.Fatalf("piece %d has %d entries and %d bytes, %v", i, len(p.Entries), len(text), err)
			}
			if documents += len(p.Documents); len(p.Documents) > 0 && documents > len(p.Documents) && len(chunks[i-1].Entries) > 0 {
				t.Errorf("documents after entries, in piece %d", i)
			}
			if i == most {
				return
			}
			if r := south.apply(list.Command{Op: list.ReplicateRegion, Chunk: &p}); r.Err != nil {
				t.Fatal(r.Err)
			}
			taken++
			writes++
			south.register("own", fmt.Sprint("127.0.0.1:", 1+writes))
			if wrong := w.read(south.list) + had.check(south.list); wrong != "" {
				t.Fatal(wrong)
			}
			if got := w.entries["own"].Address; got != fmt.Sprint("127.0.0.1:", 1+writes) {
				t.Fatalf("after piece %d a watcher has the own entry at %s", i, got)
			}
		}
	}
	catchUp(7, -1) // the source is killed, or the leader
	if h := south.list.Replicated("north"); h.Revision != 0 || h.SeenRevision != north.list.Revision() || len(h.Entries) == 0 {
		t.Fatalf("in the middle: %d, seen %d, %d entries", h.Revision, h.SeenRevision, len(h.Entries))
	}
	north.apply(list.Command{Op: list.Deregister, Name: "u0"}) // was taken in; goes meanwhile
	north.changeDocument(list.PutDocument, "s0", `{"x":"repaired"}`, 10_001)
	first := taken
	catchUp(-1, -1)
	h := south.list.Replicated("north")
	if h.Revision != north.list.Revision() || len(h.Entries) != 9_999 || len(h.Documents) != 20 || string(h.Documents["s0"].Settings) != `{"x":"repaired"}` {
		t.Errorf("at %d of %d: %d entries, %d documents", h.Revision, north.list.Revision(), len(h.Entries), len(h.Documents))
	}
	if rest := taken - first; rest > 20 {
		t.Errorf("%d pieces after %d: what was taken in comes again", rest, first)
	}
	if chunks, _, _ := Chunks("north", h, north.ownChanges(-1)); len(chunks) != 0 {
		t.Errorf("%d pieces without news", len(chunks))
	}
}

// What is owned twice after a cut, and what comes back, is told the same way in both regions; a deleted document stays gone.
func TestTheSmallerRegionsSettingsAreTold(t *testing.T) {
	north, south := newRegion("north", list.CompactionWindow), newRegion("south", list.CompactionWindow)
	follow := func(by, of *region) (anomaly string) {
		t.Helper()
		chunks, anomaly, rejected := Chunks(of.name, by.list.Replicated(of.name), of.ownChanges(-1))
		if rejected != "" {
			t.Fatal(rejected)
		}
		for _, p := range chunks {
			if r := by.apply(list.Command{Op: list.ReplicateRegion, Chunk: &p}); r.Err != nil {
				t.Fatal(r.Err)
			}
		}
		return anomaly
	}
	heal := func() { t.Helper(); follow(north, south); follow(south, north) }
	is := func(owner, text string) {
		t.Helper()
		for _, r := range []*region{north, south} {
			if d, _ := r.list.Document("s"); d.Region != owner || string(d.Settings) != text {
				t.Errorf("in %s: %+v, want %s of %s", r.name, d, text, owner)
			}
		}
	}
	south.changeDocument(list.PutDocument, "s", `1`, 0)
	north.changeDocument(list.PutDocument, "s", `2`, 0)
	heal()
	is("north", `2`)
	if r := south.changeDocument(list.PutDocument, "s", `3`, 1); r.Err == nil || r.Err.Code != api.CodeConflict || !strings.Contains(r.Err.Text, "region north") {
		t.Errorf("a put to the region that does not own it: %+v", r)
	}
	if n := len(south.list.Documents()); n != 2 {
		t.Errorf("%d documents are listed", n)
	}
	if r := north.changeDocument(list.DeleteDocument, "s", "", 1); r.Err != nil {
		t.Fatal(r.Err)
	}
	heal()
	is("south", `1`)
	if r := south.changeDocument(list.PutDocument, "s", `4`, 1); r.Err != nil {
		t.Fatal(r.Err)
	}
	if r := south.changeDocument(list.DeleteDocument, "s", "", south.list.Revision()); r.Err != nil {
		t.Fatal(r.Err)
	}
	heal()
	for _, r := range []*region{north, south} {
		if d, found := r.list.Document("s"); !found || !d.Deleted {
			t.Errorf("in %s: %+v", r.name, d)
		}
	}

	// The owner, put back to an old copy that then goes on beyond what was seen: its entries are as it says, and the settings that
	// are older than those held are set aside and told.
	old := north.clone(t, list.CompactionWindow)
	north.changeDocument(list.PutDocument, "t", `1`, 0)
	old.changeDocument(list.PutDocument, "t", `other`, 0)
	north.changeDocument(list.PutDocument, "t", `2`, north.list.Revision())
	heal()
	for range 9 {
		old.register("u", fmt.Sprint("127.0.0.1:", old.list.Revision()+1))
	}
	if anomaly := follow(south, old); !strings.Contains(anomaly, "settings of t go back") {
		t.Errorf("an old copy: %q", anomaly)
	}
	if d, _ := south.list.Document("t"); string(d.Settings) != `2` {
		t.Errorf("after an old copy: %+v", d)
	}
	if !slices.ContainsFunc(south.list.Full().Endpoints, func(e api.Endpoint) bool { return e.Name == "u" }) {
		t.Error("its entries are not as it says")
	}
	if _, _, rejected := Chunks("north", south.list.Replicated("north"), api.WatchEvent{Revision: 1 << 40, Region: "west"}); rejected == "" {
		t.Error("another region's list is taken for north's")
	}
}

// An owner that was put back to an old copy can put other settings at a version that was told before: they are not taken in, which
// would change what a version says, and that is told.
func TestOtherSettingsAtOneVersion(t *testing.T) {
	north, south := newRegion("north", list.CompactionWindow), newRegion("south", list.CompactionWindow)
	take := func(of *region) (anomaly string) {
		t.Helper()
		chunks, anomaly, rejected := Chunks("north", south.list.Replicated("north"), of.ownChanges(-1))
		if rejected != "" {
			t.Fatal(rejected)
		}
		for _, p := range chunks {
			if r := south.apply(list.Command{Op: list.ReplicateRegion, Chunk: &p}); r.Err != nil {
				t.Fatal(r.Err)
			}
		}
		return anomaly
	}
	old := north.clone(t, list.CompactionWindow)
	north.changeDocument(list.PutDocument, "s", `1`, 0)
	old.changeDocument(list.PutDocument, "s", `2`, 0)
	for range 2 { // what is the same is not anomalous
		if anomaly := take(north); anomaly != "" {
			t.Errorf("the owner: %q", anomaly)
		}
	}
	for range 2 { // at the same version of the list, and at a higher one
		if anomaly := take(old); !strings.Contains(anomaly, "settings of s at version 1 are others") {
			t.Errorf("an old copy that went on: %q", anomaly)
		}
		old.register("u", "127.0.0.1:1")
	}
	if d, _ := south.list.Document("s"); string(d.Settings) != `1` {
		t.Errorf("held: %+v", d)
	}
	old.changeDocument(list.DeleteDocument, "s", "", 1)
	if anomaly := take(old); anomaly != "" {
		t.Errorf("a version later: %q", anomaly)
	}
	if d, _ := south.list.Document("s"); !d.Deleted {
		t.Errorf("held: %+v", d)
	}
}

// A chunk that its leader gave up is carried out after the next listing was worked out, and takes in an entry that this one, since it
// was not held by then, does not take away: what was worked out is refused, and worked out anew.
func TestAPieceThatComesLate(t *testing.T) {
	north, south := newRegion("north", list.CompactionWindow), newRegion("south", list.CompactionWindow)
	north.changeDocument(list.PutDocument, "s", `1`, 0)
	north.register("a", "127.0.0.1:1")
	north.register("b", "127.0.0.1:2")
	one := ChunkLimit{Entries: 1, Bytes: 1}
	take := func(p list.Chunk) error {
		if r := south.apply(list.Command{Op: list.ReplicateRegion, Chunk: &p}); r.Err != nil {
			return r.Err
		}
		return nil
	}
	first, _, _ := one.Chunks("north", south.list.Replicated("north"), north.ownChanges(-1))
	if len(first) != 3 {
		t.Fatalf("%d pieces", len(first))
	}
	if err := take(first[0]); err != nil {
		t.Fatal(err)
	}
	north.apply(list.Command{Op: list.Deregister, Name: "a"})
	for _, late := range []bool{true, false} {
		chunks, _, _ := one.Chunks("north", south.list.Replicated("north"), north.ownChanges(-1))
		if late {
			_ = take(first[1])
		}
		for _, p := range chunks {
			if take(p) != nil {
				break
			}
		}
		replicated := south.list.Replicated("north")
		if want := byName(north.ownChanges(-1).Endpoints); replicated.Revision == north.list.Revision() && !maps.Equal(replicated.Entries, want) {
			t.Fatalf("held whole at %d: %v, and it is %v", replicated.Revision, replicated.Entries, want)
		} else if !late && replicated.Revision != north.list.Revision() {
			t.Errorf("held at %d of %d", replicated.Revision, north.list.Revision())
		}
	}
	for _, p := range first { // of what is over
		if take(p) == nil {
			t.Errorf("%+v was taken in", p)
		}
	}
}
