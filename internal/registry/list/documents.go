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
	PutDocument     = "put"    // the settings of a service
	DeleteDocument  = "delete" // the same
	ReplicateRegion = "follow" // what another region's list tells, see Piece
)

// DocumentSchema is the form of commands and backups from which on documents and other regions are in them.
const DocumentSchema = 3

// MaxEarlierRevisions is how many revisions of a document are stored beside the present one.
const MaxEarlierRevisions = api.MaxEarlierRevisions

// Document is an own document. Its Region is left empty: it is the list's.
type Document struct {
	api.Document
	Earlier []api.Document `json:"earlier,omitempty"` // the newest last
}

// setRegion gives the list its region's name. Which document of two regions is visible depends on it.
func (l *List) setRegion(region string) {
	if region != l.region {
		l.region = region
		if len(l.documents) > 0 {
			l.revision++
		}
	}
}

// Region is whose list this is; empty: there is one region, or nothing was written yet that tells.
func (l *List) Region() string { return l.region }

// applyDocument carries out a command on an own document.
func (l *List) applyDocument(c Command) Result {
	own := l.documents[c.Name]
	live, at := own != nil && !own.Deleted, int64(0)
	if own != nil {
		at = own.Revision
	}
	visible, _ := l.Document(c.Name)
	put := c.Op == PutDocument
	switch {
	case c.IfRevision == nil || put && c.Document == nil:
		return Result{Revision: at, Err: api.Errorf(api.CodeBadRequest, "%s: a version that it is based on, and a document, are needed", c.Name)}
	case visible.Revision > 0 && visible.Region != l.region && !visible.Deleted && (put || !live): // an own one beside it can be deleted
		return Result{Revision: at, Err: api.Errorf(api.CodeConflict, "the settings of %s are those of region %s, at version %d", c.Name, visible.Region, visible.Revision)}
	case own == nil && !put:
		return Result{Err: api.Errorf(api.CodeNotFound, "settings of %s", c.Name)}
	case *c.IfRevision != at && (!put || live || *c.IfRevision != 0):
		return Result{Revision: at, Err: api.Errorf(api.CodeConflict, "the settings of %s are at version %d", c.Name, at)}
	case !put && !live:
		return Result{Revision: at}
	case own == nil && len(l.documents) >= api.MaxDocuments:
		return Result{Err: api.Errorf(api.CodeFull, "%d documents, deleted ones too", len(l.documents))}
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
			return Result{Revision: at, Err: api.Errorf(api.CodeFull, "%d bytes of settings in all, and %d are the most", bytes, api.MaxAllSettings)}
		}
	}
	if own != nil {
		next.Earlier = slices.Clone(own.Earlier)
		if live {
			next.Earlier = append(next.Earlier, own.Document)
		}
		next.Earlier = next.Earlier[max(0, len(next.Earlier)-MaxEarlierRevisions):]
	}
	l.revision++
	next.Revision = l.revision
	l.documents[c.Name] = next
	return Result{Revision: l.revision}
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
		for _, o := range l.regions {
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
			if d.Revision == version {
				return l.named(d), true
			}
		}
	}
	for d := range l.allOf(service) {
		if d.Revision == version {
			return d, true
		}
	}
	return api.Document{}, false
}

// EarlierRevisions are the versions of an own document that are remembered, rising, the present one left out.
func (l *List) EarlierRevisions(service string) (versions []int64) {
	if own := l.documents[service]; own != nil {
		for _, d := range own.Earlier {
			versions = append(versions, d.Revision)
		}
	}
	return versions
}

// Documents are all that are known, by service and region: also those of which sidecars are not told, and deleted ones.
func (l *List) Documents() []api.Document {
	all := []api.Document{}
	for _, d := range l.documents {
		all = append(all, l.named(d.Document))
	}
	for _, o := range l.regions {
		all = slices.AppendSeq(all, maps.Values(o.documents))
	}
	slices.SortFunc(all, func(a, b api.Document) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Region, b.Region))
	})
	return all
}

// OwnChangesSince is what another region that has the version is to be told: entries and documents that are written here, and changed
// after it. All of them where that is no longer known.
func (l *List) OwnChangesSince(version int64) (c api.WatchEvent) {
	if !l.Remembers(version) {
		c = l.ownEntries()
		version = -1
	} else {
		c = api.WatchEvent{Revision: l.revision, Endpoints: []api.Endpoint{}}
		for _, t := range l.changesAfter(version) {
			if l.ownRevision(t.name) == t.revision {
				c.Endpoints = append(c.Endpoints, l.records[t.name].Endpoint)
			}
		}
	}
	for _, d := range l.ownDocuments() {
		if d.Revision > version {
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
	for _, o := range s.Regions {
		l.regions[o.Name] = o.load()
	}
	for name, version := range s.RegionRevisions {
		l.regionRevisions[name] = version
		if version > l.compacted {
			l.changes = append(l.changes, entryChange{version, name})
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
		d.Revision = l.revision
	}
	maps.Copy(l.regions, was.regions)
}
