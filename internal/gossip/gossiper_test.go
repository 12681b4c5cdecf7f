package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	"mosslead/internal/gossip/message"
)

// What a process hears under its own name early is left of the one before; later it is a newer process, and it stands aside.
func TestTheOlderProcessOfANameStandsAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := Config{Member: message.Member{Name: "n1", Incarnation: message.Incarnation{StartedMs: 1000}}}
		p := newGossiper(c)
		hear := func(started int64) {
			p.receive(message.Record{Key: message.Key{Owner: "n1", Kind: message.Breaker}, Incarnation: message.Incarnation{StartedMs: started}, Seq: 9, TTL: time.Second})
		}
		hear(5000) // by a clock that was ahead
		if p.Fenced() || p.Members()[0].Incarnation.StartedMs != 5001 {
			t.Fatalf("fenced %v, incarnation %+v", p.Fenced(), p.Members()[0].Incarnation)
		}
		time.Sleep(establishedAfter)
		if hear(4000); p.Fenced() {
			t.Fatal("an older process fences a newer one")
		}
		if hear(9000); !p.Fenced() {
			t.Fatal("a newer process does not fence the older one")
		}
		if p.Broadcast(message.Digest, "", message.Summary{}, time.Second, false) == nil {
			t.Error("it goes on saying")
		}
	})
}
