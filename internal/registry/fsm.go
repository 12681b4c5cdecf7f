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

// stateMachine holds the list that the log produces. It implements raft.FSM, and is safe for concurrent readers.
type stateMachine struct {
	mu           sync.RWMutex
	list         *list.List
	onEntries    func(records []api.Record) // called after a command with the present entries, without mu
	onLeadership func(r list.Result)        // called after a command on leaderships, or one that voids them, without mu

	uncheckedRegions bool // see faultRollback
}

// Apply implements raft.FSM: it applies a committed command.
func (m *stateMachine) Apply(l *raft.Log) any {
	var c list.Command
	if err := json.Unmarshal(l.Data, &c); err != nil { // of a newer version of the program
		return list.Result{Err: api.Errorf(api.CodeBadRequest, "log entry %d: %v", l.Index, err)}
	}
	c.Index = l.Index
	m.mu.Lock()
	if m.uncheckedRegions {
		m.list.SkipRegionChecks()
	}
	result := m.list.Apply(c)
	var now []api.Record
	switch c.Op {
	case list.AcquireLeadership, list.RenewLeadership, list.ReleaseLeadership, list.ForgetLeaderships, list.PutDocument, list.DeleteDocument, list.ReplicateRegion: // no own entry changes
	case list.Restore:
		now = m.list.Records()
	case list.Expire:
		for _, x := range c.Expired {
			r, _ := m.list.Get(x.Name)
			now = append(now, r)
		}
	default:
		r, there := m.list.Get(c.Name)
		if !there {
			r.ServerStatus = api.Removed
		}
		now = append(now, r)
	}
	m.mu.Unlock()
	switch {
	case result.Leadership.Name != "" || result.LeadershipsVoid || c.Op == list.ForgetLeaderships:
		m.onLeadership(result)
	case result.Err == nil:
		m.onEntries(now)
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
	now := m.list.Records()
	m.mu.Unlock()
	m.onEntries(now)
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
