// Package list holds the endpoint list of the list service: what a command does to it, and what has changed
// since a revision. It is pure: the same commands in the same order make the same list on every replica.
package list

import (
	"maps"
	"slices"
	"strings"

	"mosslead/internal/registry/api"
)

// Operations of commands, as they are encoded in the log.
const (
	Register      = "register"
	Drain         = "drain" // by the server itself
	Deregister    = "leave" // by the server itself
	SetAdminState = "hand"  // by an operator
	Expire        = "expire"
	AddReplica    = "join" // a replica has joined, or changed
	RemoveReplica = "part" // a replica has left
	Restore       = "restore"
)

// Schema is the newest schema of commands and backups that this program understands. Replicas announce theirs to each
// other, and no command of a newer schema may be proposed while a replica does not understand it, or lists would diverge.
//
// Schema 2 introduced leaderships, 3 documents and other regions. A program of schema 1 rejects a command of schema 2, and
// leaves its list unchanged.
const Schema = 3

// CompactionWindow is how many changed entries are stored, removed ones too. A watch from an earlier revision
// gets the full list.
const CompactionWindow = 8192

// Command is an entry of the replicated log.
type Command struct {
	Op           string            `json:"op"`
	Name         string            `json:"name,omitempty"`
	Registration *api.Registration `json:"registration,omitempty"`
	Incarnation  int64             `json:"incarnation,omitempty"`
	IfRevision   *int64            `json:"if_version,omitempty"`
	AdminState   string            `json:"hand,omitempty"`
	Expired      []api.Heartbeat   `json:"lapsed,omitempty"`
	Replica      *api.Replica      `json:"replica,omitempty"`
	State        *State            `json:"state,omitempty"`
	Claim        *LeadershipClaim  `json:"claim,omitempty"` // schema 2, like the fields below
	ExpiredTerms []LeaseTerm       `json:"terms,omitempty"`
	Region       string            `json:"region,omitempty"` // schema 3, like the fields below: the region of the writer
	Document     *api.Document     `json:"document,omitempty"`
	Chunk        *Chunk            `json:"piece,omitempty"`

	Index uint64 `json:"-"` // its index in the log, the same at all replicas
}

// Result is the result of a command.
type Result struct {
	Revision        int64      // of the entry
	Leadership      Leadership // as it is now; no Holder: nobody's
	LeadershipsVoid bool       // all leaderships are void, see forget
	Err             *api.Error
}

// State is the whole state of a list, as stored in snapshots and backups.
type State struct {
	Revision          int64                  `json:"version"`
	CompactedRevision int64                  `json:"floor"`
	Records           []api.Record           `json:"records"` // removed ones too, as long as they are stored
	AdminStates       map[string]string      `json:"hands"`
	Replicas          map[string]api.Replica `json:"replicas"`
	Leaderships       []Leadership           `json:"duties,omitempty"` // schema 2
	HighestEpoch      uint64                 `json:"epoch,omitempty"`  // schema 2: the highest that was granted

	Region          string           `json:"region,omitempty"`    // schema 3, like the fields below
	Documents       []Document       `json:"documents,omitempty"` // own ones, by service
	Regions         []Region         `json:"others,omitempty"`    // by name
	RegionRevisions map[string]int64 `json:"moved,omitempty"`     // see List
}

// Schema returns the lowest schema that the state needs.
func (s *State) Schema() int {
	if s.Region != "" || len(s.Documents) > 0 || len(s.Regions) > 0 {
		return DocumentSchema
	}
	if s.HighestEpoch > 0 || len(s.Leaderships) > 0 {
		return LeadershipSchema
	}
	return 1
}

// entryChange is a change of an entry; obsolete once the entry has changed again.
type entryChange struct {
	revision int64
	name     string
}

// List is the list at a revision. Not safe for concurrent use.
type List struct {
	revision          int64
	compactedRevision int64 // revision below which changes are no longer known
	records           map[string]*api.Record
	adminStates       map[string]string // as operators set them, also for servers that are not present
	changes           []entryChange     // by revision, rising
	live              int               // records that are not removed
	replicas          map[string]api.Replica
	window            int
	leaderships       map[string]Leadership // held, or expired and not acquired since
	highestEpoch      uint64                // the highest that was granted for any leadership

	region           string                 // the name of the list's region
	documents        map[string]*Document   // own ones, by service; deleted ones too
	regions          map[string]*regionCopy // replicated ones
	regionRevisions  map[string]int64       // revision at which the visible entry of a name last changed because of another region
	skipRegionChecks bool                   // see SkipRegionChecks
}

// New returns an empty list that stores that many changed entries.
func New(history int) *List {
	return &List{records: map[string]*api.Record{}, adminStates: map[string]string{}, replicas: map[string]api.Replica{}, window: history,
		leaderships: map[string]Leadership{}, documents: map[string]*Document{}, regions: map[string]*regionCopy{}, regionRevisions: map[string]int64{}}
}

// Revision returns the revision of the list, which rises with each change of an entry.
func (l *List) Revision() int64 { return l.revision }

// Len returns the number of endpoints in the list.
func (l *List) Len() int { return l.live }

// Replicas returns the replicas of the service.
func (l *List) Replicas() map[string]api.Replica { return maps.Clone(l.replicas) }

// Get returns an entry; false if there is none, or if it was removed.
func (l *List) Get(name string) (api.Record, bool) {
	r := l.records[name]
	if r == nil || r.ServerStatus == api.Removed {
		return api.Record{Endpoint: api.Endpoint{Name: name, Status: api.Removed}, AdminState: l.adminStates[name]}, false
	}
	return *r, true
}

// Records returns the records of all servers that have not left, in order, including banned ones.
func (l *List) Records() []api.Record {
	all := make([]api.Record, 0, len(l.records))
	for _, r := range l.records {
		if r.ServerStatus != api.Removed {
			all = append(all, *r)
		}
	}
	slices.SortFunc(all, compareByName)
	return all
}

func compareByName(a, b api.Record) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	}
	return 0
}

// Full returns the full list as sent to watchers: own endpoints, and those of other regions whose names are not used here.
func (l *List) Full() api.WatchEvent {
	w := l.ownEntries()
	if len(l.regions) == 0 {
		return w
	}
	for name := range l.regionEntryNames() {
		if r := l.records[name]; r == nil || r.ServerStatus == api.Removed {
			w.Endpoints = append(w.Endpoints, l.visibleEntry(name))
		}
	}
	slices.SortFunc(w.Endpoints, func(a, b api.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return w
}

// ownEntries returns the full list without other regions.
func (l *List) ownEntries() api.WatchEvent {
	w := api.WatchEvent{Revision: l.revision, Snapshot: true, Endpoints: []api.Endpoint{}}
	for _, r := range l.Records() {
		if r.Status != api.Removed {
			w.Endpoints = append(w.Endpoints, r.Endpoint)
		}
	}
	return w
}

// Remembers reports whether the changes since a revision are known. They are not for one before the compaction window, or
// of another service.
func (l *List) Remembers(version int64) bool {
	return version >= l.compactedRevision && version <= l.revision
}

// ChangesSince returns the changes after a revision, each entry once, in the order of their latest changes; or the full list
// if those are no longer known.
func (l *List) ChangesSince(version int64) api.WatchEvent {
	if !l.Remembers(version) {
		return l.Full()
	}
	c := api.WatchEvent{Revision: l.revision, Endpoints: []api.Endpoint{}}
	for _, t := range l.changesAfter(version) {
		if l.visibleRevision(t.name) == t.revision {
			c.Endpoints = append(c.Endpoints, l.visibleEntry(t.name))
		}
	}
	return c
}

// changesAfter returns the changes after a revision.
func (l *List) changesAfter(version int64) []entryChange {
	from, _ := slices.BinarySearchFunc(l.changes, version+1, func(t entryChange, v int64) int { return int(t.revision - v) })
	return l.changes[from:]
}

// ownRevision returns the revision at which an own entry last changed; 0 if none is stored.
func (l *List) ownRevision(name string) int64 {
	if r := l.records[name]; r != nil {
		return r.Revision
	}
	return 0
}

// visibleRevision returns the revision at which the visible entry of a name last changed.
func (l *List) visibleRevision(name string) int64 {
	return max(l.ownRevision(name), l.regionRevisions[name])
}

// Apply applies a command.
func (l *List) Apply(c Command) Result {
	switch c.Op {
	case Register, Drain, Deregister, SetAdminState:
		return l.applyEntryCommand(c)
	case Expire:
		for _, x := range c.Expired {
			if r := l.records[x.Name]; r != nil && r.ServerStatus != api.Removed && r.Incarnation == x.Incarnation {
				l.removeRecord(r)
			}
		}
		return Result{Revision: l.revision}
	case AcquireLeadership, RenewLeadership, ReleaseLeadership, ForgetLeaderships:
		return l.applyLeadership(c, c.Index)
	case PutDocument, DeleteDocument:
		l.setRegion(c.Region)
		return l.applyDocument(c)
	case ReplicateRegion:
		l.setRegion(c.Region)
		return l.applyChunk(c.Chunk)
	case AddReplica:
		forgot := l.voidLeaderships(*c.Replica)
		l.replicas[c.Replica.Name] = *c.Replica
		return Result{Revision: l.revision, LeadershipsVoid: forgot}
	case RemoveReplica:
		delete(l.replicas, c.Name)
		return Result{Revision: l.revision}
	case Restore:
		if c.Region != "" { // a new quorum does not know its name yet, under which its documents are sent at once
			l.setRegion(c.Region)
		}
		l.restore(c.State)
		return Result{Revision: l.revision}
	}
	return Result{Err: api.Errorf(api.CodeBadRequest, "this replica knows of no %q", c.Op)}
}

// applyEntryCommand applies a command on one entry.
func (l *List) applyEntryCommand(c Command) Result {
	r, there := l.Get(c.Name)
	if !there {
		r.Revision = 0
	}
	if c.IfRevision != nil && *c.IfRevision != r.Revision {
		return Result{Revision: r.Revision, Err: api.Errorf(api.CodeConflict, "%s is at version %d", c.Name, r.Revision)}
	}
	incarnation := c.Incarnation
	if c.Registration != nil {
		incarnation = c.Registration.Incarnation
	}
	// The latest incarnation stays known after its entry has ended, so that a late command of an earlier one is rejected.
	if known := l.records[c.Name]; known != nil && incarnation < known.Incarnation && (incarnation != 0 || c.Op == Register) {
		return Result{Revision: r.Revision, Err: api.Errorf(api.CodeOlderIncarnation, "%s is known with incarnation %d", c.Name, known.Incarnation)}
	}
	if c.Op == SetAdminState {
		l.setAdminState(c.Name, c.AdminState)
	} else if !there && c.Op != Register {
		return Result{Err: api.Errorf(api.CodeNotFound, "%s", c.Name)}
	}
	next := r
	switch c.Op {
	case Register:
		if !there && l.live >= api.MaxEndpoints {
			return Result{Err: api.Errorf(api.CodeFull, "%d entries", l.live)}
		}
		g := c.Registration
		next.Endpoint = api.Endpoint{Name: c.Name, Address: g.Address, Zone: g.Zone, Machine: g.Machine, Cell: g.Cell, Weight: g.Weight, StartedMs: g.StartedMs}
		next.Incarnation, next.LeaseMs, next.ServerStatus = g.Incarnation, g.LeaseMs, api.Ready
	case Drain:
		next.ServerStatus = api.Terminating
	case Deregister:
		l.removeRecord(l.records[c.Name])
		return Result{Revision: 0}
	case SetAdminState:
		if !there {
			return Result{}
		}
	}
	next.AdminState = l.adminStates[c.Name]
	next.Status = status(next)
	if there && next == r {
		return Result{Revision: r.Revision}
	}
	if !there {
		l.live++
	}
	l.putRecord(next)
	return Result{Revision: l.revision}
}

func (l *List) setAdminState(name, hand string) {
	if hand == api.AdminNone {
		delete(l.adminStates, name)
		return
	}
	l.adminStates[name] = hand
}

// status returns the status of a record as sent to watchers: by the administrative state, or else the server's own.
func status(r api.Record) string {
	switch {
	case r.ServerStatus == api.Removed || r.AdminState == api.AdminBan:
		return api.Removed
	case r.AdminState == api.AdminDrain:
		return api.Terminating
	}
	return r.ServerStatus
}

func (l *List) removeRecord(r *api.Record) {
	removed := *r
	removed.ServerStatus, removed.Status = api.Removed, api.Removed
	l.live--
	l.putRecord(removed)
}

// putRecord changes an entry at the next revision.
func (l *List) putRecord(r api.Record) {
	l.revision++
	r.Revision = l.revision
	l.records[r.Name] = &r
	l.recordChange(r.Name)
}

// recordChange records that the visible entry of a name changed at the present revision.
func (l *List) recordChange(name string) {
	l.changes = append(l.changes, entryChange{l.revision, name})
	if len(l.changes) > 2*l.window {
		l.compact()
	}
}

// compact drops obsolete changes, and then the oldest beyond the window with the removed entries among them.
func (l *List) compact() {
	l.changes = slices.DeleteFunc(l.changes, func(t entryChange) bool {
		return l.ownRevision(t.name) != t.revision && l.regionRevisions[t.name] != t.revision
	})
	for _, t := range l.changes[:max(0, len(l.changes)-l.window)] {
		l.compactedRevision = t.revision
		if l.regionRevisions[t.name] == t.revision {
			delete(l.regionRevisions, t.name)
		}
		if r := l.records[t.name]; r != nil && r.Revision == t.revision && r.ServerStatus == api.Removed {
			delete(l.records, t.name)
		}
	}
	l.changes = slices.Clone(l.changes[max(0, len(l.changes)-l.window):])
}

// State returns the whole state of the list.
func (l *List) State() State {
	s := State{Revision: l.revision, CompactedRevision: l.compactedRevision, AdminStates: maps.Clone(l.adminStates), Replicas: maps.Clone(l.replicas), Records: []api.Record{},
		Leaderships: l.Leaderships(), HighestEpoch: l.highestEpoch, Region: l.region, Documents: l.ownDocuments(), Regions: l.regionsState(), RegionRevisions: maps.Clone(l.regionRevisions)}
	for _, r := range l.records {
		s.Records = append(s.Records, *r)
	}
	slices.SortFunc(s.Records, compareByName)
	return s
}

// Load returns the list of a snapshot.
func Load(s State, history int) *List {
	l := New(history)
	l.revision, l.compactedRevision = s.Revision, s.CompactedRevision
	maps.Copy(l.adminStates, s.AdminStates)
	maps.Copy(l.replicas, s.Replicas)
	l.highestEpoch = s.HighestEpoch
	for _, d := range s.Leaderships {
		l.leaderships[d.Name] = d
	}
	for _, r := range s.Records {
		l.records[r.Name] = &r
		if r.ServerStatus != api.Removed {
			l.live++
		}
		if r.Revision > l.compactedRevision {
			l.changes = append(l.changes, entryChange{r.Revision, r.Name})
		}
	}
	l.loadDocuments(s)
	slices.SortFunc(l.changes, func(a, b entryChange) int { return int(a.revision - b.revision) })
	return l
}

// restoreStep is how far the revision of a restored list is put ahead of the backup's and the present one: it is unknown how
// many revisions a lost service has sent after the backup.
const restoreStep = 1 << 20

// restore replaces the entries by those of a backup. The revision continues from the higher of both, and all watchers are
// sent the full list. Replicas are not changed.
func (l *List) restore(s *State) {
	version := max(l.revision, s.Revision, int64(s.HighestEpoch)) + restoreStep // also above epochs, see applyLeadership
	was := *l
	next := *s
	next.Revision, next.CompactedRevision, next.Replicas = version, version, was.replicas
	next.Region, next.RegionRevisions = was.region, nil
	*l = *Load(next, l.window)
	l.restoreDocuments(&was)
	l.restoreLeaderships(&was)
	for name, r := range l.records {
		if r.ServerStatus == api.Removed {
			delete(l.records, name)
		}
	}
}
