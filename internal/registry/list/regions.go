package list

import (
	"iter"
	"maps"
	"slices"

	"mosslead/internal/registry/api"
)

// Piece is a part of what another region's list tells: how what is held of it at From comes to be as it is at To. Entries that
// are gone there are among them.
type Piece struct {
	Region    string         `json:"region"`
	From      int64          `json:"from"` // all of the other's changes up to it are held
	To        int64          `json:"to"`
	Part      int            `json:"part"` // how many pieces were taken in since From was held whole
	Last      bool           `json:"last"`
	Entries   []api.Entry    `json:"entries,omitempty"`
	Documents []api.Document `json:"documents,omitempty"`
}

// Region is what is held of another one.
type Region struct {
	Name      string         `json:"name"`
	Version   int64          `json:"version"`
	Seen      int64          `json:"seen"`
	Part      int            `json:"part"`
	Entries   []api.Entry    `json:"entries"`
	Documents []api.Document `json:"documents"`
}

// other is what is held of another region.
type other struct {
	version   int64 // all of its changes up to it are held
	seen      int64 // the highest version of which a piece was taken in; nothing below it ever is again
	part      int   // how many pieces were taken in since version was
	entries   map[string]api.Entry
	documents map[string]api.Document
}

func newOther() *other {
	return &other{entries: map[string]api.Entry{}, documents: map[string]api.Document{}}
}

func (r Region) load() *other {
	o := newOther()
	o.version, o.seen, o.part = r.Version, r.Seen, r.Part
	for _, e := range r.Entries {
		o.entries[e.Name] = e
	}
	for _, d := range r.Documents {
		o.documents[d.Service] = d
	}
	return o
}

func (l *List) othersState() (all []Region) {
	for _, name := range slices.Sorted(maps.Keys(l.others)) {
		o := l.others[name]
		r := Region{Name: name, Version: o.version, Seen: o.seen, Part: o.part, Entries: []api.Entry{}, Documents: []api.Document{}}
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

// Held is what is held of another region, to be read only, and only while the list does not change.
type Held struct {
	Version, Seen int64
	Part          int // of the next piece
	Entries       map[string]api.Entry
	Documents     map[string]api.Document
}

// Held is what is held of another region; the zero value where nothing is.
func (l *List) Held(region string) Held {
	o := l.others[region]
	if o == nil {
		return Held{}
	}
	return Held{Version: o.version, Seen: o.seen, Part: o.part, Entries: o.entries, Documents: o.documents}
}

// Others are the names of the regions of which anything is held.
func (l *List) Others() []string { return slices.Sorted(maps.Keys(l.others)) }

// Careless has the list take in whatever it is told of other regions, also what is older: for the proof that checkers see that, and
// never elsewhere.
func (l *List) Careless() { l.careless = true }

// follow takes in a piece. One that does not go on from what is held, that was worked out before another was taken in, or that is
// older than what was begun changes nothing: so a leader that was followed by another, a piece that comes twice or late and a source
// that went back do no harm.
func (l *List) follow(p *Piece) Result {
	if p == nil || p.Region == "" || p.Region == l.region {
		return Result{Err: api.Fail(api.CodeBad, "a piece of another region's list is needed")}
	}
	o := l.others[p.Region]
	if o == nil {
		o = newOther()
	}
	if !l.careless && (p.From != o.version || p.To < o.seen || p.To < p.From || p.Part != o.part) {
		return Result{Version: l.version, Err: api.Fail(api.CodeConflict, "region %s is held at %d, and piece %d on from there, to %d or above, is next: not piece %d from %d to %d",
			p.Region, o.version, o.part, o.seen, p.Part, p.From, p.To)}
	}
	if n := l.followed() + len(p.Entries); n > api.MaxEntries && n-l.goneIn(p) > api.MaxEntries {
		return Result{Version: l.version, Err: api.Fail(api.CodeFull, "%d entries of other regions", n)}
	}
	l.others[p.Region] = o
	o.seen, o.part = p.To, o.part+1
	changed := false
	for _, d := range p.Documents {
		if held, there := o.documents[d.Service]; there && d.Version <= held.Version && !l.careless {
			continue
		}
		was, _ := l.Document(d.Service)
		d.Region = p.Region
		o.documents[d.Service] = d
		now, _ := l.Document(d.Service)
		changed = changed || was.Region != now.Region || was.Version != now.Version
	}
	if changed {
		l.version++ // watchers are told
	}
	for _, e := range p.Entries {
		l.followEntry(o, e)
	}
	if p.Last {
		o.version, o.part = p.To, 0
	}
	return Result{Version: l.version}
}

// followed is how many entries of other regions are held.
func (l *List) followed() (n int) {
	for _, o := range l.others {
		n += len(o.entries)
	}
	return n
}

// goneIn is how many entries of a piece do not add to those held.
func (l *List) goneIn(p *Piece) (n int) {
	held := l.Held(p.Region)
	for _, e := range p.Entries {
		if _, there := held.Entries[e.Name]; there || e.Status == api.Gone {
			n++
		}
	}
	return n
}

func (l *List) followEntry(o *other, e api.Entry) {
	was := l.told(e.Name)
	if e.Status == api.Gone {
		delete(o.entries, e.Name)
	} else {
		o.entries[e.Name] = e
	}
	if l.told(e.Name) != was {
		l.version++
		l.moved[e.Name] = l.version
		l.touch(e.Name)
	}
}

// told is what is told of a name: an own entry before others', and of those the one of the region with the smaller name.
func (l *List) told(name string) api.Entry {
	r := l.records[name]
	if r != nil && r.Own != api.Gone {
		return r.Entry
	}
	first := ""
	for region, o := range l.others {
		if _, ok := o.entries[name]; ok && (first == "" || region < first) {
			first = region
		}
	}
	switch {
	case first != "":
		return l.others[first].entries[name]
	case r != nil:
		return r.Entry
	}
	return api.Entry{Name: name, Status: api.Gone}
}

// namesOfOthers are the names of other regions' entries, each once.
func (l *List) namesOfOthers() iter.Seq[string] {
	return func(yield func(string) bool) {
		seen := map[string]bool{}
		for _, o := range l.others {
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
