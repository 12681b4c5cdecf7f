package balancer

import (
	"maps"
	"math"
	"slices"
	"time"
)

// endpoint is what is known of one process of an upstream. A restart makes a new one.
type endpoint struct {
	id, zone string
	machine  string // kind of machine
	cell     int
	weight   float64 // stated capacity, relative to the others'
	listed   bool    // active in the list
	banned   bool
	// startedAt is the clock time of its start by the list; 0: long ago.
	startedAt time.Duration

	inFlight       []*attempt   // attempts without a result, the oldest first
	latency        peakEWMA     // see ewma.go
	machineLatency *float64     // mean of its kind of machine, see latency.go
	health         health       // see outlier.go
	slowStart      slowStart    // see slowstart.go
	gossip         *gossipState // shared with other sidecars, see evidence.go; nil: nothing is
}

// endpointTable holds the endpoints of the list, and what operators said of them.
type endpointTable struct {
	byID map[string]*endpoint
	// order is drawn at random by each sidecar. The subset is taken from its beginning.
	order []*endpoint

	localCount int // endpoints in the local zone
	zoneCount  int // zones of all endpoints, the local one counted
	// recentSize is the largest size of late. It decays as the offered load does, see slowstart.go.
	recentSize   float64
	recentSizeAt time.Duration

	banned               map[string]bool
	banClearedAt         map[string]time.Duration // when bans were cleared; kept while the endpoint may warm up
	awaitingFirstRequest map[string]bool          // of those, the endpoints that got nothing since
}

func newEndpointTable() endpointTable {
	return endpointTable{
		byID:                 map[string]*endpoint{},
		banned:               map[string]bool{},
		banClearedAt:         map[string]time.Duration{},
		awaitingFirstRequest: map[string]bool{},
	}
}

// localityCount is how many endpoints are local, or remote.
func (t *endpointTable) localityCount(local bool) int {
	if local {
		return t.localCount
	}
	return len(t.order) - t.localCount
}

// removeUnlisted forgets the endpoints that are not active in the list.
func (t *endpointTable) removeUnlisted() {
	t.order = slices.DeleteFunc(t.order, func(ep *endpoint) bool {
		if !ep.listed {
			delete(t.byID, ep.id)
		}
		return !ep.listed
	})
}

// updateCounts counts the endpoints by zone.
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

// allBanned is false while no endpoint is listed.
func (t *endpointTable) allBanned() bool {
	return len(t.order) > 0 && !slices.ContainsFunc(t.order, func(ep *endpoint) bool { return !ep.banned })
}

// forgetClearedBans forgets cleared bans of endpoints that have warmed up since.
func (t *endpointTable) forgetClearedBans(now, slowStartWindow time.Duration) {
	maps.DeleteFunc(t.banClearedAt, func(_ string, at time.Duration) bool { return now-at > slowStartWindow })
	maps.DeleteFunc(t.awaitingFirstRequest, func(id string, _ bool) bool { return t.banClearedAt[id] == 0 })
}

// onEndpointUpdate follows the endpoint list.
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

// replaceEndpoint puts a process that has started in the place of the one before, or, if there is none, in a
// random place. What was learned of the one before is void. One whose ban was cleared of late warms up from
// then at the earliest, and comes first in the order, so that the subset holds it.
func (b *Balancer) replaceEndpoint(old *endpoint, entry Endpoint) *endpoint {
	t := &b.endpoints
	ep := &endpoint{id: entry.Upstream, zone: entry.Zone, machine: entry.Machine, startedAt: entry.StartedAt}
	ep.machineLatency = b.latency.machineMean(entry.Machine)
	ep.latency = peakEWMA{*ep.machineLatency, b.now}
	ep.banned = t.banned[ep.id]
	at := slices.Index(t.order, old)
	clearedAt, reinstated := t.banClearedAt[ep.id]
	if from := max(entry.StartedAt, clearedAt); from > 0 && b.now-from < b.settings.SlowStartWindow {
		b.beginSlowStart(ep, from)
	}
	if at >= 0 {
		t.order = slices.Delete(t.order, at, at+1)
	} else {
		at = b.rng.IntN(len(t.order) + 1)
	}
	if reinstated {
		at = 0
	}
	t.order = slices.Insert(t.order, at, ep)
	t.byID[ep.id] = ep
	if t.awaitingFirstRequest[ep.id] {
		b.grantFirstRequest(ep)
	} else if reinstated && old != nil {
		ep.slowStart.inherit(&old.slowStart)
	}
	return ep
}

// onBan takes an endpoint out of use, or back into use. What was learned of it is void then.
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
		fresh := b.replaceEndpoint(ep, entry)
		fresh.listed, fresh.cell, fresh.weight = true, ep.cell, ep.weight
	}
}
