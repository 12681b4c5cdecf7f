// Package fake provides what the sidecars of a run talk to: upstreams and discovery, on real sockets and with the
// platform's protocol. It also provides a naive sidecar that breaks one rule on purpose.
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
	maxBodyBytes = 1 << 20 // limit for a request's body; the laboratory's own bodies are far smaller
)

// Trouble is the fault that an upstream shows. The zero value is no fault.
type Trouble struct {
	Slower    float64 // factor by which work takes longer; 0 and 1 change nothing
	FailShare float64 // share of the upstream's jobs that end in an error
	FailClass string  // class whose requests fail; empty if there is none
	FailPart  float64 // share of the requests of FailClass that fail, evenly spread
	Hang      bool    // answers probes, and never answers requests
	TurnAway  bool    // accepts no new requests, as an upstream that drains
}

// Upstream is a fake server. Its address stays the same over restarts.
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
	results       map[string]chan model.Done // by job ID
	jobCount      int
	failClassJobs int               // jobs of FailClass so far
	conns         map[string]*conn  // by remote address
	openedBy      map[string]string // sidecar whose link opened the connection, by remote address
	listener      net.Listener      // nil while the process is down
	coldStart     *record.ColdStart
	stopped       chan struct{} // closed when the process dies
	done          sync.WaitGroup
	onFall        func() // called when overload ends the process
}

// conn is a connection on which requests arrive.
type conn struct {
	net.Conn
	closed   chan struct{}   // closed once the other side has ended the connection
	attempt  *record.Attempt // the latest attempt on the connection
	accepted bool            // whether it has a place in the model's connection table
}

// NewUpstream returns an upstream that is to listen at an address; Start starts it. onFall is called, on its own
// goroutine, when overload ends the process.
func NewUpstream(name, listen string, spec model.Spec, rec *record.Record, onFall func()) *Upstream {
	return &Upstream{Name: name, Spec: spec, rec: rec, listenAddress: listen, onFall: onFall, conns: map[string]*conn{}, openedBy: map[string]string{}}
}

// Start starts a process, either cold or as one that has run for a long time.
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
	stopped := u.stopped
	u.timer = time.AfterFunc(time.Hour, func() { u.onTimer(stopped) })
	u.resetTimer()
	u.done.Add(1)
	go u.accept(ln, stopped)
	return nil
}

// Address returns the address at which it listens.
func (u *Upstream) Address() string { u.mu.Lock(); defer u.mu.Unlock(); return u.listenAddress }

// Kill ends the process as kill -9 does: connections are reset, new ones are refused, and requests in progress are lost.
func (u *Upstream) Kill() {
	u.mu.Lock()
	u.killLocked()
	u.mu.Unlock()
}

// killLocked does the work of Kill. The caller holds mu.
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

// Close kills the process, and waits until all its goroutines have ended.
func (u *Upstream) Close() { u.Kill(); u.done.Wait() }

// Set replaces the trouble, effective at once.
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

// Choke slows the upstream down as too many concurrent requests would.
func (u *Upstream) Choke() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener != nil {
		u.advance()
		u.server.ForceChoke()
		u.resetTimer()
	}
}

// Held returns the number of requests in progress, 0 while the process is down.
func (u *Upstream) Held() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener == nil {
		return 0
	}
	return u.server.Report().Inflight
}

// Little returns both sides of Little's law for the life of the present process.
func (u *Upstream) Little() (area, sojourns float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server == nil {
		return 0, 0
	}
	return u.server.Little()
}

// Began notes which sidecar's link opened a connection. It is called before anything is sent over the connection.
func (u *Upstream) Began(address, sidecar string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.openedBy[address] = sidecar
}

// Ended notes that the other side of a connection has closed the connection or its sending direction.
func (u *Upstream) Ended(address string) {
	now := u.rec.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if c := u.conns[address]; c != nil && c.attempt != nil && c.attempt.GivenUp == 0 {
		c.attempt.GivenUp = now
	}
}

// onTimer advances the model, unless the process that the timer belongs to is dead.
func (u *Upstream) onTimer(stopped chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener == nil || u.stopped != stopped {
		return
	}
	u.advance()
	u.resetTimer()
}

// advance brings the model to the present time and delivers the results of the jobs that have ended. The caller holds mu.
func (u *Upstream) advance() {
	for _, d := range u.server.Advance(u.rec.Now()) {
		if result := u.results[d.ID]; result != nil {
			delete(u.results, d.ID)
			result <- d // doesn't block: the channel holds one
		}
	}
}

// resetTimer sets the timer to the model's next event. The caller holds mu.
func (u *Upstream) resetTimer() {
	if next := u.server.Next(); next != model.Never {
		u.timer.Reset(max(0, next-u.rec.Now()))
	}
}

// accept accepts connections until the process dies.
func (u *Upstream) accept(ln net.Listener, stopped chan struct{}) {
	defer u.done.Done()
	for {
		raw, err := ln.Accept()
		if err != nil {
			return // killed
		}
		c := &conn{Conn: raw, closed: make(chan struct{})}
		u.mu.Lock()
		if u.stopped != stopped || u.listener == nil {
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
		go u.readRequests(c, requests, stopped)
		go u.answerRequests(c, requests, stopped)
	}
}

// incoming is a request that was read completely.
type incoming struct {
	*http.Request
	body                []byte
	firstByte, lastByte time.Duration // when they arrived
}

// readRequests reads requests from a connection until it ends. It notices the end also while a request is in progress.
func (u *Upstream) readRequests(c *conn, requests chan<- *incoming, stopped <-chan struct{}) {
	defer u.done.Done()
	defer close(requests)
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
		case requests <- in:
		case <-stopped:
			return
		}
	}
}

// answerRequests answers the requests of a connection, one after another.
func (u *Upstream) answerRequests(c *conn, requests <-chan *incoming, stopped <-chan struct{}) {
	defer u.done.Done()
	defer func() {
		_ = c.Close()
		for range requests { // readRequests ends with the connection
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.conns, c.RemoteAddr().String())
		delete(u.openedBy, c.RemoteAddr().String())
		if c.accepted && u.stopped == stopped && u.listener != nil {
			u.advance()
			u.server.Connected(-1)
			u.resetTimer()
		}
	}()
	for in := range requests {
		if !u.serveRequest(c, in, stopped) {
			return
		}
	}
}

// serveRequest answers one request. It reports whether the connection stays open.
func (u *Upstream) serveRequest(c *conn, in *incoming, stopped <-chan struct{}) bool {
	if in.URL.Path == "/-/healthy" || in.URL.Path == "/-/load" {
		return u.answerProbe(c, in)
	}
	id := in.Header.Get("X-Request-ID")
	if id == "" {
		return writeResponse(c, 404, false, "a request without an id\n")
	}
	a := &record.Attempt{Request: id, Upstream: u.Name, First: in.firstByte, Begun: in.lastByte}
	req := u.rec.Lookup(id)
	u.rec.Attempt(a)
	if req == nil || !matchesSent(req, in) {
		u.endAttempt(a, record.Unknown, 400)
		return writeResponse(c, 400, false, "no client sent this\n")
	}
	a.Sidecar, a.Work = cmp.Or(u.sender(c), req.Sidecar), req.Work
	done, offer, fails := u.offerWork(c, a, req)
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
	case <-c.closed: // the job goes on, and its result is dropped
		u.endAttempt(a, record.GivenUp, 0)
		return false
	case <-stopped:
		u.endAttempt(a, record.Lost, 0)
		return false
	}
}

// sender returns the sidecar whose link opened a connection, or "" if it came without a link.
func (u *Upstream) sender(c *conn) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.openedBy[c.RemoteAddr().String()]
}

// endAttempt records the end of an attempt. It is called before the first byte of the answer is written, so that the
// sidecar's reaction to the answer is never recorded as earlier than the end.
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

// offerWork offers a request's work to the model, unless the connection has no place in the connection table or the
// upstream drains. done receives the result, or nothing if the upstream hangs. fails reports whether the answer is to be
// an error.
func (u *Upstream) offerWork(c *conn, a *record.Attempt, req *record.Request) (done chan model.Done, offer model.Offer, fails bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c.attempt = a
	if u.listener == nil {
		return nil, model.Full, false // the process is dying: nothing has run
	}
	if !c.accepted || u.trouble.TurnAway {
		return nil, model.Full, false
	}
	u.advance()
	u.jobCount++
	job := model.Job{ID: strconv.Itoa(u.jobCount), Key: req.Key, Work: req.Work}
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
	if u.trouble.FailClass == req.Class {
		u.failClassJobs++
		share := u.trouble.FailPart
		fails = int(float64(u.failClassJobs)*share) > int(float64(u.failClassJobs-1)*share)
	}
	return done, offer, fails
}

// matchesSent reports whether a request has the method, path and body that its client sent.
func matchesSent(req *record.Request, in *incoming) bool {
	method, body := Form(req)
	return in.Method == method && in.URL.Path == Path(req) && bytes.Equal(in.body, body)
}

// Path returns the URL path of a request.
func Path(req *record.Request) string { return "/" + req.Class + "/" + req.Key }

// Form returns a request's method and body. A request that is safe to repeat is a GET without a body.
func Form(req *record.Request) (method string, body []byte) {
	if req.Safe {
		return http.MethodGet, nil
	}
	return http.MethodPost, []byte("order " + req.ID + "\n")
}

// answerProbe answers a health or load probe. It reports whether the connection stays open.
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

// writeResponse writes an answer. It reports whether the write succeeded.
func writeResponse(c net.Conn, status int, unprocessed bool, body string) bool {
	mark := ""
	if unprocessed {
		mark = notProcessed + ": 1\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), mark, len(body), body)
	return err == nil
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if inner, ok := c.(*conn); ok {
		c = inner.Conn
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only on a connection that is closed already, which needs no reset
	}
	_ = c.Close()
}
