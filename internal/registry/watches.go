package registry

import (
	"bufio"
	"context"
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
	keepaliveInterval = 2 * time.Second
	// writeTimeout is how long a watcher may read nothing before its watch is ended. It returns with its revision and is sent
	// the changes since, or the full list, so that nothing is queued for it and nothing skipped.
	writeTimeout = 5 * time.Second
	// pacePerWatcher is about the processor time to notify one watcher; changes within the time that notifying all of them
	// takes are sent together.
	pacePerWatcher = 8 * time.Microsecond
	maxPace        = 100 * time.Millisecond
	maxCachedLines = 64
	// catchUpTimeout is how long a watcher with a revision that this replica lacks waits for it. A replica in contact with its
	// leader lacks it for milliseconds; after the time-out a watcher with the revision of another service, or of lost data,
	// is sent the full list. It is below the client's callTimeout, within which a watch has to be established.
	catchUpTimeout = time.Second
)

// watches notifies all watchers of changes: one goroutine wakes them, and each writes for itself. Safe for concurrent use.
type watches struct {
	fsm            *stateMachine
	limit          int
	region         string       // as sent to watchers that request own entries only
	checkFreshness func() error // returns an error if the list is too old to be served

	mu                sync.Mutex
	active            int
	publishedRevision int64                   // revision up to which watchers are notified
	changed           chan struct{}           // closed when there is a change
	lines             map[lineKey]encodedLine // up to published
	publishTimer      *time.Timer             // of the next publication, if one is due
	publishedAt       time.Time
}

// lineKey names a line that several watchers may be sent.
type lineKey struct {
	from    int64  // the revision before the line
	own     bool   // only what this region writes
	service string // with the settings of this service; empty: without any
}

// encodedLine is an encoded line, with the identifier of the settings in it.
type encodedLine struct {
	text     []byte
	settings string
}

// watchState is what a watcher requests, and what it has been sent.
type watchState struct {
	revision int64
	own      bool
	service  string // whose settings are requested; empty: none
	settings string // which settings it has, as REGION@VERSION; empty: none
}

func newWatches(m *stateMachine, limit int, region string, fresh func() error) *watches {
	return &watches{fsm: m, limit: limit, region: region, checkFreshness: fresh, changed: make(chan struct{}), lines: map[lineKey]encodedLine{}}
}

// notify records that the list has changed. Watchers are notified after a delay that grows with their number.
func (w *watches) notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.publishTimer != nil {
		return
	}
	pace := min(time.Duration(w.active)*pacePerWatcher, maxPace)
	w.publishTimer = time.AfterFunc(max(0, pace-time.Since(w.publishedAt)), w.publish)
}

func (w *watches) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.publishTimer, w.publishedAt = nil, time.Now()
	w.fsm.read(func(l *list.List) { w.publishedRevision = l.Revision() })
	clear(w.lines)
	close(w.changed)
	w.changed = make(chan struct{})
}

// fullList is the revision of every watcher that needs the full list, so that they share one line.
const fullList = -1

// nextLine returns what is to be sent to a watcher, nil for nothing, the state of the watcher after that, and a channel that is
// closed on the next change. first tells that the watcher has been sent nothing yet.
func (w *watches) nextLine(has watchState, first bool) (text []byte, then watchState, next <-chan struct{}, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next = w.changed
	if has.revision == w.publishedRevision && (!first || has.service == "") {
		return nil, has, next, nil
	}
	var l api.WatchEvent
	of := lineKey{from: has.revision, own: has.own}
	then = has
	w.fsm.read(func(x *list.List) {
		if !x.Remembers(of.from) {
			of.from = fullList
		}
		var settings api.Document
		sent := has.settings
		if has.service != "" {
			if d, found := x.Document(has.service); found {
				if sent = fmt.Sprintf("%s@%d", d.Region, d.Revision); sent != has.settings {
					of.service, settings = has.service, d
				}
			}
		}
		if known := w.lines[of]; known.text != nil { // the list may already be newer
			if text = known.text; of.service != "" {
				then.settings = known.settings
			}
			return
		}
		then.settings = sent
		if of.own {
			l = x.OwnChangesSince(of.from)
			l.Region = w.region
		} else {
			l = x.ChangesSince(of.from)
		}
		if of.service != "" {
			l.Documents = []api.Document{settings}
		}
	})
	if text != nil {
		then.revision = w.publishedRevision
		return text, then, next, nil
	}
	then.revision = l.Revision
	if !l.Snapshot && len(l.Endpoints) == 0 && len(l.Documents) == 0 { // nothing, or only changes that have been reverted
		then.revision = max(has.revision, l.Revision)
		return nil, then, next, nil
	}
	if text, err = json.Marshal(l); err != nil {
		return nil, has, next, fmt.Errorf("wording a change: %w", err)
	}
	text = append(text, '\n')
	if l.Revision == w.publishedRevision && len(w.lines) < maxCachedLines {
		w.lines[of] = encodedLine{text, then.settings}
	}
	return text, then, next, nil
}

// serve serves one watch until it ends. It hijacks the connection, so that ten thousand idle watches don't hold the buffers of
// a request each.
func (w *watches) serve(rw http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if r.FormValue("from") == "" {
		from, err = -1, nil // the full list
	}
	if err != nil {
		writeError(rw, api.Errorf(api.CodeBadRequest, "from: a whole number, not %.40q", r.FormValue("from")))
		return
	}
	has := watchState{revision: from, own: r.FormValue("own") != "", service: r.FormValue("service"), settings: r.FormValue("held")}
	if len(has.service) > api.MaxName || has.own && has.service != "" {
		writeError(rw, api.Errorf(api.CodeBadRequest, "service: at most %d bytes, and not with own", api.MaxName))
		return
	}
	if !has.own { // another region handles an older revision itself
		w.catchUp(r.Context(), from)
	}
	if err := w.checkFreshness(); err != nil {
		writeError(rw, err)
		return
	}
	w.mu.Lock()
	full := w.active >= w.limit
	if !full {
		w.active++
	}
	w.mu.Unlock()
	if full {
		rw.Header().Set("Retry-After", "1")
		writeError(rw, api.Errorf(api.CodeFull, "%d watches", w.limit))
		return
	}
	defer func() {
		w.mu.Lock()
		w.active--
		w.mu.Unlock()
	}()
	conn, buffers, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		writeError(rw, fmt.Errorf("watch: %w", err))
		return
	}
	defer func() { _ = conn.Close() }()
	if buffers.Reader.Buffered() > 0 { // a second request, behind one without an end
		return
	}
	_ = conn.SetDeadline(time.Time{})
	w.sendChanges(conn, has, r.Context().Done())
}

// catchUp blocks until a revision is published here, or for catchUpTimeout. Without it, a watcher that comes from a replica
// that is slightly ahead would be sent an older full list, and go back.
func (w *watches) catchUp(ctx context.Context, from int64) {
	late := time.NewTimer(catchUpTimeout)
	defer late.Stop()
	for {
		w.mu.Lock()
		published, next := w.publishedRevision, w.changed
		w.mu.Unlock()
		if from <= published {
			return
		}
		select {
		case <-next:
		case <-late.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

const watchResponseHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\nTrailer: " +
	endTrailer + "\r\nConnection: close\r\n\r\n"

// endTrailer is the trailer with the reason for which a watch was ended.
const endTrailer = "X-Registry-End"

var errStopping = errors.New("this replica stops")

// sendChanges sends changes until the watcher disconnects, or the list here is too old to be served.
func (w *watches) sendChanges(conn net.Conn, has watchState, over <-chan struct{}) {
	out := chunkWriter{conn}
	if !out.write([]byte(watchResponseHead), false) {
		return
	}
	idle := time.NewTimer(keepaliveInterval)
	defer idle.Stop()
	for first := true; ; first = false {
		if err := w.checkFreshness(); err != nil {
			out.end(err)
			return
		}
		text, then, next, err := w.nextLine(has, first)
		if err != nil {
			out.end(err)
			return
		}
		has = then
		switch {
		case text != nil:
			if !out.write(text, true) {
				return
			}
			idle.Reset(keepaliveInterval)
		case first:
			if !out.write([]byte("\n"), true) { // shows that the watch is established
				return
			}
		}
		select {
		case <-next:
		case <-idle.C:
			if !out.write([]byte("\n"), true) {
				return
			}
			idle.Reset(keepaliveInterval)
		case <-over:
			out.end(errStopping)
			return
		}
	}
}

// chunkWriter writes a response in chunked encoding.
type chunkWriter struct{ conn net.Conn }

func (c chunkWriter) write(text []byte, framed bool) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if !framed {
		_, err := c.conn.Write(text)
		return err == nil
	}
	parts := net.Buffers{fmt.Appendf(nil, "%x\r\n", len(text)), text, []byte("\r\n")}
	_, err := parts.WriteTo(c.conn)
	return err == nil
}

// end ends the response, with the reason in the trailer.
func (c chunkWriter) end(why error) {
	w := bufio.NewWriter(c.conn)
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = fmt.Fprintf(w, "0\r\n%s: %.200q\r\n\r\n", endTrailer, why.Error())
	_ = w.Flush()
}

func (w *watches) activeCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active
}
