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
	bodyMost     = 1 << 20 // of a request; the laboratory's own are far smaller
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

	rec    *record.Record
	listen string

	mu       sync.Mutex
	m        *model.Server
	rng      *rand.Rand
	timer    *time.Timer
	trouble  Trouble
	waiting  map[string]chan model.Done // by job
	jobs     int
	failable int               // jobs of the class that fails
	conns    map[string]*conn  // by the address of the other end
	from     map[string]string // the sidecars whose links opened them, by the same
	listener net.Listener      // nil: the process is down
	cold     *record.ColdStart
	down     chan struct{} // closed when the process dies
	done     sync.WaitGroup
	onFall   func()
}

// conn is a connection that brought requests.
type conn struct {
	net.Conn
	gone     chan struct{}   // closed once the other side has ended it
	attempt  *record.Attempt // in hand
	accepted bool            // has a place in the table
}

// NewUpstream is an upstream that is to listen at an address; Start brings it up. onFall is called, on a goroutine of
// its own, when it is pushed over.
func NewUpstream(name, listen string, spec model.Spec, rec *record.Record, onFall func()) *Upstream {
	return &Upstream{Name: name, Spec: spec, rec: rec, listen: listen, onFall: onFall, conns: map[string]*conn{}, from: map[string]string{}}
}

// Start begins a process: a cold one, or one that has run for long.
func (u *Upstream) Start(seed uint64, cold bool) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener != nil {
		return fmt.Errorf("upstream %s runs already", u.Name)
	}
	ln, err := net.Listen("tcp", u.listen)
	if err != nil {
		return fmt.Errorf("upstream %s: %w", u.Name, err)
	}
	now := u.rec.Now()
	started := now
	if !cold {
		started = now - u.Spec.ColdFor
	}
	u.listener, u.listen, u.down = ln, ln.Addr().String(), make(chan struct{})
	u.m = model.New(u.Spec, seed, started, now)
	u.rng = rand.New(rand.NewPCG(seed, 2))
	u.trouble = Trouble{}
	u.waiting = map[string]chan model.Done{}
	u.cold = nil
	if cold && u.Spec.ColdFor > 0 {
		u.cold = &record.ColdStart{Upstream: u.Name, At: now, Capacity: u.Spec.Capacity(), From: u.Spec.ColdFrom,
			For: u.Spec.ColdFor, FallMultiple: u.Spec.FallMultiple, FallFor: u.Spec.FallFor}
		u.rec.Cold(u.cold)
	}
	down := u.down
	u.timer = time.AfterFunc(time.Hour, func() { u.tick(down) })
	u.rearm()
	u.done.Add(1)
	go u.accept(ln, down)
	return nil
}

// Address is where it listens.
func (u *Upstream) Address() string { u.mu.Lock(); defer u.mu.Unlock(); return u.listen }

// Kill ends the process as kill -9 does: connections are reset, new ones refused. What it held is lost.
func (u *Upstream) Kill() {
	u.mu.Lock()
	u.kill()
	u.mu.Unlock()
}

func (u *Upstream) kill() {
	if u.listener == nil {
		return
	}
	_ = u.listener.Close()
	u.listener = nil
	u.timer.Stop()
	close(u.down)
	for _, c := range u.conns {
		reset(c)
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
		u.m.Trouble(max(t.Slower, 1), t.FailShare)
		u.rearm()
	}
}

// Choke turns it slow as a crowd would.
func (u *Upstream) Choke() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener != nil {
		u.advance()
		u.m.ForceChoke()
		u.rearm()
	}
}

// Held is how many requests it has in hand; 0 while it is down.
func (u *Upstream) Held() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener == nil {
		return 0
	}
	return u.m.Report().Inflight
}

// Little gives both sides of Little's law over the present process's life.
func (u *Upstream) Little() (area, sojourns float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.m == nil {
		return 0, 0
	}
	return u.m.Little()
}

// Began takes note of whose link opened a connection, before anything goes over it.
func (u *Upstream) Began(address, sidecar string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.from[address] = sidecar
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

func (u *Upstream) tick(down chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener == nil || u.down != down {
		return
	}
	u.advance()
	u.rearm()
}

// advance brings the model to now and hands out what has ended; the caller holds mu.
func (u *Upstream) advance() {
	for _, d := range u.m.Advance(u.rec.Now()) {
		if to := u.waiting[d.ID]; to != nil {
			delete(u.waiting, d.ID)
			to <- d // holds one
		}
	}
}

func (u *Upstream) rearm() {
	if next := u.m.Next(); next != model.Never {
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
		c := &conn{Conn: raw, gone: make(chan struct{})}
		u.mu.Lock()
		if u.down != down || u.listener == nil {
			u.mu.Unlock()
			reset(c)
			return
		}
		u.advance()
		if c.accepted = u.m.Connected(1); c.accepted {
			u.m.Charge(u.rec.Now(), u.Spec.Handshake)
		}
		u.rearm()
		u.conns[raw.RemoteAddr().String()] = c
		u.done.Add(2)
		u.mu.Unlock()
		requests := make(chan *incoming)
		go u.read(c, requests, down)
		go u.answer(c, requests, down)
	}
}

// incoming is a request that was read whole.
type incoming struct {
	*http.Request
	body         []byte
	first, begun time.Duration
}

// read takes requests off a connection until it ends, which it notices while one is in hand too.
func (u *Upstream) read(c *conn, to chan<- *incoming, down <-chan struct{}) {
	defer u.done.Done()
	defer close(to)
	defer close(c.gone)
	r := bufio.NewReader(c)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		in := &incoming{first: u.rec.Now()}
		var err error
		if in.Request, err = http.ReadRequest(r); err != nil {
			return
		}
		if in.body, err = io.ReadAll(io.LimitReader(in.Body, bodyMost)); err != nil {
			return
		}
		in.begun = u.rec.Now()
		select {
		case to <- in:
		case <-down:
			return
		}
	}
}

func (u *Upstream) answer(c *conn, requests <-chan *incoming, down <-chan struct{}) {
	defer u.done.Done()
	defer func() {
		_ = c.Close()
		for range requests { // the reader ends with the connection
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.conns, c.RemoteAddr().String())
		delete(u.from, c.RemoteAddr().String())
		if c.accepted && u.down == down && u.listener != nil {
			u.advance()
			u.m.Connected(-1)
			u.rearm()
		}
	}()
	for in := range requests {
		if !u.serve(c, in, down) {
			return
		}
	}
}

// serve answers one request; false ends the connection.
func (u *Upstream) serve(c *conn, in *incoming, down <-chan struct{}) bool {
	if in.URL.Path == "/-/healthy" || in.URL.Path == "/-/load" {
		return u.probe(c, in)
	}
	id := in.Header.Get("X-Request-ID")
	if id == "" {
		return say(c, 404, false, "a request without an id\n")
	}
	a := &record.Attempt{Request: id, Upstream: u.Name, First: in.first, Begun: in.begun}
	q := u.rec.Lookup(id)
	u.rec.Attempt(a)
	if q == nil || !sent(q, in) {
		u.end(a, record.Unknown, 400)
		return say(c, 400, false, "no client sent this\n")
	}
	a.Sidecar, a.Work = cmp.Or(u.sender(c), q.Sidecar), q.Work
	done, offer, fails := u.offer(c, a, q)
	if offer != model.Taken {
		u.end(a, record.TurnedAway, 503)
		if offer == model.Down {
			go u.onFall()
			reset(c)
			return false
		}
		return say(c, 503, true, "full\n")
	}
	select {
	case d := <-done:
		if d.Failed || fails {
			u.end(a, record.Error, 500)
			return say(c, 500, false, "error\n")
		}
		u.rec.Change(func() { a.Body = fmt.Sprintf("%s %s %s\n", id, u.Name, d.ID) })
		u.end(a, record.OK, 200)
		return say(c, 200, false, a.Body)
	case <-c.gone: // the work goes on, and nobody hears of it
		u.end(a, record.GivenUp, 0)
		return false
	case <-down:
		u.end(a, record.Lost, 0)
		return false
	}
}

// sender is the sidecar whose link brought a connection; empty: it came without one.
func (u *Upstream) sender(c *conn) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.from[c.RemoteAddr().String()]
}

// end notes an attempt's end, at which it is no longer out: before the answer's first byte, so that what the sidecar
// does upon that answer never seems to come before it.
func (u *Upstream) end(a *record.Attempt, how record.How, status int) {
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

// offer brings a request's work to the model. The connection's table and a drain turn it away before. fails says that
// the answer will be an error; where the upstream hangs, done brings nothing.
func (u *Upstream) offer(c *conn, a *record.Attempt, q *record.Request) (done chan model.Done, offer model.Offer, fails bool) {
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
	u.jobs++
	job := model.Job{ID: strconv.Itoa(u.jobs), Key: q.Key, Work: q.Work}
	done = make(chan model.Done, 1)
	offer = u.m.Offer(u.rec.Now(), job)
	switch {
	case offer == model.Down:
		if u.cold != nil && u.cold.Fell == 0 {
			u.cold.Fell = u.rec.Now()
		}
		u.kill()
	case offer == model.Taken && !u.trouble.Hang:
		u.waiting[job.ID] = done
	}
	if offer != model.Down {
		u.rearm()
	}
	if u.trouble.FailClass == q.Class {
		u.failable++
		part := u.trouble.FailPart
		fails = int(float64(u.failable)*part) > int(float64(u.failable-1)*part)
	}
	return done, offer, fails
}

// sent tells whether a request is one that its client sent, in that form.
func sent(q *record.Request, in *incoming) bool {
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

func (u *Upstream) probe(c *conn, in *incoming) bool {
	u.mu.Lock()
	if u.listener == nil {
		u.mu.Unlock()
		return false
	}
	u.advance()
	u.m.Charge(u.rec.Now(), u.Spec.ProbeWork)
	r := u.m.Report()
	u.rearm()
	u.mu.Unlock()
	text := ""
	if in.URL.Path == "/-/load" {
		text = fmt.Sprintf("TEXT inflight=%d, queue=%d, latency_ms=%.3f, util=%.3f", r.Inflight, r.Queue,
			float64(r.Latency.Microseconds())/1e3, r.Util)
	}
	return say(c, 200, false, text)
}

// say writes an answer; false where the connection is gone.
func say(c net.Conn, status int, unprocessed bool, body string) bool {
	mark := ""
	if unprocessed {
		mark = notProcessed + ": 1\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), mark, len(body), body)
	return err == nil
}

func reset(c net.Conn) {
	if inner, ok := c.(*conn); ok {
		c = inner.Conn
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a reset; a connection that is closed already needs none
	}
	_ = c.Close()
}
