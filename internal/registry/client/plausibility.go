package client

import "mosslead/internal/registry/api"

// plausibility checks messages of a watch against the list in use.
type plausibility struct {
	hasList  bool // whether there is a list in use
	revision int64
	ready    map[string]bool // whether each entry is ready, by name
}

// accept applies a message to the list in use.
func (p *plausibility) accept(event api.WatchEvent) {
	p.revision, p.hasList = event.Revision, true
	if event.Snapshot || p.ready == nil {
		p.ready = map[string]bool{}
	}
	for _, e := range event.Endpoints {
		if e.Status == api.Removed {
			delete(p.ready, e.Name)
		} else {
			p.ready[e.Name] = e.Status == api.Ready
		}
	}
}

func countReady(event api.WatchEvent) (n int) {
	for _, e := range event.Endpoints {
		if e.Status == api.Ready {
			n++
		}
	}
	return n
}

func (p *plausibility) countReady() (n int) {
	for _, ready := range p.ready {
		if ready {
			n++
		}
	}
	return n
}

// anomaly returns why a message is implausible, or "" if it is plausible.
func (p *plausibility) anomaly(event api.WatchEvent) string {
	switch {
	case !p.hasList:
		return ""
	case event.Revision < p.revision:
		return "its version goes back"
	case event.Snapshot && countReady(event) == 0 && p.countReady() > 0:
		return "it has no ready endpoint, and the list in use has some"
	}
	return ""
}

// drainsOnly accepts and returns the part of an implausible message that is applied nevertheless: the endpoints that stop being
// ready. It returns false if there are none.
func (p *plausibility) drainsOnly(event api.WatchEvent) (api.WatchEvent, bool) {
	drains := api.WatchEvent{Revision: p.revision, Endpoints: []api.Endpoint{}}
	for _, e := range event.Endpoints {
		if ready, listed := p.ready[e.Name]; listed && ready && e.Status != api.Ready {
			drains.Endpoints = append(drains.Endpoints, e)
		}
	}
	p.accept(drains)
	return drains, len(drains.Endpoints) > 0
}
