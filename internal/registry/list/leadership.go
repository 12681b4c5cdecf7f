package list

import (
	"maps"
	"slices"
	"strings"

	"mosslead/internal/registry/api"
)

// What a command of schema 2 does.
const (
	AcquireLeadership = "take"
	RenewLeadership   = "renew"
	ReleaseLeadership = "release"
	ForgetLeaderships = "lapse" // expired leaderships that nobody claims, so that their names are not stored for ever
)

// LeadershipSchema is the form of commands and backups from which on leaderships are in them.
const LeadershipSchema = 2

// LeaseTerm is a lease of a leadership at one of its renewals. The leader's clock decides that a term has
// expired; the log decides whether it still was the present one.
type LeaseTerm struct {
	Name     string `json:"name"`
	Epoch    uint64 `json:"epoch"`
	Renewals uint64 `json:"turn"`
}

// Leadership is who holds a leadership.
type Leadership struct {
	LeaseTerm
	Holder  string `json:"holder"`
	LeaseMs int64  `json:"lease_ms"`
}

// Grant is the leadership as a response.
func (d Leadership) Grant() api.LeadershipGrant {
	return api.LeadershipGrant{Name: d.Name, Holder: d.Holder, Epoch: d.Epoch, LeaseMs: d.LeaseMs}
}

// LeadershipClaim is a claim as a command.
type LeadershipClaim struct {
	api.LeadershipClaim
	ExpiredTerm *LeaseTerm `json:"over,omitempty"` // to acquire: the term of another holder that has expired by the leader's clock
}

// Leadership is who holds a leadership; false: nobody.
func (l *List) Leadership(name string) (Leadership, bool) {
	d, ok := l.leaderships[name]
	if !ok {
		d.Name = name
	}
	return d, ok
}

// Leaderships are all that are held, by name.
func (l *List) Leaderships() []Leadership {
	return slices.SortedFunc(maps.Values(l.leaderships), func(a, b Leadership) int { return strings.Compare(a.Name, b.Name) })
}

// Epoch is the highest that was given.
func (l *List) Epoch() uint64 { return l.highestEpoch }

// Understands tells whether all of the replicas, which are those with these names, understand a schema.
func (l *List) Understands(schema int, names []string) bool {
	for _, name := range names {
		if l.replicas[name].Schema < schema {
			return false
		}
	}
	return true
}

// applyLeadership carries out a command on a leadership. index is the command's place in the log.
//
// The epoch is the command's place in the log and the list's version together. Both only rise, the first with each command and
// the second beyond all that a backup knows with each restore, and programs that know of no leaderships keep both too. So
// nothing has to be kept of a leadership that nobody holds, and a replica that forgot all leaderships gives no epoch twice.
func (l *List) applyLeadership(c Command, index uint64) Result {
	if c.Op == ForgetLeaderships {
		for _, t := range c.ExpiredTerms {
			if l.leaderships[t.Name].LeaseTerm == t {
				delete(l.leaderships, t.Name)
			}
		}
		return Result{Revision: l.revision}
	}
	d, replicated := l.Leadership(c.Claim.Name)
	claim := c.Claim
	own := replicated && d.Holder == claim.Holder
	switch c.Op {
	case AcquireLeadership:
		switch {
		case own && d.Epoch > claim.Epoch: // an answer was lost, or a call came twice: it holds it already
			return l.grantLeadership(d, claim)
		case replicated && !own && (claim.ExpiredTerm == nil || *claim.ExpiredTerm != d.LeaseTerm):
			return Result{Leadership: d, Err: api.Errorf(api.CodeConflict, "%s is held by %s under epoch %d", d.Name, d.Holder, d.Epoch)}
		case !replicated && len(l.leaderships) >= api.MaxLeaderships:
			return Result{Err: api.Errorf(api.CodeFull, "%d duties", len(l.leaderships))}
		}
		l.highestEpoch = max(l.highestEpoch+1, index+uint64(l.revision))
		return l.grantLeadership(Leadership{LeaseTerm: LeaseTerm{Name: claim.Name, Epoch: l.highestEpoch}, Holder: claim.Holder}, claim)
	case RenewLeadership:
		if own && d.Epoch == claim.Epoch {
			return l.grantLeadership(d, claim)
		}
		return Result{Leadership: d, Err: api.Errorf(api.CodeConflict, "%s is not held under epoch %d by %s", d.Name, claim.Epoch, claim.Holder)}
	}
	if own && d.Epoch == claim.Epoch { // Release; to give up what is not held is done already
		delete(l.leaderships, d.Name)
		d.Holder = ""
	}
	return Result{Leadership: d}
}

// grantLeadership begins the next turn of a leadership.
func (l *List) grantLeadership(d Leadership, c *LeadershipClaim) Result {
	d.Renewals++
	d.LeaseMs = c.LeaseMs
	l.leaderships[d.Name] = d
	return Result{Leadership: d}
}

// forget voids all leaderships where a replica was, or is, of a program that knows of none: what it had of them is lost, and all
// replicas have to agree. Epochs go on.
func (l *List) forget(joins api.Replica) bool {
	known, there := l.replicas[joins.Name]
	if joins.Schema >= LeadershipSchema && (!there || known.Schema >= LeadershipSchema) {
		return false
	}
	clear(l.leaderships)
	return true
}

// restoreLeaderships keeps who holds what here, and adds what only the backup knows: those leases are given their time again.
func (l *List) restoreLeaderships(was *List) {
	l.highestEpoch = max(l.highestEpoch, was.highestEpoch)
	maps.Copy(l.leaderships, was.leaderships) // over those of the backup, which Load has put there
}
