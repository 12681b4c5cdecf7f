// Package load makes the traffic of a play: it draws arrivals ahead from a seed, and its clients send them at the drawn
// times, whether or not earlier requests have ended.
package load

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"
)

// Class is a kind of request.
type Class struct {
	Name      string
	Share     float64       // of the requests, relative to the other classes' shares
	Work      time.Duration // mean, on a core of speed 1
	CV        float64       // standard deviation of the work over its mean; 0 if all requests have the same work
	Pareto    bool          // distribution of the work; lognormal if false
	Aim       time.Duration
	Deadline  time.Duration // how long a client waits, over all of its tries
	Worth     float64
	LateWorth float64 // share of the worth that is left after the aim
	Safe      bool
}

// Tenant is a party that sends requests.
type Tenant struct {
	Name  string
	Share float64 // of the service that is due to the tenant
	Usage float64 // the part of its share that it sends; 0 means 1
}

// Step changes the rate for a time.
type Step struct {
	At, For time.Duration
	Times   float64
	Of      []int // the sidecars whose clients change their rate; all if empty

	rateFactor float64 // of the rate of all clients, see withRateFactors
}

// Spec is the traffic of a play.
type Spec struct {
	Length    time.Duration
	Rate      float64 // requests a second, of all clients
	Bursty    bool    // the rate alternates between high and low; constant if false
	Swing     float64 // how far a bursty rate goes up and down, as a share of it
	Steps     []Step
	StreamCV  float64 // standard deviation of the sidecars' weights over their mean
	Classes   []Class
	Tenants   []Tenant
	Keys      int
	KeyZipf   float64       // exponent of the keys' popularity; 0 if all are equally popular
	TryShare  [2]float64    // least and greatest share of the deadline that a client gives one try
	Retries   float64       // share of the arrivals that are tried once more after a bad answer
	Backoff   time.Duration // mean wait before the second try
	Impatient float64       // share of the clients that leave early
}

// Arrival is one request of a client, with its second try if it has one.
type Arrival struct {
	At          time.Duration
	Sidecar     int
	Class       int
	Tenant, Key string
	Work        time.Duration
	Patience    time.Duration // for one try
	Retry       bool          // whether the client tries once more
	Backoff     time.Duration
	Leaves      time.Duration // the client leaves after this time, though it would wait longer; 0 if it stays
	ID, RetryID string
}

// Plan holds all arrivals of a play, in order of time.
type Plan struct {
	Spec     Spec
	Arrivals []Arrival
}

// meanBurstPhase is the mean time for which a bursty rate stays high or low.
const meanBurstPhase = time.Second

// The independent random streams of a seed.
const (
	arrivalStream = iota + 1
	detailStream
	clientStream
	idStream
	busyStream
)

// Draw draws the arrivals at the given number of sidecars. The same seed and spec give the same plan.
func Draw(spec Spec, sidecars int, seed uint64) Plan {
	timeRNG := rand.New(rand.NewPCG(seed, arrivalStream))
	weights := sidecarWeights(sidecars, spec.StreamCV, seed)
	byWeight := newChoice(weights)
	spec = spec.withRateFactors(weights)
	d := newDrawer(spec, rand.New(rand.NewPCG(seed, detailStream)), rand.New(rand.NewPCG(seed, idStream)))
	p := Plan{Spec: spec}
	for _, at := range arrivals(spec, timeRNG) {
		choice := byWeight
		if w := spec.weightsAt(weights, at); w != nil {
			choice = newChoice(w)
		}
		p.Arrivals = append(p.Arrivals, d.draw(at, choice.draw(d.rng)))
	}
	return p
}

// withRateFactors returns the spec with the rate factor of each step. A step of only some sidecars changes
// the rate of all clients together in proportion to the weights of those sidecars.
func (s Spec) withRateFactors(weights []float64) Spec {
	s.Steps = slices.Clone(s.Steps)
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for i := range s.Steps {
		step := &s.Steps[i]
		step.rateFactor = step.Times
		if len(step.Of) > 0 {
			step.rateFactor = 1
			for _, n := range step.Of {
				step.rateFactor += (step.Times - 1) * weights[n] / sum
			}
		}
	}
	return s
}

// weightsAt returns the sidecars' weights at a time at which a step of some sidecars is active; nil if none is.
func (s Spec) weightsAt(weights []float64, at time.Duration) (changed []float64) {
	for _, step := range s.Steps {
		if len(step.Of) == 0 || !step.activeAt(at) {
			continue
		}
		if changed == nil {
			changed = slices.Clone(weights)
		}
		for _, n := range step.Of {
			changed[n] *= step.Times
		}
	}
	return changed
}

// activeAt reports whether the step is active at a time.
func (s Step) activeAt(at time.Duration) bool { return at >= s.At && at < s.At+s.For }

// drawer draws the properties of arrivals.
type drawer struct {
	spec                   Spec
	rng, idRNG             *rand.Rand
	classes, tenants, keys choice
}

func newDrawer(spec Spec, rng, idRNG *rand.Rand) *drawer {
	return &drawer{spec: spec, rng: rng, idRNG: idRNG,
		classes: newChoice(shares(spec.Classes, func(c Class) float64 { return c.Share })),
		tenants: newChoice(shares(spec.Tenants, func(t Tenant) float64 { return t.Share * usageOrOne(t.Usage) })),
		keys:    newChoice(zipfWeights(spec.Keys, spec.KeyZipf))}
}

// draw draws an arrival.
func (d *drawer) draw(at time.Duration, sidecar int) Arrival {
	a := Arrival{At: at, Sidecar: sidecar, Class: d.classes.draw(d.rng)}
	class := d.spec.Classes[a.Class]
	if len(d.spec.Tenants) > 0 {
		a.Tenant = d.spec.Tenants[d.tenants.draw(d.rng)].Name
	}
	a.Key = fmt.Sprintf("k%05d", d.keys.draw(d.rng))
	a.Work = class.work(d.rng)
	lo, hi := d.spec.TryShare[0], d.spec.TryShare[1]
	a.Patience = time.Duration((lo + (hi-lo)*d.rng.Float64()) * float64(class.Deadline))
	a.Retry = d.rng.Float64() < d.spec.Retries
	a.Backoff = time.Duration(d.rng.ExpFloat64() * float64(d.spec.Backoff))
	if d.rng.Float64() < d.spec.Impatient {
		a.Leaves = time.Duration(d.rng.Float64() * float64(a.Patience))
	}
	a.ID, a.RetryID = fmt.Sprintf("%016x", d.idRNG.Uint64()), fmt.Sprintf("%016x", d.idRNG.Uint64())
	return a
}

// arrivals draws the times of the arrivals by thinning. They form a Poisson process whose rate changes.
func arrivals(spec Spec, rng *rand.Rand) (times []time.Duration) {
	maxRate := spec.Rate * (1 + spec.Swing)
	for _, s := range spec.Steps {
		maxRate *= max(1, s.rateFactor)
	}
	if maxRate <= 0 {
		return nil
	}
	up, flip := false, time.Duration(0)
	for t := time.Duration(0); ; {
		t += time.Duration(rng.ExpFloat64() / maxRate * float64(time.Second))
		if t >= spec.Length {
			return times
		}
		for t >= flip {
			up = !up
			flip += time.Duration(rng.ExpFloat64() * float64(meanBurstPhase))
		}
		rate := spec.Rate
		if spec.Bursty && up {
			rate *= 1 + spec.Swing
		} else if spec.Bursty {
			rate *= 1 - spec.Swing
		}
		for _, s := range spec.Steps {
			if s.activeAt(t) {
				rate *= s.rateFactor
			}
		}
		if rng.Float64()*maxRate < rate {
			times = append(times, t)
		}
	}
}

// work draws the work of a request.
func (c Class) work(rng *rand.Rand) time.Duration {
	if c.CV <= 0 {
		return c.Work
	}
	mean := c.Work.Seconds()
	var x float64
	if c.Pareto {
		// Mean xm·α/(α-1) and CV² = 1/(α(α-2)): α = 1 + √(1 + 1/CV²).
		alpha := 1 + math.Sqrt(1+1/(c.CV*c.CV))
		x = distuv.Pareto{Xm: mean * (alpha - 1) / alpha, Alpha: alpha, Src: rng}.Rand()
	} else {
		sigma := math.Sqrt(math.Log(1 + c.CV*c.CV))
		x = distuv.LogNormal{Mu: math.Log(mean) - sigma*sigma/2, Sigma: sigma, Src: rng}.Rand()
	}
	return time.Duration(x * float64(time.Second))
}

// Hash returns a hash of the plan: equal plans have equal hashes.
func (p Plan) Hash() string {
	h := xxhash.New()
	var b [8]byte
	add := func(x uint64) {
		binary.LittleEndian.PutUint64(b[:], x)
		_, _ = h.Write(b[:]) // never fails
	}
	for _, a := range p.Arrivals {
		for _, x := range []time.Duration{a.At, a.Work, a.Patience, a.Backoff, a.Leaves} {
			add(uint64(x))
		}
		add(uint64(a.Sidecar))
		add(uint64(a.Class))
		_, _ = h.WriteString(a.Tenant + "/" + a.Key + "/" + a.ID + "/" + a.RetryID)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// sidecarWeights draws how much each sidecar's clients send, relative to each other; cv is the standard deviation
// over the mean.
func sidecarWeights(n int, cv float64, seed uint64) []float64 {
	rng := rand.New(rand.NewPCG(seed, clientStream))
	weights := make([]float64, n)
	sigma := math.Sqrt(math.Log(1 + cv*cv))
	for i := range weights {
		weights[i] = math.Exp(sigma * rng.NormFloat64())
	}
	return weights
}

// zipfWeights returns the popularities of n keys under Zipf's law.
func zipfWeights(n int, exponent float64) []float64 {
	weights := make([]float64, max(n, 1))
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -exponent)
	}
	return weights
}

func shares[T any](items []T, share func(T) float64) []float64 {
	weights := make([]float64, len(items))
	for i, item := range items {
		weights[i] = share(item)
	}
	return weights
}

func usageOrOne(x float64) float64 {
	if x == 0 {
		return 1
	}
	return x
}

// choice draws indexes by weight.
type choice struct{ sums []float64 }

func newChoice(weights []float64) choice {
	c := choice{sums: slices.Clone(weights)}
	for i := 1; i < len(c.sums); i++ {
		c.sums[i] += c.sums[i-1]
	}
	return c
}

func (c choice) draw(rng *rand.Rand) int {
	if len(c.sums) == 0 {
		return 0
	}
	x := rng.Float64() * c.sums[len(c.sums)-1]
	return min(sort.SearchFloat64s(c.sums, x), len(c.sums)-1)
}
