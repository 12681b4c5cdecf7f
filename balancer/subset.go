package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	minSubset     = 4               // two to compare, and spares while some are ejected
	subsetRefresh = 2 * time.Second // each endpoint of the subset is sent a request this often
	// subsetObjectives is the same for a large fleet, in mean latency objectives: a queue lasts no longer.
	subsetObjectives = 0.5
	// subsetCover is how many sidecars share an endpoint, in its zone and as many from outside.
	subsetCover = 5.0
)

// subsetSize is how many endpoints this sidecar chooses among: the first ready ones of its order. So many
// that each is heard from every subsetRefresh; a busy sidecar uses all of them. It guards against stale
// estimates, and against connections that grow as sidecars times endpoints.
//
// Where many sidecars share each endpoint, one's own pending count says next to nothing, and only an answer
// that just came tells of a queue. So the subset is small enough for each to be heard from every
// subsetObjectives, and large enough for subsetCover sidecars to share an endpoint, so that chance does not
// load some twice.
func (b *Balancer) subsetSize() int {
	perSecond := b.admission.offered.perSecond(b.now)
	shared := subsetCover * float64(len(b.endpoints.order)) / float64(b.settings.FleetSize)
	size := max(perSecond*subsetObjectives*b.meanObjective, min(perSecond*subsetRefresh.Seconds(), shared))
	return max(minSubset, int(math.Ceil(size)))
}

// rotateSubset moves an endpoint out of the subset, and a spare one of its side (local or remote) in, if
// there is one. It guards against endpoints that turn slow when congested and stay so while under load: each
// of many sidecars would go on with it.
func (b *Balancer) rotateSubset(ep *endpoint) {
	size := b.subsetSize()
	b.endpoints.rotate(ep, size, b.settings.Zone, b.rng.IntN)
}

// rotate moves ep, if it is among the first size of its side, to a random place behind them.
func (t *endpointTable) rotate(ep *endpoint, size int, zone string, random func(n int) int) {
	at, local := slices.Index(t.order, ep), ep.zone == zone
	sameSide := func(x *endpoint) bool { return (x.zone == zone) == local }
	ahead := 0
	for _, x := range t.order[:max(at, 0)] {
		if sameSide(x) {
			ahead++
		}
	}
	if at < 0 || ahead >= size || t.localityCount(local) <= size {
		return
	}
	t.order = slices.Delete(t.order, at, at+1)
	seen := 0
	last := slices.IndexFunc(t.order, func(x *endpoint) bool { // of the subset, now with the spare one
		if sameSide(x) {
			seen++
		}
		return seen == size
	})
	t.order = slices.Insert(t.order, last+1+random(len(t.order)-last), ep)
}
