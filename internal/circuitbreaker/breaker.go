// Package circuitbreaker owns the verdict on an upstream from what several sidecars report of it. Pure: events and the time in,
// verdicts out; no I/O and no clock.
package circuitbreaker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mosslead/internal/gossip/message"
)

// Event is what a Board is told: Heard, Own, Trial, Duty, Roster, Listed, Tick, or a Batch of them.
type Event interface{ event() }

// Batch is what happened at once: judged once.
type Batch []Event

// Heard is what another member says of an upstream, believed for at most TTL. A closed one that counts successes says that
// the upstream serves its reporter, whatever others say.
type Heard struct {
	From   message.Member // name and incarnation; where it stands is the roster's to tell
	Report message.Report
	TTL    time.Duration
	Over   bool // taken back
}

// Own is what this sidecar's balancer says itself, until it says otherwise.
type Own struct{ Report message.Report }

// Trial is what the holder of an upstream's trials says of them, this sidecar too; with Over, that it makes none any more.
type Trial struct {
	From  string
	Tried message.Tried
	TTL   time.Duration
	Over  bool
}

// Duty tells whether this sidecar holds the trials of an upstream.
type Duty struct {
	Upstream string
	Held     bool
}

// Roster is who is present, this sidecar too.
type Roster struct{ Members []message.Member }

// Upstream is an entry of the list.
type Upstream struct {
	Name, Site string
	SinceMs    int64
}

// Listed is the list as it stands: what is said of another life of an upstream, or of none, counts for nothing.
type Listed struct{ Upstreams []Upstream }

// Tick lets time pass.
type Tick struct{}

func (Batch) event()  {}
func (Heard) event()  {}
func (Own) event()    {}
func (Trial) event()  {}
func (Duty) event()   {}
func (Roster) event() {}
func (Listed) event() {}
func (Tick) event()   {}

// Tries says whose the trials of an upstream are.
type Tries uint8

// Whose they may be.
const (
	Each   Tries = iota // nobody holds them: each sidecar makes its own, as without others
	Others              // another sidecar's
	Ours                // this sidecar's
)

// Verdict is what the others' reports come to, for a sidecar that has not met the fault itself.
type Verdict struct {
	Upstream string
	SinceMs  int64
	Class    string // whose requests it holds for; empty: all
	Open     bool
	Share    float64       // of the ordinary picks let through while it closes in steps, 0 to 1
	Since    time.Duration // when the oldest of the reports that count was heard: an own success after it outranks them
	For      time.Duration // and no longer
	Tries    Tries
	Step     int    // trials in a row that went well, of the closing that is under way
	Round    uint64 // closings so far
	Tried    bool   // it ended by trials that went well
	News     bool   // more than a longer time
	Why      string
}

// Config says who looks at the reports.
type Config struct{ Self, Site string }

// Bounds on what is held; what is beyond them is not taken in.
const (
	subjectsMost  = 512 // upstreams and their classes that are spoken of
	reportersMost = 64  // of one subject
	sayMost       = 128 // subjects that one reporter speaks of
	ownTTL        = time.Minute
	wellTTL       = 5 * time.Second // that something serves a sidecar holds for a moment
)

// subject is what a verdict is about: an upstream, or one class of requests at it.
type subject struct{ upstream, class string }

func (s subject) compare(t subject) int {
	return cmp.Or(cmp.Compare(s.upstream, t.upstream), cmp.Compare(s.class, t.class))
}

// said is a report as this board has it.
type said struct {
	from   message.Incarnation
	report message.Report
	first  time.Duration // when evidence of this breaker was first heard
	fresh  time.Duration // when evidence was last heard that had not been before
	until  time.Duration
	wrong  bool // contradicted once: that counts once
}

func (r *said) open() bool { return r.report.State != message.Closed }

// Board holds the reports. Not safe for concurrent use.
type Board struct {
	c       Config
	began   time.Duration // when it was told of anything first
	listed  map[string]Upstream
	sites   map[string]int // upstreams by site
	members map[string]message.Member
	sizes   map[string]size // members by site
	reports map[subject]map[string]*said
	scores  map[string]score
	trials  map[string]*trial
	ours    map[string]bool // trials that this sidecar holds
	told    map[subject]*standing
}

// New is a board without reports.
func New(c Config) *Board {
	return &Board{c: c, began: -1, listed: map[string]Upstream{}, sites: map[string]int{}, members: map[string]message.Member{},
		sizes: map[string]size{}, reports: map[subject]map[string]*said{}, scores: map[string]score{}, trials: map[string]*trial{},
		ours: map[string]bool{}, told: map[subject]*standing{}}
}

// Handle takes in what happened at now, and tells what has changed of the verdicts, or would lapse soon.
func (b *Board) Handle(now time.Duration, e Event) []Verdict {
	if b.began < 0 {
		b.began = now
	}
	b.take(now, e)
	return b.judge(now)
}

func (b *Board) take(now time.Duration, e Event) {
	switch e := e.(type) {
	case Batch:
		for _, one := range e {
			b.take(now, one)
		}
	case Heard:
		b.hear(now, e.From, e.Report, e.TTL, e.Over)
	case Own:
		self := message.Member{Name: b.c.Self, Incarnation: b.members[b.c.Self].Incarnation}
		b.hear(now, self, e.Report, ownTTL, e.Report.State == message.Closed && e.Report.Count == 0)
	case Trial:
		b.tried(now, e)
	case Duty:
		if delete(b.ours, e.Upstream); e.Held {
			b.ours[e.Upstream] = true
		}
	case Roster:
		b.roster(now, e.Members)
	case Listed:
		b.list(e.Upstreams)
	}
}

// usable tells whether a report can be read: words of a later schema may have kinds that this one does not know.
func usable(r *message.Report) bool {
	return r.Upstream != "" && len(r.Upstream) <= message.NameMost && len(r.Class) <= message.NameMost && r.State <= message.HalfOpen &&
		r.Count >= 0 && (r.State == message.Closed || r.Evidence >= message.Errors && r.Evidence <= message.Full) && r.Doubt >= 0 && r.Doubt <= 1
}

func (b *Board) hear(now time.Duration, from message.Member, r message.Report, ttl time.Duration, over bool) {
	s := subject{r.Upstream, r.Class}
	by := b.reports[s]
	if over {
		delete(by, from.Name)
		return
	}
	if !usable(&r) || ttl <= 0 || b.passed(&r) {
		return
	}
	old := by[from.Name]
	if old == nil {
		if len(by) >= reportersMost || by == nil && len(b.reports) >= subjectsMost || b.says(from.Name) >= sayMost {
			return
		}
		old = &said{first: now, fresh: now}
		if by == nil {
			by = map[string]*said{}
			b.reports[s] = by
		}
		by[from.Name] = old
	} else if old.from != from.Incarnation || old.open() != (r.State != message.Closed) || old.report.SinceMs != r.SinceMs || old.report.Round != r.Round {
		*old = said{first: now, fresh: now}
	} else if old.report.Count != r.Count || old.report.Evidence != r.Evidence {
		old.fresh = now
	}
	if r.State == message.Closed {
		old.fresh, ttl = now, min(ttl, wellTTL)
	}
	old.from, old.report, old.until = from.Incarnation, r, now+min(ttl, message.TTLMost)
	b.contradict(now, s)
}

// passed tells whether a report is on an earlier life of an upstream than the list has.
func (b *Board) passed(r *message.Report) bool {
	u, listed := b.listed[r.Upstream]
	return listed && r.SinceMs < u.SinceMs
}

// says counts the subjects that a reporter speaks of.
func (b *Board) says(name string) (n int) {
	for _, by := range b.reports {
		if by[name] != nil {
			n++
		}
	}
	return n
}

// list takes the list as it stands. What was said of an upstream that left it is void, also if it comes back; the epochs of
// its trials are not.
func (b *Board) list(all []Upstream) {
	before := b.listed
	b.listed, b.sites = map[string]Upstream{}, map[string]int{}
	for _, u := range all {
		b.listed[u.Name] = u
		b.sites[u.Site]++
		if t := b.trials[u.Name]; t != nil && t.sinceMs != u.SinceMs {
			t.void(u.SinceMs)
		}
	}
	for s := range b.reports {
		_, was := before[s.upstream]
		if _, is := b.listed[s.upstream]; was && !is {
			delete(b.reports, s)
		}
	}
	if len(b.trials) > subjectsMost {
		maps.DeleteFunc(b.trials, func(name string, _ *trial) bool {
			_, is := b.listed[name]
			return !is
		})
	}
}

// sweep drops what has lapsed, or is of a life before.
func (b *Board) sweep(now time.Duration) {
	for s, by := range b.reports {
		maps.DeleteFunc(by, func(_ string, r *said) bool {
			return r.until <= now || b.passed(&r.report)
		})
		if len(by) == 0 {
			delete(b.reports, s)
		}
	}
}

// subjects are those that something is or was said of, in order.
func (b *Board) subjects() []subject {
	all := slices.Collect(maps.Keys(b.reports))
	for s := range b.told {
		if b.reports[s] == nil {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, subject.compare)
	return all
}

// Standing are the verdicts that are open, as they were told last.
func (b *Board) Standing() (open []Verdict) {
	for _, s := range slices.SortedFunc(maps.Keys(b.told), subject.compare) {
		if v := b.told[s]; v.Open {
			open = append(open, v.Verdict)
		}
	}
	return open
}
