package api

import (
	"fmt"
	"testing"

	"mosslead/internal/golden"
)

// Replicas, servers, sidecars and operators of two versions talk to each other in these messages.
func TestMessagesKeepTheirForm(t *testing.T) {
	golden.JSON(t, "messages", &Entry{}, &Listing{}, &Record{}, &Records{}, &Registration{}, &Ask{}, &Done{}, &Renewals{}, &Renewed{},
		&Replica{}, &Identity{}, &Status{}, &Failure{}, &Claim{}, &Grant{}, &Duties{}, &Document{}, &Documents{}, &Put{}, &Acks{},
		&Rollouts{}, &Following{})
	golden.Equal(t, "words", fmt.Sprintf("%q\n", []string{Ready, Terminating, Gone, HandNone, HandDrain, HandBan, CodeBad, CodeOlder, CodeConflict, CodeNone,
		CodeFull, CodeNoLeader, CodeStale, CodeOldPeer, CodeUnknown}))
}
