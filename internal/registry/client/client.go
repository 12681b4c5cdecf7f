// Package client is the client of the list service: it chooses the replica, retries with back-off, keeps servers
// registered, and checks lists for plausibility. Besides the API package it imports the standard library alone, as the
// sidecar links it too.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"mosslead/internal/registry/api"
)

const (
	dialTimeout    = 500 * time.Millisecond
	attemptTimeout = 3 * time.Second // of one attempt: a write waits for a quorum
)

// Client calls a list service of one or several replicas. Its methods block until there is an answer or ctx ends, and
// are safe for concurrent use.
type Client struct {
	http *http.Client

	mu           sync.Mutex
	addresses    []string
	currentIndex int
}

// Addresses parses "a:1,b:2". An error names what is no host:port.
func Addresses(text string) ([]string, error) {
	var all []string
	for _, a := range strings.Split(text, ",") {
		a = strings.TrimSpace(a)
		if !api.IsAddress(a) {
			return nil, fmt.Errorf("host:port, not %q", a)
		}
		if slices.Contains(all, a) {
			return nil, fmt.Errorf("%s is there twice", a)
		}
		all = append(all, a)
	}
	return all, nil
}

// New returns a client of the replicas at these addresses, of which there must be at least one. It starts with a random
// one, so that the clients of a fleet spread over the replicas.
func New(addresses []string) *Client {
	return &Client{addresses: addresses, currentIndex: rand.IntN(len(addresses)),
		http: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// currentAddress returns the address of the replica in use.
func (c *Client) currentAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[c.currentIndex]
}

// switchFrom moves on to another replica, unless a concurrent call has already left this one.
func (c *Client) switchFrom(from string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addresses[c.currentIndex] == from {
		c.currentIndex = (c.currentIndex + 1) % len(c.addresses)
	}
}

// otherAddress returns a replica otherAddress than this one, if there is any.
func (c *Client) otherAddress(than string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.addresses {
		if a := c.addresses[(c.currentIndex+i)%len(c.addresses)]; a != than {
			return a
		}
	}
	return than
}

// notSent reports whether a call that failed can't have been carried out.
func notSent(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial" || api.IsCode(err, api.CodeNoLeader) || api.IsCode(err, api.CodeStale)
}

// call retries until there is an answer. An idempotent call is retried after every failure, any other only where the
// failed attempt can't have been carried out. It fails with the last failure when ctx ends, and with CodeOutcomeUnknown
// where the call may have been carried out.
func (c *Client) call(ctx context.Context, idempotent bool, method, path string, change, answer any) error {
	var body []byte
	if change != nil {
		var err error
		if body, err = json.Marshal(change); err != nil {
			return fmt.Errorf("encoding a call: %w", err)
		}
	}
	var retry backoff
	var last error
	for {
		at := c.currentAddress()
		err := c.attempt(ctx, at, method, path, body, answer)
		var failure *api.Error
		switch {
		case err == nil:
			return nil
		case errors.As(err, &failure) && failure.Code != api.CodeNoLeader && failure.Code != api.CodeStale && (failure.Code != api.CodeOutcomeUnknown || !idempotent):
			return err
		case !idempotent && !notSent(err):
			c.switchFrom(at) // its outcome is looked up at another replica
			return api.Errorf(api.CodeOutcomeUnknown, "%v", err)
		}
		c.switchFrom(at)
		if last == nil || ctx.Err() == nil { // an attempt that ctx cut short says less than the one before
			last = err
		}
		if !retry.wait(ctx) {
			return fmt.Errorf("%w (%w)", context.Cause(ctx), last)
		}
	}
}

// postOnce posts to one replica, without a retry.
func (c *Client) postOnce(ctx context.Context, at, path string, change, answer any) error {
	body, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("encoding a call: %w", err)
	}
	return c.attempt(ctx, at, http.MethodPost, path, body, answer)
}

func (c *Client) attempt(ctx context.Context, at, method, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return api.ReadAnswer(resp, answer)
}

func entryPath(name, op string) string {
	path := "/v1/entries/" + url.PathEscape(name)
	if op != "" {
		path += "/" + op
	}
	return path
}

// Records returns all entries; linearizable asks for a read that is certain to be the newest.
func (c *Client) Records(ctx context.Context, linearizable bool) (all api.Records, err error) {
	return all, c.call(ctx, true, http.MethodGet, "/v1/entries"+consistencyQuery(linearizable), nil, &all)
}

// Record returns one entry; its Revision is 0 if there is none.
func (c *Client) Record(ctx context.Context, name string, linearizable bool) (r api.Record, err error) {
	return r, c.call(ctx, true, http.MethodGet, entryPath(name, "")+consistencyQuery(linearizable), nil, &r)
}

func consistencyQuery(linearizable bool) string {
	if linearizable {
		return "?consistent=1"
	}
	return ""
}

// Register lists a server, and returns the new revision of its entry. With IfRevision, a lost answer fails with
// CodeOutcomeUnknown; without, the call is retried.
func (c *Client) Register(ctx context.Context, name string, g api.Registration) (revision int64, err error) {
	var done api.WriteResult
	err = c.call(ctx, g.IfRevision == nil, http.MethodPut, entryPath(name, ""), g, &done)
	return done.Revision, err
}

// Drain marks a server as draining, for the server itself: it gets no new requests.
func (c *Client) Drain(ctx context.Context, name string, change api.StateChange) (version int64, err error) {
	var done api.WriteResult
	err = c.call(ctx, change.IfRevision == nil, http.MethodPost, entryPath(name, "drain"), change, &done)
	return done.Revision, err
}

// Leave ends the entry of a server, for the server itself.
func (c *Client) Leave(ctx context.Context, name string, change api.StateChange) error {
	return c.call(ctx, change.IfRevision == nil, http.MethodPost, entryPath(name, "leave"), change, nil)
}

// PutAdminState applies an operator's state change, change.AdminState, to an entry.
func (c *Client) PutAdminState(ctx context.Context, name string, change api.StateChange) (version int64, err error) {
	var done api.WriteResult
	err = c.call(ctx, change.IfRevision == nil, http.MethodPost, entryPath(name, "hand"), change, &done)
	return done.Revision, err
}

// SetAdminState sets the state that an operator gives an entry, and retries until that is known to be done. Unlike
// PutAdminState without a revision, an attempt whose answer was lost can't be carried out late, over a newer change: see
// revise.
func (c *Client) SetAdminState(ctx context.Context, name, state string) (revision int64, err error) {
	applied := func(r api.Record) bool { return r.AdminState == state }
	return c.updateConditionally(ctx, name, nil, applied, func(on *int64) (int64, error) {
		return c.PutAdminState(ctx, name, api.StateChange{AdminState: state, IfRevision: on})
	})
}

// SetStatus sets the status that a server gives itself: Ready, Terminating or Removed, of which the last two need only
// the incarnation of g. As with SetAdminState, an attempt whose answer was lost fails once the entry has changed. The
// first attempt is based on known, the assumed revision of the entry (0: there is none); with nil the entry is read
// first. Terminating and Removed fail with CodeNotFound where there is no entry.
//
// A registration based on 0 is the exception: it can still be carried out while there is no entry again.
func (c *Client) SetStatus(ctx context.Context, name string, g api.Registration, status string, known *int64) (revision int64, err error) {
	applied := func(api.Record) bool { return false }
	return c.updateConditionally(ctx, name, known, applied, func(on *int64) (int64, error) {
		change := api.StateChange{Incarnation: g.Incarnation, IfRevision: on}
		switch status {
		case api.Ready:
			g.IfRevision = on
			return c.Register(ctx, name, g)
		case api.Terminating:
			return c.Drain(ctx, name, change)
		}
		return 0, c.Leave(ctx, name, change)
	})
}

// updateConditionally attempts to change an entry until the outcome is known. Each attempt is conditional on one revision and fails
// at any other. known is the revision of the first attempt; with nil the entry is read first, and nothing is attempted
// where applied reports that the change is already there.
func (c *Client) updateConditionally(ctx context.Context, name string, known *int64, applied func(api.Record) bool, attempt func(on *int64) (revision int64, err error)) (int64, error) {
	var retry backoff
	for assumed := known != nil; ; assumed = false {
		if known == nil {
			r, err := c.Record(ctx, name, true)
			if err != nil {
				return 0, err
			}
			if applied(r) {
				return r.Revision, nil
			}
			known = &r.Revision
		}
		revision, err := attempt(known)
		if !api.IsCode(err, api.CodeOutcomeUnknown) && !api.IsCode(err, api.CodeConflict) {
			return revision, err
		}
		known = nil
		if assumed && api.IsCode(err, api.CodeConflict) { // the assumption was wrong: no reason to back off
			continue
		}
		if !retry.wait(ctx) {
			return 0, fmt.Errorf("%w (%w)", context.Cause(ctx), err)
		}
	}
}

// Renew renews leases, and returns the names of those servers that hold none.
func (c *Client) Renew(ctx context.Context, leases []api.Heartbeat) (expired []string, err error) {
	var done api.HeartbeatResult
	err = c.call(ctx, true, http.MethodPost, "/v1/renew", api.Heartbeats{Heartbeats: leases}, &done)
	return done.Expired, err
}

// Overrule ends the entries of servers with expired leases that the service kept because too many expired at once.
func (c *Client) Overrule(ctx context.Context) (ended []string, err error) {
	var done api.HeartbeatResult
	err = c.call(ctx, true, http.MethodPost, "/v1/overrule", nil, &done)
	return done.Expired, err
}

// Status returns the status of each replica, and the error of each that did not answer, by address.
func (c *Client) Status(ctx context.Context) (statuses map[string]api.Status, failed map[string]error) {
	c.mu.Lock()
	addresses := slices.Clone(c.addresses)
	c.mu.Unlock()
	statuses, failed = map[string]api.Status{}, map[string]error{}
	for _, a := range addresses {
		var s api.Status
		if err := c.attempt(ctx, a, http.MethodGet, "/v1/status", nil, &s); err != nil {
			failed[a] = err
			continue
		}
		statuses[a] = s
	}
	return statuses, failed
}

// Add adds a replica to the quorum.
func (c *Client) Add(ctx context.Context, m api.Replica) error {
	return c.call(ctx, true, http.MethodPost, "/v1/replicas", m, nil)
}

// Remove removes a replica from the quorum.
func (c *Client) Remove(ctx context.Context, name string) error {
	return c.call(ctx, false, http.MethodDelete, "/v1/replicas/"+url.PathEscape(name), nil, nil)
}

// Backup returns the whole list, in the format of a backup file.
func (c *Client) Backup(ctx context.Context) (text json.RawMessage, err error) {
	return text, c.call(ctx, true, http.MethodGet, "/v1/backup", nil, &text)
}

// Restore replaces the list by a backup.
func (c *Client) Restore(ctx context.Context, text json.RawMessage) error {
	return c.call(ctx, false, http.MethodPost, "/v1/restore", text, nil)
}
