// Package statestore defines the state that a sidecar persists: its format, which parts a restarted process uses, and for how
// long they stay usable.
//
// A state directory holds bans (in a KeyValueLog: none is lost once confirmed) and, each in a SnapshotFile, the endpoint list,
// the balancer's snapshot, the settings of the sidecar's service and the sidecar's incarnation. A sidecar can start if any
// part is missing or lost.
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

// Limits of age. Times are those of the machine's clock, which may have been set in the meantime: a value with a time in the
// future is of unknown age.
const (
	MaxListAge     = 24 * time.Hour   // an older list names machines that no longer exist
	MaxSnapshotAge = 10 * time.Minute // older load measurements no longer hold
	ClockSlack     = 2 * time.Second  // a time up to this far in the future counts as now

	crashLoopExits = 3 // consecutive unclean exits soon after the start that make the state suspect
	// SettledAfter is the time after which the exit of a process is no longer attributed to the state that it started with.
	SettledAfter = 10 * time.Second

	maxFileBytes      = 8 << 20
	maxQuarantined    = 8 // maximum number of files in quarantine
	banPrefix         = "ban/"
	nameKey           = "sidecar"
	lockTimeout       = time.Second // a killed process releases the lock within this time
	lockRetryInterval = 5 * time.Millisecond
)

// List is the endpoint list as last received. On disk the first line is a JSON object with all fields but Listing. Listing
// follows unencoded: it is large, and decoding it as JSON would delay the start.
type List struct {
	SavedMs int64  `json:"SavedMs"` // Unix time, milliseconds
	Source  string `json:"Source"`  // address of the discovery that sent the list; revisions of two discoveries can't be compared
	Listing []byte `json:"-"`       // in discovery's format
}

// Snapshot is the balancer's snapshot with the time at which it was saved.
type Snapshot struct {
	SavedMs  int64             `json:"SavedMs"`
	Balancer balancer.Snapshot `json:"Learnt"`
}

// Incarnation describes one process of the sidecar.
type Incarnation struct {
	Name       string `json:"Name"` // name of the sidecar
	StartedMs  int64  `json:"StartedMs"`
	CleanExit  bool   `json:"Clean"`    // the process exited cleanly
	Settled    bool   `json:"Settled"`  // the process ran for at least SettledAfter
	EarlyExits int    `json:"Early"`    // consecutive unclean exits soon after the start, before this process
	SetAside   bool   `json:"SetAside"` // the state was set aside because of the early exits; it happens once per crash loop
}

// Loaded is the state that was read from a directory.
type Loaded struct {
	Name        string            // name of the sidecar that wrote it; empty if none has
	Bans        map[string]string // time of the ban (RFC 3339), by upstream
	List        *List             // nil if there is no usable one
	Snapshot    *Snapshot         // nil if there is no usable one
	Settings    *Settings         // nil if there are none, or LoadSettings was not called
	Incarnation Incarnation       // of the previous process
	Crashed     bool              // the previous process did not exit cleanly
	Notes       []string          // the parts that were not used, each with the reason, and errors
	Corruptions []durable.Corruption
	SetAside    bool  // the state was set aside because of a crash loop
	SuspectList *List // the list that was set aside, for use if there is no other

	foreign bool // the state belongs to another sidecar
}

// Store is a sidecar's state directory. Reading needs no lock; writing does. Only Ban, Unban and LoadSnapshot are safe for
// concurrent use.
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

// New returns the state directory dir of the sidecar of that name. It does not access the disk.
func New(dir, name string) *Store {
	f := durable.OS(dir)
	return &Store{dir: dir, name: name, list: durable.NewSnapshotFile(f, "list", maxFileBytes), snapshot: durable.NewSnapshotFile(f, "learnt", maxFileBytes),
		settings: durable.NewSnapshotFile(f, "settings", maxFileBytes), incarnations: durable.NewSnapshotFile(f, "life", maxFileBytes)}
}

// Lock makes this process the only writer. It retries for lockTimeout, since the kernel does not release the lock of a killed
// process at once. It fails with durable.ErrLocked if another process holds the lock.
func (s *Store) Lock() (err error) {
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		if s.lock, err = durable.TryLock(s.dir); !errors.Is(err, durable.ErrLocked) || time.Now().After(deadline) {
			return err
		}
	}
}

// TryLock is Lock without retries.
func (s *Store) TryLock() (err error) {
	s.lock, err = durable.TryLock(s.dir)
	return err
}

// Load reads all of the state. It fails if the directory can't be read, or was written by a newer version; then no part of it
// may be used or written.
func (s *Store) Load(now time.Time) (Loaded, error) {
	l, err := s.LoadFirst(now)
	if err != nil {
		return l, err
	}
	return l, errors.Join(s.LoadSettings(&l), s.LoadSnapshot(&l, now))
}

// LoadSnapshot reads the snapshot into the result of LoadFirst. It is separate so that a start need not wait for it, and is
// safe to call concurrently with any other method.
func (s *Store) LoadSnapshot(l *Loaded, now time.Time) error {
	if l.SetAside || l.foreign {
		return nil
	}
	var snapshot Snapshot
	text, err := read(durable.NewSnapshotFile(durable.OS(s.dir), "learnt", maxFileBytes), l)
	if err != nil || !decode(l, text, &snapshot) {
		return err
	}
	if l.fresh("what was learnt", snapshot.SavedMs, MaxSnapshotAge, now) {
		l.Snapshot = &snapshot
	}
	return nil
}

// LoadFirst is Load without the snapshot and the settings.
func (s *Store) LoadFirst(now time.Time) (l Loaded, err error) {
	entries, corruptions, err := durable.ReadKeyValueLog(durable.OS(s.dir), "bans")
	l.Corruptions = corruptions
	if err != nil {
		return l, err
	}
	l.Name = entries[nameKey]
	l.Bans = map[string]string{}
	for key, since := range entries {
		if id, ok := strings.CutPrefix(key, banPrefix); ok {
			l.Bans[id] = since
		}
	}
	text, err := read(s.incarnations, &l)
	if err != nil {
		return l, err
	}
	decode(&l, text, &l.Incarnation)
	if l.Name == "" {
		l.Name = l.Incarnation.Name
	}
	if text, err = read(s.list, &l); err != nil {
		return l, err
	}
	var list List
	header, listing, _ := bytes.Cut(text, []byte("\n"))
	if decode(&l, header, &list) && l.fresh("list", list.SavedMs, MaxListAge, now) {
		list.Listing = listing
		l.List = &list
	}
	l.Crashed = l.Incarnation.StartedMs > 0 && !l.Incarnation.CleanExit
	if s.name != "" && l.Name != "" && l.Name != s.name {
		l.Notes = append(l.Notes, fmt.Sprintf("the directory holds the state of sidecar %q: none of it is used", l.Name))
		l.Bans, l.List, l.Incarnation, l.Crashed, l.foreign = map[string]string{}, nil, Incarnation{}, false, true
	}
	return l, nil
}

// read returns the value of a file, or nil if there is none, and records the file's corruptions.
func read(f *durable.SnapshotFile, l *Loaded) ([]byte, error) {
	text, corruptions, err := f.Read()
	l.Corruptions = append(l.Corruptions, corruptions...)
	return text, err
}

// decode decodes the value of a file, and reports whether there was one that could be decoded.
func decode(l *Loaded, text []byte, into any) bool {
	if text == nil {
		return false
	}
	if err := json.Unmarshal(text, into); err != nil { // the checksum is right, so the malformed data was written like this
		l.Notes = append(l.Notes, fmt.Sprintf("a stored value can't be decoded: %v", err))
		return false
	}
	return true
}

// fresh reports whether a value saved at savedMs is still usable. A value saved more than ClockSlack in the future is not
// usable, unless it is a list; a list is recognized by its maxAge, MaxListAge.
func (l *Loaded) fresh(name string, savedMs int64, maxAge time.Duration, now time.Time) bool {
	age := now.Sub(time.UnixMilli(savedMs))
	switch {
	case age < -ClockSlack && maxAge < MaxListAge:
		l.Notes = append(l.Notes, fmt.Sprintf("%s: written %v in the future, so of unknown age: not used", name, -age.Round(time.Second)))
		return false
	case age > maxAge:
		l.Notes = append(l.Notes, fmt.Sprintf("%s: %v old: not used", name, age.Round(time.Second)))
		return false
	}
	return true
}

// Begin records the start of a process, and returns the state that it may use: after a crash loop the list, the snapshot and
// the settings are set aside, once. It must be called before the loaded state is used, and with the lock held.
func (s *Store) Begin(l Loaded, now time.Time) Loaded {
	s.incarnation = Incarnation{Name: s.name, StartedMs: now.UnixMilli(), SetAside: l.Incarnation.SetAside}
	if l.Crashed && !l.Incarnation.Settled {
		s.incarnation.EarlyExits = l.Incarnation.EarlyExits + 1
	} else {
		s.incarnation.SetAside = false
	}
	var files []string
	if s.incarnation.EarlyExits >= crashLoopExits && !s.incarnation.SetAside {
		s.incarnation.SetAside = true
		parts := "list and learning"
		if l.Settings != nil {
			parts = "list, learning and settings"
		}
		l.List, l.Snapshot, l.Settings, l.SetAside, l.SuspectList = nil, nil, nil, true, l.List
		l.Notes = append(l.Notes, fmt.Sprintf("%d processes in a row ended soon after their start: %s are set aside, bans stay", s.incarnation.EarlyExits, parts))
		files = []string{"learnt.0", "learnt.1", "settings.0", "settings.1"} // the list's files stay, for SuspectList
	}
	if l.Name != "" && l.Name != s.name {
		names, err := durable.OS(s.dir).List()
		if err != nil {
			l.Notes = append(l.Notes, err.Error())
		}
		files = slices.DeleteFunc(names, func(n string) bool { return n == "LOCK" })
	}
	for _, corruption := range l.Corruptions {
		if !corruption.Torn && !slices.Contains(files, corruption.File) && !strings.HasPrefix(corruption.File, "bans.") {
			files = append(files, corruption.File) // damaged files of bans stay until Open has copied their intact records
		}
	}
	if err := durable.Quarantine(s.dir, files, maxQuarantined, now); err != nil {
		l.Notes = append(l.Notes, err.Error())
	}
	if err := s.writeIncarnation(); err != nil {
		l.Notes = append(l.Notes, err.Error())
	}
	return l
}

// writeIncarnation stores the incarnation without waiting for the disk: it matters after a crash of the process, not of the
// machine.
func (s *Store) writeIncarnation() error {
	text, err := json.Marshal(s.incarnation)
	if err != nil {
		return err
	}
	return s.incarnations.WriteUnsynced(text)
}

// Open opens the bans for writing, and returns those in force. The lock must be held.
func (s *Store) Open(now time.Time) (map[string]string, error) {
	log, corruptions, err := durable.OpenKeyValueLog(durable.OS(s.dir), "bans")
	if err != nil {
		return nil, err
	}
	s.bans = log
	bans := map[string]string{}
	for key, since := range log.Entries() {
		if id, ok := strings.CutPrefix(key, banPrefix); ok {
			bans[id] = since
		}
	}
	if err := log.Set(nameKey, s.name); err != nil { // writes all intact entries to a new segment
		return bans, err
	}
	var files []string
	for _, corruption := range corruptions {
		if !corruption.Torn && !slices.Contains(files, corruption.File) {
			files = append(files, corruption.File)
		}
	}
	return bans, durable.Quarantine(s.dir, files, maxQuarantined, now)
}

// Ban stores a ban. Once it has returned nil, the ban is durable.
func (s *Store) Ban(id string, now time.Time) error {
	return s.bans.Set(banPrefix+id, now.UTC().Format(time.RFC3339))
}

// Unban removes a ban. Once it has returned nil, the removal is durable.
func (s *Store) Unban(id string) error { return s.bans.Delete(banPrefix + id) }

// WriteList stores a list in discovery's format.
func (s *Store) WriteList(source string, listing []byte, now time.Time) error {
	header, err := json.Marshal(List{SavedMs: now.UnixMilli(), Source: source})
	if err != nil {
		return fmt.Errorf("encoding the list: %w", err)
	}
	return s.list.Write(slices.Concat(header, []byte("\n"), listing))
}

// WriteSnapshot stores the balancer's snapshot.
func (s *Store) WriteSnapshot(snapshot balancer.Snapshot, now time.Time) error {
	text, err := json.Marshal(Snapshot{now.UnixMilli(), snapshot})
	if err != nil {
		return fmt.Errorf("encoding what was learnt: %w", err)
	}
	return s.snapshot.Write(text)
}

// Settled records that this process has run for SettledAfter.
func (s *Store) Settled() error {
	s.incarnation.Settled, s.incarnation.EarlyExits, s.incarnation.SetAside = true, 0, false
	return s.writeIncarnation()
}

// Holds reports whether this process still holds the lock of the directory. It returns false once the directory has been
// deleted or replaced by a copy.
func (s *Store) Holds() bool { return s.lock != nil && s.lock.Holds(s.dir) }

// Release closes the store and releases the lock. With clean it first records a clean exit. It may be called more than once.
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

// Summarize reads a directory without taking the lock, and writes nothing.
func Summarize(dir string, now time.Time) (Summary, []durable.Corruption, error) {
	s := Summary{Dir: filepath.Clean(dir), Ended: "unclean, or it runs"}
	l, err := New(dir, "").Load(now)
	s.Sidecar, s.Bans, s.Notes, s.EarlyExits = l.Name, l.Bans, l.Notes, l.Incarnation.EarlyExits
	for _, corruption := range l.Corruptions {
		s.Corruptions = append(s.Corruptions, corruption.String())
	}
	if err != nil {
		return s, l.Corruptions, err
	}
	if l.Incarnation.CleanExit {
		s.Ended = "clean"
	}
	if l.Incarnation.StartedMs > 0 {
		s.Started = time.UnixMilli(l.Incarnation.StartedMs).UTC().Format(time.RFC3339)
	}
	if l.List != nil {
		var list struct {
			Index     int64
			Endpoints []struct{}
		}
		if err := json.Unmarshal(l.List.Listing, &list); err != nil {
			s.Notes = append(s.Notes, fmt.Sprintf("list: %v", err))
		}
		s.ListSource, s.ListIndex, s.Upstreams = l.List.Source, list.Index, len(list.Endpoints)
		s.ListAgeS = now.Sub(time.UnixMilli(l.List.SavedMs)).Seconds()
	}
	s.Settings = l.settingsSummary(now)
	if l.Snapshot != nil {
		s.SnapshotAgeS = now.Sub(time.UnixMilli(l.Snapshot.SavedMs)).Seconds()
		s.SnapshotEndpoints = len(l.Snapshot.Balancer.Endpoints)
		for _, id := range slices.Sorted(maps.Keys(l.Snapshot.Balancer.Endpoints)) {
			if l.Snapshot.Balancer.Endpoints[id].EjectedFor > 0 {
				s.Ejected = append(s.Ejected, id)
			}
		}
	}
	s.Quarantined, err = durable.Quarantined(dir)
	return s, l.Corruptions, err
}

// Repair keeps the intact parts of a directory, quarantines the damaged files, and returns the damage. It takes the lock, so
// that no sidecar writes in the meantime.
func Repair(dir string, now time.Time) (corruptions []durable.Corruption, err error) {
	s := New(dir, "")
	if err := s.TryLock(); err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, s.Release(false)) }()
	l, err := s.Load(now)
	if err != nil {
		return nil, err
	}
	if len(l.Corruptions) == 0 {
		return nil, nil
	}
	s.name = l.Name
	var files []string
	for _, corruption := range l.Corruptions {
		if !strings.HasPrefix(corruption.File, "bans.") {
			files = append(files, corruption.File)
		}
	}
	if err := durable.Quarantine(dir, files, maxQuarantined, now); err != nil {
		return nil, err
	}
	_, err = s.Open(now)
	return l.Corruptions, err
}
