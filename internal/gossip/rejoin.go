package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"
)

// Departed members are joined again. If the links between two halves of the fleet are cut for long, each half
// declares the other dead, and the library no longer contacts dead members: its push/pull picks among the
// present ones. Without rejoining, a site that was cut off for 30 s was still missing at the other sites 11 s
// after its links were restored.
const (
	departedRetryInterval = time.Second      // mean interval at which each member tries to join one departed member
	departedLifetime      = 10 * time.Minute // time until a departed member is forgotten; a process that restarts joins by itself
	maxDeparted           = 1024             // departed members that are remembered
)

// departedMember is a member that failed.
type departedMember struct {
	address string
	at      time.Duration // when it failed
}

// memberFailed records a member that failed. The caller holds mu.
func (g *Gossiper) memberFailed(name, address string) {
	if len(g.departed) < maxDeparted {
		g.departed[name] = departedMember{address, g.now()}
	}
}

// rejoinLoop tries to join departed members until ctx ends. It has its own goroutine, since it blocks on
// connections.
func (g *Gossiper) rejoinLoop(ctx context.Context) {
	for {
		timer := time.NewTimer(time.Duration((0.5 + rand.Float64()) * float64(departedRetryInterval)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if address := g.randomDeparted(); address != "" {
			if _, err := g.list.Join([]string{address}); err != nil {
				slog.Debug("rejoin of a departed member failed", "component", "peers", "peer", address, "err", err)
			}
		}
	}
}

// randomDeparted returns the address of a random departed member, or "" if there is none.
func (g *Gossiper) randomDeparted() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for name, member := range g.departed {
		if _, present := g.members[name]; present || g.now()-member.at > departedLifetime {
			delete(g.departed, name)
			continue
		}
		addresses = append(addresses, member.address)
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}
