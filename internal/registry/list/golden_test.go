package list

import (
	"fmt"
	"testing"

	"mosslead/internal/golden"
)

// Replicas of two versions share a log, and a snapshot of an earlier version is read by a later one.
func TestLogKeepsItsForm(t *testing.T) {
	golden.JSON(t, "log", &Command{}, &State{}, &Piece{}, &Region{}, &Document{}, &Duty{}, &Claim{})
	golden.Equal(t, "operations", fmt.Sprintf("%q %d %d %d\n", []string{Register, Drain, Leave, Hand, Expire, Join, Part, Restore, Take, Renew, Release,
		Lapse, Put, Delete, Follow}, Schema, DutySchema, DocumentSchema))
}
