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

// Breaks are the rules that the naive sidecar can be told to break, one at a time, and what it does then. It is there to
// show that a verdict finds what it is for, and is silent where nothing is wrong.
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

// naive is a sidecar that sends each request to a random ready upstream that is warm.
type naive struct {
	breaks    string
	unsafe    map[string]bool // by class
	warmUp    time.Duration
	client    *http.Client
	requests  atomic.Int64
	stopping  atomic.Bool
	mu        sync.Mutex
	listed    map[string]Entry
	withdrawn map[string]Entry // that it was told to leave, for the rule that it breaks
	banned    map[string]bool
}

// naiveConfig is the part of a sidecar's configuration that is read.
type naiveConfig struct {
	Listen, Discovery, Ops string
	Limits                 struct{ Sockets int }
	Known                  *Listing
	Settings               struct {
		Classes []struct{ Name, Semantics string }
		Rules   struct{ WarmUpMs float64 }
	}
}

// RunNaive serves by the configuration at path until ctx ends, breaking the named rule.
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
		door, err := net.Listen("tcp", c.Ops)
		if err != nil {
			return fmt.Errorf("listening for operators: %w", err)
		}
		defer func() { _ = door.Close() }()
		go n.serveOperators(door)
	}
	go n.watch(ctx, c.Discovery)
	server := &http.Server{Handler: n, ReadHeaderTimeout: 2 * time.Second}
	if breaks == "reset-unread" {
		listener = stalledListener{listener, &n.stopping}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		<-ctx.Done()
		n.stopping.Store(true) // from now on each connection ends with its next answer
		time.Sleep(shutdownDelay)
		if breaks == "unanswered" || breaks == "reset-unread" {
			os.Exit(0)
		}
		last, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_ = server.Shutdown(last) // what is left is cut off
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving: %w", err)
	}
	<-ended // Serve returns when Shutdown begins
	return nil
}

// shutdownDelay is how long the naive sidecar goes on after SIGTERM.
const shutdownDelay = 800 * time.Millisecond

// stalledListener gives connections that read no more once the sidecar is to end.
type stalledListener struct {
	net.Listener
	stopping *atomic.Bool
}

// Accept accepts a connection that nobody will answer.
func (l stalledListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return stalledConn{conn, l.stopping}, err
}

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

// watch follows the list until ctx ends.
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

// pick is a random upstream that may have work, other than not; none: empty.
func (n *naive) pick(not string) Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	var warm, all []Entry
	latest := Entry{}
	for _, e := range n.listed {
		if e.Name == not || n.banned[e.Name] && n.breaks != "ban" {
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
	if n.breaks == "cold" && latest.Name != "" && not == "" {
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
	us, err := strconv.Atoi(strings.TrimSuffix(r.Header.Get("X-Timeout"), "u"))
	if err != nil {
		us = int(time.Second / time.Microsecond)
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(us)*time.Microsecond)
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
		other := r.Clone(ctx)
		other.Header.Set("X-Request-ID", fmt.Sprintf("%016x", rand.Uint64()))
		n.send(ctx, n.pick(""), other, body)
	case n.breaks == "two-at-once":
		first := n.pick("")
		go n.send(ctx, n.pick(first.Name), r, body)
	}
	tries := 3
	if n.breaks == "attempts" && !unsafe {
		tries = 8
	}
	var e Entry
	status, answer := 0, []byte(nil)
	for range tries {
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

// statusNotRun stands for an attempt that has not run.
const statusNotRun = 0

// send makes one attempt.
func (n *naive) send(ctx context.Context, e Entry, r *http.Request, body []byte) (status int, answer []byte) {
	if e.Name == "" {
		return statusNotRun, nil
	}
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+e.Address+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		return statusNotRun, nil
	}
	out.GetBody = nil // the library is not to send an unsafe request again by itself
	out.Header.Set("X-Request-ID", r.Header.Get("X-Request-ID"))
	resp, err := n.client.Do(out)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
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

// serveOperators answers operators: one line a connection.
func (n *naive) serveOperators(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		line, _ := bufio.NewReader(io.LimitReader(c, 512)).ReadString('\n') // half a line is answered as one
		words := strings.Fields(line)
		answer := "NO\n"
		n.mu.Lock()
		switch {
		case len(words) == 2 && words[0] == "DISABLE":
			n.banned[words[1]] = true
			answer = "YES\n"
		case len(words) == 2 && words[0] == "ENABLE":
			delete(n.banned, words[1])
			answer = "YES\n"
		case len(words) == 1 && words[0] == "READY":
			answer = "YES\n"
		}
		n.mu.Unlock()
		_, _ = io.WriteString(c, answer)
		_ = c.Close()
	}
}
