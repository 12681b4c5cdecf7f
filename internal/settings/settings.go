// Package settings defines the documents with the settings of a service: their schema, and the checks, which also apply to a
// sidecar's own file. It does no I/O.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"mosslead/balancer"
	"mosslead/internal/wire"
)

// Schema is the newest schema of settings that this program understands. A document of a newer schema is rejected, and the
// settings in force stay.
const Schema = 1

// Check decodes and checks the settings of a document of the given schema. text is the object that a sidecar's file has under
// "settings". An error names the key, or line and column.
func Check(schema int, text []byte) (wire.Settings, error) {
	if schema < 1 || schema > Schema {
		return wire.Settings{}, fmt.Errorf("schema %d, and this program understands 1 to %d", schema, Schema)
	}
	return Read(text, text)
}

// Read decodes and checks settings. part is the object with the settings, and text contains it: a sidecar's file, or the object
// itself. An error names the key, or line and column in text.
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
	if s.DrainGrace < 0 {
		return wire.Settings{}, &KeyError{"Rules.DrainGraceMs", fmt.Sprintf("%v is below 0", s.DrainGrace)}
	}
	if _, err := balancer.New(s.Settings, 1); err != nil { // the seed makes no difference to the check
		return wire.Settings{}, err
	}
	return s, nil
}

// Located adds the position in text to an error of encoding/json, whose offset counts from the start of part.
func Located(text, part []byte, err error) error {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	offset := max(0, bytes.Index(text, part))
	switch {
	case errors.As(err, &syntax):
		offset += int(syntax.Offset)
	case errors.As(err, &wrongType):
		offset += int(wrongType.Offset)
	default:
		return err
	}
	before := text[:min(offset, len(text))]
	return fmt.Errorf("line %d, column %d: %w", 1+bytes.Count(before, []byte("\n")), len(before)-1-bytes.LastIndexByte(before, '\n'), err)
}
