package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	"mosslead/internal/gossip/message"
)

// Checks that a process that receives a record of a newer incarnation under its name takes it for one of its
// predecessor before establishedAfter, and is fenced afterwards.
func TestTheOlderProcessOfANameStandsAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := Config{Member: message.Member{Name: "n1", Incarnation: message.Incarnation{StartedMs: 1000}}}
		g := newGossiper(c)
		receiveFrom := func(started int64) {
			g.receive(message.Record{Key: message.Key{Owner: "n1", Kind: message.Breaker}, Incarnation: message.Incarnation{StartedMs: started}, Seq: 9, TTL: time.Second})
		}
		receiveFrom(5000) // predecessor whose clock was ahead
		if g.Fenced() || g.Members()[0].Incarnation.StartedMs != 5001 {
			t.Fatalf("after an early record of a newer incarnation: got fenced %v and incarnation %+v, want false and start 5001", g.Fenced(), g.Members()[0].Incarnation)
		}
		time.Sleep(establishedAfter)
		if receiveFrom(4000); g.Fenced() {
			t.Fatal("got fenced by an older process, want not fenced")
		}
		if receiveFrom(9000); !g.Fenced() {
			t.Fatal("got not fenced by a newer process, want fenced")
		}
		if g.Broadcast(message.Digest, "", message.Summary{}, time.Second, false) == nil {
			t.Error("Broadcast of a fenced process: got no error, want one")
		}
	})
}
