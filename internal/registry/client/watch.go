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
	// maxListBytes bounds one message: it is twice the size of the largest list of the service.
	maxListBytes = 8 << 20

	// callTimeout is the longest time from the start of one call of a watch to the next call, at another replica, including the
	// wait between them. With it, watch.NotifyDeadline holds: a list arrives within that time once a majority of replicas has
	// it and can be reached, even if the preceding calls go to all the other replicas. The longest case with five replicas:
	//
	//	a watch that has just become silent                        2.5 s (watch.Silence; callTimeout for a call without a line)
	//	two replicas that are unreachable, fail or don't respond   3.0 s (2 * callTimeout, including the wait between)
	//	remaining for connecting and one list                      0.5 s
	//
	// The draining endpoints of an implausible list are applied at once; its second read (see verify) lasts verifyTimeout at most.
	callTimeout   = 1500 * time.Millisecond
	verifyTimeout = time.Second
)

// Watcher receives the events of a watch. Its functions are called one at a time, by the goroutine of the watch.
type Watcher struct {
	// Apply applies an event. It returns an error if the event is unusable; the error is reported, and the watch
	// continues at another replica.
	Apply func(event api.WatchEvent) error
	// OnEstablished is called once for each watch whose first line is empty, which means no change.
	OnEstablished func()
	// Query returns what each call of the watch requests besides the list, as encoded by Service. It may be nil.
	Query func() string
	// OnError is called with the reason why a watch ended, or why a list is implausible.
	OnError func(address string, reason error)
}

// Watch follows the list until ctx ends. start is the list in use so far, or nil. If its revision is above 0, only
// later changes are requested; a list from another source has revision 0. When a watch is silent, another is opened
// at the next replica.
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
		Apply: func(address string, event *api.WatchEvent) error {
			if anomaly := inUse.anomaly(*event); anomaly != "" {
				return c.verify(ctx, address, inUse, w, *event, anomaly)
			}
			if err := w.Apply(*event); err != nil {
				return err
			}
			inUse.accept(*event)
			return nil
		},
		OnError: func(address string, reason error) {
			w.OnError(address, reason)
			c.switchFrom(address)
		},
		Wait: func() time.Duration { return watchWait(&retry, time.Now(), rand.Float64()) },
	}
	_ = f.Follow(ctx) // ends only when ctx ends
}

// Service returns the query that requests the settings of a service. cached is the document that is known already,
// or the zero value.
func Service(name string, cached api.Document) string {
	query := "&service=" + url.QueryEscape(name) + "&held="
	if cached.Revision > 0 {
		query += url.QueryEscape(cached.Region + "@" + strconv.FormatInt(cached.Revision, 10))
	}
	return query
}

// maxRegionBytes bounds one message with a whole region: all settings, with six bytes of JSON for each of their bytes at worst,
// and all entries.
const maxRegionBytes = 64 << 20

// Region follows the changes that the service's own region writes, until ctx ends. from returns the revision that is
// replicated, or -1 to request the full list. Events are not checked for plausibility before w.Apply; w.Query is not
// used. onHeard is called for each line, including empty ones.
func (c *Client) Region(ctx context.Context, from func() int64, w Watcher, onHeard func()) {
	var retry backoff
	f := watch.Follower[api.WatchEvent]{Client: c.http, Step: callTimeout, MaxMessageBytes: maxRegionBytes, Address: c.currentAddress, OnEstablished: w.OnEstablished, Revision: from, OnLine: onHeard,
		Query: func() string { return "&own=1" },
		Apply: func(_ string, event *api.WatchEvent) error { return w.Apply(*event) },
		OnError: func(address string, reason error) {
			w.OnError(address, reason)
			c.switchFrom(address)
		},
		Wait: func() time.Duration { return watchWait(&retry, time.Now(), rand.Float64()) },
	}
	_ = f.Follow(ctx) // ends only when ctx ends
}

// watchWait returns the wait after a watch that ended: that of the back-off, limited to callTimeout with jitter, so that the
// calls of a fleet stay spread over time.
func watchWait(b *backoff, now time.Time, random float64) time.Duration {
	return min(b.next(now, random), time.Duration((1+random)/2*float64(callTimeout)))
}

// verify handles an implausible list. It applies only the endpoints that drain, and reads the list a second time, from another
// replica if there is one. The second list is applied if it is plausible or has the same anomaly; with any other anomaly, both
// are rejected. The error, which is never nil, is the reason why this watch ends; the next one is opened at another replica.
func (c *Client) verify(ctx context.Context, address string, inUse *plausibility, w Watcher, event api.WatchEvent, anomaly string) error {
	w.OnError(address, fmt.Errorf("list %d is implausible: %s", event.Revision, anomaly))
	if drains, ok := inUse.drainsOnly(event); ok {
		if err := w.Apply(drains); err != nil {
			return err
		}
	}
	other := c.otherAddress(address)
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	var second api.WatchEvent
	if err := c.attempt(ctx, other, http.MethodGet, "/api/targets", nil, &second); err != nil {
		return fmt.Errorf("reading the list a second time, at %s: %w", other, err)
	}
	second.Snapshot = true
	reason := "another replica has a plausible list"
	switch secondAnomaly := inUse.anomaly(second); secondAnomaly {
	case "":
	case anomaly:
		reason = "confirmed by a second read"
	default:
		return fmt.Errorf("list %d of %s has a different anomaly: %s", second.Revision, other, secondAnomaly)
	}
	if err := w.Apply(second); err != nil {
		return err
	}
	inUse.accept(second)
	return fmt.Errorf("list %d is applied: %s", second.Revision, reason)
}
