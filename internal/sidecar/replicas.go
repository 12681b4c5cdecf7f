package sidecar

import (
	"context"
	"log/slog"
	"strings"

	"mosslead/balancer"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

// isReplicated reports whether discovery is a list service of several replicas.
func isReplicated(addresses string) bool { return strings.Contains(addresses, ",") }

// follow watches a list service of several replicas, or one that sends settings too, until ctx ends. The client chooses the
// replica, retries, and checks lists for plausibility.
func (w *watcher) follow(ctx context.Context, addresses string) {
	all, err := client.Addresses(addresses)
	if err != nil { // the configuration was checked
		logWarning(componentDiscovery, "list service addresses not usable", err)
		<-ctx.Done()
		return
	}
	c := client.New(all)
	defer c.Close()
	var query func() string
	if w.service != nil {
		query = w.service.query
	}
	c.Watch(ctx, w.currentList(), client.Watcher{
		Query: query,
		Apply: func(l api.WatchEvent) error {
			received := &listing{Revision: &l.Revision, Snapshot: l.Snapshot}
			for _, e := range l.Endpoints {
				received.Endpoints = append(received.Endpoints, endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Machine: e.Machine, Cell: e.Cell,
					Status: e.Status, StartedMs: float64(e.StartedMs), Weight: e.Weight})
			}
			if err := received.check(); err != nil {
				return err
			}
			w.index = l.Revision
			w.report(w.dir.apply(received))
			w.service.onDocuments(l.Documents)
			return nil
		},
		OnEstablished: func() { w.report(balancer.EndpointUpdate{Kind: balancer.Delta}) },
		OnError: func(at string, why error) {
			logAttrs(slog.LevelWarn, componentDiscovery, "watch ended", slog.String("peer", at), slog.Any("err", why))
		},
	})
}

// currentList returns the list in use, with the revision of discovery; nil: there is none.
func (w *watcher) currentList() *api.WatchEvent {
	complete := w.dir.full()
	if len(complete.Endpoints) == 0 {
		return nil
	}
	l := &api.WatchEvent{Revision: w.index, Snapshot: true}
	for _, e := range complete.Endpoints {
		l.Endpoints = append(l.Endpoints, api.Endpoint{Name: e.Name, Status: e.Status})
	}
	return l
}
