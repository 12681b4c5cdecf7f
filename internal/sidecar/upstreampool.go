package sidecar

import (
	"cmp"
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
	upstreamBufferBytes = 2 << 10                // of the HTTP library, for reading and for writing
	replacedIdleTimeout = 500 * time.Millisecond // how long a process that is being replaced retains idle connections for its last requests
	idleFraction        = 0.6                    // fraction of the upstreams' idle time-out after which an idle connection is closed
	minIdleBeforeReuse  = 10 * time.Millisecond  // an upstream may send a surplus second answer milliseconds after the first
)

// upstreamPool sends attempts over connections that carry one request at a time. It is safe for concurrent use.
type upstreamPool struct {
	directory    *endpointDirectory
	dial         dialer
	onDispatched func() // called when the request of an attempt was written completely
	memory       *memoryAccount
	cutOff       *limitedLog // log of answers that had begun when their attempt ended

	mu           sync.Mutex
	timeouts     connTimeouts
	maxConns     int
	retainsIdle  bool            // false once another process accepts the clients
	open         int             // number of open connections
	opened       int             // number of connections opened since the last log line of counts
	idle         []*upstreamConn // longest idle first
	awaitingLate []*upstreamConn // connections with an outstanding answer for which no request waits; oldest first
}

func newUpstreamPool(c *Config, clk clock, maxConns int) *upstreamPool {
	u := &upstreamPool{dial: c.dial, onDispatched: func() {}, memory: cmp.Or(c.account, newMemoryAccount(c.Limits.MemoryMB)),
		cutOff: newLimitedLog(maxFailureLines), maxConns: maxConns, retainsIdle: true}
	u.updateSettings(c.Settings)
	u.directory = newEndpointDirectory(clk, u.drop)
	u.directory.onResize = func(added int) { u.memory.charge(int64(added) * endpointMemory) }
	return u
}

// connTimeouts are the time-outs of connections, from the settings.
type connTimeouts struct {
	connect time.Duration
	idle    time.Duration // an idle connection is closed after this time
	late    time.Duration // longest wait for a late answer, and for one write
}

// updateSettings sets the time-outs of connections and attempts that start afterwards.
func (u *upstreamPool) updateSettings(s wire.Settings) {
	timeouts := connTimeouts{connect: s.ConnectTimeout, idle: time.Duration(float64(s.ConnIdle) * idleFraction)}
	for _, class := range s.Classes {
		timeouts.late = max(timeouts.late, class.Deadline)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.timeouts = timeouts
}

// errAnswered ends an attempt whose request has its final answer: no other attempt will follow.
var errAnswered = errors.New("the request has its final answer")

// errBodyExpired ends an attempt by a time-out, see bodyExpired.
var errBodyExpired = fmt.Errorf("the client's time is over while its body is received: %w", context.DeadlineExceeded)

var (
	errEndpointUnavailable = errors.New("the upstream is draining or was removed")
	errClientDisconnected  = errors.New("the client has disconnected")
	errRetryWindowOver     = errors.New("the time for another attempt is over")
	errUnexpectedBytes     = errors.New("the upstream sent unrequested bytes or closed the connection")
	errBodyConsumed        = errors.New("another attempt has consumed the body")
	errSaturated           = errors.New("all upstream connections that the limits allow are busy")
)

// attemptReply is the outcome of an attempt. header, body, rest, reservedBytes and memory belong to an answer.
type attemptReply struct {
	result        balancer.Result
	header        http.Header
	body          []byte
	rest          *responseRest // nil if body is complete
	reservedBytes int64         // reserved in memory for body
	memory        *memoryAccount
	use           connUse
	bodyPassed    int64 // bytes of the request's body that were passed to the HTTP library
	err           error // cause of the failure, for the log

	abandon func() // closes the connection, which still waits for the answer; nil if it does not wait
}

// attempt sends a request to an upstream once, and blocks until the attempt or ctx ends. If startBefore is above 0, the
// attempt does not begin at or after that clock time.
func (u *upstreamPool) attempt(ctx context.Context, name string, r *clientRequest, startBefore time.Duration) attemptReply {
	if r.body.isConsumed() { // an earlier attempt is sending the body, or has sent a part of it
		return attemptReply{result: balancer.NotSent, err: errBodyConsumed}
	}
	c, failure := u.connFor(ctx, name, r, startBefore)
	if c == nil {
		return failure
	}
	c.uses++
	use := connUse{nth: c.uses}
	if c.uses > 1 {
		use.idle = time.Since(c.releasedAt)
	}
	x := u.startExchange(ctx, c, r, startBefore, use)
	select {
	case reply := <-x.reply:
		return reply
	case <-ctx.Done():
	}
	if held := x.held.attrs(); held != nil && !errors.Is(context.Cause(ctx), errAnswered) {
		u.cutOff.log("answer cut off", func() []slog.Attr {
			return append(held, slog.String("request", truncate(r.id)), slog.String("upstream", name), slog.Any("err", context.Cause(ctx)))
		})
	}
	reply := attemptReply{result: balancer.Cancelled, use: use, err: context.Cause(ctx)}
	timeout := timedOut(ctx)
	if timeout {
		reply.result = balancer.Timeout
	}
	mayAwaitAnswer := timeout || errors.Is(context.Cause(ctx), errAnswered)
	if !mayAwaitAnswer || !u.awaitLateAnswer(x.readCtx, c, x.cancelRead) {
		x.cancelRead()
		ended := <-x.reply
		if ended.rest == nil {
			return ended
		}
		ended.drop() // the answer began just after ctx ended
		return reply
	}
	close(x.abandoned)
	reply.abandon = func() { u.abandon(x.readCtx, c) }
	return reply
}

// connFor returns an idle or new connection on which the attempt may begin. If there is none, c is nil and failure is the
// outcome of the attempt.
func (u *upstreamPool) connFor(ctx context.Context, name string, r *clientRequest, startBefore time.Duration) (c *upstreamConn, failure attemptReply) {
	address, ok := u.directory.address(name)
	if !ok {
		return nil, attemptReply{result: balancer.NotSent}
	}
	if c = u.acquire(name, address); c != nil {
		return c, failure
	}
	c, err := u.connect(ctx, name, address)
	switch {
	case errors.Is(err, errSaturated): // does not count as a failure of the upstream
		return nil, attemptReply{result: balancer.NotSent, err: err}
	case err != nil && errors.Is(ctx.Err(), context.Canceled) && !timedOut(ctx):
		return nil, attemptReply{result: balancer.Cancelled, err: err}
	case err != nil:
		return nil, attemptReply{result: balancer.ConnectFailed, err: err}
	}
	if err := u.checkMayBegin(ctx, c, r, startBefore); err != nil { // the attempt may no longer begin now that c is open; another request can use c
		u.release(c)
		return nil, attemptReply{result: balancer.NotSent, err: err}
	}
	return c, failure
}

// checkMayBegin returns the reason why an attempt may not begin, or nil if it may.
func (u *upstreamPool) checkMayBegin(ctx context.Context, c *upstreamConn, r *clientRequest, startBefore time.Duration) error {
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case startBefore > 0 && u.directory.clock.now() >= startBefore:
		return errRetryWindowOver
	case r.clientDisconnected():
		return errClientDisconnected
	case !u.directory.ready(c.name, c.address):
		return errEndpointUnavailable
	case c.uses > 1 && !c.idleReading.Load():
		return errUnexpectedBytes
	}
	return nil
}

// timedOut reports whether ctx ended by its deadline. For a request whose body arrives slowly, the dispatcher sets the deadline
// in onBodyComplete, or ends the attempt in onBodyExpired, and cancels ctx with context.DeadlineExceeded as the cause.
func timedOut(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// awaitLateAnswer keeps a connection open for an answer that its request no longer waits for, so that it can be used again:
// the first request on a new connection has to wait for the handshake. It returns false if the connection can't stay open,
// for instance because the request was not sent completely.
func (u *upstreamPool) awaitLateAnswer(exchangeCtx context.Context, c *upstreamConn, cancelExchange context.CancelFunc) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !c.requestEncoded.Load() || c.writeFailed.Load() || c.closed || exchangeCtx.Err() != nil {
		return false
	}
	u.awaitingLate = append(u.awaitingLate, c)
	timer := time.AfterFunc(u.timeouts.late, cancelExchange)
	context.AfterFunc(exchangeCtx, func() { timer.Stop() })
	return true
}

// abandon closes c unless its exchange has ended, because c may then carry another one.
func (u *upstreamPool) abandon(exchangeCtx context.Context, c *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if exchangeCtx.Err() == nil {
		u.closeLocked(c)
	}
}

// connect opens a connection. At the limit it first closes the connection that has waited longest for a late answer, or else
// the longest idle one; it fails with errSaturated if there is neither.
func (u *upstreamPool) connect(ctx context.Context, name string, address endpointAddress) (*upstreamConn, error) {
	u.mu.Lock()
	for u.open >= u.maxConns {
		if !u.closeUnneeded() {
			u.mu.Unlock()
			return nil, errSaturated
		}
	}
	u.open++
	u.opened++
	timeouts := u.timeouts
	u.mu.Unlock()
	c := &upstreamConn{name: name, address: address, writeTimeout: timeouts.late, writing: make(chan struct{}, 1)}
	var err error
	if c.Conn, err = u.dial.dialTimeout(ctx, timeouts.connect, "tcp", address.address); err == nil {
		var protocols http.Protocols
		protocols.SetHTTP1(true)
		transport := &http.Transport{
			DialContext:            func(context.Context, string, string) (net.Conn, error) { return c, nil },
			DisableCompression:     true, // bodies are passed on unchanged
			MaxResponseHeaderBytes: maxHeader,
			Protocols:              &protocols,
			ReadBufferSize:         upstreamBufferBytes,
			WriteBufferSize:        upstreamBufferBytes,
		}
		// A ClientConn never sends a request twice; a Transport retries on connections that it reuses.
		if c.http, err = transport.NewClientConn(ctx, "http", address.address); err == nil {
			return c, nil
		}
		_ = c.Close()
	}
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
	return nil, fmt.Errorf("connecting to %s: %w", name, err)
}

// acquire returns the most recently used idle connection to the upstream, or nil if there is none. It closes unusable ones,
// and skips those released less than minIdleBeforeReuse ago.
func (u *upstreamPool) acquire(name string, address endpointAddress) *upstreamConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := len(u.idle) - 1; i >= 0; i-- {
		c := u.idle[i]
		if c.name != name || c.uses > 0 && time.Since(c.releasedAt) < minIdleBeforeReuse {
			continue
		}
		u.idle = slices.Delete(u.idle, i, i+1)
		if c.retireTimer.Stop() && c.http.Err() == nil && c.address == address && (c.uses == 0 || !c.unusable()) {
			u.releaseIdleMemory(c)
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
	if c.closed || !u.retainsIdle || !u.directory.ready(c.name, c.address) || c.http.Err() != nil || !u.memory.tryOnce(upstreamConnMemory, useConnections) {
		u.closeLocked(c)
		return
	}
	c.idleMemory = true
	c.releasedAt = time.Now()
	c.retireTimer = time.AfterFunc(u.timeouts.idle, func() { u.retire(c) })
	u.idle = append(u.idle, c)
}

// releaseIdleMemory returns what is reserved for an idle connection. The caller holds mu.
func (u *upstreamPool) releaseIdleMemory(c *upstreamConn) {
	if c.idleMemory {
		c.idleMemory = false
		u.memory.release(upstreamConnMemory)
	}
}

// reclaim closes the connection that has waited longest for a late answer, or else the longest idle one, since memory is short. It
// reports whether there was one.
func (u *upstreamPool) reclaim() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.closeUnneeded()
}

// closeUnneeded closes the connection that has waited longest for a late answer, or else the longest idle one. It reports whether there
// was one. The caller holds mu.
func (u *upstreamPool) closeUnneeded() bool {
	switch {
	case len(u.awaitingLate) > 0:
		u.closeLocked(u.awaitingLate[0])
	case len(u.idle) > 0:
		u.closeLocked(u.idle[0])
		u.idle = slices.Delete(u.idle, 0, 1)
	default:
		return false
	}
	return true
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

// limit sets the maximum number of connections.
func (u *upstreamPool) limit(maxConns int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxConns = max(maxConns, 1)
}

// setRetention sets whether idle connections are retained, and the maximum number of connections. If they are not, the
// number of open connections becomes the maximum, and each is closed after its next request or after replacedIdleTimeout.
func (u *upstreamPool) setRetention(retain bool, maxConns int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retainsIdle, u.maxConns = retain, max(maxConns, 1)
	if retain {
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

// drop closes an upstream's idle connections; release closes its others once they are no longer in use.
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

// endLateWait removes c from awaitingLate. The caller holds mu.
func (u *upstreamPool) endLateWait(c *upstreamConn) {
	u.awaitingLate = slices.DeleteFunc(u.awaitingLate, func(x *upstreamConn) bool { return x == c })
}

// closeLocked closes c. The caller holds mu. A second call, as at the end of a wait for a late answer, has no effect.
func (u *upstreamPool) closeLocked(c *upstreamConn) {
	if c.closed {
		return
	}
	c.closed = true
	u.endLateWait(c)
	u.releaseIdleMemory(c)
	if c.retireTimer != nil {
		c.retireTimer.Stop()
	}
	_ = c.http.Close()
	u.open--
}

// clientDisconnected reports whether r's client is known to have disconnected.
func (r *clientRequest) clientDisconnected() bool { return r.disconnected != nil && r.disconnected() }

// outgoing returns the request as it is sent to an upstream.
func (r *clientRequest) outgoing(ctx context.Context, address string) *http.Request {
	// Opaque passes on the path and query byte for byte.
	req := &http.Request{Method: r.method, URL: &url.URL{Scheme: "http", Host: address, Opaque: r.target},
		Host: r.host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: r.header.Clone()}
	if r.body.length != 0 {
		req.Body, req.ContentLength = r.body.reader(), r.body.length
	}
	return req.WithContext(ctx)
}

// connectionStats returns the pool's state for the log line of counts, and resets the count of opened connections.
func (u *upstreamPool) connectionStats() slog.Attr {
	u.mu.Lock()
	defer u.mu.Unlock()
	opened := u.opened
	u.opened = 0
	return slog.Group("upstream_connections", slog.Int("open", u.open), slog.Int("idle", len(u.idle)),
		slog.Int("await_late_answers", len(u.awaitingLate)), slog.Int("most", u.maxConns), slog.Int("opened", opened))
}
