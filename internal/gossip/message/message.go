// Package message owns the words that sidecars say to each other, and the bounds on them.
package message

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Schema is the newest form of these words that this program speaks. Members tell each other theirs. A later one may add
// fields, which an earlier one does not read; it may not change what a field means.
const Schema = 1

// Bounds on what is said, in bytes where nothing else stands. What is beyond them is not taken in.
const (
	MaxName            = 64      // a member, an upstream, a class, a duty
	MaxBody            = 1024    // the body of a record, encoded
	MaxRecord          = 1400    // a record with its head, encoded: one datagram holds it
	MaxRecordsPerOwner = 256     // records of one owner
	MaxState           = 1 << 20 // all records, encoded: what push/pull brings
	MaxTTL             = time.Minute
)

// Incarnation tells the processes of one member apart.
type Incarnation struct {
	StartedMs int64  `cbor:"1,keyasint"` // Unix time of the process's start by its own clock, in milliseconds
	ID        uint64 `cbor:"2,keyasint"` // random
}

// Newer tells whether i is of a later process than other: by the start; of two that started together the higher id is.
// A process whose clock was set back looks older than the one before it, and is told so, see peer.Carrier.
func (i Incarnation) Newer(other Incarnation) bool { return i.compare(other) > 0 }

func (i Incarnation) compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.StartedMs, other.StartedMs), cmp.Compare(i.ID, other.ID))
}

// Member is a process that takes part.
type Member struct {
	Name        string      `cbor:"1,keyasint"` // the same after a restart
	Incarnation Incarnation `cbor:"2,keyasint"`
	Site        string      `cbor:"3,keyasint"` // data centre
	Version     string      `cbor:"4,keyasint"` // of the program
	Schema      int         `cbor:"5,keyasint"`
	Forward     string      `cbor:"6,keyasint"` // host:port that takes forwarded requests; empty: takes none
}

// Check tells what of a member can't be taken in.
func (m *Member) Check() error {
	if m.Name == "" || max(len(m.Name), len(m.Site), len(m.Version), len(m.Forward)) > MaxName {
		return fmt.Errorf("%w: a member's name, site, version and address hold 1 to %d bytes", errBounds, MaxName)
	}
	return nil
}

// Kind is what a record is about.
type Kind uint8

// The kinds. One that is unknown is carried on and not read.
const (
	Breaker         Kind = 1 // body: Report; named by upstream and class
	LoadReport      Kind = 2 // body: Pressure; told to who asked, and to nobody else
	Digest          Kind = 3 // body: Summary; from the holder of a site's digest
	Incident        Kind = 4 // body: Announcement
	Probe           Kind = 5 // body: Tried; from the holder of an upstream's trials
	PressureRequest Kind = 6 // no body: the owner wants the receiver's Load
)

// Key names a record. There is one of each key at a time.
type Key struct {
	Owner string `cbor:"1,keyasint"` // the member that says it
	Kind  Kind   `cbor:"2,keyasint"`
	Name  string `cbor:"3,keyasint"` // among the owner's of this kind
}

// Record is the one thing that travels. Records form a join-semilattice by key: the later one is the join, so order, loss and
// repetition make no difference.
type Record struct {
	Key
	Incarnation Incarnation   `cbor:"4,keyasint"` // of the owner
	Seq         uint64        `cbor:"5,keyasint"` // rises with each record of the owner's process
	TTL         time.Duration `cbor:"6,keyasint"` // what is left of it when sent; each hop ages it by its own monotonic clock
	Withdrawn   bool          `cbor:"7,keyasint"` // the owner takes back what it said; kept until its TTL ends
	Body        []byte        `cbor:"8,keyasint"` // of the kind
}

// Supersedes tells whether r was said after other by the same owner: of two with the same key it is the one that stands.
func (r *Record) Supersedes(other *Record) bool {
	return cmp.Or(r.Incarnation.compare(other.Incarnation), cmp.Compare(r.Seq, other.Seq)) > 0
}

var errBounds = errors.New("out of bounds")

// Check tells what of a record can't be taken in.
func (r *Record) Check() error {
	switch {
	case r.Owner == "" || len(r.Owner) > MaxName || len(r.Name) > 2*MaxName:
		return fmt.Errorf("%w: names of %d and %d bytes", errBounds, len(r.Owner), len(r.Name))
	case len(r.Body) > MaxBody:
		return fmt.Errorf("%w: a body of %d bytes", errBounds, len(r.Body))
	case r.TTL <= 0 || r.TTL > MaxTTL: // a clock that runs wild at the sender, or a lie
		return fmt.Errorf("%w: a time to live of %v", errBounds, r.TTL)
	}
	return nil
}

// BreakerState is what a sidecar does with an upstream by its own evidence.
type BreakerState uint8

// The states.
const (
	Closed   BreakerState = iota // it is used
	Open                         // it is left out
	HalfOpen                     // a trial is out
)

// Evidence is why a sidecar left an upstream out.
type Evidence uint8

// The kinds of evidence. Errors are the server's own answers; the other two may be the path's doing.
const (
	ErrorAnswers      Evidence = iota + 1 // error answers
	BrokenConnections                     // connections refused or broken
	Silence                               // no answer
	Rejections                            // it turns all away
)

// Report is what a sidecar says of an upstream, from its own outcomes alone.
type Report struct {
	Upstream      string       `cbor:"1,keyasint"`
	StartedMs     int64        `cbor:"2,keyasint"` // its start by the list: what is said holds for that life only
	Class         string       `cbor:"3,keyasint"` // whose requests the evidence is of; empty: any
	State         BreakerState `cbor:"4,keyasint"`
	Evidence      Evidence     `cbor:"5,keyasint"`
	Count         int          `cbor:"6,keyasint"` // attempts that the evidence consists of
	ListRevision  int64        `cbor:"7,keyasint"` // of the list that the reporter has
	SelfSuspicion float64      `cbor:"8,keyasint"` // 0 to 1: how far the reporter doubts itself (stopped, starved, cut off)
	Round         uint64       `cbor:"9,keyasint"` // the latest closing of the breaker that the reporter knew of
}

// Pressure is how much of a sidecar is used: 0 nothing, 1 full. Parts beside the sum, so that operators see which it is.
type Pressure struct {
	Total    float64 `cbor:"1,keyasint"`
	CPU      float64 `cbor:"2,keyasint"` // delay of its own loop, stolen time
	Sockets  float64 `cbor:"3,keyasint"`
	Heap     float64 `cbor:"4,keyasint"`
	InFlight float64 `cbor:"5,keyasint"` // against what admission allows
	Site     float64 `cbor:"6,keyasint"` // what its site's upstreams are used
}

// Parts are the parts of the sum, each 0 to 1.
func (p *Pressure) Parts() []*float64 {
	return []*float64{&p.CPU, &p.Sockets, &p.Heap, &p.InFlight, &p.Site}
}

// ProbeResult is what a trial came to.
type ProbeResult struct {
	Upstream  string `cbor:"1,keyasint"`
	StartedMs int64  `cbor:"2,keyasint"`
	Epoch     uint64 `cbor:"3,keyasint"` // of the duty under which it was made: an older one is refused
	OK        bool   `cbor:"4,keyasint"`
	Step      int    `cbor:"5,keyasint"` // of the closing: how many in a row went well
	Round     uint64 `cbor:"6,keyasint"` // closings so far, this one too once it is whole: reports of earlier rounds are void
	Count     int    `cbor:"7,keyasint"` // trials made under Epoch
}

// Summary is what the holder of a site's digest says for the members of its site.
type Summary struct {
	Site     string   `cbor:"1,keyasint"`
	Epoch    uint64   `cbor:"2,keyasint"`
	Reports  []Report `cbor:"3,keyasint"` // the site's open breakers, added up
	Members  int      `cbor:"4,keyasint"` // who stand behind them
	Pressure float64  `cbor:"5,keyasint"` // mean
}

// SiteFault is what an incident is about.
type SiteFault uint8

// The troubles of a site.
const (
	SiteUnreachable SiteFault = iota + 1 // its members and upstreams are silent
	SitePartitioned                      // its upstreams are silent for others while they answer at home
)

// Announcement is an incident of a site, said once for the fleet.
type Announcement struct {
	Site  string    `cbor:"1,keyasint"`
	Fault SiteFault `cbor:"2,keyasint"`
	Epoch uint64    `cbor:"3,keyasint"`
	Over  bool      `cbor:"4,keyasint"`
}
