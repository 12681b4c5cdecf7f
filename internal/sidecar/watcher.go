package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"mosslead/balancer"
	"mosslead/internal/watch"
)

const (
	maxList          = 4 << 20                // bytes of one message
	baseRewatchDelay = 250 * time.Millisecond // where lists are pushed: the wait before an agent that ended a watch is asked again
	maxRewatchDelay  = 2 * time.Second        // what it has binds, whether or not it is asked
	// Where the list comes only to those who ask, a call is work, and discovery works through calls in turn: it gets twice
	// as long to answer, and after two the balancer decides when to ask again. Of watch.Told, at the longest:
	//
	//	the last call before the return is never answered     2.5 s (a connection that never comes up: as long at the most)
	//	the balancer waits                                      3.0 s (balancer's askMax, and half as much by chance)
	//	connecting, and one list from an agent that has it    0.5 s are left
	//
	// Refused, reset, ended, an error or a spoilt list are over at once, so that the balancer's wait is all. A move does not wait
	// for the balancer: see turned.
	subscribeStep  = watch.Silence
	subscribeCalls = 2
)

// watcher follows discovery. Each watch has a connection of its own, so that no library repeats a call by
// itself.
type watcher struct {
	dir               *endpointDirectory
	service           *settingsFollower // nil: only the list is requested
	client            *http.Client
	index             int64
	report            func(balancer.EndpointUpdate)
	subscribeRequests chan struct{} // holds one: the balancer asked for a watch
	addressChanges    chan struct{} // holds one: discovery has moved

	mu                 sync.Mutex
	address            string
	endWatch           context.CancelCauseFunc // ends the watch of the address in use; nil: none is open
	continuesElsewhere bool                    // that watch continues at another address by itself, unless that is of several replicas
}

// errMoved ends a watch that can't go on from an address that is discovery's no longer. It is no failure: the list stands, and
// another watch begins at the new address.
var errMoved = errors.New("discovery has moved")

func newWatcher(c *Config, dir *endpointDirectory, report func(balancer.EndpointUpdate)) *watcher {
	w := &watcher{address: c.Discovery, dir: dir, report: report,
		subscribeRequests: make(chan struct{}, 1), addressChanges: make(chan struct{}, 1)}
	if c.Known != nil {
		w.index = *c.Known.Revision
	}
	w.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.dial.within(ctx, c.Settings.ConnectTimeout, network, address)
		},
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
	}}
	return w
}

// subscribe starts a watch. It does not block: the balancer asks again only once it has been told of a failure.
func (w *watcher) subscribe() {
	select {
	case w.subscribeRequests <- struct{}{}:
	default:
	}
}

// move goes on with the watch at another address.
func (w *watcher) move(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return
	}
	w.address = address
	if w.endWatch != nil && (!w.continuesElsewhere || isReplicated(address)) {
		w.endWatch(errMoved)
	}
	select {
	case w.addressChanges <- struct{}{}:
	default:
	}
}

// source is the address of discovery.
func (w *watcher) source() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}

// currentAddress is the address of discovery, and a context that ends when the watch there can't go on at the next one.
func (w *watcher) currentAddress(ctx context.Context) (address string, at context.Context, end context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, w.endWatch = context.WithCancelCause(ctx)
	select {
	case <-w.addressChanges: // it is known here
	default:
	}
	return w.address, at, w.endWatch
}

// setContinues says whether the watch that is open goes on at another address by itself, see Follower.Moved.
func (w *watcher) setContinues(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.continuesElsewhere = on
}

// run watches until ctx ends. Where the balancer asks for the list, it also decides when to ask again once that has failed.
func (w *watcher) run(ctx context.Context, onDemand bool) {
	standing := false // a watch that the balancer asked for goes on elsewhere
	for ctx.Err() == nil {
		if onDemand && !standing && !w.awaitSubscribe(ctx) {
			return
		}
		address, at, end := w.currentAddress(ctx)
		if isReplicated(address) || w.service != nil {
			w.follow(at, address)
		} else {
			w.watch(at, onDemand)
		}
		standing = errors.Is(context.Cause(at), errMoved)
		end(nil)
		if onDemand && !standing && ctx.Err() == nil {
			w.report(balancer.EndpointUpdate{Kind: balancer.WatchFailed})
		}
	}
}

// awaitSubscribe waits until the balancer asks for a watch; false: ctx ended before. The module waits after a failure, which says
// nothing of another address: once discovery has moved it is given the list that it has, at which it asks at once.
func (w *watcher) awaitSubscribe(ctx context.Context) bool {
	for {
		select {
		case <-w.subscribeRequests:
			return true
		case <-w.addressChanges:
			w.report(w.dir.cachedUpdate())
		case <-ctx.Done():
			return false
		}
	}
}

// watch follows the list, at one address at a time, until ctx ends or, where the balancer asks, until it can't.
func (w *watcher) watch(ctx context.Context, onDemand bool) {
	w.setContinues(true)
	defer w.setContinues(false)
	wait, last := baseRewatchDelay, ""
	f := watch.Follower[listing]{Client: w.client, MaxMessageBytes: maxList, AddressChanged: w.addressChanges,
		Address: func() string {
			at := w.source()
			if at != last && last != "" {
				logWarning(ofDiscovery, "watch continues at another address", errMoved)
				wait = baseRewatchDelay
			}
			last = at
			return at
		},
		Revision: func() int64 { return w.index },
		Apply: func(_ string, l *listing) error {
			if err := l.check(); err != nil { // the last good list stays, and is asked for again from its version on
				return fmt.Errorf("malformed list: %w", err)
			}
			wait = baseRewatchDelay
			w.index = *l.Revision
			w.report(w.dir.apply(l))
			return nil
		},
		OnEstablished: func() {
			wait = baseRewatchDelay
			w.report(balancer.EndpointUpdate{Kind: balancer.Delta})
		},
		OnError: func(_ string, why error) { logWarning(ofDiscovery, "watch ended", why) },
		Wait: func() time.Duration {
			now := wait
			wait = min(2*wait, maxRewatchDelay)
			return now
		},
	}
	if onDemand {
		f.Step, f.MaxCalls = subscribeStep, subscribeCalls
	}
	if err := f.Follow(ctx); errors.Is(err, errMoved) {
		logWarning(ofDiscovery, "watch ended", err)
	}
}
