package client

import "mosslead/internal/registry/api"

// doubt knows the list that is believed, and what of the next message to believe. What it was told draining or gone
// binds at once, whatever else is doubted: to stop sending to one too many costs little.
type doubt struct {
	known bool // there is a list
	index int64
	ready map[string]bool // entries, and whether they are ready
}

// start is the list that is in use before the first message.
func (d *doubt) start(l api.Listing) {
	d.known = true
	d.take(l)
}

// take believes a message.
func (d *doubt) take(l api.Listing) {
	d.index, d.known = l.Index, true
	if l.Snapshot || d.ready == nil {
		d.ready = map[string]bool{}
	}
	for _, e := range l.Endpoints {
		if e.Status == api.Gone {
			delete(d.ready, e.Name)
		} else {
			d.ready[e.Name] = e.Status == api.Ready
		}
	}
}

func usable(l api.Listing) (n int) {
	for _, e := range l.Endpoints {
		if e.Status == api.Ready {
			n++
		}
	}
	return n
}

func (d *doubt) usable() (n int) {
	for _, ready := range d.ready {
		if ready {
			n++
		}
	}
	return n
}

// why says what is strange about a message; "": nothing.
func (d *doubt) why(l api.Listing) string {
	switch {
	case !d.known:
		return ""
	case l.Index < d.index:
		return "its version goes back"
	case l.Snapshot && usable(l) == 0 && d.usable() > 0:
		return "it empties at once"
	}
	return ""
}

// bind is what of a doubted message holds all the same; false: nothing.
func (d *doubt) bind(l api.Listing) (api.Listing, bool) {
	c := api.Listing{Index: d.index, Endpoints: []api.Entry{}}
	for _, e := range l.Endpoints {
		if ready, listed := d.ready[e.Name]; listed && ready && e.Status != api.Ready {
			c.Endpoints = append(c.Endpoints, e)
		}
	}
	d.take(c)
	return c, len(c.Endpoints) > 0
}
