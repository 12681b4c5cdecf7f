// Package fleet simulates many Balancers in front of model upstreams on one virtual clock, without sockets or processes.
//
// It answers questions about a whole fleet: how hundreds of controllers, each of which sees little, behave together
// after a sudden change. The same plan and seed give the same result. Connections, bodies, lost discovery messages and
// a shortage of processor time are not modelled.
package fleet

import (
	"errors"
	"fmt"
	"math"
	"time"

	"mosslead/balancer"
	"mosslead/internal/lab/model"
)

// Plan describes a simulation run.
type Plan struct {
	Seed uint64

	// Settings are those of every sidecar; FleetSize, Zone and Tenants are filled in. Each request is of a
	// random class, all equally likely.
	Settings balancer.Settings

	Sidecars int
	Shares   []float64 // relative traffic of sidecar i is Shares[i mod len]; empty: equal traffic
	Zones    []string  // sidecars and upstreams are assigned in turn; empty: one zone

	Upstreams int
	Specs     []model.Spec // upstream i uses Specs[i mod len], with the cold start and the fall of Rule

	Load float64       // arriving work, without retries, as a share of the capacity of all upstreams when warm
	Work time.Duration // mean work of a request
	CV   float64       // standard deviation of the work over its mean, lognormal; 0: constant work

	Retries int           // retries after a refused or failed try
	Backoff time.Duration // mean wait before each retry

	SameZone, CrossZone time.Duration    // round-trip time to an upstream in the same zone, and in another
	NoticeDelay         [2]time.Duration // least and greatest time until a sidecar learns of a change; drawn for each sidecar, uniformly distributed

	Rule Rule
}

// Rule describes how upstreams warm up, and which load makes a cold one fall. Upstreams follow it; sidecars assume what is in
// Settings, so that a plan can plant an error there.
type Rule struct {
	ColdFrom float64       // share of the full capacity that an upstream has at its start
	WarmUp   time.Duration // time in which the capacity rises linearly to the full capacity
	Multiple float64       // a cold upstream falls beyond this multiple of its present capacity; 0: it never falls
	Window   time.Duration // time over which the work is summed
}

func (p *Plan) check() error {
	switch {
	case p.Sidecars < 1:
		return errors.New("sidecars: at least 1 is needed")
	case p.Upstreams < 1 || len(p.Specs) == 0:
		return errors.New("upstreams: at least 1 is needed, with at least one spec")
	case !(p.Load >= 0) || math.IsInf(p.Load, 0):
		return fmt.Errorf("load: %v is not usable", p.Load)
	case p.Work <= 0:
		return fmt.Errorf("work: %v is not above 0", p.Work)
	case p.NoticeDelay[0] < 0 || p.NoticeDelay[1] < p.NoticeDelay[0]:
		return fmt.Errorf("notice delay: %v is not a range", p.NoticeDelay)
	case p.Rule.Multiple > 0 && (p.Rule.WarmUp <= 0 || p.Rule.Window <= 0):
		return fmt.Errorf("rule: %+v has no warm-up time or no window", p.Rule)
	}
	for i, spec := range p.Specs {
		if err := spec.Check(); err != nil {
			return fmt.Errorf("spec %d: %w", i, err)
		}
	}
	for i, share := range p.Shares {
		if !(share > 0) || math.IsInf(share, 0) {
			return fmt.Errorf("share %d: %v is not above 0", i, share)
		}
	}
	if len(p.Shares) == 0 {
		p.Shares = []float64{1}
	}
	if len(p.Zones) == 0 {
		p.Zones = []string{""}
	}
	return nil
}

// Second holds the counts of the events in one second of a run. Each try counts as a request.
type Second struct {
	Tries, InTime, Late, Refused, Failed int
	Attempts, TurnedAway                 int
	ColdWork                             float64 // work sent to cold upstreams, in requests of mean work
}

// Window is the work that one cold upstream received in the rule's window, in requests of mean work.
type Window struct {
	Upstream string
	At       time.Duration // end of the window
	Received float64
	Informed float64 // the part of Received from sidecars that had been told of the upstream's start
	Allowed  float64 // work that the rule allows on the mean
}

// Limit returns N + 2√N + 2, where N is Allowed: the mean with an allowance for chance (the operators' standing test).
func (w Window) Limit() float64 { return w.Allowed + 2*math.Sqrt(w.Allowed) + 2 }

// Breach reports whether the window exceeds its limit, with more than two thirds of it from informed sidecars.
func (w Window) Breach() bool { return w.Received > w.Limit() && w.Informed > w.Received*2/3 }

// Result is the outcome of a run.
type Result struct {
	Seconds    []Second
	Falls      []Window // one for each upstream that fell, ending at its fall
	Fullest    Window   // the window with the largest share of its limit
	ColdStarts int      // number of cold starts

	ColdReceived, ColdCapacity float64 // work that cold upstreams were sent, and could have done once all sidecars knew of them, in requests of mean work
}
