package list

import (
	"iter"
	"maps"
	"slices"

	"mosslead/internal/registry/api"
)

// Chunk is a part of another region's changes: from what is replicated of it at From to its state at To.
// Removed endpoints are among its entries.
type Chunk struct {
	Region    string         `json:"region"`
	From      int64          `json:"from"` // all changes of the region up to it are applied
	To        int64          `json:"to"`
	Part      int            `json:"part"` // how many chunks were applied since From was complete
	Last      bool           `json:"last"`
	Entries   []api.Endpoint `json:"entries,omitempty"`
	Documents []api.Document `json:"documents,omitempty"`
}

// Region is the replicated state of another region.
type Region struct {
	Name         string         `json:"name"`
	Revision     int64          `json:"version"`
	SeenRevision int64          `json:"seen"`
	Part         int            `json:"part"`
	Entries      []api.Endpoint `json:"entries"`
	Documents    []api.Document `json:"documents"`
}

// regionCopy is the replicated state of another region.
type regionCopy struct {
	revision     int64 // its changes up to this one are applied
	seenRevision int64 // highest revision of which a chunk was applied; nothing below it is ever applied again
	part         int   // how many chunks were applied since revision was
	entries      map[string]api.Endpoint
	documents    map[string]api.Document
}

func newRegionCopy() *regionCopy {
	return &regionCopy{entries: map[string]api.Endpoint{}, documents: map[string]api.Document{}}
}

func (r Region) load() *regionCopy {
	o := newRegionCopy()
	o.revision, o.seenRevision, o.part = r.Revision, r.SeenRevision, r.Part
	for _, e := range r.Entries {
		o.entries[e.Name] = e
	}
	for _, d := range r.Documents {
		o.documents[d.Service] = d
	}
	return o
}

func (l *List) regionsState() (all []Region) {
	for _, name := range slices.Sorted(maps.Keys(l.regions)) {
		o := l.regions[name]
		r := Region{Name: name, Revision: o.revision, SeenRevision: o.seenRevision, Part: o.part, Entries: []api.Endpoint{}, Documents: []api.Document{}}
		for _, e := range slices.Sorted(maps.Keys(o.entries)) {
			r.Entries = append(r.Entries, o.entries[e])
		}
		for _, d := range slices.Sorted(maps.Keys(o.documents)) {
			r.Documents = append(r.Documents, o.documents[d])
		}
		all = append(all, r)
	}
	return all
}

// Replicated is what is replicated of another region. It must not be modified, nor read after the list has changed.
type Replicated struct {
	Revision, SeenRevision int64
	NextPart               int // of the next chunk
	Entries                map[string]api.Endpoint
	Documents              map[string]api.Document
}

// Replicated returns what is replicated of another region; the zero value if nothing is.
func (l *List) Replicated(region string) Replicated {
	o := l.regions[region]
	if o == nil {
		return Replicated{}
	}
	return Replicated{Revision: o.revision, SeenRevision: o.seenRevision, NextPart: o.part, Entries: o.entries, Documents: o.documents}
}

// Regions returns the names of the regions of which anything is replicated.
func (l *List) Regions() []string { return slices.Sorted(maps.Keys(l.regions)) }

// SkipRegionChecks has the list apply everything it is sent of other regions, including older revisions. It plants a fault
// that checkers have to detect, and has no other use.
func (l *List) SkipRegionChecks() { l.skipRegionChecks = true }

// applyChunk applies a chunk. A chunk that does not follow what is replicated, was computed before another was applied, or
// is older than one applied in part is ignored, so that a deposed leader, a duplicated or late chunk, and a source that was
// rolled back do no harm.
func (l *List) applyChunk(p *Chunk) Result {
	if p == nil || p.Region == "" || p.Region == l.region {
		return Result{Err: api.Errorf(api.CodeBadRequest, "a piece of another region's list is needed")}
	}
	o := l.regions[p.Region]
	if o == nil {
		o = newRegionCopy()
	}
	if !l.skipRegionChecks && (p.From != o.revision || p.To < o.seenRevision || p.To < p.From || p.Part != o.part) {
		return Result{Revision: l.revision, Err: api.Errorf(api.CodeConflict, "region %s is held at %d, and piece %d on from there, to %d or above, is next: not piece %d from %d to %d",
			p.Region, o.revision, o.part, o.seenRevision, p.Part, p.From, p.To)}
	}
	if n := l.countRegionEntries() + len(p.Entries); n > api.MaxEndpoints && n-l.countReplacedOrRemoved(p) > api.MaxEndpoints {
		return Result{Revision: l.revision, Err: api.Errorf(api.CodeFull, "%d entries of other regions", n)}
	}
	l.regions[p.Region] = o
	o.seenRevision, o.part = p.To, o.part+1
	changed := false
	for _, d := range p.Documents {
		if replicated, there := o.documents[d.Service]; there && d.Revision <= replicated.Revision && !l.skipRegionChecks {
			continue
		}
		was, _ := l.Document(d.Service)
		d.Region = p.Region
		o.documents[d.Service] = d
		now, _ := l.Document(d.Service)
		changed = changed || was.Region != now.Region || was.Revision != now.Revision
	}
	if changed {
		l.revision++ // notifies watchers
	}
	for _, e := range p.Entries {
		l.applyRegionEntry(o, e)
	}
	if p.Last {
		o.revision, o.part = p.To, 0
	}
	return Result{Revision: l.revision}
}

// countRegionEntries returns the number of entries of other regions.
func (l *List) countRegionEntries() (n int) {
	for _, o := range l.regions {
		n += len(o.entries)
	}
	return n
}

// countReplacedOrRemoved returns the number of entries of a chunk that don't add to those stored.
func (l *List) countReplacedOrRemoved(p *Chunk) (n int) {
	replicated := l.Replicated(p.Region)
	for _, e := range p.Entries {
		if _, there := replicated.Entries[e.Name]; there || e.Status == api.Removed {
			n++
		}
	}
	return n
}

func (l *List) applyRegionEntry(o *regionCopy, e api.Endpoint) {
	was := l.visibleEntry(e.Name)
	if e.Status == api.Removed {
		delete(o.entries, e.Name)
	} else {
		o.entries[e.Name] = e
	}
	if l.visibleEntry(e.Name) != was {
		l.revision++
		l.regionRevisions[e.Name] = l.revision
		l.recordChange(e.Name)
	}
}

// visibleEntry returns the entry of a name that watchers are sent: an own one before any other, and of those the one of the
// region with the smaller name.
func (l *List) visibleEntry(name string) api.Endpoint {
	r := l.records[name]
	if r != nil && r.ServerStatus != api.Removed {
		return r.Endpoint
	}
	first := ""
	for region, o := range l.regions {
		if _, ok := o.entries[name]; ok && (first == "" || region < first) {
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

// regionEntryNames returns the names of other regions' entries, each once.
func (l *List) regionEntryNames() iter.Seq[string] {
	return func(yield func(string) bool) {
		seen := map[string]bool{}
		for _, o := range l.regions {
			for name := range o.entries {
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
