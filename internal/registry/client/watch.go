package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/watch"
)

const (
	// maxList bounds one message: twice the most entries that the service holds.
	maxList = 8 << 20

	// callTimeout is how long after a call of a watch the next is made at another replica at the latest, whatever comes of it. A
	// list is in flight within watch.Told of the moment at which most replicas have it and can be reached, also where the calls
	// before that meet all the others. Of five replicas, at the longest:
	//
	//	the watch that has fallen silent just before            2.5 s (watch.Silence; or a call: callTimeout)
	//	two replicas that can't be reached, fail or say nothing 3.0 s (2 * callTimeout, with the wait after an end in it)
	//	connecting, and one list                                0.5 s are left
	//
	// A list that is doubted binds at once in what drains; reading it a second time lasts verifyTimeout at the most.
	callTimeout   = 1500 * time.Millisecond
	verifyTimeout = time.Second
)

// Watcher follows the list. Its functions are called one at a time.
type Watcher struct {
	// Apply takes in an event. An error says that the event is unusable, and is reported; the watch continues at
	// another replica.
	Apply func(l api.WatchEvent) error
	// OnEstablished is called once for each watch that is established and has no change.
	OnEstablished func()
	// Query is what each call of the watch requests beside the list, as Service encodes it; nil: nothing.
	Query func() string
	// OnError is called with why a watch ended, or what of a list is implausible.
	OnError func(at string, why error)
}

// Watch follows the list until ctx ends. start is the list that is in use before, if any: changes since its
// revision are requested, unless that is 0, of a list from elsewhere. When a watch is silent, the next is
// opened at another replica.
func (c *Client) Watch(ctx context.Context, start *api.WatchEvent, w Watcher) {
	d := &plausibility{}
	if start != nil {
		d.start(*start)
	}
	var p pace
	f := watch.Follower[api.WatchEvent]{Client: c.http, Step: callTimeout, MaxMessageBytes: maxList, Address: c.at, OnEstablished: w.OnEstablished, Query: w.Query,
		Revision: func() int64 {
			if d.index > 0 {
				return d.index
			}
			return -1
		},
		Apply: func(from string, l *api.WatchEvent) error {
			if strange := d.anomaly(*l); strange != "" {
				return c.verify(ctx, from, d, w, *l, strange)
			}
			if err := w.Apply(*l); err != nil {
				return err
			}
			d.accept(*l)
			return nil
		},
		OnError: func(at string, why error) {
			w.OnError(at, why)
			c.next(at)
		},
		Wait: func() time.Duration { return watchWait(&p, time.Now(), rand.Float64()) },
	}
	_ = f.Follow(ctx) // ends with ctx alone
}

// Service encodes a request for the settings of a service: cached are those that are known already, if any
// are.
func Service(name string, cached api.Document) string {
	q := "&service=" + url.QueryEscape(name) + "&held="
	if cached.Revision > 0 {
		q += url.QueryEscape(cached.Region + "@" + strconv.FormatInt(cached.Revision, 10))
	}
	return q
}

// maxRegion bounds one message of a whole region: the most settings, each byte worded by six at the worst, and entries.
const maxRegion = 64 << 20

// Region follows what a service's own region writes, until ctx ends: from tells which revision is replicated,
// or -1 for the full list. w.Apply alone judges what of it to believe; w.Query is not used. onHeard is called
// for each line.
func (c *Client) Region(ctx context.Context, from func() int64, w Watcher, onHeard func()) {
	var p pace
	f := watch.Follower[api.WatchEvent]{Client: c.http, Step: callTimeout, MaxMessageBytes: maxRegion, Address: c.at, OnEstablished: w.OnEstablished, Revision: from, OnLine: onHeard,
		Query: func() string { return "&own=1" },
		Apply: func(_ string, l *api.WatchEvent) error { return w.Apply(*l) },
		OnError: func(at string, why error) {
			w.OnError(at, why)
			c.next(at)
		},
		Wait: func() time.Duration { return watchWait(&p, time.Now(), rand.Float64()) },
	}
	_ = f.Follow(ctx) // ends with ctx alone
}

// watchWait is the wait after a watch that ended: a pace's, cut short by chance, so that a fleet stays spread over it.
func watchWait(p *pace, now time.Time, chance float64) time.Duration {
	return min(p.next(now, chance), time.Duration((1+chance)/2*float64(callTimeout)))
}

// verify lets the list in use go on, but for endpoints that drain, and reads a second time, from another
// replica if there is one. What is implausible there in the same way is believed; else the second list is.
func (c *Client) verify(ctx context.Context, at string, d *plausibility, w Watcher, l api.WatchEvent, strange string) error {
	w.OnError(at, fmt.Errorf("list %d is doubted: %s", l.Revision, strange))
	if bound, any := d.drainsOnly(l); any {
		if err := w.Apply(bound); err != nil {
			return err
		}
	}
	again := c.other(at)
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	var second api.WatchEvent
	if err := c.attempt(ctx, again, http.MethodGet, "/api/targets", nil, &second); err != nil {
		return fmt.Errorf("reading a second time, at %s: %w", again, err)
	}
	second.Snapshot = true
	if still := d.anomaly(second); still != "" && still != strange {
		return fmt.Errorf("list %d of %s is strange in another way: %s", second.Revision, again, still)
	} else if still == "" {
		strange = "another replica knows better"
	} else {
		strange = "confirmed by a second read"
	}
	if err := w.Apply(second); err != nil {
		return err
	}
	d.accept(second)
	return fmt.Errorf("list %d is believed: %s", second.Revision, strange)
}
