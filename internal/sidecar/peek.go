package sidecar

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// pending reports, without reading, whether bytes have arrived on a connection, and whether the other side has closed it,
// maybe behind unread bytes. A read would report the close only after those bytes, and perhaps late.
func pending(c net.Conn) (bytes, end bool) {
	if m, ok := c.(interface{ Pending() (bytes, end bool) }); ok { // a connection of an in-memory network
		return m.Pending()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false, false
	}
	closed := raw.Control(func(fd uintptr) { bytes, end = poll(int(fd)) })
	return bytes, end || closed != nil
}

// poll is pending for a socket.
func poll(fd int) (bytes, end bool) {
	for {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		if _, err := unix.Poll(fds, 0); errors.Is(err, unix.EINTR) {
			continue
		}
		end = fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		bytes = fds[0].Revents&unix.POLLIN != 0 && !end // a closed connection is also readable
		return bytes, end
	}
}

// hasEnded reports whether the other side has closed a connection.
func hasEnded(c net.Conn) bool {
	_, end := pending(c)
	return end
}

// unread returns how many bytes have arrived on a connection and have not been read. If there are some and the system does not
// report their number, it returns 1.
func unread(c net.Conn) int64 {
	if bytes, _ := pending(c); !bytes {
		return 0
	}
	n := 0
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }) // n stays 0 if either fails
		}
	}
	return int64(max(n, 1))
}
