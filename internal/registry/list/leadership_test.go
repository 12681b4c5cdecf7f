package list

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"mosslead/internal/registry/api"
)

// Whatever happens to a leadership, each epoch has one holder, and every new one is above all before: over releases, lapses,
// snapshots, restores of any earlier state, and a replica that ran a program that knows of no leaderships.
func TestEpochsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(CompactionWindow)
		highest, holder := uint64(0), map[uint64]string{}
		backups := []State{l.State(), {Revision: 3, HighestEpoch: 5 * restoreStep}} // the second of another service
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			d, held := l.Leadership(fmt.Sprint("d", rapid.IntRange(0, 1).Draw(t, "duty")))
			c := Command{Index: uint64(i + 1), Op: rapid.SampledFrom([]string{AcquireLeadership, AcquireLeadership, AcquireLeadership, RenewLeadership, ReleaseLeadership, ForgetLeaderships, Restore, "snapshot", "forget"}).Draw(t, "op"),
				Claim: &LeadershipClaim{LeadershipClaim: api.LeadershipClaim{Name: d.Name, Holder: fmt.Sprint("h", rapid.IntRange(0, 2).Draw(t, "holder")), LeaseMs: 1000,
					Epoch: uint64(rapid.IntRange(0, int(highest%64)).Draw(t, "epoch"))}}}
			if rapid.Bool().Draw(t, "over") {
				over := d.LeaseTerm
				over.Renewals -= uint64(rapid.IntRange(0, 1).Draw(t, "turns ago"))
				c.Claim.ExpiredTerm, c.ExpiredTerms = &over, []LeaseTerm{over}
			}
			switch c.Op {
			case "snapshot":
				var s State
				text, err := json.Marshal(l.State())
				if err != nil || json.Unmarshal(text, &s) != nil {
					t.Fatal(err)
				}
				l = Load(s, CompactionWindow)
				backups = append(backups, s)
				continue
			case "forget": // an earlier program's snapshot holds no leaderships; then it is of today again
				s := l.State()
				s.Leaderships, s.HighestEpoch = nil, 0
				l = Load(s, CompactionWindow)
				continue
			case Restore:
				c.State = &backups[rapid.IntRange(0, len(backups)-1).Draw(t, "backup")]
			}
			r := l.Apply(c)
			now, heldNow := l.Leadership(d.Name)
			switch {
			case c.Op == Restore:
				if held && (!heldNow || now.LeaseTerm != d.LeaseTerm) {
					t.Fatalf("a restore changed who holds %s: %+v, %+v", d.Name, d, now)
				}
				highest = max(highest, c.State.HighestEpoch)
			case c.Op == AcquireLeadership && r.Err == nil && (!held || r.Leadership.Epoch != d.Epoch):
				if r.Leadership.Epoch <= highest {
					t.Fatalf("epoch %d after %d", r.Leadership.Epoch, highest)
				}
				if held && d.Holder != c.Claim.Holder && (c.Claim.ExpiredTerm == nil || *c.Claim.ExpiredTerm != d.LeaseTerm) {
					t.Fatalf("taken from %+v by %+v", d, c.Claim)
				}
				if held && d.Holder == c.Claim.Holder && d.Epoch > c.Claim.Epoch {
					t.Fatalf("a second epoch for %+v by %+v", d, c.Claim)
				}
				highest, holder[r.Leadership.Epoch] = r.Leadership.Epoch, r.Leadership.Holder
			case r.Err == nil && r.Leadership.Holder != "" && holder[r.Leadership.Epoch] != r.Leadership.Holder:
				t.Fatalf("epoch %d is of %s and of %s", r.Leadership.Epoch, holder[r.Leadership.Epoch], r.Leadership.Holder)
			case c.Op == RenewLeadership && r.Err == nil && (now.Renewals != d.Renewals+1 || now.Epoch != c.Claim.Epoch || d.Holder != c.Claim.Holder):
				t.Fatalf("renewed %+v by %+v: %+v", d, c.Claim, now)
			case (c.Op == ReleaseLeadership || c.Op == ForgetLeaderships) && held && !heldNow && c.Op == ReleaseLeadership && (d.Holder != c.Claim.Holder || d.Epoch != c.Claim.Epoch):
				t.Fatalf("%+v was given up by %+v", d, c.Claim)
			}
		}
	})
}

// A member that does not understand commands on leaderships keeps them from being proposed, and what it may have lost is void
// everywhere once it is there, and once more when it is of today again.
func TestAReplicaOfAnEarlierProgram(t *testing.T) {
	l := New(CompactionWindow)
	join := func(name string, schema int) Result {
		return l.Apply(Command{Op: AddReplica, Replica: &api.Replica{Name: name, Schema: schema}})
	}
	take := func(index uint64) Result {
		return l.Apply(Command{Op: AcquireLeadership, Index: index, Claim: &LeadershipClaim{LeadershipClaim: api.LeadershipClaim{Name: "d", Holder: "h", LeaseMs: 1000}}})
	}
	join("a", 2)
	if r := join("b", 2); r.LeadershipsVoid || !l.Understands(2, []string{"a", "b"}) || l.Understands(2, []string{"a", "b", "never heard of"}) {
		t.Errorf("two of today: %+v", r)
	}
	first := take(7).Leadership.Epoch
	for _, schema := range []int{1, 2} {
		r := join("b", schema)
		if _, held := l.Leadership("d"); held || !r.LeadershipsVoid || l.Understands(2, []string{"a", "b"}) != (schema == 2) {
			t.Errorf("schema %d: held %v, %+v", schema, held, r)
		}
	}
	if again := take(9).Leadership.Epoch; again <= first {
		t.Errorf("epoch %d after %d", again, first)
	}
	if s := New(CompactionWindow).State(); s.Schema() != 1 || !slices.Contains([]int{2}, func() int { s := l.State(); return s.Schema() }()) {
		t.Error("the schema of a state does not tell whether there were duties")
	}
}
