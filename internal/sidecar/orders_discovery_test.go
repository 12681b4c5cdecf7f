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
	index       int
	name        int // of which upstream
	line        string
	status      string
	at          time.Duration
	bound       time.Duration // when it counts as told because a watch fell silent; 0: none had
	announcedAt time.Duration // when it was first written to a watch, and there; 0: never
	behind      time.Duration // the same, to one that had brought what is unusable
}

type orderDiscovery struct {
	w    *world
	name string
	host *memnet.Host
	// The fields below are under the world's lock.
	door    net.Listener
	watches []*orderWatch
	frozen  bool // it is discovery no more
	how     kind // of the outage
	outages []outage
}

// outage is a time in which discovery could not be reached.
type outage struct{ from, to time.Duration }

const never = 1 << 62

// orderWatch is one watch of the list. Whoever writes on it holds turn, so that a change never overtakes the first list: a
// channel, as a goroutine of the bubble that waits for a mutex stops its clock.
type orderWatch struct {
	net.Conn
	turn    chan struct{}
	from    int
	opened  bool // its head was answered
	spoilt  bool // it has brought what is unusable
	muted   bool
	mutedAt time.Duration
	dead    bool
}

func newOrderDiscovery(w *world, name, ip string) *orderDiscovery {
	d := &orderDiscovery{w: w, name: name, host: w.net.Host(name, ip, discoveryWay)}
	d.listen()
	return d
}

func (d *orderDiscovery) listen() {
	l, err := d.host.Listen(7000)
	if err != nil {
		d.w.t.Error(err)
		return
	}
	d.w.mu.Lock()
	d.door = l
	d.w.mu.Unlock()
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
	w := d.w
	watch := &orderWatch{Conn: c, turn: make(chan struct{}, 1), from: from}
	w.mu.Lock()
	if d.frozen {
		w.mu.Unlock()
		return
	}
	d.watches = append(d.watches, watch)
	how := d.how
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
		d.open(watch)
	}
	go func() {
		for w.passes(2 * time.Second) {
			w.mu.Lock()
			speaks, over := watch.opened && !watch.muted, watch.dead
			w.mu.Unlock()
			if over {
				return
			}
			if speaks {
				d.chunk(watch, "\n")
			}
		}
	}()
	_, _ = io.Copy(io.Discard, in) // until it ends
	w.mu.Lock()
	watch.dead = true
	w.mu.Unlock()
}

func (d *orderDiscovery) chunk(c *orderWatch, text string) bool {
	return c.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) == nil
}

// write writes on a watch when it is its turn.
func (c *orderWatch) write(text string) error {
	c.turn <- struct{}{}
	defer func() { <-c.turn }()
	_, err := io.WriteString(c, text)
	return err
}

// open answers a watch, with what it has missed.
func (d *orderDiscovery) open(c *orderWatch) {
	w := d.w
	c.turn <- struct{}{}
	w.mu.Lock()
	c.opened = true
	text, missed := "\n", []*orderChange(nil)
	latest := map[int]string{}
	for _, x := range w.changes {
		if x.index > c.from {
			missed = append(missed, x)
			latest[x.name] = x.line
		}
	}
	if len(missed) > 0 {
		var lines []string
		for i := range w.entries {
			if l, ok := latest[i]; ok {
				lines = append(lines, l)
			}
		}
		text = list(w.index, false, lines...) + "\n"
	}
	if w.complete {
		var lines []string
		for i, e := range w.entries {
			if e.status != "Gone" {
				lines = append(lines, w.line(i))
			}
		}
		text = list(w.index, true, lines...) + "\n"
	}
	w.mu.Unlock()
	_, err := fmt.Fprintf(c, "%s%x\r\n%s\r\n", watchResponseHead, len(text), text)
	<-c.turn
	if err == nil {
		d.announce(c, missed)
	}
}

// announce notes that changes are on their way, where they are.
func (d *orderDiscovery) announce(c *orderWatch, all []*orderChange) {
	w := d.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(d.outages); n > 0 && d.outages[n-1].to == never {
		return
	}
	for _, x := range all {
		to := &x.announcedAt
		if c.spoilt {
			to = &x.behind
		}
		*to = cmp.Or(*to, time.Since(w.begun)+discoveryWay)
	}
}

// line is an upstream's entry of the list; without the lock held only before the order begins.
func (w *world) line(i int) string {
	e, zone := w.entries[i], "a"
	if i == 1 && w.scope {
		zone = "b"
	}
	since := int64(0)
	if !e.since.IsZero() {
		since = e.since.UnixMilli()
	}
	return fmt.Sprintf(`{"name":"up-%d","address":%q,"zone":%q,"type":"m","group":0,"status":%q,"weight":3,"since_ms":%d}`,
		i+1, [2]string{upstream1Address, upstream2Address}[i], zone, e.status, since)
}

// change has discovery know of something new.
func (w *world) change(i int, status string) {
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
	w.index++
	now := time.Since(w.begun)
	x := &orderChange{index: w.index, name: i, line: w.line(i), status: status, at: now}
	w.changes = append(w.changes, x)
	d := w.disc
	var to []*orderWatch
	for _, c := range d.watches {
		if c.opened && !c.muted && !c.dead {
			to = append(to, c)
		} else if c.muted && !c.dead {
			x.bound = max(x.bound, now, c.mutedAt+6*time.Second)
		}
	}
	text := list(w.index, false, x.line) + "\n"
	w.mu.Unlock()
	for _, c := range to {
		if d.chunk(c, text) {
			d.announce(c, []*orderChange{x})
		}
	}
}

// mute has all open watches fall silent.
func (d *orderDiscovery) mute() {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	for _, c := range d.watches {
		if c.opened && !c.muted {
			c.muted, c.mutedAt = true, time.Since(d.w.begun)
		}
	}
}

// spoil sends on all open watches what is unusable; some say nothing more.
func (d *orderDiscovery) spoil(text string, mute bool) {
	d.w.mu.Lock()
	var all []*orderWatch
	for _, c := range d.watches {
		if c.opened && !c.muted && !c.dead {
			all = append(all, c)
			c.spoilt = true
		}
	}
	d.w.mu.Unlock()
	if mute {
		d.mute()
	}
	for _, c := range all {
		_ = c.write(text) // where it fails it has ended
	}
}

// end ends all watches: with a reset, or in order.
func (d *orderDiscovery) end(reset bool) {
	w := d.w
	w.mu.Lock()
	all := d.watches
	d.watches = nil
	w.mu.Unlock()
	for _, c := range all {
		if r, ok := c.Conn.(interface{ Reset() }); ok && reset {
			r.Reset()
		} else if c.opened {
			_ = c.write("0\r\n\r\n") // where it fails it has ended
		}
		_ = c.Close()
	}
}

// down has discovery be out of reach for that long, in one of three ways.
func (d *orderDiscovery) down(how kind, back time.Duration) {
	w := d.w
	w.mu.Lock()
	if n := len(d.outages); n > 0 && d.outages[n-1].to == never {
		w.mu.Unlock()
		return
	}
	d.outages = append(d.outages, outage{time.Since(w.begun), never})
	d.how = how
	w.mu.Unlock()
	switch how {
	case discoveryResets, discoveryFails:
		d.end(true)
	case discoveryVanishes:
		d.host.Silence(true)
	case discoveryRefuses:
		d.host.Kill()
	}
	go func() {
		if !w.passes(back) {
			return
		}
		w.mu.Lock()
		frozen := d.frozen
		d.how = 0
		d.outages[len(d.outages)-1].to = time.Since(w.begun)
		waiting := []*orderWatch(nil)
		for _, c := range d.watches {
			if !c.opened && !c.dead {
				waiting = append(waiting, c)
			}
		}
		w.mu.Unlock()
		switch how {
		case discoveryVanishes:
			d.host.Silence(false)
		case discoveryRefuses:
			if !frozen {
				d.listen()
			}
		case discoveryHolds:
			for _, c := range waiting {
				d.open(c)
			}
		}
	}()
}

// move has discovery be at another address, which the sidecar is told by SIGHUP.
func (w *world) move() {
	w.mu.Lock()
	if !w.moved.IsZero() || !w.termed.IsZero() {
		w.mu.Unlock()
		return
	}
	w.moved = time.Now()
	old := w.disc
	old.frozen = true
	door := old.door
	w.mu.Unlock()
	_ = door.Close()
	d := newOrderDiscovery(w, "new discovery", "10.0.0.8")
	w.mu.Lock()
	w.disc = d
	w.discoveries = append(w.discoveries, d)
	w.mu.Unlock()
	go func() {
		c := w.config("10.0.0.8:7000")
		select {
		case w.reloads <- Reload{Config: c}:
		case <-w.ended:
		case <-w.ctx.Done():
		}
		if w.passes(oldStays) {
			old.host.Kill()
		}
	}()
}

// terminate sends SIGTERM, and SIGKILL when it is time.
func (w *world) terminate() {
	w.mu.Lock()
	was := !w.termed.IsZero()
	w.termed = cmp.Or(w.termed, time.Now())
	w.mu.Unlock()
	if was {
		return
	}
	w.stop()
	go func() {
		if w.passes(cmp.Or(w.plant.killsAfter, killWait)) {
			w.mu.Lock()
			w.killed = time.Now()
			w.mu.Unlock()
			w.sidecar.Kill()
		}
	}()
}
