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

type orderEntry struct {
	status string
	since  time.Time // zero: long ago
}

// orderChange is one change of the list.
type orderChange struct {
	index              int
	upstream           int // of which upstream
	entryJSON          string
	status             string
	at                 time.Duration
	silenceBound       time.Duration // when it counts as told because a watch fell silent; 0: none had
	announcedAt        time.Duration // when it was first written to a watch, and there; 0: never
	announcedCorruptAt time.Duration // the same, to one that had brought what is unusable
}

type orderDiscovery struct {
	h    *orderHarness
	name string
	host *memnet.Host
	// The fields below are under the world's lock.
	listener   net.Listener
	watches    []*orderWatch
	retired    bool       // it is discovery no more
	outageKind actionKind // of the outage
	outages    []outage
}

// outage is a time in which discovery could not be reached.
type outage struct{ from, to time.Duration }

const never = 1 << 62

// orderWatch is one watch of the list. Whoever writes on it holds turn, so that a change never overtakes the first list: a
// channel, as a goroutine of the bubble that waits for a mutex stops its clock.
type orderWatch struct {
	net.Conn
	writeLock chan struct{}
	from      int
	answered  bool // its head was answered
	corrupted bool // it has brought what is unusable
	muted     bool
	mutedAt   time.Duration
	ended     bool
}

func newOrderDiscovery(w *orderHarness, name, ip string) *orderDiscovery {
	d := &orderDiscovery{h: w, name: name, host: w.net.Host(name, ip, discoveryDelay)}
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
	w := d.h
	watch := &orderWatch{Conn: c, writeLock: make(chan struct{}, 1), from: from}
	w.mu.Lock()
	if d.retired {
		w.mu.Unlock()
		return
	}
	d.watches = append(d.watches, watch)
	how := d.outageKind
	w.mu.Unlock()
	switch how {
	case discoveryHolds:
	case discoveryResets:
		c.(interface{ Reset() }).Reset()
		return
	case discoveryFails:
		_, _ = io.WriteString(c, "HTTP/1.1 503 Not now\r\nContent-Length: 0\r\n\r\n") // where it fails it has ended
		return
	default:
		d.answer(watch)
	}
	go func() {
		for w.sleep(2 * time.Second) {
			w.mu.Lock()
			speaks, over := watch.answered && !watch.muted, watch.ended
			w.mu.Unlock()
			if over {
				return
			}
			if speaks {
				d.writeChunk(watch, "\n")
			}
		}
	}()
	_, _ = io.Copy(io.Discard, in) // until it ends
	w.mu.Lock()
	watch.ended = true
	w.mu.Unlock()
}

func (d *orderDiscovery) writeChunk(c *orderWatch, text string) bool {
	return c.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) == nil
}

// write writes on a watch when it is its turn.
func (c *orderWatch) write(text string) error {
	c.writeLock <- struct{}{}
	defer func() { <-c.writeLock }()
	_, err := io.WriteString(c, text)
	return err
}

// answer answers a watch, with what it has missed.
func (d *orderDiscovery) answer(c *orderWatch) {
	w := d.h
	c.writeLock <- struct{}{}
	w.mu.Lock()
	c.answered = true
	text, missed := "\n", []*orderChange(nil)
	latest := map[int]string{}
	for _, x := range w.changes {
		if x.index > c.from {
			missed = append(missed, x)
			latest[x.upstream] = x.entryJSON
		}
	}
	if len(missed) > 0 {
		var lines []string
		for i := range w.entries {
			if l, ok := latest[i]; ok {
				lines = append(lines, l)
			}
		}
		text = list(w.listIndex, false, lines...) + "\n"
	}
	if w.snapshots {
		var lines []string
		for i, e := range w.entries {
			if e.status != "Gone" {
				lines = append(lines, w.entryJSON(i))
			}
		}
		text = list(w.listIndex, true, lines...) + "\n"
	}
	w.mu.Unlock()
	_, err := fmt.Fprintf(c, "%s%x\r\n%s\r\n", opens, len(text), text)
	<-c.writeLock
	if err == nil {
		d.noteAnnounced(c, missed)
	}
}

// noteAnnounced notes that changes are on their way, where they are.
func (d *orderDiscovery) noteAnnounced(c *orderWatch, all []*orderChange) {
	w := d.h
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(d.outages); n > 0 && d.outages[n-1].to == never {
		return
	}
	for _, x := range all {
		to := &x.announcedAt
		if c.corrupted {
			to = &x.announcedCorruptAt
		}
		*to = cmp.Or(*to, time.Since(w.begun)+discoveryDelay)
	}
}

// entryJSON is an upstream's entry of the list; without the lock held only before the order begins.
func (w *orderHarness) entryJSON(i int) string {
	e, zone := w.entries[i], "a"
	if i == 1 && w.twoZones {
		zone = "b"
	}
	since := int64(0)
	if !e.since.IsZero() {
		since = e.since.UnixMilli()
	}
	return fmt.Sprintf(`{"name":"up-%d","address":%q,"zone":%q,"type":"m","group":0,"status":%q,"weight":3,"since_ms":%d}`,
		i+1, [2]string{up1, up2}[i], zone, e.status, since)
}

// changeStatus has discovery know of something new.
func (w *orderHarness) changeStatus(i int, status string) {
	w.mu.Lock()
	e := &w.entries[i]
	if e.status == status {
		w.mu.Unlock()
		return
	}
	e.status = status
	if status == statusReady {
		e.since = time.Now()
	}
	w.listIndex++
	now := time.Since(w.begun)
	x := &orderChange{index: w.listIndex, upstream: i, entryJSON: w.entryJSON(i), status: status, at: now}
	w.changes = append(w.changes, x)
	d := w.discovery
	var to []*orderWatch
	for _, c := range d.watches {
		if c.answered && !c.muted && !c.ended {
			to = append(to, c)
		} else if c.muted && !c.ended {
			x.silenceBound = max(x.silenceBound, now, c.mutedAt+6*time.Second)
		}
	}
	text := list(w.listIndex, false, x.entryJSON) + "\n"
	w.mu.Unlock()
	for _, c := range to {
		if d.writeChunk(c, text) {
			d.noteAnnounced(c, []*orderChange{x})
		}
	}
}

// mute has all open watches fall silent.
func (d *orderDiscovery) mute() {
	d.h.mu.Lock()
	defer d.h.mu.Unlock()
	for _, c := range d.watches {
		if c.answered && !c.muted {
			c.muted, c.mutedAt = true, time.Since(d.h.begun)
		}
	}
}

// corrupt sends on all open watches what is unusable; some say nothing more.
func (d *orderDiscovery) corrupt(text string, mute bool) {
	d.h.mu.Lock()
	var all []*orderWatch
	for _, c := range d.watches {
		if c.answered && !c.muted && !c.ended {
			all = append(all, c)
			c.corrupted = true
		}
	}
	d.h.mu.Unlock()
	if mute {
		d.mute()
	}
	for _, c := range all {
		_ = c.write(text) // where it fails it has ended
	}
}

// endWatches ends all watches: with a reset, or in order.
func (d *orderDiscovery) endWatches(reset bool) {
	w := d.h
	w.mu.Lock()
	all := d.watches
	d.watches = nil
	w.mu.Unlock()
	for _, c := range all {
		if r, ok := c.Conn.(interface{ Reset() }); ok && reset {
			r.Reset()
		} else if c.answered {
			_ = c.write("0\r\n\r\n") // where it fails it has ended
		}
		_ = c.Close()
	}
}

// startOutage has discovery be out of reach for that long, in one of three ways.
func (d *orderDiscovery) startOutage(how actionKind, back time.Duration) {
	w := d.h
	w.mu.Lock()
	if n := len(d.outages); n > 0 && d.outages[n-1].to == never {
		w.mu.Unlock()
		return
	}
	d.outages = append(d.outages, outage{time.Since(w.begun), never})
	d.outageKind = how
	w.mu.Unlock()
	switch how {
	case discoveryResets, discoveryFails:
		d.endWatches(true)
	case discoveryUnreachable:
		d.host.Silence(true)
	case discoveryRefuses:
		d.host.Kill()
	}
	go func() {
		if !w.sleep(back) {
			return
		}
		w.mu.Lock()
		frozen := d.retired
		d.outageKind = 0
		d.outages[len(d.outages)-1].to = time.Since(w.begun)
		waiting := []*orderWatch(nil)
		for _, c := range d.watches {
			if !c.answered && !c.ended {
				waiting = append(waiting, c)
			}
		}
		w.mu.Unlock()
		switch how {
		case discoveryUnreachable:
			d.host.Silence(false)
		case discoveryRefuses:
			if !frozen {
				d.listen()
			}
		case discoveryHolds:
			for _, c := range waiting {
				d.answer(c)
			}
		}
	}()
}

// moveDiscovery has discovery be at another address, which the sidecar is told by SIGHUP.
func (w *orderHarness) moveDiscovery() {
	w.mu.Lock()
	if !w.hangupAt.IsZero() || !w.terminatedAt.IsZero() {
		w.mu.Unlock()
		return
	}
	w.hangupAt = time.Now()
	old := w.discovery
	old.retired = true
	door := old.listener
	w.mu.Unlock()
	_ = door.Close()
	d := newOrderDiscovery(w, "new discovery", "10.0.0.8")
	w.mu.Lock()
	w.discovery = d
	w.discoveries = append(w.discoveries, d)
	w.mu.Unlock()
	go func() {
		c := w.newConfig("10.0.0.8:7000")
		select {
		case w.reloads <- Reload{Config: c}:
		case <-w.ended:
		case <-w.ctx.Done():
		}
		if w.sleep(oldDiscoveryLinger) {
			old.host.Kill()
		}
	}()
}

// terminate sends SIGTERM, and SIGKILL when it is time.
func (w *orderHarness) terminate() {
	w.mu.Lock()
	was := !w.terminatedAt.IsZero()
	w.terminatedAt = cmp.Or(w.terminatedAt, time.Now())
	w.mu.Unlock()
	if was {
		return
	}
	w.stop()
	go func() {
		if w.sleep(cmp.Or(w.fault.killDelay, killDelay)) {
			w.mu.Lock()
			w.killedAt = time.Now()
			w.mu.Unlock()
			w.sidecar.Kill()
		}
	}()
}
