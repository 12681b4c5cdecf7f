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

	mu        sync.Mutex
	target    string
	cut       bool
	skip      func(call, body string) bool       // calls that are not written down either
	remaining int                                // calls that are still written down; below 0: all
	recordNew bool                               // of the others: lines that are new
	seenLines map[string]bool                    // lines of watches
	lose      func(call string) (way, back bool) // what of a call is lost
	openCalls map[context.Context]context.CancelFunc
}

// NewTap listens for a party on a free port of ip, in front of the service at target. With an ip that no other process uses no call of
// another's strays into the record: ports that were free a moment ago are tried by many tests.
func NewTap(record *Script, from, to, ip, target string) (*Tap, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("tap: %w", err)
	}
	t := &Tap{record: record, from: from, to: to, target: target, address: l.Addr().String(), remaining: -1, seenLines: map[string]bool{}, openCalls: map[context.Context]context.CancelFunc{},
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}}
	record.Between(from, to)
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: waitTimeout}
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
		for _, cancel := range t.openCalls {
			cancel()
		}
	}
}

// Only writes down so many calls from now on, with what they are answered. Those after them, such as watches that are opened again for
// want of a line in time, pass unrecorded; but with news what a watch among them is told is written down, unless one was told it before.
func (t *Tap) Only(calls int, news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remaining, t.recordNew = calls, news
}

// Skip leaves calls out, such as those that come by chance or again and again; of watches among them news is written down, as by Only.
func (t *Tap) Skip(skip func(call, body string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.skip, t.recordNew = skip, true
}

// recordWatchLine writes down a line of a watch.
func (t *Tap) recordWatchLine(quiet bool, line string) {
	t.mu.Lock()
	skip := quiet && (!t.recordNew || t.seenLines[line])
	t.seenLines[line] = true
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
	ctx                     context.Context
	finish                  func()
	unrecorded              bool // it is not written down
	requestLost, answerLost bool // it is lost there, or its answer
}

// begin counts a call in; false: it meets a cut.
func (t *Tap) begin(r *http.Request, body string) (c call, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cut {
		return c, false
	}
	own, cancel := context.WithCancel(r.Context())
	t.openCalls[own] = cancel
	t.serving.Add(1) // never once it is closed: that is a cut
	c = call{ctx: own, unrecorded: t.remaining == 0, finish: func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.openCalls, own)
		cancel()
		t.serving.Done()
	}}
	if t.remaining > 0 {
		t.remaining--
	}
	what := r.Method + " " + r.URL.Path
	if t.skip != nil && t.skip(what, body) {
		c.unrecorded = true
	}
	if t.lose != nil {
		c.requestLost, c.answerLost = t.lose(what)
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
	defer c.finish()
	if t.forward(rw, r, c, body) != nil {
		panic(http.ErrAbortHandler) // breaks the connection
	}
}

var errLost = errors.New("lost")

func (t *Tap) forward(rw http.ResponseWriter, r *http.Request, c call, body []byte) error {
	say := t.record.Say
	if c.unrecorded {
		say = func(string, string, string, ...any) {}
	}
	say(t.from, t.to, "%s", strings.TrimSpace(r.Method+" "+r.URL.RequestURI()+" "+string(body)))
	if c.requestLost {
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
	if r.FormValue("watch") != "" && resp.StatusCode == http.StatusOK && !c.answerLost {
		return t.forwardWatch(rw, resp.Body, c.unrecorded)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if c.answerLost {
		say(t.to, t.from, "(lost) %d %s", resp.StatusCode, text)
		return errLost
	}
	say(t.to, t.from, "%d %s", resp.StatusCode, text)
	rw.WriteHeader(resp.StatusCode)
	_, err = rw.Write(text)
	return err
}

// forwardWatch passes a watch on, line by line as they come.
func (t *Tap) forwardWatch(rw http.ResponseWriter, body io.Reader, quiet bool) error {
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
			t.recordWatchLine(quiet, text)
		case first && !quiet:
			t.record.Say(t.to, t.from, "(an empty line)")
		}
		_ = out.SetWriteDeadline(time.Now().Add(waitTimeout))
		if _, err := io.WriteString(rw, line); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
}
