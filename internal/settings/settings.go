// Package settings owns what a document with a service's settings has to be: its schema, and the check that a sidecar's own file
// gets too. It knows of no I/O and no clock.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"mosslead/balancer"
	"mosslead/internal/wire"
)

// Schema is the newest form of settings that this program understands. One that needs a newer is rejected, and what is in force
// stays.
const Schema = 1

// Check reads the object that a sidecar's file has under "settings", as a document of that schema holds it. An error names the key,
// or line and column.
func Check(schema int, text []byte) (wire.Settings, error) {
	if schema < 1 || schema > Schema {
		return wire.Settings{}, fmt.Errorf("schema %d, and this program understands 1 to %d", schema, Schema)
	}
	return Read(text, text)
}

// Read is the one reader of settings: part is the object, and text what it is a part of, a sidecar's file or itself. An error names the
// key, or line and column of text.
func Read(text, part []byte) (wire.Settings, error) {
	s, err := wire.DecodeSettings(part)
	if err != nil {
		return wire.Settings{}, Located(text, part, err)
	}
	keys, err := KeysOf(part)
	if err != nil {
		return wire.Settings{}, err
	}
	if keys["Limits.SendCap"] && s.MaxAttempts < 1 {
		return wire.Settings{}, &KeyError{"Limits.SendCap", fmt.Sprintf("%d is not above 0", s.MaxAttempts)}
	}
	if _, err := balancer.New(s.Settings, 1); err != nil { // whatever the seed is
		return wire.Settings{}, err
	}
	return s, nil
}

// Located says where in the text an error of the JSON library is, which counts from the beginning of the part it was given
// and names the key itself.
func Located(text, part []byte, err error) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	at := max(0, bytes.Index(text, part))
	switch {
	case errors.As(err, &syntax):
		at += int(syntax.Offset)
	case errors.As(err, &kind):
		at += int(kind.Offset)
	default:
		return err
	}
	before := text[:min(at, len(text))]
	return fmt.Errorf("line %d, column %d: %w", 1+bytes.Count(before, []byte("\n")), len(before)-1-bytes.LastIndexByte(before, '\n'), err)
}
