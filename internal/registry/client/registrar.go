package client

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mosslead/internal/registry/api"
)

// Registrar keeps servers registered: it renews the leases of all of them with one call, and registers again those that
// the service does not (or no longer) list. Set and Silence are safe for concurrent use and don't block; Run does all
// calls.
type Registrar struct {
	client  *Client
	lease   time.Duration
	onError func(name string, err error)
	wake    chan struct{}

	mu        sync.Mutex
	desired   map[string]*desiredState
	revisions map[string]int64 // of the entries, as last known; absent: there is no entry
}

// desiredState is how a server is to be listed.
type desiredState struct {
	registration api.Registration
	status       string // Ready, Terminating or Removed
	settled      bool   // the service has confirmed it
	silent       bool   // its lease is no longer renewed
}

// NewRegistrar returns a registrar that uses c and leases of that length. onError is called by Run's goroutines with each
// failure; name is empty for a failed renewal.
func NewRegistrar(c *Client, lease time.Duration, onError func(name string, err error)) *Registrar {
	return &Registrar{client: c, lease: lease, onError: onError, wake: make(chan struct{}, 1),
		desired: map[string]*desiredState{}, revisions: map[string]int64{}}
}

// Set has a server listed with that status; Removed ends its entry.
func (r *Registrar) Set(name string, g api.Registration, status string) {
	g.LeaseMs = r.lease.Milliseconds()
	r.mu.Lock()
	r.desired[name] = &desiredState{registration: g, status: status}
	r.mu.Unlock()
	r.wakeUp()
}

// wakeUp has Run look for unsettled servers.
func (r *Registrar) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default: // it is woken already
	}
}

// Silence stops renewing the lease of a server that has died or is cut off; its entry expires.
func (r *Registrar) Silence(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if want := r.desired[name]; want != nil {
		want.silent = true
	}
}

// Run keeps the servers registered until ctx ends. The leases of those still listed then expire.
func (r *Registrar) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	calls.Go(func() { r.heartbeatLoop(ctx) })
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

// unsettled returns the servers whose desired state is not confirmed, in order.
func (r *Registrar) unsettled() (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, want := range r.desired {
		if !want.settled && !want.silent {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// settle brings one entry to its desired state. The write is conditional on the revision last known, so that an attempt
// whose answer was lost is not carried out over a later change by the server, another process of it or an operator.
func (r *Registrar) settle(ctx context.Context, name string) {
	r.mu.Lock()
	want := *r.desired[name]
	var known *int64
	if v, ok := r.revisions[name]; ok || want.status == api.Ready { // most servers that register have no entry yet
		known = &v
	}
	r.mu.Unlock()
	revision, err := r.client.SetStatus(ctx, name, want.registration, want.status, known)
	if api.IsCode(err, api.CodeNotFound) && want.status != api.Ready { // its entry has ended already
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
	case revision > 0:
		r.revisions[name] = revision
	case err == nil: // the entry has ended, or belongs to another process
		delete(r.revisions, name)
	}
	now := r.desired[name]
	if now == nil || now.registration.Incarnation != want.registration.Incarnation || now.status != want.status {
		return // Set has been called meanwhile
	}
	now.settled = err == nil
	if want.status == api.Removed && now.settled {
		delete(r.desired, name)
	}
}

// heartbeatLoop renews the leases three times in a lease's length, with jitter, until ctx ends.
func (r *Registrar) heartbeatLoop(ctx context.Context) {
	for {
		wait := time.NewTimer(time.Duration(float64(r.lease) / 3 * (0.8 + 0.4*rand.Float64())))
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
		}
		if leases := r.heartbeats(); len(leases) > 0 {
			r.renew(ctx, leases)
		}
	}
}

// heartbeats returns the leases to be renewed.
func (r *Registrar) heartbeats() (leases []api.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, want := range r.desired {
		if want.settled && !want.silent && want.status != api.Removed {
			leases = append(leases, api.Heartbeat{Name: name, Incarnation: want.registration.Incarnation})
		}
	}
	return leases
}

// renew renews leases with one call. Servers whose leases have expired are registered again.
func (r *Registrar) renew(ctx context.Context, leases []api.Heartbeat) {
	renewCtx, cancel := context.WithTimeout(ctx, r.lease)
	expired, err := r.client.Renew(renewCtx, leases)
	cancel()
	if err != nil && ctx.Err() == nil {
		r.onError("", err)
	}
	if len(expired) == 0 {
		return
	}
	r.mu.Lock()
	for _, name := range expired {
		delete(r.revisions, name) // where there is an entry again, the write fails and the entry is read
		if want := r.desired[name]; want != nil && want.status == api.Ready {
			want.settled = false
		}
	}
	r.mu.Unlock()
	r.wakeUp()
}
