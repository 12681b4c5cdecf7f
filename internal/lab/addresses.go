package lab

import (
	"fmt"

	"mosslead/internal/lab/loopback"
)

// addresses is the layout of a part of the loopback range that belongs to one laboratory of this machine.
type addresses struct{ part *loopback.Part }

const (
	sidecarPort          = 9000
	opsPort              = 9800
	agentPort            = 8500
	peerPort             = 7946 // where a sidecar takes part among the others
	peerLinkPort         = 7947 // and where the others reach it
	forwardPort          = 7948 // where a sidecar takes what others forward
	forwardLinkPort      = 7949 // and where the others reach it
	upstreamPort         = 9000
	firstWindowPort      = 8600 // and up, one for each replica
	replicaAPIPort       = 7600
	replicaRaftPort      = 7601
	firstReplicaLinkPort = 7700  // and up, two for each other replica
	firstLinkPort        = 10000 // and up, one for each sidecar; below the ports that the kernel gives out by itself
)

// claimAddresses finds a part that no other laboratory holds.
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

// replicaLink is where a replica finds another one's log, or its answers.
func (a *addresses) replicaLink(from, to, port int) string {
	return a.replica(from, firstReplicaLinkPort+2*to+port-replicaAPIPort)
}

func (a *addresses) upstream(i int) string {
	return fmt.Sprintf("%s:%d", a.host(1, i), upstreamPort)
}

// link is where a sidecar finds an upstream.
func (a *addresses) link(sidecar, upstream int) string {
	return fmt.Sprintf("%s:%d", a.host(1, upstream), firstLinkPort+sidecar)
}
