package scale

import (
	"context"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

// runHollow is one hollow sidecar: until ctx ends it follows the list as a sidecar does, and took hears of each message.
func runHollow(ctx context.Context, _ hollow, replicas []string, took func(*Message)) {
	c := client.New(replicas)
	defer c.Close()
	c.Watch(ctx, nil, client.Watcher{
		Take:   func(l api.Listing) error { took(message(l)); return nil },
		Stands: func() {},
		Says:   func(string, error) {}, // a watch that ended is opened again
	})
}

// message is what a line told.
func message(l api.Listing) *Message {
	m := &Message{Index: l.Index, Whole: l.Snapshot}
	for _, e := range l.Endpoints {
		m.Entries = append(m.Entries, Seen{e.Name, e.Status})
	}
	return m
}
