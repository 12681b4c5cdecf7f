package list

import (
	"fmt"
	"testing"

	"mosslead/internal/golden"
)

// Replicas of two versions share a log, and a snapshot of an earlier version is read by a later one.
func TestLogKeepsItsForm(t *testing.T) {
	golden.JSON(t, "log", &Command{}, &State{}, &Chunk{}, &Region{}, &Document{}, &Leadership{}, &LeadershipClaim{})
	golden.Equal(t, "operations", fmt.Sprintf("%q %d %d %d\n", []string{Register, Drain, Deregister, SetAdminState, Expire, AddReplica, RemoveReplica, Restore, AcquireLeadership, RenewLeadership, ReleaseLeadership,
		ForgetLeaderships, PutDocument, DeleteDocument, ReplicateRegion}, Schema, LeadershipSchema, DocumentSchema))
}
