package registry

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

const (
	emptyLineEvery = 2 * time.Second
	// writePatience is how long a watcher may take no line before its watch ends. It comes back with its version, and is
	// told what changed since, or the whole list: so nothing is queued for it, and nothing skipped.
	writePatience = 5 * time.Second
	// pacePerWatcher is about what it costs to tell one watcher; changes within the time that telling all of them takes
	// are told together.
	pacePerWatcher = 8 * time.Microsecond
	paceMost       = 100 * time.Millisecond
	linesKept      = 64
)

// watches tell all watchers of changes: one goroutine wakes them, and each writes for itself.
type watches struct {
	m     *machine
	most  int
	fresh func() error // nil: the list is as fresh as it must be

	mu      sync.Mutex
	count   int
	told    int64
	changed chan struct{}    // closed when there is news
	lines   map[int64][]byte // by the version they lead on from, up to told
	begins  *time.Timer      // of the next telling, where one is due
	last    time.Time
}

func newWatches(m *machine, most int, fresh func() error) *watches {
	return &watches{m: m, most: most, fresh: fresh, changed: make(chan struct{}), lines: map[int64][]byte{}}
}

// news says that the list has changed. Watchers hear of it after a while that grows with their number.
func (w *watches) news() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.begins != nil {
		return
	}
	pace := min(time.Duration(w.count)*pacePerWatcher, paceMost)
	w.begins = time.AfterFunc(max(0, pace-time.Since(w.last)), w.tell)
}

func (w *watches) tell() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begins, w.last = nil, time.Now()
	w.m.read(func(l *list.List) { w.told = l.Version() })
	clear(w.lines)
	close(w.changed)
	w.changed = make(chan struct{})
}

// anew stands for every version after which the whole list is to be told, so that all who need it share one line.
const anew = -1

// line is what is to be said after a version, the version it leads to, and a channel that is closed on the next news.
// Nil: nothing.
func (w *watches) line(from int64) (text []byte, to int64, next <-chan struct{}, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next = w.changed
	if from == w.told {
		return nil, from, next, nil
	}
	var l api.Listing
	w.m.read(func(of *list.List) {
		if !of.Knows(from) {
			from = anew
		}
		if text = w.lines[from]; text == nil {
			l = of.Since(from)
		}
	})
	if text != nil {
		return text, w.told, next, nil
	}
	if !l.Snapshot && len(l.Endpoints) == 0 { // nothing, or only what did not outlast the moment
		return nil, max(from, l.Index), next, nil
	}
	if text, err = json.Marshal(l); err != nil {
		return nil, from, next, fmt.Errorf("wording a change: %w", err)
	}
	text = append(text, '\n')
	if l.Index == w.told && len(w.lines) < linesKept {
		w.lines[from] = text
	}
	return text, l.Index, next, nil
}

// serve is one watch, to its end. It takes the connection over from the server, since ten thousand idle ones should not
// hold the buffers of a request each.
func (w *watches) serve(rw http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if r.FormValue("from") == "" {
		from, err = -1, nil // the whole list
	}
	if err != nil {
		refuse(rw, api.Fail(api.CodeBad, "from: a whole number, not %.40q", r.FormValue("from")))
		return
	}
	if err := w.fresh(); err != nil {
		refuse(rw, err)
		return
	}
	w.mu.Lock()
	full := w.count >= w.most
	if !full {
		w.count++
	}
	w.mu.Unlock()
	if full {
		rw.Header().Set("Retry-After", "1")
		refuse(rw, api.Fail(api.CodeFull, "%d watches", w.most))
		return
	}
	defer func() {
		w.mu.Lock()
		w.count--
		w.mu.Unlock()
	}()
	conn, buffers, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		refuse(rw, fmt.Errorf("watch: %w", err))
		return
	}
	defer conn.Close()
	if buffers.Reader.Buffered() > 0 { // a second request, behind one that never ends
		return
	}
	_ = conn.SetDeadline(time.Time{})
	w.follow(conn, from, r.Context().Done())
}

const watchHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\nTrailer: " +
	watchEnd + "\r\nConnection: close\r\n\r\n"

// watchEnd is the trailer that says why a watch was ended.
const watchEnd = "X-Registry-End"

var errWatchOver = errors.New("this replica stops")

// follow tells of changes until the watcher is gone, or this replica's list is too old to be told.
func (w *watches) follow(conn net.Conn, from int64, over <-chan struct{}) {
	out := chunks{conn}
	if !out.write([]byte(watchHead), false) {
		return
	}
	idle := time.NewTimer(emptyLineEvery)
	defer idle.Stop()
	for first := true; ; first = false {
		if err := w.fresh(); err != nil {
			out.end(err)
			return
		}
		text, to, next, err := w.line(from)
		if err != nil {
			out.end(err)
			return
		}
		from = to
		switch {
		case text != nil:
			if !out.write(text, true) {
				return
			}
			idle.Reset(emptyLineEvery)
		case first:
			if !out.write([]byte("\n"), true) { // the watch stands
				return
			}
		}
		select {
		case <-next:
		case <-idle.C:
			if !out.write([]byte("\n"), true) {
				return
			}
			idle.Reset(emptyLineEvery)
		case <-over:
			out.end(errWatchOver)
			return
		}
	}
}

// chunks writes the chunks of an answer.
type chunks struct{ conn net.Conn }

func (c chunks) write(text []byte, framed bool) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writePatience))
	if !framed {
		_, err := c.conn.Write(text)
		return err == nil
	}
	parts := net.Buffers{fmt.Appendf(nil, "%x\r\n", len(text)), text, []byte("\r\n")}
	_, err := parts.WriteTo(c.conn)
	return err == nil
}

// end says why, in the trailer, and ends the answer.
func (c chunks) end(why error) {
	w := bufio.NewWriter(c.conn)
	_ = c.conn.SetWriteDeadline(time.Now().Add(writePatience))
	fmt.Fprintf(w, "0\r\n%s: %.200q\r\n\r\n", watchEnd, why.Error())
	_ = w.Flush()
}

func (w *watches) watching() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}
