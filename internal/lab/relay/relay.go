// Package relay provides the links between parties: one for each ordered pair, with an address of its own. Every byte
// passes through a link, which can delay it, hold it back or break the connection.
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

// State is what a link does to the traffic. The zero State passes everything at once.
type State struct {
	Delay  time.Duration // delay in each direction
	Jitter time.Duration // maximum additional delay; on a connection it depends on the position of the bytes only, so that a run can be repeated
	Setup  time.Duration // additional delay of a connection's first bytes, for its handshakes
	Rate   int           // bytes per second in each direction; 0 is no limit
	Chop   int           // maximum number of bytes that one write passes on; 0 is no limit

	// SilentForth and SilentBack hold back all data in that direction, and new connections: nothing arrives and nothing
	// fails.
	SilentForth, SilentBack bool
	// Reset breaks open connections and refuses new ones.
	Reset bool
	// Loss is the share of datagrams that are dropped. On a connection, that share of the pieces read is delayed by
	// retransmitAfter.
	Loss float64
	// ResetShare is the share of new connections that are reset at the first byte of their first answer.
	ResetShare float64
}

const (
	pieceBytes    = 32 << 10 // maximum size of a read; a direction queues at most 8 reads, besides the kernel's buffers
	maxHeldPieces = 8
	dialLimit     = 2 * time.Second
	backlog       = 1024
	// retransmitAfter is the shortest time after which Linux retransmits lost data of a connection.
	retransmitAfter = 200 * time.Millisecond
)

// Link carries connections from one party to another.
type Link struct {
	From, To  string
	target    string
	onBegin   func(localAddr string) // called when a connection to the target is open, before any byte passes; nil if nobody observes it
	onRequest func(*http.Request)    // called for each request that the initiator sends; nil if nobody observes them
	onEnd     func(localAddr string) // called when the initiator closes the connection or its sending direction, also on a silent link

	mu            sync.Mutex
	state         State
	changed       chan struct{} // closed and replaced at each change of state
	address       string
	listener      *net.TCPListener
	queueFillers  []net.Conn // connections that keep a silent link's accept queue full, and those accepted just before the silence
	conns         map[*pair]bool
	closed        bool
	acceptedCount int
	done          sync.WaitGroup
}

// pair is a connection of the initiator and the connection to the target that it is forwarded to.
type pair struct {
	in, out       net.Conn
	resetAtAnswer bool // reset both at the first byte of the answer
}

// New opens a link at address that forwards connections to target. onEnd may be nil. It is called with the local address
// of the connection to the target, by which the target knows the connection.
func New(from, to, address, target string, onEnd func(localAddr string)) (*Link, error) {
	l := &Link{From: from, To: to, target: target, onEnd: onEnd, changed: make(chan struct{}), address: address, conns: map[*pair]bool{}}
	if l.onEnd == nil {
		l.onEnd = func(string) {}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l, l.listen()
}

// Address returns the address to which the initiator connects.
func (l *Link) Address() string { return l.address }

// listen opens the listener. The caller holds mu.
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

// accept accepts connections until the listener closes. It pauses while the link is silent.
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

// handle takes over an accepted connection.
func (l *Link) handle(ln *net.TCPListener, c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.listener != ln {
		abort(c)
		return
	}
	if l.state.SilentForth || l.state.SilentBack { // accepted just before the silence: it hangs like later ones
		wasFiller := slices.ContainsFunc(l.queueFillers, func(s net.Conn) bool { return s.LocalAddr().String() == c.RemoteAddr().String() })
		l.queueFillers = append(l.queueFillers, c)
		if wasFiller { // the queue has room again
			_ = l.fillQueue() // after an error, new connections are established, but hang
		}
		return
	}
	p := &pair{in: c}
	l.acceptedCount++
	// The resets are spread evenly, so that a run can be repeated: with a share of 0.125, every 8th connection is reset.
	p.resetAtAnswer = int(float64(l.acceptedCount)*l.state.ResetShare) > int(float64(l.acceptedCount-1)*l.state.ResetShare)
	l.conns[p] = true
	l.done.Add(1)
	go l.carry(p)
}

// Set changes what the link does from now on, also to connections that are open.
func (l *Link) Set(s State) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	previous := l.state
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
	silent, wasSilent := s.SilentForth || s.SilentBack, previous.SilentForth || previous.SilentBack
	switch {
	case l.listener == nil: // the link belongs to a mesh, which listens itself
		for p := range l.conns {
			if s.Reset {
				p.abort()
			}
		}
		return nil
	case s.Reset && !previous.Reset:
		_ = l.listener.Close()
		_ = l.setSilentQueue(false)
		for p := range l.conns {
			p.abort()
		}
		return nil
	case s.Reset:
		return nil
	case previous.Reset:
		if err := l.listen(); err != nil {
			return err
		}
	}
	if silent != (wasSilent && !previous.Reset) {
		return l.setSilentQueue(silent)
	}
	return nil
}

// setSilentQueue makes new connections hang, by keeping the accept queue full, or lets the link accept them again. The caller
// holds mu.
func (l *Link) setSilentQueue(silent bool) error {
	for _, c := range l.queueFillers {
		abort(c) // connections accepted while the link was silent are reset when it works again
	}
	l.queueFillers = nil
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return err
	}
	queueSize := backlog
	if silent {
		queueSize = 0
		// Stops Accept, so that the connection that fills the queue stays in it.
		if err := l.listener.SetDeadline(time.Unix(1, 0)); err != nil {
			return err
		}
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), queueSize) }); err != nil || listenErr != nil {
		if !silent && l.state.Reset {
			return nil // the listener is closed already
		}
		return errors.Join(err, listenErr)
	}
	if !silent {
		return l.listener.SetDeadline(time.Time{})
	}
	return l.fillQueue()
}

// fillQueue fills the accept queue, which holds one connection. The kernel then drops further attempts to connect, and
// the dialling side waits. The caller holds mu.
func (l *Link) fillQueue() error {
	c, err := net.DialTimeout("tcp", l.address, dialLimit)
	if err != nil {
		return fmt.Errorf("link %s to %s: filling its queue: %w", l.From, l.To, err)
	}
	l.queueFillers = append(l.queueFillers, c)
	return nil
}

// awaitSilenceEnd waits while the link is silent. It returns false once the listener ln is no longer in use.
func (l *Link) awaitSilenceEnd(ln *net.TCPListener) bool {
	for {
		l.mu.Lock()
		s, changed, unused := l.state, l.changed, l.closed || l.listener != ln
		l.mu.Unlock()
		switch {
		case unused || s.Reset:
			return false
		case !s.SilentForth && !s.SilentBack:
			return true
		}
		<-changed
	}
}

// Close ends the link and its connections, and waits until they have ended.
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

// current returns the present state, a channel that is closed when it changes, and whether the link is closed.
func (l *Link) current() (State, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed, l.closed
}

// carry forwards a pair's traffic until both directions have ended.
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
	broken := l.closed || l.state.Reset
	l.mu.Unlock()
	if broken {
		p.abort()
		return
	}
	if l.onBegin != nil {
		l.onBegin(out.LocalAddr().String())
	}
	var directions sync.WaitGroup
	directions.Add(2)
	go func() { defer directions.Done(); l.copyDirection(p, true) }()
	go func() { defer directions.Done(); l.copyDirection(p, false) }()
	directions.Wait()
	_ = p.in.Close()
	_ = p.out.Close()
}

// piece is the result of one read. If err is not nil, the direction ends after the data.
type piece struct {
	data     []byte
	received time.Time
	err      error
}

// copyDirection forwards one direction of a pair: initiator to target if forth is set, otherwise target to initiator.
// Reading has its own goroutine, so that the end of the connection is noticed even while the link's state blocks writing,
// which the caller's goroutine does.
func (l *Link) copyDirection(p *pair, forth bool) {
	from, to := p.in, p.out
	if !forth {
		from, to = p.out, p.in
	}
	pieces := make(chan piece, maxHeldPieces)
	var requests *tap
	if forth && l.onRequest != nil {
		requests = newTap(l.onRequest)
	}
	go func() { // ends when from is closed, which abort does after a failed write
		defer close(pieces)
		defer requests.close()
		buf := make([]byte, pieceBytes)
		for {
			n, err := from.Read(buf)
			if err != nil && forth {
				l.onEnd(p.out.LocalAddr().String())
			}
			requests.write(buf[:n])
			pieces <- piece{append([]byte(nil), buf[:n]...), time.Now(), err}
			if err != nil {
				return
			}
		}
	}()
	defer func() {
		for range pieces { // keeps the reader from blocking
		}
	}()
	first, passed := true, 0
	for next := range pieces {
		if !l.awaitRelease(next.received, forth, first, passed) {
			p.abort()
			continue
		}
		if len(next.data) > 0 {
			if !forth && first && p.resetAtAnswer {
				p.abort()
				continue
			}
			first = false
			passed += len(next.data)
			if l.write(to, next.data) != nil {
				p.abort()
				continue
			}
		}
		switch {
		case errors.Is(next.err, io.EOF):
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite() // fails only if the connection has ended already
			}
		case next.err != nil:
			p.abort()
		}
	}
}

// awaitRelease waits until bytes that were received at the given time may be passed on. It returns false once the link is
// closed.
func (l *Link) awaitRelease(received time.Time, forth, first bool, passed int) bool {
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
		remaining := time.Until(received.Add(wait))
		if remaining <= 0 {
			return true
		}
		timer := time.NewTimer(remaining)
		select {
		case <-timer.C:
		case <-changed:
			timer.Stop()
		}
	}
}

// write writes data no faster, and in no larger pieces, than the state allows.
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

// abort resets both connections.
func (p *pair) abort() {
	abort(p.in)
	if p.out != nil {
		abort(p.out)
	}
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // makes Close send a reset; fails only on a closed connection
	}
	_ = c.Close()
}
