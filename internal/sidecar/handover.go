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

// During an upgrade a new process, the successor, takes over the clients of the serving process, its predecessor: see
// docs/ONCALL.md. The two are connected by a Unix socket in TMPDIR, and each continues alone when that connection ends.

const (
	linkName          = "handover.sock"        // file in TMPDIR: the socket
	bansName          = "bans.json"            // file in TMPDIR: the bans
	linkTimeout       = time.Second            // time-out each for dialling, a write, the first message, and the time until the predecessor stops accepting; a complete start may last 6 s
	banRelayTimeout   = 350 * time.Millisecond // time for the other process to confirm a ban; with adminTimeout it is less than the 1 s that a call may last
	useReportInterval = 20 * time.Millisecond  // time between checks whether the number of connections in use has changed, which is then reported
)

// connectionUse is how many connections and how much memory one process uses. The limits apply to both processes together.
type connectionUse struct {
	Clients   int   `json:"Clients"`
	Upstreams int   `json:"Upstreams"`
	Memory    int64 `json:"Memory,omitempty"` // bytes of the memory limit; 0 if the sender does not state them
}

// handoverMessage is one line on the link, in JSON. Exactly one field is set, except that Persisted may be set beside Ack. A receiver
// ignores fields that it does not know.
// The JSON names here and below stay as they are, since the other process may run another version.
type handoverMessage struct {
	State     *handoverState `json:"State,omitempty"` // from the predecessor: the state to start with
	Ready     bool           `json:"Ready,omitempty"` // from the successor: it can accept clients
	Uses      *connectionUse `json:"Uses,omitempty"`  // from the predecessor once it no longer accepts clients; from the successor after Returning
	Returning bool           `json:"Back,omitempty"`  // from the successor: it is ending, and the predecessor must accept clients again
	Ban       *banMessage    `json:"Ban,omitempty"`
	Ack       int            `json:"Ack,omitempty"`  // the sender has applied the ban of this number
	Persisted bool           `json:"Kept,omitempty"` // with Ack: the sender has written the ban to disk as well
	Ran       []uint64       `json:"Ran,omitempty"`  // unsafe requests that may have run, by the hashes of their ids; see recentIDs
}

// handoverState is the state that a process sends its successor.
type handoverState struct {
	List     *listing           `json:"List"`
	Banned   []string           `json:"Banned"`
	Snapshot *balancer.Snapshot `json:"Learnt,omitempty"`
	// Settings are those followed from the list service; nil if none are followed, or none have been received.
	Settings *statestore.Settings `json:"Settings,omitempty"`
	Ran      []uint64             `json:"Ran,omitempty"` // see handoverMessage
}

// banMessage is a ban, or the lifting of one, as relayed to the other process.
type banMessage struct {
	Number  int    `json:"Number"`
	ID      string `json:"ID"`
	Cleared bool   `json:"Lifted"`
	Writes  bool   `json:"Writes,omitempty"` // the sender writes the ban to disk itself, so the receiver does not
}

// handoverLink is one end of the link between the two processes.
type handoverLink struct {
	conn     net.Conn
	messages *watch.Messages
	applyBan func(banMessage) (persisted bool, err error) // applies a ban that the other process relays
	applyRan func(hashes []uint64)                        // records requests that may have run at the other process

	mu            sync.Mutex
	lastBanNumber int               // number of the ban relayed last
	acks          map[int]chan bool // by ban number; receives whether the other process has written the ban to disk
}

func newLink(conn net.Conn) *handoverLink {
	return &handoverLink{conn: conn, messages: watch.NewMessages(conn, maxList), acks: map[int]chan bool{}}
}

// send sends one message. It is safe for concurrent use.
func (l *handoverLink) send(m handoverMessage) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(linkTimeout)); err != nil {
		return err
	}
	return json.NewEncoder(l.conn).Encode(m) // Encode calls Write once
}

// follow handles incoming messages until the link ends; handle is called with those that are not about bans.
func (l *handoverLink) follow(handle func(handoverMessage)) error {
	for {
		var m handoverMessage
		if err := l.messages.Next(&m); err != nil {
			return fmt.Errorf("the link has ended: %w", err)
		}
		switch {
		case m.Ban != nil:
			persisted, err := l.applyBan(*m.Ban)
			if err != nil { // without an Ack the other process does not confirm the ban to its caller
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
		case len(m.Ran) > 0:
			l.applyRan(m.Ran)
		default:
			handle(m)
		}
	}
}

// relayBan sends a ban to the other process, waits until that process has applied it, and reports whether that process has
// written it to disk as well. If the ban can't be sent, the link has ended and no other process needs the
// ban, so relayBan returns no error.
func (l *handoverLink) relayBan(ban banMessage) (persisted bool, err error) {
	done := make(chan bool, 1)
	l.mu.Lock()
	l.lastBanNumber++
	ban.Number = l.lastBanNumber
	l.acks[ban.Number] = done
	l.mu.Unlock()
	if l.send(handoverMessage{Ban: &ban}) != nil {
		return false, nil
	}
	select {
	case persisted := <-done:
		return persisted, nil
	case <-time.After(banRelayTimeout):
		l.mu.Lock()
		delete(l.acks, ban.Number)
		l.mu.Unlock()
		return false, errors.New("the other process of the upgrade has not confirmed it, call again")
	}
}

// handover is a process's role in upgrades: at first the process is the successor, later the predecessor.
type handover struct {
	dir             string                         // TMPDIR
	state           func() handoverState           // returns the state for a successor
	applyBan        func(banMessage) (bool, error) // applies a ban that the other process relays
	stopAccepting   func()                         // stops accepting clients
	resumeAccepting func()                         // accepts clients again
	ownUse          func() connectionUse           // returns the connections that this process uses
	limitConns      func(others *connectionUse)    // lowers the limits by what the other process uses; with nil, restores them, since that process has ended
	applyRan        func(hashes []uint64)          // records requests that may have run at the other process
	shareMemory     func(bool)                     // leaves memory for the start of another process, or takes all of it again

	ran                chan uint64   // requests that may have run here, for the other process
	predecessorStopped chan struct{} // closed once the predecessor no longer accepts clients, or there is none

	mu          sync.Mutex
	other       *handoverLink // link to the successor, or else to the predecessor; nil if there is neither
	predecessor *handoverLink // link to the predecessor; nil if there is none, or it has ended
	closedCh    chan struct{} // closed by close
	listener    net.Listener
	published   os.FileInfo // of the listener's socket; only the goroutine of serve uses it
	closed      bool
}

// passedListener returns the listening socket for clients that the platform passes, or nil if it passes none.
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

// receiveState connects to the predecessor and returns the state that it sends. If there is no predecessor, or it sends nothing
// usable, the state has only the bans from their file. No error here prevents the start.
func (h *handover) receiveState() (s handoverState) {
	conn, err := net.DialTimeout("unix", filepath.Join(h.dir, linkName), linkTimeout)
	if err == nil {
		l := newLink(conn)
		_ = conn.SetReadDeadline(time.Now().Add(linkTimeout))
		var m handoverMessage
		if err = l.messages.Next(&m); err == nil && m.State == nil {
			err = errors.New("the first message of the predecessor holds no state")
		}
		_ = conn.SetReadDeadline(time.Time{})
		if err == nil {
			l.applyBan, l.applyRan = h.applyBan, h.applyRan
			h.other, h.predecessor = l, l
			return *m.State
		}
		_ = conn.Close()
	}
	if !errors.Is(err, os.ErrNotExist) { // the dial failed, or the predecessor sent no usable state
		logWarning(componentHandover, "no predecessor found, starting alone", err)
	}
	data, err := os.ReadFile(filepath.Join(h.dir, bansName))
	if err == nil {
		err = json.Unmarshal(data, &s.Banned)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		logWarning(componentHandover, "file of bans not usable", err)
	}
	return s
}

// followPredecessor follows the link to the predecessor, if there is one, in the background until the link ends.
func (h *handover) followPredecessor() {
	l := h.other // no lock is needed: no other goroutine uses h yet
	if l == nil {
		close(h.predecessorStopped)
		return
	}
	var once sync.Once
	go func() {
		err := l.follow(func(m handoverMessage) {
			if m.Uses != nil {
				h.limitConns(m.Uses)
				once.Do(func() { close(h.predecessorStopped) })
			}
		})
		logWarning(componentHandover, "predecessor disconnected", err)
		_ = l.conn.Close()
		h.dropPredecessor(l)
		h.limitConns(nil)
		once.Do(func() { close(h.predecessorStopped) })
	}()
}

// awaitPredecessor informs the predecessor that this process is ready, and blocks until the predecessor no longer accepts
// clients, or for linkTimeout.
func (h *handover) awaitPredecessor() {
	h.mu.Lock()
	l := h.other
	h.mu.Unlock()
	if l != nil {
		if err := l.send(handoverMessage{Ready: true}); err != nil {
			logWarning(componentHandover, "readiness not sent to the predecessor", err)
		}
	}
	select {
	case <-h.predecessorStopped:
	case <-time.After(linkTimeout):
	}
}

// serve listens for a successor, in the background until close.
func (h *handover) serve() error {
	if err := h.publish(); err != nil {
		return err
	}
	go func() { // ends when h.close closes the listener
		for {
			h.mu.Lock()
			l := h.listener
			h.mu.Unlock()
			conn, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(acceptRetryInterval)
				continue
			}
			h.serveSuccessor(conn)
			if err := h.publish(); err != nil { // the successor that has ended may have taken the name
				logWarning(componentHandover, "hand-over socket not available", err)
			}
		}
	}()
	return nil
}

// publish gives this process the socket at which a successor looks for its predecessor, unless it has it already. After close it has no
// effect.
func (h *handover) publish() error {
	if info, err := os.Stat(filepath.Join(h.dir, linkName)); err == nil && h.published != nil && os.SameFile(info, h.published) {
		return nil // closing the listener would reset a successor that waits to be accepted
	}
	ownPath := filepath.Join(h.dir, fmt.Sprintf("handover-%d.sock", os.Getpid()))
	_ = os.Remove(ownPath) // left by an earlier process with the same process id
	l, err := net.Listen("unix", ownPath)
	if err != nil {
		return err
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false) // when it is closed, the name may belong to the successor's socket
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		_ = os.Remove(ownPath)
		return l.Close()
	}
	info, err := os.Stat(ownPath)
	if err == nil {
		err = os.Rename(ownPath, filepath.Join(h.dir, linkName))
	}
	if err != nil {
		_ = l.Close()
		return err
	}
	h.published = info
	if h.listener != nil {
		_ = h.listener.Close()
	}
	h.listener = l
	return nil
}

// serveSuccessor serves one successor until either process ends. The caller accepts no other successor meanwhile.
func (h *handover) serveSuccessor(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	l := newLink(conn)
	l.applyBan, l.applyRan = h.applyBan, h.applyRan
	previous, closed := h.replaceOther(l)
	if closed {
		return
	}
	h.sendState(l) // after replaceOther, so that bans applied from now on are relayed
	logAttrs(slog.LevelInfo, componentHandover, "successor connected")
	h.shareMemory(true)
	defer h.shareMemory(false)
	ready, returned, err := h.followSuccessor(l)
	h.mu.Lock()
	if h.other == l {
		h.other = previous
	}
	closed = h.closed
	h.mu.Unlock()
	if closed {
		return
	}
	logWarning(componentHandover, "successor disconnected", err)
	switch {
	case returned:
		h.limitConns(nil)
	case ready:
		h.resumeAccepting()
	}
}

// replaceOther makes l the link to the other process. It returns the previous link, and whether h is closed.
func (h *handover) replaceOther(l *handoverLink) (previous *handoverLink, closed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	previous, h.other = h.other, l
	return previous, h.closed
}

// sendState sends the successor its state. A snapshot may contain a number that JSON can't encode; the state is then
// sent without the snapshot.
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

// followSuccessor handles the successor's messages until the link ends. It reports whether the successor became ready, and
// whether it has returned the clients since.
func (h *handover) followSuccessor(l *handoverLink) (ready, returned bool, err error) {
	stopped, linkEnded, reporterDone := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(reporterDone)
		select {
		case <-stopped:
			h.reportUse(l, linkEnded)
		case <-linkEnded:
		}
	}()
	err = l.follow(func(m handoverMessage) {
		switch {
		case m.Ready && !ready:
			ready = true
			h.stopAccepting()
			close(stopped)
		case m.Returning && ready && !returned:
			returned = true
			logAttrs(slog.LevelInfo, componentHandover, "successor is ending, accepting clients again")
			h.resumeAccepting()
		case m.Uses != nil && returned:
			h.limitConns(m.Uses)
		}
	})
	close(linkEnded)
	<-reporterDone
	return ready, returned, err
}

// reportUse sends the other process the number of connections that this one uses, at each change, until stop is closed or
// the link ends.
func (h *handover) reportUse(l *handoverLink, stop <-chan struct{}) {
	last := connectionUse{Clients: -1, Upstreams: -1}
	for {
		if u := h.ownUse(); u != last {
			if l.send(handoverMessage{Uses: &u}) != nil {
				return
			}
			last = u
		}
		select {
		case <-time.After(useReportInterval):
		case <-stop:
			return
		}
	}
}

// returnClients instructs the predecessor, if it still runs, to accept clients again. It is called when this process must
// end; requests in flight may delay the end by seconds.
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

// dropPredecessor drops the link to a predecessor that has ended.
func (h *handover) dropPredecessor(l *handoverLink) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.other == l {
		h.other = nil
	}
	h.predecessor = nil
}

// relayBan stores all bans in the file in TMPDIR, so that they outlive this process, and relays ban to the other process, if
// there is one. It reports whether the other process has written the ban to disk.
func (h *handover) relayBan(ban banMessage, allBans []string) (persisted bool, err error) {
	data, err := json.Marshal(allBans)
	if err == nil {
		newFile := filepath.Join(h.dir, fmt.Sprintf("bans-%d", os.Getpid()))
		if err = os.WriteFile(newFile, data, 0o600); err == nil {
			err = os.Rename(newFile, filepath.Join(h.dir, bansName))
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
	return l.relayBan(ban)
}

// close closes the link, which notifies the other process that this one ends, and stops listening.
func (h *handover) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		close(h.closedCh)
	}
	h.closed = true
	if h.listener != nil {
		_ = h.listener.Close()
	}
	if h.other != nil {
		_ = h.other.conn.Close()
	}
}

// relayRan reports an unsafe request that may have run to the other process, if there is one. It does not block: while the lock is held,
// for example by publish, which works on files, sendRan finds out whether there is another process.
func (h *handover) relayRan(hash uint64) {
	if h.mu.TryLock() {
		hasOther := h.other != nil
		h.mu.Unlock()
		if !hasOther {
			return
		}
	}
	select {
	case h.ran <- hash:
	default: // the other process does not read; it has what it read before
	}
}

// sendRan sends what relayRan reports, until close.
func (h *handover) sendRan() {
	for {
		var hashes []uint64
		select {
		case hash := <-h.ran:
			hashes = append(hashes, hash)
		case <-h.closedCh:
			return
		}
		for len(h.ran) > 0 {
			hashes = append(hashes, <-h.ran)
		}
		h.mu.Lock()
		l := h.other
		h.mu.Unlock()
		if l != nil {
			_ = l.send(handoverMessage{Ran: hashes}) // if it fails, the link has ended
		}
	}
}
