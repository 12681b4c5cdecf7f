package sidecar

import (
	"context"
	"net"
	"time"
)

// dialer opens connections to upstreams and to discovery. nil dials over the machine's network; tests use one in memory.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// withSourceHost returns a dialer whose connections have the host of address as their source, like those of gossip, so that
// devices between the sidecars can identify the sender. It returns d if the host is not an IP address or is an unspecified
// one, such as 0.0.0.0, and also if d is set.
func (d dialer) withSourceHost(address string) dialer {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if d != nil || err != nil || ip == nil || ip.IsUnspecified() {
		return d
	}
	return (&net.Dialer{LocalAddr: &net.TCPAddr{IP: ip}}).DialContext
}

// dialTimeout opens a connection, and fails if that takes longer than timeout.
func (d dialer) dialTimeout(ctx context.Context, timeout time.Duration, network, address string) (net.Conn, error) {
	if d == nil {
		return (&net.Dialer{Timeout: timeout}).DialContext(ctx, network, address)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d(ctx, network, address)
}
