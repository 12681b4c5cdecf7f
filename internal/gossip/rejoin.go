package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"
)

// A member that was lost is asked for again: where the links between two halves were cut for long, each has declared the other dead
// and told all of its own so; nobody speaks to the dead but for the library's push/pull, which picks among the present. Without
// this a site cut off for 30 s was missing at all others 11 s after its links were healed, and they at it.
const (
	departedRetryInterval = time.Second      // one of the lost is asked so often, by each member
	departedLifetime      = 10 * time.Minute // and then it is forgotten: a process that comes back joins by itself
	maxDeparted           = 1024             // that are remembered
)

// departedMember is a member that was lost without a word.
type departedMember struct {
	address string
	at      time.Duration
}

// memberFailed remembers a member that went without a word; mu is held.
func (p *Gossiper) memberFailed(name, address string) {
	if len(p.departed) < maxDeparted {
		p.departed[name] = departedMember{address, p.now()}
	}
}

// rejoinLoop looks for lost members until ctx ends. It waits for a stream, and so has a goroutine of its own.
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
				slog.Debug("still lost", "component", "peers", "peer", by, "err", err)
			}
		}
	}
}

// randomDeparted is the address of one of the lost; empty: there are none.
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
