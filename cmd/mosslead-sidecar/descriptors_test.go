package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// reservedDescriptors is the number of descriptors that a process keeps beside those of clients and upstreams, according to
// README; adminDescriptors is the number that an operators' port adds.
const reservedDescriptors, adminDescriptors = 32, 14

// descriptors returns the number of file descriptors that a process has open.
func descriptors(t *testing.T, pid int) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// silentDiscovery starts a discovery that answers no call before resume is called. Then it sends list to every call.
func silentDiscovery(t *testing.T, list string) (address string, calls *atomic.Int32, resume func()) {
	t.Helper()
	l, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	calls = &atomic.Int32{}
	ctx, resume := context.WithCancel(context.Background())
	srv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		select {
		case <-ctx.Done():
			_, _ = fmt.Fprintln(w, list)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		case <-r.Context().Done():
		}
	})}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { resume(); _ = srv.Close() })
	return l.Addr().String(), calls, resume
}

// startUpstream starts an upstream that writes answer for each request; with an empty answer, its requests hang.
func startUpstream(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { // ends when the connection does
				defer func() { _ = c.Close() }()
				for r := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					if _, err := io.WriteString(c, answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against running out of descriptors while idle clients take all that they can get, discovery is silent and operators
// hold connections open. If, in addition, more requests hang than there are descriptors for clients, the process stays
// within its limit, the descriptors that it reserves for itself are enough, and after SIGHUP it can open its configuration
// file. With idle clients alone, a new client is served within a second after discovery answers again. The second is not
// tested with requests that hang, because then the balancer decides which requests are admitted.
func TestIdleClientsTakeEveryDescriptor(t *testing.T) {
	for name, hanging := range map[string]bool{"with requests that hang": true, "alone": false} {
		t.Run(name, func(t *testing.T) { testIdleClients(t, hanging) })
	}
}

func testIdleClients(t *testing.T, hanging bool) {
	const limit = 256
	hangingUpstream, servingUpstream := startUpstream(t, ""), startUpstream(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	entry := `{"name":%q,"address":%q,"status":"Ready"}`
	discovery, calls, resume := silentDiscovery(t, `{"index":2,"snapshot":true,"endpoints":[`+fmt.Sprintf(entry, "serves", servingUpstream)+`]}`)
	var known []string
	for i := range 100 { // enough that connections to them take all descriptors for upstreams before the balancer stops using them
		known = append(known, fmt.Sprintf(entry, fmt.Sprint("hangs-", i), hangingUpstream))
	}
	address, adminAddress, path := freeAddress(t), freeAddress(t), filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"ops":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":32,"sockets":%d},
		"known":{"index":1,"snapshot":true,"endpoints":[%s]},"settings":%s}`, address, adminAddress, discovery, limit,
		strings.Join(known, ","), strings.Replace(settings, `"ask"`, `"push"`, 1))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var stderr logBuffer
	cmd := startMain(t, path, address, &stderr)
	wait := func(what string, ok func() bool) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("timeout after 20s, want: %s", what)
			}
		}
	}
	for range 12 {
		c, err := net.Dial("tcp", adminAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	wait("two watches, and a third that replaces one of them", func() bool { return calls.Load() >= 3 })
	http.DefaultClient.CloseIdleConnections()
	maxOpen := descriptors(t, cmd.Process.Pid)
	t.Logf("%d descriptors without clients", maxOpen)
	if maxOpen > reservedDescriptors+adminDescriptors {
		t.Errorf("without clients: got %d descriptors, want at most the %d reserved", maxOpen, reservedDescriptors+adminDescriptors)
	}

	// connectRepeatedly starts n clients, each of which connects again and again and calls use, until stop is called.
	connectRepeatedly := func(n int, use func(c net.Conn)) (stop func()) {
		ctx, cancel := context.WithCancel(context.Background())
		var clients sync.WaitGroup
		for range n {
			clients.Go(func() {
				for ctx.Err() == nil {
					if c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address); err == nil {
						cancelClose := context.AfterFunc(ctx, func() { _ = c.Close() })
						use(c)
						cancelClose()
						_ = c.Close()
					}
					select { // without a pause the clients would use too much CPU
					case <-ctx.Done():
					case <-time.After(20 * time.Millisecond):
					}
				}
			})
		}
		return func() { cancel(); clients.Wait() }
	}
	stopIdle := connectRepeatedly(300, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }) // each holds its connection until it is closed
	defer stopIdle()
	var ids atomic.Int64
	if hanging {
		stopHanging := connectRepeatedly(limit/2, func(c net.Conn) {
			_, _ = fmt.Fprintf(c, "GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: %016x\r\nX-Timeout: 1500m\r\n\r\n", ids.Add(1))
			_, _ = bufio.NewReader(c).ReadString('\n')
		})
		defer stopHanging()
	}
	reloads := 0
	// This takes at least two seconds; a busy machine may need longer until all available descriptors are taken.
	begun := time.Now()
	allTaken := func() bool { return !hanging || maxOpen >= limit-reservedDescriptors }
	for ; time.Since(begun) < 2*time.Second || !allTaken() && time.Since(begun) < 20*time.Second; time.Sleep(5 * time.Millisecond) {
		if n := descriptors(t, cmd.Process.Pid); n > maxOpen {
			maxOpen = n
		}
		if reloads++; reloads%20 == 0 {
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
	}
	t.Logf("at most %d descriptors", maxOpen)
	if maxOpen > limit {
		t.Errorf("got %d descriptors, want at most %d", maxOpen, limit)
	}
	if !allTaken() {
		t.Errorf("got at most %d descriptors, want at least %d: all that are not reserved", maxOpen, limit-reservedDescriptors)
	}
	if log := stderr.String(); strings.Contains(log, reloadRejected) || strings.Contains(log, "too many open files") {
		t.Errorf("got log %s, want no rejected reload and no lack of descriptors", log)
	}
	if hanging {
		return
	}
	resumedAt := time.Now()
	resume()
	wait("a request is served", func() bool {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second)) // if this fails, the read fails too
		_, _ = fmt.Fprintf(c, "GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: %016x\r\nX-Timeout: 1500m\r\n\r\n", ids.Add(1))
		line, _ := bufio.NewReader(c).ReadString('\n')
		return strings.HasPrefix(line, "HTTP/1.1 200")
	})
	elapsed := time.Since(resumedAt)
	t.Logf("served %v after discovery answered again", elapsed)
	// The limit is one second, which TestIdleClientsDelayNobody of package sidecar checks on a fake clock. Here two more seconds are
	// allowed for a busy machine: a request that comes before the list goes to an upstream that hangs, and to the other upstream
	// a second later.
	if elapsed > time.Second+2*time.Second {
		t.Errorf("served %v after discovery answered again, want at most 3s", elapsed)
	}
	stopIdle()
	terminate(t, cmd)
}
