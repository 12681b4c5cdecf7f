package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mosslead/internal/lab/fake"
	"mosslead/internal/lab/record"
)

const (
	// A client waits this much longer than its patience: an answer that comes by then is late, and a request without any
	// answer is lost.
	answerGrace = 550 * time.Millisecond
	dialTimeout = time.Second
	maxBody     = 1 << 20
	maxIdle     = 30 * time.Second // a connection unused for longer is not used again
)

// Clients send the arrivals of a plan.
type Clients struct {
	rec       *record.Record
	names     []string // of the sidecars
	addresses []string
	maxConns  int // to each sidecar
	pools     []pool
	requests  sync.WaitGroup
	extra     atomic.Int64 // requests beside the plan, see KeepBusy

	mu   sync.Mutex
	lags []time.Duration
}

type pool struct {
	mu   sync.Mutex
	idle []*clientConn // in the order of their last use
	open int
	shut bool // clients open no new connections, see Shut
}

type clientConn struct {
	net.Conn
	r        *bufio.Reader
	used     int // number of requests that it has carried
	lastUsed time.Time
}

// NewClients returns the clients of the sidecars that listen at these addresses, with at most maxConns connections to
// each.
func NewClients(rec *record.Record, names, addresses []string, maxConns int) *Clients {
	return &Clients{rec: rec, names: names, addresses: addresses, maxConns: maxConns, pools: make([]pool, len(names))}
}

// Run sends every arrival at its time after begin, and returns once all have ended. When ctx ends, it sends no more and
// closes what is open.
func (c *Clients) Run(ctx context.Context, p Plan, begin time.Duration) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
send:
	for i := range p.Arrivals {
		at := begin + p.Arrivals[i].At
		if wait := at - c.rec.Now(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				break send
			}
		}
		c.requests.Add(1)
		go func() {
			defer c.requests.Done()
			c.sendArrival(ctx, p.Spec, i, &p.Arrivals[i], begin)
		}()
	}
	c.requests.Wait()
	for i := range c.pools {
		for _, conn := range c.pools[i].idle {
			_ = conn.Close()
		}
	}
}

// Lags returns how late each arrival's first try began.
func (c *Clients) Lags() []time.Duration { return c.lags }

// sendArrival sends one arrival, with all of its tries.
func (c *Clients) sendArrival(ctx context.Context, spec Spec, n int, a *Arrival, begin time.Duration) {
	class := spec.Classes[a.Class]
	req := &record.Request{ID: a.ID, Wish: n, Sidecar: c.names[a.Sidecar], Class: class.Name, Tenant: a.Tenant, Key: a.Key,
		Worth: class.Worth, Work: a.Work, Safe: class.Safe, Intended: begin + a.At, Aim: class.Aim, Patience: a.Patience}
	lag := c.rec.Now() - req.Intended
	c.mu.Lock()
	c.lags = append(c.lags, lag)
	c.mu.Unlock()
	c.sendTry(ctx, a, req, nil)
	mayRepeat := req.End == record.Refused || (class.Safe && (req.End == record.Failed || req.End == record.NoConnect || req.End == record.Dropped))
	if !a.Retry || !mayRepeat || a.Leaves > 0 {
		return
	}
	at := req.Ended + a.Backoff
	remaining := req.Intended + class.Deadline - at
	if remaining <= 0 {
		return
	}
	select {
	case <-time.After(at - c.rec.Now()):
	case <-ctx.Done():
		return
	}
	retry := *req
	retry.ID, retry.Try, retry.Intended, retry.Patience = a.RetryID, 1, at, min(a.Patience, remaining)
	retry.Sent, retry.Ended, retry.End, retry.FirstUse, retry.Body = 0, 0, record.Pending, false, ""
	c.sendTry(ctx, a, &retry, nil)
}

// sendTry sends a request and waits for its end. The first connection that it uses is conn, unless conn is nil.
func (c *Clients) sendTry(ctx context.Context, a *Arrival, req *record.Request, conn *clientConn) {
	c.rec.Request(req)
	for resent := false; ; resent = true {
		var err error
		if conn == nil || resent {
			conn, err = c.acquire(a.Sidecar, resent)
		}
		if err != nil {
			req.End = record.NoConnect
			break
		}
		req.FirstUse = conn.used == 0
		crossed := c.exchange(ctx, a, req, conn)
		// The sidecar closed an idle connection while the request was on its way, so the request is sent
		// again, unless the sidecar's process was killed: then the request may have run.
		if crossed && !req.FirstUse && !resent && !c.rec.EndedSince(req.Sidecar, req.Sent) {
			continue
		}
		break
	}
	req.Ended = c.rec.Now()
}

// exchange sends a request on a connection and reads its answer. crossed reports that the connection ended without a
// byte of an answer.
func (c *Clients) exchange(ctx context.Context, a *Arrival, req *record.Request, conn *clientConn) (crossed bool) {
	reusable := false
	stopCancel := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		stopCancel()
		c.release(a.Sidecar, conn, reusable && ctx.Err() == nil)
	}()
	conn.used++
	deadline := req.Intended + req.Patience + answerGrace
	leavesEarly := a.Leaves > 0 && req.Try == 0
	if leavesEarly {
		deadline = req.Intended + a.Leaves
	}
	if err := conn.SetDeadline(c.rec.At(deadline)); err != nil {
		req.End = record.Dropped
		return true
	}
	if ctx.Err() != nil {
		req.End = record.Unsent
		return false
	}
	if _, err := conn.Write(c.encode(req)); err != nil {
		req.End = record.Dropped
		return true
	}
	req.Sent = c.rec.Now()
	if _, err := conn.r.Peek(1); err != nil {
		switch {
		case ctx.Err() != nil:
			req.End = record.Unsent
		case !isTimeout(err):
			req.End = record.Dropped
			c.rec.Cut(record.Cut{Request: req.ID, Sidecar: req.Sidecar, Sent: req.Sent, At: c.rec.Now(), Reset: !errors.Is(err, io.EOF)})
			return true
		case leavesEarly:
			req.End = record.Left
		default:
			req.End = record.Unanswered
		}
		return false
	}
	resp, err := http.ReadResponse(conn.r, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxBody))
	}
	switch {
	case err != nil && ctx.Err() != nil:
		req.End = record.Unsent
	case err != nil:
		req.End = record.Broken
	case resp.StatusCode == http.StatusOK:
		req.End, req.Body = record.Served, string(body)
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		req.End = record.Refused
	default:
		req.End = record.Failed
	}
	reusable = err == nil && !resp.Close
	return false
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// encode returns the HTTP request as bytes.
func (c *Clients) encode(req *record.Request) []byte {
	method, body := fake.Form(req)
	var text strings.Builder
	remaining := req.Intended + req.Patience - c.rec.Now()
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n", method, fake.Path(req), req.ID, req.Class)
	if req.Tenant != "" {
		fmt.Fprintf(&text, "X-Tenant-Id: %s\r\n", req.Tenant)
	}
	fmt.Fprintf(&text, "X-Timeout: %du\r\n", max(1, remaining.Microseconds()))
	if method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n")
	text.Write(body)
	return []byte(text.String())
}

// acquire returns the idle connection that was used last, or opens one. With fresh, it always opens one.
func (c *Clients) acquire(sidecar int, fresh bool) (*clientConn, error) {
	p := &c.pools[sidecar]
	p.mu.Lock()
	for !fresh && len(p.idle) > 0 {
		conn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(conn.lastUsed) < maxIdle && !conn.closedByPeer() {
			p.mu.Unlock()
			return conn, nil
		}
		p.open--
		_ = conn.Close()
	}
	if p.shut {
		p.mu.Unlock()
		return nil, errors.New("the sidecar was told to end")
	}
	if p.open >= c.maxConns {
		p.mu.Unlock()
		return nil, fmt.Errorf("%d connections are open", c.maxConns)
	}
	p.open++
	p.mu.Unlock()
	raw, err := net.DialTimeout("tcp", c.addresses[sidecar], dialTimeout)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return &clientConn{Conn: raw, r: bufio.NewReader(raw)}, nil
}

// release gives a connection back to the pool, or closes it.
func (c *Clients) release(sidecar int, conn *clientConn, keep bool) {
	p := &c.pools[sidecar]
	p.mu.Lock()
	defer p.mu.Unlock()
	if !keep {
		p.open--
		_ = conn.Close()
		return
	}
	conn.lastUsed = time.Now()
	p.idle = append(p.idle, conn)
}
