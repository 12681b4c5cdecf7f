// Package settings owns what a document with a service's settings has to be: its schema, and the check that a sidecar's own file
// gets too. It knows of no I/O and no clock.
package settings

import (
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
	s, err := wire.DecodeSettings(text)
	if err != nil {
		return wire.Settings{}, err
	}
	if _, err := balancer.New(s.Settings, 1); err != nil {
		return wire.Settings{}, err
	}
	return s, nil
}
