package sidecar

import (
	"context"
	"log/slog"
	"strings"

	"mosslead/balancer"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

// isReplicated reports whether the addresses of discovery are those of a list service with several replicas.
func isReplicated(addresses string) bool { return strings.Contains(addresses, ",") }

// follow watches a list service that has several replicas or also sends settings, until ctx ends. Package client chooses
// the replica, retries, and checks lists for plausibility.
func (w *watcher) follow(ctx context.Context, addresses string) {
	replicas, err := client.Addresses(addresses)
	if err != nil { // can't happen, since the configuration was checked
		logWarning(componentDiscovery, "list service addresses not usable", err)
		<-ctx.Done()
		return
	}
	c := client.New(replicas)
	defer c.Close()
	var query func() string
	if w.settings != nil {
		query = w.settings.query
	}
	c.Watch(ctx, w.currentList(), client.Watcher{
		Query: query,
		Apply: func(event api.WatchEvent) error {
			received := &listing{Revision: &event.Revision, Snapshot: event.Snapshot}
			for _, e := range event.Endpoints {
				received.Endpoints = append(received.Endpoints, endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Machine: e.Machine, Cell: e.Cell,
					Status: e.Status, StartedMs: float64(e.StartedMs), Weight: e.Weight})
			}
			if err := received.check(); err != nil {
				return err
			}
			w.revision = event.Revision
			w.report(w.dir.apply(received))
			w.settings.onDocuments(event.Documents)
			return nil
		},
		OnEstablished: func() { w.report(balancer.EndpointUpdate{Kind: balancer.Delta}) },
		OnError: func(replica string, err error) {
			logAttrs(slog.LevelWarn, componentDiscovery, "watch ended", slog.String("peer", replica), slog.Any("err", err))
		},
	})
}

// currentList returns the list in use, with the revision of discovery, or nil if the list is empty.
func (w *watcher) currentList() *api.WatchEvent {
	complete := w.dir.fullList()
	if len(complete.Endpoints) == 0 {
		return nil
	}
	event := &api.WatchEvent{Revision: w.revision, Snapshot: true}
	for _, e := range complete.Endpoints {
		event.Endpoints = append(event.Endpoints, api.Endpoint{Name: e.Name, Status: e.Status})
	}
	return event
}
