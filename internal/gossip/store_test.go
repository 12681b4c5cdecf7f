package gossip

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mosslead/internal/gossip/message"
)

// testBound is the bound in these tests: draws go beyond it.
const testBound = 6

// drawRecord draws a record of few owners and names, so that they meet; what an owner said under a number is one thing.
func drawRecord(t *rapid.T) message.Record {
	n := rapid.Uint64Range(1, 3*testBound).Draw(t, "seq")
	own := message.Incarnation{StartedMs: rapid.Int64Range(1, 2).Draw(t, "start")}
	return message.Record{Key: message.Key{Owner: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner"), Kind: message.Breaker,
		Name: fmt.Sprint(n * 7 % (message.MaxRecordsPerOwner + 5))}, Incarnation: own, Seq: n, TTL: time.Minute, Body: []byte{byte(n)}}
}

func mergeAll(rs ...[]message.Record) map[message.Key]uint64 {
	s := newStore(testBound)
	for _, some := range rs {
		for _, r := range some {
			s.merge(0, r)
		}
	}
	got := map[message.Key]uint64{}
	for _, r := range s.live(0) {
		got[r.Key] = r.Seq<<8 | uint64(r.Incarnation.StartedMs)
	}
	return got
}

// The store is a join-semilattice, over its bound too: order, repetition and grouping make no difference.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.SliceOfN(rapid.Custom(drawRecord), 0, 3*testBound)
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		want := mergeAll(a, b, c)
		for name, got := range map[string]map[message.Key]uint64{
			"another order": mergeAll(c, b, a), "again": mergeAll(a, b, a, c, b, c), "shuffled": mergeAll(rapid.Permutation(append(append(append([]message.Record{}, a...), b...), c...)).Draw(t, "order")),
		} {
			if !maps.Equal(want, got) {
				t.Fatalf("%s: %d records for %d", name, len(got), len(want))
			}
		}
		for owner, n := range counts(want) {
			if n > testBound {
				t.Fatalf("%d records of %s", n, owner)
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

// A record is believed no longer than its owner said, however many hands it goes through.
func TestRecordsAgeAtEachHop(t *testing.T) {
	r := message.Record{Key: message.Key{Owner: "a", Kind: message.Breaker, Name: "s-1"}, Seq: 1, TTL: 5 * time.Second}
	for hop, now := 0, time.Duration(0); hop < 3; hop++ {
		s := newStore(testBound)
		if !s.merge(now, r) {
			t.Fatalf("hop %d: not taken in", hop)
		}
		now += 1500 * time.Millisecond
		r, _ = s.get(now, r.Key)
	}
	if r.TTL != 500*time.Millisecond {
		t.Fatalf("%v left after three hops of 1.5 s", r.TTL)
	}
	if s := newStore(testBound); s.merge(0, r) && s.merge(time.Second, r) == false {
		t.Error("a lapsed record stands in the way")
	}
}
