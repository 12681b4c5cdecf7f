package fake

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Breaks describes what the naive sidecar does to break a rule, by the rule's name. A process breaks at most one rule. The
// naive sidecar serves to test the verdicts: each must find the breach that it looks for, and must find none if there is
// none.
var Breaks = map[string]string{
	"":                  "keeps every rule",
	"unsafe-twice":      "runs an unsafe request again after its answer",
	"two-at-once":       "sends every request to two upstreams at once",
	"not-sent":          "sends requests of its own",
	"lost":              "leaves one request in ten without an answer",
	"forged":            "answers 200 by itself",
	"refused-after-run": "refuses what an upstream has served",
	"drain":             "goes on with what drains or is gone",
	"ban":               "says yes to a ban and goes on",
	"cold":              "sends everything to the upstream that started last",
	"attempts":          "tries a safe request eight times",
	"limits":            "holds more descriptors than it may",
	"crash":             "ends after 200 requests",
	"unanswered":        "after SIGTERM takes requests, and ends without answering them",
	"reset-unread":      "after SIGTERM leaves its connections unread, and resets them",
}

// naive is a sidecar that sends each request to a random upstream that is ready and warm.
type naive struct {
	breaks    string
	unsafe    map[string]bool // whether requests of a class are unsafe to repeat, by class
	warmUp    time.Duration
	client    *http.Client
	requests  atomic.Int64
	stopping  atomic.Bool
	mu        sync.Mutex
	listed    map[string]Entry
	withdrawn map[string]Entry // endpoints that are no longer ready; still used if breaks is "drain"
	banned    map[string]bool
}

// naiveConfig is the part of a sidecar's configuration that the naive sidecar reads.
type naiveConfig struct {
	Listen, Discovery, Ops string
	Limits                 struct{ Sockets int }
	Known                  *Listing
	Settings               struct {
		Classes []struct{ Name, Semantics string }
		Rules   struct{ WarmUpMs float64 }
	}
}

// RunNaive serves with the configuration file at path until ctx ends, and breaks the named rule.
func RunNaive(ctx context.Context, path, breaks string) error {
	if _, known := Breaks[breaks]; !known {
		return fmt.Errorf("no rule to break is called %q", breaks)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading the configuration: %w", err)
	}
	var c naiveConfig
	if err := json.Unmarshal(text, &c); err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	n := &naive{breaks: breaks, unsafe: map[string]bool{}, warmUp: time.Duration(c.Settings.Rules.WarmUpMs) * time.Millisecond,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		listed: map[string]Entry{}, withdrawn: map[string]Entry{}, banned: map[string]bool{}}
	for _, class := range c.Settings.Classes {
		n.unsafe[class.Name] = class.Semantics == "fragile"
	}
	if c.Known != nil {
		n.apply(*c.Known)
	}
	if breaks == "limits" {
		for range c.Limits.Sockets + 20 {
			f, err := os.Open(os.DevNull)
			if err != nil {
				return fmt.Errorf("holding descriptors: %w", err)
			}
			defer func() { _ = f.Close() }()
		}
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	if c.Ops != "" {
		opsListener, err := net.Listen("tcp", c.Ops)
		if err != nil {
			return fmt.Errorf("listening for operators: %w", err)
		}
		defer func() { _ = opsListener.Close() }()
		go n.serveOperators(opsListener)
	}
	go n.watch(ctx, c.Discovery)
	server := &http.Server{Handler: n, ReadHeaderTimeout: 2 * time.Second}
	if breaks == "reset-unread" {
		listener = stalledListener{listener, &n.stopping}
	}
	shutdownDone := make(chan struct{})
	go func() {
		defer close(shutdownDone)
		<-ctx.Done()
		n.stopping.Store(true) // from now on each connection closes after its next answer
		time.Sleep(shutdownDelay)
		if breaks == "unanswered" || breaks == "reset-unread" {
			os.Exit(0)
		}
		shutdownCtx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_ = server.Shutdown(shutdownCtx) // connections that are open after that time are cut off
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving: %w", err)
	}
	<-shutdownDone // Serve returns as soon as Shutdown begins
	return nil
}

// shutdownDelay is how long the naive sidecar goes on serving after SIGTERM.
const shutdownDelay = 800 * time.Millisecond

// stalledListener accepts connections whose reads block forever once the sidecar is stopping.
type stalledListener struct {
	net.Listener
	stopping *atomic.Bool
}

// Accept accepts a connection. No more requests are read from it once the sidecar is stopping.
func (l stalledListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return stalledConn{conn, l.stopping}, err
}

// stalledConn is a connection whose reads block forever once the sidecar is stopping.
type stalledConn struct {
	net.Conn
	stopping *atomic.Bool
}

func (c stalledConn) Read(p []byte) (int, error) {
	if c.stopping.Load() {
		select {}
	}
	return c.Conn.Read(p)
}

// apply applies a message from discovery to the list.
func (n *naive) apply(l Listing) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.Snapshot {
		n.listed = map[string]Entry{}
	}
	for _, e := range l.Endpoints {
		if e.Status == Ready {
			n.listed[e.Name] = e
			continue
		}
		if old, ok := n.listed[e.Name]; ok {
			n.withdrawn[e.Name] = old
		}
		delete(n.listed, e.Name)
	}
}

// watch watches the list until ctx ends.
func (n *naive) watch(ctx context.Context, address string) {
	for ctx.Err() == nil {
		if req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/targets?watch=1&from=0", nil); err == nil {
			if resp, err := n.client.Do(req); err == nil {
				lines := bufio.NewScanner(resp.Body)
				lines.Buffer(nil, 4<<20)
				for lines.Scan() {
					var l Listing
					if json.Unmarshal(lines.Bytes(), &l) == nil && l.Index > 0 {
						n.apply(l)
					}
				}
				_ = resp.Body.Close()
			}
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// pick returns a random upstream, other than except, for a request. The entry is empty if there is none.
func (n *naive) pick(except string) Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	var warm, all []Entry
	latest := Entry{}
	for _, e := range n.listed {
		if e.Name == except || n.banned[e.Name] && n.breaks != "ban" {
			continue
		}
		all = append(all, e)
		if e.SinceMs > latest.SinceMs {
			latest = e
		}
		if time.Since(time.UnixMilli(e.SinceMs)) > n.warmUp {
			warm = append(warm, e)
		}
	}
	if n.breaks == "drain" && rand.IntN(4) == 0 {
		for _, e := range n.withdrawn {
			return e
		}
	}
	if n.breaks == "ban" && len(n.banned) > 0 && rand.IntN(4) == 0 {
		for name := range n.banned {
			return n.listed[name]
		}
	}
	if n.breaks == "cold" && latest.Name != "" && except == "" {
		return latest
	}
	if len(warm) > 0 {
		return warm[rand.IntN(len(warm))]
	}
	if len(all) > 0 {
		return all[rand.IntN(len(all))]
	}
	return Entry{}
}

func (n *naive) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/ready" {
		if n.pick("").Name == "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	number := n.requests.Add(1)
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	timeoutMicros, err := strconv.Atoi(strings.TrimSuffix(r.Header.Get("X-Timeout"), "u"))
	if err != nil {
		timeoutMicros = int(time.Second / time.Microsecond)
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(timeoutMicros)*time.Microsecond)
	defer cancel()
	unsafe := n.unsafe[r.Header.Get("X-Priority-Class")]
	switch {
	case n.breaks == "crash" && number > 200:
		os.Exit(3)
	case n.breaks == "unanswered" && n.stopping.Load():
		<-r.Context().Done()
		return
	case n.breaks == "lost" && number%10 == 0:
		<-r.Context().Done()
		return
	case n.breaks == "forged" && number%10 == 0:
		_, _ = io.WriteString(w, "as good as served\n")
		return
	case n.breaks == "not-sent" && number%10 == 0:
		extra := r.Clone(ctx)
		extra.Header.Set("X-Request-ID", fmt.Sprintf("%016x", rand.Uint64()))
		n.send(ctx, n.pick(""), extra, body)
	case n.breaks == "two-at-once":
		first := n.pick("")
		go n.send(ctx, n.pick(first.Name), r, body)
	}
	maxAttempts := 3
	if n.breaks == "attempts" && !unsafe {
		maxAttempts = 8
	}
	var e Entry
	status, answer := 0, []byte(nil)
	for range maxAttempts {
		e = n.pick(e.Name)
		if status, answer = n.send(ctx, e, r, body); status != statusNotRun && n.breaks != "attempts" {
			break
		}
	}
	if n.breaks == "unsafe-twice" && unsafe && status == http.StatusOK {
		status, answer = n.send(ctx, n.pick(e.Name), r, body)
	}
	switch {
	case status == http.StatusOK && n.breaks == "refused-after-run" && unsafe:
		w.WriteHeader(http.StatusServiceUnavailable)
	case status == http.StatusOK:
		_, _ = w.Write(answer)
	case status == statusNotRun:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// statusNotRun is the status of an attempt that the upstream has not run.
const statusNotRun = 0

// send makes one attempt. The status is statusNotRun if the upstream has not run it.
func (n *naive) send(ctx context.Context, e Entry, r *http.Request, body []byte) (status int, answer []byte) {
	if e.Name == "" {
		return statusNotRun, nil
	}
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+e.Address+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		return statusNotRun, nil
	}
	out.GetBody = nil // keeps net/http from sending an unsafe request again by itself
	out.Header.Set("X-Request-ID", r.Header.Get("X-Request-ID"))
	resp, err := n.client.Do(out)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return statusNotRun, nil
		}
		return http.StatusBadGateway, nil
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(notProcessed) == "1" {
		return statusNotRun, nil
	}
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	return resp.StatusCode, answer
}

// serveOperators answers operators, one line per connection.
func (n *naive) serveOperators(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		line, _ := bufio.NewReader(io.LimitReader(c, 512)).ReadString('\n') // an incomplete line is answered too
		fields := strings.Fields(line)
		answer := "NO\n"
		n.mu.Lock()
		switch {
		case len(fields) == 2 && fields[0] == "DISABLE":
			n.banned[fields[1]] = true
			answer = "YES\n"
		case len(fields) == 2 && fields[0] == "ENABLE":
			delete(n.banned, fields[1])
			answer = "YES\n"
		case len(fields) == 1 && fields[0] == "READY":
			answer = "YES\n"
		}
		n.mu.Unlock()
		_, _ = io.WriteString(c, answer)
		_ = c.Close()
	}
}
