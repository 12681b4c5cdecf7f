// Package list owns the list of upstreams: what a command does to it, and what changed since a version. It is pure:
// the same commands in the same order make the same list on every replica.
package list

import (
	"maps"
	"slices"
	"strings"

	"mosslead/internal/registry/api"
)

// What a command does.
const (
	Register = "register"
	Drain    = "drain" // by the server itself
	Leave    = "leave" // by the server itself
	Hand     = "hand"  // an operator's word
	Expire   = "expire"
	Join     = "join" // a replica, or what changed of it
	Part     = "part" // a replica no longer belongs
	Restore  = "restore"
)

// Schema is the newest form of commands and backups that this program understands. Replicas tell each other theirs; the
// program that brings a second form must propose none of it while a member's schema is below, or lists would part.
//
// 2 brought duties, 3 documents and other regions. A program of 1 that meets a command of 2 answers that it knows of none, and
// its list stays as it is.
const Schema = 3

// History is how many changed entries are remembered, gone ones among them: a watch from before gets the whole list.
const History = 8192

// Command is one entry of the replicated log.
type Command struct {
	Op           string            `json:"op"`
	Name         string            `json:"name,omitempty"`
	Registration *api.Registration `json:"registration,omitempty"`
	Incarnation  int64             `json:"incarnation,omitempty"`
	IfVersion    *int64            `json:"if_version,omitempty"`
	Hand         string            `json:"hand,omitempty"`
	Lapsed       []api.Lease       `json:"lapsed,omitempty"`
	Replica      *api.Replica      `json:"replica,omitempty"`
	State        *State            `json:"state,omitempty"`
	Claim        *Claim            `json:"claim,omitempty"` // schema 2, as what follows
	Terms        []Term            `json:"terms,omitempty"`
	Region       string            `json:"region,omitempty"` // schema 3, as what follows: the region that writes
	Document     *api.Document     `json:"document,omitempty"`
	Piece        *Piece            `json:"piece,omitempty"`

	Index uint64 `json:"-"` // its place in the log, by which all replicas know it
}

// Result is what a command came to.
type Result struct {
	Version int64 // of the entry
	Duty    Duty  // as it is now; no Holder: nobody's
	Forgot  bool  // all duties are void, see forget
	Err     *api.Failure
}

// State is all of a list, as snapshots and backups hold it.
type State struct {
	Version  int64                  `json:"version"`
	Floor    int64                  `json:"floor"`
	Records  []api.Record           `json:"records"` // gone ones too, as long as they are remembered
	Hands    map[string]string      `json:"hands"`
	Replicas map[string]api.Replica `json:"replicas"`
	Duties   []Duty                 `json:"duties,omitempty"` // schema 2
	Epoch    uint64                 `json:"epoch,omitempty"`  // schema 2: the highest that was given

	Region    string           `json:"region,omitempty"`    // schema 3, as what follows
	Documents []Document       `json:"documents,omitempty"` // own ones, by service
	Others    []Region         `json:"others,omitempty"`    // by name
	Moved     map[string]int64 `json:"moved,omitempty"`     // see List
}

// Schema is the form that the state needs.
func (s *State) Schema() int {
	if s.Region != "" || len(s.Documents) > 0 || len(s.Others) > 0 {
		return DocumentSchema
	}
	if s.Epoch > 0 || len(s.Duties) > 0 {
		return DutySchema
	}
	return 1
}

// touch is a change of an entry; void once the entry changed again.
type touch struct {
	version int64
	name    string
}

// List is the list at a version. Not safe for concurrent use.
type List struct {
	version  int64
	floor    int64 // a watch from below it can't be told what changed
	records  map[string]*api.Record
	hands    map[string]string // operators' words, also on who is not there
	touches  []touch           // by version, rising
	live     int               // records that are not gone
	replicas map[string]api.Replica
	history  int
	duties   map[string]Duty // that are held, or whose lease is over and nobody has taken them since
	epoch    uint64          // the highest that was given for any duty

	region    string               // whose list this is
	documents map[string]*Document // own ones, by service; deleted ones too
	others    map[string]*other    // regions that are followed
	moved     map[string]int64     // when what is told of a name last changed by what another region's list says
	careless  bool                 // see Careless
}

// New is an empty list that remembers so many changed entries.
func New(history int) *List {
	return &List{records: map[string]*api.Record{}, hands: map[string]string{}, replicas: map[string]api.Replica{}, history: history,
		duties: map[string]Duty{}, documents: map[string]*Document{}, others: map[string]*other{}, moved: map[string]int64{}}
}

// Version is a number that rises with each change of an entry.
func (l *List) Version() int64 { return l.version }

// Len is how many are in the list.
func (l *List) Len() int { return l.live }

// Replicas are the members of the service.
func (l *List) Replicas() map[string]api.Replica { return maps.Clone(l.replicas) }

// Get is what is known of an entry; false: nothing, or that it is gone.
func (l *List) Get(name string) (api.Record, bool) {
	r := l.records[name]
	if r == nil || r.Own == api.Gone {
		return api.Record{Entry: api.Entry{Name: name, Status: api.Gone}, Hand: l.hands[name]}, false
	}
	return *r, true
}

// Records are those of all that have not left, by name: banned ones too.
func (l *List) Records() []api.Record {
	all := make([]api.Record, 0, len(l.records))
	for _, r := range l.records {
		if r.Own != api.Gone {
			all = append(all, *r)
		}
	}
	slices.SortFunc(all, byName)
	return all
}

func byName(a, b api.Record) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	}
	return 0
}

// Whole is the list as discovery tells it: own entries, and those of other regions that have no namesake here.
func (l *List) Whole() api.Listing {
	w := l.ownEntries()
	if len(l.others) == 0 {
		return w
	}
	for name := range l.namesOfOthers() {
		if r := l.records[name]; r == nil || r.Own == api.Gone {
			w.Endpoints = append(w.Endpoints, l.told(name))
		}
	}
	slices.SortFunc(w.Endpoints, func(a, b api.Entry) int { return strings.Compare(a.Name, b.Name) })
	return w
}

// ownEntries is the whole list without what other regions tell.
func (l *List) ownEntries() api.Listing {
	w := api.Listing{Index: l.version, Snapshot: true, Endpoints: []api.Entry{}}
	for _, r := range l.Records() {
		if r.Status != api.Gone {
			w.Endpoints = append(w.Endpoints, r.Entry)
		}
	}
	return w
}

// Knows tells whether what changed after a version is remembered: else it is one from long ago, or from another service.
func (l *List) Knows(version int64) bool { return version >= l.floor && version <= l.version }

// Since is what changed after a version, each entry once, in the order of their last changes; the whole list where that
// is no longer known, or was never: a version from another service.
func (l *List) Since(version int64) api.Listing {
	if !l.Knows(version) {
		return l.Whole()
	}
	c := api.Listing{Index: l.version, Endpoints: []api.Entry{}}
	for _, t := range l.after(version) {
		if l.toldAt(t.name) == t.version {
			c.Endpoints = append(c.Endpoints, l.told(t.name))
		}
	}
	return c
}

// after are the changes after a version.
func (l *List) after(version int64) []touch {
	from, _ := slices.BinarySearchFunc(l.touches, version+1, func(t touch, v int64) int { return int(t.version - v) })
	return l.touches[from:]
}

// ownAt is when an own entry last changed; 0: there is none that is remembered.
func (l *List) ownAt(name string) int64 {
	if r := l.records[name]; r != nil {
		return r.Version
	}
	return 0
}

// toldAt is when what is told of a name last changed.
func (l *List) toldAt(name string) int64 { return max(l.ownAt(name), l.moved[name]) }

// Apply carries a command out.
func (l *List) Apply(c Command) Result {
	switch c.Op {
	case Register, Drain, Leave, Hand:
		return l.change(c)
	case Expire:
		for _, x := range c.Lapsed {
			if r := l.records[x.Name]; r != nil && r.Own != api.Gone && r.Incarnation == x.Incarnation {
				l.leave(r)
			}
		}
		return Result{Version: l.version}
	case Take, Renew, Release, Lapse:
		return l.duty(c, c.Index)
	case Put, Delete:
		l.call(c.Region)
		return l.settle(c)
	case Follow:
		l.call(c.Region)
		return l.follow(c.Piece)
	case Join:
		forgot := l.forget(*c.Replica)
		l.replicas[c.Replica.Name] = *c.Replica
		return Result{Version: l.version, Forgot: forgot}
	case Part:
		delete(l.replicas, c.Name)
		return Result{Version: l.version}
	case Restore:
		l.restore(c.State)
		return Result{Version: l.version}
	}
	return Result{Err: api.Fail(api.CodeBad, "this replica knows of no %q", c.Op)}
}

// change is a command on one entry.
func (l *List) change(c Command) Result {
	r, there := l.Get(c.Name)
	if !there {
		r.Version = 0
	}
	if c.IfVersion != nil && *c.IfVersion != r.Version {
		return Result{Version: r.Version, Err: api.Fail(api.CodeConflict, "%s is at version %d", c.Name, r.Version)}
	}
	incarnation := c.Incarnation
	if c.Registration != nil {
		incarnation = c.Registration.Incarnation
	}
	// The last incarnation holds on after its end: one that comes late is not let in.
	if known := l.records[c.Name]; known != nil && incarnation < known.Incarnation && (incarnation != 0 || c.Op == Register) {
		return Result{Version: r.Version, Err: api.Fail(api.CodeOlder, "%s is known with incarnation %d", c.Name, known.Incarnation)}
	}
	if c.Op == Hand {
		l.setHand(c.Name, c.Hand)
	} else if !there && c.Op != Register {
		return Result{Err: api.Fail(api.CodeNone, "%s", c.Name)}
	}
	next := r
	switch c.Op {
	case Register:
		if !there && l.live >= api.MaxEntries {
			return Result{Err: api.Fail(api.CodeFull, "%d entries", l.live)}
		}
		g := c.Registration
		next.Entry = api.Entry{Name: c.Name, Address: g.Address, Zone: g.Zone, Type: g.Type, Group: g.Group, Weight: g.Weight, SinceMs: g.SinceMs}
		next.Incarnation, next.LeaseMs, next.Own = g.Incarnation, g.LeaseMs, api.Ready
	case Drain:
		next.Own = api.Terminating
	case Leave:
		l.leave(l.records[c.Name])
		return Result{Version: 0}
	case Hand:
		if !there {
			return Result{}
		}
	}
	next.Hand = l.hands[c.Name]
	next.Status = status(next)
	if there && next == r {
		return Result{Version: r.Version}
	}
	if !there {
		l.live++
	}
	l.put(next)
	return Result{Version: l.version}
}

func (l *List) setHand(name, hand string) {
	if hand == api.HandNone {
		delete(l.hands, name)
		return
	}
	l.hands[name] = hand
}

// status is what discovery tells of a record: the operator's word, then the server's.
func status(r api.Record) string {
	switch {
	case r.Own == api.Gone || r.Hand == api.HandBan:
		return api.Gone
	case r.Hand == api.HandDrain:
		return api.Terminating
	}
	return r.Own
}

func (l *List) leave(r *api.Record) {
	gone := *r
	gone.Own, gone.Status = api.Gone, api.Gone
	l.live--
	l.put(gone)
}

// put changes an entry at the next version.
func (l *List) put(r api.Record) {
	l.version++
	r.Version = l.version
	l.records[r.Name] = &r
	l.touch(r.Name)
}

// touch notes that what is told of a name changed at the present version.
func (l *List) touch(name string) {
	l.touches = append(l.touches, touch{l.version, name})
	if len(l.touches) > 2*l.history {
		l.compact()
	}
}

// compact forgets changes that were followed by others, and then the oldest beyond the bound, with who is gone by them.
func (l *List) compact() {
	l.touches = slices.DeleteFunc(l.touches, func(t touch) bool { return l.ownAt(t.name) != t.version && l.moved[t.name] != t.version })
	for _, t := range l.touches[:max(0, len(l.touches)-l.history)] {
		l.floor = t.version
		if l.moved[t.name] == t.version {
			delete(l.moved, t.name)
		}
		if r := l.records[t.name]; r != nil && r.Version == t.version && r.Own == api.Gone {
			delete(l.records, t.name)
		}
	}
	l.touches = slices.Clone(l.touches[max(0, len(l.touches)-l.history):])
}

// State is all of the list.
func (l *List) State() State {
	s := State{Version: l.version, Floor: l.floor, Hands: maps.Clone(l.hands), Replicas: maps.Clone(l.replicas), Records: []api.Record{},
		Duties: l.Duties(), Epoch: l.epoch, Region: l.region, Documents: l.ownDocuments(), Others: l.othersState(), Moved: maps.Clone(l.moved)}
	for _, r := range l.records {
		s.Records = append(s.Records, *r)
	}
	slices.SortFunc(s.Records, byName)
	return s
}

// Load is the list that a snapshot holds.
func Load(s State, history int) *List {
	l := New(history)
	l.version, l.floor = s.Version, s.Floor
	maps.Copy(l.hands, s.Hands)
	maps.Copy(l.replicas, s.Replicas)
	l.epoch = s.Epoch
	for _, d := range s.Duties {
		l.duties[d.Name] = d
	}
	for _, r := range s.Records {
		l.records[r.Name] = &r
		if r.Own != api.Gone {
			l.live++
		}
		if r.Version > l.floor {
			l.touches = append(l.touches, touch{r.Version, r.Name})
		}
	}
	l.loadDocuments(s)
	slices.SortFunc(l.touches, func(a, b touch) int { return int(a.version - b.version) })
	return l
}

// restoreStep is how far a restored list's version is put ahead of both it and the present one: a backup can't tell
// how many versions were told after it by a service that is lost.
const restoreStep = 1 << 20

// restore puts the entries of a backup in place of those here. The version goes on from the higher of both, and nobody
// is told of what changed: all get the whole list. Replicas stay who they are.
func (l *List) restore(s *State) {
	version := max(l.version, s.Version, int64(s.Epoch)) + restoreStep // above epochs too, see duty
	was := *l
	next := *s
	next.Version, next.Floor, next.Replicas = version, version, was.replicas
	next.Region, next.Moved = was.region, nil
	*l = *Load(next, l.history)
	l.restoreDocuments(&was)
	l.restoreDuties(&was)
	for name, r := range l.records {
		if r.Own == api.Gone {
			delete(l.records, name)
		}
	}
}
