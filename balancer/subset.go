package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	minSubset     = 4               // two to choose from, and spares while some are ejected
	subsetRefresh = 2 * time.Second // time within which each endpoint of the subset is sent a request
	// subsetObjectives is the same time for a large fleet, in mean latency objectives. It is short because
	// queues do not last longer.
	subsetObjectives = 0.5
	// subsetCover is the number of sidecars in an endpoint's zone that have it in their subset. As many
	// sidecars in other zones have it in theirs.
	subsetCover = 5.0
)

// subsetSize returns the number of local and of remote endpoints among which this sidecar chooses: the first
// ready ones of its order. They are few enough for each to answer within subsetRefresh; a busy sidecar uses
// all of them. This guards against outdated estimates, and against a number of connections in proportion to
// sidecars times endpoints.
//
// Where many sidecars use each endpoint, a sidecar's own pending count gives almost no information, and only
// a recent answer shows a queue. The subset is then small enough for each endpoint to answer within
// subsetObjectives. It is also large enough for each endpoint to be used by subsetCover sidecars, so that no
// endpoint gets twice the load by chance.
func (b *Balancer) subsetSize() int {
	perSecond := b.admission.offered.perSecond(b.now)
	shared := subsetCover * float64(len(b.endpoints.order)) / float64(b.settings.FleetSize)
	size := max(perSecond*subsetObjectives*b.meanObjective, min(perSecond*subsetRefresh.Seconds(), shared))
	return max(minSubset, int(math.Ceil(size)))
}

// rotateSubset replaces an endpoint of the subset by a spare one of its locality (local or remote), if
// there is one. It guards against endpoints that become slow when congested and stay slow under load,
// because each of many sidecars would continue to send to them.
func (b *Balancer) rotateSubset(ep *endpoint) {
	size := b.subsetSize()
	b.endpoints.rotate(ep, size, b.settings.Zone, b.rng.IntN)
}

// rotate moves ep, if it is among the first size endpoints of its locality, to a random place behind them.
func (t *endpointTable) rotate(ep *endpoint, size int, zone string, random func(n int) int) {
	index, local := slices.Index(t.order, ep), ep.zone == zone
	sameLocality := func(x *endpoint) bool { return (x.zone == zone) == local }
	ahead := 0
	for _, x := range t.order[:max(index, 0)] {
		if sameLocality(x) {
			ahead++
		}
	}
	if index < 0 || ahead >= size || t.localityCount(local) <= size {
		return
	}
	t.order = slices.Delete(t.order, index, index+1)
	seen := 0
	last := slices.IndexFunc(t.order, func(x *endpoint) bool { // last of the subset, including the spare one
		if sameLocality(x) {
			seen++
		}
		return seen == size
	})
	t.order = slices.Insert(t.order, last+1+random(len(t.order)-last), ep)
}
