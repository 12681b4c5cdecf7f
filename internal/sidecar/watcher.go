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
	baseRewatchDelay = 250 * time.Millisecond // first pause between watches, if lists are pushed
	maxRewatchDelay  = 2 * time.Second        // maximum to which that pause grows
	// subscribeStep and subscribeCalls apply to discovery on demand. It answers calls in turn, so each call is given twice
	// watch.Step for its answer. After subscribeCalls failed calls the balancer decides when to subscribe again. The longest
	// delay is still watch.NotifyDeadline:
	//
	//	the last call before discovery returns is unanswered    2.5 s (also a connection that is never established)
	//	the back-off of the balancer                            3.0 s (balancer's maxPollBackoff, with jitter)
	//	remaining for connecting and one list                   0.5 s
	//
	// A call whose connection is refused or reset, or whose answer is an error or a malformed list, ends at once, so that only
	// the back-off counts. A change of address does not wait for the back-off: see awaitSubscribe.
	subscribeStep  = watch.Silence
	subscribeCalls = 2
)

// watcher follows the list of discovery. Each watch has a connection of its own, so that the HTTP library never retries a call.
// subscribe, move, setDrainGrace and source are safe for concurrent use; the rest belongs to the goroutine of run.
type watcher struct {
	dir               *endpointDirectory
	settings          *settingsFollower // nil if only the list is requested
	client            *http.Client
	revision          int64 // revision of the list
	report            func(balancer.EndpointUpdate)
	subscribeRequests chan struct{} // buffer of one; signals that the balancer subscribes
	addressChanges    chan struct{} // buffer of one; signals that address has changed
	graceChanges      chan struct{} // buffer of one; signals that drainGrace has changed

	mu                 sync.Mutex
	address            string
	drainGrace         time.Duration           // time within which requests to an upstream that drains have to stop
	endWatch           context.CancelCauseFunc // ends the watch at the present address; nil if none is open
	continuesElsewhere bool                    // the open watch moves to another address by itself, unless that address has several replicas
}

// errMoved is the cause that ends a watch because the address has changed. It is not a failure: the list stays in use,
// and another watch starts at the new address.
var errMoved = errors.New("discovery has moved")

func newWatcher(c *Config, dir *endpointDirectory, report func(balancer.EndpointUpdate)) *watcher {
	w := &watcher{address: c.Discovery, drainGrace: c.Settings.DrainGrace, dir: dir, report: report,
		subscribeRequests: make(chan struct{}, 1), addressChanges: make(chan struct{}, 1), graceChanges: make(chan struct{}, 1)}
	if c.Known != nil {
		w.revision = *c.Known.Revision
	}
	w.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.dial.dialTimeout(ctx, c.Settings.ConnectTimeout, network, address)
		},
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
	}}
	return w
}

// subscribe starts a watch. It does not block; the balancer calls it again only after a failure has been reported.
func (w *watcher) subscribe() {
	wake(w.subscribeRequests)
}

// move continues the watch at another address.
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
	wake(w.addressChanges)
}

// setDrainGrace sets the time within which requests to an upstream that drains have to stop.
func (w *watcher) setDrainGrace(grace time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if grace != w.drainGrace {
		w.drainGrace = grace
		wake(w.graceChanges)
	}
}

// timing returns the time-outs of a watch if lists are pushed: a drain is then binding from when discovery's agent has it.
func (w *watcher) timing() watch.Timing {
	w.mu.Lock()
	defer w.mu.Unlock()
	return watch.TimingWithin(w.drainGrace)
}

// source returns the address of discovery.
func (w *watcher) source() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}

// currentAddress returns the address of discovery, a context for the watch there, which ends if the watch has to move to
// another address, and the function that cancels it.
func (w *watcher) currentAddress(ctx context.Context) (address string, watchCtx context.Context, end context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	watchCtx, w.endWatch = context.WithCancelCause(ctx)
	select {
	case <-w.addressChanges: // this change needs no signal, since the present address is returned
	default:
	}
	return w.address, watchCtx, w.endWatch
}

// setContinues sets whether the open watch moves to another address by itself, see watch.Follower.AddressChanged.
func (w *watcher) setContinues(continues bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.continuesElsewhere = continues
}

// run watches until ctx ends. With onDemand, each watch starts when the balancer subscribes; the balancer also decides when
// to watch again after a failure.
func (w *watcher) run(ctx context.Context, onDemand bool) {
	moved := false // the last watch ended because the address has changed; the next one starts without a call of subscribe
	for ctx.Err() == nil {
		if onDemand && !moved && !w.awaitSubscribe(ctx) {
			return
		}
		address, watchCtx, end := w.currentAddress(ctx)
		if isReplicated(address) || w.settings != nil {
			w.follow(watchCtx, address)
		} else {
			w.watch(watchCtx, onDemand)
		}
		moved = errors.Is(context.Cause(watchCtx), errMoved)
		end(nil)
		if onDemand && !moved && ctx.Err() == nil {
			w.report(balancer.EndpointUpdate{Kind: balancer.WatchFailed})
		}
	}
}

// awaitSubscribe blocks until the balancer subscribes; it returns false if ctx ended first. The balancer's back-off after a
// failure does not apply to another address: after a change of address the balancer gets the cached list, upon which it
// subscribes at once.
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

// watch follows the list, at one address at a time, until ctx ends or, on demand, until subscribeCalls have failed.
func (w *watcher) watch(ctx context.Context, onDemand bool) {
	w.setContinues(true)
	defer w.setContinues(false)
	delay, lastAddress := baseRewatchDelay, ""
	f := watch.Follower[listing]{Client: w.client, MaxMessageBytes: maxList, AddressChanged: w.addressChanges,
		Address: func() string {
			address := w.source()
			if address != lastAddress && lastAddress != "" {
				logWarning(componentDiscovery, "watch continues at another address", errMoved)
				delay = baseRewatchDelay
			}
			lastAddress = address
			return address
		},
		Revision: func() int64 { return w.revision },
		Apply: func(_ string, l *listing) error {
			if err := l.check(); err != nil { // the last good list stays in use, and changes are requested from its revision on
				return fmt.Errorf("malformed list: %w", err)
			}
			delay = baseRewatchDelay
			w.revision = *l.Revision
			w.report(w.dir.apply(l))
			return nil
		},
		OnEstablished: func() {
			delay = baseRewatchDelay
			w.report(balancer.EndpointUpdate{Kind: balancer.Delta})
		},
		OnError: func(_ string, err error) { logWarning(componentDiscovery, "watch ended", err) },
		Wait: func() time.Duration {
			current := delay
			delay = min(2*delay, maxRewatchDelay)
			return current
		},
	}
	if onDemand { // a drain is binding once the list is received, or watch.NotifyDeadline later
		f.Step, f.MaxCalls = subscribeStep, subscribeCalls
	} else {
		f.Timing, f.TimingChanged = w.timing, w.graceChanges
	}
	if err := f.Follow(ctx); errors.Is(err, errMoved) {
		logWarning(componentDiscovery, "watch ended", err)
	}
}
