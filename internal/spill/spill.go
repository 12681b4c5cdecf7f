// Package spill owns the choice between local and forwarded, by pressure. Pure: no I/O and no clock.
package spill

import "mosslead/internal/peer/api"

// Choice is what becomes of a request.
type Choice int

// The choices.
const (
	Home    Choice = iota // this sidecar's balancer decides, as without peers
	Forward               // to the peer
	Refuse
)

// Weigh adds a pressure's parts up: the fullest one tells, since what is short is what stops the work.
func Weigh(p api.Pressure) api.Pressure {
	p.Total = min(1, max(p.CPU, p.Sockets, p.Heap, p.InHand, p.Site))
	return p
}

// HeaderHop marks a request that came from a peer. It is never forwarded again.
const HeaderHop = "X-Mosslead-Hop"
