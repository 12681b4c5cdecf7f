// Package federation owns the step from what another region's list tells to the pieces in which this region takes it in: which it
// believes, and how much goes into one. It knows of no I/O and no clock.
package federation

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

// The bounds of a piece: other commands of the own region get in between two of them.
const (
	MaxChunkEntries = 500
	MaxChunkBytes   = 256 << 10
	entryBytes      = 128 // of an entry beside its words, as it is written at the most
)

// ChunkLimit is how much goes into one piece; one entry or document does in any case.
type ChunkLimit struct{ Entries, Bytes int }

// Chunks are those of the program's bounds, see Bound.Pieces.
func Chunks(region string, replicated list.Replicated, l api.WatchEvent) (chunks []list.Chunk, anomaly, rejected string) {
	return ChunkLimit{MaxChunkEntries, MaxChunkBytes}.Chunks(region, replicated, l)
}

// Chunks are the way from what is held of a region to what its list tells; none where there is no news. refused says why the
// listing is not taken in, and then there are no pieces; odd what of it is not, beside pieces that are.
//
// An entry that a whole list does not name is gone. A document is not: whoever deletes one keeps that it is deleted, so a list that
// does not name it has lost it.
func (b ChunkLimit) Chunks(region string, replicated list.Replicated, l api.WatchEvent) (chunks []list.Chunk, anomaly, rejected string) {
	switch {
	case l.Region != region:
		return nil, "", fmt.Sprintf("it says that it is region %q", l.Region)
	case l.Revision < replicated.SeenRevision:
		return nil, "", fmt.Sprintf("its version goes back from %d to %d", replicated.SeenRevision, l.Revision)
	}
	entries := changed(replicated, l)
	if n := len(replicated.Entries) + len(entries); n > 2*api.MaxEndpoints {
		return nil, "", fmt.Sprintf("it tells of %d entries", n)
	}
	var documents []api.Document
	named := map[string]bool{}
	for _, d := range l.Documents {
		was, there := replicated.Documents[d.Service]
		named[d.Service] = true
		d.Region = region
		switch {
		case d.Service == "" || len(d.Service) > api.MaxName || len(d.Settings) > 6*api.MaxSettings:
			anomaly = "it tells of settings that are out of bounds"
		case d.Revision < 1 || d.Revision > l.Revision:
			anomaly = fmt.Sprintf("the settings of %s are at version %d of a list at %d", d.Service, d.Revision, l.Revision)
		case there && d.Revision < was.Revision:
			anomaly = fmt.Sprintf("the settings of %s go back from version %d to %d", d.Service, was.Revision, d.Revision)
		case there && d.Revision == was.Revision && !equalDocuments(d, was):
			anomaly = fmt.Sprintf("the settings of %s at version %d are others than those that are held", d.Service, d.Revision)
		case !there || d.Revision > was.Revision:
			documents = append(documents, d)
		}
	}
	if l.Snapshot {
		for _, service := range slices.Sorted(maps.Keys(replicated.Documents)) {
			if d := replicated.Documents[service]; !named[service] {
				anomaly = fmt.Sprintf("the settings of %s, held at version %d, are unknown to it", service, d.Revision)
			}
		}
	}
	if len(entries) == 0 && len(documents) == 0 && l.Revision == replicated.Revision && replicated.SeenRevision == replicated.Revision {
		return nil, anomaly, ""
	}
	return b.cut(list.Chunk{Region: region, From: replicated.Revision, To: l.Revision, Part: replicated.NextPart}, entries, documents), anomaly, ""
}

// equalDocuments tells whether two documents of one version say the same.
func equalDocuments(a, b api.Document) bool {
	return a.Deleted == b.Deleted && a.Schema == b.Schema && bytes.Equal(a.Settings, b.Settings)
}

// changed are the entries that are not held as the listing tells them, in its order, and then those that it takes away.
func changed(replicated list.Replicated, l api.WatchEvent) (entries []api.Endpoint) {
	named := make(map[string]bool, len(l.Endpoints))
	for _, e := range l.Endpoints {
		named[e.Name] = true
		was, there := replicated.Entries[e.Name]
		if e.Status == api.Removed && there || e.Status != api.Removed && was != e {
			entries = append(entries, e)
		}
	}
	if l.Snapshot {
		for _, name := range slices.Sorted(maps.Keys(replicated.Entries)) {
			if !named[name] {
				entries = append(entries, api.Endpoint{Name: name, Status: api.Removed})
			}
		}
	}
	return entries
}

// cut makes pieces of bounded size, documents first: settings are to be in force before the many entries of a heal.
func (b ChunkLimit) cut(p list.Chunk, entries []api.Endpoint, documents []api.Document) (chunks []list.Chunk) {
	size := 0
	next := func(bytes int) {
		if full := len(p.Entries) == b.Entries || size+bytes > b.Bytes; full && size > 0 {
			chunks = append(chunks, p)
			p.Part, p.Entries, p.Documents, size = p.Part+1, nil, nil, 0
		}
		size += bytes
	}
	for _, d := range documents {
		next(entryBytes + len(d.Service) + len(d.Region) + len(d.Settings))
		p.Documents = append(p.Documents, d)
	}
	for _, e := range entries {
		next(entryBytes + len(e.Name) + len(e.Address) + len(e.Zone) + len(e.Machine))
		p.Entries = append(p.Entries, e)
	}
	p.Last = true
	return append(chunks, p)
}
