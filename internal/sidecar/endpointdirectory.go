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

// listing is one message of discovery: the complete list, or the changes since the previous message.
type listing struct {
	Revision  *int64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

// endpoint is one entry of a listing, with the field names of the protocol.
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

// clock is the only clock of the sidecar. It is monotonic, and starts at clockStart, so that the start times of upstreams that
// started shortly before this process are above 0; 0 means long ago.
type clock struct{ start time.Time }

const clockStart = time.Hour

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Duration { return clockStart + time.Since(c.start) }

// fromUnixMs converts a Unix time in milliseconds to a time of this clock; it returns 0 unless ms is above 0.
func (c clock) fromUnixMs(ms float64) time.Duration {
	if !(ms > 0) {
		return 0
	}
	return max(0, clockStart+time.UnixMilli(int64(min(ms, 1e15))).Sub(c.start))
}

// maxRemoved is the number of upstreams that are remembered after their removal from the list, so that operators can ban one
// that is restarting.
const maxRemoved = 256

// endpointDirectory holds the addresses of upstreams, whether they accept requests, and which are banned. The watcher
// updates it as soon as a message is received, before the dispatcher gets the update. So a request for which the balancer has
// already chosen an upstream is not sent if that upstream has meanwhile been removed, drained or banned. It is safe for
// concurrent use.
type endpointDirectory struct {
	clock  clock
	onDrop func(name string) // called when an upstream's connections may no longer be used

	mu           sync.RWMutex
	listRevision int64               // revision of the list
	entries      map[string]endpoint // by name; includes draining upstreams
	counted      int                 // number of entries that were reported to onResize
	onResize     func(added int)     // called with the change in the number of entries; may be nil
	banned       map[string]bool     // names of upstreams that an operator has banned, listed or not
	removed      []string            // names removed from the list, the latest last; up to maxRemoved
}

// endpointAddress identifies one process of an upstream: connections to an earlier process can no longer be used.
type endpointAddress struct {
	address string
	sinceMs float64
}

func newEndpointDirectory(c clock, onDrop func(string)) *endpointDirectory {
	return &endpointDirectory{clock: c, onDrop: onDrop, entries: map[string]endpoint{}, banned: map[string]bool{}}
}

// readyAddress returns the address of a ready entry, or the zero address if it is not ready.
func (e endpoint) readyAddress() endpointAddress {
	if e.Status != statusReady {
		return endpointAddress{}
	}
	return endpointAddress{e.Address, e.StartedMs}
}

// apply applies a message, calls onDrop for each upstream whose address has changed, and returns the update for the
// balancer.
func (d *endpointDirectory) apply(l *listing) balancer.EndpointUpdate {
	update := balancer.EndpointUpdate{Kind: balancer.Delta, Endpoints: make([]balancer.Endpoint, 0, len(l.Endpoints))}
	d.mu.Lock()
	d.listRevision = *l.Revision
	previous := map[string]endpoint{}
	if l.Snapshot {
		update.Kind = balancer.FullState
		previous, d.entries = d.entries, map[string]endpoint{}
	}
	for _, e := range l.Endpoints {
		if old, listed := d.entries[e.Name]; listed {
			previous[e.Name] = old
		}
		if e.Status == statusReady || e.Status == statusTerminating {
			d.entries[e.Name] = e
		} else {
			delete(d.entries, e.Name)
		}
		update.Endpoints = append(update.Endpoints, d.balancerEndpoint(e))
	}
	var dropped []string
	for name, old := range previous {
		current, listed := d.entries[name]
		if current.readyAddress() != old.readyAddress() {
			dropped = append(dropped, name)
		}
		if !listed {
			d.removed = append(slices.DeleteFunc(d.removed, func(x string) bool { return x == name }), name)
		}
	}
	d.removed = slices.Delete(d.removed, 0, max(0, len(d.removed)-maxRemoved))
	added := len(d.entries) - d.counted
	d.counted = len(d.entries)
	d.mu.Unlock()
	if d.onResize != nil {
		d.onResize(added)
	}
	for _, name := range dropped {
		d.onDrop(name)
	}
	return update
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
	update := balancer.EndpointUpdate{Kind: balancer.Cached}
	for _, e := range d.fullList().Endpoints {
		update.Endpoints = append(update.Endpoints, d.balancerEndpoint(e))
	}
	return update
}

// fullList returns the present list.
func (d *endpointDirectory) fullList() *listing {
	d.mu.RLock()
	defer d.mu.RUnlock()
	revision := d.listRevision
	l := &listing{Revision: &revision, Snapshot: true}
	for _, name := range slices.Sorted(maps.Keys(d.entries)) {
		l.Endpoints = append(l.Endpoints, d.entries[name])
	}
	return l
}

// revision returns the list's revision and its number of entries.
func (d *endpointDirectory) revision() (revision int64, entries int) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.listRevision, len(d.entries)
}

// ban bans an upstream on behalf of an operator, or lifts the ban if cleared is set. It reports whether the name is known. A
// ban also stops requests that are already being dispatched: upstreamConn checks it before it writes a request.
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

// setBan bans an upstream, or lifts the ban, without the check of the name, which another process of this sidecar may have
// made.
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

// countUnavailable returns the number of listed upstreams, and how many of them are banned or ejected.
func (d *endpointDirectory) countUnavailable(ejected []string) (listed, unavailable int) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for name := range d.entries {
		if d.banned[name] || slices.Contains(ejected, name) {
			unavailable++
		}
	}
	return len(d.entries), unavailable
}

// address returns the address at which an upstream accepts requests, and reports whether there is one; there is none while
// it drains, and if it is removed or banned.
func (d *endpointDirectory) address(name string) (endpointAddress, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	address := d.entries[name].readyAddress()
	return address, address != endpointAddress{} && !d.banned[name]
}

// zone returns the zone of a ready upstream, or "gone" if it is not ready.
func (d *endpointDirectory) zone(name string) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if e := d.entries[name]; e.Status == statusReady {
		return e.Zone
	}
	return "gone"
}

// incarnation returns the start time and the zone of an upstream, as listed, and reports whether it is listed.
func (d *endpointDirectory) incarnation(name string) (sinceMs int64, zone string, listed bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, listed := d.entries[name]
	return int64(e.StartedMs), e.Zone, listed
}

// incarnations returns the ready upstreams, as the tracker of the circuit breakers identifies them.
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

// ready reports whether an upstream accepts requests at that address.
func (d *endpointDirectory) ready(name string, address endpointAddress) bool {
	current, ok := d.address(name)
	return ok && current == address
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
