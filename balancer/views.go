package balancer

import "time"

// Pressure tells how near admission is to refusing, 1 where it begins, and which share of this sidecar's own zone takes no
// work now. Others choose by them whether to send a request elsewhere; no decision here does.
func (b *Balancer) Pressure(now time.Duration) (inHand, zone float64) {
	b.now = max(now, b.now)
	all, usable := 0, 0.0
	for _, u := range b.list {
		if u.zone != b.set.Zone {
			continue
		}
		if all++; !u.banned && b.now >= u.until {
			usable += b.warmth(u)
		}
	}
	if all > 0 {
		zone = 1 - usable/float64(all)
	}
	return min(1, b.pressure()), zone
}

// Ejected names the upstreams that are left out now for their failures.
func (b *Balancer) Ejected(now time.Duration) (ids []string) {
	for _, u := range b.list {
		if now < u.until {
			ids = append(ids, u.id)
		}
	}
	return ids
}
