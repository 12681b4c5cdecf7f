package list

import (
	"maps"
	"slices"
	"strings"

	"mosslead/internal/registry/api"
)

// Operations of commands of schema 2, as they are encoded in the log.
const (
	AcquireLeadership = "take"
	RenewLeadership   = "renew"
	ReleaseLeadership = "release"
	ForgetLeaderships = "lapse" // removes expired leaderships that nobody claims
)

// LeadershipSchema is the schema of commands and backups that introduced leaderships.
const LeadershipSchema = 2

// LeaseTerm identifies a lease at one of its renewals. The leader's clock decides that a term has expired; the log decides
// whether it was still the present one.
type LeaseTerm struct {
	Name     string `json:"name"`
	Epoch    uint64 `json:"epoch"`
	Renewals uint64 `json:"turn"`
}

// Leadership is a leadership with its holder.
type Leadership struct {
	LeaseTerm
	Holder  string `json:"holder"`
	LeaseMs int64  `json:"lease_ms"`
}

// Grant returns the leadership as a response.
func (d Leadership) Grant() api.LeadershipGrant {
	return api.LeadershipGrant{Name: d.Name, Holder: d.Holder, Epoch: d.Epoch, LeaseMs: d.LeaseMs}
}

// LeadershipClaim is a claim as part of a command.
type LeadershipClaim struct {
	api.LeadershipClaim
	ExpiredTerm *LeaseTerm `json:"over,omitempty"` // to acquire: the term of another holder that has expired by the leader's clock
}

// Leadership returns a leadership; false if nobody holds it.
func (l *List) Leadership(name string) (Leadership, bool) {
	d, ok := l.leaderships[name]
	if !ok {
		d.Name = name
	}
	return d, ok
}

// Leaderships returns all that are held, in order.
func (l *List) Leaderships() []Leadership {
	return slices.SortedFunc(maps.Values(l.leaderships), func(a, b Leadership) int { return strings.Compare(a.Name, b.Name) })
}

// Epoch returns the highest epoch granted.
func (l *List) Epoch() uint64 { return l.highestEpoch }

// Understands reports whether the replicas with these names all understand a schema.
func (l *List) Understands(schema int, names []string) bool {
	for _, name := range names {
		if l.replicas[name].Schema < schema {
			return false
		}
	}
	return true
}

// applyLeadership applies a command on a leadership; index is the command's index in the log.
//
// An epoch is the sum of the log index and the list's revision, or one above the highest epoch if that is more. Index and
// revision only rise, the first with each command, the second beyond that of a backup with each restore, also in programs
// without leaderships. So nothing has to be stored of a leadership that nobody holds, and a replica that has forgotten all
// leaderships grants no epoch twice.
func (l *List) applyLeadership(c Command, index uint64) Result {
	if c.Op == ForgetLeaderships {
		for _, t := range c.ExpiredTerms {
			if l.leaderships[t.Name].LeaseTerm == t {
				delete(l.leaderships, t.Name)
			}
		}
		return Result{Revision: l.revision}
	}
	d, held := l.Leadership(c.Claim.Name)
	claim := c.Claim
	own := held && d.Holder == claim.Holder
	switch c.Op {
	case AcquireLeadership:
		switch {
		case own && d.Epoch > claim.Epoch: // a retry: the candidate is the holder already
			return l.grantLeadership(d, claim)
		case held && !own && (claim.ExpiredTerm == nil || *claim.ExpiredTerm != d.LeaseTerm):
			return Result{Leadership: d, Err: api.Errorf(api.CodeConflict, "%s is held by %s under epoch %d", d.Name, d.Holder, d.Epoch)}
		case !held && len(l.leaderships) >= api.MaxLeaderships:
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
	if own && d.Epoch == claim.Epoch { // a release; releasing what is not held succeeds
		delete(l.leaderships, d.Name)
		d.Holder = ""
	}
	return Result{Leadership: d}
}

// grantLeadership starts the next term of a lease.
func (l *List) grantLeadership(d Leadership, c *LeadershipClaim) Result {
	d.Renewals++
	d.LeaseMs = c.LeaseMs
	l.leaderships[d.Name] = d
	return Result{Leadership: d}
}

// voidLeaderships voids all leaderships if a replica runs, or has run, a program without them: it has lost its copy, and all replicas
// have to agree. Epochs keep rising.
func (l *List) voidLeaderships(joins api.Replica) bool {
	known, there := l.replicas[joins.Name]
	if joins.Schema >= LeadershipSchema && (!there || known.Schema >= LeadershipSchema) {
		return false
	}
	clear(l.leaderships)
	return true
}

// restoreLeaderships keeps the present leaderships, and adds those that only the backup has, with renewed leases.
func (l *List) restoreLeaderships(was *List) {
	l.highestEpoch = max(l.highestEpoch, was.highestEpoch)
	maps.Copy(l.leaderships, was.leaderships) // overrides those of the backup, which Load has set
}
