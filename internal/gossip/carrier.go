// Package gossip owns who else is there, on hashicorp/memberlist, and the carrier of what sidecars share.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"

	"mosslead/internal/conflate"
	"mosslead/internal/gossip/message"
)

const (
	heardMost     = 512                    // records of a kind that wait for their part
	sweepEvery    = time.Second            // of what has lapsed
	streamTimeout = 2 * time.Second        // of a connection to another, and of what goes over it
	leavePatience = 500 * time.Millisecond // for the others to hear that this one leaves
	rejoinEvery   = 5 * time.Second        // while nobody else is there
	// Of many that start together some miss the word of others: each is told to few while few are known. So a new process
	// meets so many others, one at a time with growing waits from meetFirst on, before it relies on the library's own pace.
	meetings    = 4
	meetFirst   = 500 * time.Millisecond
	gossipEvery = 100 * time.Millisecond
	// bytesRate bounds the records that one process sends, in bytes a second; the library's probes and its push/pull come
	// to about 1 KB/s more. What does not go now goes later, the newest of each key.
	bytesRate  = 6 << 10
	bytesBurst = 16 << 10
	// A process that has taken part for so long and then hears of a newer one under its name stands aside. Before, what it
	// hears is left of the process before it, whose clock was ahead, and it takes a later start for itself.
	settledAfter = 5 * time.Second
)

// Config is what a carrier begins with.
type Config struct {
	Member    message.Member       // this process
	Address   string               // host:port, for UDP and TCP; port 0: any
	Advertise string               // host:port at which the others reach it, where that is another; empty: Address
	Seeds     []string             // host:port of members to join by; none need be there
	Transport memberlist.Transport // nil: sockets at Address
}

// Carrier is one process among the members. Safe for concurrent use.
type Carrier struct {
	list   *memberlist.Memberlist
	queue  *memberlist.TransmitLimitedQueue // records on their way
	budget *rate.Limiter
	heard  map[message.Kind]*conflate.Ring[message.Key, message.Record] // fixed
	start  time.Time
	seeds  []string
	stop   context.CancelFunc
	done   chan struct{}
	asks   sync.WaitGroup

	name string

	mu      sync.Mutex
	self    message.Member
	fenced  bool
	seq     uint64
	records *store
	members map[string]message.Member // who is present, this one too
	lost    map[string]gone           // who is not, and went without a word
}

// Join begins to take part. It does not wait for the others: it goes on asking the seeds while nobody else is there. An error
// says what of the configuration can't be used.
func Join(c Config) (*Carrier, error) {
	if err := c.Member.Check(); err != nil {
		return nil, err
	}
	host, port, err := net.SplitHostPort(c.Address)
	if err != nil {
		return nil, fmt.Errorf("address: %w", err)
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("address: port %q: %w", port, err)
	}
	p := newCarrier(c)
	conf := memberlist.DefaultLANConfig()
	conf.AdvertisePort = int(number)
	if c.Advertise != "" {
		at, err := net.ResolveTCPAddr("tcp", c.Advertise)
		if err != nil {
			return nil, fmt.Errorf("advertise: %w", err)
		}
		conf.AdvertiseAddr, conf.AdvertisePort = at.IP.String(), at.Port
	}
	if c.Transport == nil {
		if c.Transport, err = newTransport(host, int(number)); err != nil {
			return nil, fmt.Errorf("taking part at %s: %w", c.Address, err)
		}
	}
	conf.TCPTimeout = streamTimeout
	conf.Name, conf.BindAddr, conf.BindPort = c.Member.Name, host, int(number)
	conf.Transport, conf.LogOutput, conf.GossipInterval = c.Transport, io.Discard, gossipEvery
	conf.Delegate, conf.Events, conf.Conflict = (*delegate)(p), (*events)(p), (*conflict)(p)
	if p.list, err = memberlist.Create(conf); err != nil {
		_ = c.Transport.Shutdown() // what is wrong is said by err
		return nil, fmt.Errorf("taking part at %s: %w", c.Address, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go p.run(ctx)
	p.asks.Go(func() { p.askLost(ctx) })
	return p, nil
}

// newCarrier takes part in nothing yet.
func newCarrier(c Config) *Carrier {
	p := &Carrier{self: c.Member, name: c.Member.Name, heard: map[message.Kind]*conflate.Ring[message.Key, message.Record]{}, start: time.Now(), records: newStore(message.OwnerMost),
		seeds:   slices.DeleteFunc(slices.Clone(c.Seeds), func(s string) bool { return s == c.Address || s == c.Advertise }),
		members: map[string]message.Member{c.Member.Name: c.Member}, lost: map[string]gone{}, done: make(chan struct{}),
		budget: rate.NewLimiter(bytesRate, bytesBurst)}
	for _, kind := range []message.Kind{message.Breaker, message.Load, message.Digest, message.Incident, message.Trial, message.Ask} {
		p.heard[kind] = conflate.New[message.Key, message.Record](heardMost)
	}
	p.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: 3, NumNodes: p.Present}
	return p
}

// run joins, and sweeps, until ctx ends.
func (p *Carrier) run(ctx context.Context) {
	defer close(p.done)
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	join := time.NewTimer(0)
	defer join.Stop()
	for met := 0; ; {
		select {
		case <-join.C:
			join.Reset(p.join(met))
			met++
		case <-sweep.C:
			p.mu.Lock()
			p.records.sweep(p.now())
			p.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// join meets the seeds, or one of the others, and tells how long to wait for the next time.
func (p *Carrier) join(met int) time.Duration {
	by := p.seeds
	if others := p.list.Members(); len(others) > 1 {
		if met > meetings {
			return rejoinEvery
		}
		by = []string{others[rand.IntN(len(others))].Address()}
	}
	if len(by) > 0 {
		if _, err := p.list.Join(by); err != nil {
			slog.Debug("nobody to join by", "component", "peers", "err", err)
		}
	}
	wait := min(meetFirst<<min(met, 10), rejoinEvery)
	return time.Duration((0.5 + rand.Float64()) * float64(wait))
}

func (p *Carrier) now() time.Duration { return time.Since(p.start) }

// Address is where this process takes part.
func (p *Carrier) Address() string { return p.list.LocalNode().Address() }

// Leave tells the others that this process goes, and ends its part.
func (p *Carrier) Leave() error {
	p.stop()
	<-p.done
	err := errors.Join(p.list.Leave(leavePatience), p.list.Shutdown())
	p.asks.Wait()
	return err
}

// Self is this process's name.
func (p *Carrier) Self() string { return p.name }

// Fenced tells that a newer process has this one's name: it says nothing more and must not act for others.
func (p *Carrier) Fenced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fenced
}

// Present counts the members that are there, this one too.
func (p *Carrier) Present() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members)
}

// Members are those that are there, this one too, by name.
func (p *Carrier) Members() []message.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]message.Member, 0, len(p.members))
	for _, name := range slices.Sorted(maps.Keys(p.members)) {
		all = append(all, p.members[name])
	}
	return all
}

// Dropped counts records that the parts did not take in time, and those left out for an owner's bound.
func (p *Carrier) Dropped() (late, over uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.heard {
		late += r.Dropped()
	}
	return late, p.records.over
}

// Heard holds what others say of a kind, as it comes. One part takes it; what no part takes is bounded like the rest.
func (p *Carrier) Heard(kind message.Kind) *conflate.Ring[message.Key, message.Record] {
	return p.heard[kind]
}

// Say tells the others word, of a kind and under a name of this process's own, to be believed for ttl: some may miss it, so what lasts
// has to be said again within that time. over takes it back; it is told on for ttl, which has to be that of what it takes back.
func (p *Carrier) Say(kind message.Kind, name string, word any, ttl time.Duration, over bool) error {
	r, err := p.word(kind, name, word, ttl, over)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.records.merge(p.now(), r)
	p.mu.Unlock()
	p.pass(r.Key)
	return nil
}

// Whisper tells word to one member, in one datagram, and to nobody else. An error says that it is not there, or that the budget is
// spent.
func (p *Carrier) Whisper(to string, kind message.Kind, word any, ttl time.Duration) error {
	r, err := p.word(kind, "", word, ttl, false)
	if err != nil {
		return err
	}
	text, err := message.Encode(r)
	if err != nil {
		return err
	}
	if !p.budget.AllowN(time.Now(), len(text)) {
		return errSpent
	}
	for _, n := range p.list.Members() {
		if n.Name == to {
			return p.list.SendBestEffort(n, text)
		}
	}
	return fmt.Errorf("%s is not there", to)
}

var (
	errFenced = errors.New("a newer process has this one's name")
	errSpent  = errors.New("the budget of bytes is spent")
)

// word numbers and checks what this process says.
func (p *Carrier) word(kind message.Kind, name string, word any, ttl time.Duration, over bool) (r message.Record, err error) {
	r = message.Record{Key: message.Key{Owner: p.self.Name, Kind: kind, Name: name}, TTL: ttl, Over: over}
	if word != nil {
		if r.Body, err = message.Encode(word); err != nil {
			return r, err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	r.Incarnation, r.Seq = p.self.Incarnation, p.seq
	if err := r.Check(); err != nil {
		return r, fmt.Errorf("saying %s: %w", name, err)
	}
	if p.fenced {
		return r, errFenced
	}
	return r, nil
}

// take takes in what came, and passes on what was news.
func (p *Carrier) take(r message.Record) {
	if (r.Kind == message.Load || r.Kind == message.Ask) && r.Owner != p.Self() && r.Check() == nil {
		p.heard[r.Kind].Put(r.Key, r, false)
		return
	}
	p.mu.Lock()
	var news bool
	if r.Owner == p.self.Name {
		p.meet(r.Incarnation)
	} else {
		news = p.records.merge(p.now(), r)
	}
	p.mu.Unlock()
	if news {
		if heard := p.heard[r.Kind]; heard != nil { // else of a later schema: carried on, not read
			heard.Put(r.Key, r, r.Over)
		}
		p.pass(r.Key)
	}
}

// meet is told, with mu held, of a process under this one's name.
func (p *Carrier) meet(other message.Incarnation) {
	if !other.Newer(p.self.Incarnation) || p.fenced {
		return
	}
	if p.now() < settledAfter {
		p.self.Incarnation.StartedMs = other.StartedMs + 1
		p.members[p.self.Name] = p.self
		return
	}
	p.fenced = true
	slog.Warn("a newer process has this one's name: nothing is shared any more", "component", "peers", "node", p.self.Name)
}

// pass queues the record of a key for the others.
func (p *Carrier) pass(key message.Key) {
	p.queue.QueueBroadcast(&broadcast{key: key, p: p})
}

// aged is the record of a key as it is to be sent now, aged by the time that it has lain here; nil: it has lapsed.
func (p *Carrier) aged(key message.Key) []byte {
	p.mu.Lock()
	r, ok := p.records.left(p.now(), key)
	p.mu.Unlock()
	if !ok {
		return nil
	}
	text, err := message.Encode(r)
	if err != nil { // it was read or worded by us
		return nil
	}
	return text
}
