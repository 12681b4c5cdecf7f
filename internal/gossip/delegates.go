package gossip

import (
	"log/slog"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"

	"mosslead/internal/gossip/message"
)

// broadcast is the queue entry of a key. Its record is encoded when it is sent, so that the newest record is
// sent, with its remaining time to live.
type broadcast struct {
	key      message.Key
	gossiper *Gossiper
}

// Invalidates reports whether b replaces other in the queue.
func (b *broadcast) Invalidates(other memberlist.Broadcast) bool {
	o, same := other.(*broadcast)
	return same && o.key == b.key
}

// Name returns the name by which the queue finds the broadcast to replace.
func (b *broadcast) Name() string {
	return b.key.Owner + "\x00" + strconv.Itoa(int(b.key.Kind)) + "\x00" + b.key.Name
}

// Message returns the encoded record as it is at this time.
func (b *broadcast) Message() []byte { return b.gossiper.encodeNow(b.key) }

// Finished implements memberlist.Broadcast.
func (b *broadcast) Finished() {}

// delegate implements memberlist.Delegate. The library calls it on its own goroutines.
type delegate Gossiper

// NodeMeta returns this process as an encoded Member. The bounds of its fields were checked, so it fits.
func (d *delegate) NodeMeta(int) []byte {
	d.mu.Lock()
	self := d.self
	d.mu.Unlock()
	encoded, err := message.Encode(self)
	if err != nil {
		return nil
	}
	return encoded
}

// NotifyMsg processes a record that arrived in a datagram.
func (d *delegate) NotifyMsg(encoded []byte) {
	var r message.Record
	if len(encoded) > message.MaxRecord || message.Decode(encoded, &r) != nil {
		return
	}
	(*Gossiper)(d).receive(r)
}

// GetBroadcasts returns records for a datagram, as far as the budget allows.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	now := time.Now()
	limit = min(limit, int(d.budget.TokensAt(now)))
	if limit <= 0 {
		return nil
	}
	messages := d.queue.GetBroadcasts(overhead, limit)
	used := 0
	for _, encoded := range messages {
		used += overhead + len(encoded)
	}
	d.budget.AllowN(now, used)
	sendable := messages[:0]
	for _, encoded := range messages {
		if len(encoded) > 0 { // an empty record had expired in the queue
			sendable = append(sendable, encoded)
		}
	}
	return sendable
}

// LocalState returns all valid records, encoded for a push/pull.
func (d *delegate) LocalState(bool) []byte {
	d.mu.Lock()
	records := d.records.live((*Gossiper)(d).now())
	d.mu.Unlock()
	encoded, err := message.Encode(records)
	if err != nil || len(encoded) > message.MaxState {
		slog.Warn("gossip state not sent", "component", "peers", "bytes", len(encoded), "err", err)
		return nil
	}
	return encoded
}

// MergeRemoteState processes the records of a member's push/pull.
func (d *delegate) MergeRemoteState(encoded []byte, _ bool) {
	var records []message.Record
	if len(encoded) > message.MaxState || message.Decode(encoded, &records) != nil {
		return
	}
	for _, r := range records {
		(*Gossiper)(d).receive(r)
	}
}

// events implements memberlist.EventDelegate. It maintains the set of present members.
type events Gossiper

// NotifyJoin implements memberlist.EventDelegate.
func (e *events) NotifyJoin(n *memberlist.Node) { e.set(n) }

// NotifyUpdate implements memberlist.EventDelegate.
func (e *events) NotifyUpdate(n *memberlist.Node) { e.set(n) }

// NotifyLeave removes a member, and records a member that failed without leaving.
func (e *events) NotifyLeave(n *memberlist.Node) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n.Name != e.self.Name {
		delete(e.members, n.Name)
		if n.State != memberlist.StateLeft {
			(*Gossiper)(e).memberFailed(n.Name, n.Address())
		}
	}
}

func (e *events) set(n *memberlist.Node) {
	var m message.Member
	if message.Decode(n.Meta, &m) != nil || m.Check() != nil || m.Name != n.Name {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.Name == e.self.Name {
		(*Gossiper)(e).onOwnName(m.Incarnation)
		return
	}
	if old, known := e.members[m.Name]; !known || !old.Incarnation.Newer(m.Incarnation) {
		e.members[m.Name] = m
	}
}

// conflict implements memberlist.ConflictDelegate: it handles two processes with one name at two addresses.
type conflict Gossiper

// NotifyConflict logs the conflict, and accepts the other process if it is newer.
func (c *conflict) NotifyConflict(existing, other *memberlist.Node) {
	slog.Warn("two members have one name", "component", "peers", "node", existing.Name, "peer", other.Address())
	(*events)(c).set(other)
}
