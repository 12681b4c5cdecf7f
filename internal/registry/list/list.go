// Package list implements the endpoint list of the list service: it applies commands, and returns what has changed
// since a revision. It is deterministic: the same commands in the same order produce the same list on every replica.
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
	Drain         = "drain" // requested by the server itself
	Deregister    = "leave" // requested by the server itself
	SetAdminState = "hand"  // requested by an operator
	Expire        = "expire"
	AddReplica    = "join" // adds or updates a replica
	RemoveReplica = "part" // removes a replica
	Restore       = "restore"
)

// Schema is the newest schema of commands and backups that this program understands. Replicas announce theirs to each
// other. No command of a newer schema may be proposed while a replica does not understand it, or the lists would diverge.
//
// Schema 2 introduced leaderships, schema 3 documents and other regions. A program of schema 1 rejects a command of schema 2, and
// leaves its list unchanged.
const Schema = 3

// CompactionWindow is the number of changed entries that are stored, including removed ones. A watch from a revision
// before these changes gets the full list.
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
	Region       string            `json:"region,omitempty"` // the region of the writer; schema 3, like the fields below
	Document     *api.Document     `json:"document,omitempty"`
	Chunk        *Chunk            `json:"piece,omitempty"`

	Index uint64 `json:"-"` // index of the command in the log, the same at all replicas
}

// Result is the result of a command.
type Result struct {
	Revision        int64      // of the entry
	Leadership      Leadership // after the command; its Holder is empty if nobody holds it
	LeadershipsVoid bool       // all leaderships were removed, see voidLeaderships
	Err             *api.Error
}

// State is the whole state of a list, as stored in snapshots and backups.
type State struct {
	Revision          int64                  `json:"version"`
	CompactedRevision int64                  `json:"floor"`
	Records           []api.Record           `json:"records"` // including removed ones that are still stored
	AdminStates       map[string]string      `json:"hands"`
	Replicas          map[string]api.Replica `json:"replicas"`
	Leaderships       []Leadership           `json:"duties,omitempty"` // schema 2
	HighestEpoch      uint64                 `json:"epoch,omitempty"`  // the highest that was granted; schema 2

	Region          string           `json:"region,omitempty"`    // schema 3, like the fields below
	Documents       []Document       `json:"documents,omitempty"` // of this region, sorted by service
	Regions         []Region         `json:"others,omitempty"`    // sorted by name
	RegionRevisions map[string]int64 `json:"moved,omitempty"`     // see List.regionRevisions
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

// entryChange is a change of an entry. It is obsolete once the entry has changed again.
type entryChange struct {
	revision int64
	name     string
}

// List is the endpoint list at its current revision. It is not safe for concurrent use.
type List struct {
	revision          int64
	compactedRevision int64 // changes up to this revision are no longer known
	records           map[string]*api.Record
	adminStates       map[string]string // set by operators, also for servers without an entry; by name
	changes           []entryChange     // ascending by revision
	live              int               // number of records that are not removed
	replicas          map[string]api.Replica
	window            int                   // number of changed entries that are stored
	leaderships       map[string]Leadership // held, or expired and not acquired again since
	highestEpoch      uint64                // the highest that was granted for any leadership

	region           string                 // the name of the list's region
	documents        map[string]*Document   // of this region, by service; including deleted ones
	regions          map[string]*regionCopy // replicated from other regions, by name
	regionRevisions  map[string]int64       // revision at which the visible entry of a name last changed because of another region
	skipRegionChecks bool                   // see SkipRegionChecks
}

// New returns an empty list that stores window changed entries.
func New(window int) *List {
	return &List{records: map[string]*api.Record{}, adminStates: map[string]string{}, replicas: map[string]api.Replica{}, window: window,
		leaderships: map[string]Leadership{}, documents: map[string]*Document{}, regions: map[string]*regionCopy{}, regionRevisions: map[string]int64{}}
}

// Revision returns the revision of the list, which rises with each change of an entry or a document.
func (l *List) Revision() int64 { return l.revision }

// Len returns the number of own entries that are not removed.
func (l *List) Len() int { return l.live }

// Replicas returns the replicas of the service.
func (l *List) Replicas() map[string]api.Replica { return maps.Clone(l.replicas) }

// Get returns the record of an entry. It returns false if there is none, or if it was removed.
func (l *List) Get(name string) (api.Record, bool) {
	r := l.records[name]
	if r == nil || r.ServerStatus == api.Removed {
		return api.Record{Endpoint: api.Endpoint{Name: name, Status: api.Removed}, AdminState: l.adminStates[name]}, false
	}
	return *r, true
}

// Records returns the records of all entries that are not removed, sorted by name, including banned ones.
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

// Full returns the full list as sent to watchers: own endpoints, and those of other regions whose names no own endpoint has.
func (l *List) Full() api.WatchEvent {
	event := l.ownEntries()
	if len(l.regions) == 0 {
		return event
	}
	for name := range l.regionEntryNames() {
		if r := l.records[name]; r == nil || r.ServerStatus == api.Removed {
			event.Endpoints = append(event.Endpoints, l.visibleEntry(name))
		}
	}
	slices.SortFunc(event.Endpoints, func(a, b api.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return event
}

// ownEntries returns the full list without the endpoints of other regions.
func (l *List) ownEntries() api.WatchEvent {
	event := api.WatchEvent{Revision: l.revision, Snapshot: true, Endpoints: []api.Endpoint{}}
	for _, r := range l.Records() {
		if r.Status != api.Removed {
			event.Endpoints = append(event.Endpoints, r.Endpoint)
		}
	}
	return event
}

// Remembers reports whether the changes since a revision are known. They are unknown for a revision before the compaction window,
// and for a revision above the list's, which comes from another service or from lost data.
func (l *List) Remembers(revision int64) bool {
	return revision >= l.compactedRevision && revision <= l.revision
}

// ChangesSince returns the changes after a revision, with each entry once and in the order of the latest changes, or the full
// list if the changes are no longer known.
func (l *List) ChangesSince(revision int64) api.WatchEvent {
	if !l.Remembers(revision) {
		return l.Full()
	}
	event := api.WatchEvent{Revision: l.revision, Endpoints: []api.Endpoint{}}
	for _, change := range l.changesAfter(revision) {
		if l.visibleRevision(change.name) == change.revision {
			event.Endpoints = append(event.Endpoints, l.visibleEntry(change.name))
		}
	}
	return event
}

// changesAfter returns the changes after a revision.
func (l *List) changesAfter(revision int64) []entryChange {
	start, _ := slices.BinarySearchFunc(l.changes, revision+1, func(change entryChange, target int64) int { return int(change.revision - target) })
	return l.changes[start:]
}

// ownRevision returns the revision at which an own entry last changed. It returns 0 if no record of it is stored.
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

// Apply applies a command and returns its result.
func (l *List) Apply(c Command) Result {
	switch c.Op {
	case Register, Drain, Deregister, SetAdminState:
		return l.applyEntryCommand(c)
	case Expire:
		for _, heartbeat := range c.Expired {
			if r := l.records[heartbeat.Name]; r != nil && r.ServerStatus != api.Removed && r.Incarnation == heartbeat.Incarnation {
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
		voided := l.voidLeaderships(*c.Replica)
		l.replicas[c.Replica.Name] = *c.Replica
		return Result{Revision: l.revision, LeadershipsVoid: voided}
	case RemoveReplica:
		delete(l.replicas, c.Name)
		return Result{Revision: l.revision}
	case Restore:
		if c.Region != "" { // set first, because a new quorum does not know its region's name yet, and documents are sent under that name
			l.setRegion(c.Region)
		}
		l.restore(c.State)
		return Result{Revision: l.revision}
	}
	return Result{Err: api.Errorf(api.CodeBadRequest, "this replica knows of no %q", c.Op)}
}

// applyEntryCommand applies a command to one entry.
func (l *List) applyEntryCommand(c Command) Result {
	r, exists := l.Get(c.Name)
	if !exists {
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
	} else if !exists && c.Op != Register {
		return Result{Err: api.Errorf(api.CodeNotFound, "%s", c.Name)}
	}
	next := r
	switch c.Op {
	case Register:
		if !exists && l.live >= api.MaxEndpoints {
			return Result{Err: api.Errorf(api.CodeFull, "%d entries", l.live)}
		}
		registration := c.Registration
		next.Endpoint = api.Endpoint{Name: c.Name, Address: registration.Address, Zone: registration.Zone, Machine: registration.Machine, Cell: registration.Cell, Weight: registration.Weight, StartedMs: registration.StartedMs}
		next.Incarnation, next.LeaseMs, next.ServerStatus = registration.Incarnation, registration.LeaseMs, api.Ready
	case Drain:
		next.ServerStatus = api.Terminating
	case Deregister:
		l.removeRecord(l.records[c.Name])
		return Result{Revision: 0}
	case SetAdminState:
		if !exists {
			return Result{}
		}
	}
	next.AdminState = l.adminStates[c.Name]
	next.Status = status(next)
	if exists && next == r {
		return Result{Revision: r.Revision}
	}
	if !exists {
		l.live++
	}
	l.putRecord(next)
	return Result{Revision: l.revision}
}

func (l *List) setAdminState(name, state string) {
	if state == api.AdminNone {
		delete(l.adminStates, name)
		return
	}
	l.adminStates[name] = state
}

// status returns the status of a record that watchers are sent. The administrative state overrides the server's own status.
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

// putRecord stores a record at the next revision of the list.
func (l *List) putRecord(r api.Record) {
	l.revision++
	r.Revision = l.revision
	l.records[r.Name] = &r
	l.recordChange(r.Name)
}

// recordChange records that the visible entry of a name changed at the current revision.
func (l *List) recordChange(name string) {
	l.changes = append(l.changes, entryChange{l.revision, name})
	if len(l.changes) > 2*l.window {
		l.compact()
	}
}

// compact drops obsolete changes, and then the oldest changes beyond the window, with the records of entries that they removed.
func (l *List) compact() {
	l.changes = slices.DeleteFunc(l.changes, func(change entryChange) bool {
		return l.ownRevision(change.name) != change.revision && l.regionRevisions[change.name] != change.revision
	})
	for _, change := range l.changes[:max(0, len(l.changes)-l.window)] {
		l.compactedRevision = change.revision
		if l.regionRevisions[change.name] == change.revision {
			delete(l.regionRevisions, change.name)
		}
		if r := l.records[change.name]; r != nil && r.Revision == change.revision && r.ServerStatus == api.Removed {
			delete(l.records, change.name)
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

// Load returns the list that a snapshot describes.
func Load(s State, window int) *List {
	l := New(window)
	l.revision, l.compactedRevision = s.Revision, s.CompactedRevision
	maps.Copy(l.adminStates, s.AdminStates)
	maps.Copy(l.replicas, s.Replicas)
	l.highestEpoch = s.HighestEpoch
	for _, leadership := range s.Leaderships {
		l.leaderships[leadership.Name] = leadership
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

// restoreStep is added to the higher of the backup's revision and the current one when a list is restored, because it is unknown
// how many revisions a lost service has sent after the backup.
const restoreStep = 1 << 20

// restore replaces the entries with those of a backup. The revision continues above the higher of both revisions, and all watchers
// are sent the full list. Replicas are not changed.
func (l *List) restore(s *State) {
	revision := max(l.revision, s.Revision, int64(s.HighestEpoch)) + restoreStep // also above all epochs, see applyLeadership
	previous := *l
	restored := *s
	restored.Revision, restored.CompactedRevision, restored.Replicas = revision, revision, previous.replicas
	restored.Region, restored.RegionRevisions = previous.region, nil
	*l = *Load(restored, l.window)
	l.restoreDocuments(&previous)
	l.restoreLeaderships(&previous)
	for name, r := range l.records {
		if r.ServerStatus == api.Removed {
			delete(l.records, name)
		}
	}
}
