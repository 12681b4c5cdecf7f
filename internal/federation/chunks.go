// Package federation turns watch events from another region's list service into chunks for this region's log.
// It rejects implausible events, leaves out implausible documents, and bounds the size of chunks. It does no I/O and reads no clock.
package federation

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

// Bounds of a chunk. They let other commands of this region get into the log between two chunks.
const (
	MaxChunkEntries    = 500
	MaxChunkBytes      = 256 << 10
	entryOverheadBytes = 128 // upper bound of the encoded size of an entry or document, without its strings
)

// ChunkLimit bounds a chunk. A single entry or document may exceed Bytes.
type ChunkLimit struct{ Entries, Bytes int }

// Chunks calls ChunkLimit.Chunks with the limits MaxChunkEntries and MaxChunkBytes.
func Chunks(region string, replicated list.Replicated, event api.WatchEvent) (chunks []list.Chunk, anomaly, rejected string) {
	return ChunkLimit{MaxChunkEntries, MaxChunkBytes}.Chunks(region, replicated, event)
}

// Chunks returns the chunks that bring the replicated state of a region up to an event of its list; none if
// nothing has changed. rejected says why the event is not applied, in which case there are no chunks; anomaly
// names a part of the event that is left out of the chunks.
//
// An endpoint that a snapshot does not name is removed. A document that it does not name is retained, and is
// an anomaly: a deleted document stays in its list, marked as deleted, so the list has lost this one.
func (l ChunkLimit) Chunks(region string, replicated list.Replicated, event api.WatchEvent) (chunks []list.Chunk, anomaly, rejected string) {
	switch {
	case event.Region != region:
		return nil, "", fmt.Sprintf("it says that it is region %q", event.Region)
	case event.Revision < replicated.SeenRevision:
		return nil, "", fmt.Sprintf("its version goes back from %d to %d", replicated.SeenRevision, event.Revision)
	}
	entries := changedEndpoints(replicated, event)
	if n := len(replicated.Entries) + len(entries); n > 2*api.MaxEndpoints {
		return nil, "", fmt.Sprintf("it tells of %d entries", n)
	}
	var documents []api.Document
	named := map[string]bool{}
	for _, d := range event.Documents {
		old, ok := replicated.Documents[d.Service]
		named[d.Service] = true
		d.Region = region
		switch {
		case d.Service == "" || len(d.Service) > api.MaxName || len(d.Settings) > 6*api.MaxSettings:
			anomaly = "it tells of settings that are out of bounds"
		case d.Revision < 1 || d.Revision > event.Revision:
			anomaly = fmt.Sprintf("the settings of %s are at version %d of a list at %d", d.Service, d.Revision, event.Revision)
		case ok && d.Revision < old.Revision:
			anomaly = fmt.Sprintf("the settings of %s go back from version %d to %d", d.Service, old.Revision, d.Revision)
		case ok && d.Revision == old.Revision && !equalDocuments(d, old):
			anomaly = fmt.Sprintf("the settings of %s at version %d are others than those that are held", d.Service, d.Revision)
		case !ok || d.Revision > old.Revision:
			documents = append(documents, d)
		}
	}
	if event.Snapshot {
		for _, service := range slices.Sorted(maps.Keys(replicated.Documents)) {
			if d := replicated.Documents[service]; !named[service] {
				anomaly = fmt.Sprintf("the settings of %s, held at version %d, are unknown to it", service, d.Revision)
			}
		}
	}
	if len(entries) == 0 && len(documents) == 0 && event.Revision == replicated.Revision && replicated.SeenRevision == replicated.Revision {
		return nil, anomaly, ""
	}
	return l.split(list.Chunk{Region: region, From: replicated.Revision, To: event.Revision, Part: replicated.NextPart}, entries, documents), anomaly, ""
}

// equalDocuments reports whether two documents of one revision have the same content.
func equalDocuments(a, b api.Document) bool {
	return a.Deleted == b.Deleted && a.Schema == b.Schema && bytes.Equal(a.Settings, b.Settings)
}

// changedEndpoints returns the endpoints of an event that differ from what is replicated, in the event's order,
// and then those that a snapshot removes.
func changedEndpoints(replicated list.Replicated, event api.WatchEvent) (entries []api.Endpoint) {
	named := make(map[string]bool, len(event.Endpoints))
	for _, e := range event.Endpoints {
		named[e.Name] = true
		old, ok := replicated.Entries[e.Name]
		if e.Status == api.Removed && ok || e.Status != api.Removed && old != e {
			entries = append(entries, e)
		}
	}
	if event.Snapshot {
		for _, name := range slices.Sorted(maps.Keys(replicated.Entries)) {
			if !named[name] {
				entries = append(entries, api.Endpoint{Name: name, Status: api.Removed})
			}
		}
	}
	return entries
}

// split makes chunks of bounded size, documents first: settings come into force before the many entries of a resync.
func (l ChunkLimit) split(chunk list.Chunk, entries []api.Endpoint, documents []api.Document) (chunks []list.Chunk) {
	used := 0
	reserve := func(size int) {
		if full := len(chunk.Entries) == l.Entries || used+size > l.Bytes; full && used > 0 {
			chunks = append(chunks, chunk)
			chunk.Part, chunk.Entries, chunk.Documents, used = chunk.Part+1, nil, nil, 0
		}
		used += size
	}
	for _, d := range documents {
		reserve(entryOverheadBytes + len(d.Service) + len(d.Region) + len(d.Settings))
		chunk.Documents = append(chunk.Documents, d)
	}
	for _, e := range entries {
		reserve(entryOverheadBytes + len(e.Name) + len(e.Address) + len(e.Zone) + len(e.Machine))
		chunk.Entries = append(chunk.Entries, e)
	}
	chunk.Last = true
	return append(chunks, chunk)
}
