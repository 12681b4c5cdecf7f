// Package record holds what was observed during one run: each request as its client saw it, each attempt as its upstream
// saw it, the news that reached sidecars, and what processes did. Verdicts and figures are computed from it alone.
//
// All times count from the beginning of the run, on one monotonic clock. Only the goroutine that carries a Request or
// Attempt out writes it, and it is read after the run has ended. The lists are safe for concurrent use.
package record

import (
	"sync"
	"time"
)

// End is how a try ended for its client.
type End int

// The ends of tries. Pending means that a try has not ended.
const (
	Pending    End = iota
	Served         // 200, complete
	Refused        // 429 or 503
	Failed         // any other answer
	Broken         // an answer began and was cut off
	Dropped        // the connection ended before the first byte of an answer
	NoConnect      // no connection was established, so nothing was accepted
	Unanswered     // no answer came in time
	Left           // the client gave up early
	Unsent         // the run was stopped before the request was sent
)

var endNames = [...]string{"pending", "served", "refused", "failed", "broken", "dropped", "no connection", "unanswered", "left", "unsent"}

func (e End) String() string { return endNames[e] }

// Request is one try of a client. A client's retry is another Request with the same Wish.
type Request struct {
	ID                 string
	Wish, Try          int // number of the first try in the plan, and number of this try, from 0
	Sidecar            string
	Class, Tenant, Key string
	Worth              float64
	Work               time.Duration // on a core of speed 1
	Safe               bool          // safe to repeat
	Intended           time.Duration // when it was planned to be sent
	Sent               time.Duration // when its last byte was written; 0 if it never was
	Aim, Patience      time.Duration // counted from Intended
	Ended              time.Duration
	End                End
	FirstUse           bool   // whether it was the first request on its connection
	Body               string // body of an answer with status 200
}

// Took returns the time from the planned sending to the end.
func (r *Request) Took() time.Duration { return r.Ended - r.Intended }

// How is how an attempt ended at its upstream.
type How int

// The ends of attempts. Out means that an attempt has not ended.
const (
	Out        How = iota
	OK             // answered 200
	Error          // answered 500
	TurnedAway     // answered as not processed
	Unknown        // no client sent its ID, or not in this form
	Reset          // a fault broke its connection
	Lost           // its upstream died
	GivenUp        // the sidecar ended it first
)

var howNames = [...]string{"out", "ok", "error", "turned away", "unknown", "reset", "lost", "given up"}

func (h How) String() string { return howNames[h] }

// Ran reports whether an attempt with this end may have run.
func (h How) Ran() bool { return h != TurnedAway && h != Unknown }

// Cut is the end of a connection while a request on it had not got a byte of an answer. The request may have been sent
// again on another connection.
type Cut struct {
	Request, Sidecar string
	Sent, At         time.Duration
	Reset            bool // by a reset; otherwise closed in order
}

// Attempt is one request as an upstream received it.
type Attempt struct {
	Request  string // its ID
	Sidecar  string // sidecar whose link brought it: the one that the client asked, or a peer to which that one forwarded it
	Upstream string
	First    time.Duration // when its first byte arrived
	Begun    time.Duration // when its last byte arrived
	Ended    time.Duration // when it was answered or broken off; 0 if neither
	GivenUp  time.Duration // when the sidecar ended the connection or its sending; 0 if it did not
	Work     time.Duration
	How      How
	Status   int // of the answer; 0 if there is none
	Body     string
}

// Over returns when the attempt ended or was given up, whichever came first, or end if neither came before end.
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

// Hop is a request that one sidecar sent to another, as observed on the link.
type Hop struct {
	At                time.Duration
	Request, From, To string
}

// Told is news of an upstream that reached a sidecar, or a ban that the sidecar confirmed.
type Told struct {
	At                time.Duration
	Sidecar, Upstream string
	Source            Source
	Usable            bool // false if the upstream is draining, gone or banned from now on
}

// SaidKind is the subject of a line of a sidecar's log.
type SaidKind int

// The kinds of log lines.
const (
	Evidence SaidKind = iota // the sidecar's own evidence against an upstream, or that it uses the upstream again
	Verdict                  // on an upstream, from the evidence of others
	Present                  // number of members that the sidecar counts as present
)

// Said is a line of a sidecar's log about what it shares with others.
type Said struct {
	At                       time.Duration
	What                     SaidKind
	Sidecar, Upstream, Class string
	Open                     bool
	Suspected                bool          // own evidence of only one failure, which opens no breaker yet
	For                      time.Duration // longest duration of a verdict; 0 if it holds until withdrawn
	Members                  int           // number of members present, including the sidecar
	Why                      string
}

// Listed is a change of the list, noted when the list service was asked to make it and before anybody was told of it.
type Listed struct {
	At       time.Duration
	Upstream string
	Usable   bool
}

// Reported is a breach of a rule that its checker found apart from this record.
type Reported struct {
	Rule string
	At   time.Duration
	Text string
}

// Source is where news came from. A ban and the list are independent of each other.
type Source int

// The sources.
const (
	List Source = iota
	Operator
)

// Life is one process of a party, from its start to its end.
type Life struct {
	Party          string
	Start, Ready   time.Duration // Ready is 0 if it never was ready
	End            time.Duration // 0 if it ran to the end of the run
	Termed         time.Duration // when it was told to end; 0 if it was not
	Killed, Paused bool          // Killed: ended by kill -9. Paused: this is no process, but a time during which one was stopped
	Exit           string        // how it ended by itself; empty if it did not
}

// ColdStart is the start of a cold upstream process.
type ColdStart struct {
	Upstream     string
	At           time.Duration
	Capacity     float64 // when warm, in seconds of work per second
	From         float64
	For          time.Duration
	FallMultiple float64
	FallFor      time.Duration
	Fell         time.Duration // when overload ended it; 0 if that did not happen
}

// Sample is what the kernel reported of a process.
type Sample struct {
	At          time.Duration
	Party       string
	Start       int // number of the party's process, from 1
	Descriptors int
	MemoryMB    float64
	CPU         time.Duration // processor time since its start
}

// Limits is what a party may use.
type Limits struct {
	Descriptors int
	MemoryMB    float64
}

// Load is the number of requests that an upstream held at a time.
type Load struct {
	At       time.Duration
	Upstream string
	Held     int
}

// Band is the time during which a fault was in force.
type Band struct {
	Name     string
	Of       []string // the parties that it affected
	From, To time.Duration
}

// Record is everything that was observed during a run.
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
	Calls    int // calls on the list service by the callers of a history
	Unknown  int // number of Calls without an answer
	Watched  int // number of watch messages that were checked
	Lives    []*Life
	Colds    []*ColdStart
	Samples  []Sample
	Loads    []Load
	Bands    []Band
	Limits   map[string]Limits
	Zones    map[string]string // by party
	Length   time.Duration     // of the run, once it has ended
	Partial  bool              // whether the run was stopped early
}

// New returns a record of a run that begins now.
func New() *Record {
	return &Record{begin: time.Now(), byID: map[string]*Request{}, Limits: map[string]Limits{}, Zones: map[string]string{}}
}

// Now returns the time since the run began. Steps of the wall clock don't affect it.
func (r *Record) Now() time.Duration { return time.Since(r.begin) }

// At returns the time of the machine's clock at which the run has lasted t.
func (r *Record) At(t time.Duration) time.Time { return r.begin.Add(t) }

// Request adds a try that is about to be sent.
func (r *Record) Request(q *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[q.ID] = q
	r.Requests = append(r.Requests, q)
}

// Since returns how long the run had lasted at a time of the machine's clock.
func (r *Record) Since(t time.Time) time.Duration { return t.Sub(r.begin.Round(0)) }

// Lookup returns the try with an ID, nil if no client sent one.
func (r *Record) Lookup(id string) *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// Attempt adds an attempt that arrived.
func (r *Record) Attempt(a *Attempt) { r.mu.Lock(); r.Attempts = append(r.Attempts, a); r.mu.Unlock() }

// Cut adds the end of a connection under a request.
func (r *Record) Cut(c Cut) { r.mu.Lock(); r.Cuts = append(r.Cuts, c); r.mu.Unlock() }

// Hop adds a forwarded request.
func (r *Record) Hop(h Hop) { r.mu.Lock(); r.Hops = append(r.Hops, h); r.mu.Unlock() }

// Tell adds news that reached a sidecar.
func (r *Record) Tell(t Told) { r.mu.Lock(); r.Told = append(r.Told, t); r.mu.Unlock() }

// List adds a change of the list.
func (r *Record) List(l Listed) { r.mu.Lock(); r.Listed = append(r.Listed, l); r.mu.Unlock() }

// Life adds a process that starts.
func (r *Record) Life(l *Life) { r.mu.Lock(); r.Lives = append(r.Lives, l); r.mu.Unlock() }

// Change calls f, which changes recorded data, under the record's lock.
func (r *Record) Change(f func()) { r.mu.Lock(); f(); r.mu.Unlock() }

// Cold adds a cold start.
func (r *Record) Cold(c *ColdStart) { r.mu.Lock(); r.Colds = append(r.Colds, c); r.mu.Unlock() }

// Sample adds samples of processes.
func (r *Record) Sample(s ...Sample) { r.mu.Lock(); r.Samples = append(r.Samples, s...); r.mu.Unlock() }

// Load adds loads of upstreams.
func (r *Record) Load(l ...Load) { r.mu.Lock(); r.Loads = append(r.Loads, l...); r.mu.Unlock() }

// Band adds the time of a fault.
func (r *Record) Band(b Band) { r.mu.Lock(); r.Bands = append(r.Bands, b); r.mu.Unlock() }

// EndedSince reports whether a process of the party was killed or ended by itself at t or later. A process that was told
// to end doesn't count, since it must close its connections in order.
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
