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
	// A client waits so much longer than its patience: an answer that comes by then is late, and none at all is lost.
	answerGrace = 550 * time.Millisecond
	dialTimeout = time.Second
	maxBody     = 1 << 20
	maxIdle     = 30 * time.Second // a connection unused for longer is not used again
)

// Clients send a plan's arrivals.
type Clients struct {
	rec       *record.Record
	names     []string // of the sidecars
	addresses []string
	maxConns  int // connections to each sidecar
	pools     []pool
	requests  sync.WaitGroup
	extra     atomic.Int64 // requests beside the plan, see KeepBusy

	mu   sync.Mutex
	lags []time.Duration
}

type pool struct {
	mu   sync.Mutex
	idle []*clientConn // the latest used last
	open int
	shut bool // no new connections, see Shut
}

type clientConn struct {
	net.Conn
	r        *bufio.Reader
	used     int
	lastUsed time.Time
}

// NewClients are the clients of sidecars that listen at these addresses, with at most so many connections to each.
func NewClients(rec *record.Record, names, address []string, most int) *Clients {
	return &Clients{rec: rec, names: names, addresses: address, maxConns: most, pools: make([]pool, len(names))}
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

// Lags are how late each first try was begun.
func (c *Clients) Lags() []time.Duration { return c.lags }

// sendArrival is one arrival with all of its tries.
func (c *Clients) sendArrival(ctx context.Context, spec Spec, n int, a *Arrival, begin time.Duration) {
	class := spec.Classes[a.Class]
	q := &record.Request{ID: a.ID, Wish: n, Sidecar: c.names[a.Sidecar], Class: class.Name, Tenant: a.Tenant, Key: a.Key,
		Worth: class.Worth, Work: a.Work, Safe: class.Safe, Intended: begin + a.At, Aim: class.Aim, Patience: a.Patience}
	lag := c.rec.Now() - q.Intended
	c.mu.Lock()
	c.lags = append(c.lags, lag)
	c.mu.Unlock()
	c.sendTry(ctx, a, q, nil)
	again := q.End == record.Refused || (class.Safe && (q.End == record.Failed || q.End == record.NoConnect || q.End == record.Dropped))
	if !a.Retry || !again || a.Leaves > 0 {
		return
	}
	at := q.Ended + a.Backoff
	left := q.Intended + class.Deadline - at
	if left <= 0 {
		return
	}
	select {
	case <-time.After(at - c.rec.Now()):
	case <-ctx.Done():
		return
	}
	next := *q
	next.ID, next.Try, next.Intended, next.Patience = a.RetryID, 1, at, min(a.Patience, left)
	next.Sent, next.Ended, next.End, next.FirstUse, next.Body = 0, 0, record.Pending, false, ""
	c.sendTry(ctx, a, &next, nil)
}

// sendTry sends a request and waits for its end, on that connection first, unless it is nil.
func (c *Clients) sendTry(ctx context.Context, a *Arrival, q *record.Request, conn *clientConn) {
	c.rec.Request(q)
	for resent := false; ; resent = true {
		var err error
		if conn == nil || resent {
			conn, err = c.acquire(a.Sidecar, resent)
		}
		if err != nil {
			q.End = record.NoConnect
			break
		}
		q.FirstUse = conn.used == 0
		crossed := c.exchange(ctx, a, q, conn)
		// The sidecar closed a connection that was between requests, and this one crossed it. Not so where its
		// process was killed: then it may have run.
		if crossed && !q.FirstUse && !resent && !c.rec.EndedSince(q.Sidecar, q.Sent) {
			continue
		}
		break
	}
	q.Ended = c.rec.Now()
}

// exchange sends q on a connection and reads its answer; crossed tells that the connection ended without a byte.
func (c *Clients) exchange(ctx context.Context, a *Arrival, q *record.Request, conn *clientConn) (crossed bool) {
	whole := false
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		stop()
		c.release(a.Sidecar, conn, whole && ctx.Err() == nil)
	}()
	conn.used++
	until := q.Intended + q.Patience + answerGrace
	leaves := a.Leaves > 0 && q.Try == 0
	if leaves {
		until = q.Intended + a.Leaves
	}
	if err := conn.SetDeadline(c.rec.At(until)); err != nil {
		q.End = record.Dropped
		return true
	}
	if ctx.Err() != nil {
		q.End = record.Unsent
		return false
	}
	if _, err := conn.Write(c.encode(q)); err != nil {
		q.End = record.Dropped
		return true
	}
	q.Sent = c.rec.Now()
	if _, err := conn.r.Peek(1); err != nil {
		switch {
		case ctx.Err() != nil:
			q.End = record.Unsent
		case !isTimeout(err):
			q.End = record.Dropped
			c.rec.Cut(record.Cut{Request: q.ID, Sidecar: q.Sidecar, Sent: q.Sent, At: c.rec.Now(), Reset: !errors.Is(err, io.EOF)})
			return true
		case leaves:
			q.End = record.Left
		default:
			q.End = record.Unanswered
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
		q.End = record.Unsent
	case err != nil:
		q.End = record.Broken
	case resp.StatusCode == http.StatusOK:
		q.End, q.Body = record.Served, string(body)
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		q.End = record.Refused
	default:
		q.End = record.Failed
	}
	whole = err == nil && !resp.Close
	return false
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// encode words a request.
func (c *Clients) encode(q *record.Request) []byte {
	method, body := fake.Form(q)
	var s strings.Builder
	left := q.Intended + q.Patience - c.rec.Now()
	fmt.Fprintf(&s, "%s %s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n", method, fake.Path(q), q.ID, q.Class)
	if q.Tenant != "" {
		fmt.Fprintf(&s, "X-Tenant-Id: %s\r\n", q.Tenant)
	}
	fmt.Fprintf(&s, "X-Timeout: %du\r\n", max(1, left.Microseconds()))
	if method != http.MethodGet {
		fmt.Fprintf(&s, "Content-Length: %d\r\n", len(body))
	}
	s.WriteString("\r\n")
	s.Write(body)
	return []byte(s.String())
}

// acquire gives the latest used connection, or opens one; fresh wants one that was never used.
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

// release gives a connection back, or closes it.
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
