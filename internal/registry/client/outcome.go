package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

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

// Outcome looks up what became of a change that was based on a version, and whose answer was lost: settings, or nil for a deletion. now
// is the document as it is, and at the version under which the change was done. Two writers of one text are not told apart: it is there.
//
// FateNot with now.Version == base is as of now: a call that is still on its way can be carried out as long as that is the version.
func (c *Client) Outcome(ctx context.Context, service string, base int64, settings json.RawMessage) (fate Fate, at int64, now api.Document, err error) {
	now, err = c.Document(ctx, service, 0, true)
	if api.IsCode(err, api.CodeNone) {
		now, err = api.Document{}, nil
	}
	if err != nil || now.Version < base { // lower: the service was put back by a backup or lost its disks
		return FateUnknown, 0, now, err
	}
	if now.Version == base {
		return FateNot, 0, now, nil
	}
	at, ok := following(now, base)
	if !ok {
		return FateUnknown, 0, now, nil
	}
	then := now
	if at != now.Version {
		if then, err = c.Document(ctx, service, at, true); err != nil {
			return FateUnknown, 0, now, fmt.Errorf("version %d: %w", at, err)
		}
	}
	if then.Deleted != (settings == nil) || !then.Deleted && !sameText(then.Settings, settings) {
		return FateNot, 0, now, nil
	}
	return FateDone, at, now, nil
}

// following is the version right after base; false: it can't be told, since base is remembered no more.
func following(now api.Document, base int64) (int64, bool) {
	all := append(append([]int64{}, now.Earlier...), now.Version)
	for i, v := range all {
		switch {
		case v == base:
			return all[i+1], true
		case v > base && i == 0:
			return v, base == 0 && len(now.Earlier) < api.MaxEarlier // nothing before it was forgotten
		}
	}
	return 0, false
}

// sameText tells whether two texts are the same but for spaces between words.
func sameText(a, b []byte) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}
