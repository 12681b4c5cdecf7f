package verdict

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mosslead/internal/lab/record"
)

// forwardSlack allows for the time between a request's arrival, its use of the budget and the hop on the link.
const forwardSlack = 50 * time.Millisecond

// twoHops finds requests that were forwarded more than once, or by a sidecar other than the one that the client asked. It
// also finds attempts, as the upstreams recorded them, by a sidecar that neither took the request nor got it from the one
// that did.
func twoHops(a *analysis) (found []Violation) {
	forwardedTo := map[string]string{}
	for _, h := range a.Hops { // in order of time
		req := a.requests[h.Request]
		switch previous := forwardedTo[h.Request]; {
		case req == nil:
			found = append(found, Violation{"two-hops", h.At, h.Request, h.From, "forwarded to " + h.To + ", and no client sent it"})
		case h.From != req.Sidecar || previous != "":
			found = append(found, Violation{"two-hops", h.At, h.Request, h.From,
				fmt.Sprintf("taken by %s, forwarded to %s, and by %s to %s", req.Sidecar, cmp.Or(previous, "nobody"), h.From, h.To)})
		}
		forwardedTo[h.Request] = h.To
	}
	for _, attempt := range a.Attempts {
		if req := a.requests[attempt.Request]; req != nil && attempt.Sidecar != req.Sidecar && attempt.Sidecar != forwardedTo[attempt.Request] {
			found = append(found, Violation{"two-hops", attempt.Begun, attempt.Request, attempt.Sidecar, "attempted by a sidecar that neither took it nor got it from " + req.Sidecar})
		}
	}
	return found
}

// twoCarriers finds requests that two sidecars attempted, at any time: a peer that has begun a request never gives it
// back, and the outcome of a request that broke off is unknown.
func twoCarriers(a *analysis) (found []Violation) {
	for id, attempts := range a.attempts {
		if i := slices.IndexFunc(attempts, func(attempt *record.Attempt) bool { return attempt.Sidecar != attempts[0].Sidecar }); i > 0 {
			found = append(found, Violation{"two-carriers", attempts[i].Begun, id, attempts[i].Sidecar, "begun by " + attempts[0].Sidecar + ": " + FormatAttempts(attempts)})
		}
	}
	return found
}

// forwardBudget checks that in every interval each sidecar forwards at most a part of the requests that it took, plus a
// burst. With n(t) hops and a(t) arrivals up to t, n(t) - part × a(t) must then never rise by more than the burst.
func forwardBudget(a *analysis) (found []Violation) {
	arrivals, hops := map[string][]time.Duration{}, map[string][]record.Hop{}
	for _, req := range a.Requests {
		if req.Sent > 0 {
			arrivals[req.Sidecar] = append(arrivals[req.Sidecar], req.Sent)
		}
	}
	for _, h := range a.Hops {
		hops[h.From] = append(hops[h.From], h)
	}
	for sidecar, sidecarHops := range hops {
		times := arrivals[sidecar]
		slices.Sort(times)
		arrivalsUntil := func(t time.Duration) float64 { n, _ := slices.BinarySearch(times, t+1); return float64(n) }
		lowest := 0.0 // the least n - part a so far, with the slack in the sidecar's favour
		for n, h := range sidecarHops {
			lowest = min(lowest, float64(n)-a.rules.ForwardPart*arrivalsUntil(h.At-forwardSlack))
			if excess := float64(n+1) - a.rules.ForwardPart*arrivalsUntil(h.At+forwardSlack) - lowest; excess > a.rules.ForwardBurst+1 {
				found = append(found, Violation{"forward-budget", h.At, h.Request, sidecar,
					fmt.Sprintf("%d forwarded of %.0f taken, %.1f beyond the part in some interval; the burst is %.0f", n+1, arrivalsUntil(h.At), excess, a.rules.ForwardBurst)})
				break
			}
		}
	}
	return found
}
