package client

import "mosslead/internal/registry/api"

// plausibility judges lists against the one in use.
type plausibility struct {
	known bool // there is a list
	index int64
	ready map[string]bool // entries, and whether they are ready
}

// start is the list that is in use before the first message.
func (d *plausibility) start(l api.WatchEvent) {
	d.known = true
	d.accept(l)
}

// accept believes a message.
func (d *plausibility) accept(l api.WatchEvent) {
	d.index, d.known = l.Revision, true
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

func usable(l api.WatchEvent) (n int) {
	for _, e := range l.Endpoints {
		if e.Status == api.Ready {
			n++
		}
	}
	return n
}

func (d *plausibility) usable() (n int) {
	for _, ready := range d.ready {
		if ready {
			n++
		}
	}
	return n
}

// anomaly says what is strange about a message; "": nothing.
func (d *plausibility) anomaly(l api.WatchEvent) string {
	switch {
	case !d.known:
		return ""
	case l.Revision < d.index:
		return "its version goes back"
	case l.Snapshot && usable(l) == 0 && d.usable() > 0:
		return "it empties at once"
	}
	return ""
}

// drainsOnly is what of a doubted message holds all the same; false: nothing.
func (d *plausibility) drainsOnly(l api.WatchEvent) (api.WatchEvent, bool) {
	c := api.WatchEvent{Revision: d.index, Endpoints: []api.Endpoint{}}
	for _, e := range l.Endpoints {
		if ready, listed := d.ready[e.Name]; listed && ready && e.Status != api.Ready {
			c.Endpoints = append(c.Endpoints, e)
		}
	}
	d.accept(c)
	return c, len(c.Endpoints) > 0
}
