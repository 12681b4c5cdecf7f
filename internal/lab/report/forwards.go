package report

import "mosslead/internal/lab/record"

// shares measures the least share of the worth earned for the clients of any sidecar, and for those of any zone's sidecars.
func (f Figures) shares(rec *record.Record, some []*wish) {
	sidecars, zones := map[string][2]float64{}, map[string][2]float64{}
	for _, w := range some {
		sidecar := w.first().Sidecar
		for _, group := range []struct {
			m   map[string][2]float64
			key string
		}{{sidecars, sidecar}, {zones, rec.Zones[sidecar]}} {
			x := group.m[group.key]
			group.m[group.key] = [2]float64{x[0] + w.worth, x[1] + w.earned}
		}
	}
	f["worst_sidecar"], f["worst_zone"] = leastShare(sidecars), leastShare(zones)
}

// forwards measures the share of tries that sidecars forwarded to each other, and how many of those were begun and served.
func (f Figures) forwards(rec *record.Record, some []*wish) {
	if len(rec.Hops) == 0 {
		return
	}
	forwarded := map[string]bool{}
	for _, h := range rec.Hops {
		forwarded[h.Request] = true
	}
	var tries, sent, begun, served float64
	for _, w := range some {
		tries += float64(len(w.tries))
		for _, q := range w.tries {
			if !forwarded[q.ID] {
				continue
			}
			sent++
			for _, a := range w.attempts {
				if a.Request == q.ID && a.Sidecar != q.Sidecar {
					begun++
					break
				}
			}
			if q.End == record.Served {
				served++
			}
		}
	}
	f["forwarded"] = sent / tries
	if sent > 0 {
		f["forwarded_begun"], f["forwarded_served"] = begun/sent, served/sent
	}
}
