package lab

import (
	"net/http"
	"slices"

	"mosslead/internal/lab/experiment"
	"mosslead/internal/lab/record"
	"mosslead/internal/lab/relay"
)

const forwardStream = 78 // the random stream of the links for forwarded requests

// newForwardMesh returns the links for forwarded requests. They record each hop themselves: no sidecar is asked.
func (p *play) newForwardMesh() *relay.Mesh {
	m := relay.NewMesh()
	m.Hear(func(from, to string, r *http.Request) {
		p.rec.Hop(record.Hop{At: p.rec.Now(), Request: r.Header.Get("X-Request-ID"), From: from, To: to})
	})
	return m
}

// addForwards links a sidecar, for forwarded requests, with all sidecars added before; the caller holds mu.
func (p *play) addForwards(s *sidecar) error {
	if p.forwards == nil {
		return nil
	}
	return p.forwards.Add(s.name, p.addrs.sidecar(s.number, forwardLinkPort), p.addrs.sidecar(s.number, forwardPort),
		p.seed*1_000_003+uint64(s.number)+forwardStream)
}

// newPeerLink returns the link from one sidecar to another, for what they share and for what they forward.
func (p *play) newPeerLink(from, to string, base relay.State) *overlay[relay.State] {
	return newOverlay(base, func(state relay.State) {
		p.note(p.mesh.Set(from, to, state))
		if p.forwards != nil {
			p.note(p.forwards.Set(from, to, state))
		}
	})
}

// forwardConfig returns the configuration keys for forwarded requests; nil if sidecars forward nothing.
func (p *play) forwardConfig(s *sidecar) map[string]any {
	if p.forwards == nil {
		return nil
	}
	return map[string]any{"forward": p.addrs.sidecar(s.number, forwardPort), "forward_advertise": p.addrs.sidecar(s.number, forwardLinkPort)}
}

// sidecarsInZone returns the numbers of a zone's sidecars; nil if the zone is empty.
func sidecarsInZone(e *experiment.Experiment, zone string) (numbers []int) {
	index := slices.Index(e.Fleet.Zones, zone)
	for i := range e.Fleet.Sidecars {
		if zone != "" && i%len(e.Fleet.Zones) == index {
			numbers = append(numbers, i)
		}
	}
	return numbers
}
