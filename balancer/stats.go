package balancer

import (
	"math"
	"time"
)

// quantile estimates the p-quantile of the samples added.
type quantile struct{ p, value float64 }

// quantileStep scales how far a sample moves the logarithm of the estimate.
const quantileStep = 0.1

func (q *quantile) add(x float64) {
	if x > q.value {
		q.value *= math.Exp(quantileStep * q.p)
	} else {
		q.value *= math.Exp(-quantileStep * (1 - q.p))
	}
}

// rate is an exponentially weighted rate of events.
type rate struct {
	timeConstant time.Duration // of the decay
	sum          float64       // exponentially weighted sum of the events
	lastAt       time.Duration // of the latest event
	firstAt      time.Duration // of the first event
	started      bool
}

func (r *rate) add(x float64, now time.Duration) {
	if !r.started {
		r.started, r.firstAt, r.lastAt = true, now, now
	}
	r.sum = r.sum*math.Exp(-float64(now-r.lastAt)/float64(r.timeConstant)) + x
	r.lastAt = now
}

// perSecond returns the rate now, corrected for the short history of a new rate, which would bias it low.
func (r *rate) perSecond(now time.Duration) float64 {
	age := max(now-r.firstAt, r.timeConstant/20)
	sum := r.sum * math.Exp(-float64(now-r.lastAt)/float64(r.timeConstant))
	return sum / (r.timeConstant.Seconds() * (1 - math.Exp(-float64(age)/float64(r.timeConstant))))
}

func (r *rate) snapshot(now time.Duration) RateSnapshot {
	if !r.started {
		return RateSnapshot{}
	}
	return RateSnapshot{r.sum * math.Exp(-float64(now-r.lastAt)/float64(r.timeConstant)), now - r.firstAt}
}

func (r *rate) restore(s RateSnapshot, now time.Duration) {
	if s.Age > 0 {
		r.started, r.sum, r.lastAt, r.firstAt = true, s.Sum, now, now-s.Age
	}
}

// binomialTail returns the probability of k or more successes in n trials of probability p, 0 < p < 1.
func binomialTail(k, n int, p float64) float64 {
	term, below := math.Pow(1-p, float64(n)), 0.0
	for i := range k {
		below += term
		term *= float64(n-i) / float64(i+1) * p / (1 - p)
	}
	return max(0, 1-below)
}
