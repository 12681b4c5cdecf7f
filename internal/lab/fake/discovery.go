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

// The statuses of list entries.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Gone        = "Gone"
)

// emptyLineInterval is the time between the empty lines that are sent on an open watch.
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

// Listing is one message from discovery: the whole list (Snapshot), or the entries that changed.
type Listing struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Mood is the fault that an agent of discovery shows. The zero value is no fault.
type Mood struct {
	Silent  bool          // no answers, and no messages on open watches
	Late    time.Duration // delay in addition to the agent's own
	Rewind  bool          // sends an old list again, under its old index
	Garbage bool          // sends a line that is not a valid message
	Empty   bool          // sends a list without endpoints
}

// Discovery holds the list of upstreams and the agents that serve it to sidecars.
type Discovery struct {
	rec     *record.Record
	mu      sync.Mutex
	changes []change // the change at position i has index i+1
	agents  []*Agent
}

type change struct {
	at    time.Duration
	entry Entry
}

// NewDiscovery returns a Discovery whose list is empty.
func NewDiscovery(rec *record.Record) *Discovery { return &Discovery{rec: rec} }

// Change changes an entry now. Each agent sees the change after its delay.
func (d *Discovery) Change(e Entry) {
	d.mu.Lock()
	d.changes = append(d.changes, change{d.rec.Now(), e})
	agents := slices.Clone(d.agents)
	d.mu.Unlock()
	for _, a := range agents {
		a.takeDueChanges()
	}
}

// Agent serves the list to one sidecar, with the addresses at which that sidecar reaches the upstreams.
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
	visibleChanges int           // number of changes that the sidecar can see
	changed        chan struct{} // closed and replaced when there is something new for the watches
	timer          *time.Timer
	closed         bool
	listenAddress  string
}

// Agent starts the agent of a sidecar at the address listen. The sidecar sees each change after delay. address returns
// an upstream's address as that sidecar is to see it.
func (d *Discovery) Agent(sidecar, listen string, delay time.Duration, address func(string) string) (*Agent, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("discovery of %s: %w", sidecar, err)
	}
	a := &Agent{Sidecar: sidecar, d: d, address: address, delay: delay, teller: newTeller(d.rec, sidecar),
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
	a.visibleChanges = len(d.changes) // changes made before the agent started are visible without delay
	a.mu.Unlock()
	return a, nil
}

// Address returns the address at which the sidecar asks.
func (a *Agent) Address() string { return a.listenAddress }

// Close stops the agent and ends its watches.
func (a *Agent) Close() {
	a.mu.Lock()
	a.closed = true
	a.timer.Stop()
	a.wakeWatches()
	a.mu.Unlock()
	_ = a.server.Close()
	a.done.Wait()
}

// Set replaces the mood, effective at once.
func (a *Agent) Set(m Mood) {
	a.mu.Lock()
	a.mood = m
	a.wakeWatches()
	a.mu.Unlock()
	a.takeDueChanges()
}

// Restarted notes that a new process of the sidecar starts. That process knows only the list known, which is nil if there is
// none.
func (a *Agent) Restarted(known *Listing) { a.teller.reset(known) }

// Teller returns the agent's record of the lists sent to its sidecar, for use by other servers that also send it lists.
func (a *Agent) Teller() *Teller { return a.teller }

// Known returns the latest list that the sidecar can have.
func (a *Agent) Known() Listing {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullList()
}

// takeDueChanges makes the changes visible that are due, and sets the timer for the next one.
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

// wakeWatches wakes the open watches. The caller holds mu.
func (a *Agent) wakeWatches() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// changesSince returns the entries that changed after version from, or the whole list if that version is not known. The
// caller holds mu.
func (a *Agent) changesSince(from int) Listing {
	if from < 1 || from > a.visibleChanges {
		return a.fullList()
	}
	l := Listing{Index: int64(a.visibleChanges), Endpoints: []Entry{}}
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	position := map[string]int{}
	for _, c := range a.d.changes[from:a.visibleChanges] {
		e := a.withOwnAddress(c.entry)
		if i, ok := position[e.Name]; ok {
			l.Endpoints[i] = e
			continue
		}
		position[e.Name] = len(l.Endpoints)
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

// fullList returns the list as the agent has it. The caller holds mu.
func (a *Agent) fullList() Listing { return a.listAt(a.visibleChanges) }

// listAt returns the whole list as of a version.
func (a *Agent) listAt(version int) Listing {
	l := Listing{Index: int64(version), Snapshot: true, Endpoints: []Entry{}}
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	position := map[string]int{}
	for _, c := range a.d.changes[:version] {
		e := a.withOwnAddress(c.entry)
		i, ok := position[e.Name]
		switch {
		case e.Status == Gone && ok:
			l.Endpoints = slices.Delete(l.Endpoints, i, i+1)
			delete(position, e.Name)
			for name, j := range position {
				if j > i {
					position[name] = j - 1
				}
			}
		case e.Status == Gone:
		case ok:
			l.Endpoints[i] = e
		default:
			position[e.Name] = len(l.Endpoints)
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	return l
}

// withOwnAddress returns e with the address that this sidecar is to use. An entry that is gone stays as it is.
func (a *Agent) withOwnAddress(e Entry) Entry {
	if e.Status != Gone {
		e.Address = a.address(e.Name)
	}
	return e
}

// serveTargets answers a request with the whole list, or serves a watch until it ends.
func (a *Agent) serveTargets(w http.ResponseWriter, r *http.Request) {
	watch := r.URL.Query().Get("watch") == "1"
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || !watch {
		from = 0
	}
	controller := http.NewResponseController(w)
	emptyLines := time.NewTicker(emptyLineInterval)
	defer emptyLines.Stop()
	sent, begun := from, false // sent is the version that the client has
	var mood Mood
	for {
		a.mu.Lock()
		changed, previous := a.changed, mood
		mood = a.mood
		line := ""
		var l Listing
		hasNews := false
		switch {
		case a.closed:
			a.mu.Unlock()
			return
		case mood.Silent:
		case mood.Garbage:
			if mood != previous {
				line = "{\"index\":7,\"snapshot\":true,\"endpoints\":[{\"na\x00\xff\n"
			}
		case mood.Empty, mood.Rewind:
			if mood != previous || !begun {
				l = Listing{Index: int64(a.visibleChanges + 1), Snapshot: true, Endpoints: []Entry{}}
				if mood.Rewind {
					l = a.listAt(max(1, a.visibleChanges/2))
				}
				line, hasNews, sent = encode(l), true, 0
			}
		case !begun || sent != a.visibleChanges:
			l = a.changesSince(sent)
			line, hasNews, sent = encode(l), true, a.visibleChanges
		}
		if hasNews { // recorded before the write, so that a sidecar that acts at once does not seem to act before it got the list
			a.teller.recordNews(l)
		}
		a.mu.Unlock()
		if line != "" {
			begun = true
			if _, err := w.Write([]byte(line)); err != nil || controller.Flush() != nil || !watch {
				return
			}
		}
		select {
		case <-changed:
		case <-emptyLines.C:
			if begun && !mood.Silent {
				if _, err := w.Write([]byte("\n")); err != nil || controller.Flush() != nil {
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
		panic(err) // can't fail: a Listing holds plain values only
	}
	return string(text) + "\n"
}
