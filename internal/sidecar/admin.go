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
	maxAdminConns       = 12                     // callers at once; their file descriptors are reserved
	maxAdminLine        = 512                    // bytes of a call
	adminReadTimeout    = 5 * time.Second        // for the line of a call
	adminWriteTimeout   = time.Second            // for the answer
	adminTimeout        = 500 * time.Millisecond // for the dispatcher to apply a ban: a call must be answered within 1 s
	adminLinger         = 100 * time.Millisecond // for bytes still in flight, so that a reset does not lose the answer
	acceptRetryInterval = 20 * time.Millisecond  // after a failed accept, as for lack of file descriptors
)

// adminServer serves the operators' port: one call per connection, one line per call.
type adminServer struct {
	listener net.Listener
	ready    func() bool
	stats    func() string
	peers    func() string
	ban      func(id string, cleared bool) error

	mu      sync.Mutex
	waiting []net.Conn // connections whose line has not arrived, the oldest first
	running sync.WaitGroup
	slots   chan struct{} // one for each caller
}

func newAdminServer(l net.Listener) *adminServer {
	return &adminServer{listener: l, slots: make(chan struct{}, maxAdminConns)}
}

// run serves callers until close.
func (d *adminServer) run() {
	for {
		c, err := d.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		select {
		case d.slots <- struct{}{}:
		default: // full: the caller that has waited for longest is evicted
			d.mu.Lock()
			if len(d.waiting) > 0 {
				_ = d.waiting[0].Close()
				d.waiting = slices.Delete(d.waiting, 0, 1)
			}
			d.mu.Unlock()
			d.slots <- struct{}{} // the other calls are answered within adminTimeout
		}
		d.mu.Lock()
		d.waiting = append(d.waiting, c)
		d.mu.Unlock()
		d.running.Add(1)
		go func() {
			defer d.running.Done()
			defer func() { <-d.slots }()
			defer func() { _ = c.Close() }()
			d.serve(c)
		}()
	}
}

// close closes the listener and the connections of all callers.
func (d *adminServer) close() {
	_ = d.listener.Close()
	d.mu.Lock()
	for _, c := range d.waiting {
		_ = c.Close()
	}
	d.mu.Unlock()
	d.running.Wait()
}

func (d *adminServer) serve(c net.Conn) {
	// It fails on a closed connection only, as the read then does.
	_ = c.SetReadDeadline(time.Now().Add(adminReadTimeout))
	in := bufio.NewScanner(c)
	in.Buffer(make([]byte, maxAdminLine), maxAdminLine)
	came := in.Scan() // also true for the part of a line before an error
	d.mu.Lock()
	d.waiting = slices.DeleteFunc(d.waiting, func(x net.Conn) bool { return x == c })
	d.mu.Unlock()
	var answer string
	switch {
	case errors.Is(in.Err(), bufio.ErrTooLong):
		answer = "NO the line is too long\n"
	case in.Err() != nil || !came:
		answer = "NO a call is one line, and none came\n"
	default: // also if the caller closed its sending side after the line
		answer = d.handle(in.Text())
	}
	_ = c.SetWriteDeadline(time.Now().Add(adminWriteTimeout))
	if _, err := io.WriteString(c, answer); err != nil {
		return // the caller has disconnected
	}
	if half, ok := c.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(adminLinger))
		_, _ = io.CopyN(io.Discard, c, 16*maxAdminLine)
	}
}

// handle returns the answer to one line.
func (d *adminServer) handle(line string) string {
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
			return d.peers()
		}
		if name == "STATS" {
			return d.stats() + "END\n"
		}
		if !d.ready() {
			return "NO this process takes no clients\n"
		}
		return "YES\n"
	case "DISABLE", "ENABLE":
		if len(args) != 1 {
			return fmt.Sprintf("NO %s takes one id\n", name)
		}
		if err := d.ban(args[0], name == "ENABLE"); err != nil {
			return fmt.Sprintf("NO %v\n", err)
		}
		return "YES\n"
	}
	return fmt.Sprintf("NO no such call: %s\n", quoteShort(name))
}
