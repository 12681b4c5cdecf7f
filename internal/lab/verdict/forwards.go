package verdict

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mosslead/internal/lab/record"
)

// forwardSlack is how far apart a hop and its arrivals may be seen: a hop is seen on the way, the budget is drawn on before.
const forwardSlack = 50 * time.Millisecond

// twoHops finds requests that went further than from the sidecar that a client asked to one peer. An upstream's word counts too:
// who brought an attempt took the request or got it from who did.
func twoHops(a *analysis) (found []Violation) {
	to := map[string]string{}
	for _, h := range a.Hops { // in time
		q := a.requests[h.Request]
		switch before := to[h.Request]; {
		case q == nil:
			found = append(found, Violation{"two-hops", h.At, h.Request, h.From, "forwarded to " + h.To + ", and no client sent it"})
		case h.From != q.Sidecar || before != "":
			found = append(found, Violation{"two-hops", h.At, h.Request, h.From,
				fmt.Sprintf("taken by %s, forwarded to %s, and by %s to %s", q.Sidecar, cmp.Or(before, "nobody"), h.From, h.To)})
		}
		to[h.Request] = h.To
	}
	for _, at := range a.Attempts {
		if q := a.requests[at.Request]; q != nil && at.Sidecar != q.Sidecar && at.Sidecar != to[at.Request] {
			found = append(found, Violation{"two-hops", at.Begun, at.Request, at.Sidecar, "attempted by who neither took it nor got it from " + q.Sidecar})
		}
	}
	return found
}

// twoCarriers finds requests that two sidecars attempted, whichever and whenever: a peer that has begun a request never gives it
// back, and what came of one that broke off nobody knows.
func twoCarriers(a *analysis) (found []Violation) {
	for id, of := range a.attempts {
		if i := slices.IndexFunc(of, func(at *record.Attempt) bool { return at.Sidecar != of[0].Sidecar }); i > 0 {
			found = append(found, Violation{"two-carriers", of[i].Begun, id, of[i].Sidecar, "begun by " + of[0].Sidecar + ": " + FormatAttempts(of)})
		}
	}
	return found
}

// forwardBudget holds every sidecar's hops against a part of what it was asked and a burst, over every stretch of time: with
// n(t) hops and a(t) arrivals up to t, n(t) - part a(t) never rises by more than the burst.
func forwardBudget(a *analysis) (found []Violation) {
	arrivals, hops := map[string][]time.Duration{}, map[string][]record.Hop{}
	for _, q := range a.Requests {
		if q.Sent > 0 {
			arrivals[q.Sidecar] = append(arrivals[q.Sidecar], q.Sent)
		}
	}
	for _, h := range a.Hops {
		hops[h.From] = append(hops[h.From], h)
	}
	for sidecar, of := range hops {
		came := arrivals[sidecar]
		slices.Sort(came)
		upTo := func(t time.Duration) float64 { n, _ := slices.BinarySearch(came, t+1); return float64(n) }
		low := 0.0 // the least of n - part a before, with the slack in the sidecar's favour
		for n, h := range of {
			low = min(low, float64(n)-a.rules.ForwardPart*upTo(h.At-forwardSlack))
			if over := float64(n+1) - a.rules.ForwardPart*upTo(h.At+forwardSlack) - low; over > a.rules.ForwardBurst+1 {
				found = append(found, Violation{"forward-budget", h.At, h.Request, sidecar,
					fmt.Sprintf("%d forwarded of %.0f taken, %.1f beyond the part in a stretch; the burst is %.0f", n+1, upTo(h.At), over, a.rules.ForwardBurst)})
				break
			}
		}
	}
	return found
}
