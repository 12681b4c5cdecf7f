// Package api owns the words between replicas of the list service and those who ask them.
package api

import (
	"errors"
	"fmt"
)

// The states of an entry, as discovery words them.
const (
	Ready       = "Ready"
	Terminating = "Terminating" // finishes what it has, wants nothing new
	Removed     = "Gone"        // only among changes
)

// The words that an operator may say of an entry; they outrank the server's own.
const (
	AdminNone  = ""
	AdminDrain = "drain" // Terminating, whatever the server says
	AdminBan   = "ban"   // not in the list, whatever the server says
)

// Endpoint is an upstream in a list, in discovery's words.
type Endpoint struct {
	Name      string  `json:"name"`
	Address   string  `json:"address"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"type"`  // kind of machine
	Cell      int     `json:"group"` // cell
	Status    string  `json:"status"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"since_ms"` // Unix time of the server's last start, in milliseconds; 0: long ago
}

// WatchEvent is one message of discovery: the whole list, or what changed since the one before.
type WatchEvent struct {
	Revision  int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
	// Region is whose list it is, and Documents the settings that changed; both only for those who ask for them.
	Region    string     `json:"region,omitempty"`
	Documents []Document `json:"documents,omitempty"`
}

// Record is an entry with what the service knows beside the list.
type Record struct {
	Endpoint
	Revision     int64  `json:"version"`     // of the list, when this last changed
	Incarnation  int64  `json:"incarnation"` // of the server's process: the higher is the newer
	LeaseMs      int64  `json:"lease_ms"`    // 0: held without a lease
	ServerStatus string `json:"own"`         // the server's own word: Ready or Terminating
	AdminState   string `json:"hand"`        // the operator's
}

// Records is the list with all that is known.
type Records struct {
	Revision int64    `json:"version"`
	Records  []Record `json:"records"`
}

// Registration is a server's wish to be listed. Registering again with the same incarnation changes what differs.
type Registration struct {
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Machine     string  `json:"type"`
	Cell        int     `json:"group"`
	Weight      float64 `json:"weight"` // absent: 1
	StartedMs   int64   `json:"since_ms"`
	Incarnation int64   `json:"incarnation"`
	LeaseMs     int64   `json:"lease_ms"` // 0: without a lease
	IfRevision  *int64  `json:"if_version,omitempty"`
}

// StateChange is what a drain, a leave or an operator's word is asked with.
type StateChange struct {
	Incarnation int64  `json:"incarnation,omitempty"` // 0: whichever there is
	AdminState  string `json:"hand,omitempty"`
	IfRevision  *int64 `json:"if_version,omitempty"` // the entry's; 0: only if there is none
}

// WriteResult is what a write is answered with.
type WriteResult struct {
	Revision int64 `json:"version"` // of the entry
}

// Heartbeat is a server's sign of life.
type Heartbeat struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"`
}

// Heartbeats are signs of life of several.
type Heartbeats struct {
	Heartbeats []Heartbeat `json:"leases"`
}

// HeartbeatResult names those that hold no lease (any more) and have to register.
type HeartbeatResult struct {
	Expired []string `json:"lost"`
}

// Replica is a process of the service.
type Replica struct {
	Name       string `json:"name"`
	Raft       string `json:"raft"` // where other replicas reach it
	API        string `json:"api"`  // where it answers
	DiskID     string `json:"disk"` // random, made with its directory
	StartCount int64  `json:"starts"`
	Schema     int    `json:"schema"` // the newest form of commands that it understands
}

// Identity is what a replica says of itself before it takes part.
type Identity struct {
	Replica
	Formed  bool               `json:"formed"` // it belongs to a quorum that was formed
	Members map[string]Replica `json:"members"`
}

// Status is the state of a replica and of the service as it sees it.
type Status struct {
	Replica       Replica             `json:"replica"`
	State         string              `json:"state"` // leader, follower, candidate, starting
	Leader        string              `json:"leader"`
	Term          uint64              `json:"term"`
	Revision      int64               `json:"version"`
	Endpoints     int                 `json:"entries"`
	Watchers      int                 `json:"watchers"`
	StalenessMs   int64               `json:"stale_ms"` // the list may be so old; -1: it was never known to be the service's
	Preserving    bool                `json:"preserving"`
	ExpiredLeases []string            `json:"silent"` // servers whose lease has lapsed, as the leader knows
	Members       map[string]Replica  `json:"members"`
	Voters        []string            `json:"voters"`
	Region        string              `json:"region,omitempty"`
	Replication   []ReplicationStatus `json:"following,omitempty"` // other regions; by the leader alone
}

// The codes of failures.
const (
	CodeBadRequest       = "bad request"
	CodeOlderIncarnation = "older incarnation"
	CodeConflict         = "conflict"
	CodeNotFound         = "not found"
	CodeFull             = "full"
	CodeNoLeader         = "no leader"
	CodeStale            = "stale"
	CodeOlderReplica     = "older replica"   // one that would not understand the command is in the quorum
	CodeOutcomeUnknown   = "outcome unknown" // it may have been done, or may be yet
)

// Error is what an answer says that is none.
type Error struct {
	Code string `json:"code"`
	Text string `json:"error"`
}

func (f *Error) Error() string { return f.Code + ": " + f.Text }

// Errorf is a failure with that code.
func Errorf(code, format string, args ...any) *Error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}

// IsCode tells whether err is a failure with that code.
func IsCode(err error, code string) bool {
	var f *Error
	return errors.As(err, &f) && f.Code == code
}

// The bounds on what may be registered.
const (
	MaxName      = 128
	MaxAddress   = 256
	MaxLabel     = 64
	MaxEndpoints = 20_000
	MinLeaseMs   = 500
	MaxLeaseMs   = 600_000
)

// Check names what is wrong with a registration under a name; nil: nothing.
func (r *Registration) Check(name string) error {
	switch {
	case name == "" || len(name) > MaxName:
		return Errorf(CodeBadRequest, "name: 1 to %d bytes", MaxName)
	case len(r.Address) > MaxAddress || !IsAddress(r.Address):
		return Errorf(CodeBadRequest, "address: host:port of at most %d bytes", MaxAddress)
	case len(r.Zone) > MaxLabel || len(r.Machine) > MaxLabel:
		return Errorf(CodeBadRequest, "zone and type: at most %d bytes", MaxLabel)
	case !(r.Weight > 0 && r.Weight <= 1e6):
		return Errorf(CodeBadRequest, "weight: more than 0, at most 1e6")
	case r.Cell < 0 || r.StartedMs < 0 || r.Incarnation < 0:
		return Errorf(CodeBadRequest, "group, since_ms and incarnation: at least 0")
	case r.LeaseMs != 0 && (r.LeaseMs < MinLeaseMs || r.LeaseMs > MaxLeaseMs):
		return Errorf(CodeBadRequest, "lease_ms: 0, or %d to %d", MinLeaseMs, MaxLeaseMs)
	}
	return nil
}
