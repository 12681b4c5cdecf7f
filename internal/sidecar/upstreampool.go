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
	"sync/atomic"
	"time"

	"mosslead/balancer"
	"mosslead/internal/wire"
)

const (
	maxHeader           = 16 << 10
	replacedIdleTimeout = 500 * time.Millisecond // for the last requests that clients bring to a process that is replaced
	idleFraction        = 0.6                    // idle connections are retired after this part of the time after which upstreams close them
	minIdleBeforeReuse  = 10 * time.Millisecond  // before a connection is used again: a second answer may follow the first by some milliseconds
)

// upstreamPool carries out attempts, over connections that carry one request at a time.
type upstreamPool struct {
	directory  *endpointDirectory
	dial       dialer
	dispatched func() // called when an attempt was written completely
	budget     *byteBudget

	mu           sync.Mutex
	times        connTimeouts
	maxConns     int  // connections
	retainsIdle  bool // not once another process accepts the clients
	open         int
	opened       int             // since the last line of statistics
	idle         []*upstreamConn // the one idle for longest first
	awaitingLate []*upstreamConn // connections with an answer that nobody waits for; the oldest first
}

func newUpstreamPool(c *Config, clk clock, bound int) *upstreamPool {
	u := &upstreamPool{dial: c.dial, dispatched: func() {}, budget: &byteBudget{left: int64(c.Limits.MemoryMB * budgetFraction * (1 << 20))},
		maxConns: bound, retainsIdle: true}
	u.updateSettings(c.Settings)
	u.directory = newEndpointDirectory(clk, u.drop)
	return u
}

// connTimeouts are the settings' times of connections.
type connTimeouts struct {
	connect time.Duration
	idle    time.Duration // after which a connection is closed
	late    time.Duration // for how long a connection waits for a late answer, or for a stalled one
}

// updateSettings applies other settings, for what begins from now on.
func (u *upstreamPool) updateSettings(s wire.Settings) {
	t := connTimeouts{connect: s.ConnectTimeout, idle: time.Duration(float64(s.ConnIdle) * idleFraction)}
	for _, class := range s.Classes {
		t.late = max(t.late, class.Deadline)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.times = t
}

// upstreamConn is one connection. It watches its own writes: the HTTP library reports a request as written
// while it is still in a buffer.
type upstreamConn struct {
	net.Conn
	http       *http.ClientConn
	name       string
	address    endpointAddress
	retire     *time.Timer
	uses       int       // requests that it was acquired for
	releasedAt time.Time // when it was last released
	closed     bool      // under the pool's lock

	writeTimeout   time.Duration // for a write
	allowed        func() error  // why the next request may not be written any more; nil: it may
	firstByteSent  atomic.Bool   // its first byte was
	disallowed     atomic.Bool   // the request was not written
	requestEncoded atomic.Bool   // completely, as far as the library knows
	writeFailed    atomic.Bool   // so the last byte was not written
	idleReading    atomic.Bool   // the library waits for bytes, and has none left over from what it read before
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

// Write checks once more whether the request may still go. It guards against attempts that begin although,
// since the decision, the upstream began to drain, the client left, the time for a retry ran out or the
// connection ended: while the connection was made, say.
func (c *upstreamConn) Write(p []byte) (int, error) {
	if !c.firstByteSent.Swap(true) {
		if err := c.allowed(); err != nil {
			c.disallowed.Store(true)
			return 0, err
		}
	}
	_ = c.SetWriteDeadline(time.Now().Add(c.writeTimeout)) // can't fail on an open connection
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// Read notes when the library has read all that came, and waits for more.
func (c *upstreamConn) Read(p []byte) (int, error) {
	c.idleReading.Store(true)
	n, err := c.Conn.Read(p)
	c.idleReading.Store(false)
	return n, err
}

// unusable tells whether a connection can't be used again: its other side has closed it, or sent more than
// the answers to its requests, which the library would take for the next answer. Called with no request on
// it.
func (c *upstreamConn) unusable() bool {
	bytes, end := pending(c.Conn)
	return bytes || end || !c.idleReading.Load()
}

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

// attempt sends a request to an upstream once, and waits for its end or that of ctx. From the clock time before on, where that
// is above 0, it does not begin.
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
		ended.drop() // it began just too late
		return rep
	}
	close(x.abandoned)
	rep.abandon = func() { u.abandon(x.readCtx, c) }
	return rep
}

// connFor is a connection on which the attempt may begin, an idle or a new one; nil: failure says why there is none.
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
	case errors.Is(err, errSaturated): // says nothing of the upstream
		return nil, attemptReply{result: balancer.NotSent, err: err}
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return nil, attemptReply{result: balancer.Cancelled, err: err}
	case err != nil:
		return nil, attemptReply{result: balancer.ConnectFailed, err: err}
	}
	if err := u.canBegin(ctx, c, r, before); err != nil { // connecting took its time; others can use the connection
		u.release(c)
		return nil, attemptReply{result: balancer.NotSent, err: err}
	}
	return c, failure
}

// canBegin tells why an attempt may not begin, or no longer; nil: it may.
func (u *upstreamPool) canBegin(ctx context.Context, c *upstreamConn, r *clientRequest, before time.Duration) error {
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

// timedOut tells whether ctx ended because its time is over; that of a request whose body comes slowly is set
// late, see dispatcher.onBodyComplete.
func timedOut(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// awaitLateAnswer lets a connection wait for an answer that nobody else waits for, so that it can be used
// again: the upstream works on it all the same, and the first request on a new connection would pay for a
// handshake with time that it may not have. Only for a request that was sent completely.
func (u *upstreamPool) awaitLateAnswer(exchangeCtx context.Context, c *upstreamConn, end context.CancelFunc) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !c.requestEncoded.Load() || c.writeFailed.Load() || c.closed || exchangeCtx.Err() != nil {
		return false
	}
	u.awaitingLate = append(u.awaitingLate, c)
	timer := time.AfterFunc(u.times.late, end)
	context.AfterFunc(exchangeCtx, func() { timer.Stop() })
	return true
}

// abandon closes c unless its exchange is over: it may carry another by now.
func (u *upstreamPool) abandon(exchangeCtx context.Context, c *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if exchangeCtx.Err() == nil {
		u.closeLocked(c)
	}
}

// connect opens a connection. At the limit it closes the oldest that waits for a late answer, or the one idle
// for longest, instead of failing.
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
	times := u.times
	u.mu.Unlock()
	c := &upstreamConn{name: name, address: at, writeTimeout: times.late}
	var err error
	if c.Conn, err = u.dial.within(ctx, times.connect, "tcp", at.address); err == nil {
		var protocols http.Protocols
		protocols.SetHTTP1(true)
		transport := &http.Transport{
			DialContext:            func(context.Context, string, string) (net.Conn, error) { return c, nil },
			DisableCompression:     true, // bodies go through as they are
			MaxResponseHeaderBytes: maxHeader,
			Protocols:              &protocols,
		}
		// A ClientConn never sends a request twice, as a Transport does on connections that it reuses.
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

// acquire returns the upstream's connection that was used last, or nil. One that is unusable is closed; one
// that was released a moment ago is left, as a second answer may still come on it.
func (u *upstreamPool) acquire(name string, at endpointAddress) *upstreamConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := len(u.idle) - 1; i >= 0; i-- {
		c := u.idle[i]
		if c.name != name || c.uses > 0 && time.Since(c.releasedAt) < minIdleBeforeReuse {
			continue
		}
		u.idle = slices.Delete(u.idle, i, i+1)
		if c.retire.Stop() && c.http.Err() == nil && c.address == at && (c.uses == 0 || !c.unusable()) {
			return c
		}
		u.closeLocked(c)
	}
	return nil
}

func (u *upstreamPool) release(c *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endLateWait(c)
	if c.closed || !u.retainsIdle || !u.directory.ready(c.name, c.address) || c.http.Err() != nil {
		u.closeLocked(c)
		return
	}
	c.releasedAt = time.Now()
	c.retire = time.AfterFunc(u.times.idle, func() { u.retire(c) })
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

func (u *upstreamPool) discard(c *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeLocked(c)
}

// limit bounds the connections anew.
func (u *upstreamPool) limit(bound int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxConns = max(bound, 1)
}

// setRetention says whether idle connections are kept. Where not, none is opened beyond those that there are, each ends with
// its next request, and those that get none within replacedIdleTimeout end then.
func (u *upstreamPool) setRetention(on bool, bound int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retainsIdle, u.maxConns = on, max(bound, 1)
	if on {
		return
	}
	u.maxConns = max(u.open, 1)
	for _, c := range u.idle {
		c.retire.Reset(replacedIdleTimeout)
	}
}

func (u *upstreamPool) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

// drop closes an upstream's idle connections; those in use end with what they carry, see put.
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

func (u *upstreamPool) endLateWait(c *upstreamConn) {
	u.awaitingLate = slices.DeleteFunc(u.awaitingLate, func(x *upstreamConn) bool { return x == c })
}

// closeLocked is called with mu held. A connection that is closed while it waits for a late answer is closed
// again when the wait ends, to no effect.
func (u *upstreamPool) closeLocked(c *upstreamConn) {
	if c.closed {
		return
	}
	c.closed = true
	u.endLateWait(c)
	if c.retire != nil {
		c.retire.Stop()
	}
	_ = c.http.Close()
	u.open--
}

// clientGone tells whether r's client has left, as far as can be seen now.
func (r *clientRequest) clientGone() bool { return r.disconnected != nil && r.disconnected() }

// outgoing is the request as an upstream gets it.
func (r *clientRequest) outgoing(ctx context.Context, address string) *http.Request {
	// Opaque keeps path and query byte for byte.
	req := &http.Request{Method: r.method, URL: &url.URL{Scheme: "http", Host: address, Opaque: r.target},
		Host: r.host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: r.header.Clone()}
	if r.body.length != 0 {
		req.Body, req.ContentLength = r.body.reader(), r.body.length
	}
	return req.WithContext(ctx)
}

// connectionStats is the pool's state, for the line of counts.
func (u *upstreamPool) connectionStats() slog.Attr {
	u.mu.Lock()
	defer u.mu.Unlock()
	opened := u.opened
	u.opened = 0
	return slog.Group("upstream_connections", slog.Int("open", u.open), slog.Int("idle", len(u.idle)),
		slog.Int("await_late_answers", len(u.awaitingLate)), slog.Int("most", u.maxConns), slog.Int("opened", opened))
}
