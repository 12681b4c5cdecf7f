package list

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"

	"mosslead/internal/registry/api"
)

// Operations of commands of schema 3, as they are encoded in the log.
const (
	PutDocument     = "put"    // settings of a service
	DeleteDocument  = "delete" // settings of a service
	ReplicateRegion = "follow" // a Chunk of another region's changes
)

// DocumentSchema is the schema of commands and backups that introduced documents and other regions.
const DocumentSchema = 3

// MaxEarlierRevisions is how many revisions of a document are stored beside the present one.
const MaxEarlierRevisions = api.MaxEarlierRevisions

// Document is a document that this region owns. Its Region is empty, as it is the list's.
type Document struct {
	api.Document
	Earlier []api.Document `json:"earlier,omitempty"` // the newest last
}

// setRegion sets the name of the list's region, on which depends which of two regions' documents is visible.
func (l *List) setRegion(region string) {
	if region != l.region {
		l.region = region
		if len(l.documents) > 0 {
			l.revision++
		}
	}
}

// Region returns the name of the list's region; empty if there is one region, or if no command has set it yet.
func (l *List) Region() string { return l.region }

// applyDocument applies a command on an own document.
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
	case visible.Revision > 0 && visible.Region != l.region && !visible.Deleted && (put || !live): // an own document beside it can still be deleted
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

// Document returns the document of a service that its sidecars are sent: of several regions' that of the region with the
// smaller name, and one that is not deleted before any that is. It returns false if there is none.
func (l *List) Document(service string) (best api.Document, found bool) {
	for d := range l.documentsOf(service) {
		if !found || hasPrecedence(d, best) {
			best, found = d, true
		}
	}
	return best, found
}

// hasPrecedence reports whether a is sent rather than b, of two documents of one service.
func hasPrecedence(a, b api.Document) bool {
	if a.Deleted != b.Deleted {
		return b.Deleted
	}
	return a.Region < b.Region
}

// documentsOf returns the documents of one service, at most one of each region.
func (l *List) documentsOf(service string) iter.Seq[api.Document] {
	return func(yield func(api.Document) bool) {
		if d := l.documents[service]; d != nil && !yield(l.withRegion(d.Document)) {
			return
		}
		for _, o := range l.regions {
			if d, ok := o.documents[service]; ok && !yield(d) {
				return
			}
		}
	}
}

// withRegion returns an own document with its region.
func (l *List) withRegion(d api.Document) api.Document {
	d.Region = l.region
	return d
}

// DocumentAt returns a stored revision of a service's document: of this region's, or the latest of another region's.
func (l *List) DocumentAt(service string, version int64) (api.Document, bool) {
	if own := l.documents[service]; own != nil {
		for _, d := range own.Earlier {
			if d.Revision == version {
				return l.withRegion(d), true
			}
		}
	}
	for d := range l.documentsOf(service) {
		if d.Revision == version {
			return d, true
		}
	}
	return api.Document{}, false
}

// EarlierRevisions returns the stored revisions of an own document before the present one, rising.
func (l *List) EarlierRevisions(service string) (versions []int64) {
	if own := l.documents[service]; own != nil {
		for _, d := range own.Earlier {
			versions = append(versions, d.Revision)
		}
	}
	return versions
}

// Documents returns all documents, by service and region, including those not sent to sidecars and deleted ones.
func (l *List) Documents() []api.Document {
	all := []api.Document{}
	for _, d := range l.documents {
		all = append(all, l.withRegion(d.Document))
	}
	for _, o := range l.regions {
		all = slices.AppendSeq(all, maps.Values(o.documents))
	}
	slices.SortFunc(all, func(a, b api.Document) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Region, b.Region))
	})
	return all
}

// OwnChangesSince returns the changes after a revision for another region: the entries and documents that this region owns and
// that have changed since, or all of them if those are no longer known.
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
			c.Documents = append(c.Documents, l.withRegion(d.Document))
		}
	}
	return c
}

// ownDocuments returns the documents that this region owns, by service.
func (l *List) ownDocuments() (all []Document) {
	for _, service := range slices.Sorted(maps.Keys(l.documents)) {
		all = append(all, *l.documents[service])
	}
	return all
}

// loadDocuments is the part of Load for schema 3.
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
		if version > l.compactedRevision {
			l.changes = append(l.changes, entryChange{version, name})
		}
	}
}

// restoreDocuments restores the documents of a backup as new revisions, since a revision that has been sent must not return
// with other content, and deletes those that the backup lacks. Documents of other regions stay.
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
