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
	// writeTimeout is how long a watcher may read nothing before its watch is ended. The watcher reconnects with its revision and is sent
	// the changes since then, or the full list, so that nothing needs to be queued for it and nothing is skipped.
	writeTimeout = 5 * time.Second
	// pacePerWatcher is the approximate processor time to notify one watcher. Changes within the time that it takes to
	// notify all watchers are sent together.
	pacePerWatcher = 8 * time.Microsecond
	maxPace        = 100 * time.Millisecond
	maxCachedLines = 64
	// catchUpTimeout is how long a watcher waits if it has a revision that this replica has not reached. A replica in contact
	// with its leader reaches it within milliseconds. After the time-out the revision is assumed to be of another service or of
	// lost data, and the watcher is sent the full list. The time-out is below the client's callTimeout, within which a watch has
	// to be established.
	catchUpTimeout = time.Second
)

// watches notifies all watchers of changes: publish wakes them, and the goroutine of each watch writes to its connection. Safe
// for concurrent use.
type watches struct {
	fsm            *stateMachine
	limit          int          // maximum number of open watches
	region         string       // this region, as sent to watchers that request own entries only
	checkFreshness func() error // returns an error if the list is too old to be served

	mu                sync.Mutex
	active            int                     // number of open watches
	publishedRevision int64                   // revision up to which watchers are notified
	changed           chan struct{}           // closed and replaced at each publication
	lines             map[lineKey]encodedLine // lines that are sent to several watchers, up to publishedRevision
	publishTimer      *time.Timer             // fires at the next publication; nil if none is scheduled
	publishedAt       time.Time
}

// lineKey identifies a line that may be sent to several watchers.
type lineKey struct {
	from    int64  // revision that the watchers have before they receive the line, or fullList
	own     bool   // only entries and documents that this region owns
	service string // the service whose settings the line contains; empty if it contains none
}

// encodedLine is an encoded line, with the identifier (REGION@VERSION) of the settings in it.
type encodedLine struct {
	text     []byte
	settings string
}

// watchState holds what a watcher requests, and what it has been sent.
type watchState struct {
	revision int64
	own      bool
	service  string // whose settings are requested; empty if none are
	settings string // identifies the settings that it has, as REGION@VERSION; empty if it has none
}

func newWatches(fsm *stateMachine, limit int, region string, checkFreshness func() error) *watches {
	return &watches{fsm: fsm, limit: limit, region: region, checkFreshness: checkFreshness, changed: make(chan struct{}), lines: map[lineKey]encodedLine{}}
}

// notify schedules a publication after the list has changed. The delay grows with the number of watchers.
func (w *watches) notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.publishTimer != nil {
		return
	}
	pace := min(time.Duration(w.active)*pacePerWatcher, maxPace)
	w.publishTimer = time.AfterFunc(max(0, pace-time.Since(w.publishedAt)), w.publish)
}

// publish wakes the goroutines of all watches, which then send the changes up to the current revision.
func (w *watches) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.publishTimer, w.publishedAt = nil, time.Now()
	w.fsm.read(func(l *list.List) { w.publishedRevision = l.Revision() })
	clear(w.lines)
	close(w.changed)
	w.changed = make(chan struct{})
}

// fullList takes the place of the revision of every watcher that needs the full list, so that they share one line.
const fullList = -1

// nextLine returns the line to send to a watcher (nil if there is none), the state of the watcher after that, and a channel that
// is closed at the next publication. first means that the watcher has been sent nothing yet.
func (w *watches) nextLine(state watchState, first bool) (text []byte, newState watchState, changed <-chan struct{}, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed = w.changed
	if state.revision == w.publishedRevision && (!first || state.service == "") {
		return nil, state, changed, nil
	}
	var event api.WatchEvent
	key := lineKey{from: state.revision, own: state.own}
	newState = state
	w.fsm.read(func(l *list.List) {
		if !l.Remembers(key.from) {
			key.from = fullList
		}
		var settings api.Document
		settingsID := state.settings
		if state.service != "" {
			if d, found := l.Document(state.service); found {
				if settingsID = fmt.Sprintf("%s@%d", d.Region, d.Revision); settingsID != state.settings {
					key.service, settings = state.service, d
				}
			}
		}
		if cached := w.lines[key]; cached.text != nil { // the line ends at publishedRevision; the list may already be newer
			if text = cached.text; key.service != "" {
				newState.settings = cached.settings
			}
			return
		}
		newState.settings = settingsID
		if key.own {
			event = l.OwnChangesSince(key.from)
			event.Region = w.region
		} else {
			event = l.ChangesSince(key.from)
		}
		if key.service != "" {
			event.Documents = []api.Document{settings}
		}
	})
	if text != nil {
		newState.revision = w.publishedRevision
		return text, newState, changed, nil
	}
	newState.revision = event.Revision
	if !event.Snapshot && len(event.Endpoints) == 0 && len(event.Documents) == 0 { // there is no change, or changes have been reverted
		newState.revision = max(state.revision, event.Revision)
		return nil, newState, changed, nil
	}
	if text, err = json.Marshal(event); err != nil {
		return nil, state, changed, fmt.Errorf("wording a change: %w", err)
	}
	text = append(text, '\n')
	if event.Revision == w.publishedRevision && len(w.lines) < maxCachedLines {
		w.lines[key] = encodedLine{text, newState.settings}
	}
	return text, newState, changed, nil
}

// serve serves one watch until it ends. It hijacks the connection, so that the buffers of a request are not kept for each of ten
// thousand idle watches.
func (w *watches) serve(rw http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if r.FormValue("from") == "" {
		from, err = -1, nil // the full list
	}
	if err != nil {
		writeError(rw, api.Errorf(api.CodeBadRequest, "from: a whole number, not %.40q", r.FormValue("from")))
		return
	}
	state := watchState{revision: from, own: r.FormValue("own") != "", service: r.FormValue("service"), settings: r.FormValue("held")}
	if len(state.service) > api.MaxName || state.own && state.service != "" {
		writeError(rw, api.Errorf(api.CodeBadRequest, "service: at most %d bytes, and not with own", api.MaxName))
		return
	}
	if !state.own { // if own is set, the watcher is another region, which detects an older revision itself
		w.catchUp(r.Context(), from)
	}
	if err := w.checkFreshness(); err != nil {
		writeError(rw, err)
		return
	}
	w.mu.Lock()
	atLimit := w.active >= w.limit
	if !atLimit {
		w.active++
	}
	w.mu.Unlock()
	if atLimit {
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
	if buffers.Reader.Buffered() > 0 { // a pipelined second request could never be answered, since a watch has no end
		return
	}
	_ = conn.SetDeadline(time.Time{})
	w.sendChanges(conn, state, r.Context().Done())
}

// catchUp blocks until a revision is published here, at most for catchUpTimeout. Without this wait, a watcher that comes from a
// replica slightly ahead would be sent an older full list, and its list would go back.
func (w *watches) catchUp(ctx context.Context, from int64) {
	timeout := time.NewTimer(catchUpTimeout)
	defer timeout.Stop()
	for {
		w.mu.Lock()
		publishedRevision, changed := w.publishedRevision, w.changed
		w.mu.Unlock()
		if from <= publishedRevision {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

const watchResponseHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\nTrailer: " +
	endTrailer + "\r\nConnection: close\r\n\r\n"

// endTrailer is the trailer with the reason why a watch was ended.
const endTrailer = "X-Registry-End"

var errStopping = errors.New("this replica stops")

// sendChanges sends changes until the watcher disconnects, the list here is too old to be served, or stop is closed.
func (w *watches) sendChanges(conn net.Conn, state watchState, stop <-chan struct{}) {
	out := chunkWriter{conn}
	if !out.write([]byte(watchResponseHead), false) {
		return
	}
	keepalive := time.NewTimer(keepaliveInterval)
	defer keepalive.Stop()
	for first := true; ; first = false {
		if err := w.checkFreshness(); err != nil {
			out.end(err)
			return
		}
		text, newState, changed, err := w.nextLine(state, first)
		if err != nil {
			out.end(err)
			return
		}
		state = newState
		switch {
		case text != nil:
			if !out.write(text, true) {
				return
			}
			keepalive.Reset(keepaliveInterval)
		case first:
			if !out.write([]byte("\n"), true) { // the line shows that the watch is established
				return
			}
		}
		select {
		case <-changed:
		case <-keepalive.C:
			if !out.write([]byte("\n"), true) {
				return
			}
			keepalive.Reset(keepaliveInterval)
		case <-stop:
			out.end(errStopping)
			return
		}
	}
}

// chunkWriter writes a response in chunked encoding.
type chunkWriter struct{ conn net.Conn }

// write writes text, as a chunk if chunked is set. It returns false if that fails.
func (c chunkWriter) write(text []byte, chunked bool) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if !chunked {
		_, err := c.conn.Write(text)
		return err == nil
	}
	parts := net.Buffers{fmt.Appendf(nil, "%x\r\n", len(text)), text, []byte("\r\n")}
	_, err := parts.WriteTo(c.conn)
	return err == nil
}

// end ends the response, with the reason in the trailer.
func (c chunkWriter) end(reason error) {
	w := bufio.NewWriter(c.conn)
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = fmt.Fprintf(w, "0\r\n%s: %.200q\r\n\r\n", endTrailer, reason.Error())
	_ = w.Flush()
}

func (w *watches) activeCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active
}
