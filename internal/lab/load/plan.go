// Package load owns the traffic of a play: arrivals that are drawn ahead from a seed, and the clients that send them at
// the drawn moments whatever is still out.
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
	Share     float64       // of the requests; shares are set against each other
	Work      time.Duration // mean, on a core of speed 1
	CV        float64       // of the work: its deviation over its mean; 0: all alike
	Pareto    bool          // else lognormal
	Aim       time.Duration
	Deadline  time.Duration // what a client waits over all of its tries
	Worth     float64
	LateWorth float64 // share of the worth that is left after the aim
	Safe      bool
}

// Tenant is a party that sends requests.
type Tenant struct {
	Name  string
	Share float64 // of the service that is due to it
	Usage float64 // of its share that it sends; 0: 1
}

// Step changes the rate for a time.
type Step struct {
	At, For time.Duration
	Times   float64
	Of      []int // the sidecars whose clients ask more; empty: all

	rateFactor float64 // times the whole rate, see weighed
}

// Spec is the traffic of a play.
type Spec struct {
	Length    time.Duration
	Rate      float64 // requests a second, of all clients
	Bursty    bool    // the rate swings by itself, else it is even
	Swing     float64 // by so much up and down
	Steps     []Step
	StreamCV  float64 // how unevenly clients send
	Classes   []Class
	Tenants   []Tenant
	Keys      int
	KeyZipf   float64       // exponent of the keys' popularity; 0: all alike
	TryShare  [2]float64    // of the deadline that a client gives one try
	Retries   float64       // of clients' wishes that are tried once more after a bad answer
	Backoff   time.Duration // mean wait before that
	Impatient float64       // share of clients that leave early
}

// Arrival is one wish of a client.
type Arrival struct {
	At          time.Duration
	Sidecar     int
	Class       int
	Tenant, Key string
	Work        time.Duration
	Patience    time.Duration // for one try
	Retry       bool          // tries once more
	Backoff     time.Duration
	Leaves      time.Duration // after so long, though it would wait; 0: it stays
	ID, RetryID string
}

// Plan is all arrivals of a play, in order.
type Plan struct {
	Spec     Spec
	Arrivals []Arrival
}

// meanBurstPhase is the mean time that a bursty rate stays up or down.
const meanBurstPhase = time.Second

// streams numbers the independent random streams of a seed.
const (
	arrivalStream = iota + 1
	detailStream
	clientStream
	idStream
	busyStream
)

// Draw draws the arrivals for so many sidecars. The same seed and spec give the same plan.
func Draw(spec Spec, sidecars int, seed uint64) Plan {
	when := rand.New(rand.NewPCG(seed, arrivalStream))
	weights := sidecarWeights(sidecars, spec.StreamCV, seed)
	who := newChoice(weights)
	spec = spec.withRateFactors(weights)
	d := newDrawer(spec, rand.New(rand.NewPCG(seed, detailStream)), rand.New(rand.NewPCG(seed, idStream)))
	p := Plan{Spec: spec}
	for _, at := range arrivals(spec, when) {
		from := who
		if w := spec.weightsAt(weights, at); w != nil {
			from = newChoice(w)
		}
		p.Arrivals = append(p.Arrivals, d.draw(at, from.draw(d.rng)))
	}
	return p
}

// withRateFactors puts into each step that is of some sidecars' clients how many times the rate of all becomes.
func (s Spec) withRateFactors(weights []float64) Spec {
	s.Steps = slices.Clone(s.Steps)
	all := 0.0
	for _, w := range weights {
		all += w
	}
	for i := range s.Steps {
		step := &s.Steps[i]
		step.rateFactor = step.Times
		if len(step.Of) > 0 {
			step.rateFactor = 1
			for _, n := range step.Of {
				step.rateFactor += (step.Times - 1) * weights[n] / all
			}
		}
	}
	return s
}

// weightsAt are the clients' weights at a time at which some sidecars' ask more; nil: they are as ever.
func (s Spec) weightsAt(weights []float64, at time.Duration) (w []float64) {
	for _, step := range s.Steps {
		if len(step.Of) == 0 || !step.activeAt(at) {
			continue
		}
		if w == nil {
			w = slices.Clone(weights)
		}
		for _, n := range step.Of {
			w[n] *= step.Times
		}
	}
	return w
}

// activeAt tells whether the step is under way.
func (s Step) activeAt(at time.Duration) bool { return at >= s.At && at < s.At+s.For }

// drawer draws what arrivals are like.
type drawer struct {
	spec                   Spec
	rng, idRNG             *rand.Rand
	classes, tenants, keys choice
}

func newDrawer(spec Spec, what, ids *rand.Rand) *drawer {
	return &drawer{spec: spec, rng: what, idRNG: ids,
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

// arrivals draws the moments: a Poisson process whose rate changes, by thinning.
func arrivals(spec Spec, rng *rand.Rand) (at []time.Duration) {
	most := spec.Rate * (1 + spec.Swing)
	for _, s := range spec.Steps {
		most *= max(1, s.rateFactor)
	}
	if most <= 0 {
		return nil
	}
	up, flip := false, time.Duration(0)
	for t := time.Duration(0); ; {
		t += time.Duration(rng.ExpFloat64() / most * float64(time.Second))
		if t >= spec.Length {
			return at
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
		if rng.Float64()*most < rate {
			at = append(at, t)
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

// Hash tells plans apart: equal plans have equal hashes.
func (p Plan) Hash() string {
	h := xxhash.New()
	var b [8]byte
	word := func(x uint64) {
		binary.LittleEndian.PutUint64(b[:], x)
		_, _ = h.Write(b[:]) // never fails
	}
	for _, a := range p.Arrivals {
		for _, x := range []time.Duration{a.At, a.Work, a.Patience, a.Backoff, a.Leaves} {
			word(uint64(x))
		}
		word(uint64(a.Sidecar))
		word(uint64(a.Class))
		_, _ = h.WriteString(a.Tenant + "/" + a.Key + "/" + a.ID + "/" + a.RetryID)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// sidecarWeights gives the clients' weights, with the given deviation over the mean.
func sidecarWeights(n int, cv float64, seed uint64) []float64 {
	rng := rand.New(rand.NewPCG(seed, clientStream))
	w := make([]float64, n)
	sigma := math.Sqrt(math.Log(1 + cv*cv))
	for i := range w {
		w[i] = math.Exp(sigma * rng.NormFloat64())
	}
	return w
}

func zipfWeights(n int, exponent float64) []float64 {
	w := make([]float64, max(n, 1))
	for i := range w {
		w[i] = math.Pow(float64(i+1), -exponent)
	}
	return w
}

func shares[T any](of []T, share func(T) float64) []float64 {
	w := make([]float64, len(of))
	for i, x := range of {
		w[i] = share(x)
	}
	return w
}

func usageOrOne(x float64) float64 {
	if x == 0 {
		return 1
	}
	return x
}

// choice draws numbers by weight.
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
