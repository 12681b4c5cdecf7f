// Package forwarding decides, by pressure, whether a sidecar serves a request itself or forwards it to
// another. Pure: no I/O and no clock.
package forwarding

import (
	"math"
	"math/rand/v2"
	"time"

	"mosslead/internal/gossip/message"
)

// HeaderHop marks a request that a peer has forwarded; its value is 1. It is never forwarded again.
const HeaderHop = "X-Mosslead-Hop"

const (
	knee                 = 0.7                    // pressure from which requests begin to be answered too late
	hotThreshold         = 0.85                   // from this pressure on a sidecar looks for others
	coolThreshold        = 0.65                   // until its pressure has fallen to this; above it a sidecar accepts no forwarded requests
	smoothingTime        = 500 * time.Millisecond // over which pressure is averaged: one sample does not flip the state
	agingAfter           = time.Second            // a peer's pressure counts as it was for this long
	expiredAfter         = 4 * time.Second        // and as full from this age on
	minGain              = 0.1                    // fraction of a request's value that forwarding must bring
	maxForwardedFraction = 0.2                    // of the arriving requests
	burst                = 20.0                   // forwarded requests at once
	maxCandidates        = 6                      // peers that are looked at for each request
	minRoundTrips        = 4                      // round trips that must fit into the time that is left
)

// Gauge follows the pressure of one sidecar.
type Gauge struct {
	now       message.Pressure
	sampledAt time.Duration
	hot       bool
}

// Add takes in a sample of the parts, each 0 (idle) to 1 (full), and returns the pressure: each part
// averaged, and in Total the highest of them, since the scarcest resource is what stops the work.
func (g *Gauge) Add(now time.Duration, p message.Pressure) message.Pressure {
	w := 1 - math.Exp(-float64(now-g.sampledAt)/float64(smoothingTime))
	g.sampledAt = now
	parts, samples := g.now.Parts(), p.Parts()
	g.now.Total = 0
	for i, x := range parts {
		*x += w * (min(max(*samples[i], 0), 1) - *x)
		g.now.Total = max(g.now.Total, *x)
	}
	switch {
	case g.now.Total >= hotThreshold:
		g.hot = true
	case g.now.Total <= coolThreshold:
		g.hot = false
	}
	return g.now
}

// Accepts tells whether a sidecar accepts forwarded requests. They rank behind its own clients' and are
// rejected first.
func (g *Gauge) Accepts() bool { return !g.hot && g.now.Total < coolThreshold }

// Choice is what becomes of a request.
type Choice int

// The choices. Rejecting is up to the local admission.
const (
	Local   Choice = iota // this sidecar's balancer decides, as without peers
	Forward               // to a peer
)

// Request is what the choice depends on.
type Request struct {
	TimeLeft  time.Duration // until the client stops waiting
	RoundTrip time.Duration // between sites
	Cost      float64       // of leaving the zone, as a fraction of the request's value
}

// peer is another sidecar as it was last heard of.
type peer struct {
	message.Member
	pressure   float64
	receivedAt time.Duration
	inFlight   int // requests that were forwarded to it
}

// Decider chooses where requests go. Not safe for concurrent use.
type Decider struct {
	site   string
	rng    *rand.Rand
	peers  map[string]*peer
	order  []*peer // those present that accept forwarded requests
	tokens float64
}

// NewDecider returns the Decider of a sidecar at that site, which draws from seed.
func NewDecider(site string, seed uint64) *Decider {
	return &Decider{site: site, rng: rand.New(rand.NewPCG(seed, 1)), peers: map[string]*peer{}, tokens: burst}
}

// SetMembers sets who is present. Without anybody all requests stay local.
func (d *Decider) SetMembers(present []message.Member) {
	before := d.peers
	d.peers, d.order = map[string]*peer{}, nil
	for _, m := range present {
		p := before[m.Name]
		if p == nil || p.Incarnation != m.Incarnation {
			p = &peer{receivedAt: -expiredAfter} // nothing was heard of this process
		}
		p.Member = m
		d.peers[m.Name] = p
		if m.Forward != "" {
			d.order = append(d.order, p)
		}
	}
}

// OnPressure takes in a peer's pressure.
func (d *Decider) OnPressure(now time.Duration, name string, total float64) {
	if p := d.peers[name]; p != nil {
		p.pressure, p.receivedAt = total, now
	}
}

// Choose decides on one arriving request; g is this sidecar's pressure. A request that is forwarded is ended
// with Done.
func (d *Decider) Choose(now time.Duration, g *Gauge, r Request) (Choice, string) {
	d.tokens = min(d.tokens+maxForwardedFraction, burst)
	if !g.hot || d.tokens < 1 || len(d.order) == 0 {
		return Local, ""
	}
	// If only this process is short of something, others of its site have it; if the site is, those of another
	// site do.
	siteShort := g.now.Site >= max(g.now.CPU, g.now.Sockets, g.now.Heap) || g.now.InFlight >= max(g.now.CPU, g.now.Sockets, g.now.Heap)
	var best *peer
	seen := 0
	for range maxCandidates {
		p := d.order[d.rng.IntN(len(d.order))]
		remote := p.Site != d.site
		if p == best || remote != siteShort || remote && r.TimeLeft < minRoundTrips*r.RoundTrip || d.effectivePressure(now, p) >= coolThreshold {
			continue
		}
		if best == nil || d.weight(now, p) < d.weight(now, best) {
			best = p
		}
		if seen++; seen == 2 {
			break
		}
	}
	if best == nil {
		return Local, ""
	}
	price := 0.0
	if siteShort {
		price = r.Cost
	}
	if servedFraction(d.effectivePressure(now, best))-price < servedFraction(g.now.Total)+minGain {
		return Local, ""
	}
	d.tokens--
	best.inFlight++
	return Forward, best.Name
}

// Hot tells whether g's sidecar looks for others. Then it has to ask them for their pressure, see
// PeersToQuery.
func (g *Gauge) Hot() bool { return g.hot }

// Now is the pressure as of the latest sample.
func (g *Gauge) Now() message.Pressure { return g.now }

// PeersToQuery names up to n random peers to be asked for their pressure.
func (d *Decider) PeersToQuery(n int) (names []string) {
	for range min(n, len(d.order)) {
		names = append(names, d.order[d.rng.IntN(len(d.order))].Name)
	}
	return names
}

// Done ends a forwarded request. A peer that did not serve it counts as full until its pressure is received
// again.
func (d *Decider) Done(name string, served bool) {
	p := d.peers[name]
	if p == nil {
		return
	}
	p.inFlight = max(0, p.inFlight-1)
	if !served {
		p.pressure = 1
	}
}

// weight is the cost of power of two choices, with pressure in place of latency.
func (d *Decider) weight(now time.Duration, p *peer) float64 {
	return d.effectivePressure(now, p) * float64(p.inFlight+1)
}

// effectivePressure is a peer's pressure now: it tends to full with the time since it was received.
func (d *Decider) effectivePressure(now time.Duration, p *peer) float64 {
	old := float64(now-p.receivedAt-agingAfter) / float64(expiredAfter-agingAfter)
	return p.pressure + (1-p.pressure)*min(max(old, 0), 1)
}

// servedFraction is the fraction of requests that are answered within their objective at a pressure: all up
// to the knee, none at 1.
func servedFraction(pressure float64) float64 { return 1 - max(0, pressure-knee)/(1-knee) }
