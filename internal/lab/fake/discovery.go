package fake

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"mosslead/internal/lab/record"
)

// The states of list entries.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Gone        = "Gone"
)

const emptyLineInterval = 2 * time.Second

// Entry is an upstream in the list.
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

// Listing is one message of discovery.
type Listing struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Mood is what is wrong with discovery, by a fault. The zero value: nothing.
type Mood struct {
	Silent  bool          // answers nothing, and sends nothing on open watches
	Late    time.Duration // later than usual
	Rewind  bool          // tells an old list again, under its old number
	Garbage bool          // sends what is no message
	Empty   bool          // says that there is nobody
}

// Discovery is the list of upstreams, and the agents that bring it to sidecars.
type Discovery struct {
	rec     *record.Record
	mu      sync.Mutex
	changes []change // index i+1
	agents  []*Agent
}

type change struct {
	at    time.Duration
	entry Entry
}

// NewDiscovery is an empty list.
func NewDiscovery(rec *record.Record) *Discovery { return &Discovery{rec: rec} }

// Change tells of an entry, from now on; agents hear of it after their delay.
func (d *Discovery) Change(e Entry) {
	d.mu.Lock()
	d.changes = append(d.changes, change{d.rec.Now(), e})
	agents := slices.Clone(d.agents)
	d.mu.Unlock()
	for _, a := range agents {
		a.takeDueChanges()
	}
}

// Agent brings the list to one sidecar, with that sidecar's own addresses.
type Agent struct {
	Sidecar string

	d       *Discovery
	teller  *Teller
	address func(upstream string) string
	delay   time.Duration
	server  *http.Server
	done    sync.WaitGroup

	mu             sync.Mutex
	mood           Mood
	visibleChanges int           // changes that it has
	changed        chan struct{} // closed when there is news
	timer          *time.Timer
	closed         bool
	listenAddress  string
}

// Agent serves a sidecar at an address; changes reach it late by so much. address gives an upstream's address as that
// sidecar is to see it.
func (d *Discovery) Agent(sidecar, listen string, late time.Duration, address func(string) string) (*Agent, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("discovery of %s: %w", sidecar, err)
	}
	a := &Agent{Sidecar: sidecar, d: d, address: address, delay: late, teller: newTeller(d.rec, sidecar),
		changed: make(chan struct{}), listenAddress: ln.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", a.serveTargets)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	a.timer = time.AfterFunc(time.Hour, a.takeDueChanges)
	d.mu.Lock()
	d.agents = append(d.agents, a)
	d.mu.Unlock()
	a.done.Add(1)
	go func() { defer a.done.Done(); _ = a.server.Serve(ln) }() // ends with Close
	a.mu.Lock()
	a.visibleChanges = len(d.changes) // what was there before the play is known at once
	a.mu.Unlock()
	return a, nil
}

// Address is where the sidecar asks.
func (a *Agent) Address() string { return a.listenAddress }

// Close ends the agent and its watches.
func (a *Agent) Close() {
	a.mu.Lock()
	a.closed = true
	a.timer.Stop()
	a.wakeWatches()
	a.mu.Unlock()
	_ = a.server.Close()
	a.done.Wait()
}

// Set changes the mood, from now on.
func (a *Agent) Set(m Mood) {
	a.mu.Lock()
	a.mood = m
	a.wakeWatches()
	a.mu.Unlock()
	a.takeDueChanges()
}

// Restarted says that a process of the sidecar begins from nothing, but for the list that it is handed.
func (a *Agent) Restarted(known *Listing) { a.teller.reset(known) }

// Teller is what this agent notes of the news that reach its sidecar, for others that bring it news too.
func (a *Agent) Teller() *Teller { return a.teller }

// Known is the list as this sidecar last could have it.
func (a *Agent) Known() Listing {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullList()
}

// takeDueChanges takes in the changes that are due, and comes again for the next.
func (a *Agent) takeDueChanges() {
	a.d.mu.Lock()
	changes := a.d.changes
	a.d.mu.Unlock()
	now := a.d.rec.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	before := a.visibleChanges
	for a.visibleChanges < len(changes) {
		if due := changes[a.visibleChanges].at + a.delay + a.mood.Late; due > now {
			a.timer.Reset(due - now)
			break
		}
		a.visibleChanges++
	}
	if a.visibleChanges > before {
		a.wakeWatches()
	}
}

// wakeWatches wakes the watches; the caller holds mu.
func (a *Agent) wakeWatches() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// changesSince is what changed after a version, or the whole list where that version is not known. The caller holds mu.
func (a *Agent) changesSince(from int) Listing {
	if from < 1 || from > a.visibleChanges {
		return a.fullList()
	}
	l := Listing{Index: int64(a.visibleChanges), Endpoints: []Entry{}}
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	at := map[string]int{}
	for _, c := range a.d.changes[from:a.visibleChanges] {
		e := a.withOwnAddress(c.entry)
		if i, ok := at[e.Name]; ok {
			l.Endpoints[i] = e
			continue
		}
		at[e.Name] = len(l.Endpoints)
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

// fullList is the list as the agent has it. The caller holds mu.
func (a *Agent) fullList() Listing { return a.listAt(a.visibleChanges) }

func (a *Agent) listAt(version int) Listing {
	l := Listing{Index: int64(version), Snapshot: true, Endpoints: []Entry{}}
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	at := map[string]int{}
	for _, c := range a.d.changes[:version] {
		e := a.withOwnAddress(c.entry)
		i, ok := at[e.Name]
		switch {
		case e.Status == Gone && ok:
			l.Endpoints = slices.Delete(l.Endpoints, i, i+1)
			delete(at, e.Name)
			for name, j := range at {
				if j > i {
					at[name] = j - 1
				}
			}
		case e.Status == Gone:
		case ok:
			l.Endpoints[i] = e
		default:
			at[e.Name] = len(l.Endpoints)
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	return l
}

// withOwnAddress gives an entry the address that this sidecar is to use.
func (a *Agent) withOwnAddress(e Entry) Entry {
	if e.Status != Gone {
		e.Address = a.address(e.Name)
	}
	return e
}

// serveTargets answers the whole list, or follows a watch until it ends.
func (a *Agent) serveTargets(w http.ResponseWriter, r *http.Request) {
	watch := r.URL.Query().Get("watch") == "1"
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || !watch {
		from = 0
	}
	out := http.NewResponseController(w)
	empty := time.NewTicker(emptyLineInterval)
	defer empty.Stop()
	sent, begun := from, false // sent: the version that the other side has
	var mood Mood
	for {
		a.mu.Lock()
		changed, was := a.changed, mood
		mood = a.mood
		line := ""
		var l Listing
		tell := false
		switch {
		case a.closed:
			a.mu.Unlock()
			return
		case mood.Silent:
		case mood.Garbage:
			if mood != was {
				line = "{\"index\":7,\"snapshot\":true,\"endpoints\":[{\"na\x00\xff\n"
			}
		case mood.Empty, mood.Rewind:
			if mood != was || !begun {
				l = Listing{Index: int64(a.visibleChanges + 1), Snapshot: true, Endpoints: []Entry{}}
				if mood.Rewind {
					l = a.listAt(max(1, a.visibleChanges/2))
				}
				line, tell, sent = encode(l), true, 0
			}
		case !begun || sent != a.visibleChanges:
			l = a.changesSince(sent)
			line, tell, sent = encode(l), true, a.visibleChanges
		}
		if tell { // it counts as told from before the write: a sidecar that acts at once is not early
			a.teller.recordNews(l)
		}
		a.mu.Unlock()
		if line != "" {
			begun = true
			if _, err := w.Write([]byte(line)); err != nil || out.Flush() != nil || !watch {
				return
			}
		}
		select {
		case <-changed:
		case <-empty.C:
			if begun && !mood.Silent {
				if _, err := w.Write([]byte("\n")); err != nil || out.Flush() != nil {
					return
				}
			}
		case <-r.Context().Done():
			return
		}
	}
}

func encode(l Listing) string {
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // plain values only: a mistake here
	}
	return string(text) + "\n"
}
