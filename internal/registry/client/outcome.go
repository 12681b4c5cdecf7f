package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"mosslead/internal/registry/api"
)

// Fate is what became of a put or a deletion whose answer was lost.
type Fate int

// The fates.
const (
	FateUnknown Fate = iota // it can't be told any more
	FateDone                // its text follows the version that it was based on
	FateNot                 // another change does, or none yet
)

// Outcome looks up what became of a change whose answer was lost: settings, or nil for a deletion. before is the document that it was
// based on, or its version alone, 0: there was none. now is the document as it is, and at the version under which the change was done.
// Two writers of one text are not told apart: it is there.
//
// FateNot with now at the version before is as of now: a call that is still on its way can be carried out as long as that is so.
func (c *Client) Outcome(ctx context.Context, service string, before api.Document, settings json.RawMessage) (fate Fate, at int64, now api.Document, err error) {
	now, err = c.Document(ctx, service, 0, true)
	if api.IsCode(err, api.CodeNone) {
		now, err = api.Document{}, nil
	}
	switch {
	case err != nil || now.Version < before.Version: // lower: the service was put back
		return FateUnknown, 0, now, err
	case now.Version == before.Version:
		return FateNot, 0, now, nil
	}
	at, sure := after(now, before.Version)
	then := now
	if at != now.Version {
		if then, err = c.Document(ctx, service, at, true); err != nil {
			return FateUnknown, 0, now, fmt.Errorf("version %d: %w", at, err)
		}
	}
	switch {
	case settings == nil && then.Deleted, settings != nil && !then.Deleted && sameText(then.Settings, settings):
		return FateDone, at, now, nil
	case settings == nil || then.Deleted || !sure: // it may have been done, and be forgotten
		return FateUnknown, 0, now, nil
	}
	return FateNot, 0, now, nil
}

// after is the first version that is known after another; sure: none came in between that is forgotten, or was a deletion.
func after(now api.Document, version int64) (first int64, sure bool) {
	i := slices.IndexFunc(now.Earlier, func(v int64) bool { return v > version })
	if i < 0 {
		i, first = len(now.Earlier), now.Version
	} else {
		first = now.Earlier[i]
	}
	if i == 0 {
		return first, version == 0 && len(now.Earlier) < api.MaxEarlier
	}
	return first, now.Earlier[i-1] == version
}

// sameText tells whether two texts are the same but for spaces between words.
func sameText(a, b []byte) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}
