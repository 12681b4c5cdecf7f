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
	maxAdminConns       = 12                     // callers at once; their descriptors are set aside
	maxAdminLine        = 512                    // bytes in a call; an id is a short word
	adminReadTimeout    = 5 * time.Second        // for a line: longer than callers are known to hold a connection without one
	adminWriteTimeout   = time.Second            // for a caller to take its answer
	adminTimeout        = 500 * time.Millisecond // for the loop to take a ban in: an answer is owed in 1 s
	adminLinger         = 100 * time.Millisecond // for what a caller still sends, so that its answer is not lost to a reset
	acceptRetryInterval = 20 * time.Millisecond  // after an accept that failed, for want of descriptors, say
)

// adminServer is the operators' port: one call a connection, one line a call.
type adminServer struct {
	listener net.Listener
	ready    func() bool
	stats    func() string
	peers    func() string
	ban      func(id string, cleared bool) error

	mu      sync.Mutex
	waiting []net.Conn // that have not sent their line yet, the oldest first
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
		default: // full: the caller that has been silent for longest is evicted
			d.mu.Lock()
			if len(d.waiting) > 0 {
				_ = d.waiting[0].Close()
				d.waiting = slices.Delete(d.waiting, 0, 1)
			}
			d.mu.Unlock()
			d.slots <- struct{}{} // the others answer within adminTimeout
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

// close ends the listener and all callers.
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
	// Deadlines can't fail on an open connection; on one that gave way the read shows it.
	_ = c.SetReadDeadline(time.Now().Add(adminReadTimeout))
	in := bufio.NewScanner(c)
	in.Buffer(make([]byte, maxAdminLine), maxAdminLine)
	came := in.Scan() // also on the part of a line that came before an error
	d.mu.Lock()
	d.waiting = slices.DeleteFunc(d.waiting, func(x net.Conn) bool { return x == c })
	d.mu.Unlock()
	var answer string
	switch {
	case errors.Is(in.Err(), bufio.ErrTooLong):
		answer = "NO the line is too long\n"
	case in.Err() != nil || !came:
		answer = "NO a call is one line, and none came\n"
	default: // also where the caller ended its sending with its last line
		answer = d.handle(in.Text())
	}
	_ = c.SetWriteDeadline(time.Now().Add(adminWriteTimeout))
	if _, err := io.WriteString(c, answer); err != nil {
		return // the caller has gone
	}
	if half, ok := c.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(adminLinger))
		_, _ = io.CopyN(io.Discard, c, 16*maxAdminLine)
	}
}

// handle answers one line.
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
