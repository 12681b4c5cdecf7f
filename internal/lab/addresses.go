package lab

import (
	"fmt"

	"mosslead/internal/lab/loopback"
)

// addresses lays out the addresses in one laboratory's part of the loopback range.
type addresses struct{ part *loopback.Part }

const (
	sidecarPort          = 9000
	opsPort              = 9800
	agentPort            = 8500
	peerPort             = 7946 // where a sidecar listens for other sidecars
	peerLinkPort         = 7947 // where other sidecars reach peerPort, over links
	forwardPort          = 7948 // where a sidecar listens for forwarded requests
	forwardLinkPort      = 7949 // where other sidecars reach forwardPort, over links
	upstreamPort         = 9000
	firstWindowPort      = 8600 // one port for each replica from here on
	replicaAPIPort       = 7600
	replicaRaftPort      = 7601
	firstReplicaLinkPort = 7700  // two ports for each other replica from here on
	firstLinkPort        = 10000 // one port for each sidecar from here on; below the kernel's ephemeral ports
)

// claimAddresses claims a part of the loopback range that no other laboratory on this machine holds.
func claimAddresses() (*addresses, error) {
	part, err := loopback.Claim()
	if err != nil {
		return nil, err
	}
	return &addresses{part}, nil
}

func (a *addresses) release() { a.part.Release() }

func (a *addresses) host(block, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", a.part.N, block+i/250, i%250+1)
}

func (a *addresses) sidecar(i, port int) string {
	return fmt.Sprintf("%s:%d", a.host(100, i), port)
}

func (a *addresses) replica(i, port int) string { return fmt.Sprintf("%s:%d", a.host(200, i), port) }

// replicaLink returns the address at which one replica reaches the given port of another.
func (a *addresses) replicaLink(from, to, port int) string {
	return a.replica(from, firstReplicaLinkPort+2*to+port-replicaAPIPort)
}

func (a *addresses) upstream(i int) string {
	return fmt.Sprintf("%s:%d", a.host(1, i), upstreamPort)
}

// link returns the address at which a sidecar reaches an upstream.
func (a *addresses) link(sidecar, upstream int) string {
	return fmt.Sprintf("%s:%d", a.host(1, upstream), firstLinkPort+sidecar)
}
