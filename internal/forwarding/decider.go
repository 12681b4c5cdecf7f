// Package forwarding owns the choice between local and forwarded, by pressure. Pure: no I/O and no clock.
package forwarding

import (
	"math"
	"math/rand/v2"
	"time"

	"mosslead/internal/gossip/message"
)

// HeaderHop marks a request that came from a peer; its value is 1. It is never forwarded again.
const HeaderHop = "X-Mosslead-Hop"

const (
	knee                 = 0.7                    // pressure from which work begins to come too late
	hotThreshold         = 0.85                   // from this pressure on a sidecar looks for others
	coolThreshold        = 0.65                   // and until it has fallen to this; whose own is above takes no forwarded work
	smoothingTime        = 500 * time.Millisecond // over which pressure is averaged: a spike of one sample does not flip the state
	agingAfter           = time.Second            // a peer's pressure that was heard so long ago counts as it was
	expiredAfter         = 4 * time.Second        // and from here on as full
	minGain              = 0.1                    // of its worth that forwarding must bring to be chosen
	maxForwardedFraction = 0.2                    // of arrivals that may be forwarded
	burst                = 20.0                   // and so many at once
	maxCandidates        = 6                      // at peers, for each request
	minRoundTrips        = 4                      // ways there and back that must fit into what is left of the time
)

// Gauge follows the pressure of one sidecar.
type Gauge struct {
	now message.Pressure
	at  time.Duration
	hot bool
}

// Add takes a sample of the parts in, each 0 (nothing) to 1 (full), and gives the pressure: each part averaged, and in Total the
// fullest of them, since what is short is what stops the work.
func (g *Gauge) Add(now time.Duration, p message.Pressure) message.Pressure {
	w := 1 - math.Exp(-float64(now-g.at)/float64(smoothingTime))
	g.at = now
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

// Accepts tells whether a sidecar takes forwarded work: behind its own clients', so it refuses that first.
func (g *Gauge) Accepts() bool { return !g.hot && g.now.Total < coolThreshold }

// Choice is what becomes of a request.
type Choice int

// The choices. Refusing is what admission does at home.
const (
	Local   Choice = iota // this sidecar's balancer decides, as without peers: near, across, or refused
	Forward               // to a peer
)

// Request is what of a request the choice goes by.
type Request struct {
	TimeLeft  time.Duration // until its client goes
	RoundTrip time.Duration // there and back between sites
	Cost      float64       // of crossing, as a share of the request's worth
}

// peer is another sidecar as it was last heard of.
type peer struct {
	message.Member
	pressure float64
	heardAt  time.Duration
	inFlight int // requests that are with it
}

// Decider chooses. Not safe for concurrent use.
type Decider struct {
	site   string
	rng    *rand.Rand
	peers  map[string]*peer
	order  []*peer // those present that take forwarded work
	tokens float64
}

// NewDecider chooses for a sidecar of that site, drawing from seed.
func NewDecider(site string, seed uint64) *Decider {
	return &Decider{site: site, rng: rand.New(rand.NewPCG(seed, 1)), peers: map[string]*peer{}, tokens: burst}
}

// SetMembers says who is present. Who is not gets nothing; with nobody there all stays at home.
func (d *Decider) SetMembers(present []message.Member) {
	before := d.peers
	d.peers, d.order = map[string]*peer{}, nil
	for _, m := range present {
		p := before[m.Name]
		if p == nil || p.Incarnation != m.Incarnation {
			p = &peer{heardAt: -expiredAfter} // nothing was heard of this process
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
		p.pressure, p.heardAt = total, now
	}
}

// Choose decides on one arrival. g is this sidecar's pressure. A request that is forwarded is ended with Over.
func (d *Decider) Choose(now time.Duration, g *Gauge, r Request) (Choice, string) {
	d.tokens = min(d.tokens+maxForwardedFraction, burst)
	if !g.hot || d.tokens < 1 || len(d.order) == 0 {
		return Local, ""
	}
	// Where only this process is short, its site's others have what it lacks; where the site is, another site's have.
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

// Hot tells whether g's sidecar looks for others; then it has to ask them, see Ask.
func (g *Gauge) Hot() bool { return g.hot }

// Now is the pressure as of the latest sample.
func (g *Gauge) Now() message.Pressure { return g.now }

// PeersToQuery names up to n peers, by chance, whose pressure is to be asked for.
func (d *Decider) PeersToQuery(n int) (names []string) {
	for range min(n, len(d.order)) {
		names = append(names, d.order[d.rng.IntN(len(d.order))].Name)
	}
	return names
}

// Done ends a forwarded request. A peer that did not serve it, since it refused or broke off, counts as full until it is heard
// anew: it knows better than what was heard of it before, or is not there any more.
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

// weight is the load of the design's two choices, with pressure in latency's place.
func (d *Decider) weight(now time.Duration, p *peer) float64 {
	return d.effectivePressure(now, p) * float64(p.inFlight+1)
}

// effectivePressure is a peer's pressure now: the longer nothing was heard of it, the nearer to full.
func (d *Decider) effectivePressure(now time.Duration, p *peer) float64 {
	old := float64(now-p.heardAt-agingAfter) / float64(expiredAfter-agingAfter)
	return p.pressure + (1-p.pressure)*min(max(old, 0), 1)
}

// servedFraction is the share of requests that are answered within their aim at a pressure: all up to the knee, none where it is full.
func servedFraction(pressure float64) float64 { return 1 - max(0, pressure-knee)/(1-knee) }
