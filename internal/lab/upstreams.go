package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mosslead/internal/lab/experiment"
	"mosslead/internal/lab/fake"
	"mosslead/internal/lab/model"
	"mosslead/internal/lab/record"
	"mosslead/internal/lab/relay"
)

// upstream is a stand-in server with its place in the fleet.
type upstream struct {
	*fake.Upstream
	number  int
	entry   fake.Entry
	trouble *overlay[fake.Trouble]
	seed    uint64
	starts  uint64
	dead    bool // ended without deregistering; guarded by play.mu
}

// The independent random streams of a seed. Package load uses other numbers.
const (
	fleetStream = iota + 100
	faultStream
	termStream
)

// drawRange draws a value from a range.
func drawRange(r experiment.Range, rng *rand.Rand) float64 { return r[0] + (r[1]-r[0])*rng.Float64() }

// drawUpstreams draws the properties of the fleet's upstreams.
func drawUpstreams(e *experiment.Experiment, n int, seed uint64) (specs []model.Spec, entries []fake.Entry) {
	rng := rand.New(rand.NewPCG(seed, fleetStream))
	total := 0.0
	for _, k := range e.Kinds {
		total += k.Share
	}
	for i := range n {
		// The kinds are spread evenly by their shares, so that a small fleet has all of them.
		offset, kind := (float64(i%12)+0.5)/12*total, e.Kinds[0]
		for _, k := range e.Kinds {
			if kind = k; offset < k.Share {
				break
			}
			offset -= k.Share
		}
		spec := drawSpec(kind, e.Rules, rng)
		zone := e.Fleet.Zones[i%len(e.Fleet.Zones)]
		weight := spec.Capacity() * (1 + kind.WeightRough*(2*rng.Float64()-1))
		specs = append(specs, spec)
		entries = append(entries, fake.Entry{Name: fmt.Sprintf("u%d", i), Zone: zone, Type: kind.Name,
			Group: i%len(e.Fleet.Zones)*1000 + i/len(e.Fleet.Zones)/max(1, e.Fleet.CellSize), Status: fake.Ready, Weight: float64(int(weight*100)) / 100})
	}
	return specs, entries
}

func drawSpec(k experiment.Kind, r experiment.Rules, rng *rand.Rand) model.Spec {
	return model.Spec{
		Cores: k.Cores, Speed: drawRange(k.Speed, rng), SlotsPerCore: drawRange(k.Slots, rng), QueuePerCore: drawRange(k.Queue, rng),
		Thrash: drawRange(k.Thrash, rng), ThrashAt: drawRange(k.ThrashAt, rng),
		ColdFrom: drawRange(k.ColdFrom, rng), ColdFor: k.ColdFor.Duration, FallMultiple: r.FallMultiple, FallFor: r.Fall.Duration,
		PauseEvery: k.PauseEvery.Duration, PauseFor: k.PauseFor.Duration, ErrorShare: k.Errors,
		KeyGain: k.KeyGain, KeyFor: k.KeyFor.Duration, KeysPerCore: k.Keys,
		ConnsPerCore: k.Conns, Handshake: k.Handshake.Duration, HandshakeRTTs: k.RoundTrips, FullTax: k.FullTax, ProbeWork: k.ProbeWork.Duration,
		Choke: model.Choke{At: k.ChokeAt, Over: k.ChokeOver.Duration, Slower: k.ChokeSlower, Below: k.ChokeBelow,
			Rest: k.ChokeRest.Duration, Most: k.ChokeMost.Duration},
	}
}

// addUpstream adds a server to the fleet, with a link from each sidecar; it is not started yet.
func (p *play) addUpstream(spec model.Spec, entry fake.Entry) (*upstream, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := &upstream{number: len(p.upstreams), entry: entry, seed: p.seed*1_000_003 + uint64(len(p.upstreams))}
	p.setUpstreamNumber(entry.Name, u.number)
	u.Upstream = fake.NewUpstream(entry.Name, p.addrs.upstream(u.number), spec, p.rec, func() { p.handleFall(u) })
	u.trouble = newOverlay(fake.Trouble{}, u.Set)
	p.upstreams = append(p.upstreams, u)
	p.rec.Zones[entry.Name] = entry.Zone
	for _, s := range p.sidecars {
		if err := p.addLink(s, u); err != nil {
			return nil, err
		}
	}
	return u, nil
}

// addLink opens the link from a sidecar to an upstream; the caller holds mu.
func (p *play) addLink(s *sidecar, u *upstream) error {
	net := p.experiment.Net
	base := relay.State{Delay: net.Same.Duration, Jitter: net.Jitter.Duration}
	if s.zone != u.entry.Zone {
		base.Delay = net.Cross.Duration
	}
	base.Setup = time.Duration(2 * u.Spec.HandshakeRTTs * float64(base.Delay))
	l, err := relay.New(s.name, u.Name, p.addrs.link(s.number, u.number), p.addrs.upstream(u.number), u.Ended)
	if err != nil {
		return err
	}
	l.OnBegin(func(dialled string) { u.Began(dialled, s.name) })
	o := newOverlay(base, func(state relay.State) { p.note(l.Set(state)) })
	o.apply()
	s.links[u.Name] = &link{l, o}
	return nil
}

// startUpstream starts a process of the upstream, and lets the links to it take connections.
func (p *play) startUpstream(u *upstream, cold bool) error {
	p.mu.Lock()
	u.starts++
	u.dead = false
	p.mu.Unlock()
	if err := u.Start(u.seed+u.starts*7919, cold); err != nil {
		return err
	}
	p.eachLink(u, func(o *overlay[relay.State]) { o.remove("down") })
	return nil
}

// killUpstream kills the upstream's process: its connections are reset, and new ones refused.
func (p *play) killUpstream(u *upstream) {
	p.eachLink(u, func(o *overlay[relay.State]) { o.add("down", func(s *relay.State) { s.Reset = true }) })
	u.Kill()
}

// handleFall is called when overload has made the upstream fall: it stays down, and discovery notices.
func (p *play) handleFall(u *upstream) {
	p.killUpstream(u)
	p.markDead(u)
	p.setStatusAfter(p.experiment.Discovery.Notice.Duration, u, fake.Gone)
}

// eachLink calls f for the link from each sidecar to the upstream.
func (p *play) eachLink(u *upstream, f func(*overlay[relay.State])) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sidecars {
		if l := s.links[u.Name]; l != nil {
			f(l.overlay)
		}
	}
}

// markDead records that the upstream died or was cut off without deregistering, and ends the renewal of its lease.
func (p *play) markDead(u *upstream) {
	p.mu.Lock()
	u.dead = true
	p.mu.Unlock()
	if p.service != nil {
		p.service.registrar.Silence(u.Name)
	}
}

// setStatus changes the upstream's entry in the list. The list service does not hear of one that died without
// deregistering: its lease expires.
func (p *play) setStatus(u *upstream, status string, restarted bool) {
	p.mu.Lock()
	u.entry.Status = status
	if restarted {
		u.entry.SinceMs = time.Now().UnixMilli()
	}
	e, dead := u.entry, u.dead
	p.mu.Unlock()
	if !dead {
		p.rec.List(record.Listed{At: p.rec.Now(), Upstream: e.Name, Usable: status == fake.Ready})
	}
	if p.service != nil && !dead {
		p.register(u, e)
	}
	p.discovery.Change(e)
}

// setStatusAfter changes the status after a time, unless the play ends before.
func (p *play) setStatusAfter(after time.Duration, u *upstream, status string) {
	p.background(func() {
		if p.sleep(after) {
			p.setStatus(u, status, false)
		}
	})
}
