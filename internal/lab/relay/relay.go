// Package relay owns the links between parties: one for each ordered pair, with an address of its own, through which
// every byte passes and on which it can be held up, cut or broken.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// State is what a link does to what passes. The zero State lets everything through at once.
type State struct {
	Delay  time.Duration // one way, for each direction
	Jitter time.Duration // up to so much more, by the bytes' position, so that a seed plays the same
	Setup  time.Duration // more for the first bytes of a connection: its handshakes
	Rate   int           // bytes a second in each direction; 0: any
	Chop   int           // greatest piece passed on at once; 0: any

	// Silent holds everything in that direction, new connections too: nothing arrives and nothing fails.
	SilentForth, SilentBack bool
	// Reset breaks open connections and refuses new ones.
	Reset bool
	// Loss is the share of datagrams that vanish. On a connection that share of the pieces comes later by retransmitAfter.
	Loss float64
	// ResetShare of new connections is broken at their first answer's first byte.
	ResetShare float64
}

const (
	pieceBytes    = 32 << 10 // read at once; what a direction holds is 8 of them at most, beyond the kernel's buffers
	maxHeldPieces = 8
	dialLimit     = 2 * time.Second
	backlog       = 1024
	// retransmitAfter is the least time after which Linux sends again what was lost on a connection.
	retransmitAfter = 200 * time.Millisecond
)

// Link carries connections from one party to another.
type Link struct {
	From, To  string
	target    string
	onBegin   func(dialled string) // a connection to the target is open; nothing has gone over it yet. nil: nobody wants to know
	onRequest func(*http.Request)  // of what the initiator sends; nil: nobody wants to know
	onEnd     func(dialled string) // the initiator ended its sending, or the connection, seen even on a silent link

	mu            sync.Mutex
	state         State
	changed       chan struct{} // closed at each change of state
	address       string
	listener      *net.TCPListener
	queueFillers  []net.Conn // that keep a silent link's accept queue full
	conns         map[*pair]bool
	closed        bool
	acceptedCount int
	done          sync.WaitGroup
}

// pair is a connection of the initiator, and the one to the target that it is passed on to.
type pair struct {
	in, out       net.Conn
	resetAtAnswer bool // to be reset at the first answer
}

// New opens a link at address, for connections to target. onEnd may be nil; it is called with the local address of the
// connection to the target, by which the target knows it.
func New(from, to, address, target string, onEnd func(dialled string)) (*Link, error) {
	l := &Link{From: from, To: to, target: target, onEnd: onEnd, changed: make(chan struct{}), address: address, conns: map[*pair]bool{}}
	if l.onEnd == nil {
		l.onEnd = func(string) {}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l, l.listen()
}

// Address is where the initiator connects.
func (l *Link) Address() string { return l.address }

// listen opens the listener; the caller holds mu.
func (l *Link) listen() error {
	ln, err := net.Listen("tcp", l.address)
	if err != nil {
		return fmt.Errorf("link %s to %s: %w", l.From, l.To, err)
	}
	l.listener, l.address = ln.(*net.TCPListener), ln.Addr().String()
	l.done.Add(1)
	go l.accept(l.listener)
	return nil
}

func (l *Link) accept(ln *net.TCPListener) {
	defer l.done.Done()
	for {
		c, err := ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && l.awaitSilenceEnd(ln) {
			continue
		}
		if err != nil {
			return // closed by Set or Close
		}
		l.handle(ln, c)
	}
}

// handle carries on with a connection that was accepted.
func (l *Link) handle(ln *net.TCPListener, c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.listener != ln {
		abort(c)
		return
	}
	if l.state.SilentForth || l.state.SilentBack { // accepted just before: it hangs with the others
		stuffed := slices.ContainsFunc(l.queueFillers, func(s net.Conn) bool { return s.LocalAddr().String() == c.RemoteAddr().String() })
		l.queueFillers = append(l.queueFillers, c)
		if stuffed { // it was to keep the queue full
			_ = l.fillQueue() // nobody to tell; new connections would come up and hang
		}
		return
	}
	p := &pair{in: c}
	l.acceptedCount++
	// Evenly spread over the connections, so that a play repeats: every 8th for a share of 0.125.
	p.resetAtAnswer = int(float64(l.acceptedCount)*l.state.ResetShare) > int(float64(l.acceptedCount-1)*l.state.ResetShare)
	l.conns[p] = true
	l.done.Add(1)
	go l.carry(p)
}

// Set changes what the link does, from now on, also to connections that are open.
func (l *Link) Set(s State) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	was := l.state
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
	silent, wasSilent := s.SilentForth || s.SilentBack, was.SilentForth || was.SilentBack
	switch {
	case l.listener == nil: // a mesh listens
		for p := range l.conns {
			if s.Reset {
				p.abort()
			}
		}
		return nil
	case s.Reset && !was.Reset:
		_ = l.listener.Close()
		_ = l.setSilentQueue(false)
		for p := range l.conns {
			p.abort()
		}
		return nil
	case s.Reset:
		return nil
	case was.Reset:
		if err := l.listen(); err != nil {
			return err
		}
	}
	if silent != (wasSilent && !was.Reset) {
		return l.setSilentQueue(silent)
	}
	return nil
}

// setSilentQueue makes new connections hang, by a full accept queue, or lets them come again. The caller holds mu.
func (l *Link) setSilentQueue(silent bool) error {
	for _, c := range l.queueFillers {
		abort(c) // who came while the link was silent is reset once it is back
	}
	l.queueFillers = nil
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return err
	}
	size := backlog
	if silent {
		size = 0
		// Nothing more is accepted from here on, so that what fills the queue stays in it.
		if err := l.listener.SetDeadline(time.Unix(1, 0)); err != nil {
			return err
		}
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), size) }); err != nil || failed != nil {
		if !silent && l.state.Reset {
			return nil // the listener is closed already
		}
		return errors.Join(err, failed)
	}
	if !silent {
		return l.listener.SetDeadline(time.Time{})
	}
	return l.fillQueue()
}

// fillQueue fills the accept queue, which takes one connection: the kernel drops what else comes, and the other side waits. The caller
// holds mu.
func (l *Link) fillQueue() error {
	c, err := net.DialTimeout("tcp", l.address, dialLimit)
	if err != nil {
		return fmt.Errorf("link %s to %s: filling its queue: %w", l.From, l.To, err)
	}
	l.queueFillers = append(l.queueFillers, c)
	return nil
}

// awaitSilenceEnd waits while the link is silent; false once its listener is no longer in use.
func (l *Link) awaitSilenceEnd(ln *net.TCPListener) bool {
	for {
		l.mu.Lock()
		s, changed, dead := l.state, l.changed, l.closed || l.listener != ln
		l.mu.Unlock()
		switch {
		case dead || s.Reset:
			return false
		case !s.SilentForth && !s.SilentBack:
			return true
		}
		<-changed
	}
}

// Close ends the link and all that it carries, and waits until it has.
func (l *Link) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		if l.listener != nil {
			_ = l.listener.Close()
		}
		close(l.changed)
		l.changed = make(chan struct{})
		for p := range l.conns {
			p.abort()
		}
		for _, c := range l.queueFillers {
			abort(c)
		}
	}
	l.mu.Unlock()
	l.done.Wait()
}

// current is the present state, and what is closed when it changes.
func (l *Link) current() (State, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed, l.closed
}

func (l *Link) carry(p *pair) {
	defer l.done.Done()
	defer func() {
		l.mu.Lock()
		delete(l.conns, p)
		l.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	out, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.target)
	cancel()
	if err != nil {
		abort(p.in)
		return
	}
	l.mu.Lock()
	p.out = out
	dead := l.closed || l.state.Reset
	l.mu.Unlock()
	if dead {
		p.abort()
		return
	}
	if l.onBegin != nil {
		l.onBegin(out.LocalAddr().String())
	}
	var ways sync.WaitGroup
	ways.Add(2)
	go func() { defer ways.Done(); l.copyDirection(p, true) }()
	go func() { defer ways.Done(); l.copyDirection(p, false) }()
	ways.Wait()
	_ = p.in.Close()
	_ = p.out.Close()
}

// piece is some bytes on their way; err ends the direction.
type piece struct {
	data     []byte
	received time.Time
	err      error
}

// copyDirection carries one direction: a reader, which always notices an end, and a writer, which lets the state have its way.
func (l *Link) copyDirection(p *pair, forth bool) {
	from, to := p.in, p.out
	if !forth {
		from, to = p.out, p.in
	}
	pieces := make(chan piece, maxHeldPieces)
	var tee *tap
	if forth && l.onRequest != nil {
		tee = newTap(l.onRequest)
	}
	go func() { // ends with from, which the writer closes by its own end
		defer close(pieces)
		defer tee.close()
		buf := make([]byte, pieceBytes)
		for {
			n, err := from.Read(buf)
			if err != nil && forth {
				l.onEnd(p.out.LocalAddr().String())
			}
			tee.write(buf[:n])
			pieces <- piece{append([]byte(nil), buf[:n]...), time.Now(), err}
			if err != nil {
				return
			}
		}
	}()
	defer func() {
		for range pieces { // never leave the reader stuck
		}
	}()
	first, passed := true, 0
	for m := range pieces {
		if !l.awaitRelease(m.received, forth, first, passed) {
			p.abort()
			continue
		}
		if len(m.data) > 0 {
			if !forth && first && p.resetAtAnswer {
				p.abort()
				continue
			}
			first = false
			passed += len(m.data)
			if l.write(to, m.data) != nil {
				p.abort()
				continue
			}
		}
		switch {
		case errors.Is(m.err, io.EOF):
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite() // where it fails, the connection is gone already
			}
		case m.err != nil:
			p.abort()
		}
	}
}

// awaitRelease waits until bytes that came at a time may pass on; false once the link is closed.
func (l *Link) awaitRelease(at time.Time, forth, first bool, passed int) bool {
	for {
		s, changed, closed := l.current()
		if closed {
			return false
		}
		if (forth && s.SilentForth) || (!forth && s.SilentBack) {
			<-changed
			continue
		}
		wait := s.Delay
		if s.Jitter > 0 {
			wait += time.Duration(uint64(passed+1) * 0x9e3779b97f4a7c15 % uint64(s.Jitter))
		}
		if first && forth {
			wait += s.Setup
		}
		if s.Loss > 0 && float64(uint32(passed+1)*0x9e3779b9>>8)/(1<<24) < s.Loss {
			wait += retransmitAfter
		}
		left := time.Until(at.Add(wait))
		if left <= 0 {
			return true
		}
		late := time.NewTimer(left)
		select {
		case <-late.C:
		case <-changed:
			late.Stop()
		}
	}
}

// write passes bytes on, no faster and in no larger pieces than the state has it.
func (l *Link) write(to net.Conn, data []byte) error {
	for len(data) > 0 {
		s, changed, closed := l.current()
		if closed {
			return net.ErrClosed
		}
		n := len(data)
		if s.Chop > 0 {
			n = min(n, s.Chop)
		}
		if s.Rate > 0 {
			n = min(n, max(1, s.Rate/50))
			wait := time.NewTimer(time.Duration(float64(n) / float64(s.Rate) * float64(time.Second)))
			select {
			case <-wait.C:
			case <-changed:
				wait.Stop()
			}
		}
		if _, err := to.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// abort breaks both connections with a reset.
func (p *pair) abort() {
	abort(p.in)
	if p.out != nil {
		abort(p.out)
	}
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a reset, not an orderly end; on a closed connection there is nothing to set
	}
	_ = c.Close()
}
