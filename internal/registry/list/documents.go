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
	PutDocument     = "put"    // stores the settings of a service
	DeleteDocument  = "delete" // deletes the settings of a service
	ReplicateRegion = "follow" // applies a Chunk of another region's changes
)

// DocumentSchema is the schema of commands and backups that introduced documents and other regions.
const DocumentSchema = 3

// MaxEarlierRevisions is the number of revisions of a document that are stored besides the current one.
const MaxEarlierRevisions = api.MaxEarlierRevisions

// Document is a document that this region owns, with its earlier revisions. Its Region is empty, which means the region of the list.
type Document struct {
	api.Document
	Earlier []api.Document `json:"earlier,omitempty"` // ascending by revision
}

// setRegion sets the name of the list's region. A new name raises the revision if there are documents, because the names decide
// which of two regions' documents is sent.
func (l *List) setRegion(region string) {
	if region != l.region {
		l.region = region
		if len(l.documents) > 0 {
			l.revision++
		}
	}
}

// Region returns the name of the list's region. It is empty if there is only one region, or if no command has set it yet.
func (l *List) Region() string { return l.region }

// applyDocument applies a command to a document that this region owns.
func (l *List) applyDocument(c Command) Result {
	own := l.documents[c.Name]
	live, ownRevision := own != nil && !own.Deleted, int64(0)
	if own != nil {
		ownRevision = own.Revision
	}
	visible, _ := l.Document(c.Name)
	isPut := c.Op == PutDocument
	switch {
	case c.IfRevision == nil || isPut && c.Document == nil:
		return Result{Revision: ownRevision, Err: api.Errorf(api.CodeBadRequest, "%s: a version that it is based on, and a document, are needed", c.Name)}
	case visible.Revision > 0 && visible.Region != l.region && !visible.Deleted && (isPut || !live): // a document of this region can still be deleted even if that of another region is the visible one
		return Result{Revision: ownRevision, Err: api.Errorf(api.CodeConflict, "the settings of %s are those of region %s, at version %d", c.Name, visible.Region, visible.Revision)}
	case own == nil && !isPut:
		return Result{Err: api.Errorf(api.CodeNotFound, "settings of %s", c.Name)}
	case *c.IfRevision != ownRevision && (!isPut || live || *c.IfRevision != 0):
		return Result{Revision: ownRevision, Err: api.Errorf(api.CodeConflict, "the settings of %s are at version %d", c.Name, ownRevision)}
	case !isPut && !live:
		return Result{Revision: ownRevision}
	case own == nil && len(l.documents) >= api.MaxDocuments:
		return Result{Err: api.Errorf(api.CodeFull, "%d documents, deleted ones too", len(l.documents))}
	}
	next := &Document{Document: api.Document{Service: c.Name, Deleted: !isPut}}
	if isPut {
		next.Schema, next.Settings = c.Document.Schema, c.Document.Settings
		bytes := len(next.Settings)
		for name, d := range l.documents {
			if name != c.Name {
				bytes += len(d.Settings)
			}
		}
		if bytes > api.MaxAllSettings {
			return Result{Revision: ownRevision, Err: api.Errorf(api.CodeFull, "%d bytes of settings in all, and %d are the most", bytes, api.MaxAllSettings)}
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

// Document returns the document that is sent to the sidecars of a service. If several regions have one, documents that are not
// deleted take precedence over deleted ones, and then smaller names of regions over larger ones. It returns false if there is none.
func (l *List) Document(service string) (best api.Document, ok bool) {
	for d := range l.documentsOf(service) {
		if !ok || hasPrecedence(d, best) {
			best, ok = d, true
		}
	}
	return best, ok
}

// hasPrecedence reports whether a is sent rather than b, where both are documents of one service.
func hasPrecedence(a, b api.Document) bool {
	if a.Deleted != b.Deleted {
		return b.Deleted
	}
	return a.Region < b.Region
}

// documentsOf returns the documents of one service, at most one per region.
func (l *List) documentsOf(service string) iter.Seq[api.Document] {
	return func(yield func(api.Document) bool) {
		if d := l.documents[service]; d != nil && !yield(l.withRegion(d.Document)) {
			return
		}
		for _, rc := range l.regions {
			if d, ok := rc.documents[service]; ok && !yield(d) {
				return
			}
		}
	}
}

// withRegion returns d, a document of this list's region, with its Region set.
func (l *List) withRegion(d api.Document) api.Document {
	d.Region = l.region
	return d
}

// DocumentAt returns a service's document at a revision: any stored revision of this region's document, or the latest of another
// region's. It returns false if the revision is not stored.
func (l *List) DocumentAt(service string, revision int64) (api.Document, bool) {
	if own := l.documents[service]; own != nil {
		for _, d := range own.Earlier {
			if d.Revision == revision {
				return l.withRegion(d), true
			}
		}
	}
	for d := range l.documentsOf(service) {
		if d.Revision == revision {
			return d, true
		}
	}
	return api.Document{}, false
}

// EarlierRevisions returns the stored revisions of an own document before the current one, in ascending order.
func (l *List) EarlierRevisions(service string) (revisions []int64) {
	if own := l.documents[service]; own != nil {
		for _, d := range own.Earlier {
			revisions = append(revisions, d.Revision)
		}
	}
	return revisions
}

// Documents returns all documents, sorted by service and region, including deleted ones and those not sent to sidecars.
func (l *List) Documents() []api.Document {
	all := []api.Document{}
	for _, d := range l.documents {
		all = append(all, l.withRegion(d.Document))
	}
	for _, rc := range l.regions {
		all = slices.AppendSeq(all, maps.Values(rc.documents))
	}
	slices.SortFunc(all, func(a, b api.Document) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Region, b.Region))
	})
	return all
}

// OwnChangesSince returns, for another region, the entries and documents that this region owns and that have changed after a
// revision, or all of them if those changes are no longer known.
func (l *List) OwnChangesSince(revision int64) (event api.WatchEvent) {
	if !l.Remembers(revision) {
		event = l.ownEntries()
		revision = -1
	} else {
		event = api.WatchEvent{Revision: l.revision, Endpoints: []api.Endpoint{}}
		for _, change := range l.changesAfter(revision) {
			if l.ownRevision(change.name) == change.revision {
				event.Endpoints = append(event.Endpoints, l.records[change.name].Endpoint)
			}
		}
	}
	for _, d := range l.ownDocuments() {
		if d.Revision > revision {
			event.Documents = append(event.Documents, l.withRegion(d.Document))
		}
	}
	return event
}

// ownDocuments returns the documents that this region owns, sorted by service.
func (l *List) ownDocuments() (all []Document) {
	for _, service := range slices.Sorted(maps.Keys(l.documents)) {
		all = append(all, *l.documents[service])
	}
	return all
}

// loadDocuments loads the part of a state that schema 3 introduced.
func (l *List) loadDocuments(s State) {
	l.region = s.Region
	for _, d := range s.Documents {
		l.documents[d.Service] = &d
	}
	for _, region := range s.Regions {
		l.regions[region.Name] = region.load()
	}
	for name, revision := range s.RegionRevisions {
		l.regionRevisions[name] = revision
		if revision > l.compactedRevision {
			l.changes = append(l.changes, entryChange{revision, name})
		}
	}
}

// restoreDocuments gives the documents of a backup a new revision, because a revision that has been sent must not be sent again
// with other content, and deletes those that the backup lacks. Documents of other regions stay.
func (l *List) restoreDocuments(previous *List) {
	for service := range previous.documents {
		if l.documents[service] == nil {
			l.documents[service] = &Document{Document: api.Document{Service: service, Deleted: true}}
		}
	}
	for _, d := range l.documents {
		d.Revision = l.revision
	}
	maps.Copy(l.regions, previous.regions)
}
