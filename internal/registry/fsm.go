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

// machine is the list as the log makes it, for many readers. It implements raft.FSM.
type machine struct {
	mu      sync.RWMutex
	list    *list.List
	touched func(records []api.Record) // after a command, with the entries as they are now; not under mu
	turned  func(r list.Result)        // after a command on duties, or one that voids them; not under mu

	careless bool // see breakBack
}

func (m *machine) Apply(l *raft.Log) any {
	var c list.Command
	if err := json.Unmarshal(l.Data, &c); err != nil { // by a newer program: none that this one knows of
		return list.Result{Err: api.Fail(api.CodeBad, "log entry %d: %v", l.Index, err)}
	}
	c.Index = l.Index
	m.mu.Lock()
	if m.careless {
		m.list.Careless()
	}
	result := m.list.Apply(c)
	var now []api.Record
	switch c.Op {
	case list.Take, list.Renew, list.Release, list.Lapse, list.Put, list.Delete, list.Follow: // no own entry is touched
	case list.Restore:
		now = m.list.Records()
	case list.Expire:
		for _, x := range c.Lapsed {
			r, _ := m.list.Get(x.Name)
			now = append(now, r)
		}
	default:
		r, there := m.list.Get(c.Name)
		if !there {
			r.Own = api.Gone
		}
		now = append(now, r)
	}
	m.mu.Unlock()
	switch {
	case result.Duty.Name != "" || result.Forgot || c.Op == list.Lapse:
		m.turned(result)
	case result.Err == nil:
		m.touched(now)
	}
	return result
}

// read runs f on the list, which f must not keep.
func (m *machine) read(f func(*list.List)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.list)
}

func (m *machine) state() (s list.State) {
	m.read(func(l *list.List) { s = l.State() })
	return s
}

func (m *machine) Snapshot() (raft.FSMSnapshot, error) { return snapshot{m.state()}, nil }

func (m *machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	var s list.State
	if err := json.NewDecoder(r).Decode(&s); err != nil {
		return fmt.Errorf("reading a snapshot: %w", err)
	}
	m.mu.Lock()
	m.list = list.Load(s, list.History)
	now := m.list.Records()
	m.mu.Unlock()
	m.touched(now)
	return nil
}

type snapshot struct{ state list.State }

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s.state); err != nil {
		_ = sink.Cancel()
		return fmt.Errorf("writing a snapshot: %w", err)
	}
	return sink.Close()
}

func (snapshot) Release() {}
