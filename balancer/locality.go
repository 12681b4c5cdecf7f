package balancer

const (
	// crossZoneObjectives is how many mean latency objectives of latency a cross-zone cost of 1 weighs as.
	crossZoneObjectives = 3.5
	// negligibleCrossingDivisor is the part of the mean latency below which a crossing is not worth avoiding.
	negligibleCrossingDivisor = 4
)

// locality follows the fraction of the work that stays in the local zone while it could as well leave it.
type locality struct {
	localFraction float64 // 0 to 1
}

func newLocality() locality { return locality{localFraction: 0.5} }

func (l *locality) record(local bool) {
	x := 0.0
	if local {
		x = 1
	}
	l.localFraction += meanWeight * (x - l.localFraction)
}

// pickByZone chooses among local and remote candidates. It stays in the local zone unless the remote choice's
// cost is lower by more than the price of a crossing, expressed as latency.
func (b *Balancer) pickByZone(local, remote []*endpoint) *endpoint {
	crossing := b.settings.CrossZoneCost * crossZoneObjectives * b.meanObjective
	both := len(local) > 0 && len(remote) > 0
	if !both || crossing < b.latency.fleetMean/negligibleCrossingDivisor {
		ep := b.powerOfTwoChoices(append(local, remote...))
		if both {
			b.locality.record(ep.zone == b.settings.Zone)
		}
		return ep
	}
	near := b.powerOfTwoChoices(local)
	far := b.powerOfTwoChoices(remote)
	if b.cost(far)+crossing < b.cost(near) {
		b.locality.record(false)
		return far
	}
	b.locality.record(true)
	return near
}
