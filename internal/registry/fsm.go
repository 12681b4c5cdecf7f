package registry

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

// stateMachine holds the list that results from the log. It implements raft.FSM, and is safe for concurrent readers.
type stateMachine struct {
	mu           sync.RWMutex
	list         *list.List
	onEntries    func(records []api.Record) // called without mu after a command, with the records that it may have changed
	onLeadership func(r list.Result)        // called without mu after a command on leaderships, or a command that voids them

	uncheckedRegions bool // see faultRollback
}

// Apply implements raft.FSM: it applies a committed command.
func (m *stateMachine) Apply(l *raft.Log) any {
	var c list.Command
	if err := json.Unmarshal(l.Data, &c); err != nil { // written by a newer version of the program
		return list.Result{Err: api.Errorf(api.CodeBadRequest, "log entry %d: %v", l.Index, err)}
	}
	c.Index = l.Index
	m.mu.Lock()
	if m.uncheckedRegions {
		m.list.SkipRegionChecks()
	}
	result := m.list.Apply(c)
	var changed []api.Record
	switch c.Op {
	case list.AcquireLeadership, list.RenewLeadership, list.ReleaseLeadership, list.ForgetLeaderships, list.PutDocument, list.DeleteDocument, list.ReplicateRegion: // these change no entry of this region
	case list.Restore:
		changed = m.list.Records()
	case list.Expire:
		for _, heartbeat := range c.Expired {
			r, _ := m.list.Get(heartbeat.Name)
			changed = append(changed, r)
		}
	default:
		r, exists := m.list.Get(c.Name)
		if !exists {
			r.ServerStatus = api.Removed
		}
		changed = append(changed, r)
	}
	m.mu.Unlock()
	switch {
	case result.Leadership.Name != "" || result.LeadershipsVoid || c.Op == list.ForgetLeaderships:
		m.onLeadership(result)
	case result.Err == nil:
		m.onEntries(changed)
	}
	return result
}

// read calls f with the list, which f must not retain.
func (m *stateMachine) read(f func(*list.List)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.list)
}

func (m *stateMachine) state() (s list.State) {
	m.read(func(l *list.List) { s = l.State() })
	return s
}

// Snapshot implements raft.FSM.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) { return snapshot{m.state()}, nil }

// Restore implements raft.FSM.
func (m *stateMachine) Restore(r io.ReadCloser) error {
	defer func() { _ = r.Close() }()
	var s list.State
	if err := json.NewDecoder(r).Decode(&s); err != nil {
		return fmt.Errorf("reading a snapshot: %w", err)
	}
	m.mu.Lock()
	m.list = list.Load(s, list.CompactionWindow)
	records := m.list.Records()
	m.mu.Unlock()
	m.onEntries(records)
	return nil
}

type snapshot struct{ state list.State }

// Persist implements raft.FSMSnapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s.state); err != nil {
		_ = sink.Cancel()
		return fmt.Errorf("writing a snapshot: %w", err)
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (snapshot) Release() {}
