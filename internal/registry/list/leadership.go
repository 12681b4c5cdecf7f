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

// LeaseTerm identifies a lease at one of its renewals. The leader's clock decides whether a term has expired; when the command is
// applied, the list checks that the term is still the current one.
type LeaseTerm struct {
	Name     string `json:"name"`
	Epoch    uint64 `json:"epoch"`
	Renewals uint64 `json:"turn"`
}

// Leadership is a leadership with its holder and lease.
type Leadership struct {
	LeaseTerm
	Holder  string `json:"holder"`
	LeaseMs int64  `json:"lease_ms"`
}

// Grant returns the leadership in the form of a response.
func (l Leadership) Grant() api.LeadershipGrant {
	return api.LeadershipGrant{Name: l.Name, Holder: l.Holder, Epoch: l.Epoch, LeaseMs: l.LeaseMs}
}

// LeadershipClaim is a claim to a leadership as part of a command.
type LeadershipClaim struct {
	api.LeadershipClaim
	ExpiredTerm *LeaseTerm `json:"over,omitempty"` // to acquire: another holder's term that has expired by the leader's clock
}

// Leadership returns the leadership of a name. It returns false if nobody holds it.
func (l *List) Leadership(name string) (Leadership, bool) {
	leadership, ok := l.leaderships[name]
	if !ok {
		leadership.Name = name
	}
	return leadership, ok
}

// Leaderships returns all leaderships that are held, sorted by name.
func (l *List) Leaderships() []Leadership {
	return slices.SortedFunc(maps.Values(l.leaderships), func(a, b Leadership) int { return strings.Compare(a.Name, b.Name) })
}

// Epoch returns the highest epoch granted.
func (l *List) Epoch() uint64 { return l.highestEpoch }

// Understands reports whether all replicas with these names understand a schema.
func (l *List) Understands(schema int, names []string) bool {
	for _, name := range names {
		if l.replicas[name].Schema < schema {
			return false
		}
	}
	return true
}

// applyLeadership applies a command to a leadership; index is the command's index in the log.
//
// A new epoch is the sum of the log index and the list's revision, or the highest epoch plus one if that is larger. Index and
// revision never decrease: each command raises the index, and each restore raises the revision above that of the backup, also in
// programs without leaderships. Therefore nothing has to be stored about a leadership that nobody holds, and a replica that has
// lost all leaderships grants no epoch twice.
func (l *List) applyLeadership(c Command, index uint64) Result {
	if c.Op == ForgetLeaderships {
		for _, term := range c.ExpiredTerms {
			if l.leaderships[term.Name].LeaseTerm == term {
				delete(l.leaderships, term.Name)
			}
		}
		return Result{Revision: l.revision}
	}
	current, held := l.Leadership(c.Claim.Name)
	claim := c.Claim
	own := held && current.Holder == claim.Holder
	switch c.Op {
	case AcquireLeadership:
		switch {
		case own && current.Epoch > claim.Epoch: // a retry: the candidate is already the holder
			return l.grantLeadership(current, claim)
		case held && !own && (claim.ExpiredTerm == nil || *claim.ExpiredTerm != current.LeaseTerm):
			return Result{Leadership: current, Err: api.Errorf(api.CodeConflict, "%s is held by %s under epoch %d", current.Name, current.Holder, current.Epoch)}
		case !held && len(l.leaderships) >= api.MaxLeaderships:
			return Result{Err: api.Errorf(api.CodeFull, "%d duties", len(l.leaderships))}
		}
		l.highestEpoch = max(l.highestEpoch+1, index+uint64(l.revision))
		return l.grantLeadership(Leadership{LeaseTerm: LeaseTerm{Name: claim.Name, Epoch: l.highestEpoch}, Holder: claim.Holder}, claim)
	case RenewLeadership:
		if own && current.Epoch == claim.Epoch {
			return l.grantLeadership(current, claim)
		}
		return Result{Leadership: current, Err: api.Errorf(api.CodeConflict, "%s is not held under epoch %d by %s", current.Name, claim.Epoch, claim.Holder)}
	}
	if own && current.Epoch == claim.Epoch { // a release, which also succeeds if the leadership is not held
		delete(l.leaderships, current.Name)
		current.Holder = ""
	}
	return Result{Leadership: current}
}

// grantLeadership stores a leadership with the next term of its lease.
func (l *List) grantLeadership(leadership Leadership, claim *LeadershipClaim) Result {
	leadership.Renewals++
	leadership.LeaseMs = claim.LeaseMs
	l.leaderships[leadership.Name] = leadership
	return Result{Leadership: leadership}
}

// voidLeaderships removes all leaderships if a replica that joins runs, or has run, a program without them: that replica has lost
// its copy, and all replicas have to agree. It reports whether it removed them. Epochs keep rising.
func (l *List) voidLeaderships(joining api.Replica) bool {
	known, exists := l.replicas[joining.Name]
	if joining.Schema >= LeadershipSchema && (!exists || known.Schema >= LeadershipSchema) {
		return false
	}
	clear(l.leaderships)
	return true
}

// restoreLeaderships keeps the current leaderships, and adds those that only the backup has. The leader's lease table starts their
// leases anew.
func (l *List) restoreLeaderships(previous *List) {
	l.highestEpoch = max(l.highestEpoch, previous.highestEpoch)
	maps.Copy(l.leaderships, previous.leaderships) // overrides those of the backup, which Load has set
}
