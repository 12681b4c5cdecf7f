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
func (p *Gossiper) memberFailed(name, address string) {
	if len(p.departed) < maxDeparted {
		p.departed[name] = departedMember{address, p.now()}
	}
}

// rejoinLoop tries to join departed members until ctx ends. It blocks on connections, and so has a goroutine
// of its own.
func (p *Gossiper) rejoinLoop(ctx context.Context) {
	for {
		wait := time.NewTimer(time.Duration((0.5 + rand.Float64()) * float64(departedRetryInterval)))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return
		}
		if by := p.randomDeparted(); by != "" {
			if _, err := p.list.Join([]string{by}); err != nil {
				slog.Debug("rejoin of a departed member failed", "component", "peers", "peer", by, "err", err)
			}
		}
	}
}

// randomDeparted is the address of a departed member; empty: there is none.
func (p *Gossiper) randomDeparted() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []string
	for name, g := range p.departed {
		if _, back := p.members[name]; back || p.now()-g.at > departedLifetime {
			delete(p.departed, name)
			continue
		}
		all = append(all, g.address)
	}
	if len(all) == 0 {
		return ""
	}
	return all[rand.IntN(len(all))]
}
