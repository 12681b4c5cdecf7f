package balancer

import "slices"

// minEndpointsPerSidecar is the number of endpoints for each sidecar from which on a sidecar's own pending
// counts tell how large the endpoints are.
const minEndpointsPerSidecar = 2

// pick chooses the endpoint of r's next attempt, or nil if there is none. In the ordinary case that is the
// one of lower cost of two random ready endpoints. Endpoints that r was sent to already are left out while
// another is ready.
func (b *Balancer) pick(r *request) *endpoint {
	if ep := b.pickProbe(r); ep != nil {
		return ep
	}
	if ep := b.pickUnbanned(r); ep != nil {
		return ep
	}
	local, remote := b.candidates(r, readyAndNew)
	if len(local)+len(remote) == 0 {
		local, remote = b.candidates(r, ready)
	}
	// Panic mode: an ejected endpoint is better than none.
	if len(local)+len(remote) == 0 && r.pendingAttempts == 0 {
		local, remote = b.candidates(r, anyHealth)
	}
	return b.pickByZone(local, remote)
}

// pickUnbanned chooses an endpoint that has got nothing since its ban was cleared. It warms up, and would
// lose every comparison while there is little to do.
func (b *Balancer) pickUnbanned(r *request) *endpoint {
	if len(b.endpoints.awaitingFirstRequest) == 0 {
		return nil
	}
	for _, ep := range b.endpoints.order {
		if b.endpoints.awaitingFirstRequest[ep.id] && b.isReady(ep, r) && b.canAttempt(r, ep) {
			return ep
		}
	}
	return nil
}

// requirement is what a candidate has to meet beside canAttempt.
type requirement int

const (
	readyAndNew requirement = iota // it is ready, and r was not sent to it before
	ready
	anyHealth
)

// candidates are the endpoints of the subset that meet the requirement, local and remote ones. They are
// valid until the next call.
func (b *Balancer) candidates(r *request, required requirement) (local, remote []*endpoint) {
	local, remote = b.localCandidates[:0], b.remoteCandidates[:0]
	size := b.subsetSize()
	for _, ep := range b.endpoints.order {
		group := &remote
		if ep.zone == b.settings.Zone {
			group = &local
		}
		if len(*group) < size && b.meets(ep, r, required) && b.canAttempt(r, ep) {
			*group = append(*group, ep)
		}
		if len(local) == size && len(remote) == size {
			break
		}
	}
	b.localCandidates, b.remoteCandidates = local, remote
	return local, remote
}

func (b *Balancer) meets(ep *endpoint, r *request, required requirement) bool {
	switch required {
	case readyAndNew:
		return b.isReady(ep, r) && !r.attempted(ep)
	case ready:
		return b.isReady(ep, r)
	}
	return true
}

// powerOfTwoChoices returns the one of lower cost of two distinct random candidates; nil: there is none. In
// a large fleet they are drawn in proportion to their stated weight. There each of many sidecars has next
// to nothing pending anywhere, and small endpoints would get as much as large ones until they are
// congested. A few sidecars see that in their pending counts.
func (b *Balancer) powerOfTwoChoices(from []*endpoint) *endpoint {
	switch len(from) {
	case 0:
		return nil
	case 1:
		return from[0]
	}
	if minEndpointsPerSidecar*b.settings.FleetSize > len(b.endpoints.order) {
		first := b.drawByWeight(from, nil)
		if second := b.drawByWeight(from, first); b.cost(second) < b.cost(first) {
			return second
		}
		return first
	}
	i := b.rng.IntN(len(from))
	j := b.rng.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	if b.cost(from[j]) < b.cost(from[i]) {
		i = j
	}
	return from[i]
}

// drawByWeight draws a candidate other than excluded in proportion to its weight; nil: there is none.
func (b *Balancer) drawByWeight(from []*endpoint, excluded *endpoint) (drawn *endpoint) {
	total := 0.0
	for _, ep := range from {
		if ep != excluded {
			total += ep.weight
		}
	}
	x := b.rng.Float64() * total
	for _, ep := range from {
		if ep != excluded {
			if drawn = ep; x < ep.weight {
				break
			}
			x -= ep.weight
		}
	}
	return drawn
}

// cost is peak EWMA latency x (pending attempts + 1). An estimate that gets old tends to the mean of its
// kind of machine, not to nothing: an idle endpoint is not a fast one. A pending attempt counts with the
// time that it has taken so far, which guards against endpoints that stopped answering.
func (b *Balancer) cost(ep *endpoint) float64 {
	w := ep.latency.weight(b.now, b.decayTime())
	latency := ep.latency.value*w + *ep.machineLatency*(1-w)
	if i := slices.IndexFunc(ep.inFlight, func(a *attempt) bool { return !a.request.bodyPending }); i >= 0 {
		oldest := ep.inFlight[i]
		latency = max(latency, (b.now-oldest.sentAt).Seconds()/oldest.request.work)
	}
	return latency * float64(len(ep.inFlight)+1)
}
