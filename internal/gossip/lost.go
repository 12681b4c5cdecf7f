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
	lostAsk  = time.Second      // one of the lost is asked so often, by each member
	lostFor  = 10 * time.Minute // and then it is forgotten: a process that comes back joins by itself
	lostMost = 1024             // that are remembered
)

// gone is a member that was lost without a word.
type gone struct {
	address string
	at      time.Duration
}

// lose remembers a member that went without a word; mu is held.
func (p *Carrier) lose(name, address string) {
	if len(p.lost) < lostMost {
		p.lost[name] = gone{address, p.now()}
	}
}

// askLost looks for lost members until ctx ends. It waits for a stream, and so has a goroutine of its own.
func (p *Carrier) askLost(ctx context.Context) {
	for {
		wait := time.NewTimer(time.Duration((0.5 + rand.Float64()) * float64(lostAsk)))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return
		}
		if by := p.someLost(); by != "" {
			if _, err := p.list.Join([]string{by}); err != nil {
				slog.Debug("still lost", "component", "peers", "peer", by, "err", err)
			}
		}
	}
}

// someLost is the address of one of the lost; empty: there are none.
func (p *Carrier) someLost() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []string
	for name, g := range p.lost {
		if _, back := p.members[name]; back || p.now()-g.at > lostFor {
			delete(p.lost, name)
			continue
		}
		all = append(all, g.address)
	}
	if len(all) == 0 {
		return ""
	}
	return all[rand.IntN(len(all))]
}
