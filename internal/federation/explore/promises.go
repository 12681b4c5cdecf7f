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
	if s.why != "" {
		return s.why
	}
	if s.sidecar.Revision < before.sidecar.Revision {
		return fmt.Sprintf("the sidecar has version %d after %d", s.sidecar.Revision, before.sidecar.Revision)
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
		case d.Revision < w.Revision, d.Revision == w.Revision && !alike(d, w):
			return fmt.Sprintf("the settings of %s are %+v after %+v", name, d, w)
		}
	}
	for name, e := range replicated.Entries {
		if w, there := was.Entries[name]; there && !s.back && number(e) < number(w) {
			return fmt.Sprintf("the entry %s is as of change %d after %d", name, number(e), number(w))
		}
	}
	if wrong := s.unissued(replicated); wrong != "" {
		return wrong
	}
	if !s.back && replicated.Revision > 0 && replicated.Revision == replicated.SeenRevision {
		if p := s.issued[replicated.Revision-1]; !p.is(replicated) {
			return fmt.Sprintf("held whole at %d is %+v, and it was %+v", replicated.Revision, replicated, p)
		}
	}
	return s.ownTouched()
}

// unissued names what is held that the owner never issued.
func (s *state) unissued(replicated list.Replicated) string {
	for name, d := range replicated.Documents {
		if !slices.ContainsFunc(s.issued, func(p past) bool { i, there := p.documents[name]; return there && alike(i, d) }) {
			return fmt.Sprintf("the owner never issued %+v", d)
		}
	}
	for name, e := range replicated.Entries {
		if !slices.ContainsFunc(s.issued, func(p past) bool { i, there := p.entries[name]; return there && i == e }) {
			return fmt.Sprintf("the owner never issued %+v", e)
		}
	}
	return ""
}

// ownTouched names what of the follower's own is not as it wrote it.
func (s *state) ownTouched() string {
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

// is tells whether what is held is all of what the owner told once.
func (p past) is(replicated list.Replicated) bool {
	return maps.Equal(replicated.Entries, p.entries) && maps.EqualFunc(replicated.Documents, p.documents, alike)
}

func alike(a, b api.Document) bool {
	return a.Service == b.Service && a.Region == b.Region && a.Revision == b.Revision && a.Deleted == b.Deleted && string(a.Settings) == string(b.Settings)
}

// number is which of the owner's changes an entry is of.
func number(e api.Endpoint) int {
	n, _ := strconv.Atoi(e.Address)
	return n
}

// settleMost is more steps than any heal takes here.
const settleMost = 64

// settle is a fair continuation: one leader, the one that began last, and all links up, until there is nothing more to do. It is
// false where that does not come to an end.
func (s *state) settle() bool {
	s.behind, s.late, s.left = s.owner, nil, Bounds{}
	s.leaders[1-s.newest] = leader{}
	if !s.leaders[s.newest].leads {
		s.lead(s.newest)
	}
	rejected := 0
	for range settleMost {
		l := &s.leaders[s.newest]
		switch {
		case len(l.chunks) > 0:
			s.propose(s.newest)
		case len(l.lines) > 0:
			s.applyChunk(s.newest)
			if l.sync.Rejected != "" {
				if rejected++; rejected > 2 {
					return true // it is said, and stays so until the owner goes on
				}
			}
		case !l.watches:
			s.watch(s.newest, 0)
		default:
			if s.line(s.newest); len(l.lines) == 0 {
				return true
			}
		}
	}
	return false
}

// heal names what a fair continuation from here leaves undone: the follower has all of the owner's, or says what it sets aside,
// which it has no cause for where the owner was not put back; and the sidecar has what the follower tells.
func (s *state) heal() string {
	n := s.Clone()
	if !n.settle() {
		return "healing does not end"
	}
	sync, replicated := n.leaders[n.newest].sync, n.follower.Replicated(north)
	owner := s.now
	switch {
	case !s.back && (sync.Rejected != "" || sync.Anomaly != ""):
		return fmt.Sprintf("set aside without cause: %s%s", sync.Rejected, sync.Anomaly)
	case sync.Rejected == "" && !maps.Equal(replicated.Entries, owner.entries), sync.Rejected == "" && replicated.Revision != n.owner.Revision():
		return fmt.Sprintf("healed at %d: entries are %v, and the owner's at %d %v", replicated.Revision, replicated.Entries, n.owner.Revision(), owner.entries)
	case sync.Rejected == "" && sync.Anomaly == "" && !maps.EqualFunc(replicated.Documents, owner.documents, alike):
		return fmt.Sprintf("healed, nothing said: documents are %+v, and the owner's %+v", replicated.Documents, owner.documents)
	}
	n.read(n.follower)
	if d, _ := n.follower.Document(service); !alike(d, n.sidecar) {
		return fmt.Sprintf("healed: the sidecar has %+v, and is told %+v", n.sidecar, d)
	}
	return ""
}
