// Package statestore defines what a sidecar persists: its form, what of it is believed, and for how long.
//
// A state directory holds bans (a KeyValueLog: none is lost once confirmed) and, each in a SnapshotFile, the
// endpoint list, the balancer's snapshot, the settings of its service and the sidecar's own incarnation.
// Nothing in it is needed: without it, or with any part of it lost, a sidecar starts as if it had none.
package statestore

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"mosslead/balancer"
	"mosslead/internal/durable"
)

// How long things stay usable. Times are of the machine's clock, which may have been set meanwhile: what
// seems to come from the future is of unknown age.
const (
	MaxListAge     = 24 * time.Hour   // an older list names machines that are gone
	MaxSnapshotAge = 10 * time.Minute // no load of that age is true
	ClockSlack     = 2 * time.Second  // a time this far in the future counts as now

	crashLoopExits = 3 // unclean exits soon after the start, in a row, that make the state suspect
	// SettledAfter is how long a process lives before its exit says nothing of the state that it began with.
	SettledAfter = 10 * time.Second

	maxFileBytes      = 8 << 20
	maxQuarantined    = 8 // files that are kept aside at most
	banPrefix         = "ban/"
	nameKey           = "sidecar"
	lockTimeout       = time.Second // a process that was killed releases the lock within this
	lockRetryInterval = 5 * time.Millisecond
)

// List is the endpoint list as last received. On disk its first line is a JSON object of all but Listing,
// which follows as it came: it is large, and a start waits for it.
type List struct {
	SavedMs int64  `json:"SavedMs"` // Unix time, milliseconds
	Source  string `json:"Source"`  // address of the discovery that sent it: revisions of another one mean nothing
	Listing []byte `json:"-"`       // in discovery's form
}

// Snapshot is the balancer's snapshot.
type Snapshot struct {
	SavedMs  int64             `json:"SavedMs"`
	Balancer balancer.Snapshot `json:"Learnt"`
}

// Incarnation is one process of the sidecar.
type Incarnation struct {
	Name       string `json:"Name"` // of the sidecar
	StartedMs  int64  `json:"StartedMs"`
	CleanExit  bool   `json:"Clean"`    // it ended in order
	Settled    bool   `json:"Settled"`  // it lived for SettledAfter
	EarlyExits int    `json:"Early"`    // unclean exits soon after the start, in a row, before this one
	SetAside   bool   `json:"SetAside"` // the state was set aside for them, once
}

// Loaded is what was found.
type Loaded struct {
	Name        string            // sidecar that it is of; empty: none has written yet
	Bans        map[string]string // since when, by upstream
	List        *List             // nil: none that is usable
	Snapshot    *Snapshot         // nil: none that is usable
	Settings    *Settings         // nil: none, or not read
	Incarnation Incarnation       // of the process before
	Crashed     bool              // that process ended unclean
	Notes       []string          // what was not used, and why
	Corruptions []durable.Corruption
	SetAside    bool  // the state was set aside for a crash loop
	SuspectList *List // then: the list, for when there is no other

	foreign bool // another sidecar's
}

// Store is a sidecar's state directory. Reading needs no lock; writing does. Not safe for concurrent use but
// for Ban and Unban.
type Store struct {
	dir, name    string
	lock         *durable.DirLock
	bans         *durable.KeyValueLog
	list         *durable.SnapshotFile
	snapshot     *durable.SnapshotFile
	settings     *durable.SnapshotFile
	incarnations *durable.SnapshotFile
	incarnation  Incarnation
}

// New is the state directory of the sidecar of that name. It does not touch the disk.
func New(dir, name string) *Store {
	f := durable.OS(dir)
	return &Store{dir: dir, name: name, list: durable.NewSnapshotFile(f, "list", maxFileBytes), snapshot: durable.NewSnapshotFile(f, "learnt", maxFileBytes),
		settings: durable.NewSnapshotFile(f, "settings", maxFileBytes), incarnations: durable.NewSnapshotFile(f, "life", maxFileBytes)}
}

// Lock makes this process the one that writes. It waits for a moment, as the kernel takes its time with a process that
// was killed; ErrLocked of package durable: another process writes.
func (s *Store) Lock() (err error) {
	for end := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		if s.lock, err = durable.TryLock(s.dir); !errors.Is(err, durable.ErrLocked) || time.Now().After(end) {
			return err
		}
	}
}

// TryLock is Lock without the wait.
func (s *Store) TryLock() (err error) {
	s.lock, err = durable.TryLock(s.dir)
	return err
}

// Load reads everything. The error says that the directory can't be read, or was written by a newer version:
// then nothing of it may be used or written.
func (s *Store) Load(now time.Time) (Loaded, error) {
	k, err := s.LoadFirst(now)
	if err != nil {
		return k, err
	}
	return k, errors.Join(s.LoadSettings(&k), s.LoadSnapshot(&k, now))
}

// LoadSnapshot reads the snapshot into what LoadFirst has returned: a start need not wait for it. It is safe
// beside any other call.
func (s *Store) LoadSnapshot(k *Loaded, now time.Time) error {
	if k.SetAside || k.foreign {
		return nil
	}
	var snapshot Snapshot
	text, err := read(durable.NewSnapshotFile(durable.OS(s.dir), "learnt", maxFileBytes), k)
	if err != nil || !decode(k, text, &snapshot) {
		return err
	}
	if k.fresh("what was learnt", snapshot.SavedMs, MaxSnapshotAge, now) {
		k.Snapshot = &snapshot
	}
	return nil
}

// LoadFirst is Load without the snapshot.
func (s *Store) LoadFirst(now time.Time) (k Loaded, err error) {
	entries, corruptions, err := durable.ReadKeyValueLog(durable.OS(s.dir), "bans")
	k.Corruptions = corruptions
	if err != nil {
		return k, err
	}
	k.Name = entries[nameKey]
	k.Bans = map[string]string{}
	for key, since := range entries {
		if id, ok := strings.CutPrefix(key, banPrefix); ok {
			k.Bans[id] = since
		}
	}
	text, err := read(s.incarnations, &k)
	if err != nil {
		return k, err
	}
	decode(&k, text, &k.Incarnation)
	if k.Name == "" {
		k.Name = k.Incarnation.Name
	}
	if text, err = read(s.list, &k); err != nil {
		return k, err
	}
	var list List
	head, listing, _ := bytes.Cut(text, []byte("\n"))
	if decode(&k, head, &list) && k.fresh("list", list.SavedMs, MaxListAge, now) {
		list.Listing = listing
		k.List = &list
	}
	k.Crashed = k.Incarnation.StartedMs > 0 && !k.Incarnation.CleanExit
	if s.name != "" && k.Name != "" && k.Name != s.name {
		k.Notes = append(k.Notes, fmt.Sprintf("it is the state of %q: nothing of it is used", k.Name))
		k.Bans, k.List, k.Incarnation, k.Crashed, k.foreign = map[string]string{}, nil, Incarnation{}, false, true
	}
	return k, nil
}

// read is the value of a file; nil: there is none.
func read(b *durable.SnapshotFile, k *Loaded) ([]byte, error) {
	text, corruptions, err := b.Read()
	k.Corruptions = append(k.Corruptions, corruptions...)
	return text, err
}

// decode decodes the value of a file; false: there is none, or it is of no known form.
func decode(k *Loaded, text []byte, into any) bool {
	if text == nil {
		return false
	}
	if err := json.Unmarshal(text, into); err != nil { // whole, and of no form that is known: a mistake of some version's
		k.Notes = append(k.Notes, fmt.Sprintf("not understood: %v", err))
		return false
	}
	return true
}

// fresh tells whether what was saved at a time is still usable.
func (k *Loaded) fresh(what string, savedMs int64, limit time.Duration, now time.Time) bool {
	age := now.Sub(time.UnixMilli(savedMs))
	switch {
	case age < -ClockSlack && limit < MaxListAge:
		k.Notes = append(k.Notes, fmt.Sprintf("%s: written %v in the future, so of unknown age: not used", what, -age.Round(time.Second)))
		return false
	case age > limit:
		k.Notes = append(k.Notes, fmt.Sprintf("%s: %v old: not used", what, age.Round(time.Second)))
		return false
	}
	return true
}

// Begin records the start of a process before anything that was read is used, and returns what may be used:
// after a crash loop the list and the snapshot are set aside, once. The lock must be held.
func (s *Store) Begin(k Loaded, now time.Time) Loaded {
	s.incarnation = Incarnation{Name: s.name, StartedMs: now.UnixMilli(), SetAside: k.Incarnation.SetAside}
	if k.Crashed && !k.Incarnation.Settled {
		s.incarnation.EarlyExits = k.Incarnation.EarlyExits + 1
	} else {
		s.incarnation.SetAside = false
	}
	var aside []string
	if s.incarnation.EarlyExits >= crashLoopExits && !s.incarnation.SetAside {
		s.incarnation.SetAside = true
		what := "list and learning"
		if k.Settings != nil {
			what = "list, learning and settings"
		}
		k.List, k.Snapshot, k.Settings, k.SetAside, k.SuspectList = nil, nil, nil, true, k.List
		k.Notes = append(k.Notes, fmt.Sprintf("%d processes in a row ended soon after their start: %s are set aside, bans stay", s.incarnation.EarlyExits, what))
		aside = []string{"learnt.0", "learnt.1", "settings.0", "settings.1"} // the list stays: see Suspect
	}
	if k.Name != "" && k.Name != s.name {
		names, err := durable.OS(s.dir).List()
		if err != nil {
			k.Notes = append(k.Notes, err.Error())
		}
		aside = slices.DeleteFunc(names, func(n string) bool { return n == "LOCK" })
	}
	for _, d := range k.Corruptions {
		if !d.Torn && !slices.Contains(aside, d.File) && !strings.HasPrefix(d.File, "bans.") {
			aside = append(aside, d.File) // of a table the whole part is still needed, see Open
		}
	}
	if err := durable.Quarantine(s.dir, aside, maxQuarantined, now); err != nil {
		k.Notes = append(k.Notes, err.Error())
	}
	if err := s.writeIncarnation(); err != nil {
		k.Notes = append(k.Notes, err.Error())
	}
	return k
}

// writeIncarnation does not wait for the disk: the incarnation is needed after the end of a process, not of
// the machine.
func (s *Store) writeIncarnation() error {
	text, err := json.Marshal(s.incarnation)
	if err != nil {
		return err
	}
	return s.incarnations.WriteUnsynced(text)
}

// Open opens the bans for writing, and returns those in force. The lock must be held.
func (s *Store) Open(now time.Time) (map[string]string, error) {
	table, corruptions, err := durable.OpenKeyValueLog(durable.OS(s.dir), "bans")
	if err != nil {
		return nil, err
	}
	s.bans = table
	bans := map[string]string{}
	for key, since := range table.Entries() {
		if id, ok := strings.CutPrefix(key, banPrefix); ok {
			bans[id] = since
		}
	}
	if err := table.Set(nameKey, s.name); err != nil { // writes all that is whole anew
		return bans, err
	}
	var aside []string
	for _, d := range corruptions {
		if !d.Torn && !slices.Contains(aside, d.File) {
			aside = append(aside, d.File)
		}
	}
	return bans, durable.Quarantine(s.dir, aside, maxQuarantined, now)
}

// Ban stores a ban. Once it has returned nil, the ban is durable.
func (s *Store) Ban(id string, now time.Time) error {
	return s.bans.Set(banPrefix+id, now.UTC().Format(time.RFC3339))
}

// Unban removes a ban, as durably as Ban.
func (s *Store) Unban(id string) error { return s.bans.Delete(banPrefix + id) }

// WriteList stores a list in discovery's form.
func (s *Store) WriteList(source string, listing []byte, now time.Time) error {
	head, err := json.Marshal(List{SavedMs: now.UnixMilli(), Source: source})
	if err != nil {
		return fmt.Errorf("wording the list: %w", err)
	}
	return s.list.Write(slices.Concat(head, []byte("\n"), listing))
}

// WriteSnapshot stores the balancer's snapshot.
func (s *Store) WriteSnapshot(l balancer.Snapshot, now time.Time) error {
	text, err := json.Marshal(Snapshot{now.UnixMilli(), l})
	if err != nil {
		return fmt.Errorf("wording what was learnt: %w", err)
	}
	return s.snapshot.Write(text)
}

// Settled records that this process has lived for SettledAfter.
func (s *Store) Settled() error {
	s.incarnation.Settled, s.incarnation.EarlyExits, s.incarnation.SetAside = true, 0, false
	return s.writeIncarnation()
}

// Holds tells whether this process still has the directory: not after that was deleted or restored.
func (s *Store) Holds() bool { return s.lock != nil && s.lock.Holds(s.dir) }

// Release ends the writing, clean or not, and lets the next process write. It may be called again.
func (s *Store) Release(clean bool) (err error) {
	if s.bans != nil {
		err = s.bans.Close()
	}
	if s.lock == nil {
		return err
	}
	if clean && s.Holds() {
		s.incarnation.CleanExit = true
		err = errors.Join(err, s.writeIncarnation())
	}
	err = errors.Join(err, s.lock.Release())
	s.lock = nil
	return err
}

// Summary describes a state directory for people and programs.
type Summary struct {
	Dir               string            `json:"dir"`
	Sidecar           string            `json:"sidecar"`
	Bans              map[string]string `json:"bans"`
	ListAgeS          float64           `json:"list_age_s,omitempty"`
	ListSource        string            `json:"list_source,omitempty"`
	ListIndex         int64             `json:"list_index,omitempty"`
	Upstreams         int               `json:"upstreams"`
	SnapshotAgeS      float64           `json:"learnt_age_s,omitempty"`
	SnapshotEndpoints int               `json:"learnt_of"`
	Ejected           []string          `json:"ejected,omitempty"`
	Settings          *SettingsSummary  `json:"settings,omitempty"`
	Started           string            `json:"started,omitempty"`
	Ended             string            `json:"ended"`
	EarlyExits        int               `json:"early_ends"`
	Quarantined       []string          `json:"quarantined,omitempty"`
	Notes             []string          `json:"notes,omitempty"`
	Corruptions       []string          `json:"damages,omitempty"`
}

// Summarize reads a directory beside its writer, and writes nothing.
func Summarize(dir string, now time.Time) (Summary, []durable.Corruption, error) {
	s := Summary{Dir: filepath.Clean(dir), Ended: "unclean, or it runs"}
	k, err := New(dir, "").Load(now)
	s.Sidecar, s.Bans, s.Notes, s.EarlyExits = k.Name, k.Bans, k.Notes, k.Incarnation.EarlyExits
	for _, d := range k.Corruptions {
		s.Corruptions = append(s.Corruptions, d.String())
	}
	if err != nil {
		return s, k.Corruptions, err
	}
	if k.Incarnation.CleanExit {
		s.Ended = "clean"
	}
	if k.Incarnation.StartedMs > 0 {
		s.Started = time.UnixMilli(k.Incarnation.StartedMs).UTC().Format(time.RFC3339)
	}
	if k.List != nil {
		var l struct {
			Index     int64
			Endpoints []struct{}
		}
		if err := json.Unmarshal(k.List.Listing, &l); err != nil {
			s.Notes = append(s.Notes, fmt.Sprintf("list: %v", err))
		}
		s.ListSource, s.ListIndex, s.Upstreams = k.List.Source, l.Index, len(l.Endpoints)
		s.ListAgeS = now.Sub(time.UnixMilli(k.List.SavedMs)).Seconds()
	}
	s.Settings = k.settingsSummary(now)
	if k.Snapshot != nil {
		s.SnapshotAgeS = now.Sub(time.UnixMilli(k.Snapshot.SavedMs)).Seconds()
		s.SnapshotEndpoints = len(k.Snapshot.Balancer.Endpoints)
		for _, id := range slices.Sorted(maps.Keys(k.Snapshot.Balancer.Endpoints)) {
			if k.Snapshot.Balancer.Endpoints[id].EjectedFor > 0 {
				s.Ejected = append(s.Ejected, id)
			}
		}
	}
	s.Quarantined, err = durable.Quarantined(dir)
	return s, k.Corruptions, err
}

// Repair keeps what is complete and quarantines the rest. It takes the lock, so that no sidecar writes
// meanwhile, and returns what it dropped.
func Repair(dir string, now time.Time) (dropped []durable.Corruption, err error) {
	s := New(dir, "")
	if err := s.TryLock(); err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, s.Release(false)) }()
	k, err := s.Load(now)
	if err != nil {
		return nil, err
	}
	if len(k.Corruptions) == 0 {
		return nil, nil
	}
	s.name = k.Name
	var aside []string
	for _, d := range k.Corruptions {
		if !strings.HasPrefix(d.File, "bans.") {
			aside = append(aside, d.File)
		}
	}
	if err := durable.Quarantine(dir, aside, maxQuarantined, now); err != nil {
		return nil, err
	}
	_, err = s.Open(now)
	return k.Corruptions, err
}
