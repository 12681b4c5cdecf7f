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
	persistInterval   = 2 * time.Second        // time between writes of the snapshot, and of the list if it has changed
	writePauseFactor  = 100                    // minimum ratio of the pause after a write to the duration of the write
	persistStartDelay = 20 * time.Millisecond  // delay before the directory is acquired, so that the list is in use first
	lockPollInterval  = 20 * time.Millisecond  // time between attempts to lock, while another process of the sidecar is the writer
	diskRetryInterval = time.Second            // pause after a disk error
	banTimeout        = 350 * time.Millisecond // time for a ban to reach the disk; with adminTimeout it is less than the 1 s that a call may last
	maxWaitingBans    = 64                     // bans that may wait for a disk that hangs
	stateSockets      = 4                      // file descriptors: the lock, the log, and a file being written
)

// statePersister writes the state that outlives the process, in the background. One process of the sidecar, the writer, holds
// the directory's lock; in an upgrade the predecessor releases it when it yields, and the successor then acquires it. A nil
// statePersister stores nothing. Its methods are safe for concurrent use, except for run, save, acquire and release, which
// belong to the goroutine of run.
type statePersister struct {
	store    *statestore.Store
	bans     func() []string                  // returns the upstreams with bans in force
	adoptBan func(id string)                  // applies a ban that is on disk and not in force
	list     func() (string, *listing)        // returns the list and its source
	snapshot func() (balancer.Snapshot, bool) // returns the balancer's snapshot; false if there is none
	// settings returns the followed settings and the number of their changes; nil if none are followed.
	settings func() (*statestore.Settings, int64)
	log      func(slog.Level, string, error) // logs disk errors

	writtenSource        string // source of the list written last
	writtenRevision      int64  // revision of that list
	writtenSettingsCount int64  // number of changes of the settings written last

	incarnationBegun bool // the directory has a record of the start of this process

	startedAt   time.Time
	shouldWrite chan bool     // buffer of one; whether this process is to be the writer
	ended       chan struct{} // closed once run has ended
	slots       chan struct{} // holds one element for each call that waits for the disk

	mu          sync.RWMutex  // read-locked while the store is used for a ban
	writing     chan struct{} // closed while this process is the writer; release replaces it
	isWriter    bool
	clearedBans map[string]bool // upstreams whose bans were cleared here while another process was the writer

	statsMu      sync.Mutex
	lastWriteErr error // nil if the last write succeeded
	errorCount   int64
	savedAt      time.Time // when the snapshot was last written
}

func newStatePersister(store *statestore.Store) *statePersister {
	return &statePersister{store: store, startedAt: time.Now(), shouldWrite: make(chan bool, 1), ended: make(chan struct{}), writing: make(chan struct{}),
		slots: make(chan struct{}, maxWaitingBans), clearedBans: map[string]bool{},
		log: func(level slog.Level, text string, err error) {
			logAttrs(level, componentState, text, slog.Any("err", err))
		}}
}

// openState reads the state with which a sidecar starts. If alone is set, it fails if another process has the lock;
// otherwise the lock is acquired later, once the other process releases it. Any other error is logged, and the sidecar
// starts without state.
func openState(c *Config, alone bool) (*statePersister, statestore.Loaded, error) {
	if c.State == "" {
		return nil, statestore.Loaded{}, nil
	}
	p := newStatePersister(statestore.New(c.State, c.Name))
	lock := p.store.TryLock
	if alone {
		lock = p.store.Lock
	}
	err := lock()
	if alone && errors.Is(err, durable.ErrLocked) {
		return nil, statestore.Loaded{}, fmt.Errorf("state directory %s: %w", c.State, err)
	}
	locked := err == nil
	var persisted statestore.Loaded
	if err == nil || errors.Is(err, durable.ErrLocked) {
		persisted, err = p.store.LoadFirst(time.Now())
	}
	if err == nil && c.Service != "" {
		err = p.store.LoadSettings(&persisted)
	}
	if err != nil {
		p.recordError(err)
		return p, statestore.Loaded{}, nil
	}
	if locked {
		persisted = p.store.Begin(persisted, time.Now())
		p.incarnationBegun = true
	}
	logLoaded(persisted)
	return p, persisted, nil
}

// run acquires the directory and writes until stop is closed; then it releases the directory, marked as cleanly closed.
func (p *statePersister) run(stop <-chan struct{}) {
	if p == nil {
		return
	}
	defer close(p.ended)
	enabled, settled := true, false
	wait := persistStartDelay
	for {
		timer := time.NewTimer(wait)
		select {
		case <-stop:
			timer.Stop()
			p.save()
			p.release(true)
			return
		case enabled = <-p.shouldWrite:
			timer.Stop()
			if !enabled {
				p.save()
				p.release(true) // the successor then acquires the directory
			}
		case <-timer.C:
		}
		if !enabled {
			wait = time.Hour
			continue
		}
		if p.isWriter && !p.store.Holds() { // the directory was deleted or replaced by another
			p.release(false)
			p.log(slog.LevelWarn, "state directory was replaced", errors.New("acquiring the new one"))
		}
		if !p.isWriter {
			if wait = p.acquire(); p.isWriter {
				wait = persistInterval // the state has just been read, and need not be written yet
			}
			continue
		}
		started := time.Now()
		if !settled && time.Since(p.startedAt) >= statestore.SettledAfter {
			settled = p.recordResult(p.store.Settled())
		}
		p.save()
		wait = max(persistInterval, writePauseFactor*time.Since(started))
		wait = time.Duration(float64(wait) * (0.9 + 0.2*rand.Float64())) // so that the sidecars of a machine do not write at the same time
	}
}

// acquire attempts to become the writer, and returns how long to wait before the next attempt.
func (p *statePersister) acquire() time.Duration {
	if !p.store.Holds() {
		if err := p.store.TryLock(); errors.Is(err, durable.ErrLocked) {
			return lockPollInterval
		} else if err != nil {
			p.recordError(err)
			return diskRetryInterval
		}
	}
	if !p.incarnationBegun { // the state on disk was written by the other process, which has released it
		persisted, err := p.store.LoadFirst(time.Now())
		if err == nil && p.settings != nil {
			err = p.store.LoadSettings(&persisted)
		}
		if err != nil {
			p.recordError(err)
			p.release(false)
			return diskRetryInterval
		}
		p.store.Begin(persisted, time.Now())
		p.incarnationBegun = true
	}
	onDisk, err := p.store.Open(time.Now())
	if err != nil {
		p.recordError(err)
		p.release(false)
		return diskRetryInterval
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	inForce := map[string]bool{}
	for _, id := range p.bans() {
		inForce[id] = true
		if onDisk[id] == "" {
			err = errors.Join(err, p.store.Ban(id, time.Now()))
		}
	}
	for id := range onDisk {
		switch {
		case inForce[id]:
		case p.clearedBans[id]:
			err = errors.Join(err, p.store.Unban(id))
		default: // the ban reached only the predecessor
			p.adoptBan(id)
		}
	}
	p.recordResult(err)
	p.clearedBans = map[string]bool{}
	p.writtenSource, p.writtenSettingsCount = "", 0 // makes save write the list and the settings
	p.isWriter = true
	close(p.writing)
	return 0
}

// release releases the lock, so that another process can become the writer.
func (p *statePersister) release(clean bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnationBegun = false
	if p.isWriter {
		p.isWriter = false
		p.writing = make(chan struct{})
	}
	if err := p.store.Release(clean); err != nil {
		p.recordError(err)
	}
}

// stopAndWait stops run by closing stop, and blocks until run has ended.
func (p *statePersister) stopAndWait(stop chan<- struct{}) {
	close(stop)
	if p != nil {
		<-p.ended
	}
}

// setWriting sets whether this process is to be the writer. It does not block.
func (p *statePersister) setWriting(enable bool) {
	if p == nil {
		return
	}
	select {
	case <-p.shouldWrite: // discard an earlier value that run has not received
	default:
	}
	select {
	case p.shouldWrite <- enable:
	case <-p.ended:
	}
}

// save writes the list and the settings, if they have changed, and the snapshot.
func (p *statePersister) save() {
	if !p.isWriter {
		return
	}
	if source, l := p.list(); l != nil && (source != p.writtenSource || *l.Revision != p.writtenRevision) {
		text, err := json.Marshal(l)
		if err == nil {
			err = p.store.WriteList(source, text, time.Now())
		}
		if !p.recordResult(err) {
			return
		}
		p.writtenSource, p.writtenRevision = source, *l.Revision
	}
	if p.settings != nil {
		if s, change := p.settings(); s != nil && change != p.writtenSettingsCount {
			if !p.recordResult(p.store.WriteSettings(*s, time.Now())) {
				return
			}
			p.writtenSettingsCount = change
		}
	}
	if l, ok := p.snapshot(); ok {
		if p.recordResult(p.store.WriteSnapshot(l, time.Now())) {
			p.statsMu.Lock()
			p.savedAt = time.Now()
			p.statsMu.Unlock()
		}
	}
}

// ban stores a ban, or the lifting of one, durably.
func (p *statePersister) ban(id string, cleared bool) error {
	if p == nil {
		return nil
	}
	return p.runWithin(banTimeout, func() error { return p.writeBan(id, cleared, banTimeout*3/4) })
}

// acceptRelayedBan stores a ban relayed by the other process of an upgrade, and reports whether it is on disk. It returns
// false if the other process is the writer or this one stores nothing; the other process then writes the ban.
func (p *statePersister) acceptRelayedBan(id string, cleared, otherWrites bool) (persisted bool, err error) {
	if p == nil || otherWrites {
		return false, nil
	}
	err = p.runWithin(banTimeout/2, func() error { return p.writeBan(id, cleared, banTimeout/4) })
	if errors.Is(err, errNotWriting) {
		return false, nil
	}
	return err == nil, err
}

// writesNow reports whether this process is the writer.
func (p *statePersister) writesNow() bool {
	if p == nil {
		return false
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.isWriter
}

// runWithin runs f, and waits for it until the timeout. A call that is blocked by a hanging disk occupies its slot until
// the disk answers.
func (p *statePersister) runWithin(timeout time.Duration, f func() error) error {
	select {
	case p.slots <- struct{}{}:
	default:
		return errors.New("the disk does not answer, call again")
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	result := make(chan error, 1)
	go func() {
		defer func() { <-p.slots }()
		result <- f()
	}()
	select {
	case err := <-result:
		return err
	case <-timer.C:
		return errors.New("not on disk in time, call again")
	}
}

var errNotWriting = errors.New("nothing can be written now, call again")

// writeBan stores a ban, or removes it. It waits until the timeout for this process to become the writer.
func (p *statePersister) writeBan(id string, cleared bool, timeout time.Duration) error {
	p.mu.Lock()
	if cleared && !p.isWriter {
		p.clearedBans[id] = true
	} else {
		delete(p.clearedBans, id)
	}
	writing := p.writing
	p.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-writing:
	case <-timer.C:
		return errNotWriting
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	if !p.isWriter {
		return errNotWriting
	}
	var err error
	if cleared {
		err = p.store.Unban(id)
	} else {
		err = p.store.Ban(id, time.Now())
	}
	if !p.recordResult(err) {
		return errors.New("not on disk, call again")
	}
	return nil
}

// recordResult records the result of a write, and logs when writes start to fail and when they recover. It reports
// whether the write succeeded.
func (p *statePersister) recordResult(err error) bool {
	if err != nil {
		p.recordError(err)
		return false
	}
	p.statsMu.Lock()
	failed := p.lastWriteErr
	p.lastWriteErr = nil
	p.statsMu.Unlock()
	if failed != nil {
		p.log(slog.LevelInfo, "state writes recovered", nil)
	}
	return true
}

// recordError records the error of a write.
func (p *statePersister) recordError(err error) {
	p.statsMu.Lock()
	first := p.lastWriteErr == nil
	p.lastWriteErr = err
	p.errorCount++
	p.statsMu.Unlock()
	if first {
		p.log(slog.LevelWarn, "state write failed, serving without", err)
	}
}

// lines returns the lines of STATS about the persisted state; cached is whether the list in use is the persisted one.
func (p *statePersister) lines(cached bool, listAge time.Duration) string {
	if p == nil {
		return ""
	}
	p.statsMu.Lock()
	defer p.statsMu.Unlock()
	var s strings.Builder
	flag := map[bool]int{true: 1}
	fmt.Fprintf(&s, "gw.state_failing:%d|g\ngw.state_errors:%d|c\n", flag[p.lastWriteErr != nil], p.errorCount)
	if !p.savedAt.IsZero() {
		fmt.Fprintf(&s, "gw.state_age_ms:%d|g\n", time.Since(p.savedAt).Milliseconds())
	}
	fmt.Fprintf(&s, "gw.list_kept:%d|g\n", flag[cached])
	if cached {
		fmt.Fprintf(&s, "gw.list_age_ms:%d|g\n", listAge.Milliseconds())
	}
	return s.String()
}
