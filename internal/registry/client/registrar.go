package client

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mosslead/internal/registry/api"
)

// Registrar keeps servers registered: it renews all their leases with one call, and registers servers again that the
// service does not list or no longer lists. Set and Silence are safe for concurrent use and don't block; Run makes all calls.
type Registrar struct {
	client  *Client
	lease   time.Duration
	onError func(name string, err error)
	wake    chan struct{}

	mu        sync.Mutex
	desired   map[string]*desiredState
	revisions map[string]int64 // last known revision of each entry; absent if there is no entry
}

// desiredState is the state in which a server is to be listed.
type desiredState struct {
	registration api.Registration
	status       string // Ready, Terminating or Removed
	settled      bool   // whether the service has confirmed it
	silent       bool   // whether its lease is no longer renewed
}

// NewRegistrar returns a registrar that uses c, with leases of the given length. The goroutines of Run call onError with each
// failure; name is empty for a failed renewal.
func NewRegistrar(c *Client, lease time.Duration, onError func(name string, err error)) *Registrar {
	return &Registrar{client: c, lease: lease, onError: onError, wake: make(chan struct{}, 1),
		desired: map[string]*desiredState{}, revisions: map[string]int64{}}
}

// Set requests that a server be listed with a status; Removed removes its entry.
func (r *Registrar) Set(name string, registration api.Registration, status string) {
	registration.LeaseMs = r.lease.Milliseconds()
	r.mu.Lock()
	r.desired[name] = &desiredState{registration: registration, status: status}
	r.mu.Unlock()
	r.wakeUp()
}

// wakeUp makes Run look for unsettled servers.
func (r *Registrar) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// Silence stops renewing the lease of a server that has died or is cut off, so that its entry expires.
func (r *Registrar) Silence(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if desired := r.desired[name]; desired != nil {
		desired.silent = true
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

// unsettled returns the names of the servers whose desired state is not confirmed, sorted.
func (r *Registrar) unsettled() (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, desired := range r.desired {
		if !desired.settled && !desired.silent {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// settle brings one entry to its desired state. The write is conditional on the last known revision, so that an attempt whose
// response was lost can't override a later change by the server, another process of it or an operator.
func (r *Registrar) settle(ctx context.Context, name string) {
	r.mu.Lock()
	desired := *r.desired[name]
	var known *int64
	if v, ok := r.revisions[name]; ok || desired.status == api.Ready { // most servers that register have no entry yet
		known = &v
	}
	r.mu.Unlock()
	revision, err := r.client.SetStatus(ctx, name, desired.registration, desired.status, known)
	if api.IsCode(err, api.CodeNotFound) && desired.status != api.Ready { // its entry has been removed already
		err = nil
	}
	if err != nil {
		if ctx.Err() == nil {
			r.onError(name, err)
		}
		if api.IsCode(err, api.CodeOlderIncarnation) { // a newer process has registered under the name
			err = nil
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case revision > 0:
		r.revisions[name] = revision
	case err == nil: // the entry has been removed, or belongs to another process
		delete(r.revisions, name)
	}
	current := r.desired[name]
	if current == nil || current.registration.Incarnation != desired.registration.Incarnation || current.status != desired.status {
		return // Set has been called in the meantime
	}
	current.settled = err == nil
	if desired.status == api.Removed && current.settled {
		delete(r.desired, name)
	}
}

// heartbeatLoop renews the leases three times per lease length, with jitter, until ctx ends.
func (r *Registrar) heartbeatLoop(ctx context.Context) {
	for {
		timer := time.NewTimer(time.Duration(float64(r.lease) / 3 * (0.8 + 0.4*rand.Float64())))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if heartbeats := r.heartbeats(); len(heartbeats) > 0 {
			r.renew(ctx, heartbeats)
		}
	}
}

// heartbeats returns the heartbeats of all leases to be renewed.
func (r *Registrar) heartbeats() (heartbeats []api.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, desired := range r.desired {
		if desired.settled && !desired.silent && desired.status != api.Removed {
			heartbeats = append(heartbeats, api.Heartbeat{Name: name, Incarnation: desired.registration.Incarnation})
		}
	}
	return heartbeats
}

// renew renews leases with one call, and has servers whose leases have expired registered again.
func (r *Registrar) renew(ctx context.Context, heartbeats []api.Heartbeat) {
	renewCtx, cancel := context.WithTimeout(ctx, r.lease)
	expired, err := r.client.Renew(renewCtx, heartbeats)
	cancel()
	if err != nil && ctx.Err() == nil {
		r.onError("", err)
	}
	if len(expired) == 0 {
		return
	}
	r.mu.Lock()
	for _, name := range expired {
		delete(r.revisions, name) // if there is an entry again, the conditional write fails and the entry is read
		if desired := r.desired[name]; desired != nil && desired.status == api.Ready {
			desired.settled = false
		}
	}
	r.mu.Unlock()
	r.wakeUp()
}
