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

// An upgrade: a new process takes over from the one that serves, see docs/ONCALL.md. Both hold one end of a link, a
// Unix socket in TMPDIR, and each lives on without the other when the link ends.

const (
	linkName          = "handover.sock"
	bansName          = "bans.json"
	linkTimeout       = time.Second            // for the other process's first answer: a start has 6 s in all
	banRelayTimeout   = 350 * time.Millisecond // for a ban to be taken over there; with adminTimeout, less than the 1 s that is owed
	useReportInterval = 20 * time.Millisecond  // the old process tells what it still holds: connections move as requests end
)

// connectionUse is how many connections a process holds of the limits that both share.
type connectionUse struct {
	Clients   int `json:"Clients"`
	Upstreams int `json:"Upstreams"`
}

// handoverMessage is a line on the link; one field is set.
type handoverMessage struct {
	State     *handoverState `json:"State,omitempty"` // old to new: what it begins with
	Ready     bool           `json:"Ready,omitempty"` // new to old: it can take clients
	Uses      *connectionUse `json:"Uses,omitempty"`  // old to new, once it accepts no more; new to old after Back
	Returning bool           `json:"Back,omitempty"`  // new to old: it was told to end
	Ban       *banMessage    `json:"Ban,omitempty"`
	Ack       int            `json:"Ack,omitempty"`  // the call of this number is taken over
	Persisted bool           `json:"Kept,omitempty"` // and it is on disk
}

// handoverState is what a process sends its successor.
type handoverState struct {
	List     *listing           `json:"List"`
	Banned   []string           `json:"Banned"`
	Snapshot *balancer.Snapshot `json:"Learnt,omitempty"`
	// Settings are those of the service; nil: none are followed, or none were told.
	Settings *statestore.Settings `json:"Settings,omitempty"`
}

type banMessage struct {
	Number  int    `json:"Number"`
	ID      string `json:"ID"`
	Cleared bool   `json:"Lifted"`
	Writes  bool   `json:"Writes,omitempty"` // whoever passes it on puts it on disk
}

// handoverLink is one end of the link between the two processes.
type handoverLink struct {
	conn net.Conn
	in   *watch.Messages
	ban  func(banMessage) (persisted bool, err error) // takes over a ban that came to the other process

	mu    sync.Mutex
	calls int
	acks  map[int]chan bool
}

func newLink(conn net.Conn) *handoverLink {
	return &handoverLink{conn: conn, in: watch.NewMessages(conn, maxList), acks: map[int]chan bool{}}
}

func (l *handoverLink) send(m handoverMessage) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(linkTimeout)); err != nil {
		return err
	}
	return json.NewEncoder(l.conn).Encode(m) // in one write
}

// follow handles what comes until the link ends; more handles what is not about bans.
func (l *handoverLink) follow(more func(handoverMessage)) error {
	for {
		var m handoverMessage
		if err := l.in.Next(&m); err != nil {
			return fmt.Errorf("the link has ended: %w", err)
		}
		switch {
		case m.Ban != nil:
			persisted, err := l.ban(*m.Ban)
			if err != nil { // not confirmed there either
				logWarning(ofHandover, "ban from the other process not applied", err)
				continue
			}
			if err := l.send(handoverMessage{Ack: m.Ban.Number, Persisted: persisted}); err != nil {
				return err
			}
		case m.Ack > 0:
			l.mu.Lock()
			if done := l.acks[m.Ack]; done != nil {
				done <- m.Persisted // holds one
				delete(l.acks, m.Ack)
			}
			l.mu.Unlock()
		default:
			more(m)
		}
	}
}

// pass hands a ban on, and waits until the other process has it; kept: on disk too. A link that has ended needs none.
func (l *handoverLink) pass(c banMessage) (persisted bool, err error) {
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

// handover is a process's part in upgrades: as the successor first, as the predecessor later.
type handover struct {
	dir         string // TMPDIR
	state       func() handoverState
	ban         func(banMessage) (bool, error) // takes a ban in, for good
	yield       func()                         // accept no more clients, and hold no more than now
	resume      func()                         // take clients again: the new process died
	use         func() connectionUse           // of this process
	limitBeside func(others *connectionUse)    // what is left beside the process before; nil: it is gone
	halveMemory func(bool)                     // memory is shared, or no longer

	yielded chan struct{} // the process before accepts no more, or there is none

	mu          sync.Mutex
	other       *handoverLink // nil: no other process
	predecessor *handoverLink // the process before, as long as it is there
	closedCh    chan struct{}
	listen      net.Listener
	closed      bool
}

// passedListener is the clients' socket that the platform holds, or nil where it passes none.
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

// receiveState asks the process that serves for what it holds. Without one, or where it says nothing usable, the bans come
// from their file; a start never fails for it.
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
		logWarning(ofHandover, "no predecessor found, starting alone", err)
	}
	text, err := os.ReadFile(filepath.Join(h.dir, bansName))
	if err == nil {
		err = json.Unmarshal(text, &s.Banned)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		logWarning(ofHandover, "file of bans not usable", err)
	}
	return s
}

// join follows the link to the process before, if there is one, until it ends.
func (h *handover) join() {
	l := h.other // nobody else has h yet
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
		logWarning(ofHandover, "predecessor disconnected", err)
		_ = l.conn.Close()
		h.forget(l)
		h.limitBeside(nil)
		once.Do(func() { close(h.yielded) })
	}()
}

// awaitYield waits until the process before accepts no more.
func (h *handover) awaitYield() {
	h.mu.Lock()
	l := h.other
	h.mu.Unlock()
	if l != nil {
		if err := l.send(handoverMessage{Ready: true}); err != nil {
			logWarning(ofHandover, "readiness not sent to the predecessor", err)
		}
	}
	select {
	case <-h.yielded:
	case <-time.After(linkTimeout):
	}
}

// serve waits for the process that comes next, until close.
func (h *handover) serve() error {
	own := filepath.Join(h.dir, fmt.Sprintf("handover-%d.sock", os.Getpid()))
	_ = os.Remove(own) // of an earlier process of this number
	l, err := net.Listen("unix", own)
	if err != nil {
		return err
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false) // by then the name may be the next process's
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

// serveSuccessor stands beside the next process until it ends, or this one does. One at a time; the others wait.
func (h *handover) serveSuccessor(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	l := newLink(conn)
	l.ban = h.ban
	before, closed := h.replaceOther(l)
	if closed {
		return
	}
	h.sendState(l) // after replaceOther: a ban from now on is passed on
	logAttrs(slog.LevelInfo, ofHandover, "successor connected")
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
	logWarning(ofHandover, "successor disconnected", err)
	switch {
	case returned:
		h.limitBeside(nil)
	case ready:
		h.resume()
	}
}

// replaceOther makes l the link to the other process, and gives the one before.
func (h *handover) replaceOther(l *handoverLink) (before *handoverLink, closed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before, h.other = h.other, l
	return before, h.closed
}

// sendState tells the new process what it begins with. A snapshot may hold a number that JSON does not have: the bans go
// without it then.
func (h *handover) sendState(l *handoverLink) {
	s := h.state()
	err := l.send(handoverMessage{State: &s})
	if err != nil && s.Snapshot != nil {
		s.Snapshot = nil
		err = l.send(handoverMessage{State: &s})
	}
	if err != nil {
		logWarning(ofHandover, "state not sent to the successor", err)
	}
}

// followSuccessor handles what the new process says until the link ends: whether it was ready, and whether it has returned
// the clients since.
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
			logAttrs(slog.LevelInfo, ofHandover, "successor is ending, accepting clients again")
			h.resume()
		case m.Uses != nil && returned:
			h.limitBeside(m.Uses)
		}
	})
	close(end)
	<-reported
	return ready, returned, err
}

// reportUse keeps the other process told what this one holds of the limits, until end or the link's.
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

// returnClients has the process before, where it is still there, take clients again: this one was told to end, and may need
// seconds for what it has in flight.
func (h *handover) returnClients() {
	h.mu.Lock()
	l := h.predecessor
	h.mu.Unlock()
	if l == nil {
		return
	}
	if err := l.send(handoverMessage{Returning: true}); err != nil {
		logWarning(ofHandover, "clients not returned to the predecessor", err)
		return
	}
	go h.reportUse(l, h.closedCh)
}

func (h *handover) forget(l *handoverLink) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.other == l {
		h.other = nil
	}
	h.predecessor = nil
}

// relayBan makes a ban outlive this process: it goes to the other one, if there is one, and to the file in TMPDIR. kept:
// the other one has put it on disk.
func (h *handover) relayBan(c banMessage, all []string) (persisted bool, err error) {
	text, err := json.Marshal(all)
	if err == nil {
		fresh := filepath.Join(h.dir, fmt.Sprintf("bans-%d", os.Getpid()))
		if err = os.WriteFile(fresh, text, 0o600); err == nil {
			err = os.Rename(fresh, filepath.Join(h.dir, bansName))
		}
	}
	if err != nil {
		logWarning(ofHandover, "file of bans not written", err)
	}
	h.mu.Lock()
	l := h.other
	h.mu.Unlock()
	if l == nil {
		return false, nil
	}
	return l.pass(c)
}

// close ends the link and the wait for another process. The new one learns so that this one is gone.
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
