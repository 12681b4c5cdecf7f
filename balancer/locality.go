package balancer

const (
	// crossZoneObjectives is the latency that a cross-zone cost of 1 is equivalent to, in mean latency
	// objectives.
	crossZoneObjectives = 3.5
	// A zone crossing that costs less than the mean latency divided by negligibleCrossingDivisor is not
	// avoided.
	negligibleCrossingDivisor = 4
)

// locality tracks the fraction of the work that stays in the local zone while both local and remote endpoints
// are available.
type locality struct {
	localFraction float64 // 0 to 1
}

func newLocality() locality { return locality{localFraction: 0.5} }

func (l *locality) record(local bool) {
	sample := 0.0
	if local {
		sample = 1
	}
	l.localFraction += meanWeight * (sample - l.localFraction)
}

// pickByZone chooses among local and remote candidates. It chooses a local one unless the cost of the remote
// choice is lower by more than the cost of a zone crossing, expressed as latency.
func (b *Balancer) pickByZone(local, remote []*endpoint) *endpoint {
	crossingCost := b.settings.CrossZoneCost * crossZoneObjectives * b.meanObjective
	hasBoth := len(local) > 0 && len(remote) > 0
	if !hasBoth || crossingCost < b.latency.fleetMean/negligibleCrossingDivisor {
		ep := b.powerOfTwoChoices(append(local, remote...))
		if hasBoth {
			b.locality.record(ep.zone == b.settings.Zone)
		}
		return ep
	}
	bestLocal := b.powerOfTwoChoices(local)
	bestRemote := b.powerOfTwoChoices(remote)
	if b.cost(bestRemote)+crossingCost < b.cost(bestLocal) {
		b.locality.record(false)
		return bestRemote
	}
	b.locality.record(true)
	return bestLocal
}
