// Package federation turns what another region's list service sends into chunks for this region's log: it
// decides what of it is plausible, and how much goes into one chunk. Pure: no I/O and no clock.
package federation

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

// Bounds of a chunk: other commands of the own region get in between two chunks.
const (
	MaxChunkEntries    = 500
	MaxChunkBytes      = 256 << 10
	entryOverheadBytes = 128 // of an entry beside its text, encoded, at most
)

// ChunkLimit bounds a chunk. One entry or document goes in at any rate.
type ChunkLimit struct{ Entries, Bytes int }

// Chunks are those with the program's limit, see ChunkLimit.Chunks.
func Chunks(region string, replicated list.Replicated, l api.WatchEvent) (chunks []list.Chunk, anomaly, rejected string) {
	return ChunkLimit{MaxChunkEntries, MaxChunkBytes}.Chunks(region, replicated, l)
}

// Chunks are the steps from what is replicated of a region to what its list says; none if nothing has
// changed. rejected says why the event is not applied, and then there are no chunks; anomaly says what part
// of it is not, beside chunks that are.
//
// An endpoint that a snapshot does not name is removed. A document is not: whoever deletes one stores that it
// is deleted, so a list that does not name it has lost it.
func (b ChunkLimit) Chunks(region string, replicated list.Replicated, l api.WatchEvent) (chunks []list.Chunk, anomaly, rejected string) {
	switch {
	case l.Region != region:
		return nil, "", fmt.Sprintf("it says that it is region %q", l.Region)
	case l.Revision < replicated.SeenRevision:
		return nil, "", fmt.Sprintf("its version goes back from %d to %d", replicated.SeenRevision, l.Revision)
	}
	entries := changedEndpoints(replicated, l)
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
	return b.split(list.Chunk{Region: region, From: replicated.Revision, To: l.Revision, Part: replicated.NextPart}, entries, documents), anomaly, ""
}

// equalDocuments tells whether two documents of one revision have the same content.
func equalDocuments(a, b api.Document) bool {
	return a.Deleted == b.Deleted && a.Schema == b.Schema && bytes.Equal(a.Settings, b.Settings)
}

// changedEndpoints are the endpoints that differ from what is replicated, in the event's order, and then those that it
// removes.
func changedEndpoints(replicated list.Replicated, l api.WatchEvent) (entries []api.Endpoint) {
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

// split makes chunks of bounded size, documents first: settings are to be in force before the many entries of a heal.
func (b ChunkLimit) split(p list.Chunk, entries []api.Endpoint, documents []api.Document) (chunks []list.Chunk) {
	size := 0
	next := func(bytes int) {
		if full := len(p.Entries) == b.Entries || size+bytes > b.Bytes; full && size > 0 {
			chunks = append(chunks, p)
			p.Part, p.Entries, p.Documents, size = p.Part+1, nil, nil, 0
		}
		size += bytes
	}
	for _, d := range documents {
		next(entryOverheadBytes + len(d.Service) + len(d.Region) + len(d.Settings))
		p.Documents = append(p.Documents, d)
	}
	for _, e := range entries {
		next(entryOverheadBytes + len(e.Name) + len(e.Address) + len(e.Zone) + len(e.Machine))
		p.Entries = append(p.Entries, e)
	}
	p.Last = true
	return append(chunks, p)
}
