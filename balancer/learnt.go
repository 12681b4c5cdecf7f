package balancer

import (
	"math"
	"slices"
	"time"
)

// Learnt is what a Balancer knows from its own outcomes. The next process of the same sidecar begins with it: as an
// event, after its first list. Times are durations before the moment, since clocks differ between processes.
type Learnt struct {
	Upstreams map[string]LearntUpstream `json:"Upstreams"`
	Kinds     map[string]float64        `json:"Kinds"` // mean latency by kind of machine
	Classes   map[string]LearntClass    `json:"Classes"`
	Tenants   map[string]LearntRate     `json:"Tenants"`
	Fleet     float64                   `json:"Fleet"`
	Mean      float64                   `json:"Mean"`
	HintMean  float64                   `json:"HintMean"`
	Mid       float64                   `json:"Mid"`
	Late      float64                   `json:"Late"`
	AtHome    float64                   `json:"AtHome"`
	Limit     float64                   `json:"Limit"`
	Crowd     float64                   `json:"Crowd"`
	Wins      float64                   `json:"Wins"`
	CrowdAge  time.Duration             `json:"CrowdAge"`
	ShedAge   time.Duration             `json:"ShedAge"` // 0: nothing is refused
	Carried   float64                   `json:"Carried"`
	Offered   LearntRate                `json:"Offered"`
	Served    LearntRate                `json:"Served"`
}

// LearntUpstream is what was learnt of one process of an upstream.
type LearntUpstream struct {
	UpFor     time.Duration `json:"UpFor"` // 0: long
	Estimate  float64       `json:"Estimate"`
	Age       time.Duration `json:"Age"` // of the estimate
	Ejections int           `json:"Ejections"`
	Left      time.Duration `json:"Left"`    // of the ejection
	ColdFor   time.Duration `json:"ColdFor"` // 0: not cold
	Tokens    float64       `json:"Tokens"`  // of a cold one: what is left of its budget, in mean requests; below 0: in debt
}

// LearntClass is what was learnt of a class.
type LearntClass struct {
	Mean     float64       `json:"Mean"`
	TryTime  time.Duration `json:"TryTime"`
	TryVotes int           `json:"TryVotes"`
}

// LearntRate is a rate.
type LearntRate struct {
	Sum float64       `json:"Sum"`
	Age time.Duration `json:"Age"`
}

func (Learnt) event() {}

// sameStart is how far two processes' clocks may put the start of an upstream apart.
const sameStart = 10 * time.Millisecond

// Learnt tells what was learnt by now.
func (b *Balancer) Learnt(now time.Duration) Learnt {
	l := Learnt{Upstreams: map[string]LearntUpstream{}, Kinds: map[string]float64{}, Classes: map[string]LearntClass{},
		Tenants: map[string]LearntRate{}, Fleet: b.fleet, Mean: b.mean, HintMean: b.hintMean, Mid: b.mid.v, Late: b.late.v,
		AtHome: b.atHome, Limit: b.limit, Crowd: b.crowd, CrowdAge: now - b.crowdAt, Carried: b.carried, Wins: b.copyWins,
		Offered: b.offered.learnt(now), Served: b.served.learnt(now)}
	if b.shedding != 0 {
		l.ShedAge = max(now-b.shedding, 1)
	}
	for _, u := range b.list {
		x := LearntUpstream{Estimate: u.est.value, Age: now - u.est.at, Ejections: u.ejections, Left: max(u.until-now, 0)}
		if u.cameUp > 0 {
			x.UpFor = now - u.cameUp
		}
		if u.cold {
			x.ColdFor, x.Tokens = now-u.coldFrom, u.tokens
		}
		l.Upstreams[u.id] = x
	}
	for kind, mean := range b.means {
		l.Kinds[kind] = *mean
	}
	for name, c := range b.classes {
		l.Classes[name] = LearntClass{c.mean, c.tryTime, c.tryVotes}
	}
	for i, t := range b.set.Tenants {
		l.Tenants[t.Name] = b.tenants[i].learnt(now)
	}
	return l
}

// resume begins with what the process before has learnt. An upstream that started anew meanwhile stays as it is.
func (b *Balancer) resume(l Learnt) {
	for kind, mean := range l.Kinds {
		if b.means[kind] == nil {
			b.means[kind] = new(float64)
		}
		*b.means[kind] = mean
	}
	for name, x := range l.Classes {
		if c := b.classes[name]; c != nil {
			c.mean, c.tryTime, c.tryVotes = x.Mean, x.TryTime, x.TryVotes
		}
	}
	for i, t := range b.set.Tenants {
		if x, known := l.Tenants[t.Name]; known {
			b.tenants[i].resume(x, b.now)
		}
	}
	b.fleet, b.mean, b.hintMean, b.mid.v, b.late.v = l.Fleet, l.Mean, l.HintMean, l.Mid, l.Late
	b.atHome, b.limit, b.crowd, b.crowdAt, b.copyWins = l.AtHome, l.Limit, l.Crowd, b.now-l.CrowdAge, l.Wins
	if b.carried = l.Carried; l.ShedAge > 0 {
		b.shedding = b.now - l.ShedAge
	}
	b.offered.resume(l.Offered, b.now)
	b.served.resume(l.Served, b.now)
	for _, u := range b.list {
		x, known := l.Upstreams[u.id]
		if !known || (u.cameUp == 0) != (x.UpFor == 0) || u.cameUp > 0 && (b.now-u.cameUp-x.UpFor).Abs() > sameStart {
			continue
		}
		u.est = estimate{x.Estimate, b.now - x.Age}
		u.ejections = x.Ejections
		if x.Left > 0 {
			u.until = b.now + x.Left
		}
		if x.ColdFor > 0 && x.ColdFor < b.set.WarmUp {
			u.cold, u.coldFrom, u.filled, u.tokens = true, b.now-x.ColdFor, b.now, x.Tokens
		}
	}
}

// freshFor is how long a process may be away before its rates, and what it refused by them, tell nothing.
const freshFor = 2 * time.Second

// Pass lets time pass since l was learnt. used says that the process that learnt it ended without a word: what it sent
// to cold upstreams since is not known, and counts as all that it might.
func (l *Learnt) Pass(d time.Duration, used bool) {
	for id, u := range l.Upstreams {
		u.Age += d
		u.Left = max(0, u.Left-d)
		if u.UpFor > 0 {
			u.UpFor += d
		}
		if u.ColdFor > 0 {
			u.ColdFor += d
			if used {
				u.Tokens = min(0, u.Tokens) // what is owed stays so
			}
		}
		l.Upstreams[id] = u
	}
	l.CrowdAge += d
	if d <= freshFor {
		return
	}
	l.ShedAge, l.Carried, l.Offered, l.Served = 0, 0, LearntRate{}, LearntRate{}
	for name := range l.Tenants {
		l.Tenants[name] = LearntRate{}
	}
}

func (r *rate) learnt(now time.Duration) LearntRate {
	if !r.begun {
		return LearntRate{}
	}
	return LearntRate{r.sum * math.Exp(-float64(now-r.at)/float64(r.memory)), now - r.since}
}

func (r *rate) resume(l LearntRate, now time.Duration) {
	if l.Age > 0 {
		r.begun, r.sum, r.at, r.since = true, l.Sum, now, now-l.Age
	}
}

// usable is false for what could upset the decisions: the other process is of another version, perhaps.
func (l *Learnt) usable() bool {
	ok := func(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
	numbers := []float64{l.Fleet, l.Mean, l.HintMean, l.Mid, l.Late, l.AtHome, l.Limit, l.Crowd, l.Wins, l.Carried, l.Offered.Sum, l.Served.Sum}
	for _, u := range l.Upstreams {
		numbers = append(numbers, u.Estimate, float64(u.Age), float64(u.Ejections), float64(u.Left), float64(u.ColdFor), math.Abs(u.Tokens))
	}
	for _, mean := range l.Kinds {
		numbers = append(numbers, mean)
	}
	for _, c := range l.Classes {
		numbers = append(numbers, c.Mean)
	}
	for _, t := range l.Tenants {
		numbers = append(numbers, t.Sum)
	}
	return l.Fleet > 0 && l.Mean > 0 && l.Mid > 0 && l.Late > 0 && l.Limit > 0 &&
		!slices.ContainsFunc(numbers, func(x float64) bool { return !ok(x) })
}
