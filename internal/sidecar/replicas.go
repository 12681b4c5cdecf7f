package sidecar

import (
	"context"
	"log/slog"
	"strings"

	"mosslead/balancer"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

// several tells whether discovery is a list service of several replicas.
func several(addresses string) bool { return strings.Contains(addresses, ",") }

// follow watches a list service until ctx ends, one of several replicas or one that tells settings too. Which replica is asked, when
// again, and what of a list is believed, is the client's to decide.
func (w *watcher) follow(ctx context.Context, addresses string) {
	all, err := client.Addresses(addresses)
	if err != nil { // the configuration was checked
		warn(ofDiscovery, "no list service", err)
		<-ctx.Done()
		return
	}
	c := client.New(all)
	defer c.Close()
	var query func() string
	if w.service != nil {
		query = w.service.query
	}
	c.Watch(ctx, w.inUse(), client.Watcher{
		Query: query,
		Take: func(l api.Listing) error {
			own := &listing{Index: &l.Index, Snapshot: l.Snapshot}
			for _, e := range l.Endpoints {
				own.Endpoints = append(own.Endpoints, endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Type: e.Type, Group: e.Group,
					Status: e.Status, SinceMs: float64(e.SinceMs), Weight: e.Weight})
			}
			if err := own.check(); err != nil {
				return err
			}
			w.index = l.Index
			w.report(w.dir.apply(own))
			w.service.hear(l.Documents)
			return nil
		},
		Stands: func() { w.report(balancer.EndpointUpdate{Kind: balancer.Delta}) },
		Says: func(at string, why error) {
			note(slog.LevelWarn, ofDiscovery, "watch ended", slog.String("peer", at), slog.Any("err", why))
		},
	})
}

// inUse is the list that is in use, under the version that discovery knows it by; nil: there is none.
func (w *watcher) inUse() *api.Listing {
	whole := w.dir.whole()
	if len(whole.Endpoints) == 0 {
		return nil
	}
	l := &api.Listing{Index: w.index, Snapshot: true}
	for _, e := range whole.Endpoints {
		l.Endpoints = append(l.Endpoints, api.Entry{Name: e.Name, Status: e.Status})
	}
	return l
}
