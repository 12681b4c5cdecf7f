// Package message defines the messages of gossip, and their bounds. Members of two versions talk in them: a
// field keeps its number.
package message

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Schema is the newest form of the messages that this program understands; members tell each other theirs. A
// later form may add fields, which an earlier program ignores, and may not change what a field means.
const Schema = 1

// Bounds, in bytes unless stated otherwise. What is beyond them is dropped.
const (
	MaxName            = 64   // a member, an upstream, a class, a leadership
	MaxBody            = 1024 // the body of a record, encoded
	MaxRecord          = 1400 // a record with its head, encoded: it fits into one datagram
	MaxRecordsPerOwner = 256
	MaxState           = 1 << 20 // all records, encoded, as push/pull sends them
	MaxTTL             = time.Minute
)

// Incarnation tells the processes of one member apart.
type Incarnation struct {
	StartedMs int64  `cbor:"1,keyasint"` // Unix time of the process's start by its own clock, in milliseconds
	ID        uint64 `cbor:"2,keyasint"` // random
}

// Newer tells whether i is of a later process than other: by the start, or the higher id of two that started
// together. A process whose clock was set back looks older than its predecessor, and is told so, see
// gossip.Gossiper.
func (i Incarnation) Newer(other Incarnation) bool { return i.compare(other) > 0 }

func (i Incarnation) compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.StartedMs, other.StartedMs), cmp.Compare(i.ID, other.ID))
}

// Member is a process that takes part.
type Member struct {
	Name        string      `cbor:"1,keyasint"` // the same after a restart
	Incarnation Incarnation `cbor:"2,keyasint"`
	Site        string      `cbor:"3,keyasint"` // data center
	Version     string      `cbor:"4,keyasint"` // of the program
	Schema      int         `cbor:"5,keyasint"`
	Forward     string      `cbor:"6,keyasint"` // host:port that accepts forwarded requests; empty: none
}

// Check tells what of a member is out of bounds.
func (m *Member) Check() error {
	if m.Name == "" || max(len(m.Name), len(m.Site), len(m.Version), len(m.Forward)) > MaxName {
		return fmt.Errorf("%w: a member's name, site, version and address hold 1 to %d bytes", errBounds, MaxName)
	}
	return nil
}

// Kind is what a record is about.
type Kind uint8

// The kinds. One that is unknown is passed on and not read.
const (
	Breaker         Kind = 1 // body: Report; named by upstream and class
	LoadReport      Kind = 2 // body: Pressure; sent to whoever asked, and to nobody else
	Digest          Kind = 3 // body: Summary; from the leader of a site's digest
	Incident        Kind = 4 // body: Announcement
	Probe           Kind = 5 // body: ProbeResult; from the leader of an upstream's probes
	PressureRequest Kind = 6 // no body: the owner asks the receiver for a LoadReport
)

// Key names a record. There is one record of each key at a time.
type Key struct {
	Owner string `cbor:"1,keyasint"` // the member that sends it
	Kind  Kind   `cbor:"2,keyasint"`
	Name  string `cbor:"3,keyasint"` // among the owner's of this kind
}

// Record is what is gossiped. Records form a join-semilattice by key, in which the later one is the join:
// order, loss and repetition make no difference.
type Record struct {
	Key
	Incarnation Incarnation   `cbor:"4,keyasint"` // of the owner
	Seq         uint64        `cbor:"5,keyasint"` // rises with each record of the owner's process
	TTL         time.Duration `cbor:"6,keyasint"` // what is left of it when sent; each member ages it by its own monotonic clock
	Withdrawn   bool          `cbor:"7,keyasint"` // the owner takes the record back; stored until its TTL ends
	Body        []byte        `cbor:"8,keyasint"` // of the kind
}

// Supersedes tells whether r was sent after other by the same owner: of two with one key it is the one that
// counts.
func (r *Record) Supersedes(other *Record) bool {
	return cmp.Or(r.Incarnation.compare(other.Incarnation), cmp.Compare(r.Seq, other.Seq)) > 0
}

var errBounds = errors.New("out of bounds")

// Check tells what of a record is out of bounds.
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
	Open                         // it is ejected
	HalfOpen                     // a probe is out
)

// Evidence is why a sidecar ejected an upstream.
type Evidence uint8

// The kinds of evidence. Error answers and rejections are the server's own; the other two may be a fault of
// the path.
const (
	ErrorAnswers      Evidence = iota + 1 // error answers
	BrokenConnections                     // connections refused or broken
	Silence                               // no answer
	Rejections                            // it rejects everything
)

// Report is a sidecar's own evidence on an upstream.
type Report struct {
	Upstream      string       `cbor:"1,keyasint"`
	StartedMs     int64        `cbor:"2,keyasint"` // start of the upstream by the list: the report is of that incarnation only
	Class         string       `cbor:"3,keyasint"` // class of the requests that the evidence is of; empty: any
	State         BreakerState `cbor:"4,keyasint"`
	Evidence      Evidence     `cbor:"5,keyasint"`
	Count         int          `cbor:"6,keyasint"` // attempts that the evidence consists of
	ListRevision  int64        `cbor:"7,keyasint"` // of the reporter
	SelfSuspicion float64      `cbor:"8,keyasint"` // 0 to 1: how far the reporter distrusts itself (stopped, starved, cut off)
	Round         uint64       `cbor:"9,keyasint"` // latest closing of the breaker that the reporter knew of
}

// Pressure is how much of a sidecar is used, 0 to 1: the total, and the parts that operators look at.
type Pressure struct {
	Total    float64 `cbor:"1,keyasint"`
	CPU      float64 `cbor:"2,keyasint"` // delay of its own event loop, stolen time
	Sockets  float64 `cbor:"3,keyasint"`
	Heap     float64 `cbor:"4,keyasint"`
	InFlight float64 `cbor:"5,keyasint"` // against what admission allows
	Site     float64 `cbor:"6,keyasint"` // how far the upstreams of its site are used
}

// Parts are the parts of the sum, each 0 to 1.
func (p *Pressure) Parts() []*float64 {
	return []*float64{&p.CPU, &p.Sockets, &p.Heap, &p.InFlight, &p.Site}
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Upstream  string `cbor:"1,keyasint"`
	StartedMs int64  `cbor:"2,keyasint"`
	Epoch     uint64 `cbor:"3,keyasint"` // of the leadership under which it was made: an older one is rejected
	OK        bool   `cbor:"4,keyasint"`
	Step      int    `cbor:"5,keyasint"` // of the closing: how many in a row succeeded
	Round     uint64 `cbor:"6,keyasint"` // closings so far, this one too once it is complete: reports of earlier rounds are void
	Count     int    `cbor:"7,keyasint"` // probes made under Epoch
}

// Summary is what the leader of a site's digest reports for the members of its site.
type Summary struct {
	Site     string   `cbor:"1,keyasint"`
	Epoch    uint64   `cbor:"2,keyasint"`
	Reports  []Report `cbor:"3,keyasint"` // the site's open breakers, added up
	Members  int      `cbor:"4,keyasint"` // how many members it rests on
	Pressure float64  `cbor:"5,keyasint"` // mean
}

// SiteFault is the kind of a site's incident, as sent in an Announcement.
type SiteFault uint8

// The faults of a site.
const (
	SiteUnreachable SiteFault = iota + 1 // its members and upstreams are silent
	SitePartitioned                      // its upstreams are silent for others while they answer inside the site
)

// Announcement is an incident of a site, announced once for the fleet.
type Announcement struct {
	Site  string    `cbor:"1,keyasint"`
	Fault SiteFault `cbor:"2,keyasint"`
	Epoch uint64    `cbor:"3,keyasint"`
	Over  bool      `cbor:"4,keyasint"`
}
