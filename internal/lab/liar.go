package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"mosslead/internal/gossip"
	"mosslead/internal/gossip/message"
	"mosslead/internal/lab/relay"
)

const (
	firstLiarNumber = 500 // liars are numbered from here on, beyond all sidecars
	lieInterval     = time.Second
	lieTTL          = 5 * time.Second
	lieFailures     = 9 // failed attempts that a liar reports and never made
)

// broadcastLies runs a liar: a member in a sidecar's zone, with links like that sidecar's, that reports again and again
// that upstreams never answer. The sidecars cannot distinguish it from a sidecar.
func (p *play) broadcastLies(s *sidecar, upstreams []*upstream, duration time.Duration) (err error) {
	if p.mesh == nil {
		return nil // sidecars share nothing
	}
	name, number := s.name+"-liar", firstLiarNumber+s.number
	if err := p.addLiar(s, name, number); err != nil {
		return err
	}
	member, err := gossip.Join(gossip.Config{Member: message.Member{Name: name, Site: s.zone, Version: "liar", Schema: message.Schema,
		Incarnation: message.Incarnation{StartedMs: time.Now().UnixMilli(), ID: rand.Uint64()}},
		Address: p.addrs.sidecar(number, peerPort), Advertise: p.addrs.sidecar(number, peerLinkPort), Seeds: p.seeds()})
	if err != nil {
		return fmt.Errorf("liar beside %s: %w", s.name, err)
	}
	defer func() { err = errors.Join(err, member.Leave()) }()
	for end := p.rec.Now() + duration; p.rec.Now() < end; {
		for _, u := range upstreams {
			p.mu.Lock()
			since := u.entry.SinceMs
			p.mu.Unlock()
			report := message.Report{Upstream: u.Name, StartedMs: since, State: message.Open, Evidence: message.Silence, Count: lieFailures}
			if err := member.Broadcast(message.Breaker, u.Name, report, lieTTL, false); err != nil {
				return fmt.Errorf("liar beside %s: %w", s.name, err)
			}
		}
		if !p.sleep(lieInterval) {
			break
		}
	}
	return nil
}

// addLiar adds a liar to the mesh, with links like those of the sidecar s.
func (p *play) addLiar(s *sidecar, name string, number int) error {
	if err := p.mesh.Add(name, p.addrs.sidecar(number, peerLinkPort), p.addrs.sidecar(number, peerPort), p.seed+uint64(number)); err != nil {
		return err
	}
	for _, other := range p.sidecars {
		base := p.peerLinkState(s.zone, other.zone)
		if err := errors.Join(p.mesh.Set(name, other.name, base), p.mesh.Set(other.name, name, base)); err != nil {
			return err
		}
	}
	return nil
}

// peerLinkState returns the state of an undisturbed link between sidecars of two zones.
func (p *play) peerLinkState(from, to string) relay.State {
	base := relay.State{Delay: p.experiment.Net.Same.Duration, Jitter: p.experiment.Net.Jitter.Duration}
	if from != to {
		base.Delay = p.experiment.Net.Cross.Duration
	}
	return base
}
