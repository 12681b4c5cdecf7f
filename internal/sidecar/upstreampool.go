package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"mosslead/balancer"
	"mosslead/internal/wire"
)

const (
	maxHeader           = 16 << 10
	replacedIdleTimeout = 500 * time.Millisecond // of idle connections while this process is replaced, for the last requests
	idleFraction        = 0.6                    // of the upstreams' idle time-out, after which idle connections are closed
	minIdleBeforeReuse  = 10 * time.Millisecond  // of a connection: a second answer may follow the first by milliseconds
)

// upstreamPool makes attempts, over connections that carry one request at a time. Safe for concurrent use.
type upstreamPool struct {
	directory    *endpointDirectory
	dial         dialer
	onDispatched func() // called when an attempt was written completely
	budget       *byteBudget

	mu           sync.Mutex
	timeouts     connTimeouts
	maxConns     int
	retainsIdle  bool            // false once another process accepts the clients
	open         int             // connections
	opened       int             // since the last line of statistics
	idle         []*upstreamConn // the one idle for longest first
	awaitingLate []*upstreamConn // with an answer outstanding that no request waits for; the oldest first
}

func newUpstreamPool(c *Config, clk clock, bound int) *upstreamPool {
	u := &upstreamPool{dial: c.dial, onDispatched: func() {}, budget: &byteBudget{left: int64(c.Limits.MemoryMB * budgetFraction * (1 << 20))},
		maxConns: bound, retainsIdle: true}
	u.updateSettings(c.Settings)
	u.directory = newEndpointDirectory(clk, u.drop)
	return u
}

// connTimeouts are the time-outs of connections, from the settings.
type connTimeouts struct {
	connect time.Duration
	idle    time.Duration // after which a connection is closed
	late    time.Duration // for a late answer, and for one write
}

// updateSettings applies other settings to connections and attempts that start from now on.
func (u *upstreamPool) updateSettings(s wire.Settings) {
	t := connTimeouts{connect: s.ConnectTimeout, idle: time.Duration(float64(s.ConnIdle) * idleFraction)}
	for _, class := range s.Classes {
		t.late = max(t.late, class.Deadline)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.timeouts = t
}

// errAnswered ends an attempt whose request has its final answer: no other attempt will follow.
var errAnswered = errors.New("the request has its final answer")

var (
	errEndpointUnavailable = errors.New("the upstream drains or is gone")
	errClientGone          = errors.New("the client has gone")
	errRetryWindowOver     = errors.New("no other attempt may begin any more")
	errUnexpectedBytes     = errors.New("the connection brought what no request on it asked for, or its end")
	errSaturated           = errors.New("all upstream connections that the limits allow are busy")
)

// attemptReply is how an attempt ended; the rest belongs to an answer.
type attemptReply struct {
	result        balancer.Result
	header        http.Header
	body          []byte
	rest          *responseRest // nil: body is all
	reservedBytes int64         // of the budget, for body
	budget        *byteBudget
	use           connUse
	err           error // what broke the attempt, for the log

	abandon func() // closes the connection, which still waits for the answer; nil: it does not
}

// attempt sends a request to an upstream once, and blocks until the attempt or ctx ends. It does not begin at or after the
// clock time before, if that is above 0.
func (u *upstreamPool) attempt(ctx context.Context, name string, r *clientRequest, before time.Duration) attemptReply {
	c, failure := u.connFor(ctx, name, r, before)
	if c == nil {
		return failure
	}
	c.uses++
	use := connUse{nth: c.uses}
	if c.uses > 1 {
		use.idle = time.Since(c.releasedAt)
	}
	x := u.startExchange(ctx, c, r, before, use)
	select {
	case rep := <-x.ended:
		return rep
	case <-ctx.Done():
	}
	rep := attemptReply{result: balancer.Cancelled, use: use, err: context.Cause(ctx)}
	timeout := timedOut(ctx)
	if timeout {
		rep.result = balancer.Timeout
	}
	mayOutlast := timeout || errors.Is(context.Cause(ctx), errAnswered)
	if !mayOutlast || !u.awaitLateAnswer(x.readCtx, c, x.end) {
		x.end()
		ended := <-x.ended
		if ended.rest == nil {
			return ended
		}
		ended.drop() // the answer began just after ctx ended
		return rep
	}
	close(x.abandoned)
	rep.abandon = func() { u.abandon(x.readCtx, c) }
	return rep
}

// connFor returns an idle or a new connection on which the attempt may begin; nil: failure says why there is none.
func (u *upstreamPool) connFor(ctx context.Context, name string, r *clientRequest, before time.Duration) (c *upstreamConn, failure attemptReply) {
	at, ok := u.directory.address(name)
	if !ok {
		return nil, attemptReply{result: balancer.NotSent}
	}
	if c = u.acquire(name, at); c != nil {
		return c, failure
	}
	c, err := u.connect(ctx, name, at)
	switch {
	case errors.Is(err, errSaturated): // not a failure of the upstream
		return nil, attemptReply{result: balancer.NotSent, err: err}
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return nil, attemptReply{result: balancer.Cancelled, err: err}
	case err != nil:
		return nil, attemptReply{result: balancer.ConnectFailed, err: err}
	}
	if err := u.checkBegin(ctx, c, r, before); err != nil { // no longer, after the connecting; another request can use c
		u.release(c)
		return nil, attemptReply{result: balancer.NotSent, err: err}
	}
	return c, failure
}

// checkBegin returns why an attempt may not, or no longer, begin; nil: it may.
func (u *upstreamPool) checkBegin(ctx context.Context, c *upstreamConn, r *clientRequest, before time.Duration) error {
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case before > 0 && u.directory.clock.now() >= before:
		return errRetryWindowOver
	case r.clientGone():
		return errClientGone
	case !u.directory.ready(c.name, c.address):
		return errEndpointUnavailable
	case c.uses > 1 && !c.idleReading.Load():
		return errUnexpectedBytes
	}
	return nil
}

// timedOut reports whether ctx ended by its deadline. (That of a request whose body arrives slowly is a cause set by
// dispatcher.onBodyComplete.)
func timedOut(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// awaitLateAnswer keeps a connection open for an answer that its request no longer waits for, so that it can be used again:
// the first request on a new connection would have to wait for the handshake. It returns false if the connection can't be
// kept, for instance because the request was not sent completely.
func (u *upstreamPool) awaitLateAnswer(exchangeCtx context.Context, c *upstreamConn, end context.CancelFunc) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !c.requestEncoded.Load() || c.writeFailed.Load() || c.closed || exchangeCtx.Err() != nil {
		return false
	}
	u.awaitingLate = append(u.awaitingLate, c)
	timer := time.AfterFunc(u.timeouts.late, end)
	context.AfterFunc(exchangeCtx, func() { timer.Stop() })
	return true
}

// abandon closes c unless its exchange has ended: c may carry another by now.
func (u *upstreamPool) abandon(exchangeCtx context.Context, c *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if exchangeCtx.Err() == nil {
		u.closeLocked(c)
	}
}

// connect opens a connection. At the limit it first closes the oldest that waits for a late answer, or the one idle for
// longest; it fails with errSaturated if there is none.
func (u *upstreamPool) connect(ctx context.Context, name string, at endpointAddress) (*upstreamConn, error) {
	u.mu.Lock()
	for u.open >= u.maxConns {
		switch {
		case len(u.awaitingLate) > 0:
			u.closeLocked(u.awaitingLate[0])
		case len(u.idle) > 0:
			u.closeLocked(u.idle[0])
			u.idle = slices.Delete(u.idle, 0, 1)
		default:
			u.mu.Unlock()
			return nil, errSaturated
		}
	}
	u.open++
	u.opened++
	times := u.timeouts
	u.mu.Unlock()
	c := &upstreamConn{name: name, address: at, writeTimeout: times.late}
	var err error
	if c.Conn, err = u.dial.dialTimeout(ctx, times.connect, "tcp", at.address); err == nil {
		var protocols http.Protocols
		protocols.SetHTTP1(true)
		transport := &http.Transport{
			DialContext:            func(context.Context, string, string) (net.Conn, error) { return c, nil },
			DisableCompression:     true, // bodies are passed on unchanged
			MaxResponseHeaderBytes: maxHeader,
			Protocols:              &protocols,
		}
		// A ClientConn never sends a request twice; a Transport retries on connections that it reuses.
		if c.http, err = transport.NewClientConn(ctx, "http", at.address); err == nil {
			return c, nil
		}
		_ = c.Close()
	}
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
	return nil, fmt.Errorf("connecting to %s: %w", name, err)
}

// acquire returns the idle connection to the upstream that was used last, or nil. It closes unusable ones, and leaves those
// released less than minIdleBeforeReuse ago.
func (u *upstreamPool) acquire(name string, at endpointAddress) *upstreamConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := len(u.idle) - 1; i >= 0; i-- {
		c := u.idle[i]
		if c.name != name || c.uses > 0 && time.Since(c.releasedAt) < minIdleBeforeReuse {
			continue
		}
		u.idle = slices.Delete(u.idle, i, i+1)
		if c.retireTimer.Stop() && c.http.Err() == nil && c.address == at && (c.uses == 0 || !c.unusable()) {
			return c
		}
		u.closeLocked(c)
	}
	return nil
}

// release makes c idle, or closes it if it can't be used again.
func (u *upstreamPool) release(c *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endLateWait(c)
	if c.closed || !u.retainsIdle || !u.directory.ready(c.name, c.address) || c.http.Err() != nil {
		u.closeLocked(c)
		return
	}
	c.releasedAt = time.Now()
	c.retireTimer = time.AfterFunc(u.timeouts.idle, func() { u.retire(c) })
	u.idle = append(u.idle, c)
}

// retire closes c unless it is in use again.
func (u *upstreamPool) retire(c *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if i := slices.Index(u.idle, c); i >= 0 {
		u.idle = slices.Delete(u.idle, i, i+1)
		u.closeLocked(c)
	}
}

// discard closes c.
func (u *upstreamPool) discard(c *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeLocked(c)
}

// limit sets the limit of connections.
func (u *upstreamPool) limit(bound int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxConns = max(bound, 1)
}

// setRetention sets whether idle connections are kept, and the limit of connections. If they are not kept, none is opened
// beyond the present number, and each is closed after its next request or after replacedIdleTimeout.
func (u *upstreamPool) setRetention(on bool, bound int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retainsIdle, u.maxConns = on, max(bound, 1)
	if on {
		return
	}
	u.maxConns = max(u.open, 1)
	for _, c := range u.idle {
		c.retireTimer.Reset(replacedIdleTimeout)
	}
}

// count returns the number of open connections.
func (u *upstreamPool) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

// drop closes an upstream's idle connections; release closes those in use.
func (u *upstreamPool) drop(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.idle = slices.DeleteFunc(u.idle, func(c *upstreamConn) bool {
		if c.name == name {
			u.closeLocked(c)
		}
		return c.name == name
	})
}

// endLateWait takes c off awaitingLate, with mu held.
func (u *upstreamPool) endLateWait(c *upstreamConn) {
	u.awaitingLate = slices.DeleteFunc(u.awaitingLate, func(x *upstreamConn) bool { return x == c })
}

// closeLocked closes c, with mu held. A second call, as at the end of a wait for a late answer, has no effect.
func (u *upstreamPool) closeLocked(c *upstreamConn) {
	if c.closed {
		return
	}
	c.closed = true
	u.endLateWait(c)
	if c.retireTimer != nil {
		c.retireTimer.Stop()
	}
	_ = c.http.Close()
	u.open--
}

// clientGone reports whether r's client is known to have disconnected.
func (r *clientRequest) clientGone() bool { return r.disconnected != nil && r.disconnected() }

// outgoing returns the request as it is sent to an upstream.
func (r *clientRequest) outgoing(ctx context.Context, address string) *http.Request {
	// Opaque passes path and query on byte for byte.
	req := &http.Request{Method: r.method, URL: &url.URL{Scheme: "http", Host: address, Opaque: r.target},
		Host: r.host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: r.header.Clone()}
	if r.body.length != 0 {
		req.Body, req.ContentLength = r.body.reader(), r.body.length
	}
	return req.WithContext(ctx)
}

// connectionStats returns the pool's state for the line of counts, and restarts the count of opened connections.
func (u *upstreamPool) connectionStats() slog.Attr {
	u.mu.Lock()
	defer u.mu.Unlock()
	opened := u.opened
	u.opened = 0
	return slog.Group("upstream_connections", slog.Int("open", u.open), slog.Int("idle", len(u.idle)),
		slog.Int("await_late_answers", len(u.awaitingLate)), slog.Int("most", u.maxConns), slog.Int("opened", opened))
}
