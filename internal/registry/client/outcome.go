package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"mosslead/internal/registry/api"
)

// WriteOutcome is the outcome of a write whose response was lost.
type WriteOutcome int

// Outcomes of writes.
const (
	OutcomeUnknown WriteOutcome = iota // the outcome can no longer be determined
	OutcomeDone                        // the written text follows the revision that it was based on
	OutcomeNotDone                     // another change follows that revision, or none yet
)

// Outcome looks up the outcome of a write whose response was lost. settings is the written text, or nil for a deletion. before is
// the document that the write was based on; only its revision is used, which is 0 if there was none. Outcome returns the revision
// of the change and the current document. It can't distinguish two writers of the same text, and reports OutcomeDone to both.
//
// OutcomeNotDone is preliminary if the document is still at the revision of before: as long as that is the current
// revision, a call that has not arrived yet can be carried out.
func (c *Client) Outcome(ctx context.Context, service string, before api.Document, settings json.RawMessage) (outcome WriteOutcome, revision int64, current api.Document, err error) {
	current, err = c.Document(ctx, service, 0, true)
	if api.IsCode(err, api.CodeNotFound) {
		current, err = api.Document{}, nil
	}
	switch {
	case err != nil || current.Revision < before.Revision: // a lower revision: the service was restored from a backup
		return OutcomeUnknown, 0, current, err
	case current.Revision == before.Revision:
		return OutcomeNotDone, 0, current, nil
	}
	revision, sure := firstRevisionAfter(current, before.Revision)
	changed := current
	if revision != current.Revision {
		if changed, err = c.Document(ctx, service, revision, true); err != nil {
			return OutcomeUnknown, 0, current, fmt.Errorf("revision %d: %w", revision, err)
		}
	}
	switch {
	case settings == nil && changed.Deleted, settings != nil && !changed.Deleted && equalJSON(changed.Settings, settings):
		return OutcomeDone, revision, current, nil
	case settings == nil || changed.Deleted || !sure: // it may have been done in a revision that is no longer stored
		return OutcomeUnknown, 0, current, nil
	}
	return OutcomeNotDone, 0, current, nil
}

// firstRevisionAfter returns the first stored revision after another. sure is false if a revision between them may be missing
// because it was dropped or deleted.
func firstRevisionAfter(current api.Document, revision int64) (first int64, sure bool) {
	i := slices.IndexFunc(current.EarlierRevisions, func(v int64) bool { return v > revision })
	if i < 0 {
		i, first = len(current.EarlierRevisions), current.Revision
	} else {
		first = current.EarlierRevisions[i]
	}
	if i == 0 {
		return first, revision == 0 && len(current.EarlierRevisions) < api.MaxEarlierRevisions
	}
	return first, current.EarlierRevisions[i-1] == revision
}

// equalJSON reports whether two JSON texts are equal except for white space.
func equalJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}
