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

// Tap is a recording proxy between a party and a service that answers HTTP on loopback. It records the request line and body of each call,
// and the status and each line of the body of each answer. Headers are left out, since they contain times and ports, and so are the empty
// lines of a watch except for the first: their number depends on how long the watch took.
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
	skip      func(call, body string) bool             // reports whether a call is left out of the record
	remaining int                                      // number of calls still to be recorded; below 0, all are
	recordNew bool                                     // new lines of watches are recorded even if the watch is left out
	seenLines map[string]bool                          // lines that watches have delivered
	lose      func(call string) (request, answer bool) // reports whether a call, or its answer, is lost
	openCalls map[context.Context]context.CancelFunc
}

// NewTap listens for a party on a free port of ip, in front of the service at target. The ip should be one that no other process uses, as
// many tests try ports that were free a moment ago: with a shared ip, a call of another test can get into the record.
func NewTap(record *Script, from, to, ip, target string) (*Tap, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("tap: %w", err)
	}
	t := &Tap{record: record, from: from, to: to, target: target, address: l.Addr().String(), remaining: -1, seenLines: map[string]bool{}, openCalls: map[context.Context]context.CancelFunc{},
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}}
	record.Between(from, to)
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: waitTimeout}
	t.serving.Go(func() { _ = t.server.Serve(l) }) // returns only after Close
	return t, nil
}

// Address returns the address that the party calls in place of the service's.
func (t *Tap) Address() string { return t.address }

// Close ends all connections, and returns once nothing is forwarded any more.
func (t *Tap) Close() {
	t.Cut(true)
	_ = t.server.Close()
	t.serving.Wait()
	t.client.CloseIdleConnections()
}

// Cut breaks open calls and refuses new ones, or accepts them again. Calls that are refused are not recorded, since their number is
// random.
func (t *Tap) Cut(cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cut = cut
	if cut {
		for _, cancel := range t.openCalls {
			cancel()
		}
	}
}

// Only records the given number of calls from now on, with their answers. Later calls are forwarded without a record, such as watches that
// are opened again because no line came in time. If recordNew is set, lines of these watches are recorded unless a watch has delivered
// the same line before.
func (t *Tap) Only(calls int, recordNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remaining, t.recordNew = calls, recordNew
}

// Skip leaves those calls out of the record for which skip returns true, such as random or repeated ones. New lines of watches among them
// are recorded, as Only does with recordNew.
func (t *Tap) Skip(skip func(call, body string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.skip, t.recordNew = skip, true
}

// recordWatchLine records a line of a watch, unless the watch is left out and the line is not to be recorded as new.
func (t *Tap) recordWatchLine(quiet bool, line string) {
	t.mu.Lock()
	skip := quiet && (!t.recordNew || t.seenLines[line])
	t.seenLines[line] = true
	t.mu.Unlock()
	if !skip {
		t.record.Say(t.to, t.from, "%s", line)
	}
}

// Lose sets the function that decides for each call, such as "PUT /v1/settings/orders", whether the call or its answer is lost.
func (t *Tap) Lose(lose func(call string) (request, answer bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lose = lose
}

// call is a call that is forwarded.
type call struct {
	ctx                     context.Context
	finish                  func()
	unrecorded              bool // it is left out of the record
	requestLost, answerLost bool // the call is lost on its way, or its answer is
}

// begin registers a call. ok is false if calls are cut off.
func (t *Tap) begin(r *http.Request, body string) (c call, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cut {
		return c, false
	}
	ctx, cancel := context.WithCancel(r.Context())
	t.openCalls[ctx] = cancel
	t.serving.Add(1) // not after Close, which cuts calls off first
	c = call{ctx: ctx, unrecorded: t.remaining == 0, finish: func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.openCalls, ctx)
		cancel()
		t.serving.Done()
	}}
	if t.remaining > 0 {
		t.remaining--
	}
	name := r.Method + " " + r.URL.Path
	if t.skip != nil && t.skip(name, body) {
		c.unrecorded = true
	}
	if t.lose != nil {
		c.requestLost, c.answerLost = t.lose(name)
	}
	return c, true
}

// ServeHTTP forwards one call.
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

// forward sends a call to the service and its answer back, and records both. An error means that the party's connection has to be broken.
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

// forwardWatch forwards the lines of a watch as they arrive.
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
