package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"mosslead/internal/registry/api"
)

// WriteOutcome is what became of a write whose response was lost.
type WriteOutcome int

// The outcomes.
const (
	OutcomeUnknown WriteOutcome = iota // it can't be determined any more
	OutcomeDone                        // its text follows the revision that it was based on
	OutcomeNotDone                     // another change follows it, or none yet
)

// Outcome looks up what became of a write whose response was lost: settings, or nil for a deletion. before is
// the document that it was based on, or its revision alone, 0: there was none. It returns the outcome, the
// revision under which the change was done, and the document as it is now. Two writers of one text are not
// told apart: it is there.
//
// OutcomeNotDone with the document still at the revision before is as of now: a call that is still on its way
// can be carried out as long as that is so.
func (c *Client) Outcome(ctx context.Context, service string, before api.Document, settings json.RawMessage) (outcome WriteOutcome, at int64, now api.Document, err error) {
	now, err = c.Document(ctx, service, 0, true)
	if api.IsCode(err, api.CodeNotFound) {
		now, err = api.Document{}, nil
	}
	switch {
	case err != nil || now.Revision < before.Revision: // lower: the service was restored from a backup
		return OutcomeUnknown, 0, now, err
	case now.Revision == before.Revision:
		return OutcomeNotDone, 0, now, nil
	}
	at, sure := firstRevisionAfter(now, before.Revision)
	then := now
	if at != now.Revision {
		if then, err = c.Document(ctx, service, at, true); err != nil {
			return OutcomeUnknown, 0, now, fmt.Errorf("revision %d: %w", at, err)
		}
	}
	switch {
	case settings == nil && then.Deleted, settings != nil && !then.Deleted && equalJSON(then.Settings, settings):
		return OutcomeDone, at, now, nil
	case settings == nil || then.Deleted || !sure: // it may have been done in a revision that is no longer kept
		return OutcomeUnknown, 0, now, nil
	}
	return OutcomeNotDone, 0, now, nil
}

// firstRevisionAfter returns the first kept revision firstRevisionAfter another; sure is false if one between them may have been dropped or deleted.
func firstRevisionAfter(now api.Document, revision int64) (first int64, sure bool) {
	i := slices.IndexFunc(now.EarlierRevisions, func(v int64) bool { return v > revision })
	if i < 0 {
		i, first = len(now.EarlierRevisions), now.Revision
	} else {
		first = now.EarlierRevisions[i]
	}
	if i == 0 {
		return first, revision == 0 && len(now.EarlierRevisions) < api.MaxEarlierRevisions
	}
	return first, now.EarlierRevisions[i-1] == revision
}

// equalJSON reports whether two JSON texts are equal but for white space.
func equalJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}
