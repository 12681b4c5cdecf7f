// Package forwarding decides, by pressure, whether a sidecar serves a request itself or forwards it to
// another. It does no I/O and reads no clock.
package forwarding

import (
	"math"
	"math/rand/v2"
	"time"

	"mosslead/internal/gossip/message"
)

// HeaderHop marks a request that a peer has forwarded; its value is 1. Such a request is not forwarded again.
const HeaderHop = "X-Mosslead-Hop"

const (
	knee                 = 0.7                    // pressure above which some requests are answered too late
	hotThreshold         = 0.85                   // pressure at which a sidecar becomes hot and starts to forward
	coolThreshold        = 0.65                   // pressure at which a hot sidecar cools; at or above it a sidecar accepts no forwarded requests
	smoothingTime        = 500 * time.Millisecond // time over which pressure is averaged, so that one sample does not change the state
	agingAfter           = time.Second            // age up to which a peer's pressure counts as it was received
	expiredAfter         = 4 * time.Second        // age from which a peer's pressure counts as full
	minGain              = 0.1                    // fraction of a request's value that forwarding must gain
	maxForwardedFraction = 0.2                    // highest fraction of the arriving requests that is forwarded in the long run
	burst                = 20.0                   // limit of the forwarding budget: requests that may be forwarded in a row
	maxCandidates        = 6                      // random picks of a peer for each request, at most
	minRoundTrips        = 4                      // round trips that must fit into the time until the client stops waiting
)

// Gauge holds the averaged pressure of one sidecar.
type Gauge struct {
	pressure  message.Pressure // as of the latest sample
	sampledAt time.Duration
	hot       bool
}

// Add adds a sample of the parts, each 0 (idle) to 1 (full), and returns the pressure: the average of each
// part, and as Total the highest of them, since the scarcest resource limits the sidecar.
func (g *Gauge) Add(now time.Duration, p message.Pressure) message.Pressure {
	w := 1 - math.Exp(-float64(now-g.sampledAt)/float64(smoothingTime))
	g.sampledAt = now
	parts, samples := g.pressure.Parts(), p.Parts()
	g.pressure.Total = 0
	for i, part := range parts {
		*part += w * (min(max(*samples[i], 0), 1) - *part)
		g.pressure.Total = max(g.pressure.Total, *part)
	}
	switch {
	case g.pressure.Total >= hotThreshold:
		g.hot = true
	case g.pressure.Total <= coolThreshold:
		g.hot = false
	}
	return g.pressure
}

// Accepts reports whether the sidecar accepts forwarded requests. They rank behind requests of its own clients
// and are rejected first.
func (g *Gauge) Accepts() bool { return !g.hot && g.pressure.Total < coolThreshold }

// Choice is where a request is handled.
type Choice int

// The choices. Only the local admission rejects requests.
const (
	Local   Choice = iota // this sidecar's balancer handles it, as without peers
	Forward               // it is forwarded to a peer
)

// Request holds what the choice depends on.
type Request struct {
	TimeLeft  time.Duration // until the client stops waiting
	RoundTrip time.Duration // round-trip time between sites
	Cost      float64       // cost of leaving the zone, as a fraction of the request's value
}

// peer is another sidecar with its last known pressure.
type peer struct {
	message.Member
	pressure   float64
	receivedAt time.Duration // when the pressure was received
	inFlight   int           // requests that were forwarded to it and have not ended
}

// Decider chooses where requests are handled. It is not safe for concurrent use.
type Decider struct {
	site   string
	rng    *rand.Rand
	peers  map[string]*peer
	order  []*peer // present peers that have an address for forwarded requests
	tokens float64 // budget for forwarding: each arriving request adds maxForwardedFraction, each forwarded one takes 1
}

// NewDecider returns the Decider of a sidecar at site; seed seeds its random choices.
func NewDecider(site string, seed uint64) *Decider {
	return &Decider{site: site, rng: rand.New(rand.NewPCG(seed, 1)), peers: map[string]*peer{}, tokens: burst}
}

// SetMembers sets the members that are present. Without any, all requests stay local.
func (d *Decider) SetMembers(present []message.Member) {
	before := d.peers
	d.peers, d.order = map[string]*peer{}, nil
	for _, m := range present {
		p := before[m.Name]
		if p == nil || p.Incarnation != m.Incarnation {
			p = &peer{receivedAt: -expiredAfter} // no pressure of this process is known
		}
		p.Member = m
		d.peers[m.Name] = p
		if m.Forward != "" {
			d.order = append(d.order, p)
		}
	}
}

// OnPressure records the pressure that a peer reports.
func (d *Decider) OnPressure(now time.Duration, name string, total float64) {
	if p := d.peers[name]; p != nil {
		p.pressure, p.receivedAt = total, now
	}
}

// Choose decides on an arriving request, and returns the name of the peer that it is to be forwarded to, if
// any; g holds this sidecar's pressure. The caller has to report the end of each request that it forwards
// with Done.
func (d *Decider) Choose(now time.Duration, g *Gauge, r Request) (Choice, string) {
	d.tokens = min(d.tokens+maxForwardedFraction, burst)
	if !g.hot || d.tokens < 1 || len(d.order) == 0 {
		return Local, ""
	}
	// If only this process is short of a resource, the request goes to a peer of the same site. If the site's
	// upstreams or the limit of admission are the scarcest resource, it goes to another site.
	siteShort := g.pressure.Site >= max(g.pressure.CPU, g.pressure.Sockets, g.pressure.Heap) || g.pressure.InFlight >= max(g.pressure.CPU, g.pressure.Sockets, g.pressure.Heap)
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
	if servedFraction(d.effectivePressure(now, best))-price < servedFraction(g.pressure.Total)+minGain {
		return Local, ""
	}
	d.tokens--
	best.inFlight++
	return Forward, best.Name
}

// Hot reports whether the sidecar is to forward requests. If so, it has to ask peers for their pressure, see
// PeersToQuery.
func (g *Gauge) Hot() bool { return g.hot }

// Now returns the pressure as of the latest sample.
func (g *Gauge) Now() message.Pressure { return g.pressure }

// PeersToQuery returns the names of up to n random peers that are to be asked for their pressure.
func (d *Decider) PeersToQuery(n int) (names []string) {
	for range min(n, len(d.order)) {
		names = append(names, d.order[d.rng.IntN(len(d.order))].Name)
	}
	return names
}

// Done records the end of a forwarded request. A peer that did not serve it counts as full until its pressure
// is received again.
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

// weight returns the cost of a peer for the power of two choices, with pressure in place of latency.
func (d *Decider) weight(now time.Duration, p *peer) float64 {
	return d.effectivePressure(now, p) * float64(p.inFlight+1)
}

// effectivePressure returns a peer's pressure at now. It rises to full as the received pressure ages.
func (d *Decider) effectivePressure(now time.Duration, p *peer) float64 {
	age := float64(now-p.receivedAt-agingAfter) / float64(expiredAfter-agingAfter)
	return p.pressure + (1-p.pressure)*min(max(age, 0), 1)
}

// servedFraction returns the fraction of requests that are answered within their objective at a pressure: all
// up to the knee, none at 1.
func servedFraction(pressure float64) float64 { return 1 - max(0, pressure-knee)/(1-knee) }
