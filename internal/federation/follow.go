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
	MostEntries = 500
	MostBytes   = 256 << 10
	entryBytes  = 128 // of an entry beside its words, as it is written at the most
)

// Bound is how much goes into one piece; one entry or document does in any case.
type Bound struct{ Entries, Bytes int }

// Pieces are those of the program's bounds, see Bound.Pieces.
func Pieces(region string, held list.Held, l api.Listing) (pieces []list.Piece, odd, refused string) {
	return Bound{MostEntries, MostBytes}.Pieces(region, held, l)
}

// Pieces are the way from what is held of a region to what its list tells; none where there is no news. refused says why the
// listing is not taken in, and then there are no pieces; odd what of it is not, beside pieces that are.
//
// An entry that a whole list does not name is gone. A document is not: whoever deletes one keeps that it is deleted, so a list that
// does not name it has lost it.
func (b Bound) Pieces(region string, held list.Held, l api.Listing) (pieces []list.Piece, odd, refused string) {
	switch {
	case l.Region != region:
		return nil, "", fmt.Sprintf("it says that it is region %q", l.Region)
	case l.Index < held.Seen:
		return nil, "", fmt.Sprintf("its version goes back from %d to %d", held.Seen, l.Index)
	}
	entries := changed(held, l)
	if n := len(held.Entries) + len(entries); n > 2*api.MaxEntries {
		return nil, "", fmt.Sprintf("it tells of %d entries", n)
	}
	var documents []api.Document
	named := map[string]bool{}
	for _, d := range l.Documents {
		was, there := held.Documents[d.Service]
		named[d.Service] = true
		d.Region = region
		switch {
		case d.Service == "" || len(d.Service) > api.MaxName || len(d.Settings) > 6*api.MaxSettings:
			odd = "it tells of settings that are out of bounds"
		case d.Version < 1 || d.Version > l.Index:
			odd = fmt.Sprintf("the settings of %s are at version %d of a list at %d", d.Service, d.Version, l.Index)
		case there && d.Version < was.Version:
			odd = fmt.Sprintf("the settings of %s go back from version %d to %d", d.Service, was.Version, d.Version)
		case there && d.Version == was.Version && !alike(d, was):
			odd = fmt.Sprintf("the settings of %s at version %d are others than those that are held", d.Service, d.Version)
		case !there || d.Version > was.Version:
			documents = append(documents, d)
		}
	}
	if l.Snapshot {
		for _, service := range slices.Sorted(maps.Keys(held.Documents)) {
			if d := held.Documents[service]; !named[service] {
				odd = fmt.Sprintf("the settings of %s, held at version %d, are unknown to it", service, d.Version)
			}
		}
	}
	if len(entries) == 0 && len(documents) == 0 && l.Index == held.Version && held.Seen == held.Version {
		return nil, odd, ""
	}
	return b.cut(list.Piece{Region: region, From: held.Version, To: l.Index, Part: held.Part}, entries, documents), odd, ""
}

// alike tells whether two documents of one version say the same.
func alike(a, b api.Document) bool {
	return a.Deleted == b.Deleted && a.Schema == b.Schema && bytes.Equal(a.Settings, b.Settings)
}

// changed are the entries that are not held as the listing tells them, in its order, and then those that it takes away.
func changed(held list.Held, l api.Listing) (entries []api.Entry) {
	named := make(map[string]bool, len(l.Endpoints))
	for _, e := range l.Endpoints {
		named[e.Name] = true
		was, there := held.Entries[e.Name]
		if e.Status == api.Gone && there || e.Status != api.Gone && was != e {
			entries = append(entries, e)
		}
	}
	if l.Snapshot {
		for _, name := range slices.Sorted(maps.Keys(held.Entries)) {
			if !named[name] {
				entries = append(entries, api.Entry{Name: name, Status: api.Gone})
			}
		}
	}
	return entries
}

// cut makes pieces of bounded size, documents first: settings are to be in force before the many entries of a heal.
func (b Bound) cut(p list.Piece, entries []api.Entry, documents []api.Document) (pieces []list.Piece) {
	size := 0
	next := func(bytes int) {
		if full := len(p.Entries) == b.Entries || size+bytes > b.Bytes; full && size > 0 {
			pieces = append(pieces, p)
			p.Part, p.Entries, p.Documents, size = p.Part+1, nil, nil, 0
		}
		size += bytes
	}
	for _, d := range documents {
		next(entryBytes + len(d.Service) + len(d.Region) + len(d.Settings))
		p.Documents = append(p.Documents, d)
	}
	for _, e := range entries {
		next(entryBytes + len(e.Name) + len(e.Address) + len(e.Zone) + len(e.Type))
		p.Entries = append(p.Entries, e)
	}
	p.Last = true
	return append(pieces, p)
}
