// Package client owns the other end of the list service: which replica is asked, when again, and what of a list is
// believed. It takes in nothing but the standard library, since the sidecar uses it too.
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
	attemptTimeout = 3 * time.Second // of one try: a write waits for a quorum
)

// Client asks a list service of one or several replicas. Safe for concurrent use.
type Client struct {
	http *http.Client

	mu        sync.Mutex
	addresses []string
	current   int
}

// Addresses takes "a:1,b:2" apart. An error names what is no host:port.
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

// New asks the replicas at these addresses, of which there is one at least. It begins with any: so a fleet is spread.
func New(addresses []string) *Client {
	return &Client{addresses: addresses, current: rand.IntN(len(addresses)),
		http: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}}
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// at is the replica in use.
func (c *Client) at() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[c.current]
}

// next goes on to another replica, unless someone has already gone on from this one.
func (c *Client) next(from string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addresses[c.current] == from {
		c.current = (c.current + 1) % len(c.addresses)
	}
}

// other is a replica that is not this one, if there is any.
func (c *Client) other(than string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.addresses {
		if a := c.addresses[(c.current+i)%len(c.addresses)]; a != than {
			return a
		}
	}
	return than
}

// notSent tells whether a call that failed can't have been carried out.
func notSent(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial" || api.IsCode(err, api.CodeNoLeader) || api.IsCode(err, api.CodeStale)
}

// call asks until there is an answer: another replica where one could not have carried it out, or always where doing it
// twice is the same as once. It ends with ctx, and then gives the last failure; with CodeUnknown where it may have been
// carried out.
func (c *Client) call(ctx context.Context, again bool, method, path string, change, answer any) error {
	var body []byte
	if change != nil {
		var err error
		if body, err = json.Marshal(change); err != nil {
			return fmt.Errorf("wording a call: %w", err)
		}
	}
	var p pace
	var last error
	for {
		at := c.at()
		err := c.attempt(ctx, at, method, path, body, answer)
		var failure *api.Error
		switch {
		case err == nil:
			return nil
		case errors.As(err, &failure) && failure.Code != api.CodeNoLeader && failure.Code != api.CodeStale && (failure.Code != api.CodeOutcomeUnknown || !again):
			return err
		case !again && !notSent(err):
			c.next(at) // the question what came of it goes elsewhere
			return api.Errorf(api.CodeOutcomeUnknown, "%v", err)
		}
		c.next(at)
		if last == nil || ctx.Err() == nil { // a try that was cut short says less than the one before
			last = err
		}
		if !p.wait(ctx) {
			return fmt.Errorf("%w (%w)", context.Cause(ctx), last)
		}
	}
}

// once asks one replica once, with a body.
func (c *Client) once(ctx context.Context, at, path string, change, answer any) error {
	body, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("wording a call: %w", err)
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

func entry(name, op string) string {
	path := "/v1/entries/" + url.PathEscape(name)
	if op != "" {
		path += "/" + op
	}
	return path
}

// Records are all entries. sure asks for what is certain to be the newest.
func (c *Client) Records(ctx context.Context, sure bool) (all api.Records, err error) {
	return all, c.call(ctx, true, http.MethodGet, "/v1/entries"+consistent(sure), nil, &all)
}

// Record is one entry; Version 0: there is none.
func (c *Client) Record(ctx context.Context, name string, sure bool) (r api.Record, err error) {
	return r, c.call(ctx, true, http.MethodGet, entry(name, "")+consistent(sure), nil, &r)
}

func consistent(sure bool) string {
	if sure {
		return "?consistent=1"
	}
	return ""
}

// Register lists a server. Where IfVersion is set and no answer came, the outcome is unknown; without, it is done again
// until there is one.
func (c *Client) Register(ctx context.Context, name string, g api.Registration) (version int64, err error) {
	var done api.WriteResult
	err = c.call(ctx, g.IfRevision == nil, http.MethodPut, entry(name, ""), g, &done)
	return done.Revision, err
}

// Drain is a server's own word that it wants nothing new.
func (c *Client) Drain(ctx context.Context, name string, change api.StateChange) (version int64, err error) {
	var done api.WriteResult
	err = c.call(ctx, change.IfRevision == nil, http.MethodPost, entry(name, "drain"), change, &done)
	return done.Revision, err
}

// Leave takes a server out.
func (c *Client) Leave(ctx context.Context, name string, change api.StateChange) error {
	return c.call(ctx, change.IfRevision == nil, http.MethodPost, entry(name, "leave"), change, nil)
}

// Hand says an operator's word of an entry, in ask.Hand.
func (c *Client) Hand(ctx context.Context, name string, change api.StateChange) (version int64, err error) {
	var done api.WriteResult
	err = c.call(ctx, change.IfRevision == nil, http.MethodPost, entry(name, "hand"), change, &done)
	return done.Revision, err
}

// SetHand has an operator's word stand for an entry, whatever it was. Other than with Hand without a version, a try whose answer did not
// come can't be carried out later, over what was said since, see revise.
func (c *Client) SetHand(ctx context.Context, name, hand string) (version int64, err error) {
	applied := func(r api.Record) bool { return r.AdminState == hand }
	return c.revise(ctx, name, nil, applied, func(on *int64) (int64, error) {
		return c.Hand(ctx, name, api.StateChange{AdminState: hand, IfRevision: on})
	})
}

// SetStatus has a server's own word stand for its entry: Ready, Terminating or Gone, of which the last two need no more of g than the
// incarnation. As with SetHand, a try whose answer did not come is void once the entry has changed. The first try is based on known, the
// version that the entry is thought to have, 0: there is none; nil: it is read before. What has no entry fails with CodeNone at those two.
//
// A registration that is based on 0 is the exception: it is not void while there is no entry again.
func (c *Client) SetStatus(ctx context.Context, name string, g api.Registration, status string, known *int64) (version int64, err error) {
	applied := func(api.Record) bool { return false }
	return c.revise(ctx, name, known, applied, func(on *int64) (int64, error) {
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

// revise tries to change an entry until it is told what came of it: each try is based on one version, and void at any other. known is
// the version of the first; nil: it is read before. What was read and stands already is not tried.
func (c *Client) revise(ctx context.Context, name string, known *int64, applied func(api.Record) bool, attempt func(on *int64) (int64, error)) (int64, error) {
	var p pace
	for guessed := known != nil; ; guessed = false {
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
		version, err := attempt(known)
		if !api.IsCode(err, api.CodeOutcomeUnknown) && !api.IsCode(err, api.CodeConflict) {
			return version, err
		}
		known = nil
		if guessed && api.IsCode(err, api.CodeConflict) { // an answer: there is nothing to wait for
			continue
		}
		if !p.wait(ctx) {
			return 0, fmt.Errorf("%w (%w)", context.Cause(ctx), err)
		}
	}
}

// Renew gives heartbeat, and gets the names of those that hold no lease.
func (c *Client) Renew(ctx context.Context, leases []api.Heartbeat) (expired []string, err error) {
	var done api.HeartbeatResult
	err = c.call(ctx, true, http.MethodPost, "/v1/renew", api.Heartbeats{Heartbeats: leases}, &done)
	return done.Expired, err
}

// Overrule ends the entries of silent servers that the service keeps since it distrusts itself.
func (c *Client) Overrule(ctx context.Context) (ended []string, err error) {
	var done api.HeartbeatResult
	err = c.call(ctx, true, http.MethodPost, "/v1/overrule", nil, &done)
	return done.Expired, err
}

// Status is what each replica says, by address; or why it does not.
func (c *Client) Status(ctx context.Context) (failure map[string]api.Status, failed map[string]error) {
	c.mu.Lock()
	addresses := slices.Clone(c.addresses)
	c.mu.Unlock()
	failure, failed = map[string]api.Status{}, map[string]error{}
	for _, a := range addresses {
		var s api.Status
		if err := c.attempt(ctx, a, http.MethodGet, "/v1/status", nil, &s); err != nil {
			failed[a] = err
			continue
		}
		failure[a] = s
	}
	return failure, failed
}

// Add has a replica taken in.
func (c *Client) Add(ctx context.Context, m api.Replica) error {
	return c.call(ctx, true, http.MethodPost, "/v1/replicas", m, nil)
}

// Remove takes a replica out.
func (c *Client) Remove(ctx context.Context, name string) error {
	return c.call(ctx, false, http.MethodDelete, "/v1/replicas/"+url.PathEscape(name), nil, nil)
}

// Backup is all of the list, as a file holds it.
func (c *Client) Backup(ctx context.Context) (text json.RawMessage, err error) {
	return text, c.call(ctx, true, http.MethodGet, "/v1/backup", nil, &text)
}

// Restore puts a backup in place of the list.
func (c *Client) Restore(ctx context.Context, text json.RawMessage) error {
	return c.call(ctx, false, http.MethodPost, "/v1/restore", text, nil)
}

// The waits between tries: each up to twice as long as the one before at most, and any shorter one by chance, so that a
// fleet does not come back at once; and from a budget, so that a service that fails at each try is not worn down.
const (
	paceFirst  = 200 * time.Millisecond
	maxPace    = 5 * time.Second
	paceBurst  = 6                // tries
	paceRefill = 2 * time.Second  // of one try
	paceCalm   = 10 * time.Second // without a failure: from the beginning
)

type pace struct {
	failures int
	last     time.Time
	tokens   float64
}

// next is the wait after a failure now.
func (p *pace) next(now time.Time, chance float64) time.Duration {
	if p.last.IsZero() {
		p.tokens = paceBurst
	} else {
		gap := now.Sub(p.last)
		p.tokens = min(paceBurst, p.tokens+float64(gap)/float64(paceRefill))
		if gap > paceCalm {
			p.failures = 0
		}
	}
	p.last = now
	limit := min(paceFirst<<min(p.failures, 10), maxPace)
	p.failures++
	wait := time.Duration(chance * float64(limit))
	p.tokens = max(p.tokens-1, -paceBurst) // what does not wait so long, as watches don't, owes no more
	if p.tokens < 0 {
		wait = max(wait, time.Duration(-p.tokens*(0.5+chance)*float64(paceRefill)))
	}
	return min(wait, 2*maxPace)
}

// wait waits; false: ctx has ended.
func (p *pace) wait(ctx context.Context) bool {
	t := time.NewTimer(p.next(time.Now(), rand.Float64()))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
