package balancer

import "time"

const (
	meanWeight    = 0.02 // weight of a new sample in a mean: averages about the last 50
	sparseWeight  = 0.05 // the same for rare samples: one kind of machine, hedged requests
	hedgeQuantile = 0.8  // an attempt pending for longer than this quantile is hedged

	minWork, maxWork = 0.25, 8.0 // bounds on expected work

	// Until there are samples, the mean latency is assumed to be a quarter of the objective, and the hedge delay
	// half of it.
	initialLatencyDivisor    = 4
	initialHedgeDelayDivisor = 2
)

// latencyModel estimates the latency of this sidecar's successful attempts, over all endpoints.
type latencyModel struct {
	fleetMean  float64             // mean normalized latency, seconds
	byMachine  map[string]*float64 // the same by kind of machine; endpoints point to these values
	mean       float64             // mean latency, seconds
	meanHint   float64             // mean cost hint, seconds; 0 if there was none
	median     quantile            // of normalized latency
	hedgeDelay quantile            // hedgeQuantile of normalized latency
}

func newLatencyModel(meanObjective float64) latencyModel {
	return latencyModel{
		fleetMean:  meanObjective / initialLatencyDivisor,
		byMachine:  map[string]*float64{},
		mean:       meanObjective / initialLatencyDivisor,
		median:     quantile{0.5, meanObjective / initialLatencyDivisor},
		hedgeDelay: quantile{hedgeQuantile, meanObjective / initialHedgeDelayDivisor},
	}
}

// machineMean returns the mean normalized latency of a kind of machine. A new kind starts with the fleet's
// mean.
func (m *latencyModel) machineMean(kind string) *float64 {
	if m.byMachine[kind] == nil {
		m.byMachine[kind] = new(m.fleetMean)
	}
	return m.byMachine[kind]
}

// expectedWork returns the work expected of a request, relative to the mean request. It is derived from the
// cost hint or, without one, from the class.
func (m *latencyModel) expectedWork(c *class, hint time.Duration) float64 {
	work := c.meanLatency / m.mean
	if hint > 0 {
		if m.meanHint == 0 {
			m.meanHint = hint.Seconds()
		}
		m.meanHint += meanWeight * (hint.Seconds() - m.meanHint)
		work = hint.Seconds() / m.meanHint
	}
	return min(max(work, minWork), maxWork)
}

// expected returns the median latency of a request with the given work.
func (m *latencyModel) expected(work float64) time.Duration { return seconds(m.median.value * work) }

// observeSuccess records the latency of a successful attempt, as measured and normalized, in seconds.
func (m *latencyModel) observeSuccess(c *class, machine *float64, latency, normalized float64) {
	c.meanLatency += meanWeight * (latency - c.meanLatency)
	m.mean += meanWeight * (latency - m.mean)
	m.fleetMean += meanWeight * (normalized - m.fleetMean)
	*machine += sparseWeight * (normalized - *machine)
	m.median.add(normalized)
	m.hedgeDelay.add(normalized)
}

// observeLowerBound records an attempt that was ended early, after the given normalized time: its latency
// would have been longer.
func (m *latencyModel) observeLowerBound(normalized float64) {
	if normalized > m.hedgeDelay.value {
		m.hedgeDelay.add(normalized)
		m.median.add(normalized)
	}
}
