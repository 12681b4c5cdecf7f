// Package peer owns who else is there, on hashicorp/memberlist, and the carrier of what sidecars share.
package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"mosslead/internal/peer/api"
	"mosslead/internal/ring"
)

const (
	heardMost     = 1024                   // records that wait for the parts
	sweepEvery    = time.Second            // of what has lapsed
	leavePatience = 500 * time.Millisecond // for the others to hear that this one leaves
	rejoinEvery   = 5 * time.Second        // while nobody else is there
)

// Config is what a carrier begins with.
type Config struct {
	Member    api.Member           // this process
	Address   string               // host:port, for UDP and TCP
	Seeds     []string             // host:port of members to join by; none need be there
	Transport memberlist.Transport // nil: sockets at Address
}

// Carrier is one process among the members. Safe for concurrent use.
type Carrier struct {
	self  api.Member
	list  *memberlist.Memberlist
	queue *memberlist.TransmitLimitedQueue
	heard *ring.Ring[api.Key, api.Record]
	start time.Time
	seeds []string

	mu      sync.Mutex
	seq     uint64
	records *store
	members map[string]api.Member // who is present, this one too
	stop    context.CancelFunc
	done    chan struct{}
}

// Join begins to take part. It does not wait for the others: it goes on asking the seeds while nobody else is there. An error
// says why the address can't be used.
func Join(c Config) (*Carrier, error) {
	host, port, err := net.SplitHostPort(c.Address)
	if err != nil {
		return nil, fmt.Errorf("address: %w", err)
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("address: port %q: %w", port, err)
	}
	p := &Carrier{self: c.Member, heard: ring.New[api.Key, api.Record](heardMost), start: time.Now(), records: newStore(),
		seeds:   slices.DeleteFunc(slices.Clone(c.Seeds), func(s string) bool { return s == c.Address }),
		members: map[string]api.Member{c.Member.Name: c.Member}, done: make(chan struct{})}
	conf := memberlist.DefaultLANConfig()
	conf.Name, conf.BindAddr, conf.BindPort, conf.AdvertisePort = c.Member.Name, host, int(number), int(number)
	conf.Transport, conf.LogOutput, conf.Logger = c.Transport, io.Discard, nil
	conf.Delegate, conf.Events, conf.Conflict = (*delegate)(p), (*events)(p), (*conflict)(p)
	conf.GossipInterval, conf.ProbeInterval = 100*time.Millisecond, 500*time.Millisecond
	p.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: 3, NumNodes: p.Present}
	if p.list, err = memberlist.Create(conf); err != nil {
		return nil, fmt.Errorf("taking part at %s: %w", c.Address, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go p.run(ctx)
	return p, nil
}

// run joins, and sweeps, until ctx ends.
func (p *Carrier) run(ctx context.Context) {
	defer close(p.done)
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	join := time.NewTimer(0)
	defer join.Stop()
	for {
		select {
		case <-join.C:
			if p.Present() < 2 && len(p.seeds) > 0 {
				if _, err := p.list.Join(p.seeds); err != nil {
					slog.Debug("nobody to join by", "component", "peer", "err", err)
				}
			}
			join.Reset(rejoinEvery)
		case <-sweep.C:
			p.mu.Lock()
			p.records.sweep(p.now())
			p.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

func (p *Carrier) now() time.Duration { return time.Since(p.start) }

// Address is where this process takes part.
func (p *Carrier) Address() string { return p.list.LocalNode().Address() }

// Leave tells the others that this process goes, and ends its part.
func (p *Carrier) Leave() error {
	p.stop()
	<-p.done
	return errors.Join(p.list.Leave(leavePatience), p.list.Shutdown())
}

// Present counts the members that are there, this one too.
func (p *Carrier) Present() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members)
}

// Members are those that are there, this one too, by name.
func (p *Carrier) Members() []api.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]api.Member, 0, len(p.members))
	for _, m := range p.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b api.Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Site is where a member stands; empty: it is not there.
func (p *Carrier) Site(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members[name].Site
}

// Say tells the others word, of a kind and under a name of this process's own, for as long as ttl. over takes it back.
func (p *Carrier) Say(kind api.Kind, name string, word any, ttl time.Duration, over bool) error {
	body, err := api.Encode(word)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.seq++
	r := api.Record{Key: api.Key{Owner: p.self.Name, Kind: kind, Name: name}, Incarnation: p.self.Incarnation, Seq: p.seq, TTL: ttl, Over: over, Body: body}
	err = r.Check()
	if err == nil {
		p.records.merge(p.now(), r)
	}
	p.mu.Unlock()
	if err != nil {
		return fmt.Errorf("saying %s: %w", name, err)
	}
	return p.pass(r)
}

// Heard holds what others say, as it comes.
func (p *Carrier) Heard() *ring.Ring[api.Key, api.Record] { return p.heard }

// take takes in what came, and passes on what was news.
func (p *Carrier) take(r api.Record) {
	p.mu.Lock()
	news := r.Owner != p.self.Name && p.records.merge(p.now(), r)
	p.mu.Unlock()
	if news {
		p.heard.Put(r.Key, r, r.Over)
		if err := p.pass(r); err != nil {
			slog.Warn("not passed on", "component", "peer", "err", err)
		}
	}
}

func (p *Carrier) pass(r api.Record) error {
	text, err := api.Encode(r)
	if err != nil {
		return err
	}
	p.queue.QueueBroadcast(&broadcast{key: r.Key, text: text})
	return nil
}
