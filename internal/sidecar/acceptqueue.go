package sidecar

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxEndedInRow is how many connections whose clients have left are closed in a row, before other work gets its turn.
const maxEndedInRow = 8

// acceptQueue accepts the connections that wait in the kernel's queue of a listener, each once the processor has time for it. While it has
// not, connections whose clients have left are closed before they cost more than that: clients that connect and leave at full speed would
// otherwise keep the connections behind theirs waiting. It is used by one goroutine.
type acceptQueue struct {
	listener net.Listener
	starts   *startQueue // nil if nothing waits
	class    startClass
	raw      syscall.RawConn // of the listener; nil if it is not supported
	emptyAt  time.Time       // the latest time at which the queue is known to have been empty
}

func newAcceptQueue(l net.Listener, starts *startQueue, class startClass) *acceptQueue {
	q := &acceptQueue{listener: l, starts: starts, class: class, emptyAt: time.Now()}
	if tcp, ok := l.(*net.TCPListener); ok {
		q.raw, _ = tcp.SyscallConn() // stays nil if it fails
	}
	return q
}

// accept returns the next connection. It returns nil without an error if it has closed connections instead.
func (q *acceptQueue) accept() (net.Conn, error) {
	if q.starts.isBusy() {
		conn, more := q.next()
		if conn != nil || more {
			return q.awaitStart(conn), nil
		}
	}
	askedAt := time.Now()
	conn, err := q.listener.Accept()
	if err != nil {
		return nil, err
	}
	if now := time.Now(); now.Sub(askedAt) >= startInterval { // the queue was empty
		q.emptyAt = now
	}
	return q.awaitStart(conn), nil
}

// awaitStart waits until the processor has time for a connection, which may be nil. It returns nil if its client has left meanwhile.
func (q *acceptQueue) awaitStart(conn net.Conn) net.Conn {
	waited := q.starts.await(q.class)
	if conn != nil && waited > 0 && q.dropsEnded() && hasEnded(conn) {
		_ = conn.Close()
		return nil
	}
	return conn
}

// dropsEnded reports whether a connection is closed whose client has closed its sending side. Operators' tools may do so after a call, and
// wait for its answer.
func (q *acceptQueue) dropsEnded() bool { return q.class != startAdmin }

// next returns the next connection whose client has not left, without blocking, and nil if there is none. more reports that it has closed
// maxEndedInRow others instead, and that there may be more.
func (q *acceptQueue) next() (conn net.Conn, more bool) {
	if q.raw == nil || !q.dropsEnded() {
		return nil, false
	}
	accepted, ended := -1, 0
	_ = q.raw.Control(func(listener uintptr) { // fails on a closed listener only, which Accept notices
		for accepted < 0 && ended < maxEndedInRow {
			fd, _, err := unix.Accept4(int(listener), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch {
			case errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED):
				ended++
			case errors.Is(err, unix.EAGAIN):
				q.emptyAt = time.Now()
				return
			case err != nil: // Accept reports it
				return
			case hasEndedFD(fd):
				_ = unix.Close(fd)
				ended++
			default:
				accepted = fd
			}
		}
	})
	if accepted < 0 {
		return nil, ended == maxEndedInRow
	}
	file := os.NewFile(uintptr(accepted), "client")
	conn, err := net.FileConn(file)
	_ = file.Close() // conn has a descriptor of its own
	if err != nil {
		logWarning(componentClients, "using an accepted connection failed", err)
		q.raw = nil // Accept does without it
		return nil, false
	}
	return conn, false
}

// hasEndedFD reports whether the other side has closed a connection.
func hasEndedFD(fd int) bool {
	_, end := poll(fd)
	return end
}
