package sidecar

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"mosslead/internal/lab/memnet"
)

// orderEntry is an upstream's entry in discovery's list.
type orderEntry struct {
	status string
	since  time.Time // since when it is ready; zero means long ago
}

// orderChange is one change of the list.
type orderChange struct {
	index              int
	upstream           int // index of the upstream
	entryJSON          string
	status             string
	at                 time.Duration
	silenceBound       time.Duration // time by which the sidecar must have noticed a silent watch; 0 if no watch was silent
	announcedAt        time.Duration // when it first arrived at the sidecar on a watch; 0 if it never did
	announcedCorruptAt time.Duration // when it first arrived on a watch that had delivered invalid data; 0 if it never did
}

// orderDiscovery is the discovery service at one address.
type orderDiscovery struct {
	h    *orderHarness
	name string
	host *memnet.Host
	// The fields below are guarded by orderHarness.mu.
	listener   net.Listener
	watches    []*orderWatch
	retired    bool       // discovery has moved to another address
	outageKind actionKind // kind of the present outage
	outages    []outage
}

// outage is a period in which discovery is unreachable or does not answer watches.
type outage struct{ from, to time.Duration }

// never is the time, or the event index, of an event that does not happen.
const never = 1 << 62

// orderWatch is one watch of the list. Writers hold writeLock, so that a change never overtakes the first list. writeLock is a
// channel because a goroutine that waits for a mutex stops the clock of the synctest bubble.
type orderWatch struct {
	net.Conn
	writeLock chan struct{}
	from      int  // index of the list after which the watch requests changes
	answered  bool // the head of the answer and the first list are being sent or were sent
	corrupted bool // it has delivered invalid data
	muted     bool
	mutedAt   time.Duration
	ended     bool
}

func newOrderDiscovery(h *orderHarness, name, ip string) *orderDiscovery {
	d := &orderDiscovery{h: h, name: name, host: h.net.Host(name, ip, discoveryDelay)}
	d.listen()
	return d
}

func (d *orderDiscovery) listen() {
	l, err := d.host.Listen(7000)
	if err != nil {
		d.h.t.Error(err)
		return
	}
	d.h.mu.Lock()
	d.listener = l
	d.h.mu.Unlock()
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
	h := d.h
	watch := &orderWatch{Conn: c, writeLock: make(chan struct{}, 1), from: from}
	h.mu.Lock()
	if d.retired {
		h.mu.Unlock()
		return
	}
	d.watches = append(d.watches, watch)
	outageKind := d.outageKind
	h.mu.Unlock()
	switch outageKind {
	case discoveryHolds:
	case discoveryResets:
		c.(interface{ Reset() }).Reset()
		return
	case discoveryFails:
		_, _ = io.WriteString(c, "HTTP/1.1 503 Not now\r\nContent-Length: 0\r\n\r\n") // fails if the connection has ended
		return
	default:
		d.answer(watch)
	}
	go func() {
		for h.sleep(2 * time.Second) {
			h.mu.Lock()
			alive, ended := watch.answered && !watch.muted, watch.ended
			h.mu.Unlock()
			if ended {
				return
			}
			if alive {
				d.writeChunk(watch, "\n")
			}
		}
	}()
	_, _ = io.Copy(io.Discard, in) // until the sidecar ends the connection
	h.mu.Lock()
	watch.ended = true
	h.mu.Unlock()
}

func (d *orderDiscovery) writeChunk(w *orderWatch, text string) bool {
	return w.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) == nil
}

// write writes text while it holds writeLock.
func (w *orderWatch) write(text string) error {
	w.writeLock <- struct{}{}
	defer func() { <-w.writeLock }()
	_, err := io.WriteString(w, text)
	return err
}

// answer answers a watch with the changes it has missed, or with a snapshot.
func (d *orderDiscovery) answer(w *orderWatch) {
	h := d.h
	w.writeLock <- struct{}{}
	h.mu.Lock()
	w.answered = true
	text, missed := "\n", []*orderChange(nil)
	latest := map[int]string{}
	for _, x := range h.changes {
		if x.index > w.from {
			missed = append(missed, x)
			latest[x.upstream] = x.entryJSON
		}
	}
	if len(missed) > 0 {
		var lines []string
		for i := range h.entries {
			if l, ok := latest[i]; ok {
				lines = append(lines, l)
			}
		}
		text = list(h.listIndex, false, lines...) + "\n"
	}
	if h.snapshots {
		var lines []string
		for i, e := range h.entries {
			if e.status != "Gone" {
				lines = append(lines, h.entryJSON(i))
			}
		}
		text = list(h.listIndex, true, lines...) + "\n"
	}
	h.mu.Unlock()
	_, err := fmt.Fprintf(w, "%s%x\r\n%s\r\n", watchResponseHead, len(text), text)
	<-w.writeLock
	if err == nil {
		d.noteAnnounced(w, missed)
	}
}

// noteAnnounced records when changes arrive at the sidecar, unless an outage delays them.
func (d *orderDiscovery) noteAnnounced(w *orderWatch, changes []*orderChange) {
	h := d.h
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(d.outages); n > 0 && d.outages[n-1].to == never {
		return
	}
	for _, x := range changes {
		at := &x.announcedAt
		if w.corrupted {
			at = &x.announcedCorruptAt
		}
		*at = cmp.Or(*at, time.Since(h.begun)+discoveryDelay)
	}
}

// entryJSON returns an upstream's entry of the list. The caller holds mu, except before the order begins.
func (h *orderHarness) entryJSON(upstream int) string {
	e, zone := h.entries[upstream], "a"
	if upstream == 1 && h.twoZones {
		zone = "b"
	}
	since := int64(0)
	if !e.since.IsZero() {
		since = e.since.UnixMilli()
	}
	return fmt.Sprintf(`{"name":"up-%d","address":%q,"zone":%q,"type":"m","group":0,"status":%q,"weight":3,"since_ms":%d}`,
		upstream+1, [2]string{upstream1Address, upstream2Address}[upstream], zone, e.status, since)
}

// changeStatus changes the status of an upstream in the list and announces the change on all open watches.
func (h *orderHarness) changeStatus(upstream int, status string) {
	h.mu.Lock()
	e := &h.entries[upstream]
	if e.status == status {
		h.mu.Unlock()
		return
	}
	e.status = status
	if status == statusReady {
		e.since = time.Now()
	}
	h.listIndex++
	now := time.Since(h.begun)
	change := &orderChange{index: h.listIndex, upstream: upstream, entryJSON: h.entryJSON(upstream), status: status, at: now}
	h.changes = append(h.changes, change)
	d := h.discovery
	var open []*orderWatch
	for _, w := range d.watches {
		if w.answered && !w.muted && !w.ended {
			open = append(open, w)
		} else if w.muted && !w.ended {
			change.silenceBound = max(change.silenceBound, now, w.mutedAt+6*time.Second)
		}
	}
	text := list(h.listIndex, false, change.entryJSON) + "\n"
	h.mu.Unlock()
	for _, w := range open {
		if d.writeChunk(w, text) {
			d.noteAnnounced(w, []*orderChange{change})
		}
	}
}

// mute makes all open watches silent.
func (d *orderDiscovery) mute() {
	d.h.mu.Lock()
	defer d.h.mu.Unlock()
	for _, w := range d.watches {
		if w.answered && !w.muted {
			w.muted, w.mutedAt = true, time.Since(d.h.begun)
		}
	}
}

// corrupt sends invalid data on all open watches, which are silent from then on if mute is set.
func (d *orderDiscovery) corrupt(text string, mute bool) {
	d.h.mu.Lock()
	var open []*orderWatch
	for _, w := range d.watches {
		if w.answered && !w.muted && !w.ended {
			open = append(open, w)
			w.corrupted = true
		}
	}
	d.h.mu.Unlock()
	if mute {
		d.mute()
	}
	for _, w := range open {
		_ = w.write(text) // fails if the watch has ended
	}
}

// endWatches ends all watches, with a reset or in an orderly way.
func (d *orderDiscovery) endWatches(reset bool) {
	h := d.h
	h.mu.Lock()
	watches := d.watches
	d.watches = nil
	h.mu.Unlock()
	for _, w := range watches {
		if r, ok := w.Conn.(interface{ Reset() }); ok && reset {
			r.Reset()
		} else if w.answered {
			_ = w.write("0\r\n\r\n") // fails if the watch has ended
		}
		_ = w.Close()
	}
}

// startOutage starts an outage of discovery of the given kind and length, unless one is in progress.
func (d *orderDiscovery) startOutage(kind actionKind, length time.Duration) {
	h := d.h
	h.mu.Lock()
	if n := len(d.outages); n > 0 && d.outages[n-1].to == never {
		h.mu.Unlock()
		return
	}
	d.outages = append(d.outages, outage{time.Since(h.begun), never})
	d.outageKind = kind
	h.mu.Unlock()
	switch kind {
	case discoveryResets, discoveryFails:
		d.endWatches(true)
	case discoveryUnreachable:
		d.host.Silence(true)
	case discoveryRefuses:
		d.host.Kill()
	}
	go func() {
		if !h.sleep(length) {
			return
		}
		h.mu.Lock()
		retired := d.retired
		d.outageKind = 0
		d.outages[len(d.outages)-1].to = time.Since(h.begun)
		waiting := []*orderWatch(nil)
		for _, w := range d.watches {
			if !w.answered && !w.ended {
				waiting = append(waiting, w)
			}
		}
		h.mu.Unlock()
		switch kind {
		case discoveryUnreachable:
			d.host.Silence(false)
		case discoveryRefuses:
			if !retired {
				d.listen()
			}
		case discoveryHolds:
			for _, w := range waiting {
				d.answer(w)
			}
		}
	}()
}

// moveDiscovery moves discovery to another address and reloads the configuration of the sidecar, as SIGHUP does.
func (h *orderHarness) moveDiscovery() {
	h.mu.Lock()
	if !h.hangupAt.IsZero() || !h.terminatedAt.IsZero() {
		h.mu.Unlock()
		return
	}
	h.hangupAt = time.Now()
	old := h.discovery
	old.retired = true
	listener := old.listener
	h.mu.Unlock()
	_ = listener.Close()
	d := newOrderDiscovery(h, "new discovery", "10.0.0.8")
	h.mu.Lock()
	h.discovery = d
	h.discoveries = append(h.discoveries, d)
	h.mu.Unlock()
	go func() {
		c := h.newConfig("10.0.0.8:7000")
		select {
		case h.reloads <- Reload{Config: c}:
		case <-h.ended:
		case <-h.ctx.Done():
		}
		if h.sleep(oldDiscoveryLinger) {
			old.host.Kill()
		}
	}()
}

// terminate stops the sidecar as SIGTERM does and kills it after killDelay.
func (h *orderHarness) terminate() {
	h.mu.Lock()
	already := !h.terminatedAt.IsZero()
	h.terminatedAt = cmp.Or(h.terminatedAt, time.Now())
	h.mu.Unlock()
	if already {
		return
	}
	h.stop()
	go func() {
		if h.sleep(cmp.Or(h.fault.killDelay, killDelay)) {
			h.mu.Lock()
			h.killedAt = time.Now()
			h.mu.Unlock()
			h.sidecar.Kill()
		}
	}()
}
