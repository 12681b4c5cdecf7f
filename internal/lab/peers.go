package lab

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"mosslead/internal/lab/record"
	"mosslead/internal/lab/relay"
)

const (
	maxLogLine = 64 << 10
	peerStream = 77 // of what is lost between sidecars
)

// addPeer puts a sidecar among those that share, with links to all that are there; the caller holds mu.
func (p *play) addPeer(s *sidecar) error {
	err := p.mesh.Add(s.name, p.addrs.sidecar(s.number, peerLinkPort), p.addrs.sidecar(s.number, peerPort), p.seed*1_000_003+uint64(s.number)+peerStream)
	if err != nil {
		return err
	}
	if err := p.addForwards(s); err != nil {
		return err
	}
	s.peers = map[string]*overlay[relay.State]{}
	for _, o := range p.sidecars {
		base := p.peerLinkState(s.zone, o.zone)
		s.peers[o.name] = p.newPeerLink(s.name, o.name, base)
		o.peers[s.name] = p.newPeerLink(o.name, s.name, base)
		s.peers[o.name].apply()
		o.peers[s.name].apply()
	}
	return nil
}

// peerConfig words what a sidecar is told of the others. Each knows its own address, and the others by their links.
func (p *play) peerConfig(s *sidecar) map[string]any {
	c := map[string]any{"address": p.addrs.sidecar(s.number, peerPort), "advertise": p.addrs.sidecar(s.number, peerLinkPort), "seeds": p.seeds(), "zone": s.zone}
	if p.service != nil {
		var at []string
		for _, r := range p.service.replicas {
			at = append(at, p.addrs.replica(r.number, replicaAPIPort))
		}
		c["service"] = strings.Join(at, ",")
	}
	maps.Copy(c, p.forwardConfig(s))
	return c
}

// seeds are the addresses of those that the others join by: one of each zone.
func (p *play) seeds() (at []string) {
	for i := range min(len(p.experiment.Fleet.Zones), p.experiment.Fleet.Sidecars) {
		at = append(at, p.addrs.sidecar(i, peerLinkPort))
	}
	return at
}

// peerLinksOf are the links from the chosen sidecars to those in 'to'. Where these are others too, a cut is between the chosen
// and the others, and not among the chosen.
func (p *play) peerLinksOf(ev *event) (all []*overlay[relay.State]) {
	others := slices.ContainsFunc(ev.toSidecars, func(o *sidecar) bool { return !slices.Contains(ev.sidecars, o) })
	for _, s := range ev.sidecars {
		for _, o := range ev.toSidecars {
			if l := s.peers[o.name]; l != nil && (!others || !slices.Contains(ev.sidecars, o)) {
				all = append(all, l)
			}
		}
	}
	return all
}

// readLogs takes from the sidecars' logs what they said of upstreams, once they have ended.
func (p *play) readLogs() {
	for _, s := range p.sidecars {
		f, err := os.Open(filepath.Join(s.dir, "log"))
		if err != nil {
			p.note(fmt.Errorf("log of %s: %w", s.name, err))
			continue
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, maxLogLine)
		for lines.Scan() {
			if said, ok := parseLogLine(lines.Bytes(), p.rec); ok {
				said.Sidecar = s.name
				p.rec.Said = append(p.rec.Said, said)
			}
		}
		p.note(lines.Err())
		_ = f.Close()
	}
	slices.SortStableFunc(p.rec.Said, func(a, b record.Said) int { return cmp.Compare(a.At, b.At) })
}

var saidKinds = map[string]record.SaidKind{"report": record.Evidence, "verdict": record.Verdict, "present": record.Present}

// parseEjection reads a sidecar's line on the parseEjection or reinstatement of an upstream, for all classes; not ok: it is on something else.
// Sidecars of earlier revisions, which experiments compare with, name the upstream in the message: "eject u0: ...", "return u0 after ...".
func parseEjection(message, upstreamAttr string) (upstream string, ejected, ok bool) {
	switch message {
	case "endpoint ejected":
		return upstreamAttr, true, true
	case "endpoint reinstated":
		return upstreamAttr, false, true
	}
	words := strings.Fields(message)
	if len(words) > 2 && words[2] != "for" && (words[0] == "eject" || words[0] == "return") {
		return strings.TrimSuffix(words[1], ":"), words[0] == "eject", true
	}
	return "", false, false
}

// parseLogLine reads a line of a log; not ok: it is on something else.
func parseLogLine(line []byte, rec *record.Record) (record.Said, bool) {
	var l struct {
		Time      time.Time
		Msg       string
		Component string
		Upstream  string
		Class     string
		Open      bool
		Members   int
		Count     int
		ForMs     int64 `json:"for_ms"`
		Why       string
	}
	if json.Unmarshal(line, &l) != nil {
		return record.Said{}, false
	}
	if l.Component == "decisions" {
		upstream, ejected, ok := parseEjection(l.Msg, l.Upstream)
		return record.Said{At: rec.Since(l.Time), What: record.Evidence, Upstream: upstream, Open: ejected}, ok
	}
	if l.Component != "peers" {
		return record.Said{}, false
	}
	what, heard := saidKinds[l.Msg]
	if !heard {
		return record.Said{}, false
	}
	return record.Said{At: rec.Since(l.Time), What: what, Upstream: l.Upstream, Class: l.Class, Open: l.Open, Members: l.Members, Suspected: l.Msg == "report" && l.Count == 1,
		For: time.Duration(l.ForMs) * time.Millisecond, Why: l.Why}, true
}
