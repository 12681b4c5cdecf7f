// Package message defines the messages of gossip, and their bounds. Members of different versions exchange
// them, so a field keeps its number.
package message

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Schema is the newest schema of the messages that this program understands; each Member states its own. A
// later schema may add fields, which an earlier program ignores, and must not change the meaning of a field.
const Schema = 1

// Bounds, in bytes unless stated otherwise. Messages beyond them are dropped.
const (
	MaxName            = 64      // name of a member, upstream, class or leadership
	MaxBody            = 1024    // encoded body of a record
	MaxRecord          = 1400    // encoded record, which fits into one datagram
	MaxRecordsPerOwner = 256     // number of records
	MaxState           = 1 << 20 // encoded list of all records, as push/pull sends it
	MaxTTL             = time.Minute
)

// Incarnation identifies one process of a member.
type Incarnation struct {
	StartedMs int64  `cbor:"1,keyasint"` // Unix time of the process's start by its own clock, in milliseconds
	ID        uint64 `cbor:"2,keyasint"` // random
}

// Newer reports whether i belongs to a later process than other: by the start, or by the higher ID if both are
// equal. A process whose clock was set back looks older than its predecessor; gossip.Gossiper corrects this.
func (i Incarnation) Newer(other Incarnation) bool { return i.compare(other) > 0 }

func (i Incarnation) compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.StartedMs, other.StartedMs), cmp.Compare(i.ID, other.ID))
}

// Member is a process that takes part in the gossip.
type Member struct {
	Name        string      `cbor:"1,keyasint"` // unchanged by a restart
	Incarnation Incarnation `cbor:"2,keyasint"`
	Site        string      `cbor:"3,keyasint"` // data center
	Version     string      `cbor:"4,keyasint"` // version of the program
	Schema      int         `cbor:"5,keyasint"`
	Forward     string      `cbor:"6,keyasint"` // host:port that accepts forwarded requests, or empty if the member accepts none
}

// Check returns an error if a member is out of bounds.
func (m *Member) Check() error {
	if m.Name == "" || max(len(m.Name), len(m.Site), len(m.Version), len(m.Forward)) > MaxName {
		return fmt.Errorf("%w: a member's name has to have 1 to %d bytes, and its site, version and address no more", errBounds, MaxName)
	}
	return nil
}

// Kind is the kind of a record.
type Kind uint8

// The kinds. Records of an unknown kind are sent on, but not read.
const (
	Breaker         Kind = 1 // body: Report; named by upstream and class
	LoadReport      Kind = 2 // body: Pressure; sent only to a member that asked for it
	Digest          Kind = 3 // body: Summary; from the leader of a site's digest
	Incident        Kind = 4 // body: Announcement
	Probe           Kind = 5 // body: ProbeResult; from the leader of an upstream's probes
	PressureRequest Kind = 6 // no body: the owner asks the receiver for a LoadReport
)

// Key identifies a record. There is one record of each key at a time.
type Key struct {
	Owner string `cbor:"1,keyasint"` // name of the member that sends it
	Kind  Kind   `cbor:"2,keyasint"`
	Name  string `cbor:"3,keyasint"` // unique among the owner's records of this kind
}

// Record is the unit of gossip. Records of one key form a join-semilattice in which the later one is the join,
// so order and repetition make no difference, and a later record makes up for a lost one.
type Record struct {
	Key
	Incarnation Incarnation   `cbor:"4,keyasint"` // of the owner
	Seq         uint64        `cbor:"5,keyasint"` // sequence number, which rises with each record of the owner's process
	TTL         time.Duration `cbor:"6,keyasint"` // remaining time to live when sent; each member measures it by its own monotonic clock
	Withdrawn   bool          `cbor:"7,keyasint"` // the owner withdraws the record, which is stored until its TTL ends
	Body        []byte        `cbor:"8,keyasint"` // encoded value of the kind's type
}

// Supersedes reports whether r was sent after other by the same owner. Of two records with one key, the later
// one counts.
func (r *Record) Supersedes(other *Record) bool {
	return cmp.Or(r.Incarnation.compare(other.Incarnation), cmp.Compare(r.Seq, other.Seq)) > 0
}

var errBounds = errors.New("out of bounds")

// Check returns an error if a record is out of bounds.
func (r *Record) Check() error {
	switch {
	case r.Owner == "" || len(r.Owner) > MaxName || len(r.Name) > 2*MaxName:
		return fmt.Errorf("%w: owner's name of %d bytes, record's name of %d bytes", errBounds, len(r.Owner), len(r.Name))
	case len(r.Body) > MaxBody:
		return fmt.Errorf("%w: body of %d bytes", errBounds, len(r.Body))
	case r.TTL <= 0 || r.TTL > MaxTTL: // the sender has a broken clock, or sends false values
		return fmt.Errorf("%w: time to live of %v", errBounds, r.TTL)
	}
	return nil
}

// BreakerState is the state of a sidecar's own circuit breaker for an upstream.
type BreakerState uint8

// The states.
const (
	Closed   BreakerState = iota // the upstream is used
	Open                         // the upstream is ejected
	HalfOpen                     // a probe is under way
)

// Evidence is why a sidecar ejected an upstream.
type Evidence uint8

// The kinds of evidence. Error answers and rejections come from the server itself; the other two may be caused
// by a fault of the path.
const (
	ErrorAnswers      Evidence = iota + 1 // error answers
	BrokenConnections                     // connections refused or broken
	Silence                               // no answer
	Rejections                            // all requests are rejected
)

// Report is a sidecar's own evidence on an upstream.
type Report struct {
	Upstream      string       `cbor:"1,keyasint"`
	StartedMs     int64        `cbor:"2,keyasint"` // start of the upstream in the endpoint list; the report applies to that incarnation only
	Class         string       `cbor:"3,keyasint"` // class of the requests that the evidence is based on, or empty for any class
	State         BreakerState `cbor:"4,keyasint"`
	Evidence      Evidence     `cbor:"5,keyasint"`
	Count         int          `cbor:"6,keyasint"` // number of attempts that the evidence is based on
	ListRevision  int64        `cbor:"7,keyasint"` // revision of the reporter's list
	SelfSuspicion float64      `cbor:"8,keyasint"` // how far the reporter distrusts itself (stopped, starved, cut off), 0 to 1
	Round         uint64       `cbor:"9,keyasint"` // number of closings of the breaker that the reporter knew of
}

// Pressure is the utilization of a sidecar, 0 to 1: the total, and its parts, which are shown to operators.
type Pressure struct {
	Total    float64 `cbor:"1,keyasint"`
	CPU      float64 `cbor:"2,keyasint"` // from the delay of its own event loop and stolen time
	Sockets  float64 `cbor:"3,keyasint"`
	Heap     float64 `cbor:"4,keyasint"`
	InFlight float64 `cbor:"5,keyasint"` // relative to the limit of admission
	Site     float64 `cbor:"6,keyasint"` // utilization of the upstreams of its site
}

// Parts returns pointers to the parts of the pressure, each 0 to 1.
func (p *Pressure) Parts() []*float64 {
	return []*float64{&p.CPU, &p.Sockets, &p.Heap, &p.InFlight, &p.Site}
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Upstream  string `cbor:"1,keyasint"`
	StartedMs int64  `cbor:"2,keyasint"`
	Epoch     uint64 `cbor:"3,keyasint"` // epoch of the leadership under which the probe was made; results of an older one are rejected
	OK        bool   `cbor:"4,keyasint"`
	Step      int    `cbor:"5,keyasint"` // number of probes that succeeded in a row
	Round     uint64 `cbor:"6,keyasint"` // number of complete closings of the breaker; reports of earlier rounds are void
	Count     int    `cbor:"7,keyasint"` // number of probes made under Epoch
}

// Summary is the digest of a site, which its leader sends for all members of the site.
type Summary struct {
	Site     string   `cbor:"1,keyasint"`
	Epoch    uint64   `cbor:"2,keyasint"`
	Reports  []Report `cbor:"3,keyasint"` // open breakers of the site, combined
	Members  int      `cbor:"4,keyasint"` // number of members that it is based on
	Pressure float64  `cbor:"5,keyasint"` // mean over the members
}

// SiteFault is the kind of a site's incident, as sent in an Announcement.
type SiteFault uint8

// The values of SiteFault.
const (
	SiteUnreachable SiteFault = iota + 1 // its members and upstreams are silent
	SitePartitioned                      // its upstreams are silent for others while they answer inside the site
)

// Announcement announces an incident of a site, once for the whole fleet.
type Announcement struct {
	Site  string    `cbor:"1,keyasint"`
	Fault SiteFault `cbor:"2,keyasint"`
	Epoch uint64    `cbor:"3,keyasint"`
	Over  bool      `cbor:"4,keyasint"`
}
