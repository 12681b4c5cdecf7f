// Package statestore owns what a sidecar keeps on disk: its form, what of it is believed, and for how long.
//
// A state directory holds bans (a table: none is lost once confirmed), the list, what was learnt, the settings of its service, and the sidecar's own
// life (boxes: the newest whole value). Nothing in it is needed: without it, or with any part of it lost, a sidecar
// starts as if it had none.
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

// How long things are worth something. Times are of the machine's clock, which may have been set meanwhile: what seems
// to come from the future is of unknown age.
const (
	ListWorth   = 24 * time.Hour   // a list this old names machines that are gone
	LearntWorth = 10 * time.Minute // of loads, nothing this old is true
	ClockSlack  = 2 * time.Second  // so far in the future is taken for now

	earlyEnds = 3 // unclean ends soon after the start, in a row, that make the state suspect
	// SettledAfter is how long a process lives before its end says nothing of what it began with.
	SettledAfter = 10 * time.Second

	boxMost      = 8 << 20
	quarantined  = 8 // files kept aside at most
	banPrefix    = "ban/"
	nameKey      = "sidecar"
	lockPatience = time.Second // a process that was killed lets go of the lock within this
	lockLook     = 5 * time.Millisecond
)

// List is the list of upstreams as it was last told. On disk its first line is a JSON object of all but the listing, which
// follows as it came: it is large, and a start waits for it.
type List struct {
	SavedMs int64  `json:"SavedMs"` // Unix time
	Source  string `json:"Source"`  // the address of the discovery that told it: versions of another one mean nothing
	Listing []byte `json:"-"`       // in discovery's form
}

// Learnt is what the decisions had learnt.
type Learnt struct {
	SavedMs int64             `json:"SavedMs"`
	Learnt  balancer.Snapshot `json:"Learnt"`
}

// Life is one process of the sidecar.
type Life struct {
	Name      string `json:"Name"` // of the sidecar
	StartedMs int64  `json:"StartedMs"`
	Clean     bool   `json:"Clean"`    // it ended in order
	Settled   bool   `json:"Settled"`  // it lived for SettledAfter
	Early     int    `json:"Early"`    // unclean ends soon after the start, in a row, before this one
	SetAside  bool   `json:"SetAside"` // the state was set aside for them, once
}

// Kept is what was found.
type Kept struct {
	Name     string            // whose it is; empty: nobody has written yet
	Bans     map[string]string // since when, by upstream
	List     *List             // nil: none that is worth anything
	Learnt   *Learnt           // the same
	Settings *Settings         // nil: none, or not read
	Life     Life              // of the process before
	Crashed  bool              // that process ended unclean
	Notes    []string          // what was not used, and why
	Damages  []durable.Damage
	SetAside bool  // for a crash loop
	Suspect  *List // then: the list, for where there is no other

	foreign bool // another sidecar's
}

// Store is a sidecar's state directory. Reading needs no lock; writing does. Not safe for concurrent use but for Ban and
// Lift.
type Store struct {
	dir, name string
	lock      *durable.Lock
	bans      *durable.Table
	list      *durable.Box
	learnt    *durable.Box
	settings  *durable.Box
	lives     *durable.Box
	life      Life
}

// New is the state directory dir of the sidecar of that name. It asks nothing of the disk yet.
func New(dir, name string) *Store {
	f := durable.OS(dir)
	return &Store{dir: dir, name: name, list: durable.NewBox(f, "list", boxMost), learnt: durable.NewBox(f, "learnt", boxMost),
		settings: durable.NewBox(f, "settings", boxMost), lives: durable.NewBox(f, "life", boxMost)}
}

// Lock makes this process the one that writes. It waits for a moment, as the kernel takes its time with a process that
// was killed; ErrLocked of package durable: another process writes.
func (s *Store) Lock() (err error) {
	for end := time.Now().Add(lockPatience); ; time.Sleep(lockLook) {
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

// Load reads what is kept, and changes nothing. An error means that the directory can't be read, or was written by a
// newer version: then nothing of it is to be used or written.
func (s *Store) Load(now time.Time) (Kept, error) {
	k, err := s.LoadFirst(now)
	if err != nil {
		return k, err
	}
	return k, errors.Join(s.LoadSettings(&k), s.LoadLearnt(&k, now))
}

// LoadLearnt reads what was learnt into what LoadFirst has given: a start need not wait for it. It is safe beside any
// other call.
func (s *Store) LoadLearnt(k *Kept, now time.Time) error {
	if k.SetAside || k.foreign {
		return nil
	}
	var learnt Learnt
	text, err := read(durable.NewBox(durable.OS(s.dir), "learnt", boxMost), k)
	if err != nil || !understood(k, text, &learnt) {
		return err
	}
	if k.worth("what was learnt", learnt.SavedMs, LearntWorth, now) {
		k.Learnt = &learnt
	}
	return nil
}

// LoadFirst is Load without what was learnt.
func (s *Store) LoadFirst(now time.Time) (k Kept, err error) {
	entries, damages, err := durable.ReadTable(durable.OS(s.dir), "bans")
	k.Damages = damages
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
	text, err := read(s.lives, &k)
	if err != nil {
		return k, err
	}
	understood(&k, text, &k.Life)
	if k.Name == "" {
		k.Name = k.Life.Name
	}
	if text, err = read(s.list, &k); err != nil {
		return k, err
	}
	var list List
	head, listing, _ := bytes.Cut(text, []byte("\n"))
	if understood(&k, head, &list) && k.worth("list", list.SavedMs, ListWorth, now) {
		list.Listing = listing
		k.List = &list
	}
	k.Crashed = k.Life.StartedMs > 0 && !k.Life.Clean
	if s.name != "" && k.Name != "" && k.Name != s.name {
		k.Notes = append(k.Notes, fmt.Sprintf("it is the state of %q: nothing of it is used", k.Name))
		k.Bans, k.List, k.Life, k.Crashed, k.foreign = map[string]string{}, nil, Life{}, false, true
	}
	return k, nil
}

// read gives what a box holds; nil: nothing.
func read(b *durable.Box, k *Kept) ([]byte, error) {
	text, damages, err := b.Read()
	k.Damages = append(k.Damages, damages...)
	return text, err
}

// understood takes in what a box held; false: nothing that can be used.
func understood(k *Kept, text []byte, into any) bool {
	if text == nil {
		return false
	}
	if err := json.Unmarshal(text, into); err != nil { // whole, and of no form that is known: a mistake of some version's
		k.Notes = append(k.Notes, fmt.Sprintf("not understood: %v", err))
		return false
	}
	return true
}

// worth tells whether what was saved then is still worth something.
func (k *Kept) worth(what string, savedMs int64, most time.Duration, now time.Time) bool {
	age := now.Sub(time.UnixMilli(savedMs))
	switch {
	case age < -ClockSlack && most < ListWorth:
		k.Notes = append(k.Notes, fmt.Sprintf("%s: written %v in the future, so of unknown age: not used", what, -age.Round(time.Second)))
		return false
	case age > most:
		k.Notes = append(k.Notes, fmt.Sprintf("%s: %v old: not used", what, age.Round(time.Second)))
		return false
	}
	return true
}

// Begin marks the start of a process, before anything that was read is used, and gives what may be used: after a crash
// loop the list and what was learnt are set aside, once. The lock must be held.
func (s *Store) Begin(k Kept, now time.Time) Kept {
	s.life = Life{Name: s.name, StartedMs: now.UnixMilli(), SetAside: k.Life.SetAside}
	if k.Crashed && !k.Life.Settled {
		s.life.Early = k.Life.Early + 1
	} else {
		s.life.SetAside = false
	}
	var aside []string
	if s.life.Early >= earlyEnds && !s.life.SetAside {
		s.life.SetAside = true
		what := "list and learning"
		if k.Settings != nil {
			what = "list, learning and settings"
		}
		k.List, k.Learnt, k.Settings, k.SetAside, k.Suspect = nil, nil, nil, true, k.List
		k.Notes = append(k.Notes, fmt.Sprintf("%d processes in a row ended soon after their start: %s are set aside, bans stay", s.life.Early, what))
		aside = []string{"learnt.0", "learnt.1", "settings.0", "settings.1"} // the list stays: see Suspect
	}
	if k.Name != "" && k.Name != s.name {
		names, err := durable.OS(s.dir).List()
		if err != nil {
			k.Notes = append(k.Notes, err.Error())
		}
		aside = slices.DeleteFunc(names, func(n string) bool { return n == "LOCK" })
	}
	for _, d := range k.Damages {
		if !d.Torn && !slices.Contains(aside, d.File) && !strings.HasPrefix(d.File, "bans.") {
			aside = append(aside, d.File) // of a table the whole part is still needed, see Open
		}
	}
	if err := durable.Quarantine(s.dir, aside, quarantined, now); err != nil {
		k.Notes = append(k.Notes, err.Error())
	}
	if err := s.writeLife(); err != nil {
		k.Notes = append(k.Notes, err.Error())
	}
	return k
}

// writeLife does not wait for the disk: what it tells is needed after the end of a process, not of the machine.
func (s *Store) writeLife() error {
	text, err := json.Marshal(s.life)
	if err != nil {
		return err
	}
	return s.lives.WriteSoft(text)
}

// Open opens the bans for writing and gives those that hold. The lock must be held.
func (s *Store) Open(now time.Time) (map[string]string, error) {
	table, damages, err := durable.OpenTable(durable.OS(s.dir), "bans")
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
	for _, d := range damages {
		if !d.Torn && !slices.Contains(aside, d.File) {
			aside = append(aside, d.File)
		}
	}
	return bans, durable.Quarantine(s.dir, aside, quarantined, now)
}

// Ban keeps a ban. Once it has returned nil, that is safe.
func (s *Store) Ban(id string, now time.Time) error {
	return s.bans.Set(banPrefix+id, now.UTC().Format(time.RFC3339))
}

// Lift takes a ban back, as Ban.
func (s *Store) Lift(id string) error { return s.bans.Delete(banPrefix + id) }

// WriteList keeps a list in discovery's form.
func (s *Store) WriteList(source string, listing []byte, now time.Time) error {
	head, err := json.Marshal(List{SavedMs: now.UnixMilli(), Source: source})
	if err != nil {
		return fmt.Errorf("wording the list: %w", err)
	}
	return s.list.Write(slices.Concat(head, []byte("\n"), listing))
}

// WriteLearnt keeps what was learnt.
func (s *Store) WriteLearnt(l balancer.Snapshot, now time.Time) error {
	text, err := json.Marshal(Learnt{now.UnixMilli(), l})
	if err != nil {
		return fmt.Errorf("wording what was learnt: %w", err)
	}
	return s.learnt.Write(text)
}

// Settled marks that this process has lived for long enough.
func (s *Store) Settled() error {
	s.life.Settled, s.life.Early, s.life.SetAside = true, 0, false
	return s.writeLife()
}

// Holds tells whether this process still has the directory: not after it was deleted or put back.
func (s *Store) Holds() bool { return s.lock != nil && s.lock.Holds(s.dir) }

// Release ends the writing, clean or not, and lets the next process write. It is safe to call again.
func (s *Store) Release(clean bool) (err error) {
	if s.bans != nil {
		err = s.bans.Close()
	}
	if s.lock == nil {
		return err
	}
	if clean && s.Holds() {
		s.life.Clean = true
		err = errors.Join(err, s.writeLife())
	}
	err = errors.Join(err, s.lock.Release())
	s.lock = nil
	return err
}

// Summary is a state directory in a form for people and programs.
type Summary struct {
	Dir         string            `json:"dir"`
	Sidecar     string            `json:"sidecar"`
	Bans        map[string]string `json:"bans"`
	ListAgeS    float64           `json:"list_age_s,omitempty"`
	ListSource  string            `json:"list_source,omitempty"`
	ListIndex   int64             `json:"list_index,omitempty"`
	Upstreams   int               `json:"upstreams"`
	LearntAgeS  float64           `json:"learnt_age_s,omitempty"`
	LearntOf    int               `json:"learnt_of"`
	Ejected     []string          `json:"ejected,omitempty"`
	Settings    *SettingsSummary  `json:"settings,omitempty"`
	Started     string            `json:"started,omitempty"`
	Ended       string            `json:"ended"`
	EarlyEnds   int               `json:"early_ends"`
	Quarantined []string          `json:"quarantined,omitempty"`
	Notes       []string          `json:"notes,omitempty"`
	Damages     []string          `json:"damages,omitempty"`
}

// Summarize reads a directory beside whoever writes there, and writes nothing.
func Summarize(dir string, now time.Time) (Summary, []durable.Damage, error) {
	s := Summary{Dir: filepath.Clean(dir), Ended: "unclean, or it runs"}
	k, err := New(dir, "").Load(now)
	s.Sidecar, s.Bans, s.Notes, s.EarlyEnds = k.Name, k.Bans, k.Notes, k.Life.Early
	for _, d := range k.Damages {
		s.Damages = append(s.Damages, d.String())
	}
	if err != nil {
		return s, k.Damages, err
	}
	if k.Life.Clean {
		s.Ended = "clean"
	}
	if k.Life.StartedMs > 0 {
		s.Started = time.UnixMilli(k.Life.StartedMs).UTC().Format(time.RFC3339)
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
	if k.Learnt != nil {
		s.LearntAgeS = now.Sub(time.UnixMilli(k.Learnt.SavedMs)).Seconds()
		s.LearntOf = len(k.Learnt.Learnt.Endpoints)
		for _, id := range slices.Sorted(maps.Keys(k.Learnt.Learnt.Endpoints)) {
			if k.Learnt.Learnt.Endpoints[id].EjectedFor > 0 {
				s.Ejected = append(s.Ejected, id)
			}
		}
	}
	s.Quarantined, err = durable.Quarantined(dir)
	return s, k.Damages, err
}

// Repair keeps what is whole and puts the rest aside. It takes the lock, so that no sidecar writes meanwhile, and says
// what it dropped.
func Repair(dir string, now time.Time) (dropped []durable.Damage, err error) {
	s := New(dir, "")
	if err := s.TryLock(); err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, s.Release(false)) }()
	k, err := s.Load(now)
	if err != nil {
		return nil, err
	}
	if len(k.Damages) == 0 {
		return nil, nil
	}
	s.name = k.Name
	var aside []string
	for _, d := range k.Damages {
		if !strings.HasPrefix(d.File, "bans.") {
			aside = append(aside, d.File)
		}
	}
	if err := durable.Quarantine(dir, aside, quarantined, now); err != nil {
		return nil, err
	}
	_, err = s.Open(now)
	return k.Damages, err
}
