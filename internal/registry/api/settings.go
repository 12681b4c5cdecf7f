package api

import (
	"bytes"
	"encoding/json"
)

// Document is the settings of one service. One region owns it: its revision rises there only, and nobody who
// has seen a revision accepts an older one of the same region.
type Document struct {
	Service  string          `json:"service"`
	Region   string          `json:"region,omitempty"` // its owner; empty if there is one region
	Revision int64           `json:"version"`          // of the owner's list, when this last changed
	Schema   int             `json:"schema"`           // of Settings, see package settings
	Deleted  bool            `json:"deleted,omitempty"`
	Settings json.RawMessage `json:"settings,omitempty"` // the object that a sidecar's file has under "settings"; absent once deleted
	// EarlierRevisions are those that are stored, rising; only in the response to a request for this document.
	EarlierRevisions []int64 `json:"earlier,omitempty"`
}

// Documents are all that a region knows, its own and others'.
type Documents struct {
	Revision  int64      `json:"version"` // of the list that was read
	Documents []Document `json:"documents"`
}

// PutRequest changes the settings of a service.
type PutRequest struct {
	Schema     int             `json:"schema"`
	Settings   json.RawMessage `json:"settings,omitempty"`
	IfRevision *int64          `json:"if_version"` // of the document that it was based on; 0: only if there is none, or it is deleted
}

// Ack is a sidecar's acknowledgement of a document: it is in force there, or was rejected and the one before
// still is.
type Ack struct {
	Node             string `json:"node"`
	Service          string `json:"service"`
	Region           string `json:"region,omitempty"` // of the document
	Revision         int64  `json:"version"`          // in force; 0: its file's settings are
	RejectedRevision int64  `json:"rejected,omitempty"`
	Reason           string `json:"why,omitempty"` // the rejected revision is not in force
	// SilentMs is how long the sidecar has not acknowledged, if that is over AckTimeoutMs; only in a Rollout.
	SilentMs int64 `json:"silent_ms,omitempty"`
}

// Acks are acknowledgements of several sidecars.
type Acks struct {
	Acks []Ack `json:"acks"`
}

// Rollout is how far a document has come among the sidecars of this region. Counts are of those that
// acknowledged within AckTimeoutMs; Silent of those that did once, and no longer do.
type Rollout struct {
	Document         // without Settings
	InForce    int   `json:"in_force"`
	Behind     int   `json:"behind"`
	Rejected   int   `json:"rejected"`
	Silent     int   `json:"unheard"`
	NotInForce []Ack `json:"others,omitempty"` // of those that don't have it in force, MaxNotInForce at most
}

// Rollouts are those of all documents.
type Rollouts struct {
	Region   string    `json:"region,omitempty"` // that responds
	Rollouts []Rollout `json:"rollouts"`
}

// ReplicationStatus is how far one region has replicated another.
type ReplicationStatus struct {
	Region       string `json:"region"`
	Revision     int64  `json:"version"` // all changes of the other region up to it are applied
	SeenRevision int64  `json:"seen"`    // the highest received; above Revision: some of it is being applied
	AgeMs        int64  `json:"age_ms"`  // since the other region was last heard, by the leader's clock; -1: not since it leads
	Endpoints    int    `json:"entries"`
	// RejectedReason is why what the other region sends is not applied, as when its revision went back; empty:
	// it is.
	RejectedReason string `json:"aside,omitempty"`
}

// Bounds of documents.
const (
	MaxSettings         = 64 << 10 // bytes of one
	MaxAllSettings      = 8 << 20  // bytes of all documents of one region
	MaxDocuments        = 1024     // of one region, deleted ones too
	MaxReason           = 256
	MaxNotInForce       = 100
	MaxEarlierRevisions = 4 // of one document that are stored beside the present one
	AckTimeoutMs        = 60_000
)

// Check tells what is wrong with the form of a request; nil: nothing. The settings themselves are checked by
// package settings.
func (p *PutRequest) Check(service string) error {
	switch {
	case service == "" || len(service) > MaxName:
		return Errorf(CodeBadRequest, "service: 1 to %d bytes", MaxName)
	case p.IfRevision == nil || *p.IfRevision < 0:
		return Errorf(CodeBadRequest, "if_version: the version that the change is based on, 0 where there is none")
	case p.Schema < 1:
		return Errorf(CodeBadRequest, "schema: at least 1")
	case len(p.Settings) > MaxSettings || len(bytes.TrimSpace(p.Settings)) == 0:
		return Errorf(CodeBadRequest, "settings: an object of at most %d bytes", MaxSettings)
	}
	return nil
}

// Check tells what is wrong with an acknowledgement; nil: nothing.
func (a *Ack) Check() error {
	switch {
	case a.Node == "" || len(a.Node) > MaxName || a.Service == "" || len(a.Service) > MaxName:
		return Errorf(CodeBadRequest, "node and service: 1 to %d bytes", MaxName)
	case len(a.Region) > MaxLabel || len(a.Reason) > MaxReason:
		return Errorf(CodeBadRequest, "region: at most %d bytes, why: %d", MaxLabel, MaxReason)
	case a.Revision < 0 || a.RejectedRevision < 0:
		return Errorf(CodeBadRequest, "version and rejected: at least 0")
	}
	return nil
}
