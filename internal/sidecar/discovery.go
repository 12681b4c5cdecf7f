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
	maxList      = 4 << 20                // bytes of one message
	rewatchFirst = 250 * time.Millisecond // where lists are pushed: the wait before an agent that ended a watch is asked again
	rewatchMost  = 2 * time.Second        // what it has binds, whether or not it is asked
	// Where the list comes only to those who ask, a call is work, and discovery works through calls in turn: it gets twice
	// as long to answer, and after two the module decides when to ask again. Of watch.Told, at the longest:
	//
	//	the last call before the return is never answered     2.5 s (a connection that never comes up: as long at the most)
	//	the module waits                                      3.0 s (balancer's askMax, and half as much by chance)
	//	connecting, and one list from an agent that has it    0.5 s are left
	//
	// Refused, reset, ended, an error or a spoilt list are over at once, so that the module's wait is all. A move does not wait
	// for the module: see turned.
	askStep  = watch.Silence
	askTries = 2
)

// watcher follows discovery. Each watch has a connection of its own, so that no library sends a call again by itself.
type watcher struct {
	dir     *directory
	service *service // nil: the list is all that is asked for
	client  *http.Client
	index   int64
	report  func(balancer.EndpointUpdate)
	asked   chan struct{} // holds one: the module asked for a watch
	turned  chan struct{} // holds one: discovery has moved

	mu      sync.Mutex
	address string
	moved   context.CancelCauseFunc // ends the watch of the address in use; nil: none is open
	goesOn  bool                    // that watch goes on at another address by itself, unless that is of several replicas
}

// errMoved ends a watch that can't go on from an address that is discovery's no longer. It is no failure: the list stands, and
// another watch begins at the new address.
var errMoved = errors.New("discovery has moved")

func newWatcher(c *Config, dir *directory, report func(balancer.EndpointUpdate)) *watcher {
	w := &watcher{address: c.Discovery, dir: dir, report: report,
		asked: make(chan struct{}, 1), turned: make(chan struct{}, 1)}
	if c.Known != nil {
		w.index = *c.Known.Index
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

// ask starts a watch. It does not block: the module asks again only once it has been told of a failure.
func (w *watcher) ask() {
	select {
	case w.asked <- struct{}{}:
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
	if w.moved != nil && (!w.goesOn || several(address)) {
		w.moved(errMoved)
	}
	select {
	case w.turned <- struct{}{}:
	default:
	}
}

// source is the address of discovery.
func (w *watcher) source() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}

// here is the address of discovery, and a context that ends when the watch there can't go on at the next one.
func (w *watcher) here(ctx context.Context) (address string, at context.Context, end context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, w.moved = context.WithCancelCause(ctx)
	select {
	case <-w.turned: // it is known here
	default:
	}
	return w.address, at, w.moved
}

// goOn says whether the watch that is open goes on at another address by itself, see Follower.Moved.
func (w *watcher) goOn(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.goesOn = on
}

// run watches until ctx ends. Where the module asks for the list, it also decides when to ask again once that has failed.
func (w *watcher) run(ctx context.Context, moduleAsks bool) {
	standing := false // a watch that the module asked for goes on elsewhere
	for ctx.Err() == nil {
		if moduleAsks && !standing && !w.wanted(ctx) {
			return
		}
		address, at, end := w.here(ctx)
		if several(address) || w.service != nil {
			w.follow(at, address)
		} else {
			w.watch(at, moduleAsks)
		}
		standing = errors.Is(context.Cause(at), errMoved)
		end(nil)
		if moduleAsks && !standing && ctx.Err() == nil {
			w.report(balancer.EndpointUpdate{Kind: balancer.WatchFailed})
		}
	}
}

// wanted waits until the module asks for a watch; false: ctx ended before. The module waits after a failure, which says
// nothing of another address: once discovery has moved it is given the list that it has, at which it asks at once.
func (w *watcher) wanted(ctx context.Context) bool {
	for {
		select {
		case <-w.asked:
			return true
		case <-w.turned:
			w.report(w.dir.saved())
		case <-ctx.Done():
			return false
		}
	}
}

// watch follows the list, at one address at a time, until ctx ends or, where the module asks, until it can't.
func (w *watcher) watch(ctx context.Context, moduleAsks bool) {
	w.goOn(true)
	defer w.goOn(false)
	wait, last := rewatchFirst, ""
	f := watch.Follower[listing]{Client: w.client, Most: maxList, Moved: w.turned,
		At: func() string {
			at := w.source()
			if at != last && last != "" {
				warn(ofDiscovery, "goes on elsewhere", errMoved)
				wait = rewatchFirst
			}
			last = at
			return at
		},
		From: func() int64 { return w.index },
		Take: func(_ string, l *listing) error {
			if err := l.check(); err != nil { // the last good list stays, and is asked for again from its version on
				return fmt.Errorf("malformed list: %w", err)
			}
			wait = rewatchFirst
			w.index = *l.Index
			w.report(w.dir.apply(l))
			return nil
		},
		Stands: func() {
			wait = rewatchFirst
			w.report(balancer.EndpointUpdate{Kind: balancer.Delta})
		},
		Says: func(_ string, why error) { warn(ofDiscovery, "watch ended", why) },
		Wait: func() time.Duration {
			now := wait
			wait = min(2*wait, rewatchMost)
			return now
		},
	}
	if moduleAsks {
		f.Step, f.Tries = askStep, askTries
	}
	if err := f.Follow(ctx); errors.Is(err, errMoved) {
		warn(ofDiscovery, "watch ended", err)
	}
}
