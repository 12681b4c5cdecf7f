package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is an upstream in the list, with the field names of the protocol page.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

type listing struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Agent is the discovery agent on a sidecar's machine: it answers at once with what it has been sent, keeps watches open with an empty line
// every 2 s, and is silent while discovery is down.
type Agent struct {
	Address string
	rec     *Record
	server  *http.Server

	mu      sync.Mutex
	index   int64
	entries []Entry
	changed []int64       // the index at which each entry last changed
	wake    chan struct{} // closed at each change of the agent
	down    bool
	outage  int // number of outages so far
	calls   int
	beats   chan struct{} // receives a value at each empty line, where somebody waits for one
}

// NewAgent starts an agent that has the entries.
func NewAgent(rec *Record, entries []Entry) (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{Address: l.Addr().String(), rec: rec, index: 41, entries: entries, changed: make([]int64, len(entries)), wake: make(chan struct{}), beats: make(chan struct{})}
	for i := range a.changed {
		a.changed[i] = 41
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", a.serve)
	a.server = &http.Server{Handler: mux}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

// Close ends the agent.
func (a *Agent) Close() { _ = a.server.Close() }

// Known returns the present list, in the form of the configuration's key known.
func (a *Agent) Known() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.since(0)
}

// Set changes the status of an entry. While discovery is up, the agent has the change at once.
func (a *Agent) Set(name, status string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index++
	for i := range a.entries {
		if a.entries[i].Name == name {
			a.entries[i].Status, a.changed[i] = status, a.index
		}
	}
	a.rec.Log("discovery: %s is %s as of index %d", name, status, a.index)
	a.notify()
}

// AwaitEmptyLine waits for the next empty line on an open watch.
func (a *Agent) AwaitEmptyLine() { <-a.beats }

// SetDown begins or ends an outage of discovery.
func (a *Agent) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down = down; down {
		a.outage++
		a.rec.Log("discovery is down: the agent is silent")
	} else {
		a.rec.Log("discovery is back: the agent answers at once, with index %d", a.index)
	}
	a.notify()
}

func (a *Agent) notify() {
	close(a.wake)
	a.wake = make(chan struct{})
}

// since returns the entries that changed after an index, or the whole list. The caller holds mu.
func (a *Agent) since(from int64) listing {
	l := listing{Index: a.index, Snapshot: from < 41 || from > a.index, Endpoints: []Entry{}}
	for i, e := range a.entries {
		switch {
		case l.Snapshot && e.Status != "Gone", !l.Snapshot && a.changed[i] > from:
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	return l
}

// serve answers one call. A watch that has fallen silent in an outage stays silent: it is broken, and has to be opened anew.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.calls++
	call, outage := a.calls, a.outage
	silent := a.down
	a.mu.Unlock()
	a.rec.Log("discovery: call %d, %s", call, r.URL.RequestURI())
	watch := r.URL.Query().Get("watch") == "1"
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || !watch {
		from = 0
	}
	control := http.NewResponseController(w)
	write := func(text string) bool {
		_, err := fmt.Fprint(w, text)
		return err == nil && control.Flush() == nil
	}
	empty := time.NewTicker(2 * time.Second)
	defer empty.Stop()
	sent, begun := from, false
	for {
		a.mu.Lock()
		wake, text := a.wake, ""
		silent = silent || a.down || a.outage != outage
		if !silent && (!begun || sent != a.index) {
			l := a.since(sent)
			sent = a.index
			line, _ := json.Marshal(l)
			text = string(line) + "\n"
		}
		a.mu.Unlock()
		if text != "" {
			begun = true
			a.rec.Log("discovery: call %d is answered: %s", call, short(text, 300))
			if !write(text) || !watch {
				return
			}
		}
		select {
		case <-wake:
		case <-empty.C:
			if !begun || silent {
				continue
			}
			if !write("\n") {
				return
			}
			select {
			case a.beats <- struct{}{}:
			default:
			}
		case <-r.Context().Done():
			a.rec.Log("discovery: call %d was closed by the sidecar", call)
			return
		}
	}
}

func short(text string, n int) string {
	if len(text) > n {
		return text[:n] + "..."
	}
	return text
}
