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

	// callMost is how long after a call of a watch the next is made at another replica at the latest, whatever comes of it. A
	// list is in hand within watch.Told of the moment at which most replicas have it and can be reached, also where the calls
	// before that meet all the others. Of five replicas, at the longest:
	//
	//	the watch that has fallen silent just before            2.5 s (watch.Silence; or a call: callMost)
	//	two replicas that can't be reached, fail or say nothing 3.0 s (2 * callMost, with the wait after an end in it)
	//	connecting, and one list                                0.5 s are left
	//
	// A list that is doubted binds at once in what drains; reading it a second time lasts readPatience at the most.
	callMost     = 1500 * time.Millisecond
	readPatience = time.Second
)

// Watcher is who follows the list. Calls come one at a time.
type Watcher struct {
	// Take takes a message in. An error means that it is of no use to the watcher, and is said; the watch goes on
	// elsewhere.
	Take func(l api.Listing) error
	// Stands is called once for each watch that was taken up, and has no news.
	Stands func()
	// Query is what each call of the watch asks for beside the list, as Service words it; nil: nothing.
	Query func() string
	// Says is told why a watch ended, or what of a list is doubted.
	Says func(at string, why error)
}

// Watch follows the list until ctx ends. start is the list that is in use before, if any: its version is asked on from,
// unless it is 0: that of a list from elsewhere. Where a watch is silent, the next is opened at another replica.
func (c *Client) Watch(ctx context.Context, start *api.Listing, w Watcher) {
	d := &doubt{}
	if start != nil {
		d.start(*start)
	}
	var p pace
	f := watch.Follower[api.Listing]{Client: c.http, Step: callMost, Most: maxList, At: c.at, Stands: w.Stands, Query: w.Query,
		From: func() int64 {
			if d.index > 0 {
				return d.index
			}
			return -1
		},
		Take: func(from string, l *api.Listing) error {
			if strange := d.why(*l); strange != "" {
				return c.doubted(ctx, from, d, w, *l, strange)
			}
			if err := w.Take(*l); err != nil {
				return err
			}
			d.take(*l)
			return nil
		},
		Says: func(at string, why error) {
			w.Says(at, why)
			c.next(at)
		},
		Wait: func() time.Duration { return watchWait(&p, time.Now(), rand.Float64()) },
	}
	_ = f.Follow(ctx) // ends with ctx alone
}

// Service words a wish to hear of the settings of a service: held are those that are known already, if any are.
func Service(name string, held api.Document) string {
	q := "&service=" + url.QueryEscape(name) + "&held="
	if held.Version > 0 {
		q += url.QueryEscape(held.Region + "@" + strconv.FormatInt(held.Version, 10))
	}
	return q
}

// maxRegion bounds one message of a whole region: the most settings, each byte worded by six at the worst, and entries.
const maxRegion = 64 << 20

// Region follows what a service's own region writes, until ctx ends: from tells which version is held, or -1 for all of it. w.Take
// judges alone what of it to believe; w.Query is not asked. heard is called for each sign of life.
func (c *Client) Region(ctx context.Context, from func() int64, w Watcher, heard func()) {
	var p pace
	f := watch.Follower[api.Listing]{Client: c.http, Step: callMost, Most: maxRegion, At: c.at, Stands: w.Stands, From: from, Heard: heard,
		Query: func() string { return "&own=1" },
		Take:  func(_ string, l *api.Listing) error { return w.Take(*l) },
		Says: func(at string, why error) {
			w.Says(at, why)
			c.next(at)
		},
		Wait: func() time.Duration { return watchWait(&p, time.Now(), rand.Float64()) },
	}
	_ = f.Follow(ctx) // ends with ctx alone
}

// watchWait is the wait after a watch that ended: a pace's, cut short by chance, so that a fleet stays spread over it.
func watchWait(p *pace, now time.Time, chance float64) time.Duration {
	return min(p.next(now, chance), time.Duration((1+chance)/2*float64(callMost)))
}

// doubted lets the list in use go on, but for what binds, and reads a second time, from another replica if there is
// one. What is strange there in the same way is believed; else the second list is.
func (c *Client) doubted(ctx context.Context, at string, d *doubt, w Watcher, l api.Listing, strange string) error {
	w.Says(at, fmt.Errorf("list %d is doubted: %s", l.Index, strange))
	if bound, any := d.bind(l); any {
		if err := w.Take(bound); err != nil {
			return err
		}
	}
	again := c.other(at)
	ctx, cancel := context.WithTimeout(ctx, readPatience)
	defer cancel()
	var second api.Listing
	if err := c.try(ctx, again, http.MethodGet, "/api/targets", nil, &second); err != nil {
		return fmt.Errorf("reading a second time, at %s: %w", again, err)
	}
	second.Snapshot = true
	if still := d.why(second); still != "" && still != strange {
		return fmt.Errorf("list %d of %s is strange in another way: %s", second.Index, again, still)
	} else if still == "" {
		strange = "another replica knows better"
	} else {
		strange = "confirmed by a second read"
	}
	if err := w.Take(second); err != nil {
		return err
	}
	d.take(second)
	return fmt.Errorf("list %d is believed: %s", second.Index, strange)
}
