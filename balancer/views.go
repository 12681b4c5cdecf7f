package balancer

import "time"

// Pressure returns how close admission is to load shedding, which starts at 1, and the fraction of the local
// zone's capacity that is unavailable now. A caller uses them to decide whether to forward a request to
// another sidecar; no decision of this package depends on them.
func (b *Balancer) Pressure(now time.Duration) (pressure, zoneLoss float64) {
	b.now = max(now, b.now)
	total, usable := 0, 0.0
	for _, ep := range b.endpoints.order {
		if ep.zone != b.settings.Zone {
			continue
		}
		if total++; !ep.banned && b.now >= ep.health.ejectedUntil {
			usable += b.warmCapacity(ep)
		}
	}
	if total > 0 {
		zoneLoss = 1 - usable/float64(total)
	}
	return min(1, b.pressure()), zoneLoss
}

// Ejected returns the IDs of the endpoints that are ejected at now.
func (b *Balancer) Ejected(now time.Duration) (ids []string) {
	for _, ep := range b.endpoints.order {
		if now < ep.health.ejectedUntil {
			ids = append(ids, ep.id)
		}
	}
	return ids
}
