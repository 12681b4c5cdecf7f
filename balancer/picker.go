package balancer

import "slices"

// minEndpointsPerSidecar is the minimum number of endpoints per sidecar with which a sidecar's own pending
// counts reflect the capacity of the endpoints.
const minEndpointsPerSidecar = 2

// pick returns the endpoint for r's next attempt, or nil if there is none. Usually it is the one with the
// lower cost of two random ready endpoints. Endpoints to which r was already sent are excluded while
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

// pickUnbanned returns an endpoint that was sent nothing since its ban was cleared, or nil if there is
// none. Such an endpoint warms up, and would never be chosen by its cost while the load is low.
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

// requirement is a condition that a candidate must fulfil in addition to canAttempt.
type requirement int

const (
	readyAndNew requirement = iota // the endpoint is ready, and r was not sent to it before
	ready                          // the endpoint is ready
	anyHealth                      // the endpoint may be ejected
)

// candidates returns the local and the remote endpoints of the subset that fulfil the requirement. The slices
// are valid until the next call.
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

// powerOfTwoChoices returns the one with the lower cost of two distinct random candidates, or nil if there
// is none. In a large fleet the two are drawn in proportion to their stated weight. There each sidecar has
// almost no requests pending at any endpoint, and small endpoints would get as much as large ones until
// they are congested. In a small fleet the pending counts prevent that.
func (b *Balancer) powerOfTwoChoices(candidates []*endpoint) *endpoint {
	switch len(candidates) {
	case 0:
		return nil
	case 1:
		return candidates[0]
	}
	if minEndpointsPerSidecar*b.settings.FleetSize > len(b.endpoints.order) {
		first := b.drawByWeight(candidates, nil)
		if second := b.drawByWeight(candidates, first); b.cost(second) < b.cost(first) {
			return second
		}
		return first
	}
	i := b.rng.IntN(len(candidates))
	j := b.rng.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if b.cost(candidates[j]) < b.cost(candidates[i]) {
		i = j
	}
	return candidates[i]
}

// drawByWeight returns a random candidate other than excluded, drawn in proportion to weight, or nil if
// there is none.
func (b *Balancer) drawByWeight(candidates []*endpoint, excluded *endpoint) (drawn *endpoint) {
	total := 0.0
	for _, ep := range candidates {
		if ep != excluded {
			total += ep.weight
		}
	}
	x := b.rng.Float64() * total
	for _, ep := range candidates {
		if ep != excluded {
			if drawn = ep; x < ep.weight {
				break
			}
			x -= ep.weight
		}
	}
	return drawn
}

// cost returns peak EWMA latency x (pending attempts + 1). An estimate that gets old approaches the mean of
// its kind of machine, and not 0: an idle endpoint is not a fast one. The oldest pending attempt counts
// with the time that it has taken so far, which guards against endpoints that have stopped answering.
func (b *Balancer) cost(ep *endpoint) float64 {
	w := ep.latency.weight(b.now, b.decayTime())
	latency := ep.latency.value*w + *ep.machineLatency*(1-w)
	if i := slices.IndexFunc(ep.inFlight, func(a *attempt) bool { return !a.request.bodyPending }); i >= 0 {
		oldest := ep.inFlight[i]
		latency = max(latency, (b.now-oldest.sentAt).Seconds()/oldest.request.work)
	}
	return latency * float64(len(ep.inFlight)+1)
}
