package sidecar

import (
	"context"
	"net"
	"time"
)

// dialer opens connections to upstreams and to discovery; nil is the machine's network. Tests put one in memory in its place.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// within gives a connection that long to come up.
func (d dialer) within(ctx context.Context, most time.Duration, network, address string) (net.Conn, error) {
	if d == nil {
		return (&net.Dialer{Timeout: most}).DialContext(ctx, network, address)
	}
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	return d(ctx, network, address)
}
