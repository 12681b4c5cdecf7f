package list

import (
	"maps"
	"slices"
	"strings"

	"mosslead/internal/registry/api"
)

// What a command of schema 2 does.
const (
	Take    = "take"
	Renew   = "renew"
	Release = "release"
	Lapse   = "lapse" // duties whose lease has been over for long, so that their names are not kept for ever
)

// DutySchema is the form of commands, and of backups, from which on duties are in them.
const DutySchema = 2

// Term is one turn of a duty at one of its renewals. The leader's clock says of a term that it is over; the log decides
// whether it still was the present one.
type Term struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Turn  uint64 `json:"turn"`
}

// Duty is who holds one.
type Duty struct {
	Term
	Holder  string `json:"holder"`
	LeaseMs int64  `json:"lease_ms"`
}

// Grant is the duty in the words of calls.
func (d Duty) Grant() api.Grant {
	return api.Grant{Name: d.Name, Holder: d.Holder, Epoch: d.Epoch, LeaseMs: d.LeaseMs}
}

// Claim is what a command on a duty asks.
type Claim struct {
	api.Claim
	Over *Term `json:"over,omitempty"` // take: the term of another holder that is over by the leader's clock
}

// Duty is who holds a duty; false: nobody.
func (l *List) Duty(name string) (Duty, bool) {
	d, ok := l.duties[name]
	if !ok {
		d.Name = name
	}
	return d, ok
}

// Duties are all that are held, by name.
func (l *List) Duties() []Duty {
	return slices.SortedFunc(maps.Values(l.duties), func(a, b Duty) int { return strings.Compare(a.Name, b.Name) })
}

// Epoch is the highest that was given.
func (l *List) Epoch() uint64 { return l.epoch }

// Speaks tells whether all of the replicas, which are those with these names, understand a schema.
func (l *List) Speaks(schema int, names []string) bool {
	for _, name := range names {
		if l.replicas[name].Schema < schema {
			return false
		}
	}
	return true
}

// duty carries out a command on a duty. index is the command's place in the log.
//
// The epoch is the command's place in the log and the list's version together. Both only rise, the first with each command and
// the second beyond all that a backup knows with each restore, and programs that know of no duties keep both too. So
// nothing has to be kept of a duty that nobody holds, and a replica that forgot all duties gives no epoch twice.
func (l *List) duty(c Command, index uint64) Result {
	if c.Op == Lapse {
		for _, t := range c.Terms {
			if l.duties[t.Name].Term == t {
				delete(l.duties, t.Name)
			}
		}
		return Result{Version: l.version}
	}
	d, held := l.Duty(c.Claim.Name)
	claim := c.Claim
	own := held && d.Holder == claim.Holder
	switch c.Op {
	case Take:
		switch {
		case own && d.Epoch > claim.Epoch: // an answer was lost, or a call came twice: it holds it already
			return l.hold(d, claim)
		case held && !own && (claim.Over == nil || *claim.Over != d.Term):
			return Result{Duty: d, Err: api.Fail(api.CodeConflict, "%s is held by %s under epoch %d", d.Name, d.Holder, d.Epoch)}
		case !held && len(l.duties) >= api.MaxDuties:
			return Result{Err: api.Fail(api.CodeFull, "%d duties", len(l.duties))}
		}
		l.epoch = max(l.epoch+1, index+uint64(l.version))
		return l.hold(Duty{Term: Term{Name: claim.Name, Epoch: l.epoch}, Holder: claim.Holder}, claim)
	case Renew:
		if own && d.Epoch == claim.Epoch {
			return l.hold(d, claim)
		}
		return Result{Duty: d, Err: api.Fail(api.CodeConflict, "%s is not held under epoch %d by %s", d.Name, claim.Epoch, claim.Holder)}
	}
	if own && d.Epoch == claim.Epoch { // Release; to give up what is not held is done already
		delete(l.duties, d.Name)
		d.Holder = ""
	}
	return Result{Duty: d}
}

// hold begins the next turn of a duty.
func (l *List) hold(d Duty, c *Claim) Result {
	d.Turn++
	d.LeaseMs = c.LeaseMs
	l.duties[d.Name] = d
	return Result{Duty: d}
}

// forget voids all duties where a replica was, or is, of a program that knows of none: what it had of them is lost, and all
// replicas have to agree. Epochs go on.
func (l *List) forget(joins api.Replica) bool {
	known, there := l.replicas[joins.Name]
	if joins.Schema >= DutySchema && !(there && known.Schema < DutySchema) {
		return false
	}
	clear(l.duties)
	return true
}

// restoreDuties keeps who holds what here, and adds what only the backup knows: those leases are given their time again.
func (l *List) restoreDuties(was *List) {
	l.epoch = max(l.epoch, was.epoch)
	maps.Copy(l.duties, was.duties) // over those of the backup, which Load has put there
}
