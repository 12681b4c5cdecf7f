package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// entry is one line of discovery's list.
type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
	index   int64
}

// agent is discovery's agent on the sidecar's machine: GET /api/targets, whole or as a watch.
type agent struct {
	rec     *record
	name    string
	address string
	mu      sync.Mutex
	index   int64
	entries map[string]entry
	changed chan struct{}
	// firstWhole makes the first answer to a watch the whole list; callTakes is how long a call waits for its first answer.
	firstWhole bool
	callTakes  time.Duration
	closed     chan struct{}
	listener   net.Listener
}

func newAgent(rec *record, name string, index int64, entries ...entry) *agent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("%v", err)
	}
	a := &agent{rec: rec, name: name, address: l.Addr().String(), index: index, entries: map[string]entry{}, changed: make(chan struct{}), closed: make(chan struct{}), listener: l}
	for _, e := range entries {
		e.index = index
		a.entries[e.Name] = e
	}
	go func() { _ = (&http.Server{Handler: a}).Serve(l) }()
	return a
}

// set changes entries; each call is one version.
func (a *agent) set(entries ...entry) {
	a.mu.Lock()
	a.index++
	for _, e := range entries {
		e.index = a.index
		a.entries[e.Name] = e
	}
	close(a.changed)
	a.changed = make(chan struct{})
	a.rec.log("%s has version %d: %s", a.name, a.index, describe(entries))
	a.mu.Unlock()
}

func describe(entries []entry) string {
	s := ""
	for _, e := range entries {
		s += e.Name + " " + e.Status + "; "
	}
	return s
}

func (a *agent) message(from int64, whole bool) (map[string]any, int64, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := []entry{}
	for _, e := range a.entries {
		if whole && e.Status != "Gone" || !whole && e.index > from {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return map[string]any{"index": a.index, "snapshot": whole, "endpoints": list}, a.index, a.changed
}

// ServeHTTP implements http.Handler.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	encode := func(m map[string]any) {
		b, _ := json.Marshal(m)
		_, _ = w.Write(append(b, '\n'))
		_ = http.NewResponseController(w).Flush()
		a.rec.log("%s wrote %s", a.name, b)
	}
	if r.URL.Query().Get("watch") == "" {
		m, _, _ := a.message(0, true)
		encode(m)
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	a.rec.log("%s got a watch from %d", a.name, from)
	a.mu.Lock()
	takes := a.callTakes
	a.mu.Unlock()
	if takes > 0 {
		select {
		case <-time.After(takes):
		case <-r.Context().Done():
			a.rec.log("%s: a call was given up by the sidecar before its answer", a.name)
			return
		}
	}
	m, at, changed := a.message(from, a.firstWhole || from <= 0)
	if m["snapshot"] == true || at > from {
		encode(m)
	} else {
		_, _ = fmt.Fprintln(w)
		_ = http.NewResponseController(w).Flush()
	}
	for {
		select {
		case <-changed:
			m, next, ch := a.message(at, false)
			at, changed = next, ch
			encode(m)
		case <-time.After(2 * time.Second):
			if _, err := fmt.Fprintln(w); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		case <-r.Context().Done():
			return
		case <-a.closed:
			panic(http.ErrAbortHandler)
		}
	}
}

// delay makes each call wait that long for its first answer.
func (a *agent) delay(callTakes time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callTakes = callTakes
}

// stopListening closes the listener; open watches end later, by end.
func (a *agent) stopListening() { _ = a.listener.Close() }

func (a *agent) end() { close(a.closed) }
