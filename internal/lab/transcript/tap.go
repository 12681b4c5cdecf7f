package transcript

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Tap stands between a party and a service that answers HTTP on loopback, passes on what they say, and writes it down: of a call its
// line and body, of an answer its status and each line of its body. Headers, which tell of times and ports, are left out, and so are the
// empty lines of a watch but for the first: how many there are depends on how long it took.
type Tap struct {
	record   *Script
	from, to string
	server   *http.Server
	client   *http.Client
	address  string
	serving  sync.WaitGroup

	mu     sync.Mutex
	target string
	cut    bool
	skip   func(call, body string) bool       // calls that are not written down either
	left   int                                // calls that are still written down; below 0: all
	news   bool                               // of the others: lines that are new
	told   map[string]bool                    // lines of watches
	lose   func(call string) (way, back bool) // what of a call is lost
	open   map[context.Context]context.CancelFunc
}

// NewTap listens for a party on a free port of ip, in front of the service at target. With an ip that no other process uses no call of
// another's strays into the record: ports that were free a moment ago are tried by many tests.
func NewTap(record *Script, from, to, ip, target string) (*Tap, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("tap: %w", err)
	}
	t := &Tap{record: record, from: from, to: to, target: target, address: l.Addr().String(), left: -1, told: map[string]bool{}, open: map[context.Context]context.CancelFunc{},
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}}
	record.Between(from, to)
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: patience}
	t.serving.Go(func() { _ = t.server.Serve(l) }) // ends with Close alone
	return t, nil
}

// Address is where the party is to ask.
func (t *Tap) Address() string { return t.address }

// Close ends all connections, and returns once nothing is passed on any more.
func (t *Tap) Close() {
	t.Cut(true)
	_ = t.server.Close()
	t.serving.Wait()
	t.client.CloseIdleConnections()
}

// Cut breaks what is open and has nothing pass, or lets it pass again. Calls that meet the cut are not written down, since how many there
// are is up to chance.
func (t *Tap) Cut(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cut = on
	if on {
		for _, cancel := range t.open {
			cancel()
		}
	}
}

// Only writes down so many calls from now on, with what they are answered. Those after them, such as watches that are opened again for
// want of a line in time, pass unrecorded; but with news what a watch among them is told is written down, unless one was told it before.
func (t *Tap) Only(calls int, news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left, t.news = calls, news
}

// Skip leaves calls out, such as those that come by chance or again and again; of watches among them news is written down, as by Only.
func (t *Tap) Skip(skip func(call, body string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.skip, t.news = skip, true
}

// tell writes down a line of a watch.
func (t *Tap) tell(quiet bool, line string) {
	t.mu.Lock()
	skip := quiet && (!t.news || t.told[line])
	t.told[line] = true
	t.mu.Unlock()
	if !skip {
		t.record.Say(t.to, t.from, "%s", line)
	}
}

// Lose decides of each call, as "PUT /v1/settings/orders", whether it is lost on its way, or what it is answered is on the way back.
func (t *Tap) Lose(lose func(call string) (way, back bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lose = lose
}

// call is one that is passed on.
type call struct {
	ctx       context.Context
	end       func()
	quiet     bool // it is not written down
	way, back bool // it is lost there, or its answer
}

// begin counts a call in; false: it meets a cut.
func (t *Tap) begin(r *http.Request, body string) (c call, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cut {
		return c, false
	}
	own, cancel := context.WithCancel(r.Context())
	t.open[own] = cancel
	t.serving.Add(1) // never once it is closed: that is a cut
	c = call{ctx: own, quiet: t.left == 0, end: func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.open, own)
		cancel()
		t.serving.Done()
	}}
	if t.left > 0 {
		t.left--
	}
	what := r.Method + " " + r.URL.Path
	if t.skip != nil && t.skip(what, body) {
		c.quiet = true
	}
	if t.lose != nil {
		c.way, c.back = t.lose(what)
	}
	return c, true
}

// ServeHTTP passes one call on.
func (t *Tap) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c, ok := t.begin(r, string(body))
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer c.end()
	if t.pass(rw, r, c, body) != nil {
		panic(http.ErrAbortHandler) // breaks the connection
	}
}

var errLost = errors.New("lost")

func (t *Tap) pass(rw http.ResponseWriter, r *http.Request, c call, body []byte) error {
	say := t.record.Say
	if c.quiet {
		say = func(string, string, string, ...any) {}
	}
	say(t.from, t.to, "%s", strings.TrimSpace(r.Method+" "+r.URL.RequestURI()+" "+string(body)))
	if c.way {
		say(t.to, t.from, "(the call is lost)")
		return errLost
	}
	req, err := http.NewRequestWithContext(c.ctx, r.Method, "http://"+t.target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if r.FormValue("watch") != "" && resp.StatusCode == http.StatusOK && !c.back {
		return t.lines(rw, resp.Body, c.quiet)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if c.back {
		say(t.to, t.from, "(lost) %d %s", resp.StatusCode, text)
		return errLost
	}
	say(t.to, t.from, "%d %s", resp.StatusCode, text)
	rw.WriteHeader(resp.StatusCode)
	_, err = rw.Write(text)
	return err
}

// lines passes a watch on, line by line as they come.
func (t *Tap) lines(rw http.ResponseWriter, body io.Reader, quiet bool) error {
	out := http.NewResponseController(rw)
	rw.WriteHeader(http.StatusOK)
	in := bufio.NewReader(body)
	for first := true; ; first = false {
		line, err := in.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			return nil
		} else if err != nil {
			return err
		}
		switch text := strings.TrimSpace(line); {
		case text != "":
			t.tell(quiet, text)
		case first && !quiet:
			t.record.Say(t.to, t.from, "(an empty line)")
		}
		_ = out.SetWriteDeadline(time.Now().Add(patience))
		if _, err := io.WriteString(rw, line); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
}
