package balancer

import (
	"maps"
	"math"
	"slices"
	"time"
)

// endpoint is the state of one process of an upstream. A restart creates a new endpoint.
type endpoint struct {
	id, zone string
	machine  string // kind of machine
	cell     int
	weight   float64 // stated capacity, relative to the others'
	listed   bool    // active in the endpoint list
	banned   bool
	// startedAt is the clock time of its start, as stated in the list; 0: long ago.
	startedAt time.Duration

	inFlight       []*attempt   // attempts without a result, the oldest first
	latency        peakEWMA     // see ewma.go
	machineLatency *float64     // mean of its kind of machine, see latency.go
	health         health       // see outlier.go
	slowStart      slowStart    // see slowstart.go
	gossip         *gossipState // what is shared with other sidecars, see evidence.go; nil if nothing is
}

// endpointTable holds the endpoints of the list and the operators' bans.
type endpointTable struct {
	byID map[string]*endpoint
	// order holds the endpoints in a random order, which differs between sidecars. The subset is taken from its
	// beginning.
	order []*endpoint

	localCount int // endpoints in the local zone
	zoneCount  int // zones of all endpoints, including the local zone
	// recentSize is the recent maximum of the number of endpoints. It decays with the time constant of the
	// offered load, see slowStartRate.
	recentSize   float64
	recentSizeAt time.Duration

	banned               map[string]bool          // by endpoint ID
	banClearedAt         map[string]time.Duration // time of clearing, needed until the endpoint has warmed up
	awaitingFirstRequest map[string]bool          // endpoints that were sent nothing since their ban was cleared
}

func newEndpointTable() endpointTable {
	return endpointTable{
		byID:                 map[string]*endpoint{},
		banned:               map[string]bool{},
		banClearedAt:         map[string]time.Duration{},
		awaitingFirstRequest: map[string]bool{},
	}
}

// localityCount returns the number of local or of remote endpoints.
func (t *endpointTable) localityCount(local bool) int {
	if local {
		return t.localCount
	}
	return len(t.order) - t.localCount
}

// removeUnlisted removes the endpoints that are not active in the list.
func (t *endpointTable) removeUnlisted() {
	t.order = slices.DeleteFunc(t.order, func(ep *endpoint) bool {
		if !ep.listed {
			delete(t.byID, ep.id)
		}
		return !ep.listed
	})
}

// updateCounts updates the numbers of endpoints and zones.
func (t *endpointTable) updateCounts(localZone string, now time.Duration) {
	zones := map[string]bool{localZone: true}
	t.localCount = 0
	for _, ep := range t.order {
		zones[ep.zone] = true
		if ep.zone == localZone {
			t.localCount++
		}
	}
	t.zoneCount = len(zones)
	decayed := t.recentSize * math.Exp(-float64(now-t.recentSizeAt)/float64(offeredTimeConstant))
	t.recentSize, t.recentSizeAt = max(float64(len(t.order)), decayed), now
}

// allBanned reports whether there are endpoints and all of them are banned.
func (t *endpointTable) allBanned() bool {
	return len(t.order) > 0 && !slices.ContainsFunc(t.order, func(ep *endpoint) bool { return !ep.banned })
}

// forgetClearedBans removes the cleared bans of endpoints that have warmed up since.
func (t *endpointTable) forgetClearedBans(now, slowStartWindow time.Duration) {
	maps.DeleteFunc(t.banClearedAt, func(_ string, at time.Duration) bool { return now-at > slowStartWindow })
	maps.DeleteFunc(t.awaitingFirstRequest, func(id string, _ bool) bool { return t.banClearedAt[id] == 0 })
}

// onEndpointUpdate applies an update of the endpoint list.
func (b *Balancer) onEndpointUpdate(e EndpointUpdate) {
	if e.Kind == WatchFailed {
		b.onWatchFailed()
		return
	}
	b.onWatchUpdate()
	if e.Kind != Delta {
		for _, ep := range b.endpoints.order {
			ep.listed = false
		}
	}
	for _, entry := range e.Endpoints {
		b.applyEndpoint(entry)
	}
	b.endpoints.removeUnlisted()
	b.endpoints.updateCounts(b.settings.Zone, b.now)
	if e.Kind == Cached && b.settings.MustSubscribe && b.discovery.needsSubscribe() {
		b.subscribe()
	}
}

func (b *Balancer) applyEndpoint(entry Endpoint) {
	ep := b.endpoints.byID[entry.Upstream]
	if entry.State != Active {
		if ep != nil {
			ep.listed = false
		}
		return
	}
	if ep == nil || ep.startedAt != entry.StartedAt {
		ep = b.replaceEndpoint(ep, entry)
	}
	ep.listed, ep.zone, ep.cell, ep.weight = true, entry.Zone, entry.Cell, 1
	if entry.Weight > 0 && !math.IsInf(entry.Weight, 0) {
		ep.weight = entry.Weight
	}
}

// replaceEndpoint inserts an endpoint for a newly started process, in the place of the old endpoint or, if
// that is nil, in a random place. What was learned about the old one is discarded. An endpoint whose ban was
// cleared recently warms up from that time, or from its start if that is later, and comes first in the order,
// so that it is in the subset.
func (b *Balancer) replaceEndpoint(old *endpoint, entry Endpoint) *endpoint {
	t := &b.endpoints
	ep := &endpoint{id: entry.Upstream, zone: entry.Zone, machine: entry.Machine, startedAt: entry.StartedAt}
	ep.machineLatency = b.latency.machineMean(entry.Machine)
	ep.latency = peakEWMA{*ep.machineLatency, b.now}
	ep.banned = t.banned[ep.id]
	index := slices.Index(t.order, old)
	clearedAt, banCleared := t.banClearedAt[ep.id]
	if start := max(entry.StartedAt, clearedAt); start > 0 && b.now-start < b.settings.SlowStartWindow {
		b.beginSlowStart(ep, start)
	}
	if index >= 0 {
		t.order = slices.Delete(t.order, index, index+1)
	} else {
		index = b.rng.IntN(len(t.order) + 1)
	}
	if banCleared {
		index = 0
	}
	t.order = slices.Insert(t.order, index, ep)
	t.byID[ep.id] = ep
	if t.awaitingFirstRequest[ep.id] {
		b.grantFirstRequest(ep)
	} else if banCleared && old != nil {
		ep.slowStart.inherit(&old.slowStart)
	}
	return ep
}

// onBan bans an endpoint or clears its ban. Clearing a ban discards what was learned about the endpoint.
func (b *Balancer) onBan(e Ban) {
	t := &b.endpoints
	t.forgetClearedBans(b.now, b.settings.SlowStartWindow)
	ep := t.byID[e.Upstream]
	if !e.Cleared {
		t.banned[e.Upstream] = true
		delete(t.banClearedAt, e.Upstream)
		delete(t.awaitingFirstRequest, e.Upstream)
		if ep != nil {
			ep.banned = true
		}
		return
	}
	if !t.banned[e.Upstream] {
		return
	}
	delete(t.banned, e.Upstream)
	t.banClearedAt[e.Upstream], t.awaitingFirstRequest[e.Upstream] = b.now, true
	if ep != nil {
		entry := Endpoint{Upstream: ep.id, Zone: ep.zone, Machine: ep.machine, StartedAt: ep.startedAt}
		replacement := b.replaceEndpoint(ep, entry)
		replacement.listed, replacement.cell, replacement.weight = true, ep.cell, ep.weight
	}
}
