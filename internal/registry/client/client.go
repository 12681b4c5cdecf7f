// Package client is the client of the list service: it chooses the replica, retries with back-off, keeps servers
// registered, and checks lists for plausibility. Besides the packages api and watch it imports the standard library only,
// because the sidecar links it too.
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
	attemptTimeout = 3 * time.Second // of one attempt, which for a write includes the commit by a quorum
)

// Client calls a list service of one or several replicas. Its methods block until there is a response or ctx ends, and
// are safe for concurrent use.
type Client struct {
	http *http.Client

	mu           sync.Mutex
	addresses    []string
	currentIndex int // in addresses, of the replica in use
}

// Addresses parses a list of addresses like "a:1,b:2". The error names an address that is invalid or listed twice.
func Addresses(text string) ([]string, error) {
	var addresses []string
	for _, address := range strings.Split(text, ",") {
		address = strings.TrimSpace(address)
		if !api.IsAddress(address) {
			return nil, fmt.Errorf("host:port, not %q", address)
		}
		if slices.Contains(addresses, address) {
			return nil, fmt.Errorf("%s is listed twice", address)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// New returns a client of the replicas at these addresses, of which there must be at least one. It starts with a random
// replica, so that the clients of a fleet spread over the replicas.
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

// switchFrom switches from a replica to the next one, unless a concurrent call has already done so.
func (c *Client) switchFrom(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addresses[c.currentIndex] == address {
		c.currentIndex = (c.currentIndex + 1) % len(c.addresses)
	}
}

// otherAddress returns the address of another replica than that at address, or address if there is only one.
func (c *Client) otherAddress(address string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.addresses {
		if other := c.addresses[(c.currentIndex+i)%len(c.addresses)]; other != address {
			return other
		}
	}
	return address
}

// notSent reports whether a failed call can't have been carried out.
func notSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial" || api.IsCode(err, api.CodeNoLeader) || api.IsCode(err, api.CodeStale)
}

// call makes a call and retries it until there is a response. An idempotent call is retried after every failure, any other
// only if the failed attempt can't have been carried out; if it may have been, call fails with CodeOutcomeUnknown. When ctx
// ends, call returns its cause and the last failure.
func (c *Client) call(ctx context.Context, idempotent bool, method, path string, request, response any) error {
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return fmt.Errorf("encoding a call: %w", err)
		}
	}
	var retry backoff
	var lastErr error
	for {
		address := c.currentAddress()
		err := c.attempt(ctx, address, method, path, body, response)
		var apiErr *api.Error
		switch {
		case err == nil:
			return nil
		case errors.As(err, &apiErr) && apiErr.Code != api.CodeNoLeader && apiErr.Code != api.CodeStale && (apiErr.Code != api.CodeOutcomeUnknown || !idempotent):
			return err
		case !idempotent && !notSent(err):
			c.switchFrom(address) // so that the caller looks up the outcome at another replica
			return api.Errorf(api.CodeOutcomeUnknown, "%v", err)
		}
		c.switchFrom(address)
		if lastErr == nil || ctx.Err() == nil { // if ctx cut the attempt short, the error of the previous attempt is more useful
			lastErr = err
		}
		if !retry.wait(ctx) {
			return fmt.Errorf("%w (%w)", context.Cause(ctx), lastErr)
		}
	}
}

// postOnce makes a POST call to one replica, without retries.
func (c *Client) postOnce(ctx context.Context, address, path string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("encoding a call: %w", err)
	}
	return c.attempt(ctx, address, http.MethodPost, path, body, response)
}

func (c *Client) attempt(ctx context.Context, address, method, path string, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return api.ReadAnswer(resp, response)
}

func entryPath(name, op string) string {
	path := "/v1/entries/" + url.PathEscape(name)
	if op != "" {
		path += "/" + op
	}
	return path
}

// Records returns the records of all entries. If linearizable is set, the read reflects all writes that completed before it.
func (c *Client) Records(ctx context.Context, linearizable bool) (all api.Records, err error) {
	return all, c.call(ctx, true, http.MethodGet, "/v1/entries"+consistencyQuery(linearizable), nil, &all)
}

// Record returns the record of one entry; its Revision is 0 if there is none.
func (c *Client) Record(ctx context.Context, name string, linearizable bool) (r api.Record, err error) {
	return r, c.call(ctx, true, http.MethodGet, entryPath(name, "")+consistencyQuery(linearizable), nil, &r)
}

func consistencyQuery(linearizable bool) string {
	if linearizable {
		return "?consistent=1"
	}
	return ""
}

// Register lists a server, and returns the new revision of its entry. If the response is lost, a call with IfRevision fails
// with CodeOutcomeUnknown, and one without is retried.
func (c *Client) Register(ctx context.Context, name string, registration api.Registration) (revision int64, err error) {
	var result api.WriteResult
	err = c.call(ctx, registration.IfRevision == nil, http.MethodPut, entryPath(name, ""), registration, &result)
	return result.Revision, err
}

// Drain marks a server as draining, on behalf of the server itself, so that it gets no new requests.
func (c *Client) Drain(ctx context.Context, name string, change api.StateChange) (revision int64, err error) {
	var result api.WriteResult
	err = c.call(ctx, change.IfRevision == nil, http.MethodPost, entryPath(name, "drain"), change, &result)
	return result.Revision, err
}

// Leave removes the entry of a server, on behalf of the server itself.
func (c *Client) Leave(ctx context.Context, name string, change api.StateChange) error {
	return c.call(ctx, change.IfRevision == nil, http.MethodPost, entryPath(name, "leave"), change, nil)
}

// PutAdminState sets the administrative state of an entry to change.AdminState.
func (c *Client) PutAdminState(ctx context.Context, name string, change api.StateChange) (revision int64, err error) {
	var result api.WriteResult
	err = c.call(ctx, change.IfRevision == nil, http.MethodPost, entryPath(name, "hand"), change, &result)
	return result.Revision, err
}

// SetAdminState sets the administrative state of an entry, and retries until that is known to be done. Unlike with
// PutAdminState without a revision, an attempt whose response was lost can't override a newer change later, see
// updateConditionally.
func (c *Client) SetAdminState(ctx context.Context, name, state string) (revision int64, err error) {
	applied := func(r api.Record) bool { return r.AdminState == state }
	return c.updateConditionally(ctx, name, nil, applied, func(ifRevision *int64) (int64, error) {
		return c.PutAdminState(ctx, name, api.StateChange{AdminState: state, IfRevision: ifRevision})
	})
}

// SetStatus sets the status that a server reports: Ready, Terminating or Removed. The last two need only the incarnation of
// registration, and fail with CodeNotFound if there is no entry. As with SetAdminState, an attempt whose response was lost fails
// once the entry has changed. The first attempt is based on known, the assumed revision of the entry, which is 0 for no entry; if
// known is nil, the entry is read first.
//
// The exception is a registration based on revision 0: it can be carried out late if the entry has been removed again by then.
func (c *Client) SetStatus(ctx context.Context, name string, registration api.Registration, status string, known *int64) (revision int64, err error) {
	applied := func(api.Record) bool { return false }
	return c.updateConditionally(ctx, name, known, applied, func(ifRevision *int64) (int64, error) {
		change := api.StateChange{Incarnation: registration.Incarnation, IfRevision: ifRevision}
		switch status {
		case api.Ready:
			registration.IfRevision = ifRevision
			return c.Register(ctx, name, registration)
		case api.Terminating:
			return c.Drain(ctx, name, change)
		}
		return 0, c.Leave(ctx, name, change)
	})
}

// updateConditionally attempts to change an entry until the outcome is known. Each attempt is conditional on one revision
// of the entry and fails at any other. known is the revision for the first attempt. If it is nil, the entry is read first,
// and nothing is attempted if applied reports that the change is already in place.
func (c *Client) updateConditionally(ctx context.Context, name string, known *int64, applied func(api.Record) bool, attempt func(ifRevision *int64) (revision int64, err error)) (int64, error) {
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
		if assumed && api.IsCode(err, api.CodeConflict) { // the assumed revision was wrong, which is no reason to back off
			continue
		}
		if !retry.wait(ctx) {
			return 0, fmt.Errorf("%w (%w)", context.Cause(ctx), err)
		}
	}
}

// Renew renews leases, and returns the names of the servers that have no lease.
func (c *Client) Renew(ctx context.Context, leases []api.Heartbeat) (expired []string, err error) {
	var result api.HeartbeatResult
	err = c.call(ctx, true, http.MethodPost, "/v1/renew", api.Heartbeats{Heartbeats: leases}, &result)
	return result.Expired, err
}

// Overrule removes the entries of servers with expired leases that the service kept because too many expired at once. It returns
// the names of these servers.
func (c *Client) Overrule(ctx context.Context) (ended []string, err error) {
	var result api.HeartbeatResult
	err = c.call(ctx, true, http.MethodPost, "/v1/overrule", nil, &result)
	return result.Expired, err
}

// Status returns the status of each replica, and the error of each that did not respond, by address.
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
func (c *Client) Add(ctx context.Context, replica api.Replica) error {
	return c.call(ctx, true, http.MethodPost, "/v1/replicas", replica, nil)
}

// Remove removes a replica from the quorum.
func (c *Client) Remove(ctx context.Context, name string) error {
	return c.call(ctx, false, http.MethodDelete, "/v1/replicas/"+url.PathEscape(name), nil, nil)
}

// Backup returns the whole list, in the format of a backup file.
func (c *Client) Backup(ctx context.Context) (text json.RawMessage, err error) {
	return text, c.call(ctx, true, http.MethodGet, "/v1/backup", nil, &text)
}

// Restore replaces the list with a backup.
func (c *Client) Restore(ctx context.Context, text json.RawMessage) error {
	return c.call(ctx, false, http.MethodPost, "/v1/restore", text, nil)
}
