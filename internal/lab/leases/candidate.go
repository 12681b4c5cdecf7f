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
	actDelay    = 5 * time.Millisecond // wait between the check of the lease and the act, so that some stops of the process fall in between
	actTimeout  = 500 * time.Millisecond
	startDelay  = 200 * time.Millisecond // upper bound of the wait before a candidate's first call
)

// clock returns the time of the machine's monotonic clock, which is the same for all its processes.
func clock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // can't happen, as every kernel of the last twenty years has this clock
	}
	return time.Duration(t.Nano())
}

// Candidate is a process that campaigns for the duty and acts under it. It writes a line to its journal for each act that it begins and
// each answer that it gets.
type Candidate struct {
	Service string // addresses of the replicas
	Target  string // address of the target of its acts
	Holder  string
	Number  uint64 // upper 32 bits of the values that it writes; unique among candidates
	Lease   time.Duration
}

// Run campaigns and acts until ctx ends.
func (c Candidate) Run(ctx context.Context, journal io.Writer) error {
	addresses, err := client.Addresses(c.Service)
	if err != nil {
		return fmt.Errorf("service: %w", err)
	}
	service := client.New(addresses)
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

// targetConn is a connection to the target. Each act is a line, and so is its answer.
type targetConn struct {
	net.Conn
	in *bufio.Reader
}

func dial(address string) (*targetConn, error) {
	conn, err := net.DialTimeout("tcp", address, actTimeout)
	if err != nil {
		return nil, err
	}
	return &targetConn{conn, bufio.NewReaderSize(conn, 256)}, nil
}

func (c *targetConn) close() {
	if c != nil {
		_ = c.Close()
	}
}

var errAnswer = errors.New("no answer to an act")

// act sends an act and reads its answer: whether it was accepted, and the value that it replaced.
func (c *targetConn) act(holder string, epoch, value uint64) (taken bool, before uint64, err error) {
	_ = c.SetDeadline(time.Now().Add(actTimeout))
	if _, err := fmt.Fprintf(c, "%s %d %d\n", holder, epoch, value); err != nil {
		return false, 0, err
	}
	line, err := c.in.ReadSlice('\n')
	if err != nil {
		return false, 0, err
	}
	var word string
	if _, err := fmt.Sscan(strings.TrimSpace(string(line)), &word, &before); err != nil || word != "ok" && word != "no" {
		return false, 0, errAnswer
	}
	return word == "ok", before, nil
}
