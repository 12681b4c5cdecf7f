package explore

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

// Broken returns the invariant that this state or the step to it breaks, or an empty string.
func (s *state) Broken(before *state) string {
	if s.violation != "" {
		return s.violation
	}
	if s.sidecarDocument.Revision < before.sidecarDocument.Revision {
		return fmt.Sprintf("the sidecar has version %d after %d", s.sidecarDocument.Revision, before.sidecarDocument.Revision)
	}
	if s.follower.List == before.follower.List {
		return ""
	}
	replicated, previous := s.follower.Replicated(north), before.follower.Replicated(north)
	if replicated.Revision < previous.Revision || replicated.SeenRevision < previous.SeenRevision {
		return fmt.Sprintf("replicated at %d, seen %d, after %d, seen %d", replicated.Revision, replicated.SeenRevision, previous.Revision, previous.SeenRevision)
	}
	for name, old := range previous.Documents {
		d, ok := replicated.Documents[name]
		switch {
		case !ok:
			return fmt.Sprintf("the settings of %s are no longer replicated; they were at version %d, deleted %v", name, old.Revision, old.Deleted)
		case d.Revision < old.Revision, d.Revision == old.Revision && !equalDocuments(d, old):
			return fmt.Sprintf("the settings of %s are %+v after %+v", name, d, old)
		}
	}
	for name, e := range replicated.Entries {
		if old, ok := previous.Entries[name]; ok && !s.restored && changeNumber(e) < changeNumber(old) {
			return fmt.Sprintf("the entry %s is of change %d after change %d", name, changeNumber(e), changeNumber(old))
		}
	}
	if violation := s.checkIssued(replicated); violation != "" {
		return violation
	}
	if !s.restored && replicated.Revision > 0 && replicated.Revision == replicated.SeenRevision {
		if view := s.issuedViews[replicated.Revision-1]; !view.matches(replicated) {
			return fmt.Sprintf("replicated completely at %d: %+v, but the owner had %+v", replicated.Revision, replicated, view)
		}
	}
	return s.checkOwn()
}

// checkIssued describes replicated content that the owner never issued. It returns an empty string if there is none.
func (s *state) checkIssued(replicated list.Replicated) string {
	for name, d := range replicated.Documents {
		if !slices.ContainsFunc(s.issuedViews, func(view ownerView) bool { issued, ok := view.documents[name]; return ok && equalDocuments(issued, d) }) {
			return fmt.Sprintf("the owner never issued %+v", d)
		}
	}
	for name, e := range replicated.Entries {
		if !slices.ContainsFunc(s.issuedViews, func(view ownerView) bool { issued, ok := view.entries[name]; return ok && issued == e }) {
			return fmt.Sprintf("the owner never issued %+v", e)
		}
	}
	return ""
}

// checkOwn describes a change of the follower's own entries and documents. It returns an empty string if there is none.
func (s *state) checkOwn() string {
	own := s.follower.OwnChangesSince(-1)
	if len(own.Endpoints) != 2 || len(own.Documents) != 1 || own.Documents[0].Revision != 3 || own.Documents[0].Region != south {
		return fmt.Sprintf("the follower's own entries and documents have changed to %+v", own)
	}
	for _, e := range s.follower.Full().Endpoints {
		if (e.Name == "a" || e.Name == "o") && e.Address != "own" {
			return fmt.Sprintf("the follower's list has its own entry as %+v", e)
		}
	}
	return ""
}

// matches reports whether the replicated entries and documents equal those of the view.
func (v ownerView) matches(replicated list.Replicated) bool {
	return maps.Equal(replicated.Entries, v.entries) && maps.EqualFunc(replicated.Documents, v.documents, equalDocuments)
}

func equalDocuments(a, b api.Document) bool {
	return a.Service == b.Service && a.Region == b.Region && a.Revision == b.Revision && a.Deleted == b.Deleted && string(a.Settings) == string(b.Settings)
}

// changeNumber returns the number of the owner's change that produced an entry.
func changeNumber(e api.Endpoint) int {
	n, _ := strconv.Atoi(e.Address)
	return n
}

// maxSettleSteps is more steps than settle takes in any state of the model.
const maxSettleSteps = 64

// settle replicates until no event or chunk remains, with the leader that started last and the owner's up-to-date replica; nothing is
// lost or late. It returns false if events or chunks remain after maxSettleSteps.
func (s *state) settle() bool {
	s.laggingOwner, s.lateChunks, s.remaining = s.owner, nil, Bounds{}
	s.leaders[1-s.newestLeader] = leader{}
	if !s.leaders[s.newestLeader].leading {
		s.startLeader(s.newestLeader)
	}
	rejected := 0
	for range maxSettleSteps {
		l := &s.leaders[s.newestLeader]
		switch {
		case len(l.chunks) > 0:
			s.propose(s.newestLeader)
		case len(l.events) > 0:
			s.applyEvent(s.newestLeader)
			if l.syncState.Rejected != "" {
				if rejected++; rejected > 2 {
					return true // the rejection is reported, and is repeated until the owner's next change
				}
			}
		case !l.watching:
			s.startWatch(s.newestLeader, 0)
		default:
			if s.receiveEvent(s.newestLeader); len(l.events) == 0 {
				return true
			}
		}
	}
	return false
}

// checkConvergence describes what is wrong after settle, or returns an empty string. The follower must have all entries and documents
// of the owner, or, only if the owner was restored, report what it has set aside. The sidecar must have the follower's settings.
func (s *state) checkConvergence() string {
	settled := s.Clone()
	if !settled.settle() {
		return "the replication does not settle"
	}
	sync, replicated := settled.leaders[settled.newestLeader].syncState, settled.follower.Replicated(north)
	view := s.currentView
	switch {
	case !s.restored && (sync.Rejected != "" || sync.Anomaly != ""):
		return fmt.Sprintf("set aside without cause: %s%s", sync.Rejected, sync.Anomaly)
	case sync.Rejected == "" && !maps.Equal(replicated.Entries, view.entries), sync.Rejected == "" && replicated.Revision != settled.owner.Revision():
		return fmt.Sprintf("settled at %d: entries are %v, but the owner's at %d are %v", replicated.Revision, replicated.Entries, settled.owner.Revision(), view.entries)
	case sync.Rejected == "" && sync.Anomaly == "" && !maps.EqualFunc(replicated.Documents, view.documents, equalDocuments):
		return fmt.Sprintf("settled without an anomaly: documents are %+v, but the owner's are %+v", replicated.Documents, view.documents)
	}
	settled.readSettings(settled.follower)
	if d, _ := settled.follower.Document(service); !equalDocuments(d, settled.sidecarDocument) {
		return fmt.Sprintf("settled: the sidecar has %+v, but the follower's list has %+v", settled.sidecarDocument, d)
	}
	return ""
}
