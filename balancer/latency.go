package balancer

import "time"

const (
	meanWeight    = 0.02 // weight of a new sample in means of many: about the last 50
	sparseWeight  = 0.05 // the same where samples are few: one kind of machine, hedged requests
	hedgeQuantile = 0.8  // an attempt pending for longer than this quantile is hedged

	minWork, maxWork = 0.25, 8.0 // bounds on expected work

	// A request is taken to cost a quarter of its objective, and the slow ones half, until something is known.
	initialLatencyDivisor    = 4
	initialHedgeDelayDivisor = 2
)

// latencyModel holds what the successful attempts of this sidecar took, over all endpoints.
type latencyModel struct {
	fleetMean  float64             // mean normalized latency, seconds
	byMachine  map[string]*float64 // the same by kind of machine; endpoints point to theirs
	mean       float64             // mean latency, seconds
	meanHint   float64             // mean cost hint, seconds; 0: there was none
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

// machineMean is the mean of a kind of machine. One that is new begins with the fleet's.
func (m *latencyModel) machineMean(kind string) *float64 {
	if m.byMachine[kind] == nil {
		m.byMachine[kind] = new(m.fleetMean)
	}
	return m.byMachine[kind]
}

// expectedWork is the work expected of a request, relative to the mean request: by its hint, or else by its
// class.
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

// expected is the median latency of a request of that work.
func (m *latencyModel) expected(work float64) time.Duration { return seconds(m.median.value * work) }

// observeSuccess takes in an attempt that took so many seconds, normalized and not.
func (m *latencyModel) observeSuccess(c *class, machine *float64, latency, normalized float64) {
	c.meanLatency += meanWeight * (latency - c.meanLatency)
	m.mean += meanWeight * (latency - m.mean)
	m.fleetMean += meanWeight * (normalized - m.fleetMean)
	*machine += sparseWeight * (normalized - *machine)
	m.median.add(normalized)
	m.hedgeDelay.add(normalized)
}

// observeLowerBound takes in an attempt that was ended: it would have taken longer.
func (m *latencyModel) observeLowerBound(normalized float64) {
	if normalized > m.hedgeDelay.value {
		m.hedgeDelay.add(normalized)
		m.median.add(normalized)
	}
}
