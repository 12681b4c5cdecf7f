package gossip

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mosslead/internal/gossip/message"
)

// testBound is the bound per owner in these tests; the drawn records exceed it.
const testBound = 6

// drawRecord draws a record of few owners and names, so that keys coincide. The sequence number of an owner
// determines the rest of its record.
func drawRecord(t *rapid.T) message.Record {
	n := rapid.Uint64Range(1, 3*testBound).Draw(t, "seq")
	incarnation := message.Incarnation{StartedMs: rapid.Int64Range(1, 2).Draw(t, "start")}
	return message.Record{Key: message.Key{Owner: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner"), Kind: message.Breaker,
		Name: fmt.Sprint(n * 7 % (message.MaxRecordsPerOwner + 5))}, Incarnation: incarnation, Seq: n, TTL: time.Minute, Body: []byte{byte(n)}}
}

// mergeAll merges lists of records into a new store, and returns sequence number and incarnation by key.
func mergeAll(lists ...[]message.Record) map[message.Key]uint64 {
	s := newStore(testBound)
	for _, records := range lists {
		for _, r := range records {
			s.merge(0, r)
		}
	}
	got := map[message.Key]uint64{}
	for _, r := range s.live(0) {
		got[r.Key] = r.Seq<<8 | uint64(r.Incarnation.StartedMs)
	}
	return got
}

// Checks that the store is a join-semilattice, also beyond its bound: order, repetition and grouping of the
// records make no difference.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.SliceOfN(rapid.Custom(drawRecord), 0, 3*testBound)
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		want := mergeAll(a, b, c)
		for name, got := range map[string]map[message.Key]uint64{
			"another order": mergeAll(c, b, a), "again": mergeAll(a, b, a, c, b, c), "shuffled": mergeAll(rapid.Permutation(append(append(append([]message.Record{}, a...), b...), c...)).Draw(t, "order")),
		} {
			if !maps.Equal(want, got) {
				t.Fatalf("%s: got records %v, want %v", name, got, want)
			}
		}
		for owner, n := range counts(want) {
			if n > testBound {
				t.Fatalf("owner %s: got %d records, want %d at most", owner, n, testBound)
			}
		}
	})
}

func counts(all map[message.Key]uint64) map[string]int {
	n := map[string]int{}
	for key := range all {
		n[key.Owner]++
	}
	return n
}

// Checks that a record expires after the time to live that its owner set, regardless of how many members pass it on.
func TestRecordsAgeAtEachHop(t *testing.T) {
	r := message.Record{Key: message.Key{Owner: "a", Kind: message.Breaker, Name: "s-1"}, Seq: 1, TTL: 5 * time.Second}
	for hop, now := 0, time.Duration(0); hop < 3; hop++ {
		s := newStore(testBound)
		if !s.merge(now, r) {
			t.Fatalf("hop %d: merge returned false, want true", hop)
		}
		now += 1500 * time.Millisecond
		r, _ = s.get(now, r.Key)
	}
	if r.TTL != 500*time.Millisecond {
		t.Fatalf("TTL after three hops of 1.5 s: got %v, want 500ms", r.TTL)
	}
	if s := newStore(testBound); s.merge(0, r) && s.merge(time.Second, r) == false {
		t.Error("merge of the record after its expiry returned false, want true")
	}
}
