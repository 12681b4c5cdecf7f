package client

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mosslead/internal/registry/api"
)

// Registrar keeps servers registered: it renews the leases of all of them with one call, and registers anew whom the
// service does not know (any more). One goroutine, Run, does all of it.
type Registrar struct {
	c       *Client
	lease   time.Duration
	onError func(name string, err error)
	wake    chan struct{}

	mu       sync.Mutex
	want     map[string]*wish
	versions map[string]int64 // of the entries, as they were last known; absent: there is none
}

// wish is what a server wants to be.
type wish struct {
	g       api.Registration
	status  string // Ready, Terminating or Gone
	settled bool   // the service knows
	silent  bool
}

// NewRegistrar keeps servers registered with c, with leases of that length. says is told of failures.
func NewRegistrar(c *Client, lease time.Duration, onError func(name string, err error)) *Registrar {
	return &Registrar{c: c, lease: lease, onError: onError, wake: make(chan struct{}, 1), want: map[string]*wish{}, versions: map[string]int64{}}
}

// Set wants a server listed as status says; Gone ends its entry. It returns at once.
func (r *Registrar) Set(name string, g api.Registration, status string) {
	g.LeaseMs = r.lease.Milliseconds()
	r.mu.Lock()
	r.want[name] = &wish{g: g, status: status}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Silence ends the heartbeat of a server that has died or is cut off, without a word.
func (r *Registrar) Silence(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.want[name]; w != nil {
		w.silent = true
	}
}

// Run keeps at it until ctx ends. Leases then lapse, unless servers have left.
func (r *Registrar) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	calls.Go(func() { r.renewals(ctx) })
	for {
		for _, name := range r.unsettled() {
			r.settle(ctx, name)
		}
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
	}
}

func (r *Registrar) unsettled() (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, w := range r.want {
		if !w.settled && !w.silent {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// settle has the service know what a server wants. What it says is based on the version that was last known, so that a try whose
// answer did not come is not carried out over what the server, another process of it or an operator has said since.
func (r *Registrar) settle(ctx context.Context, name string) {
	r.mu.Lock()
	w := *r.want[name]
	var known *int64
	if v, ok := r.versions[name]; ok || w.status == api.Ready { // most that are registered have no entry
		known = &v
	}
	r.mu.Unlock()
	version, err := r.c.SetStatus(ctx, name, w.g, w.status, known)
	if api.IsCode(err, api.CodeNotFound) && w.status != api.Ready { // gone already
		err = nil
	}
	if err != nil {
		if ctx.Err() == nil {
			r.onError(name, err)
		}
		if api.IsCode(err, api.CodeOlderIncarnation) { // another process has taken the name
			err = nil
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case version > 0:
		r.versions[name] = version
	case err == nil: // gone, or another's
		delete(r.versions, name)
	}
	now := r.want[name]
	if now == nil || now.g.Incarnation != w.g.Incarnation || now.status != w.status {
		return // wants something else by now
	}
	now.settled = err == nil
	if w.status == api.Removed && now.settled {
		delete(r.want, name)
	}
}

// renewals gives heartbeat three times in a lease's time, with jitter.
func (r *Registrar) renewals(ctx context.Context) {
	for {
		wait := time.NewTimer(time.Duration(float64(r.lease) / 3 * (0.8 + 0.4*rand.Float64())))
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
		}
		var leases []api.Heartbeat
		r.mu.Lock()
		for name, w := range r.want {
			if w.settled && !w.silent && w.status != api.Removed {
				leases = append(leases, api.Heartbeat{Name: name, Incarnation: w.g.Incarnation})
			}
		}
		r.mu.Unlock()
		if len(leases) == 0 {
			continue
		}
		one, cancel := context.WithTimeout(ctx, r.lease)
		expired, err := r.c.Renew(one, leases)
		cancel()
		if err != nil && ctx.Err() == nil {
			r.onError("", err)
		}
		r.mu.Lock()
		for _, name := range expired {
			delete(r.versions, name) // there is no entry: where that is wrong, a try is void, and the entry is read
			if w := r.want[name]; w != nil && w.status == api.Ready {
				w.settled = false
			}
		}
		r.mu.Unlock()
		if len(expired) > 0 {
			select {
			case r.wake <- struct{}{}:
			default:
			}
		}
	}
}
