package sidecar

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Clients run on the sidecar's machine, so the kernel knows both ends of their connections. It is asked for the client's end, by
// netlink (sock_diag(7)), since the own end does not show what the client has written and the kernel has not delivered yet.

// Sizes in bytes, and values, of the messages of inet_diag.
const (
	diagRequestSize  = unix.SizeofNlMsghdr + 56 // inet_diag_req_v2
	diagReplySize    = unix.SizeofNlMsghdr + 72 // inet_diag_msg, before the attributes
	diagMaxReplySize = 4 << 10
	diagQueueOffset  = unix.SizeofNlMsghdr + 60 // of idiag_wqueue
	diagInfo         = 2                        // INET_DIAG_INFO: the attribute that holds struct tcp_info
	diagNoCookie     = ^uint32(0)
	diagAllStates    = ^uint32(0)
)

// minTCPInfoSize is the size of struct tcp_info up to Bytes_retrans, in bytes; kernels before 4.19 have less.
const minTCPInfoSize = int(unsafe.Offsetof(unix.TCPInfo{}.Bytes_retrans) + unsafe.Sizeof(unix.TCPInfo{}.Bytes_retrans))

// peerProgress is how far the other end of a connection has come with what it sends, in bytes.
type peerProgress struct {
	written int64 // written since the connection was opened, whether it has arrived or not
	queued  int64 // of these, not acknowledged yet
}

// progressOfPeer asks the kernel for the progress of the other end of a connection. ok is false if the kernel does not tell, for
// example because the other end is on another machine.
func progressOfPeer(c net.Conn) (progress peerProgress, ok bool) {
	local, okLocal := tcpAddress(c.LocalAddr())
	remote, okRemote := tcpAddress(c.RemoteAddr())
	if !okLocal || !okRemote || local.Addr().Is4() != remote.Addr().Is4() {
		return progress, false
	}
	return askForProgress(remote, local)
}

// sinceLastArrival returns how long ago the latest bytes arrived on a connection, as the kernel knows it, to a few milliseconds. It is 0 if
// the kernel does not tell.
func sinceLastArrival(c net.Conn) time.Duration {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	since := time.Duration(0)
	_ = raw.Control(func(fd uintptr) { // fails on a closed connection only
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}

// tcpAddress returns the address of a TCP socket.
func tcpAddress(a net.Addr) (address netip.AddrPort, ok bool) {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return address, false
	}
	address = tcp.AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), address.IsValid()
}

// netlinkSocket is locked while a netlink socket is open, so that there is one at a time: its descriptor is one of fixedSockets.
var netlinkSocket sync.Mutex

// askForProgress asks the kernel for the progress of the socket that has the given addresses, from that socket's view.
func askForProgress(local, remote netip.AddrPort) (progress peerProgress, ok bool) {
	netlinkSocket.Lock()
	defer netlinkSocket.Unlock()
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return progress, false
	}
	defer func() { _ = unix.Close(fd) }()
	kernel := &unix.SockaddrNetlink{Family: unix.AF_NETLINK}
	if err := unix.Sendto(fd, diagRequest(local, remote), 0, kernel); err != nil {
		return progress, false
	}
	reply := make([]byte, diagMaxReplySize)
	n, _, err := unix.Recvfrom(fd, reply, unix.MSG_DONTWAIT) // the kernel has replied by the time Sendto returns
	if err != nil {
		return progress, false
	}
	return parseDiagReply(reply[:n])
}

// diagRequest returns the request for the state of one socket.
func diagRequest(local, remote netip.AddrPort) []byte {
	family := byte(unix.AF_INET)
	if local.Addr().Is6() {
		family = unix.AF_INET6
	}
	native, network := binary.NativeEndian, binary.BigEndian
	p := make([]byte, 0, diagRequestSize)
	p = native.AppendUint32(p, diagRequestSize) // struct nlmsghdr
	p = native.AppendUint16(p, unix.SOCK_DIAG_BY_FAMILY)
	p = native.AppendUint16(p, unix.NLM_F_REQUEST)
	p = append(p, make([]byte, 8)...) // sequence number and port
	p = append(p, family, unix.IPPROTO_TCP, 1<<(diagInfo-1), 0)
	p = native.AppendUint32(p, diagAllStates)
	p = network.AppendUint16(p, local.Port()) // struct inet_diag_sockid
	p = network.AppendUint16(p, remote.Port())
	p = append(p, diagAddress(local.Addr())...)
	p = append(p, diagAddress(remote.Addr())...)
	p = native.AppendUint32(p, 0) // any interface
	p = native.AppendUint32(p, diagNoCookie)
	return native.AppendUint32(p, diagNoCookie)
}

// diagAddress returns an address in the 16 bytes that hold one of either family.
func diagAddress(a netip.Addr) []byte {
	p := make([]byte, 16)
	copy(p, a.AsSlice())
	return p
}

// parseDiagReply returns the progress that a reply states, or false if it is an error or lacks what is needed.
func parseDiagReply(reply []byte) (progress peerProgress, ok bool) {
	if len(reply) < diagReplySize || binary.NativeEndian.Uint16(reply[4:]) != unix.SOCK_DIAG_BY_FAMILY {
		return progress, false
	}
	info, ok := findTCPInfo(reply[diagReplySize:])
	progress.written = int64(info.Bytes_sent) - int64(info.Bytes_retrans) + int64(info.Notsent_bytes)
	progress.queued = int64(binary.NativeEndian.Uint32(reply[diagQueueOffset:]))
	return progress, ok
}

// findTCPInfo returns the attribute INET_DIAG_INFO, or false if it is missing or too short.
func findTCPInfo(attrs []byte) (info unix.TCPInfo, ok bool) {
	for len(attrs) >= unix.SizeofRtAttr {
		length, kind := int(binary.NativeEndian.Uint16(attrs)), binary.NativeEndian.Uint16(attrs[2:])
		if length < unix.SizeofRtAttr || length > len(attrs) {
			return info, false
		}
		if value := attrs[unix.SizeofRtAttr:length]; kind == diagInfo {
			copy(unsafe.Slice((*byte)(unsafe.Pointer(&info)), unsafe.Sizeof(info)), value)
			return info, len(value) >= minTCPInfoSize
		}
		attrs = attrs[min(len(attrs), (length+unix.RTA_ALIGNTO-1)&^(unix.RTA_ALIGNTO-1)):]
	}
	return info, false
}
