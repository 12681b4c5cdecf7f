package report

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
)

const (
	bootstraps    = 4000
	bootstrapSeed = 20 // fixed, so that a repeated comparison gives the same result
)

// Ratio is the comparison of one figure in two results.
type Ratio struct {
	Figure   string  `json:"figure"`
	A        float64 `json:"a"` // medians of the figure
	B        float64 `json:"b"`
	Value    float64 `json:"ratio"` // A over B
	Low      float64 `json:"low"`   // bounds of the 95% confidence interval, by bootstrap
	High     float64 `json:"high"`
	Paired   bool    `json:"paired"` // plays of the same seed and repeat are compared with each other
	Verdict  string  `json:"verdict"`
	Compared int     `json:"plays"` // number of plays on the side that has fewer
}

// Compare compares the plays of a variant in one result with those of a variant in another. If both have the same seeds
// and repeats, it draws plays in pairs of the same seed and repeat, so that differences between seeds don't hide a
// difference between the two results.
func Compare(a *Result, variantA string, b *Result, variantB string) ([]Ratio, error) {
	playsA, playsB := a.playsOf(variantA), b.playsOf(variantB)
	if len(playsA) == 0 || len(playsB) == 0 {
		return nil, fmt.Errorf("no plays of %s against %s", variantA, variantB)
	}
	paired := len(playsA) == len(playsB)
	for i := range playsA {
		paired = paired && playsA[i].Seed == playsB[i].Seed && playsA[i].Repeat == playsB[i].Repeat
	}
	var out []Ratio
	for _, name := range Names {
		xs, ys := values(playsA, name[0]), values(playsB, name[0])
		if len(xs) == 0 || len(ys) == 0 {
			continue
		}
		r := Ratio{Figure: name[0], A: median(xs), B: median(ys), Paired: paired && len(xs) == len(ys), Compared: min(len(xs), len(ys))}
		r.computeBounds(xs, ys)
		out = append(out, r)
	}
	return out, nil
}

// playsOf returns a variant's whole plays, sorted by seed and repeat.
func (r *Result) playsOf(variant string) (plays []*Play) {
	for _, p := range r.Plays {
		if p.Variant == variant && !p.Partial {
			plays = append(plays, p)
		}
	}
	slices.SortFunc(plays, func(x, y *Play) int {
		return cmp.Or(cmp.Compare(x.Seed, y.Seed), cmp.Compare(x.Repeat, y.Repeat))
	})
	return plays
}

// values returns a figure of all plays that have it.
func values(plays []*Play, figure string) (xs []float64) {
	for _, p := range plays {
		if x, ok := p.Figures[figure]; ok {
			xs = append(xs, x)
		}
	}
	return xs
}

// computeBounds draws samples from the plays, with replacement, and sets the bounds of the ratio of medians and the verdict.
func (r *Ratio) computeBounds(xs, ys []float64) {
	if r.B == 0 {
		r.Verdict = "no ratio: the second is 0"
		if r.A == 0 {
			r.Verdict = "no difference seen: both are 0"
		}
		return
	}
	r.Value = r.A / r.B
	if r.Compared < 2 {
		r.Verdict = "one play: no interval"
		return
	}
	rng := rand.New(rand.NewPCG(bootstrapSeed, uint64(len(xs))))
	var drawn []float64
	for range bootstraps {
		a, b := make([]float64, len(xs)), make([]float64, len(ys))
		for i := range a {
			j := rng.IntN(len(xs))
			a[i] = xs[j]
			if r.Paired {
				b[i] = ys[j]
			}
		}
		if !r.Paired {
			for i := range b {
				b[i] = ys[rng.IntN(len(ys))]
			}
		}
		if m := median(b); m != 0 {
			drawn = append(drawn, median(a)/m)
		}
	}
	slices.Sort(drawn)
	r.Low, r.High = drawn[len(drawn)*25/1000], drawn[min(len(drawn)-1, len(drawn)*975/1000)]
	switch {
	case r.Low > 1:
		r.Verdict = "higher"
	case r.High < 1:
		r.Verdict = "lower"
	default:
		r.Verdict = "no difference seen"
	}
}
