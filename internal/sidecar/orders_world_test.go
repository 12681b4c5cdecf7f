package sidecar

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mosslead/internal/lab/memnet"
	"mosslead/internal/lab/transcript"
)

// The parties of an order: two clients, two upstreams and discovery around one sidecar, in a bubble. They do what an
// order's acts say and know nothing of the sidecar but what comes over the wire.

const (
	milli        = time.Millisecond
	clientWay    = time.Millisecond
	discoveryWay = time.Millisecond
	killWait     = 3700 * time.Millisecond // from SIGTERM to SIGKILL: 3 s, as the longest deadline is longer, and 0.7 s
	oldStays     = 1500 * time.Millisecond // for which an address that discovery has left keeps its open watches
)

var upWays = [2]time.Duration{2 * milli, 3 * milli}

// world is one order being played.
type world struct {
	t     *testing.T
	ctx   context.Context
	net   *memnet.Network
	begun time.Time
	plant plant

	sidecar *memnet.Host
	reloads chan Reload
	stop    context.CancelFunc
	ended   chan struct{} // the sidecar has

	mu      sync.Mutex
	on      bool // the record goes on
	record  transcript.Transcript
	events  []memnet.Event
	clients [2]*orderClient
	ups     [2]*orderUpstream
	asked   int // requests so far
	sent    map[string]*orderRequest
	answers map[string][]*orderAnswer

	disc        *orderDiscovery // where it is now
	discoveries []*orderDiscovery
	whole       bool          // watches begin with the whole list
	window      time.Duration // for repeats of what is idempotent by key
	scope       bool          // upstream 2 stands in another zone
	index       int
	entries     [2]orderEntry
	changes     []*orderChange
	moved       time.Time // SIGHUP
	termed      time.Time // SIGTERM
	killed      time.Time // SIGKILL
	config      func(address string) *Config
}

// orderRequest is a request that a client meant to send.
type orderRequest struct {
	id, method, target, body string
	class                    string
	timeout                  time.Duration
	pipelined                bool
}

func (w *world) take(e memnet.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.on {
		w.record.Take(e)
		w.events = append(w.events, e)
	}
}

// say puts words into the transcript.
func (w *world) say(from, to, format string, args ...any) { w.record.Say(from, to, format, args...) }

// plant is a fault that is put between the sidecar and the network; each may be nil.
type plant struct {
	toUpstream  func(w *world, c net.Conn) net.Conn
	toClient    func(w *world, c net.Conn) net.Conn
	toDiscovery func(w *world, c net.Conn) net.Conn
	settings    func(*Config)
	killsAfter  time.Duration // SIGTERM; 0: when it is time
}

func newWorld(t *testing.T, o *order, p plant) *world {
	ctx, cancel := context.WithCancel(t.Context())
	w := &world{t: t, ctx: ctx, plant: p, reloads: make(chan Reload), ended: make(chan struct{}),
		sent: map[string]*orderRequest{}, answers: map[string][]*orderAnswer{}, index: 1, scope: o.twoZones, whole: o.whole, window: o.window}
	w.net = memnet.New(w.take)
	w.begun, w.on = time.Now(), true
	w.record.Begin()
	for i := range w.clients {
		w.clients[i] = &orderClient{w: w, host: w.net.Host(fmt.Sprint("client-", i+1), fmt.Sprint("10.0.0.", i+2), clientWay)}
	}
	for i := range w.ups {
		w.entries[i] = orderEntry{status: statusReady}
		u := &orderUpstream{w: w, number: i, auto: o.auto[i], host: w.net.Host(fmt.Sprint("up-", i+1), fmt.Sprint("10.0.0.1", i+1), upWays[i])}
		w.ups[i] = u
		u.listen()
	}
	w.disc = newOrderDiscovery(w, "discovery", "10.0.0.9")
	w.discoveries = append(w.discoveries, w.disc)
	known := []string{w.line(0), w.line(1)}
	w.config = func(address string) *Config {
		c := testConfig(t, address, known...)
		s := &c.Settings
		s.Hedging, s.MustSubscribe = false, o.asks
		s.Classes[1].DedupWindow = o.window
		c.dial = w.dial
		if p.settings != nil {
			p.settings(c)
		}
		return c
	}
	w.sidecar = w.net.Host("sidecar", "10.0.0.1", 0)
	l, err := w.sidecar.Listen(9000)
	if err != nil {
		t.Fatal(err)
	}
	if p.toClient != nil {
		l = &plantedListener{l, w}
	}
	c := w.config("10.0.0.9:7000")
	run, stop := context.WithCancel(ctx)
	w.stop = stop
	go func() {
		defer close(w.ended)
		_ = serve(run, c, l, nil, "", w.reloads) // it ends with an error where it is killed
	}()
	t.Cleanup(func() {
		cancel()
		w.net.Close()
		<-w.ended
	})
	return w
}

// plantedListener hands on clients' connections with a fault in them.
type plantedListener struct {
	net.Listener
	w *world
}

func (l *plantedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.w.plant.toClient(l.w, c), nil
}

// SetDeadline bounds Accept.
func (l *plantedListener) SetDeadline(t time.Time) error {
	return l.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(t)
}

// dial is the sidecar's way out.
func (w *world) dial(ctx context.Context, network, address string) (net.Conn, error) {
	wrap := w.plant.toDiscovery
	if address == up1 || address == up2 {
		wrap = w.plant.toUpstream
	}
	c, err := w.sidecar.Dial(ctx, network, address)
	if err == nil && wrap != nil {
		c = wrap(w, c)
	}
	return c, err
}

// The clients.

type orderClient struct {
	w     *world
	host  *memnet.Host
	conns []*orderConn // under the world's lock
}

type orderConn struct {
	net.Conn
	out  int  // requests that have no whole answer yet
	half bool // a body is on its way, the rest of which is still to come
	dead bool
}

// asks sends a request, on a connection that rests or else a new one. split is what passes between its body's halves.
func (c *orderClient) asks(class string, timeout, split time.Duration, fresh bool) {
	w := c.w
	r := w.request(class, timeout)
	go func() {
		line := c.resting(fresh)
		if line == nil {
			return
		}
		c.sends(line, true)
		defer c.sends(line, false)
		text := r.text()
		if split > 0 && r.body != "" {
			cut := len(text) - len(r.body)/2
			if _, err := io.WriteString(line, text[:cut]); err != nil || !w.passes(split) {
				return
			}
			text = text[cut:]
		}
		_, _ = io.WriteString(line, text) // where it fails the client has gone
	}()
}

// asksHalf sends a part of a request: of its head, or all but half of its body.
func (c *orderClient) asksHalf(gap time.Duration) {
	r := c.w.request("confirm", time.Second)
	text := r.text()
	cut := len(text) - len(r.body)/2
	if gap > 0 {
		cut = len(text) / 3
	}
	go func() {
		if line := c.connect(1); line != nil {
			c.sends(line, true)
			_, _ = io.WriteString(line, text[:cut]) // where it fails the connection has ended
		}
	}()
}

// inside is a request that stands in the body of another.
const inside = "GET /search/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000ff\r\n\r\n"

var junk = []string{
	"GET /search/7f3a HTTP/1.1\r\nHost: s\r\n\r\n",
	"GET /search/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\nX-Request-ID: 00000000000000fd\r\n\r\n",
	"GET /nothing/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\n\r\n",
	"GET /confirm/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\n\r\n",
	"GET /search/7f3a HTTP/1.0\r\nX-Request-ID: 00000000000000fe\r\n\r\n",
	"POST /record/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\nContent-Length: 2\r\n\r\nab",
	"GET /search/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\nX-Timeout: 5\r\n\r\n",
	fmt.Sprintf("GET /search/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\nContent-Length: %d\r\n\r\n%s", len(inside), inside),
	"POST /confirm/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inside,
	"\x16\x03\x01\x02\x00\x01",
	"GET /search/" + strings.Repeat("x", 40<<10),
}

// junk sends something that is no proper request, and waits.
func (c *orderClient) junk(n int) {
	go func() {
		if line := c.connect(1); line != nil {
			c.sends(line, true)
			_, _ = io.WriteString(line, junk[n%len(junk)]) // where it fails the connection has ended
		}
	}()
}

func (c *orderClient) sends(line *orderConn, on bool) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	line.half = on
}

// behind sends more on the busiest connection, unless it would come into the middle of a body.
func (c *orderClient) behind(text func(*orderConn) string) {
	line := c.busiest()
	if line == nil {
		return
	}
	c.w.mu.Lock()
	half := line.half
	line.half = true
	c.w.mu.Unlock()
	if !half {
		_, _ = io.WriteString(line, text(line)) // where it fails the connection has ended
		c.sends(line, false)
	}
}

// request makes up a request.
func (w *world) request(class string, timeout time.Duration) *orderRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked++
	r := &orderRequest{id: fmt.Sprintf("%016x", 0xa00+w.asked), method: http.MethodPost, class: class, timeout: timeout,
		target: "/" + class + "/7f3a", body: fmt.Sprintf("the body of %d", w.asked)}
	switch class {
	case "search":
		r.method, r.body = http.MethodGet, ""
	case "large":
		r.class, r.target = "confirm", "/confirm/7f3a"
		r.body = strings.Repeat(fmt.Sprintf("%7d ", w.asked), 8<<10) // the most that there is
	}
	w.sent[r.id] = r
	return r
}

func (r *orderRequest) text() string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nX-Timeout: %dm\r\n", r.method, r.target, r.id, r.timeout.Milliseconds())
	if r.class == "record" {
		s += "Idempotency-Key: k" + r.id + "\r\n"
	}
	if r.body != "" {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return s + "\r\n" + r.body
}

// resting is a connection for the next request, which it counts; nil: none is to be had.
func (c *orderClient) resting(fresh bool) *orderConn {
	w := c.w
	w.mu.Lock()
	for i := len(c.conns) - 1; i >= 0 && !fresh; i-- {
		if l := c.conns[i]; !l.dead && !l.half && l.out == 0 {
			l.out++
			l.half = true // before anybody else finds it: what is sent behind must not come into its body
			w.mu.Unlock()
			return l
		}
	}
	w.mu.Unlock()
	return c.connect(1)
}

// connect opens a connection for so many requests.
func (c *orderClient) connect(out int) *orderConn {
	w := c.w
	ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
	defer cancel()
	raw, err := c.host.Dial(ctx, "tcp", "10.0.0.1:9000")
	if err != nil {
		return nil
	}
	line := &orderConn{Conn: raw, out: out, half: out > 0}
	w.mu.Lock()
	c.conns = append(c.conns, line)
	w.mu.Unlock()
	go func() {
		in := bufio.NewReader(line)
		for {
			resp, err := http.ReadResponse(in, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			w.mu.Lock()
			line.out = max(line.out-1, 0)
			line.dead = line.dead || err != nil || resp.Close
			w.mu.Unlock()
			if err != nil {
				_ = line.Close()
				return
			}
		}
	}()
	return line
}

// busiest is the newest connection that waits for an answer, or else the newest; nil: there is none.
func (c *orderClient) busiest() *orderConn {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	var found *orderConn
	for _, l := range c.conns {
		if !l.dead && (found == nil || l.out > 0 || found.out == 0) {
			found = l
		}
	}
	return found
}

// passes sleeps, and tells whether the order still goes on.
func (w *world) passes(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-w.ctx.Done():
		return false
	}
}

// The upstreams.

type orderUpstream struct {
	w      *world
	number int
	host   *memnet.Host
	auto   time.Duration // after which it answers what no act is there for; negative: never
	// The fields below are under the world's lock.
	conns []*upConn
	plan  []act // for the next requests
	held  []*upCall
	down  bool
}

type upConn struct {
	net.Conn
	calls int
	out   int // without an answer
	dead  bool
}

// upCall is a request as an upstream got it.
type upCall struct {
	u    *orderUpstream
	conn *upConn
	rec  *orderAnswer
}

// orderAnswer is what an upstream did with a request that it got whole.
type orderAnswer struct {
	id     string
	port   int // of the connection on the sidecar's side
	nth    int // request on that connection, from 1
	status int
	never  bool // it says that the request did not run
	body   string
	begun  bool
	whole  bool
	at     time.Duration // of its last byte
	mark   int           // the record's place after it
	again  time.Duration // when another answer was sent behind it; 0: none was
}

func (u *orderUpstream) listen() {
	l, err := u.host.Listen(8000)
	if err != nil {
		u.w.t.Error(err)
		return
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(&upConn{Conn: c})
		}
	}()
}

func (u *orderUpstream) serve(c *upConn) {
	w := u.w
	w.mu.Lock()
	u.conns = append(u.conns, c)
	w.mu.Unlock()
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		w.mu.Lock()
		if err != nil {
			c.dead = true
			w.mu.Unlock()
			return
		}
		c.calls++
		c.out++
		call := &upCall{u, c, &orderAnswer{id: req.Header.Get(headerID), port: c.RemoteAddr().(*net.TCPAddr).Port, nth: c.calls}}
		w.answers[call.rec.id] = append(w.answers[call.rec.id], call.rec)
		switch {
		case len(u.plan) > 0:
			a := u.plan[0]
			u.plan = u.plan[1:]
			go call.do(a)
		case u.auto >= 0:
			go func() {
				if u.auto == 0 || w.passes(u.auto) {
					call.do(act{kind: answersOK})
				}
			}()
		default:
			u.held = append(u.held, call)
		}
		w.mu.Unlock()
	}
}

// answers has the oldest request that waits get what an act says, or else the next one that comes.
func (u *orderUpstream) answers(a act) {
	u.w.mu.Lock()
	if len(u.held) == 0 {
		u.plan = append(u.plan, a)
		u.w.mu.Unlock()
		return
	}
	call := u.held[0]
	u.held = u.held[1:]
	u.w.mu.Unlock()
	go call.do(a)
}

func (c *upCall) write(text string) { _, _ = io.WriteString(c.conn, text) } // where it fails the sidecar has given up

// begins notes what is being answered; whole notes its end.
func (c *upCall) begins(status int, body string) {
	c.u.w.mu.Lock()
	defer c.u.w.mu.Unlock()
	c.rec.status, c.rec.body, c.rec.begun = status, body, true
}

func (c *upCall) whole() {
	w := c.u.w
	w.mu.Lock()
	defer w.mu.Unlock()
	c.rec.whole, c.rec.at, c.rec.mark = true, time.Since(w.begun), len(w.events)
	c.conn.out--
}

func (c *upCall) reset() {
	if r, ok := c.conn.Conn.(interface{ Reset() }); ok {
		r.Reset()
	}
}

// do carries out an act on a request.
func (c *upCall) do(a act) {
	w := c.u.w
	body := fmt.Sprintf("made for %s by %s, %d", c.rec.id, c.u.host.Name(), c.rec.nth)
	half, rest := body[:len(body)/2], body[len(body)/2:]
	switch a.kind {
	case answersOK:
		c.begins(200, body)
		c.write(ok200(body))
		c.whole()
	case answersSlowly:
		c.begins(200, body)
		c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), half))
		if w.passes(a.gap) {
			c.write(rest)
			c.whole()
		}
	case answersChunked:
		c.begins(200, body)
		c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(half), half))
		if w.passes(a.gap) {
			c.write(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(rest), rest))
			c.whole()
		}
	case answersLarge:
		body = strings.Repeat(body+"\n", 4000)
		c.begins(200, body)
		c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/3]))
		if w.passes(a.gap) {
			c.write(body[len(body)/3:])
			c.whole()
		}
	case answersTwice:
		c.begins(200, body)
		c.write(ok200(body))
		c.whole()
		if a.gap > 0 && !w.passes(a.gap) {
			return
		}
		w.mu.Lock()
		newest := c.conn.calls == c.rec.nth // else it would be the answer to what came since, for all that can be told
		w.mu.Unlock()
		if newest {
			w.mu.Lock()
			c.rec.again = time.Since(w.begun)
			w.mu.Unlock()
			c.write(ok200("again " + body))
		}
	case answersError:
		c.begins(500, "")
		c.write("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n")
		c.whole()
	case turnsAway:
		c.begins(503, "")
		w.mu.Lock()
		c.rec.never = true
		w.mu.Unlock()
		c.write("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		c.whole()
	case cutsShort:
		c.begins(200, body)
		c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), half))
		if a.gap == 0 || w.passes(a.gap) {
			c.reset()
		}
	case endsUnstated: // in order: that is its end
		c.begins(200, body)
		c.write("HTTP/1.1 200 OK\r\n\r\n" + body)
		if a.gap == 0 || w.passes(a.gap) {
			_ = c.conn.Close()
			c.whole()
		}
	case cutsUnstated:
		c.begins(200, body)
		c.write("HTTP/1.1 200 OK\r\n\r\n" + half)
		if a.gap == 0 || w.passes(a.gap) {
			c.reset()
		}
	case closesUnanswered:
		_ = c.conn.Close()
	case resetsUnanswered:
		c.reset()
	case spoils:
		c.write("HTTP/1.1 2")
	case spoilsHead:
		c.write("HTTP/9 what?\r\nContent-Length: 0\r\n\r\n")
	case neverEnds:
		c.begins(200, strings.Repeat("more", 400))
		c.write("HTTP/1.1 200 OK\r\n\r\n")
		for range 100 {
			if c.write("more"); !w.passes(40 * milli) {
				return
			}
		}
	case neverAnswers:
	}
}

// rest gives connections without a request to do.
func (u *orderUpstream) resting() []*upConn {
	u.w.mu.Lock()
	defer u.w.mu.Unlock()
	var all []*upConn
	for _, c := range u.conns {
		if !c.dead && c.out == 0 {
			all = append(all, c)
		}
	}
	return all
}

// kill ends the upstream's process; another one listens after that long.
func (u *orderUpstream) kill(back time.Duration) {
	w := u.w
	w.mu.Lock()
	was := u.down
	u.down, u.held = true, nil
	w.mu.Unlock()
	if was {
		return
	}
	u.host.Kill()
	go func() {
		if w.passes(back) {
			w.mu.Lock()
			u.down = false
			w.mu.Unlock()
			u.listen()
		}
	}()
}

// Discovery.

type orderEntry struct {
	status string
	since  time.Time // zero: long ago
}

// orderChange is one change of the list.
type orderChange struct {
	index  int
	name   int // of which upstream
	line   string
	status string
	at     time.Duration
	bound  time.Duration // when it counts as told because a watch fell silent; 0: none had
	told   time.Duration // when it was first written to a watch, and there; 0: never
	behind time.Duration // the same, to one that had brought what is unusable
}

type orderDiscovery struct {
	w    *world
	name string
	host *memnet.Host
	// The fields below are under the world's lock.
	door    net.Listener
	watches []*orderWatch
	frozen  bool // it is discovery no more
	how     kind // of the outage
	outages []outage
}

// outage is a time in which discovery could not be reached.
type outage struct{ from, to time.Duration }

const never = 1 << 62

type orderWatch struct {
	net.Conn
	from    int
	opened  bool // its head was answered
	spoilt  bool // it has brought what is unusable
	muted   bool
	mutedAt time.Duration
	dead    bool
}

func newOrderDiscovery(w *world, name, ip string) *orderDiscovery {
	d := &orderDiscovery{w: w, name: name, host: w.net.Host(name, ip, discoveryWay)}
	d.listen()
	return d
}

func (d *orderDiscovery) listen() {
	l, err := d.host.Listen(7000)
	if err != nil {
		d.w.t.Error(err)
		return
	}
	d.w.mu.Lock()
	d.door = l
	d.w.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
}

func (d *orderDiscovery) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	from, err := strconv.Atoi(req.URL.Query().Get("from"))
	if err != nil {
		return
	}
	w := d.w
	watch := &orderWatch{Conn: c, from: from}
	w.mu.Lock()
	if d.frozen {
		w.mu.Unlock()
		return
	}
	d.watches = append(d.watches, watch)
	how := d.how
	w.mu.Unlock()
	switch how {
	case discoveryHolds:
	case discoveryResets:
		c.(interface{ Reset() }).Reset()
		return
	case discoveryFails:
		_, _ = io.WriteString(c, "HTTP/1.1 503 Not now\r\nContent-Length: 0\r\n\r\n") // where it fails it has ended
		return
	default:
		d.open(watch)
	}
	go func() {
		for w.passes(2 * time.Second) {
			w.mu.Lock()
			speaks, over := watch.opened && !watch.muted, watch.dead
			w.mu.Unlock()
			if over {
				return
			}
			if speaks {
				d.chunk(watch, "\n")
			}
		}
	}()
	_, _ = io.Copy(io.Discard, in) // until it ends
	w.mu.Lock()
	watch.dead = true
	w.mu.Unlock()
}

func (d *orderDiscovery) chunk(c *orderWatch, text string) bool {
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}

// open answers a watch, with what it has missed.
func (d *orderDiscovery) open(c *orderWatch) {
	w := d.w
	w.mu.Lock()
	c.opened = true
	text, missed := "\n", []*orderChange(nil)
	latest := map[int]string{}
	for _, x := range w.changes {
		if x.index > c.from {
			missed = append(missed, x)
			latest[x.name] = x.line
		}
	}
	if len(missed) > 0 {
		var lines []string
		for i := range w.entries {
			if l, ok := latest[i]; ok {
				lines = append(lines, l)
			}
		}
		text = list(w.index, false, lines...) + "\n"
	}
	if w.whole {
		var lines []string
		for i, e := range w.entries {
			if e.status != "Gone" {
				lines = append(lines, w.line(i))
			}
		}
		text = list(w.index, true, lines...) + "\n"
	}
	w.mu.Unlock()
	_, err := io.WriteString(c, opens)
	if d.chunk(c, text) && err == nil {
		d.tell(c, missed)
	}
}

// tell notes that changes are on their way, where they are.
func (d *orderDiscovery) tell(c *orderWatch, all []*orderChange) {
	w := d.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(d.outages); n > 0 && d.outages[n-1].to == never {
		return
	}
	for _, x := range all {
		to := &x.told
		if c.spoilt {
			to = &x.behind
		}
		*to = cmp.Or(*to, time.Since(w.begun)+discoveryWay)
	}
}

// line is an upstream's entry of the list; without the lock held only before the order begins.
func (w *world) line(i int) string {
	e, zone := w.entries[i], "a"
	if i == 1 && w.scope {
		zone = "b"
	}
	since := int64(0)
	if !e.since.IsZero() {
		since = e.since.UnixMilli()
	}
	return fmt.Sprintf(`{"name":"up-%d","address":%q,"zone":%q,"type":"m","group":0,"status":%q,"weight":3,"since_ms":%d}`,
		i+1, [2]string{up1, up2}[i], zone, e.status, since)
}

// change has discovery know of something new.
func (w *world) change(i int, status string) {
	w.mu.Lock()
	e := &w.entries[i]
	if e.status == status {
		w.mu.Unlock()
		return
	}
	e.status = status
	if status == statusReady {
		e.since = time.Now()
	}
	w.index++
	now := time.Since(w.begun)
	x := &orderChange{index: w.index, name: i, line: w.line(i), status: status, at: now}
	w.changes = append(w.changes, x)
	d := w.disc
	var to []*orderWatch
	for _, c := range d.watches {
		if c.opened && !c.muted && !c.dead {
			to = append(to, c)
		} else if c.muted && !c.dead {
			x.bound = max(x.bound, now, c.mutedAt+6*time.Second)
		}
	}
	text := list(w.index, false, x.line) + "\n"
	w.mu.Unlock()
	for _, c := range to {
		if d.chunk(c, text) {
			d.tell(c, []*orderChange{x})
		}
	}
}

// mute has all open watches fall silent.
func (d *orderDiscovery) mute() {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	for _, c := range d.watches {
		if c.opened && !c.muted {
			c.muted, c.mutedAt = true, time.Since(d.w.begun)
		}
	}
}

// spoil sends on all open watches what is unusable; some say nothing more.
func (d *orderDiscovery) spoil(text string, mute bool) {
	d.w.mu.Lock()
	var all []*orderWatch
	for _, c := range d.watches {
		if c.opened && !c.muted && !c.dead {
			all = append(all, c)
			c.spoilt = true
		}
	}
	d.w.mu.Unlock()
	if mute {
		d.mute()
	}
	for _, c := range all {
		_, _ = io.WriteString(c, text) // where it fails it has ended
	}
}

// end ends all watches: with a reset, or in order.
func (d *orderDiscovery) end(reset bool) {
	w := d.w
	w.mu.Lock()
	all := d.watches
	d.watches = nil
	w.mu.Unlock()
	for _, c := range all {
		if r, ok := c.Conn.(interface{ Reset() }); ok && reset {
			r.Reset()
		} else if c.opened {
			_, _ = io.WriteString(c, "0\r\n\r\n") // where it fails it has ended
		}
		_ = c.Close()
	}
}

// down has discovery be out of reach for that long, in one of three ways.
func (d *orderDiscovery) down(how kind, back time.Duration) {
	w := d.w
	w.mu.Lock()
	if n := len(d.outages); n > 0 && d.outages[n-1].to == never {
		w.mu.Unlock()
		return
	}
	d.outages = append(d.outages, outage{time.Since(w.begun), never})
	d.how = how
	w.mu.Unlock()
	switch how {
	case discoveryResets, discoveryFails:
		d.end(true)
	case discoveryVanishes:
		d.host.Silence(true)
	case discoveryRefuses:
		d.host.Kill()
	}
	go func() {
		if !w.passes(back) {
			return
		}
		w.mu.Lock()
		frozen := d.frozen
		d.how = 0
		d.outages[len(d.outages)-1].to = time.Since(w.begun)
		waiting := []*orderWatch(nil)
		for _, c := range d.watches {
			if !c.opened && !c.dead {
				waiting = append(waiting, c)
			}
		}
		w.mu.Unlock()
		switch how {
		case discoveryVanishes:
			d.host.Silence(false)
		case discoveryRefuses:
			if !frozen {
				d.listen()
			}
		case discoveryHolds:
			for _, c := range waiting {
				d.open(c)
			}
		}
	}()
}

// move has discovery be at another address, which the sidecar is told by SIGHUP.
func (w *world) move() {
	w.mu.Lock()
	if !w.moved.IsZero() || !w.termed.IsZero() {
		w.mu.Unlock()
		return
	}
	w.moved = time.Now()
	old := w.disc
	old.frozen = true
	door := old.door
	w.mu.Unlock()
	_ = door.Close()
	d := newOrderDiscovery(w, "new discovery", "10.0.0.8")
	w.mu.Lock()
	w.disc = d
	w.discoveries = append(w.discoveries, d)
	w.mu.Unlock()
	go func() {
		c := w.config("10.0.0.8:7000")
		select {
		case w.reloads <- Reload{Config: c}:
		case <-w.ended:
		case <-w.ctx.Done():
		}
		if w.passes(oldStays) {
			old.host.Kill()
		}
	}()
}

// terminate sends SIGTERM, and SIGKILL when it is time.
func (w *world) terminate() {
	w.mu.Lock()
	was := !w.termed.IsZero()
	w.termed = cmp.Or(w.termed, time.Now())
	w.mu.Unlock()
	if was {
		return
	}
	w.stop()
	go func() {
		if w.passes(cmp.Or(w.plant.killsAfter, killWait)) {
			w.mu.Lock()
			w.killed = time.Now()
			w.mu.Unlock()
			w.sidecar.Kill()
		}
	}()
}
