package gossip

import (
	"log/slog"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"

	"mosslead/internal/gossip/message"
)

// broadcast is the record of a key in the queue. It is encoded when it is sent, so that the newest record
// goes, less the time that it waited.
type broadcast struct {
	key      message.Key
	gossiper *Gossiper
}

// Invalidates tells whether b replaces other in the queue.
func (b *broadcast) Invalidates(other memberlist.Broadcast) bool {
	o, same := other.(*broadcast)
	return same && o.key == b.key
}

// Name lets the queue find the broadcast to replace by name.
func (b *broadcast) Name() string {
	return b.key.Owner + "\x00" + strconv.Itoa(int(b.key.Kind)) + "\x00" + b.key.Name
}

// Message encodes the record as it is when it is sent.
func (b *broadcast) Message() []byte { return b.gossiper.encodeNow(b.key) }

// Finished implements memberlist.Broadcast.
func (b *broadcast) Finished() {}

// delegate is what the library asks of a Gossiper, on goroutines of its own.
type delegate Gossiper

// NodeMeta encodes this process. Its bounds were checked, so it fits.
func (d *delegate) NodeMeta(int) []byte {
	d.mu.Lock()
	self := d.self
	d.mu.Unlock()
	text, err := message.Encode(self)
	if err != nil {
		return nil
	}
	return text
}

// NotifyMsg takes in a record that came in a datagram.
func (d *delegate) NotifyMsg(text []byte) {
	var r message.Record
	if len(text) > message.MaxRecord || message.Decode(text, &r) != nil {
		return
	}
	(*Gossiper)(d).receive(r)
}

// GetBroadcasts fills a datagram as far as the budget allows.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	now := time.Now()
	limit = min(limit, int(d.budget.TokensAt(now)))
	if limit <= 0 {
		return nil
	}
	all := d.queue.GetBroadcasts(overhead, limit)
	used := 0
	for _, text := range all {
		used += overhead + len(text)
	}
	d.budget.AllowN(now, used)
	sendable := all[:0]
	for _, text := range all {
		if len(text) > 0 { // else it lapsed while it waited
			sendable = append(sendable, text)
		}
	}
	return sendable
}

// LocalState is all records that are valid, for a push/pull.
func (d *delegate) LocalState(bool) []byte {
	d.mu.Lock()
	all := d.records.live((*Gossiper)(d).now())
	d.mu.Unlock()
	text, err := message.Encode(all)
	if err != nil || len(text) > message.MaxState {
		slog.Warn("gossip state not sent", "component", "peers", "bytes", len(text), "err", err)
		return nil
	}
	return text
}

// MergeRemoteState takes in the records of a member's push/pull.
func (d *delegate) MergeRemoteState(text []byte, _ bool) {
	var all []message.Record
	if len(text) > message.MaxState || message.Decode(text, &all) != nil {
		return
	}
	for _, r := range all {
		(*Gossiper)(d).receive(r)
	}
}

// events follows who is present.
type events Gossiper

// NotifyJoin implements memberlist.EventDelegate.
func (e *events) NotifyJoin(n *memberlist.Node) { e.set(n) }

// NotifyUpdate implements memberlist.EventDelegate.
func (e *events) NotifyUpdate(n *memberlist.Node) { e.set(n) }

// NotifyLeave removes a member, and remembers one that did not leave by itself.
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

// conflict is told of two processes under one name at two addresses.
type conflict Gossiper

// NotifyConflict logs two processes under one name, and lets the newer one win.
func (c *conflict) NotifyConflict(existing, other *memberlist.Node) {
	slog.Warn("two members have one name", "component", "peers", "node", existing.Name, "peer", other.Address())
	(*events)(c).set(other)
}
