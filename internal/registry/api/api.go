// Package api defines the messages between replicas of the list service and their clients. Members of two
// versions talk in them: encoded names stay.
package api

import (
	"errors"
	"fmt"
)

// States of an endpoint, as discovery encodes them.
const (
	Ready       = "Ready"
	Terminating = "Terminating" // draining: it finishes what it has, and gets nothing new
	Removed     = "Gone"        // only in changes
)

// Administrative states that an operator may set. They override the server's own status.
const (
	AdminNone  = ""
	AdminDrain = "drain" // Terminating, whatever the server reports
	AdminBan   = "ban"   // not in the list, whatever the server reports
)

// Endpoint is a server in the endpoint list.
type Endpoint struct {
	Name      string  `json:"name"`
	Address   string  `json:"address"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"type"` // kind of machine
	Cell      int     `json:"group"`
	Status    string  `json:"status"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"since_ms"` // Unix time of the server's latest start, in milliseconds; 0: long ago
}

// WatchEvent is one message of a watch: the full list, or what changed since the one before.
type WatchEvent struct {
	Revision  int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
	// Region is whose list it is, and Documents the settings that changed; both only for clients that request
	// them.
	Region    string     `json:"region,omitempty"`
	Documents []Document `json:"documents,omitempty"`
}

// Record is an endpoint with what the service knows beside the list.
type Record struct {
	Endpoint
	Revision     int64  `json:"version"`     // of the list, when this last changed
	Incarnation  int64  `json:"incarnation"` // of the server's process: the higher is the newer
	LeaseMs      int64  `json:"lease_ms"`    // 0: it has no lease
	ServerStatus string `json:"own"`         // as the server reports it: Ready or Terminating
	AdminState   string `json:"hand"`
}

// Records is the list with all that is known.
type Records struct {
	Revision int64    `json:"version"`
	Records  []Record `json:"records"`
}

// Registration asks for a server to be listed. Registering again with the same incarnation changes what
// differs.
type Registration struct {
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Machine     string  `json:"type"`
	Cell        int     `json:"group"`
	Weight      float64 `json:"weight"` // default: 1
	StartedMs   int64   `json:"since_ms"`
	Incarnation int64   `json:"incarnation"`
	LeaseMs     int64   `json:"lease_ms"` // 0: without a lease
	IfRevision  *int64  `json:"if_version,omitempty"`
}

// StateChange asks for draining, deregistering, or an administrative state.
type StateChange struct {
	Incarnation int64  `json:"incarnation,omitempty"` // 0: whichever is present
	AdminState  string `json:"hand,omitempty"`
	IfRevision  *int64 `json:"if_version,omitempty"` // of the entry; 0: only if there is none
}

// WriteResult is the response to a write.
type WriteResult struct {
	Revision int64 `json:"version"` // of the entry
}

// Heartbeat renews the lease of one server.
type Heartbeat struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"`
}

// Heartbeats renews several leases.
type Heartbeats struct {
	Heartbeats []Heartbeat `json:"leases"`
}

// HeartbeatResult names the servers that have no lease, or no longer, and have to register.
type HeartbeatResult struct {
	Expired []string `json:"lost"`
}

// Replica is a process of the service.
type Replica struct {
	Name       string `json:"name"`
	Raft       string `json:"raft"` // where other replicas reach it
	API        string `json:"api"`  // where it serves clients
	DiskID     string `json:"disk"` // random, made with its directory
	StartCount int64  `json:"starts"`
	Schema     int    `json:"schema"` // newest form of commands that it understands
}

// Identity is what a replica reports of itself before it joins.
type Identity struct {
	Replica
	Formed  bool               `json:"formed"` // it belongs to a quorum that was formed
	Members map[string]Replica `json:"members"`
}

// Status is the state of a replica, and of the service as it sees it.
type Status struct {
	Replica       Replica             `json:"replica"`
	State         string              `json:"state"` // leader, follower, candidate, starting
	Leader        string              `json:"leader"`
	Term          uint64              `json:"term"`
	Revision      int64               `json:"version"`
	Endpoints     int                 `json:"entries"`
	Watchers      int                 `json:"watchers"`
	StalenessMs   int64               `json:"stale_ms"` // the list may be this old; -1: it was never known to be the service's
	Preserving    bool                `json:"preserving"`
	ExpiredLeases []string            `json:"silent"` // servers whose lease has expired, as the leader knows
	Members       map[string]Replica  `json:"members"`
	Voters        []string            `json:"voters"`
	Region        string              `json:"region,omitempty"`
	Replication   []ReplicationStatus `json:"following,omitempty"` // of other regions; at the leader only
}

// Codes of errors.
const (
	CodeBadRequest       = "bad request"
	CodeOlderIncarnation = "older incarnation"
	CodeConflict         = "conflict"
	CodeNotFound         = "not found"
	CodeFull             = "full"
	CodeNoLeader         = "no leader"
	CodeStale            = "stale"
	CodeOlderReplica     = "older replica"   // a replica of the quorum would not understand the command
	CodeOutcomeUnknown   = "outcome unknown" // it may have been carried out, or may be yet
)

// Error is the body of a response other than 200. errors.As finds it.
type Error struct {
	Code string `json:"code"`
	Text string `json:"error"`
}

func (f *Error) Error() string { return f.Code + ": " + f.Text }

// Errorf returns an Error with that code.
func Errorf(code, format string, args ...any) *Error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}

// IsCode tells whether err is an Error with that code.
func IsCode(err error, code string) bool {
	var f *Error
	return errors.As(err, &f) && f.Code == code
}

// Bounds of what may be registered.
const (
	MaxName      = 128
	MaxAddress   = 256
	MaxLabel     = 64
	MaxEndpoints = 20_000
	MinLeaseMs   = 500
	MaxLeaseMs   = 600_000
)

// Check tells what is wrong with a registration under a name; nil: nothing.
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
