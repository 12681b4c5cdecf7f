package client

import "mosslead/internal/registry/api"

// plausibility checks list messages against the list in use.
type plausibility struct {
	hasList  bool // there is a list
	revision int64
	ready    map[string]bool // whether an entry is ready, by name
}

// accept applies a message to the list in use, or makes it the first one.
func (d *plausibility) accept(l api.WatchEvent) {
	d.revision, d.hasList = l.Revision, true
	if l.Snapshot || d.ready == nil {
		d.ready = map[string]bool{}
	}
	for _, e := range l.Endpoints {
		if e.Status == api.Removed {
			delete(d.ready, e.Name)
		} else {
			d.ready[e.Name] = e.Status == api.Ready
		}
	}
}

func countReady(l api.WatchEvent) (n int) {
	for _, e := range l.Endpoints {
		if e.Status == api.Ready {
			n++
		}
	}
	return n
}

func (d *plausibility) countReady() (n int) {
	for _, ready := range d.ready {
		if ready {
			n++
		}
	}
	return n
}

// anomaly returns what makes a message implausible, and "" if nothing does.
func (d *plausibility) anomaly(l api.WatchEvent) string {
	switch {
	case !d.hasList:
		return ""
	case l.Revision < d.revision:
		return "its version goes back"
	case l.Snapshot && countReady(l) == 0 && d.countReady() > 0:
		return "it empties at once"
	}
	return ""
}

// drainsOnly returns the part of an implausible message that is applied all the same: servers that stop being ready. It
// returns false if there are none.
func (d *plausibility) drainsOnly(l api.WatchEvent) (api.WatchEvent, bool) {
	c := api.WatchEvent{Revision: d.revision, Endpoints: []api.Endpoint{}}
	for _, e := range l.Endpoints {
		if ready, listed := d.ready[e.Name]; listed && ready && e.Status != api.Ready {
			c.Endpoints = append(c.Endpoints, e)
		}
	}
	d.accept(c)
	return c, len(c.Endpoints) > 0
}
