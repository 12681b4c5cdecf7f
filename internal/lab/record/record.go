// Package record owns what was seen during one play: each request as its client saw it, each attempt as its upstream
// saw it, what was told to whom, and what processes did. Verdicts and figures are drawn from it alone.
//
// All times are since the play began, on one monotonic clock. A Request or Attempt is written by the one goroutine that
// carries it out, and read once the play has ended; the lists are safe for concurrent use.
package record

import (
	"sync"
	"time"
)

// End is how a try ended for its client.
type End int

// The ends. Pending is a try without one.
const (
	Pending    End = iota
	Served         // 200, whole
	Refused        // 429 or 503
	Failed         // any other answer
	Broken         // an answer began and did not come to its end
	Dropped        // the connection ended without a byte of an answer
	NoConnect      // no connection could be had: nothing was taken
	Unanswered     // nothing came in time
	Left           // the client went away early
	Unsent         // the play was stopped before
)

var endNames = [...]string{"pending", "served", "refused", "failed", "broken", "dropped", "no connection", "unanswered", "left", "unsent"}

func (e End) String() string { return endNames[e] }

// Request is one try of a client; a client's retry is another one with the same Wish.
type Request struct {
	ID                 string
	Wish, Try          int // number of the first try in the plan, and of the try, from 0
	Sidecar            string
	Class, Tenant, Key string
	Worth              float64
	Work               time.Duration // on a core of speed 1
	Safe               bool          // to repeat
	Intended           time.Duration // when it was to be sent
	Sent               time.Duration // when its last byte was written; 0: never
	Aim, Patience      time.Duration // from Intended on
	Ended              time.Duration
	End                End
	FirstUse           bool   // of its connection
	Body               string // of an answer 200
}

// Took is the time from the moment at which it was meant to be sent.
func (r *Request) Took() time.Duration { return r.Ended - r.Intended }

// How is how an attempt ended at its upstream.
type How int

// The ends of attempts. Out is one that never ended.
const (
	Out        How = iota
	OK             // answered 200
	Error          // answered 500
	TurnedAway     // answered as not processed
	Unknown        // its id was sent by no client, or not in this form
	Reset          // its connection was broken under it, by a fault
	Lost           // its upstream died
	GivenUp        // the sidecar ended it first
)

var howNames = [...]string{"out", "ok", "error", "turned away", "unknown", "reset", "lost", "given up"}

func (h How) String() string { return howNames[h] }

// Ran tells whether an attempt that ended so may have run.
func (h How) Ran() bool { return h != TurnedAway && h != Unknown }

// Cut is the end of a connection under a request of which no byte of an answer had come. The request may have been sent
// again on another one.
type Cut struct {
	Request, Sidecar string
	Sent, At         time.Duration
	Reset            bool // else closed in order
}

// Attempt is one request as an upstream received it.
type Attempt struct {
	Request  string // its id
	Sidecar  string // whose link brought it: the one that the client asked, or a peer that this one forwarded it to
	Upstream string
	First    time.Duration // its first byte
	Begun    time.Duration // its last byte
	Ended    time.Duration // answered or broken off; 0: neither
	GivenUp  time.Duration // the sidecar ended the connection or its sending; 0: it did not
	Work     time.Duration
	How      How
	Status   int // of the answer; 0: none
	Body     string
}

// Over is when the attempt was no longer out, or end where it still was.
func (a *Attempt) Over(end time.Duration) time.Duration {
	over := end
	if a.Ended > 0 {
		over = min(over, a.Ended)
	}
	if a.GivenUp > 0 {
		over = min(over, a.GivenUp)
	}
	return over
}

// Hop is a request that one sidecar sent to another, as it was seen on the way.
type Hop struct {
	At                time.Duration
	Request, From, To string
}

// Told is news of one upstream that reached a sidecar, or a ban that it confirmed.
type Told struct {
	At                time.Duration
	Sidecar, Upstream string
	Source            Source
	Usable            bool // false: draining, gone or banned from now on
}

// SaidKind is what a line of a sidecar's log is about.
type SaidKind int

// The kinds.
const (
	Evidence SaidKind = iota // its own against an upstream, or that it is used again
	Verdict                  // on an upstream, upon what others say
	Present                  // how many it counts as there
)

// Said is a line of a sidecar's log on what it shares with others.
type Said struct {
	At                       time.Duration
	What                     SaidKind
	Sidecar, Upstream, Class string
	Open                     bool
	Suspected                bool          // own evidence of one failure only: no breaker yet
	For                      time.Duration // a verdict's: no longer; 0: until taken back
	Members                  int           // present, itself too
	Why                      string
}

// Listed is a change of the list as the service was asked for it, before anybody was told.
type Listed struct {
	At       time.Duration
	Upstream string
	Usable   bool
}

// Reported is a breach that its checker found beside this record.
type Reported struct {
	Rule string
	At   time.Duration
	Text string
}

// Source says who told: a ban and the list bind apart from each other.
type Source int

// The sources.
const (
	List Source = iota
	Operator
)

// Life is one process of a party, from its start to its end.
type Life struct {
	Party          string
	Start, Ready   time.Duration // Ready 0: it never was
	End            time.Duration // 0: with the play
	Termed         time.Duration // told to end; 0: it was not
	Killed, Paused bool          // ended by kill -9; Paused: this is no life but a time of being stopped
	Exit           string        // how it ended by itself; empty: it did not
}

// ColdStart is an upstream process that began cold.
type ColdStart struct {
	Upstream     string
	At           time.Duration
	Capacity     float64 // warm, in seconds of work a second
	From         float64
	For          time.Duration
	FallMultiple float64
	FallFor      time.Duration
	Fell         time.Duration // 0: it did not
}

// Sample is what the kernel says of a process.
type Sample struct {
	At          time.Duration
	Party       string
	Start       int // which of its processes, from 1
	Descriptors int
	MemoryMB    float64
	CPU         time.Duration // since its start
}

// Limits is what a party may use.
type Limits struct {
	Descriptors int
	MemoryMB    float64
}

// Load is what one upstream held at a time.
type Load struct {
	At       time.Duration
	Upstream string
	Held     int
}

// Band is a fault's time.
type Band struct {
	Name     string
	Of       []string // the parties that it befell
	From, To time.Duration
}

// Record is the account of a play.
type Record struct {
	begin time.Time

	mu       sync.Mutex
	byID     map[string]*Request
	Requests []*Request
	Attempts []*Attempt
	Cuts     []Cut
	Hops     []Hop
	Told     []Told
	Listed   []Listed
	Said     []Said
	Reported []Reported
	Calls    int // on the list service by callers of a history
	Unknown  int // of them, without an answer
	Watched  int // messages of watches that were checked
	Lives    []*Life
	Colds    []*ColdStart
	Samples  []Sample
	Loads    []Load
	Bands    []Band
	Limits   map[string]Limits
	Zones    map[string]string // of parties
	Length   time.Duration     // of the play, once it has ended
	Partial  bool              // it was broken off
}

// New begins a record now.
func New() *Record {
	return &Record{begin: time.Now(), byID: map[string]*Request{}, Limits: map[string]Limits{}, Zones: map[string]string{}}
}

// Now is the time since the play began, without wall-clock steps.
func (r *Record) Now() time.Duration { return time.Since(r.begin) }

// At is the moment of the machine's clock at which the play is t old.
func (r *Record) At(t time.Duration) time.Time { return r.begin.Add(t) }

// Request takes in a try that is about to be sent.
func (r *Record) Request(q *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[q.ID] = q
	r.Requests = append(r.Requests, q)
}

// Since is the time in the play of a moment of the machine's clock.
func (r *Record) Since(t time.Time) time.Duration { return t.Sub(r.begin.Round(0)) }

// Lookup is the try of that id; nil: no client sent it.
func (r *Record) Lookup(id string) *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// Attempt takes in an attempt that arrived.
func (r *Record) Attempt(a *Attempt) { r.mu.Lock(); r.Attempts = append(r.Attempts, a); r.mu.Unlock() }

// Cut takes in a connection's end under a request.
func (r *Record) Cut(c Cut) { r.mu.Lock(); r.Cuts = append(r.Cuts, c); r.mu.Unlock() }

// Hop takes in a forwarded request.
func (r *Record) Hop(h Hop) { r.mu.Lock(); r.Hops = append(r.Hops, h); r.mu.Unlock() }

// Tell takes in news.
func (r *Record) Tell(t Told) { r.mu.Lock(); r.Told = append(r.Told, t); r.mu.Unlock() }

// List takes in a change of the list.
func (r *Record) List(l Listed) { r.mu.Lock(); r.Listed = append(r.Listed, l); r.mu.Unlock() }

// Life takes in a process that starts.
func (r *Record) Life(l *Life) { r.mu.Lock(); r.Lives = append(r.Lives, l); r.mu.Unlock() }

// Change alters what was taken in, in step with all else.
func (r *Record) Change(f func()) { r.mu.Lock(); f(); r.mu.Unlock() }

// Cold takes in a cold start.
func (r *Record) Cold(c *ColdStart) { r.mu.Lock(); r.Colds = append(r.Colds, c); r.mu.Unlock() }

// Sample takes in a reading.
func (r *Record) Sample(s ...Sample) { r.mu.Lock(); r.Samples = append(r.Samples, s...); r.mu.Unlock() }

// Load takes in what upstreams hold.
func (r *Record) Load(l ...Load) { r.mu.Lock(); r.Loads = append(r.Loads, l...); r.mu.Unlock() }

// Band takes in a fault's time.
func (r *Record) Band(b Band) { r.mu.Lock(); r.Bands = append(r.Bands, b); r.mu.Unlock() }

// EndedSince tells whether a process of the party was killed or ended by itself at t or later. One that was told to end
// closes its connections in order, or breaks a rule.
func (r *Record) EndedSince(party string, t time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.Lives {
		if l.Party == party && !l.Paused && (l.Killed || l.Termed == 0) && l.End > 0 && l.End >= t {
			return true
		}
	}
	return false
}
