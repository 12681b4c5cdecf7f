package report

import "mosslead/internal/lab/record"

// shares are the least shares of the worth earned among the clients of any sidecar and of any zone's.
func (f Figures) shares(rec *record.Record, some []*wish) {
	sidecars, zones := map[string][2]float64{}, map[string][2]float64{}
	for _, w := range some {
		at := w.first().Sidecar
		for _, of := range []struct {
			m   map[string][2]float64
			key string
		}{{sidecars, at}, {zones, rec.Zones[at]}} {
			x := of.m[of.key]
			of.m[of.key] = [2]float64{x[0] + w.worth, x[1] + w.earned}
		}
	}
	f["worst_sidecar"], f["worst_zone"] = leastShare(sidecars), leastShare(zones)
}

// forwards counts what sidecars sent to each other, and how much of it came to something there.
func (f Figures) forwards(rec *record.Record, some []*wish) {
	if len(rec.Hops) == 0 {
		return
	}
	hopped := map[string]bool{}
	for _, h := range rec.Hops {
		hopped[h.Request] = true
	}
	var tries, sent, begun, served float64
	for _, w := range some {
		tries += float64(len(w.tries))
		for _, q := range w.tries {
			if !hopped[q.ID] {
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
