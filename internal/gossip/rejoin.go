package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"
)

// Departed members are tried again. When the links between two halves were cut for long, each half has
// declared the other dead and told its own members so; and nobody speaks to dead members but for the
// library's push/pull, which picks among the present ones. Without this, a site that was cut off for 30 s was
// still missing at the others 11 s after its links were healed.
const (
	departedRetryInterval = time.Second      // one departed member is tried this often, by each member
	departedLifetime      = 10 * time.Minute // a departed member is forgotten after this: a process that comes back joins by itself
	maxDeparted           = 1024             // that are remembered
)

// departedMember is a member that failed.
type departedMember struct {
	address string
	at      time.Duration
}

// memberFailed remembers a member that failed; mu is held.
func (g *Gossiper) memberFailed(name, address string) {
	if len(g.departed) < maxDeparted {
		g.departed[name] = departedMember{address, g.now()}
	}
}

// rejoinLoop tries to join departed members until ctx ends. It blocks on connections, and so has a goroutine
// of its own.
func (g *Gossiper) rejoinLoop(ctx context.Context) {
	for {
		wait := time.NewTimer(time.Duration((0.5 + rand.Float64()) * float64(departedRetryInterval)))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return
		}
		if by := g.randomDeparted(); by != "" {
			if _, err := g.list.Join([]string{by}); err != nil {
				slog.Debug("rejoin of a departed member failed", "component", "peers", "peer", by, "err", err)
			}
		}
	}
}

// randomDeparted is the address of a departed member; empty: there is none.
func (g *Gossiper) randomDeparted() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []string
	for name, member := range g.departed {
		if _, back := g.members[name]; back || g.now()-member.at > departedLifetime {
			delete(g.departed, name)
			continue
		}
		all = append(all, member.address)
	}
	if len(all) == 0 {
		return ""
	}
	return all[rand.IntN(len(all))]
}
