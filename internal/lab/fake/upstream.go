// Package fake owns what sidecars of a play talk to: upstreams and discovery on real sockets, by the protocol of the
// platform; and a naive sidecar that breaks one rule on purpose.
package fake

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"mosslead/internal/lab/model"
	"mosslead/internal/lab/record"
)

const (
	notProcessed = "X-Not-Processed"
	maxBodyBytes = 1 << 20 // of a request; the laboratory's own are far smaller
)

// Trouble is what is wrong with an upstream, by a fault. The zero value: nothing.
type Trouble struct {
	Slower    float64 // so many times; 0 or 1: not at all
	FailShare float64 // of its jobs that end as an error
	FailClass string  // whose requests fail; empty: none
	FailPart  float64 // so many of them, evenly spread
	Hang      bool    // answers probes and never its work
	TurnAway  bool    // takes nothing new: it drains
}

// Upstream is one server, on one address that stays the same over restarts.
type Upstream struct {
	Name string
	Spec model.Spec

	rec           *record.Record
	listenAddress string

	mu            sync.Mutex
	server        *model.Server
	rng           *rand.Rand
	timer         *time.Timer
	trouble       Trouble
	results       map[string]chan model.Done // by job
	jobCount      int
	failClassJobs int               // jobs of the class that fails
	conns         map[string]*conn  // by the address of the other end
	openedBy      map[string]string // the sidecars whose links opened them, by the same
	listener      net.Listener      // nil: the process is down
	coldStart     *record.ColdStart
	stopped       chan struct{} // closed when the process dies
	done          sync.WaitGroup
	onFall        func()
}

// conn is a connection that brought requests.
type conn struct {
	net.Conn
	closed   chan struct{}   // closed once the other side has ended it
	attempt  *record.Attempt // in hand
	accepted bool            // has a place in the table
}

// NewUpstream is an upstream that is to listen at an address; Start brings it up. onFall is called, on a goroutine of
// its own, when it is pushed over.
func NewUpstream(name, listen string, spec model.Spec, rec *record.Record, onFall func()) *Upstream {
	return &Upstream{Name: name, Spec: spec, rec: rec, listenAddress: listen, onFall: onFall, conns: map[string]*conn{}, openedBy: map[string]string{}}
}

// Start begins a process: a cold one, or one that has run for long.
func (u *Upstream) Start(seed uint64, cold bool) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener != nil {
		return fmt.Errorf("upstream %s runs already", u.Name)
	}
	ln, err := net.Listen("tcp", u.listenAddress)
	if err != nil {
		return fmt.Errorf("upstream %s: %w", u.Name, err)
	}
	now := u.rec.Now()
	started := now
	if !cold {
		started = now - u.Spec.ColdFor
	}
	u.listener, u.listenAddress, u.stopped = ln, ln.Addr().String(), make(chan struct{})
	u.server = model.New(u.Spec, seed, started, now)
	u.rng = rand.New(rand.NewPCG(seed, 2))
	u.trouble = Trouble{}
	u.results = map[string]chan model.Done{}
	u.coldStart = nil
	if cold && u.Spec.ColdFor > 0 {
		u.coldStart = &record.ColdStart{Upstream: u.Name, At: now, Capacity: u.Spec.Capacity(), From: u.Spec.ColdFrom,
			For: u.Spec.ColdFor, FallMultiple: u.Spec.FallMultiple, FallFor: u.Spec.FallFor}
		u.rec.Cold(u.coldStart)
	}
	down := u.stopped
	u.timer = time.AfterFunc(time.Hour, func() { u.onTimer(down) })
	u.resetTimer()
	u.done.Add(1)
	go u.accept(ln, down)
	return nil
}

// Address is where it listens.
func (u *Upstream) Address() string { u.mu.Lock(); defer u.mu.Unlock(); return u.listenAddress }

// Kill ends the process as kill -9 does: connections are reset, new ones refused. What it held is lost.
func (u *Upstream) Kill() {
	u.mu.Lock()
	u.killLocked()
	u.mu.Unlock()
}

func (u *Upstream) killLocked() {
	if u.listener == nil {
		return
	}
	_ = u.listener.Close()
	u.listener = nil
	u.timer.Stop()
	close(u.stopped)
	for _, c := range u.conns {
		resetConn(c)
	}
}

// Close kills it and waits until all that it ran has ended.
func (u *Upstream) Close() { u.Kill(); u.done.Wait() }

// Set puts a trouble in place of the one before.
func (u *Upstream) Set(t Trouble) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.trouble = t
	if u.listener != nil {
		u.advance()
		u.server.Trouble(max(t.Slower, 1), t.FailShare)
		u.resetTimer()
	}
}

// Choke turns it slow as a crowd would.
func (u *Upstream) Choke() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener != nil {
		u.advance()
		u.server.ForceChoke()
		u.resetTimer()
	}
}

// Held is how many requests it has in hand; 0 while it is down.
func (u *Upstream) Held() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener == nil {
		return 0
	}
	return u.server.Report().Inflight
}

// Little gives both sides of Little's law over the present process's life.
func (u *Upstream) Little() (area, sojourns float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server == nil {
		return 0, 0
	}
	return u.server.Little()
}

// Began takes note of whose link opened a connection, before anything goes over it.
func (u *Upstream) Began(address, sidecar string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.openedBy[address] = sidecar
}

// Ended takes note that the other side of a connection has ended it, or its sending.
func (u *Upstream) Ended(address string) {
	now := u.rec.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if c := u.conns[address]; c != nil && c.attempt != nil && c.attempt.GivenUp == 0 {
		c.attempt.GivenUp = now
	}
}

func (u *Upstream) onTimer(down chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener == nil || u.stopped != down {
		return
	}
	u.advance()
	u.resetTimer()
}

// advance brings the model to now and hands out what has ended; the caller holds mu.
func (u *Upstream) advance() {
	for _, d := range u.server.Advance(u.rec.Now()) {
		if to := u.results[d.ID]; to != nil {
			delete(u.results, d.ID)
			to <- d // holds one
		}
	}
}

func (u *Upstream) resetTimer() {
	if next := u.server.Next(); next != model.Never {
		u.timer.Reset(max(0, next-u.rec.Now()))
	}
}

func (u *Upstream) accept(ln net.Listener, down chan struct{}) {
	defer u.done.Done()
	for {
		raw, err := ln.Accept()
		if err != nil {
			return // killed
		}
		c := &conn{Conn: raw, closed: make(chan struct{})}
		u.mu.Lock()
		if u.stopped != down || u.listener == nil {
			u.mu.Unlock()
			resetConn(c)
			return
		}
		u.advance()
		if c.accepted = u.server.Connected(1); c.accepted {
			u.server.Charge(u.rec.Now(), u.Spec.Handshake)
		}
		u.resetTimer()
		u.conns[raw.RemoteAddr().String()] = c
		u.done.Add(2)
		u.mu.Unlock()
		requests := make(chan *incoming)
		go u.readRequests(c, requests, down)
		go u.answerRequests(c, requests, down)
	}
}

// incoming is a request that was read whole.
type incoming struct {
	*http.Request
	body                []byte
	firstByte, lastByte time.Duration
}

// readRequests takes requests off a connection until it ends, which it notices while one is in hand too.
func (u *Upstream) readRequests(c *conn, to chan<- *incoming, down <-chan struct{}) {
	defer u.done.Done()
	defer close(to)
	defer close(c.closed)
	r := bufio.NewReader(c)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		in := &incoming{firstByte: u.rec.Now()}
		var err error
		if in.Request, err = http.ReadRequest(r); err != nil {
			return
		}
		if in.body, err = io.ReadAll(io.LimitReader(in.Body, maxBodyBytes)); err != nil {
			return
		}
		in.lastByte = u.rec.Now()
		select {
		case to <- in:
		case <-down:
			return
		}
	}
}

func (u *Upstream) answerRequests(c *conn, requests <-chan *incoming, down <-chan struct{}) {
	defer u.done.Done()
	defer func() {
		_ = c.Close()
		for range requests { // the reader ends with the connection
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.conns, c.RemoteAddr().String())
		delete(u.openedBy, c.RemoteAddr().String())
		if c.accepted && u.stopped == down && u.listener != nil {
			u.advance()
			u.server.Connected(-1)
			u.resetTimer()
		}
	}()
	for in := range requests {
		if !u.serveRequest(c, in, down) {
			return
		}
	}
}

// serveRequest answers one request; false ends the connection.
func (u *Upstream) serveRequest(c *conn, in *incoming, down <-chan struct{}) bool {
	if in.URL.Path == "/-/healthy" || in.URL.Path == "/-/load" {
		return u.answerProbe(c, in)
	}
	id := in.Header.Get("X-Request-ID")
	if id == "" {
		return writeResponse(c, 404, false, "a request without an id\n")
	}
	a := &record.Attempt{Request: id, Upstream: u.Name, First: in.firstByte, Begun: in.lastByte}
	q := u.rec.Lookup(id)
	u.rec.Attempt(a)
	if q == nil || !matchesSent(q, in) {
		u.endAttempt(a, record.Unknown, 400)
		return writeResponse(c, 400, false, "no client sent this\n")
	}
	a.Sidecar, a.Work = cmp.Or(u.sender(c), q.Sidecar), q.Work
	done, offer, fails := u.offerWork(c, a, q)
	if offer != model.Taken {
		u.endAttempt(a, record.TurnedAway, 503)
		if offer == model.Down {
			go u.onFall()
			resetConn(c)
			return false
		}
		return writeResponse(c, 503, true, "full\n")
	}
	select {
	case d := <-done:
		if d.Failed || fails {
			u.endAttempt(a, record.Error, 500)
			return writeResponse(c, 500, false, "error\n")
		}
		u.rec.Change(func() { a.Body = fmt.Sprintf("%s %s %s\n", id, u.Name, d.ID) })
		u.endAttempt(a, record.OK, 200)
		return writeResponse(c, 200, false, a.Body)
	case <-c.closed: // the work goes on, and nobody hears of it
		u.endAttempt(a, record.GivenUp, 0)
		return false
	case <-down:
		u.endAttempt(a, record.Lost, 0)
		return false
	}
}

// sender is the sidecar whose link brought a connection; empty: it came without one.
func (u *Upstream) sender(c *conn) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.openedBy[c.RemoteAddr().String()]
}

// endAttempt notes an attempt's end, at which it is no longer out: before the answer's first byte, so that what the sidecar
// does upon that answer never seems to come before it.
func (u *Upstream) endAttempt(a *record.Attempt, how record.How, status int) {
	now := u.rec.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	a.How, a.Status = how, status
	if how != record.GivenUp {
		a.Ended = now
	} else if a.GivenUp == 0 {
		a.GivenUp = now
	}
}

// offerWork brings a request's work to the model. The connection's table and a drain turn it away before. fails says that
// the answer will be an error; where the upstream hangs, done brings nothing.
func (u *Upstream) offerWork(c *conn, a *record.Attempt, q *record.Request) (done chan model.Done, offer model.Offer, fails bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c.attempt = a
	if u.listener == nil {
		return nil, model.Full, false // dying: nothing has run
	}
	if !c.accepted || u.trouble.TurnAway {
		return nil, model.Full, false
	}
	u.advance()
	u.jobCount++
	job := model.Job{ID: strconv.Itoa(u.jobCount), Key: q.Key, Work: q.Work}
	done = make(chan model.Done, 1)
	offer = u.server.Offer(u.rec.Now(), job)
	switch {
	case offer == model.Down:
		if u.coldStart != nil && u.coldStart.Fell == 0 {
			u.coldStart.Fell = u.rec.Now()
		}
		u.killLocked()
	case offer == model.Taken && !u.trouble.Hang:
		u.results[job.ID] = done
	}
	if offer != model.Down {
		u.resetTimer()
	}
	if u.trouble.FailClass == q.Class {
		u.failClassJobs++
		part := u.trouble.FailPart
		fails = int(float64(u.failClassJobs)*part) > int(float64(u.failClassJobs-1)*part)
	}
	return done, offer, fails
}

// matchesSent tells whether a request is one that its client sent, in that form.
func matchesSent(q *record.Request, in *incoming) bool {
	method, body := Form(q)
	return in.Method == method && in.URL.Path == Path(q) && bytes.Equal(in.body, body)
}

// Path is where a client sends a request.
func Path(q *record.Request) string { return "/" + q.Class + "/" + q.Key }

// Form is the method of a request, and its body: one that is safe to repeat is a GET without one.
func Form(q *record.Request) (method string, body []byte) {
	if q.Safe {
		return http.MethodGet, nil
	}
	return http.MethodPost, []byte("order " + q.ID + "\n")
}

func (u *Upstream) answerProbe(c *conn, in *incoming) bool {
	u.mu.Lock()
	if u.listener == nil {
		u.mu.Unlock()
		return false
	}
	u.advance()
	u.server.Charge(u.rec.Now(), u.Spec.ProbeWork)
	r := u.server.Report()
	u.resetTimer()
	u.mu.Unlock()
	text := ""
	if in.URL.Path == "/-/load" {
		text = fmt.Sprintf("TEXT inflight=%d, queue=%d, latency_ms=%.3f, util=%.3f", r.Inflight, r.Queue,
			float64(r.Latency.Microseconds())/1e3, r.Util)
	}
	return writeResponse(c, 200, false, text)
}

// writeResponse writes an answer; false where the connection is gone.
func writeResponse(c net.Conn, status int, unprocessed bool, body string) bool {
	mark := ""
	if unprocessed {
		mark = notProcessed + ": 1\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), mark, len(body), body)
	return err == nil
}

func resetConn(c net.Conn) {
	if inner, ok := c.(*conn); ok {
		c = inner.Conn
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a reset; a connection that is closed already needs none
	}
	_ = c.Close()
}
