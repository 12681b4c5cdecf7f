package list

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"

	"mosslead/internal/registry/api"
)

// What a command of schema 3 does.
const (
	Put    = "put"    // the settings of a service
	Delete = "delete" // the same
	Follow = "follow" // what another region's list tells, see Piece
)

// DocumentSchema is the form of commands, and of backups, from which on documents and other regions are in them.
const DocumentSchema = 3

// Earlier is how many versions of a document are remembered beside the present one.
const Earlier = 4

// Document is an own one. Its Region is left empty: it is the list's.
type Document struct {
	api.Document
	Earlier []api.Document `json:"earlier,omitempty"` // the newest last
}

// call gives the list its region's name. Which document of two regions is told depends on it.
func (l *List) call(region string) {
	if region != l.region {
		l.region = region
		if len(l.documents) > 0 {
			l.version++
		}
	}
}

// Region is whose list this is; empty: there is one region, or nothing was written yet that tells.
func (l *List) Region() string { return l.region }

// settle is a command on an own document.
func (l *List) settle(c Command) Result {
	own := l.documents[c.Name]
	live, at := own != nil && !own.Deleted, int64(0)
	if own != nil {
		at = own.Version
	}
	told, _ := l.Document(c.Name)
	put := c.Op == Put
	switch {
	case c.IfVersion == nil || put && c.Document == nil:
		return Result{Version: at, Err: api.Fail(api.CodeBad, "%s: a version that it is based on, and a document, are needed", c.Name)}
	case told.Version > 0 && told.Region != l.region && !told.Deleted && (put || !live): // an own one beside it can be deleted
		return Result{Version: at, Err: api.Fail(api.CodeConflict, "the settings of %s are those of region %s, at version %d", c.Name, told.Region, told.Version)}
	case own == nil && !put:
		return Result{Err: api.Fail(api.CodeNone, "settings of %s", c.Name)}
	case *c.IfVersion != at && !(put && !live && *c.IfVersion == 0):
		return Result{Version: at, Err: api.Fail(api.CodeConflict, "the settings of %s are at version %d", c.Name, at)}
	case !put && !live:
		return Result{Version: at}
	case own == nil && len(l.documents) >= api.MaxDocuments:
		return Result{Err: api.Fail(api.CodeFull, "%d documents, deleted ones too", len(l.documents))}
	}
	next := &Document{Document: api.Document{Service: c.Name, Deleted: !put}}
	if put {
		next.Schema, next.Settings = c.Document.Schema, c.Document.Settings
		bytes := len(next.Settings)
		for name, d := range l.documents {
			if name != c.Name {
				bytes += len(d.Settings)
			}
		}
		if bytes > api.MaxAllSettings {
			return Result{Version: at, Err: api.Fail(api.CodeFull, "%d bytes of settings in all, and %d are the most", bytes, api.MaxAllSettings)}
		}
	}
	if own != nil {
		next.Earlier = slices.Clone(own.Earlier)
		if live {
			next.Earlier = append(next.Earlier, own.Document)
		}
		next.Earlier = next.Earlier[max(0, len(next.Earlier)-Earlier):]
	}
	l.version++
	next.Version = l.version
	l.documents[c.Name] = next
	return Result{Version: l.version}
}

// Document is the settings of a service as its sidecars are told them: of those that several regions have the one of the region
// with the smaller name, and one that is not deleted before any that is. False: nobody has any.
func (l *List) Document(service string) (best api.Document, found bool) {
	for d := range l.allOf(service) {
		if !found || before(d, best) {
			best, found = d, true
		}
	}
	return best, found
}

// before tells which of two documents of one service is told.
func before(a, b api.Document) bool {
	if a.Deleted != b.Deleted {
		return b.Deleted
	}
	return a.Region < b.Region
}

// allOf are the documents of one service, one of each region that has any.
func (l *List) allOf(service string) iter.Seq[api.Document] {
	return func(yield func(api.Document) bool) {
		if d := l.documents[service]; d != nil && !yield(l.named(d.Document)) {
			return
		}
		for _, o := range l.others {
			if d, ok := o.documents[service]; ok && !yield(d) {
				return
			}
		}
	}
}

// named is an own document with its region.
func (l *List) named(d api.Document) api.Document {
	d.Region = l.region
	return d
}

// DocumentAt is the settings of a service at a version, where they are remembered: this region's, or the last of another.
func (l *List) DocumentAt(service string, version int64) (api.Document, bool) {
	if own := l.documents[service]; own != nil {
		for _, d := range own.Earlier {
			if d.Version == version {
				return l.named(d), true
			}
		}
	}
	for d := range l.allOf(service) {
		if d.Version == version {
			return d, true
		}
	}
	return api.Document{}, false
}

// Documents are all that are known, by service and region: also those of which sidecars are not told, and deleted ones.
func (l *List) Documents() []api.Document {
	all := []api.Document{}
	for _, d := range l.documents {
		all = append(all, l.named(d.Document))
	}
	for _, o := range l.others {
		all = slices.AppendSeq(all, maps.Values(o.documents))
	}
	slices.SortFunc(all, func(a, b api.Document) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Region, b.Region))
	})
	return all
}

// OwnSince is what another region that has the version is to be told: entries and documents that are written here, and changed
// after it. All of them where that is no longer known.
func (l *List) OwnSince(version int64) (c api.Listing) {
	if !l.Knows(version) {
		c = l.ownEntries()
		version = -1
	} else {
		c = api.Listing{Index: l.version, Endpoints: []api.Entry{}}
		for _, t := range l.after(version) {
			if l.ownAt(t.name) == t.version {
				c.Endpoints = append(c.Endpoints, l.records[t.name].Entry)
			}
		}
	}
	for _, d := range l.ownDocuments() {
		if d.Version > version {
			c.Documents = append(c.Documents, l.named(d.Document))
		}
	}
	return c
}

// ownDocuments are those that are written here, by service.
func (l *List) ownDocuments() (all []Document) {
	for _, service := range slices.Sorted(maps.Keys(l.documents)) {
		all = append(all, *l.documents[service])
	}
	return all
}

// loadDocuments is Load's part of schema 3.
func (l *List) loadDocuments(s State) {
	l.region = s.Region
	for _, d := range s.Documents {
		l.documents[d.Service] = &d
	}
	for _, o := range s.Others {
		l.others[o.Name] = o.load()
	}
	for name, version := range s.Moved {
		l.moved[name] = version
		if version > l.floor {
			l.touches = append(l.touches, touch{version, name})
		}
	}
}

// restoreDocuments puts the backup's documents in force as new versions, since none that was told may come back under its old
// one, and ends those that it knows nothing of. What other regions said after the backup stays.
func (l *List) restoreDocuments(was *List) {
	for service := range was.documents {
		if l.documents[service] == nil {
			l.documents[service] = &Document{Document: api.Document{Service: service, Deleted: true}}
		}
	}
	for _, d := range l.documents {
		d.Version = l.version
	}
	maps.Copy(l.others, was.others)
}
