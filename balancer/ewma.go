package balancer

import (
	"math"
	"time"
)

const (
	// decayObjectives is the time constant of an endpoint's estimate, in mean latency objectives: long enough
	// to hear from every endpoint of the subset.
	decayObjectives = 4.0
	// penaltyObjectives is the least latency that an error answer or a rejection counts as, in mean latency
	// objectives. An endpoint that fails at once would look fast without it.
	penaltyObjectives = 1.0
)

// peakEWMA estimates the normalized latency of one endpoint. A sample above the decayed estimate replaces it;
// any other is averaged in. So it rises at once and falls slowly.
type peakEWMA struct {
	value float64
	at    time.Duration // of the latest sample
}

// weight is what is left of the estimate now: 1 when it is new, towards 0 with age.
func (e *peakEWMA) weight(now, decay time.Duration) float64 {
	return math.Exp(-float64(now-e.at) / float64(decay))
}

func (e *peakEWMA) add(sample float64, now, decay time.Duration) {
	if now < e.at {
		return
	}
	w := e.weight(now, decay)
	if sample > e.value*w {
		e.value = sample
	} else {
		e.value = e.value*w + sample*(1-w)
	}
	e.at = now
}

// decayTime is the time constant of estimates.
func (b *Balancer) decayTime() time.Duration { return seconds(decayObjectives * b.meanObjective) }

// observeAttempt updates the estimates from an attempt's result. Time-outs, failed connects and resets count
// for the time that they took, and no more. Samples are normalized, so that one costly request does not make
// its endpoint look slow.
func (b *Balancer) observeAttempt(a *attempt, res Result, elapsed time.Duration) {
	b.admission.observeCongestion(a, res, elapsed, b.now)
	sample := elapsed.Seconds() / a.request.work
	switch res {
	case NotSent:
		return
	case OK:
		a.endpoint.health.served(a)
		b.admission.served.add(1, b.now)
		b.latency.observeSuccess(a.request.class, a.endpoint.machineLatency, elapsed.Seconds(), sample)
	case ServerError, Overloaded:
		sample = max(sample, penaltyObjectives*b.meanObjective)
	case Cancelled, Timeout:
		b.latency.observeLowerBound(sample)
		if res == Cancelled && sample <= a.endpoint.latency.value {
			return
		}
	}
	a.endpoint.latency.add(sample, b.now, b.decayTime())
}
