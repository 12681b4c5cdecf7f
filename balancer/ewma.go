package balancer

import (
	"math"
	"time"
)

const (
	// decayObjectives is the time constant of an endpoint's estimate, in mean latency objectives. It is long
	// enough for each endpoint of the subset to answer within it.
	decayObjectives = 4.0
	// penaltyObjectives is the minimum latency that an error answer or a rejection counts as, in mean latency
	// objectives. Without it, an endpoint that fails immediately would seem fast.
	penaltyObjectives = 1.0
)

// peakEWMA estimates the normalized latency of one endpoint. A sample above the decayed estimate replaces it;
// any other is averaged in. The estimate therefore rises at once and falls slowly.
type peakEWMA struct {
	value float64
	at    time.Duration // of the latest sample
}

// weight returns the weight of the estimate now: 1 when it is new, decaying to 0 with age.
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

// decayTime returns the time constant of the endpoints' estimates.
func (b *Balancer) decayTime() time.Duration { return seconds(decayObjectives * b.meanObjective) }

// observeAttempt updates the estimates with an attempt's result. Timeouts, failed connects and resets count
// as their elapsed time, without a penalty. Samples are normalized, so that one costly request does not make
// its endpoint seem slow.
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
