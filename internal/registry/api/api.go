// Package api defines the messages between replicas of the list service and their clients. Processes of different
// versions exchange these messages, so encoded names must not change.
package api

import (
	"errors"
	"fmt"
)

// States of an endpoint, as discovery encodes them.
const (
	Ready       = "Ready"
	Terminating = "Terminating" // draining: it finishes its requests and gets no new ones
	Removed     = "Gone"        // removed from the list; only in changes
)

// Administrative states that an operator may set. They override the server's own status.
const (
	AdminNone  = ""
	AdminDrain = "drain" // the status is Terminating, whatever the server reports
	AdminBan   = "ban"   // the server is not in the list, whatever it reports
)

// Endpoint is a server in the endpoint list.
type Endpoint struct {
	Name      string  `json:"name"`
	Address   string  `json:"address"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"type"` // machine type
	Cell      int     `json:"group"`
	Status    string  `json:"status"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"since_ms"` // Unix time of the server's latest start, in milliseconds; 0 means long ago
}

// WatchEvent is one message of a watch: the full list, or the changes since the previous message.
type WatchEvent struct {
	Revision  int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
	// Region is the region that owns the list, and Documents are the settings that changed. Both are set only for
	// clients that request them.
	Region    string     `json:"region,omitempty"`
	Documents []Document `json:"documents,omitempty"`
}

// Record is an endpoint with the data that the service keeps beside the list.
type Record struct {
	Endpoint
	Revision     int64  `json:"version"`     // revision of the list at which the entry last changed
	Incarnation  int64  `json:"incarnation"` // of the server's process; a newer process has a higher one
	LeaseMs      int64  `json:"lease_ms"`    // 0 if it has no lease
	ServerStatus string `json:"own"`         // as the server reports it: Ready or Terminating, or Removed once the entry has ended
	AdminState   string `json:"hand"`
}

// Records is the list with the records of all entries.
type Records struct {
	Revision int64    `json:"version"`
	Records  []Record `json:"records"`
}

// Registration is a request to list a server. Registering it again with the same incarnation updates the fields that
// differ.
type Registration struct {
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Machine     string  `json:"type"`
	Cell        int     `json:"group"`
	Weight      float64 `json:"weight"` // default: 1
	StartedMs   int64   `json:"since_ms"`
	Incarnation int64   `json:"incarnation"`
	LeaseMs     int64   `json:"lease_ms"` // 0 for no lease
	IfRevision  *int64  `json:"if_version,omitempty"`
}

// StateChange is a request to drain or deregister a server, or to set its administrative state.
type StateChange struct {
	Incarnation int64  `json:"incarnation,omitempty"` // 0 for any
	AdminState  string `json:"hand,omitempty"`
	IfRevision  *int64 `json:"if_version,omitempty"` // required revision of the entry; 0 if there must be none
}

// WriteResult is the response to a write.
type WriteResult struct {
	Revision int64 `json:"version"` // of the entry
}

// Heartbeat is a request to renew the lease of one server.
type Heartbeat struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"`
}

// Heartbeats is a request to renew several leases.
type Heartbeats struct {
	Heartbeats []Heartbeat `json:"leases"`
}

// HeartbeatResult names the servers that have no lease, or whose lease has expired, and that have to register. As the
// response to an overrule, it names the servers whose entries are removed.
type HeartbeatResult struct {
	Expired []string `json:"lost"`
}

// Replica is a process of the service.
type Replica struct {
	Name       string `json:"name"`
	Raft       string `json:"raft"` // address for other replicas
	API        string `json:"api"`  // address for clients
	DiskID     string `json:"disk"` // random, created with its data directory
	StartCount int64  `json:"starts"`
	Schema     int    `json:"schema"` // newest schema of commands that it understands
}

// Identity is what a replica reports about itself to replicas that join the quorum.
type Identity struct {
	Replica
	Formed  bool               `json:"formed"` // whether it belongs to a quorum that was formed
	Members map[string]Replica `json:"members"`
}

// Status is the state of a replica, and of the service as it sees it.
type Status struct {
	Replica       Replica             `json:"replica"`
	State         string              `json:"state"` // leader, follower, candidate, starting, stopped
	Leader        string              `json:"leader"`
	Term          uint64              `json:"term"`
	Revision      int64               `json:"version"`
	Endpoints     int                 `json:"entries"`
	Watchers      int                 `json:"watchers"`
	StalenessMs   int64               `json:"stale_ms"` // upper bound of the age of its list; -1 if the list was never known to be up to date
	Preserving    bool                `json:"preserving"`
	ExpiredLeases []string            `json:"silent"` // servers whose lease has expired; at the leader only
	Members       map[string]Replica  `json:"members"`
	Voters        []string            `json:"voters"`
	Region        string              `json:"region,omitempty"`
	Replication   []ReplicationStatus `json:"following,omitempty"` // replication of other regions; at the leader only
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
	CodeOlderReplica     = "older replica"   // a replica of the quorum does not understand the command
	CodeOutcomeUnknown   = "outcome unknown" // the command may have been carried out, or may be carried out later
)

// Error is the body of a response with a status other than 200. errors.As finds it in errors of package client.
type Error struct {
	Code string `json:"code"`
	Text string `json:"error"`
}

func (e *Error) Error() string { return e.Code + ": " + e.Text }

// Errorf returns an Error with the given code.
func Errorf(code, format string, args ...any) *Error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}

// IsCode reports whether err is or wraps an Error with the given code.
func IsCode(err error, code string) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

// Bounds of registrations.
const (
	MaxName      = 128
	MaxAddress   = 256
	MaxLabel     = 64
	MaxEndpoints = 20_000
	MinLeaseMs   = 500
	MaxLeaseMs   = 600_000
)

// Check returns an error if a registration under a name is invalid.
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
