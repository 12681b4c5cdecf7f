package leases

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"mosslead/internal/lease"
	"mosslead/internal/registry/client"
)

const (
	dutyName    = "lab/duty"
	actInterval = 20 * time.Millisecond
	actDelay    = 5 * time.Millisecond // between the look and the act: a stop lands there now and then
	actTimeout  = 500 * time.Millisecond
	startDelay  = 200 * time.Millisecond // of a candidate's first call
)

// clock is the machine's monotonic clock, which all of its processes read alike.
func clock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // the kernel has had it for twenty years
	}
	return time.Duration(t.Nano())
}

// Candidate is a process that wants the duty and acts under it, until ctx ends. What it began and what it was told it writes to
// journal, a line each.
type Candidate struct {
	Service string // addresses of the replicas
	Target  string // who is acted upon
	Holder  string
	Number  uint64 // begins the values that it writes: unlike any other's
	Lease   time.Duration
}

// Run is the process.
func (c Candidate) Run(ctx context.Context, journal io.Writer) error {
	all, err := client.Addresses(c.Service)
	if err != nil {
		return fmt.Errorf("service: %w", err)
	}
	service := client.New(all)
	defer service.Close()
	r := lease.NewRunner(service, lease.Config{Name: dutyName, Holder: c.Holder, Lease: c.Lease, StartDelay: startDelay}, func(lease.Action) {})
	r.Campaign(true, 0)
	var running sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	defer running.Wait()
	var conn *targetConn
	defer func() { conn.close() }()
	tick := time.NewTicker(actInterval)
	defer tick.Stop()
	for value := c.Number << 32; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		looked := clock()
		epoch, ok := r.Holds(time.Now())
		if !ok {
			continue
		}
		value++
		_, _ = fmt.Fprintf(journal, "act %d %d %d\n", value, epoch, looked)
		time.Sleep(actDelay)
		if conn == nil {
			if conn, err = dial(c.Target); err != nil {
				continue
			}
		}
		taken, before, err := conn.act(c.Holder, epoch, value)
		if err != nil {
			conn.close()
			conn = nil
			continue
		}
		_, _ = fmt.Fprintf(journal, "heard %d %d %v %d\n", value, clock(), taken, before)
	}
}

// targetConn is a connection to the one that is acted upon: a line for each act, and a line back.
type targetConn struct {
	net.Conn
	in *bufio.Reader
}

func dial(at string) (*targetConn, error) {
	conn, err := net.DialTimeout("tcp", at, actTimeout)
	if err != nil {
		return nil, err
	}
	return &targetConn{conn, bufio.NewReaderSize(conn, 256)}, nil
}

func (l *targetConn) close() {
	if l != nil {
		_ = l.Close()
	}
}

var errAnswer = errors.New("no answer to an act")

func (l *targetConn) act(holder string, epoch, value uint64) (taken bool, before uint64, err error) {
	_ = l.SetDeadline(time.Now().Add(actTimeout))
	if _, err := fmt.Fprintf(l, "%s %d %d\n", holder, epoch, value); err != nil {
		return false, 0, err
	}
	line, err := l.in.ReadSlice('\n')
	if err != nil {
		return false, 0, err
	}
	var word string
	if _, err := fmt.Sscan(strings.TrimSpace(string(line)), &word, &before); err != nil || word != "ok" && word != "no" {
		return false, 0, errAnswer
	}
	return word == "ok", before, nil
}
