package list

import (
	"fmt"
	"testing"

	"mosslead/internal/golden"
)

// Checks that the encoding of commands and snapshots does not change: replicas of two versions share a log, and a later version
// reads the snapshots of an earlier one.
func TestLogKeepsItsForm(t *testing.T) {
	golden.JSON(t, "log", &Command{}, &State{}, &Chunk{}, &Region{}, &Document{}, &Leadership{}, &LeadershipClaim{})
	golden.Equal(t, "operations", fmt.Sprintf("%q %d %d %d\n", []string{Register, Drain, Deregister, SetAdminState, Expire, AddReplica, RemoveReplica, Restore, AcquireLeadership, RenewLeadership, ReleaseLeadership,
		ForgetLeaderships, PutDocument, DeleteDocument, ReplicateRegion}, Schema, LeadershipSchema, DocumentSchema))
}
