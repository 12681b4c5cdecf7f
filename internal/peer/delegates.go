package peer

import (
	"fmt"
	"log/slog"

	"github.com/hashicorp/memberlist"

	"mosslead/internal/peer/api"
)

// broadcast is a record on its way; a later one of its key takes its place.
type broadcast struct {
	key  api.Key
	text []byte
}

func (b *broadcast) Invalidates(other memberlist.Broadcast) bool {
	o, same := other.(*broadcast)
	return same && o.key == b.key
}

// Name makes the queue look for the one replaced by name instead of asking each.
func (b *broadcast) Name() string {
	return fmt.Sprintf("%s/%d/%s", b.key.Owner, b.key.Kind, b.key.Name)
}
func (b *broadcast) Message() []byte { return b.text }
func (b *broadcast) Finished()       {}

// delegate is what the library asks of a carrier, on goroutines of its own.
type delegate Carrier

func (d *delegate) NodeMeta(limit int) []byte {
	text, err := api.Encode(d.self)
	if err != nil || len(text) > limit {
		return nil
	}
	return text
}

func (d *delegate) NotifyMsg(text []byte) {
	var r api.Record
	if len(text) > api.RecordMost || api.Decode(text, &r) != nil {
		return
	}
	(*Carrier)(d).take(r)
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.queue.GetBroadcasts(overhead, limit)
}

// LocalState is all that has not lapsed, for a member that push/pull meets.
func (d *delegate) LocalState(bool) []byte {
	d.mu.Lock()
	all := d.records.live((*Carrier)(d).now())
	d.mu.Unlock()
	text, err := api.Encode(all)
	if err != nil {
		slog.Warn("no state for a member", "component", "peer", "err", err)
	}
	return text
}

func (d *delegate) MergeRemoteState(text []byte, _ bool) {
	var all []api.Record
	if err := api.Decode(text, &all); err != nil {
		return
	}
	for _, r := range all {
		(*Carrier)(d).take(r)
	}
}

// events follows who is present.
type events Carrier

func (e *events) NotifyJoin(n *memberlist.Node)   { e.set(n) }
func (e *events) NotifyUpdate(n *memberlist.Node) { e.set(n) }

func (e *events) NotifyLeave(n *memberlist.Node) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n.Name != e.self.Name {
		delete(e.members, n.Name)
	}
}

func (e *events) set(n *memberlist.Node) {
	var m api.Member
	if api.Decode(n.Meta, &m) != nil || m.Name != n.Name || n.Name == e.self.Name {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, known := e.members[m.Name]; !known || !old.Incarnation.Newer(m.Incarnation) {
		e.members[m.Name] = m
	}
}

// conflict hears of two processes under one name.
type conflict Carrier

func (c *conflict) NotifyConflict(existing, other *memberlist.Node) {
	slog.Warn("two processes under one name", "component", "peer", "node", existing.Name, "peer", other.Address())
}
