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
	peerStream = 77 // the random stream of the losses between sidecars
)

// addPeer links a sidecar with all sidecars added before, both ways; the caller holds mu.
func (p *play) addPeer(s *sidecar) error {
	err := p.mesh.Add(s.name, p.addrs.sidecar(s.number, peerLinkPort), p.addrs.sidecar(s.number, peerPort), p.seed*1_000_003+uint64(s.number)+peerStream)
	if err != nil {
		return err
	}
	if err := p.addForwards(s); err != nil {
		return err
	}
	s.peers = map[string]*overlay[relay.State]{}
	for _, other := range p.sidecars {
		base := p.peerLinkState(s.zone, other.zone)
		s.peers[other.name] = p.newPeerLink(s.name, other.name, base)
		other.peers[s.name] = p.newPeerLink(other.name, s.name, base)
		s.peers[other.name].apply()
		other.peers[s.name].apply()
	}
	return nil
}

// peerConfig returns a sidecar's configuration for sharing. It holds the sidecar's own address, and the other
// sidecars' addresses on their links.
func (p *play) peerConfig(s *sidecar) map[string]any {
	config := map[string]any{"address": p.addrs.sidecar(s.number, peerPort), "advertise": p.addrs.sidecar(s.number, peerLinkPort), "seeds": p.seeds(), "zone": s.zone}
	if p.service != nil {
		var addresses []string
		for _, r := range p.service.replicas {
			addresses = append(addresses, p.addrs.replica(r.number, replicaAPIPort))
		}
		config["service"] = strings.Join(addresses, ",")
	}
	maps.Copy(config, p.forwardConfig(s))
	return config
}

// seeds returns the addresses by which sidecars join: one of each zone.
func (p *play) seeds() (addresses []string) {
	for i := range min(len(p.experiment.Fleet.Zones), p.experiment.Fleet.Sidecars) {
		addresses = append(addresses, p.addrs.sidecar(i, peerLinkPort))
	}
	return addresses
}

// peerLinksOf returns the links from the event's sidecars to those in 'to'. If 'to' holds other sidecars too, only
// the links to these are returned: a cut is then between the event's sidecars and the others, and not among the
// event's sidecars.
func (p *play) peerLinksOf(ev *event) (links []*overlay[relay.State]) {
	hasOthers := slices.ContainsFunc(ev.toSidecars, func(other *sidecar) bool { return !slices.Contains(ev.sidecars, other) })
	for _, s := range ev.sidecars {
		for _, other := range ev.toSidecars {
			if link := s.peers[other.name]; link != nil && (!hasOthers || !slices.Contains(ev.sidecars, other)) {
				links = append(links, link)
			}
		}
	}
	return links
}

// readLogs records what the sidecars' logs say about upstreams, once the sidecars have ended.
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
			if line, ok := parseLogLine(lines.Bytes(), p.rec); ok {
				line.Sidecar = s.name
				p.rec.Said = append(p.rec.Said, line)
			}
		}
		p.note(lines.Err())
		_ = f.Close()
	}
	slices.SortStableFunc(p.rec.Said, func(a, b record.Said) int { return cmp.Compare(a.At, b.At) })
}

var saidKinds = map[string]record.SaidKind{"report": record.Evidence, "verdict": record.Verdict, "present": record.Present}

// parseEjection reads a log line about the ejection or reinstatement of an upstream for all classes; ok is false for
// any other line. Sidecars of earlier revisions, which experiments compare with, name the upstream in the message:
// "eject u0: ...", "return u0 after ...".
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

// parseLogLine parses one line of a sidecar's log. It reports false for a line that is not about upstreams or peers.
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
	kind, ok := saidKinds[l.Msg]
	if !ok {
		return record.Said{}, false
	}
	return record.Said{At: rec.Since(l.Time), What: kind, Upstream: l.Upstream, Class: l.Class, Open: l.Open, Members: l.Members, Suspected: l.Msg == "report" && l.Count == 1,
		For: time.Duration(l.ForMs) * time.Millisecond, Why: l.Why}, true
}
