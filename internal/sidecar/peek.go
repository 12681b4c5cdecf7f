package sidecar

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// pending tells what has come on a connection without reading it: bytes, and the other side's end, which may stand behind
// bytes that nobody has read. A read tells of an end only once all before it is read, and its goroutine may be late.
func pending(c net.Conn) (bytes, end bool) {
	if m, ok := c.(interface{ Pending() (bytes, end bool) }); ok { // a network in memory
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
	closed := raw.Control(func(fd uintptr) {
		for {
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
			if _, err := unix.Poll(fds, 0); errors.Is(err, unix.EINTR) {
				continue
			}
			end = fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
			bytes = fds[0].Revents&unix.POLLIN != 0 && !end // an end is readable, too
			return
		}
	})
	return bytes, end || closed != nil
}
