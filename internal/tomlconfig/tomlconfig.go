// Package tomlconfig decodes TOML files strictly: an unknown key is an error, and errors have a position.
package tomlconfig

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error is an error in a TOML file, with its position.
type Error struct {
	Line, Column int
	Key          string // path of the key, or empty if the error belongs to no key
	Err          error  // nil if the key is unknown
}

func (e *Error) Error() string {
	switch {
	case e.Err == nil:
		return fmt.Sprintf("line %d: unknown key %s", e.Line, e.Key)
	case e.Key != "":
		return fmt.Sprintf("line %d, column %d: %s: %v", e.Line, e.Column, e.Key, e.Err)
	}
	return fmt.Sprintf("line %d, column %d: %v", e.Line, e.Column, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// TOML decodes text into a struct. The error is an *Error if its position is known.
func TOML(text []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, column := first.Position()
		return &Error{Line: line, Column: column, Key: strings.Join(first.Key(), ".")}
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, column := bad.Position()
		return &Error{Line: line, Column: column, Key: strings.Join(bad.Key(), "."), Err: err}
	}
	return err
}
