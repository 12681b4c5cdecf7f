package sidecar

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"mosslead/balancer"
	"mosslead/internal/statestore"
	"mosslead/internal/watch"
)

// Handover between processes: during an upgrade a new process takes over the clients of the one that serves, see
// docs/ONCALL.md. The two are connected by a Unix socket in TMPDIR, and each continues alone when that connection ends.

const (
	linkName          = "handover.sock"
	bansName          = "bans.json"
	linkTimeout       = time.Second            // for the first answer of the other process: a start may take 6 s in all
	banRelayTimeout   = 350 * time.Millisecond // for the other process to confirm a ban; with adminTimeout, below the 1 s for a call
	useReportInterval = 20 * time.Millisecond  // between reports of the connections in use, which move as requests end
)

// connectionUse is how many connections a process uses of the limits that both processes share.
type connectionUse struct {
	Clients   int `json:"Clients"`
	Upstreams int `json:"Upstreams"`
}

// handoverMessage is one line on the link, in JSON; one field is set, or Ack and Persisted.
type handoverMessage struct {
	State     *handoverState `json:"State,omitempty"` // old to new: the state to start with
	Ready     bool           `json:"Ready,omitempty"` // new to old: it can accept clients
	Uses      *connectionUse `json:"Uses,omitempty"`  // old to new, once it accepts no more; new to old after Returning
	Returning bool           `json:"Back,omitempty"`  // new to old: it is ending, and returns the clients
	Ban       *banMessage    `json:"Ban,omitempty"`
	Ack       int            `json:"Ack,omitempty"`  // the ban of this number has been applied
	Persisted bool           `json:"Kept,omitempty"` // with Ack: the ban is on disk as well
}

// handoverState is the state that a process sends its successor.
type handoverState struct {
	List     *listing           `json:"List"`
	Banned   []string           `json:"Banned"`
	Snapshot *balancer.Snapshot `json:"Learnt,omitempty"`
	// Settings are those followed from the list service; nil: none are followed, or none have been received.
	Settings *statestore.Settings `json:"Settings,omitempty"`
}

// banMessage is a ban, or the lifting of one, as relayed to the other process.
type banMessage struct {
	Number  int    `json:"Number"`
	ID      string `json:"ID"`
	Cleared bool   `json:"Lifted"`
	Writes  bool   `json:"Writes,omitempty"` // the sender writes it to disk itself
}

// handoverLink is one end of the link between the two processes.
type handoverLink struct {
	conn net.Conn
	in   *watch.Messages
	ban  func(banMessage) (persisted bool, err error) // applies a ban that the other process relays

	mu    sync.Mutex
	calls int
	acks  map[int]chan bool
}

func newLink(conn net.Conn) *handoverLink {
	return &handoverLink{conn: conn, in: watch.NewMessages(conn, maxList), acks: map[int]chan bool{}}
}

// send sends one message; it is safe for concurrent use.
func (l *handoverLink) send(m handoverMessage) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(linkTimeout)); err != nil {
		return err
	}
	return json.NewEncoder(l.conn).Encode(m) // Encode writes once
}

// follow handles incoming messages until the link ends; handle is called with those that are not about bans.
func (l *handoverLink) follow(handle func(handoverMessage)) error {
	for {
		var m handoverMessage
		if err := l.in.Next(&m); err != nil {
			return fmt.Errorf("the link has ended: %w", err)
		}
		switch {
		case m.Ban != nil:
			persisted, err := l.ban(*m.Ban)
			if err != nil { // without an Ack the other process does not confirm it either
				logWarning(componentHandover, "ban from the other process not applied", err)
				continue
			}
			if err := l.send(handoverMessage{Ack: m.Ban.Number, Persisted: persisted}); err != nil {
				return err
			}
		case m.Ack > 0:
			l.mu.Lock()
			if done := l.acks[m.Ack]; done != nil {
				done <- m.Persisted // has a buffer of one: does not block
				delete(l.acks, m.Ack)
			}
			l.mu.Unlock()
		default:
			handle(m)
		}
	}
}

// relayBan sends a ban to the other process and waits until that has applied it; persisted: it is on disk there as well. A
// link that has ended has no process that would need it.
func (l *handoverLink) relayBan(c banMessage) (persisted bool, err error) {
	done := make(chan bool, 1)
	l.mu.Lock()
	l.calls++
	c.Number = l.calls
	l.acks[c.Number] = done
	l.mu.Unlock()
	if l.send(handoverMessage{Ban: &c}) != nil {
		return false, nil
	}
	select {
	case persisted := <-done:
		return persisted, nil
	case <-time.After(banRelayTimeout):
		l.mu.Lock()
		delete(l.acks, c.Number)
		l.mu.Unlock()
		return false, errors.New("the other process of the upgrade has not confirmed it, call again")
	}
}

// handover is a process's side of upgrades: first as the successor, later as the predecessor.
type handover struct {
	dir         string // TMPDIR
	state       func() handoverState
	ban         func(banMessage) (bool, error) // applies a ban
	yield       func()                         // stops accepting clients
	resume      func()                         // accepts clients again
	use         func() connectionUse           // returns the connections that this process uses
	limitBeside func(others *connectionUse)    // limits this process beside the other one; nil: that has ended
	halveMemory func(bool)                     // whether the memory limit is shared with another process

	yielded chan struct{} // closed once the predecessor accepts no more, or there is none

	mu          sync.Mutex
	other       *handoverLink // nil: no other process
	predecessor *handoverLink // nil: none, or it has ended
	closedCh    chan struct{}
	listen      net.Listener
	closed      bool
}

// passedListener returns the clients' socket that the platform passes, or nil if it passes none.
func passedListener() (net.Listener, error) {
	text, passed := os.LookupEnv("GW_PASSED_SOCKET")
	if !passed || text == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("GW_PASSED_SOCKET: %q is not the number of a descriptor above 2", text)
	}
	file := os.NewFile(uintptr(fd), "passed socket")
	defer func() { _ = file.Close() }()
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("GW_PASSED_SOCKET: descriptor %d: %w", fd, err)
	}
	return l, nil
}

// receiveState connects to the process that serves and returns its state. If there is none, or it sends nothing usable, the
// bans are read from their file; a start never fails here.
func (h *handover) receiveState() (s handoverState) {
	conn, err := net.DialTimeout("unix", filepath.Join(h.dir, linkName), linkTimeout)
	if err == nil {
		l := newLink(conn)
		_ = conn.SetReadDeadline(time.Now().Add(linkTimeout))
		var m handoverMessage
		if err = l.in.Next(&m); err == nil && m.State == nil {
			err = errors.New("it began with something else")
		}
		_ = conn.SetReadDeadline(time.Time{})
		if err == nil {
			l.ban = h.ban
			h.other, h.predecessor = l, l
			return *m.State
		}
		_ = conn.Close()
	}
	if !errors.Is(err, os.ErrNotExist) {
		logWarning(componentHandover, "no predecessor found, starting alone", err)
	}
	text, err := os.ReadFile(filepath.Join(h.dir, bansName))
	if err == nil {
		err = json.Unmarshal(text, &s.Banned)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		logWarning(componentHandover, "file of bans not usable", err)
	}
	return s
}

// join follows the link to the predecessor, if there is one, in the background until the link ends.
func (h *handover) join() {
	l := h.other // h is not shared yet: no lock
	if l == nil {
		close(h.yielded)
		return
	}
	var once sync.Once
	go func() {
		err := l.follow(func(m handoverMessage) {
			if m.Uses != nil {
				h.limitBeside(m.Uses)
				once.Do(func() { close(h.yielded) })
			}
		})
		logWarning(componentHandover, "predecessor disconnected", err)
		_ = l.conn.Close()
		h.forget(l)
		h.limitBeside(nil)
		once.Do(func() { close(h.yielded) })
	}()
}

// awaitYield tells the predecessor that this process is ready, and blocks until that accepts no more, at most linkTimeout.
func (h *handover) awaitYield() {
	h.mu.Lock()
	l := h.other
	h.mu.Unlock()
	if l != nil {
		if err := l.send(handoverMessage{Ready: true}); err != nil {
			logWarning(componentHandover, "readiness not sent to the predecessor", err)
		}
	}
	select {
	case <-h.yielded:
	case <-time.After(linkTimeout):
	}
}

// serve listens for a successor, in the background until close.
func (h *handover) serve() error {
	own := filepath.Join(h.dir, fmt.Sprintf("handover-%d.sock", os.Getpid()))
	_ = os.Remove(own) // of an earlier process with this process's id
	l, err := net.Listen("unix", own)
	if err != nil {
		return err
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false) // by then the name may belong to the successor
	if err := os.Rename(own, filepath.Join(h.dir, linkName)); err != nil {
		_ = l.Close()
		return err
	}
	h.mu.Lock()
	h.listen = l
	closed := h.closed
	h.mu.Unlock()
	if closed {
		return l.Close()
	}
	go func() { // ends with close
		for {
			conn, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(acceptRetryInterval)
				continue
			}
			h.serveSuccessor(conn)
		}
	}()
	return nil
}

// serveSuccessor serves one successor until it or this process ends. Others wait for their turn.
func (h *handover) serveSuccessor(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	l := newLink(conn)
	l.ban = h.ban
	before, closed := h.replaceOther(l)
	if closed {
		return
	}
	h.sendState(l) // after replaceOther, so that a ban from now on is relayed
	logAttrs(slog.LevelInfo, componentHandover, "successor connected")
	h.halveMemory(true)
	defer h.halveMemory(false)
	ready, returned, err := h.followSuccessor(l)
	h.mu.Lock()
	if h.other == l {
		h.other = before
	}
	closed = h.closed
	h.mu.Unlock()
	if closed {
		return
	}
	logWarning(componentHandover, "successor disconnected", err)
	switch {
	case returned:
		h.limitBeside(nil)
	case ready:
		h.resume()
	}
}

// replaceOther makes l the link to the other process, and returns the one before.
func (h *handover) replaceOther(l *handoverLink) (before *handoverLink, closed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before, h.other = h.other, l
	return before, h.closed
}

// sendState sends the successor its state. A snapshot may hold a number that JSON can't encode; the state is then sent
// without the snapshot.
func (h *handover) sendState(l *handoverLink) {
	s := h.state()
	err := l.send(handoverMessage{State: &s})
	if err != nil && s.Snapshot != nil {
		s.Snapshot = nil
		err = l.send(handoverMessage{State: &s})
	}
	if err != nil {
		logWarning(componentHandover, "state not sent to the successor", err)
	}
}

// followSuccessor handles the successor's messages until the link ends. It returns whether the successor became ready, and
// whether it has returned the clients since.
func (h *handover) followSuccessor(l *handoverLink) (ready, returned bool, err error) {
	yielded, end, reported := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(reported)
		select {
		case <-yielded:
			h.reportUse(l, end)
		case <-end:
		}
	}()
	err = l.follow(func(m handoverMessage) {
		switch {
		case m.Ready && !ready:
			ready = true
			h.yield()
			close(yielded)
		case m.Returning && ready && !returned:
			returned = true
			logAttrs(slog.LevelInfo, componentHandover, "successor is ending, accepting clients again")
			h.resume()
		case m.Uses != nil && returned:
			h.limitBeside(m.Uses)
		}
	})
	close(end)
	<-reported
	return ready, returned, err
}

// reportUse reports the connections that this process uses to the other one, until end is closed or the link ends.
func (h *handover) reportUse(l *handoverLink, end <-chan struct{}) {
	last := connectionUse{-1, -1}
	for {
		if u := h.use(); u != last {
			if l.send(handoverMessage{Uses: &u}) != nil {
				return
			}
			last = u
		}
		select {
		case <-time.After(useReportInterval):
		case <-end:
			return
		}
	}
}

// returnClients has the predecessor, if it is still there, accept clients again: this process was told to end, and may need
// seconds for its requests in flight.
func (h *handover) returnClients() {
	h.mu.Lock()
	l := h.predecessor
	h.mu.Unlock()
	if l == nil {
		return
	}
	if err := l.send(handoverMessage{Returning: true}); err != nil {
		logWarning(componentHandover, "clients not returned to the predecessor", err)
		return
	}
	go h.reportUse(l, h.closedCh)
}

// forget drops the link to a predecessor that has ended.
func (h *handover) forget(l *handoverLink) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.other == l {
		h.other = nil
	}
	h.predecessor = nil
}

// relayBan makes a ban outlive this process: it writes all bans to the file in TMPDIR, and relays c to the other process,
// if there is one; persisted: that has written it to disk.
func (h *handover) relayBan(c banMessage, all []string) (persisted bool, err error) {
	text, err := json.Marshal(all)
	if err == nil {
		fresh := filepath.Join(h.dir, fmt.Sprintf("bans-%d", os.Getpid()))
		if err = os.WriteFile(fresh, text, 0o600); err == nil {
			err = os.Rename(fresh, filepath.Join(h.dir, bansName))
		}
	}
	if err != nil {
		logWarning(componentHandover, "file of bans not written", err)
	}
	h.mu.Lock()
	l := h.other
	h.mu.Unlock()
	if l == nil {
		return false, nil
	}
	return l.relayBan(c)
}

// close closes the link, by which the successor learns that this process ends, and stops listening.
func (h *handover) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		close(h.closedCh)
	}
	h.closed = true
	if h.listen != nil {
		_ = h.listen.Close()
	}
	if h.other != nil {
		_ = h.other.conn.Close()
	}
}
