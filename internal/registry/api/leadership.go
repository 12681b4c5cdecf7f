package api

import "math"

// LeadershipClaim is a candidate's claim to a leadership.
type LeadershipClaim struct {
	Name    string  `json:"name,omitempty"`    // of the leadership
	Holder  string  `json:"holder"`            // the member and its incarnation: another process of the same member is another holder
	LeaseMs int64   `json:"lease_ms"`          // requested
	Epoch   uint64  `json:"epoch,omitempty"`   // to renew or release: that of the lease; to acquire: the latest that was released
	Fitness float64 `json:"fitness,omitempty"` // 0 to MaxFitness: how fit the candidate is
}

// LeadershipGrant is a leadership as the service has it.
type LeadershipGrant struct {
	Name    string `json:"name"`
	Holder  string `json:"holder"`   // empty: nobody
	Epoch   uint64 `json:"epoch"`    // rises with each holder, never falls
	LeaseMs int64  `json:"lease_ms"` // from when the request was sent, by the holder's clock
	// RetryAfterMs is when a rejected candidate is to ask again: the service spreads those that wait.
	RetryAfterMs int64 `json:"after_ms,omitempty"`
	// BetterFitness is the highest fitness of those rejected of late, if it is above the holder's own.
	BetterFitness float64 `json:"better,omitempty"`
}

// HeldBy tells whether holder has the leadership, under an epoch above after.
func (g LeadershipGrant) HeldBy(holder string, after uint64) bool {
	return g.Holder == holder && g.Epoch > after
}

// Leaderships are all that are held, by name.
type Leaderships struct {
	Leaderships []LeadershipGrant `json:"duties"`
}

// Bounds of leaderships.
const (
	MaxLeaderships       = 4096
	MaxHolder            = 192
	MinLeadershipLeaseMs = 500
	MaxLeadershipLeaseMs = 30_000
	MaxFitness           = 1000
)

// Check tells what is wrong with a claim; nil: nothing. held: it is to renew or to release.
func (c *LeadershipClaim) Check(held bool) error {
	switch {
	case c.Name == "" || len(c.Name) > MaxName:
		return Errorf(CodeBadRequest, "name: 1 to %d bytes", MaxName)
	case c.Holder == "" || len(c.Holder) > MaxHolder:
		return Errorf(CodeBadRequest, "holder: 1 to %d bytes", MaxHolder)
	case c.LeaseMs < MinLeadershipLeaseMs || c.LeaseMs > MaxLeadershipLeaseMs:
		return Errorf(CodeBadRequest, "lease_ms: %d to %d", MinLeadershipLeaseMs, MaxLeadershipLeaseMs)
	case held && c.Epoch == 0:
		return Errorf(CodeBadRequest, "epoch: the one under which the duty is held")
	case math.IsNaN(c.Fitness) || c.Fitness < 0 || c.Fitness > MaxFitness:
		return Errorf(CodeBadRequest, "fitness: 0 to %d", MaxFitness)
	}
	return nil
}
