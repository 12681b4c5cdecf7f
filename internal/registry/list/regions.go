package list

import (
	"iter"
	"maps"
	"slices"

	"mosslead/internal/registry/api"
)

// Chunk is a part of the changes of another region between its revisions From and To. Its entries include removed
// endpoints.
type Chunk struct {
	Region    string         `json:"region"`
	From      int64          `json:"from"` // all changes of the region up to this revision are applied
	To        int64          `json:"to"`
	Part      int            `json:"part"` // number of chunks applied since From was complete
	Last      bool           `json:"last"` // whether it completes the changes up to To
	Entries   []api.Endpoint `json:"entries,omitempty"`
	Documents []api.Document `json:"documents,omitempty"`
}

// Region is the replicated state of another region, as part of a State; see regionCopy for its fields.
type Region struct {
	Name         string         `json:"name"`
	Revision     int64          `json:"version"`
	SeenRevision int64          `json:"seen"`
	Part         int            `json:"part"`
	Entries      []api.Endpoint `json:"entries"`
	Documents    []api.Document `json:"documents"`
}

// regionCopy is the replicated state of another region, as part of a List.
type regionCopy struct {
	revision     int64 // all changes up to this one are applied
	seenRevision int64 // Chunk.To of the latest applied chunk; a chunk with a lower To is rejected
	part         int   // number of chunks applied since all changes up to revision were applied
	entries      map[string]api.Endpoint
	documents    map[string]api.Document
}

func newRegionCopy() *regionCopy {
	return &regionCopy{entries: map[string]api.Endpoint{}, documents: map[string]api.Document{}}
}

func (r Region) load() *regionCopy {
	rc := newRegionCopy()
	rc.revision, rc.seenRevision, rc.part = r.Revision, r.SeenRevision, r.Part
	for _, e := range r.Entries {
		rc.entries[e.Name] = e
	}
	for _, d := range r.Documents {
		rc.documents[d.Service] = d
	}
	return rc
}

func (l *List) regionsState() (all []Region) {
	for _, name := range slices.Sorted(maps.Keys(l.regions)) {
		rc := l.regions[name]
		state := Region{Name: name, Revision: rc.revision, SeenRevision: rc.seenRevision, Part: rc.part, Entries: []api.Endpoint{}, Documents: []api.Document{}}
		for _, e := range slices.Sorted(maps.Keys(rc.entries)) {
			state.Entries = append(state.Entries, rc.entries[e])
		}
		for _, d := range slices.Sorted(maps.Keys(rc.documents)) {
			state.Documents = append(state.Documents, rc.documents[d])
		}
		all = append(all, state)
	}
	return all
}

// Replicated is the replicated state of another region. It must not be modified, nor read after the list has changed.
type Replicated struct {
	Revision, SeenRevision int64
	NextPart               int // Part of the next chunk
	Entries                map[string]api.Endpoint
	Documents              map[string]api.Document
}

// Replicated returns the replicated state of another region, or the zero value if nothing is replicated.
func (l *List) Replicated(region string) Replicated {
	rc := l.regions[region]
	if rc == nil {
		return Replicated{}
	}
	return Replicated{Revision: rc.revision, SeenRevision: rc.seenRevision, NextPart: rc.part, Entries: rc.entries, Documents: rc.documents}
}

// Regions returns the names of the replicated regions, sorted.
func (l *List) Regions() []string { return slices.Sorted(maps.Keys(l.regions)) }

// SkipRegionChecks makes the list apply all chunks of other regions, including those of older revisions. It injects a fault, only to
// test that checkers detect it.
func (l *List) SkipRegionChecks() { l.skipRegionChecks = true }

// applyChunk applies a chunk. It rejects a chunk that does not follow the replicated state, that was computed before another one
// was applied, or whose revision is below that of a partly applied one. Therefore a deposed leader, a duplicated or late chunk, and
// a source that was rolled back do no harm.
func (l *List) applyChunk(chunk *Chunk) Result {
	if chunk == nil || chunk.Region == "" || chunk.Region == l.region {
		return Result{Err: api.Errorf(api.CodeBadRequest, "a piece of another region's list is needed")}
	}
	rc := l.regions[chunk.Region]
	if rc == nil {
		rc = newRegionCopy()
	}
	if !l.skipRegionChecks && (chunk.From != rc.revision || chunk.To < rc.seenRevision || chunk.To < chunk.From || chunk.Part != rc.part) {
		return Result{Revision: l.revision, Err: api.Errorf(api.CodeConflict, "region %s is held at %d, and piece %d on from there, to %d or above, is next: not piece %d from %d to %d",
			chunk.Region, rc.revision, rc.part, rc.seenRevision, chunk.Part, chunk.From, chunk.To)}
	}
	if n := l.countRegionEntries() + len(chunk.Entries); n > api.MaxEndpoints && n-l.countReplacedOrRemoved(chunk) > api.MaxEndpoints {
		return Result{Revision: l.revision, Err: api.Errorf(api.CodeFull, "%d entries of other regions", n)}
	}
	l.regions[chunk.Region] = rc
	rc.seenRevision, rc.part = chunk.To, rc.part+1
	changed := false
	for _, d := range chunk.Documents {
		if replicated, exists := rc.documents[d.Service]; exists && d.Revision <= replicated.Revision && !l.skipRegionChecks {
			continue
		}
		before, _ := l.Document(d.Service)
		d.Region = chunk.Region
		rc.documents[d.Service] = d
		after, _ := l.Document(d.Service)
		changed = changed || before.Region != after.Region || before.Revision != after.Revision
	}
	if changed {
		l.revision++ // so that watchers are notified
	}
	for _, e := range chunk.Entries {
		l.applyRegionEntry(rc, e)
	}
	if chunk.Last {
		rc.revision, rc.part = chunk.To, 0
	}
	return Result{Revision: l.revision}
}

// countRegionEntries returns the number of entries of other regions.
func (l *List) countRegionEntries() (n int) {
	for _, rc := range l.regions {
		n += len(rc.entries)
	}
	return n
}

// countReplacedOrRemoved returns the number of entries of a chunk that are stored already or removed, and so add
// nothing to the stored ones.
func (l *List) countReplacedOrRemoved(chunk *Chunk) (n int) {
	replicated := l.Replicated(chunk.Region)
	for _, e := range chunk.Entries {
		if _, exists := replicated.Entries[e.Name]; exists || e.Status == api.Removed {
			n++
		}
	}
	return n
}

// applyRegionEntry stores or deletes an entry of another region, and records a change if this changes the visible entry.
func (l *List) applyRegionEntry(rc *regionCopy, e api.Endpoint) {
	before := l.visibleEntry(e.Name)
	if e.Status == api.Removed {
		delete(rc.entries, e.Name)
	} else {
		rc.entries[e.Name] = e
	}
	if l.visibleEntry(e.Name) != before {
		l.revision++
		l.regionRevisions[e.Name] = l.revision
		l.recordChange(e.Name)
	}
}

// visibleEntry returns the entry that watchers are sent for a name: the own entry if there is one, or else that of the region with
// the smallest name. It returns a removed entry if there is none.
func (l *List) visibleEntry(name string) api.Endpoint {
	r := l.records[name]
	if r != nil && r.ServerStatus != api.Removed {
		return r.Endpoint
	}
	first := ""
	for region, rc := range l.regions {
		if _, ok := rc.entries[name]; ok && (first == "" || region < first) {
			first = region
		}
	}
	switch {
	case first != "":
		return l.regions[first].entries[name]
	case r != nil:
		return r.Endpoint
	}
	return api.Endpoint{Name: name, Status: api.Removed}
}

// regionEntryNames yields the names of other regions' entries, each once.
func (l *List) regionEntryNames() iter.Seq[string] {
	return func(yield func(string) bool) {
		seen := map[string]bool{}
		for _, rc := range l.regions {
			for name := range rc.entries {
				if !seen[name] {
					seen[name] = true
					if !yield(name) {
						return
					}
				}
			}
		}
	}
}
