package api

import (
	"fmt"
	"testing"

	"mosslead/internal/golden"
)

// Checks that the encoding of messages does not change: replicas, servers, sidecars and operators of two versions exchange them.
func TestMessagesKeepTheirForm(t *testing.T) {
	golden.JSON(t, "messages", &Endpoint{}, &WatchEvent{}, &Record{}, &Records{}, &Registration{}, &StateChange{}, &WriteResult{}, &Heartbeats{}, &HeartbeatResult{},
		&Replica{}, &Identity{}, &Status{}, &Error{}, &LeadershipClaim{}, &LeadershipGrant{}, &Leaderships{}, &Document{}, &Documents{}, &PutRequest{}, &Acks{},
		&Rollouts{}, &ReplicationStatus{})
	golden.Equal(t, "words", fmt.Sprintf("%q\n", []string{Ready, Terminating, Removed, AdminNone, AdminDrain, AdminBan, CodeBadRequest, CodeOlderIncarnation, CodeConflict, CodeNotFound,
		CodeFull, CodeNoLeader, CodeStale, CodeOlderReplica, CodeOutcomeUnknown}))
}
