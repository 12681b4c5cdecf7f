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
	// maxListBytes bounds one message: twice the most entries that the service holds.
	maxListBytes = 8 << 20

	// callTimeout is the longest time from one call of a watch to the next, at another replica, whatever the first comes
	// to. It keeps the bound of watch.Told: a list arrives within that time once a majority of replicas has it and can be
	// reached, even if the calls before go to all the others. The longest case with five replicas:
	//
	//	a watch that has just fallen silent                        2.5 s (watch.Silence; or a call: callTimeout)
	//	two replicas that are unreachable, fail or don't answer    3.0 s (2 * callTimeout, including the wait between)
	//	left for connecting and one list                           0.5 s
	//
	// Of an implausible list, what drains applies at once; the second read lasts verifyTimeout at most.
	callTimeout   = 1500 * time.Millisecond
	verifyTimeout = time.Second
)

// Watcher receives the events of a watch. Its functions are called one at a time, by the goroutine of the watch.
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
	inUse := &plausibility{}
	if start != nil {
		inUse.accept(*start)
	}
	var retry backoff
	f := watch.Follower[api.WatchEvent]{Client: c.http, Step: callTimeout, MaxMessageBytes: maxListBytes, Address: c.currentAddress, OnEstablished: w.OnEstablished, Query: w.Query,
		Revision: func() int64 {
			if inUse.revision > 0 {
				return inUse.revision
			}
			return -1
		},
		Apply: func(from string, l *api.WatchEvent) error {
			if anomaly := inUse.anomaly(*l); anomaly != "" {
				return c.verify(ctx, from, inUse, w, *l, anomaly)
			}
			if err := w.Apply(*l); err != nil {
				return err
			}
			inUse.accept(*l)
			return nil
		},
		OnError: func(at string, why error) {
			w.OnError(at, why)
			c.switchFrom(at)
		},
		Wait: func() time.Duration { return watchWait(&retry, time.Now(), rand.Float64()) },
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

// maxRegionBytes bounds one message of a whole region in bytes: all settings, at worst six bytes for each byte of them in JSON,
// and all entries.
const maxRegionBytes = 64 << 20

// Region follows what a service's own region writes, until ctx ends: from tells which revision is replicated,
// or -1 for the full list. w.Apply alone judges what of it to believe; w.Query is not used. onHeard is called
// for each line.
func (c *Client) Region(ctx context.Context, from func() int64, w Watcher, onHeard func()) {
	var retry backoff
	f := watch.Follower[api.WatchEvent]{Client: c.http, Step: callTimeout, MaxMessageBytes: maxRegionBytes, Address: c.currentAddress, OnEstablished: w.OnEstablished, Revision: from, OnLine: onHeard,
		Query: func() string { return "&own=1" },
		Apply: func(_ string, l *api.WatchEvent) error { return w.Apply(*l) },
		OnError: func(at string, why error) {
			w.OnError(at, why)
			c.switchFrom(at)
		},
		Wait: func() time.Duration { return watchWait(&retry, time.Now(), rand.Float64()) },
	}
	_ = f.Follow(ctx) // ends with ctx alone
}

// watchWait returns the wait after a watch that ended: the back-off's, cut to callTimeout with jitter, so that the calls of
// a fleet stay spread over time.
func watchWait(b *backoff, now time.Time, chance float64) time.Duration {
	return min(b.next(now, chance), time.Duration((1+chance)/2*float64(callTimeout)))
}

// verify keeps the list in use, but for endpoints that drain, and reads the list a second time, from another replica if
// there is one. The second list is applied if it is plausible or shows the same anomaly; any other anomaly rejects both.
func (c *Client) verify(ctx context.Context, at string, inUse *plausibility, w Watcher, l api.WatchEvent, anomaly string) error {
	w.OnError(at, fmt.Errorf("list %d is doubted: %s", l.Revision, anomaly))
	if drains, any := inUse.drainsOnly(l); any {
		if err := w.Apply(drains); err != nil {
			return err
		}
	}
	other := c.otherAddress(at)
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	var second api.WatchEvent
	if err := c.attempt(ctx, other, http.MethodGet, "/api/targets", nil, &second); err != nil {
		return fmt.Errorf("reading a second time, at %s: %w", other, err)
	}
	second.Snapshot = true
	reason := "another replica knows better"
	switch found := inUse.anomaly(second); found {
	case "":
	case anomaly:
		reason = "confirmed by a second read"
	default:
		return fmt.Errorf("list %d of %s is strange in another way: %s", second.Revision, other, found)
	}
	if err := w.Apply(second); err != nil {
		return err
	}
	inUse.accept(second)
	return fmt.Errorf("list %d is believed: %s", second.Revision, reason)
}
