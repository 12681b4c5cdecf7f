package explore

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

// Broken names a promise that does not hold, in what a step came to.
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
	replicated, was := s.follower.Replicated(north), before.follower.Replicated(north)
	if replicated.Revision < was.Revision || replicated.SeenRevision < was.SeenRevision {
		return fmt.Sprintf("held at %d, seen %d, after %d, seen %d", replicated.Revision, replicated.SeenRevision, was.Revision, was.SeenRevision)
	}
	for name, w := range was.Documents {
		d, there := replicated.Documents[name]
		switch {
		case !there:
			return fmt.Sprintf("the settings of %s are held no more; they were at version %d, deleted %v", name, w.Revision, w.Deleted)
		case d.Revision < w.Revision, d.Revision == w.Revision && !equalDocuments(d, w):
			return fmt.Sprintf("the settings of %s are %+v after %+v", name, d, w)
		}
	}
	for name, e := range replicated.Entries {
		if w, there := was.Entries[name]; there && !s.restored && changeNumber(e) < changeNumber(w) {
			return fmt.Sprintf("the entry %s is as of change %d after %d", name, changeNumber(e), changeNumber(w))
		}
	}
	if wrong := s.checkIssued(replicated); wrong != "" {
		return wrong
	}
	if !s.restored && replicated.Revision > 0 && replicated.Revision == replicated.SeenRevision {
		if p := s.issuedViews[replicated.Revision-1]; !p.matches(replicated) {
			return fmt.Sprintf("held whole at %d is %+v, and it was %+v", replicated.Revision, replicated, p)
		}
	}
	return s.checkOwn()
}

// checkIssued names what is held that the owner never issued.
func (s *state) checkIssued(replicated list.Replicated) string {
	for name, d := range replicated.Documents {
		if !slices.ContainsFunc(s.issuedViews, func(p ownerView) bool { i, there := p.documents[name]; return there && equalDocuments(i, d) }) {
			return fmt.Sprintf("the owner never issued %+v", d)
		}
	}
	for name, e := range replicated.Entries {
		if !slices.ContainsFunc(s.issuedViews, func(p ownerView) bool { i, there := p.entries[name]; return there && i == e }) {
			return fmt.Sprintf("the owner never issued %+v", e)
		}
	}
	return ""
}

// checkOwn names what of the follower's own is not as it wrote it.
func (s *state) checkOwn() string {
	own := s.follower.OwnChangesSince(-1)
	if len(own.Endpoints) != 2 || len(own.Documents) != 1 || own.Documents[0].Revision != 3 || own.Documents[0].Region != south {
		return fmt.Sprintf("the follower's own are %+v", own)
	}
	for _, e := range s.follower.Full().Endpoints {
		if (e.Name == "a" || e.Name == "o") && e.Address != "own" {
			return fmt.Sprintf("the follower's own entry is told as %+v", e)
		}
	}
	return ""
}

// matches tells whether what matches held matches all of what the owner told once.
func (p ownerView) matches(replicated list.Replicated) bool {
	return maps.Equal(replicated.Entries, p.entries) && maps.EqualFunc(replicated.Documents, p.documents, equalDocuments)
}

func equalDocuments(a, b api.Document) bool {
	return a.Service == b.Service && a.Region == b.Region && a.Revision == b.Revision && a.Deleted == b.Deleted && string(a.Settings) == string(b.Settings)
}

// changeNumber is which of the owner's changes an entry is of.
func changeNumber(e api.Endpoint) int {
	n, _ := strconv.Atoi(e.Address)
	return n
}

// maxSettleSteps is more steps than any heal takes here.
const maxSettleSteps = 64

// settle is a fair continuation: one leader, the one that began last, and all links up, until there is nothing more to do. It is
// false where that does not come to an end.
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
					return true // it is said, and stays so until the owner goes on
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

// checkConvergence names what a fair continuation from here leaves undone: the follower has all of the owner's, or says what it sets aside,
// which it has no cause for where the owner was not put back; and the sidecar has what the follower tells.
func (s *state) checkConvergence() string {
	n := s.Clone()
	if !n.settle() {
		return "healing does not end"
	}
	sync, replicated := n.leaders[n.newestLeader].syncState, n.follower.Replicated(north)
	owner := s.currentView
	switch {
	case !s.restored && (sync.Rejected != "" || sync.Anomaly != ""):
		return fmt.Sprintf("set aside without cause: %s%s", sync.Rejected, sync.Anomaly)
	case sync.Rejected == "" && !maps.Equal(replicated.Entries, owner.entries), sync.Rejected == "" && replicated.Revision != n.owner.Revision():
		return fmt.Sprintf("healed at %d: entries are %v, and the owner's at %d %v", replicated.Revision, replicated.Entries, n.owner.Revision(), owner.entries)
	case sync.Rejected == "" && sync.Anomaly == "" && !maps.EqualFunc(replicated.Documents, owner.documents, equalDocuments):
		return fmt.Sprintf("healed, nothing said: documents are %+v, and the owner's %+v", replicated.Documents, owner.documents)
	}
	n.readSettings(n.follower)
	if d, _ := n.follower.Document(service); !equalDocuments(d, n.sidecarDocument) {
		return fmt.Sprintf("healed: the sidecar has %+v, and is told %+v", n.sidecarDocument, d)
	}
	return ""
}
