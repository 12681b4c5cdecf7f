package sidecar

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"mosslead/balancer"
	"mosslead/internal/circuitbreaker"
)

// listing is one message of discovery: the whole list, or the changes since the message before.
type listing struct {
	Revision  *int64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

// endpoint is one entry of a listing, in the field names of the protocol.
type endpoint struct {
	Name      string  `json:"name"`
	Address   string  `json:"address"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"type"`
	Cell      int     `json:"group"`
	Status    string  `json:"status"`
	StartedMs float64 `json:"since_ms"`
	Weight    float64 `json:"weight"`
}

const (
	statusReady       = "Ready"
	statusTerminating = "Terminating"
	statusRemoved     = "Gone"
)

// parseListing decodes a message. It rejects incomplete ones, so that part of a message never replaces a good list.
func parseListing(text []byte) (*listing, error) {
	l := &listing{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, err
	}
	if err := l.check(); err != nil {
		return nil, err
	}
	return l, nil
}

// check returns an error for a message that must not be applied.
func (l *listing) check() error {
	if l.Revision == nil {
		return errors.New("no index")
	}
	for _, e := range l.Endpoints {
		if e.Name == "" || e.Status == "" {
			return errors.New("an endpoint without name or status")
		}
		if e.Status == statusReady {
			if err := checkAddress(e.Address); err != nil {
				return fmt.Errorf("endpoint %s: address: %w", e.Name, err)
			}
		}
	}
	return nil
}

// clock is the sidecar's one clock. It is monotonic, and starts at clockStart, so that upstreams which started shortly
// before this process have times above 0; 0 stands for long ago.
type clock struct{ start time.Time }

const clockStart = time.Hour

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Duration { return clockStart + time.Since(c.start) }

// fromUnixMs converts a wall-clock time in milliseconds; 0 stays 0.
func (c clock) fromUnixMs(ms float64) time.Duration {
	if !(ms > 0) {
		return 0
	}
	return max(0, clockStart+time.UnixMilli(int64(min(ms, 1e15))).Sub(c.start))
}

// maxRemoved is how many upstreams that left the list stay known, so that operators can ban one that is restarting.
const maxRemoved = 256

// endpointDirectory holds the addresses of upstreams, whether they accept requests, and which are banned. The watcher
// updates it as soon as a message is received, ahead of the dispatcher, so that a request to a server that has been
// removed, drained or banned since the decision is still stopped at its write. Safe for concurrent use.
type endpointDirectory struct {
	clock  clock
	onDrop func(name string) // an upstream's connections are no longer wanted

	mu           sync.RWMutex
	listRevision int64               // revision of the list
	entries      map[string]endpoint // the list, including draining upstreams
	banned       map[string]bool     // by an operator, whatever the list says
	removed      []string            // from the list; the latest last, at most maxRemoved
}

// endpointAddress identifies one process of an upstream: connections to an earlier process can't be used.
type endpointAddress struct {
	address string
	sinceMs float64
}

func newEndpointDirectory(c clock, onDrop func(string)) *endpointDirectory {
	return &endpointDirectory{clock: c, onDrop: onDrop, entries: map[string]endpoint{}, banned: map[string]bool{}}
}

// readyAddress returns the address of a ready entry, and the zero address of any other.
func (e endpoint) readyAddress() endpointAddress {
	if e.Status != statusReady {
		return endpointAddress{}
	}
	return endpointAddress{e.Address, e.StartedMs}
}

// apply applies a message, calls onDrop for each upstream whose address has changed, and returns the update for the
// balancer.
func (d *endpointDirectory) apply(l *listing) balancer.EndpointUpdate {
	m := balancer.EndpointUpdate{Kind: balancer.Delta, Endpoints: make([]balancer.Endpoint, 0, len(l.Endpoints))}
	d.mu.Lock()
	d.listRevision = *l.Revision
	before := map[string]endpoint{}
	if l.Snapshot {
		m.Kind = balancer.FullState
		before, d.entries = d.entries, map[string]endpoint{}
	}
	for _, e := range l.Endpoints {
		if old, listed := d.entries[e.Name]; listed {
			before[e.Name] = old
		}
		if e.Status == statusReady || e.Status == statusTerminating {
			d.entries[e.Name] = e
		} else {
			delete(d.entries, e.Name)
		}
		m.Endpoints = append(m.Endpoints, d.balancerEndpoint(e))
	}
	var dropped []string
	for name, old := range before {
		now, listed := d.entries[name]
		if now.readyAddress() != old.readyAddress() {
			dropped = append(dropped, name)
		}
		if !listed {
			d.removed = append(slices.DeleteFunc(d.removed, func(x string) bool { return x == name }), name)
		}
	}
	d.removed = slices.Delete(d.removed, 0, max(0, len(d.removed)-maxRemoved))
	d.mu.Unlock()
	for _, name := range dropped {
		d.onDrop(name)
	}
	return m
}

// balancerEndpoint translates an entry for the balancer.
func (d *endpointDirectory) balancerEndpoint(e endpoint) balancer.Endpoint {
	m := balancer.Endpoint{Upstream: e.Name, Zone: e.Zone, Machine: e.Machine, Cell: e.Cell, State: balancer.Removed,
		StartedAt: d.clock.fromUnixMs(e.StartedMs), Weight: e.Weight}
	switch e.Status {
	case statusReady:
		m.State = balancer.Active
	case statusTerminating:
		m.State = balancer.Draining
	}
	return m
}

// cachedUpdate returns the present list as an update for the balancer.
func (d *endpointDirectory) cachedUpdate() balancer.EndpointUpdate {
	m := balancer.EndpointUpdate{Kind: balancer.Cached}
	for _, e := range d.fullList().Endpoints {
		m.Endpoints = append(m.Endpoints, d.balancerEndpoint(e))
	}
	return m
}

// fullList returns the present list.
func (d *endpointDirectory) fullList() *listing {
	d.mu.RLock()
	defer d.mu.RUnlock()
	index := d.listRevision
	l := &listing{Revision: &index, Snapshot: true}
	for _, name := range slices.Sorted(maps.Keys(d.entries)) {
		l.Endpoints = append(l.Endpoints, d.entries[name])
	}
	return l
}

// revision returns the list's revision and its number of entries.
func (d *endpointDirectory) revision() (index int64, entries int) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.listRevision, len(d.entries)
}

// ban bans an upstream on behalf of an operator, or with cleared lifts the ban; it returns false for an unknown name. A ban
// also stops requests that were decided on before: upstreamConn checks it at the write.
func (d *endpointDirectory) ban(name string, cleared bool) bool {
	d.mu.Lock()
	_, known := d.entries[name]
	known = known || d.banned[name] || slices.Contains(d.removed, name)
	d.mu.Unlock()
	if known {
		d.setBan(name, cleared)
	}
	return known
}

// setBan is ban without the check of the name, which another process of this sidecar may have made.
func (d *endpointDirectory) setBan(name string, cleared bool) {
	d.mu.Lock()
	if cleared {
		delete(d.banned, name)
	} else {
		d.banned[name] = true
	}
	d.mu.Unlock()
	if !cleared {
		d.onDrop(name)
	}
}

// bans returns the names of the banned upstreams, in order.
func (d *endpointDirectory) bans() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Sorted(maps.Keys(d.banned))
}

// countUnavailable returns the number of listed upstreams, and of those that are banned or among the ejected.
func (d *endpointDirectory) countUnavailable(ejected []string) (listed, avoided int) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for name := range d.entries {
		if d.banned[name] || slices.Contains(ejected, name) {
			avoided++
		}
	}
	return len(d.entries), avoided
}

// address returns where an upstream takes requests now; false while it drains, is removed or is banned.
func (d *endpointDirectory) address(name string) (endpointAddress, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	at := d.entries[name].readyAddress()
	return at, at != endpointAddress{} && !d.banned[name]
}

// zone returns the zone of a ready upstream, or "gone".
func (d *endpointDirectory) zone(name string) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if e := d.entries[name]; e.Status == statusReady {
		return e.Zone
	}
	return "gone"
}

// incarnation returns when a listed upstream started, as listed, and its zone.
func (d *endpointDirectory) incarnation(name string) (sinceMs int64, zone string, listed bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, listed := d.entries[name]
	return int64(e.StartedMs), e.Zone, listed
}

// incarnations returns the ready upstreams, as the breaker tracker identifies them.
func (d *endpointDirectory) incarnations() []circuitbreaker.Upstream {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := make([]circuitbreaker.Upstream, 0, len(d.entries))
	for name, e := range d.entries {
		if e.Status == statusReady {
			all = append(all, circuitbreaker.Upstream{Name: name, Site: e.Zone, StartedMs: int64(e.StartedMs)})
		}
	}
	return all
}

// sites returns the sites of the listed upstreams, in order.
func (d *endpointDirectory) sites() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := map[string]bool{}
	for _, e := range d.entries {
		if e.Zone != "" {
			all[e.Zone] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// ready reports whether an upstream takes requests at that address.
func (d *endpointDirectory) ready(name string, at endpointAddress) bool {
	now, ok := d.address(name)
	return ok && now == at
}

// empty reports whether no upstream is ready.
func (d *endpointDirectory) empty() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, e := range d.entries {
		if e.Status == statusReady {
			return false
		}
	}
	return true
}
