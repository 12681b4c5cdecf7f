package sidecar

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"mosslead/balancer"
	"mosslead/internal/durable"
	"mosslead/internal/statestore"
)

const (
	persistInterval   = 2 * time.Second        // between writes of the snapshot, and of the list if it has changed
	maxWriteFraction  = 100                    // the pause after writing is this many times as long as the writing
	persistStartDelay = 20 * time.Millisecond  // before the directory is acquired: the list is served first
	lockPollInterval  = 20 * time.Millisecond  // while another process of the sidecar writes
	diskRetryInterval = time.Second            // after a disk error
	banTimeout        = 350 * time.Millisecond // for a ban to be on disk; with adminTimeout, below the 1 s for a call
	maxWaitingBans    = 64                     // bans that may wait for a disk that hangs
	stateSockets      = 4                      // file descriptors: the lock, the log, and a file being written
)

// statePersister writes the state that outlives the process, in the background. One process of the sidecar holds the
// directory's lock and writes; in an upgrade the predecessor releases it when it yields, and the successor then acquires it.
// A nil statePersister stores nothing. Its methods are safe for concurrent use, but for run, save, acquire and release,
// which belong to the goroutine of run.
type statePersister struct {
	store    *statestore.Store
	bans     func() []string                  // returns the bans in force
	adoptBan func(id string)                  // applies a ban that is on disk and not in force
	list     func() (string, *listing)        // returns the list and its source
	snapshot func() (balancer.Snapshot, bool) // returns that of the balancer
	// settings returns the followed settings and the number of their changes; nil: none are followed.
	settings func() (*statestore.Settings, int64)
	log      func(slog.Level, string, error) // logs disk errors

	source        string // of the list that was written last
	index         int64  // its revision
	settingsCount int64  // number of changes of the settings written last

	incarnationBegun bool // the start of this process is recorded in the directory

	startedAt   time.Time
	shouldWrite chan bool // has a buffer of one
	ended       chan struct{}
	slots       chan struct{} // one for each call that waits for the disk

	mu          sync.RWMutex  // read-held while the store is used for a ban
	writing     chan struct{} // closed while this process is the writer
	writes      bool
	clearedBans map[string]bool // cleared here while another process was the writer

	figures sync.Mutex
	failing error // the error of the last write; nil: it succeeded
	errors  int64
	savedAt time.Time // of the snapshot
}

func newStatePersister(store *statestore.Store) *statePersister {
	return &statePersister{store: store, startedAt: time.Now(), shouldWrite: make(chan bool, 1), ended: make(chan struct{}), writing: make(chan struct{}),
		slots: make(chan struct{}, maxWaitingBans), clearedBans: map[string]bool{},
		log: func(level slog.Level, text string, err error) {
			logAttrs(level, componentState, text, slog.Any("err", err))
		}}
}

// openState reads the state that a sidecar starts with. With alone, a lock held by another process is an error; else it is
// acquired later, once the other process releases it. Any other error is logged, and the sidecar starts without state.
func openState(c *Config, alone bool) (*statePersister, statestore.Loaded, error) {
	if c.State == "" {
		return nil, statestore.Loaded{}, nil
	}
	k := newStatePersister(statestore.New(c.State, c.Name))
	lock := k.store.TryLock
	if alone {
		lock = k.store.Lock
	}
	err := lock()
	if alone && errors.Is(err, durable.ErrLocked) {
		return nil, statestore.Loaded{}, fmt.Errorf("state directory %s: %w", c.State, err)
	}
	locked := err == nil
	var persisted statestore.Loaded
	if err == nil || errors.Is(err, durable.ErrLocked) {
		persisted, err = k.store.LoadFirst(time.Now())
	}
	if err == nil && c.Service != "" {
		err = k.store.LoadSettings(&persisted)
	}
	if err != nil {
		k.recordError(err)
		return k, statestore.Loaded{}, nil
	}
	if locked {
		persisted = k.store.Begin(persisted, time.Now())
		k.incarnationBegun = true
	}
	logLoaded(persisted)
	return k, persisted, nil
}

// run acquires the directory and writes, until stop; then it releases the directory, marked as clean.
func (k *statePersister) run(stop <-chan struct{}) {
	if k == nil {
		return
	}
	defer close(k.ended)
	wanted, settled := true, false
	wait := persistStartDelay
	for {
		t := time.NewTimer(wait)
		select {
		case <-stop:
			t.Stop()
			k.save()
			k.release(true)
			return
		case wanted = <-k.shouldWrite:
			t.Stop()
			if !wanted {
				k.save()
				k.release(true) // handed over
			}
		case <-t.C:
		}
		if !wanted {
			wait = time.Hour
			continue
		}
		if k.writes && !k.store.Holds() { // the directory was deleted or replaced by a copy
			k.release(false)
			k.log(slog.LevelWarn, "state directory was replaced", errors.New("taking it up anew"))
		}
		if !k.writes {
			if wait = k.acquire(); k.writes {
				wait = persistInterval // what has just been read need not be written
			}
			continue
		}
		begun := time.Now()
		if !settled && time.Since(k.startedAt) >= statestore.SettledAfter {
			settled = k.recordResult(k.store.Settled())
		}
		k.save()
		wait = max(persistInterval, maxWriteFraction*time.Since(begun))
		wait = time.Duration(float64(wait) * (0.9 + 0.2*rand.Float64())) // so that the sidecars of a machine do not write in step
	}
}

// acquire tries to become the writer, and returns how long to wait before the next try.
func (k *statePersister) acquire() time.Duration {
	if !k.store.Holds() {
		if err := k.store.TryLock(); errors.Is(err, durable.ErrLocked) {
			return lockPollInterval
		} else if err != nil {
			k.recordError(err)
			return diskRetryInterval
		}
	}
	if !k.incarnationBegun { // the state there is the other process's, which has handed it over
		persisted, err := k.store.LoadFirst(time.Now())
		if err == nil && k.settings != nil {
			err = k.store.LoadSettings(&persisted)
		}
		if err != nil {
			k.recordError(err)
			k.release(false)
			return diskRetryInterval
		}
		k.store.Begin(persisted, time.Now())
		k.incarnationBegun = true
	}
	onDisk, err := k.store.Open(time.Now())
	if err != nil {
		k.recordError(err)
		k.release(false)
		return diskRetryInterval
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	inForce := map[string]bool{}
	for _, id := range k.bans() {
		inForce[id] = true
		if onDisk[id] == "" {
			err = errors.Join(err, k.store.Ban(id, time.Now()))
		}
	}
	for id := range onDisk {
		switch {
		case inForce[id]:
		case k.clearedBans[id]:
			err = errors.Join(err, k.store.Unban(id))
		default: // a ban that reached only the predecessor
			k.adoptBan(id)
		}
	}
	k.recordResult(err)
	k.clearedBans = map[string]bool{}
	k.source, k.settingsCount = "", 0 // have list and settings written
	k.writes = true
	close(k.writing)
	return 0
}

// release lets another process be the writer.
func (k *statePersister) release(clean bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.incarnationBegun = false
	if k.writes {
		k.writes = false
		k.writing = make(chan struct{})
	}
	if err := k.store.Release(clean); err != nil {
		k.recordError(err)
	}
}

// end stops run by closing stop, and blocks until it has ended.
func (k *statePersister) end(stop chan<- struct{}) {
	close(stop)
	if k != nil {
		<-k.ended
	}
}

// setWriting sets whether this process is to be the writer. It does not block.
func (k *statePersister) setWriting(write bool) {
	if k == nil {
		return
	}
	select {
	case <-k.shouldWrite: // only the latest value counts
	default:
	}
	select {
	case k.shouldWrite <- write:
	case <-k.ended:
	}
}

// save writes the list and the settings, if they have changed, and the snapshot.
func (k *statePersister) save() {
	if !k.writes {
		return
	}
	if source, l := k.list(); l != nil && (source != k.source || *l.Revision != k.index) {
		text, err := json.Marshal(l)
		if err == nil {
			err = k.store.WriteList(source, text, time.Now())
		}
		if !k.recordResult(err) {
			return
		}
		k.source, k.index = source, *l.Revision
	}
	if k.settings != nil {
		if s, change := k.settings(); s != nil && change != k.settingsCount {
			if !k.recordResult(k.store.WriteSettings(*s, time.Now())) {
				return
			}
			k.settingsCount = change
		}
	}
	if l, ok := k.snapshot(); ok {
		if k.recordResult(k.store.WriteSnapshot(l, time.Now())) {
			k.figures.Lock()
			k.savedAt = time.Now()
			k.figures.Unlock()
		}
	}
}

// ban stores a ban, or the lifting of one, durably.
func (k *statePersister) ban(id string, cleared bool) error {
	if k == nil {
		return nil
	}
	return k.within(banTimeout, func() error { return k.write(id, cleared, banTimeout*3/4) })
}

// accept is ban for one relayed by the other process of an upgrade; persisted: it is on disk. It is not if the other process
// is the writer or this one stores nothing; the other process then writes it.
func (k *statePersister) accept(id string, cleared, otherWrites bool) (persisted bool, err error) {
	if k == nil || otherWrites {
		return false, nil
	}
	err = k.within(banTimeout/2, func() error { return k.write(id, cleared, banTimeout/4) })
	if errors.Is(err, errNotWriting) {
		return false, nil
	}
	return err == nil, err
}

// writesNow reports whether this process is the writer.
func (k *statePersister) writesNow() bool {
	if k == nil {
		return false
	}
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.writes
}

// within runs f, and waits for it up to the bound. Calls that a hanging disk blocks keep their slots until it answers.
func (k *statePersister) within(bound time.Duration, f func() error) error {
	select {
	case k.slots <- struct{}{}:
	default:
		return errors.New("the disk does not answer, call again")
	}
	late := time.NewTimer(bound)
	defer late.Stop()
	ended := make(chan error, 1)
	go func() {
		defer func() { <-k.slots }()
		ended <- f()
	}()
	select {
	case err := <-ended:
		return err
	case <-late.C:
		return errors.New("not on disk in time, call again")
	}
}

var errNotWriting = errors.New("nothing can be written now, call again")

// write stores a ban, or removes it. It waits up to turn for this process to become the writer.
func (k *statePersister) write(id string, cleared bool, turn time.Duration) error {
	k.mu.Lock()
	if cleared && !k.writes {
		k.clearedBans[id] = true
	} else {
		delete(k.clearedBans, id)
	}
	writing := k.writing
	k.mu.Unlock()
	late := time.NewTimer(turn)
	defer late.Stop()
	select {
	case <-writing:
	case <-late.C:
		return errNotWriting
	}
	k.mu.RLock()
	defer k.mu.RUnlock()
	if !k.writes {
		return errNotWriting
	}
	var err error
	if cleared {
		err = k.store.Unban(id)
	} else {
		err = k.store.Ban(id, time.Now())
	}
	if !k.recordResult(err) {
		return errors.New("not on disk, call again")
	}
	return nil
}

// recordResult records the result of a write, and logs when writes start to fail and when they recover. It returns whether
// the write succeeded.
func (k *statePersister) recordResult(err error) bool {
	if err != nil {
		k.recordError(err)
		return false
	}
	k.figures.Lock()
	failed := k.failing
	k.failing = nil
	k.figures.Unlock()
	if failed != nil {
		k.log(slog.LevelInfo, "state writes recovered", nil)
	}
	return true
}

// recordError records the error of a write.
func (k *statePersister) recordError(err error) {
	k.figures.Lock()
	first := k.failing == nil
	k.failing = err
	k.errors++
	k.figures.Unlock()
	if first {
		k.log(slog.LevelWarn, "state write failed, serving without", err)
	}
}

// lines returns the figures for operators; cached tells whether the list in use is the persisted one.
func (k *statePersister) lines(cached bool, listAge time.Duration) string {
	if k == nil {
		return ""
	}
	k.figures.Lock()
	defer k.figures.Unlock()
	var s strings.Builder
	flag := map[bool]int{true: 1}
	fmt.Fprintf(&s, "gw.state_failing:%d|g\ngw.state_errors:%d|c\n", flag[k.failing != nil], k.errors)
	if !k.savedAt.IsZero() {
		fmt.Fprintf(&s, "gw.state_age_ms:%d|g\n", time.Since(k.savedAt).Milliseconds())
	}
	fmt.Fprintf(&s, "gw.list_kept:%d|g\n", flag[cached])
	if cached {
		fmt.Fprintf(&s, "gw.list_age_ms:%d|g\n", listAge.Milliseconds())
	}
	return s.String()
}
