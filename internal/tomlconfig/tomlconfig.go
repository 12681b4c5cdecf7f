// Package tomlconfig owns the reading of TOML in which an unknown key is an error, and where in a file an error is.
package tomlconfig

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error says where a file is wrong.
type Error struct {
	Line, Column int
	Key          string // empty: of none
	Err          error  // nil: nobody knows the key
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

// TOML reads text. An error is an *Error wherever the place is known.
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
