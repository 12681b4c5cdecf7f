package api

import "math"

// LeadershipClaim is a candidate's claim to a leadership.
type LeadershipClaim struct {
	Name    string  `json:"name,omitempty"`    // name of the leadership
	Holder  string  `json:"holder"`            // node and incarnation of the candidate, so that each of its processes is another holder
	LeaseMs int64   `json:"lease_ms"`          // requested length of the lease
	Epoch   uint64  `json:"epoch,omitempty"`   // to renew or release: the epoch of the lease; to acquire: the latest epoch that the candidate released
	Fitness float64 `json:"fitness,omitempty"` // how fit the candidate is, from 0 to MaxFitness
}

// LeadershipGrant is the state of a leadership at the service.
type LeadershipGrant struct {
	Name    string `json:"name"`
	Holder  string `json:"holder"`   // empty if nobody holds it
	Epoch   uint64 `json:"epoch"`    // rises with each new holder, and never falls
	LeaseMs int64  `json:"lease_ms"` // counted from when the request was sent, by the holder's clock
	// RetryAfterMs is the time after which a rejected candidate is to retry. The service spreads the retries of candidates.
	RetryAfterMs int64 `json:"after_ms,omitempty"`
	// BetterFitness is the highest fitness of recently rejected candidates, if it is above the holder's own.
	BetterFitness float64 `json:"better,omitempty"`
}

// HeldBy reports whether holder has the leadership under an epoch above after.
func (g LeadershipGrant) HeldBy(holder string, after uint64) bool {
	return g.Holder == holder && g.Epoch > after
}

// Leaderships contains all leaderships that are held, sorted by name.
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

// Check returns an error if a claim is invalid. held is set for a claim to renew or release a leadership.
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
