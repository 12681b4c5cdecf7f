package api

import (
	"bytes"
	"encoding/json"
)

// Document contains the settings of one service. One region owns it, and only that region changes it, each time
// under a higher revision. A process that has seen a revision rejects lower ones of the same region.
type Document struct {
	Service  string          `json:"service"`
	Region   string          `json:"region,omitempty"` // the region that owns it; empty if there is only one region
	Revision int64           `json:"version"`          // revision of the owner's list at which the document last changed
	Schema   int             `json:"schema"`           // schema of Settings, see package settings
	Deleted  bool            `json:"deleted,omitempty"`
	Settings json.RawMessage `json:"settings,omitempty"` // the object under "settings" in a sidecar's file; absent if deleted
	// EarlierRevisions are the stored earlier revisions, ascending; only in the response to a request for this document.
	EarlierRevisions []int64 `json:"earlier,omitempty"`
}

// Documents contains all documents that a region knows, its own and those of others.
type Documents struct {
	Revision  int64      `json:"version"` // revision of the list that was read
	Documents []Document `json:"documents"`
}

// PutRequest is a request to change the settings of a service.
type PutRequest struct {
	Schema     int             `json:"schema"`
	Settings   json.RawMessage `json:"settings,omitempty"`
	IfRevision *int64          `json:"if_version"` // required revision of the document; 0 if there must be none, or only a deleted one
}

// Ack is a sidecar's acknowledgement of a document: the document is in force there, or it was rejected and the previous
// document stays in force.
type Ack struct {
	Node             string `json:"node"`
	Service          string `json:"service"`
	Region           string `json:"region,omitempty"` // region of the document
	Revision         int64  `json:"version"`          // revision in force; 0 if the settings of the sidecar's file are in force
	RejectedRevision int64  `json:"rejected,omitempty"`
	Reason           string `json:"why,omitempty"` // why the rejected revision is not in force
	// SilentMs is the time since the latest acknowledgement of the sidecar, if that is over AckTimeoutMs; only in a Rollout.
	SilentMs int64 `json:"silent_ms,omitempty"`
}

// Acks contains acknowledgements of several sidecars.
type Acks struct {
	Acks []Ack `json:"acks"`
}

// Rollout is the progress of a document among the sidecars of this region. Silent counts the sidecars whose latest
// acknowledgement is older than AckTimeoutMs; the other counts are of those that acknowledged within that time.
type Rollout struct {
	Document         // without Settings
	InForce    int   `json:"in_force"`
	Behind     int   `json:"behind"`
	Rejected   int   `json:"rejected"`
	Silent     int   `json:"unheard"`
	NotInForce []Ack `json:"others,omitempty"` // sidecars where it is not in force, MaxNotInForce at most
}

// Rollouts contains the rollouts of all documents.
type Rollouts struct {
	Region   string    `json:"region,omitempty"` // the region that responds
	Rollouts []Rollout `json:"rollouts"`
}

// ReplicationStatus is the state of the replication of another region.
type ReplicationStatus struct {
	Region       string `json:"region"`
	Revision     int64  `json:"version"` // all changes of the other region up to this revision are applied
	SeenRevision int64  `json:"seen"`    // the highest revision received; above Revision while its changes are being applied
	AgeMs        int64  `json:"age_ms"`  // time since the latest message of the other region, by the leader's clock; -1 if none came since it leads
	Endpoints    int    `json:"entries"`
	// RejectedReason is why changes of the other region are not applied, for example because its revision went back.
	// It is empty if they are applied.
	RejectedReason string `json:"aside,omitempty"`
}

// Bounds of documents.
const (
	MaxSettings         = 64 << 10 // bytes of the settings of one document
	MaxAllSettings      = 8 << 20  // bytes of the settings of all documents of one region
	MaxDocuments        = 1024     // documents of one region, including deleted ones
	MaxReason           = 256
	MaxNotInForce       = 100
	MaxEarlierRevisions = 4 // stored revisions of one document besides the current one
	AckTimeoutMs        = 60_000
)

// Check returns an error if the form of a request is invalid. Package settings checks the settings themselves.
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

// Check returns an error if an acknowledgement is invalid.
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
