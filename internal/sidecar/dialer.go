package sidecar

import (
	"context"
	"net"
	"time"
)

// dialer opens connections to upstreams and to discovery; nil is the machine's network. Tests put one in memory in its place.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// withSourceHost has connections leave from the host of that address, as gossip's do, so that what stands between the sidecars knows
// who sends; where the host is no address of one interface, the machine chooses.
func (d dialer) withSourceHost(address string) dialer {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if d != nil || err != nil || ip == nil || ip.IsUnspecified() {
		return d
	}
	return (&net.Dialer{LocalAddr: &net.TCPAddr{IP: ip}}).DialContext
}

// dialTimeout gives a connection that long to come up.
func (d dialer) dialTimeout(ctx context.Context, bound time.Duration, network, address string) (net.Conn, error) {
	if d == nil {
		return (&net.Dialer{Timeout: bound}).DialContext(ctx, network, address)
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	return d(ctx, network, address)
}
