package list

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"mosslead/internal/registry/api"
)

// Checks that each epoch has one holder and every new epoch is above all earlier ones, over releases, expiries, snapshots, restores
// of any earlier state, and a replica that ran a program without leaderships.
func TestEpochsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(CompactionWindow)
		highest, holders := uint64(0), map[uint64]string{}
		backups := []State{l.State(), {Revision: 3, HighestEpoch: 5 * restoreStep}} // the second is of another service
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			before, heldBefore := l.Leadership(fmt.Sprint("d", rapid.IntRange(0, 1).Draw(t, "duty")))
			c := Command{Index: uint64(i + 1), Op: rapid.SampledFrom([]string{AcquireLeadership, AcquireLeadership, AcquireLeadership, RenewLeadership, ReleaseLeadership, ForgetLeaderships, Restore, "snapshot", "forget"}).Draw(t, "op"),
				Claim: &LeadershipClaim{LeadershipClaim: api.LeadershipClaim{Name: before.Name, Holder: fmt.Sprint("h", rapid.IntRange(0, 2).Draw(t, "holder")), LeaseMs: 1000,
					Epoch: uint64(rapid.IntRange(0, int(highest%64)).Draw(t, "epoch"))}}}
			if rapid.Bool().Draw(t, "over") {
				expiredTerm := before.LeaseTerm
				expiredTerm.Renewals -= uint64(rapid.IntRange(0, 1).Draw(t, "turns ago"))
				c.Claim.ExpiredTerm, c.ExpiredTerms = &expiredTerm, []LeaseTerm{expiredTerm}
			}
			switch c.Op {
			case "snapshot":
				var s State
				text, err := json.Marshal(l.State())
				if err != nil || json.Unmarshal(text, &s) != nil {
					t.Fatalf("snapshot: got error %v and text %s, want a state that can be decoded", err, text)
				}
				l = Load(s, CompactionWindow)
				backups = append(backups, s)
				continue
			case "forget": // loads the snapshot of an earlier program, which has no leaderships, into the current one
				s := l.State()
				s.Leaderships, s.HighestEpoch = nil, 0
				l = Load(s, CompactionWindow)
				continue
			case Restore:
				c.State = &backups[rapid.IntRange(0, len(backups)-1).Draw(t, "backup")]
			}
			r := l.Apply(c)
			after, heldAfter := l.Leadership(before.Name)
			switch {
			case c.Op == Restore:
				if heldBefore && (!heldAfter || after.LeaseTerm != before.LeaseTerm) {
					t.Fatalf("leadership %s: a restore changed the lease from %+v to %+v, want no change", before.Name, before, after)
				}
				highest = max(highest, c.State.HighestEpoch)
			case c.Op == AcquireLeadership && r.Err == nil && (!heldBefore || r.Leadership.Epoch != before.Epoch):
				if r.Leadership.Epoch <= highest {
					t.Fatalf("got epoch %d, want one above %d", r.Leadership.Epoch, highest)
				}
				if heldBefore && before.Holder != c.Claim.Holder && (c.Claim.ExpiredTerm == nil || *c.Claim.ExpiredTerm != before.LeaseTerm) {
					t.Fatalf("leadership %+v was acquired by claim %+v, want a conflict: its term has not expired", before, c.Claim)
				}
				if heldBefore && before.Holder == c.Claim.Holder && before.Epoch > c.Claim.Epoch {
					t.Fatalf("leadership %+v got epoch %d for its holder's claim %+v, want the same epoch", before, r.Leadership.Epoch, c.Claim)
				}
				highest, holders[r.Leadership.Epoch] = r.Leadership.Epoch, r.Leadership.Holder
			case r.Err == nil && r.Leadership.Holder != "" && holders[r.Leadership.Epoch] != r.Leadership.Holder:
				t.Fatalf("epoch %d: got holder %s, want %s", r.Leadership.Epoch, r.Leadership.Holder, holders[r.Leadership.Epoch])
			case c.Op == RenewLeadership && r.Err == nil && (after.Renewals != before.Renewals+1 || after.Epoch != c.Claim.Epoch || before.Holder != c.Claim.Holder):
				t.Fatalf("renewal of %+v by claim %+v: got %+v, want the next term of the same holder and epoch", before, c.Claim, after)
			case (c.Op == ReleaseLeadership || c.Op == ForgetLeaderships) && heldBefore && !heldAfter && c.Op == ReleaseLeadership && (before.Holder != c.Claim.Holder || before.Epoch != c.Claim.Epoch):
				t.Fatalf("leadership %+v was released by claim %+v, want a release by its holder only", before, c.Claim)
			}
		}
	})
}

// Checks that commands on leaderships are not proposed while a replica does not understand them, and that all leaderships are voided
// when a replica joins with an earlier program, and again when it joins with the current one.
func TestAReplicaOfAnEarlierProgram(t *testing.T) {
	l := New(CompactionWindow)
	join := func(name string, schema int) Result {
		return l.Apply(Command{Op: AddReplica, Replica: &api.Replica{Name: name, Schema: schema}})
	}
	acquire := func(index uint64) Result {
		return l.Apply(Command{Op: AcquireLeadership, Index: index, Claim: &LeadershipClaim{LeadershipClaim: api.LeadershipClaim{Name: "d", Holder: "h", LeaseMs: 1000}}})
	}
	join("a", 2)
	if r := join("b", 2); r.LeadershipsVoid || !l.Understands(2, []string{"a", "b"}) || l.Understands(2, []string{"a", "b", "never heard of"}) {
		t.Errorf("two replicas of schema 2: got result %+v, schema 2 understood by both %v, also with an unknown replica %v; want leaderships kept, true, false",
			r, l.Understands(2, []string{"a", "b"}), l.Understands(2, []string{"a", "b", "never heard of"}))
	}
	firstEpoch := acquire(7).Leadership.Epoch
	for _, schema := range []int{1, 2} {
		r := join("b", schema)
		if _, held := l.Leadership("d"); held || !r.LeadershipsVoid || l.Understands(2, []string{"a", "b"}) != (schema == 2) {
			t.Errorf("join with schema %d: got held %v, result %+v, schema 2 understood %v; want no leadership held, all void, %v",
				schema, held, r, l.Understands(2, []string{"a", "b"}), schema == 2)
		}
	}
	if secondEpoch := acquire(9).Leadership.Epoch; secondEpoch <= firstEpoch {
		t.Errorf("got epoch %d, want one above %d", secondEpoch, firstEpoch)
	}
	if s := New(CompactionWindow).State(); s.Schema() != 1 || !slices.Contains([]int{2}, func() int { s := l.State(); return s.Schema() }()) {
		t.Errorf("got schema %d for an empty state and %d for one with a granted epoch, want 1 and 2", s.Schema(), func() int { s := l.State(); return s.Schema() }())
	}
}
