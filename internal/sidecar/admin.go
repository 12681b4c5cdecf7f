package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	maxAdminConns       = 12                     // simultaneous connections; their file descriptors are reserved
	maxAdminLine        = 512                    // length of a call in bytes
	adminReadTimeout    = 5 * time.Second        // for reading the line of a call
	adminWriteTimeout   = time.Second            // for writing the answer
	adminTimeout        = 500 * time.Millisecond // time for the dispatcher to apply a ban: a call must be answered within 1 s
	adminLinger         = 100 * time.Millisecond // time for reading bytes in flight: closing while some are unread sends a reset, which can lose the answer
	acceptRetryInterval = 20 * time.Millisecond  // pause after a failed accept, which may be for lack of file descriptors
)

// adminServer serves the operators' port: one call per connection, one line per call.
type adminServer struct {
	listener net.Listener
	queue    *acceptQueue
	ready    func() bool
	stats    func() string
	peers    func() string
	ban      func(id string, cleared bool) error

	mu      sync.Mutex
	waiting []net.Conn // connections whose line has not arrived, the oldest first
	running sync.WaitGroup
	slots   chan struct{} // holds one value for each open connection
}

// newAdminServer returns a server whose calls wait in a queue, which may be nil, until the processor has time for them.
func newAdminServer(l net.Listener, starts *startQueue) *adminServer {
	return &adminServer{listener: l, queue: newAcceptQueue(l, starts, startAdmin), slots: make(chan struct{}, maxAdminConns)}
}

// run accepts connections and serves their calls until close.
func (s *adminServer) run() {
	for {
		c, err := s.queue.accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryInterval)
			continue
		case c == nil:
			continue
		}
		select {
		case s.slots <- struct{}{}:
		default: // all slots are in use: close the connection whose line has been awaited for longest
			s.mu.Lock()
			if len(s.waiting) > 0 {
				_ = s.waiting[0].Close()
				s.waiting = slices.Delete(s.waiting, 0, 1)
			}
			s.mu.Unlock()
			s.slots <- struct{}{} // if no connection was waiting for its line, a slot becomes free once a call is answered, within adminTimeout
		}
		s.mu.Lock()
		s.waiting = append(s.waiting, c)
		s.mu.Unlock()
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			defer func() { <-s.slots }()
			defer func() { _ = c.Close() }()
			s.serve(c)
		}()
	}
}

// close closes the listener and the connections whose line has not arrived, and waits for the calls in progress.
func (s *adminServer) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, c := range s.waiting {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

// serve answers the call of one connection.
func (s *adminServer) serve(c net.Conn) {
	// SetReadDeadline fails only on a closed connection, on which the read then fails too.
	_ = c.SetReadDeadline(time.Now().Add(adminReadTimeout))
	in := bufio.NewScanner(c)
	in.Buffer(make([]byte, maxAdminLine), maxAdminLine)
	ok := in.Scan() // Scan returns true even if the line was ended by an error
	s.mu.Lock()
	s.waiting = slices.DeleteFunc(s.waiting, func(x net.Conn) bool { return x == c })
	s.mu.Unlock()
	var answer string
	switch {
	case errors.Is(in.Err(), bufio.ErrTooLong):
		answer = "NO the line is too long\n"
	case in.Err() != nil || !ok:
		answer = "NO a call is one line, and none came\n"
	default: // the line may also end with the caller's close of its sending side
		answer = s.handle(in.Text())
	}
	_ = c.SetWriteDeadline(time.Now().Add(adminWriteTimeout))
	if _, err := io.WriteString(c, answer); err != nil {
		return // the caller has disconnected
	}
	if conn, ok := c.(interface{ CloseWrite() error }); ok && conn.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(adminLinger))
		_, _ = io.CopyN(io.Discard, c, 16*maxAdminLine)
	}
}

// handle returns the answer to one line.
func (s *adminServer) handle(line string) string {
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return "NO the line is empty\n"
	}
	name, args := fields[0], fields[1:]
	switch name {
	case "READY", "STATS", "PEERS":
		if len(args) > 0 {
			return fmt.Sprintf("NO %s takes nothing more\n", name)
		}
		if name == "PEERS" {
			return s.peers()
		}
		if name == "STATS" {
			return s.stats() + "END\n"
		}
		if !s.ready() {
			return "NO this process takes no clients\n"
		}
		return "YES\n"
	case "DISABLE", "ENABLE":
		if len(args) != 1 {
			return fmt.Sprintf("NO %s takes one id\n", name)
		}
		if err := s.ban(args[0], name == "ENABLE"); err != nil {
			return fmt.Sprintf("NO %v\n", err)
		}
		return "YES\n"
	}
	return fmt.Sprintf("NO no such call: %s\n", quoteShort(name))
}
