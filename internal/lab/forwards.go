package lab

import (
	"net/http"
	"slices"

	"mosslead/internal/lab/experiment"
	"mosslead/internal/lab/record"
	"mosslead/internal/lab/relay"
)

const forwardStream = 78 // of what is drawn on the links of forwarded work

// newForwardMesh is the links for forwarded work. What is seen of it is seen here, on the way: no sidecar is asked.
func (p *play) newForwardMesh() *relay.Mesh {
	m := relay.NewMesh()
	m.Hear(func(from, to string, r *http.Request) {
		p.rec.Hop(record.Hop{At: p.rec.Now(), Request: r.Header.Get("X-Request-ID"), From: from, To: to})
	})
	return m
}

// addForwards gives a sidecar links for forwarded work from and to all that are there; the caller holds mu.
func (p *play) addForwards(s *sidecar) error {
	if p.forwards == nil {
		return nil
	}
	return p.forwards.Add(s.name, p.addrs.sidecar(s.number, forwardLinkPort), p.addrs.sidecar(s.number, forwardPort),
		p.seed*1_000_003+uint64(s.number)+forwardStream)
}

// newPeerLink is the link from one sidecar to another, for what they tell each other and for what they forward.
func (p *play) newPeerLink(from, to string, base relay.State) *overlay[relay.State] {
	return newOverlay(base, func(state relay.State) {
		p.note(p.mesh.Set(from, to, state))
		if p.forwards != nil {
			p.note(p.forwards.Set(from, to, state))
		}
	})
}

// forwardConfig word where a sidecar takes forwarded work.
func (p *play) forwardConfig(s *sidecar) map[string]any {
	if p.forwards == nil {
		return nil
	}
	return map[string]any{"forward": p.addrs.sidecar(s.number, forwardPort), "forward_advertise": p.addrs.sidecar(s.number, forwardLinkPort)}
}

// sidecarsInZone are the numbers of a zone's sidecars; of no zone, none.
func sidecarsInZone(e *experiment.Experiment, zone string) (of []int) {
	at := slices.Index(e.Fleet.Zones, zone)
	for i := range e.Fleet.Sidecars {
		if zone != "" && i%len(e.Fleet.Zones) == at {
			of = append(of, i)
		}
	}
	return of
}
