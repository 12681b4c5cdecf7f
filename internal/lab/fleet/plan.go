// Package fleet plays many Balancers against model upstreams on one virtual clock, without sockets or processes.
//
// It is for questions that only a whole fleet answers: what hundreds of controllers, each of which sees little, do
// together after a step. The same plan and seed give the same play. Not modelled: connections, bodies, discovery that
// is lost, processors that are short.
package fleet

import (
	"errors"
	"fmt"
	"math"
	"time"

	"mosslead/balancer"
	"mosslead/internal/lab/model"
)

// Plan says what is played. All times are durations.
type Plan struct {
	Seed uint64

	// Settings is what every sidecar is told; Balancers, Zone and Tenants are filled in. Its classes come with equal
	// chance.
	Settings balancer.Settings

	Sidecars int
	Shares   []float64 // traffic of sidecar i, relative to the others', is Shares[i mod len]; absent: all alike
	Zones    []string  // sidecars and upstreams go round them; absent: one

	Upstreams int
	Specs     []model.Spec // upstream i is of kind i mod len; its cold start and fall are the Rule's

	Load float64       // arriving work as a share of what all warm upstreams do; first tries alone
	Work time.Duration // mean work of a request
	CV   float64       // its standard deviation over its mean, lognormal; 0: all alike

	Retries int           // tries that follow one refused or failed
	Backoff time.Duration // mean wait before each

	SameZone, CrossZone time.Duration    // round trip to an upstream of the own zone, and of another
	NoticeDelay         [2]time.Duration // from a change to a sidecar being told: drawn evenly between, for each sidecar apart

	Rule Rule
}

// Rule is how an upstream starts, and what pushes it over while cold. It is the truth: what sidecars believe of it is in
// Settings, so that a plan can plant an error there.
type Rule struct {
	ColdFrom float64       // share of its capacity at its start
	WarmUp   time.Duration // it rises evenly to all of it over this
	Multiple float64       // of present capacity; 0: nothing pushes it over
	Window   time.Duration // the window
}

func (p *Plan) check() error {
	switch {
	case p.Sidecars < 1:
		return errors.New("sidecars: none")
	case p.Upstreams < 1 || len(p.Specs) == 0:
		return errors.New("upstreams: none, or of no kind")
	case !(p.Load >= 0) || math.IsInf(p.Load, 0):
		return fmt.Errorf("load: %v is not usable", p.Load)
	case p.Work <= 0:
		return fmt.Errorf("work: %v is not above 0", p.Work)
	case p.NoticeDelay[0] < 0 || p.NoticeDelay[1] < p.NoticeDelay[0]:
		return fmt.Errorf("notice: %v is no range", p.NoticeDelay)
	case p.Rule.Multiple > 0 && (p.Rule.WarmUp <= 0 || p.Rule.Window <= 0):
		return fmt.Errorf("rule: %+v lacks a time", p.Rule)
	}
	for i, k := range p.Specs {
		if err := k.Check(); err != nil {
			return fmt.Errorf("kind %d: %w", i, err)
		}
	}
	for i, x := range p.Shares {
		if !(x > 0) || math.IsInf(x, 0) {
			return fmt.Errorf("share %d: %v is not above 0", i, x)
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

// Second is what clients and upstreams saw in one second of a play. Requests count where they came, tries each.
type Second struct {
	Tries, InTime, Late, Refused, Failed int
	Attempts, TurnedAway                 int
	ColdWork                             float64 // work sent to cold upstreams, in mean requests
}

// Window is what one cold upstream got in the rule's window, in requests of mean work.
type Window struct {
	Upstream string
	At       time.Duration // its end
	Received float64
	Informed float64 // of it, from sidecars that had been told of the start
	Allowed  float64 // what the rule allows on the mean
}

// Limit is N with what chance is granted: N + 2√N + 2 (the operators' standing test).
func (w Window) Limit() float64 { return w.Allowed + 2*math.Sqrt(w.Allowed) + 2 }

// Breach tells whether the window holds more than the rule allows.
func (w Window) Breach() bool { return w.Received > w.Limit() && w.Informed > w.Received*2/3 }

// Result is what was seen in a play.
type Result struct {
	Seconds    []Second
	Falls      []Window // of each upstream that fell, the window that felled it
	Fullest    Window   // the one nearest to its limit, or furthest beyond
	ColdStarts int      // cold starts

	ColdReceived, ColdCapacity float64 // mean requests that cold upstreams were sent, and could have done once all were told of them
}
