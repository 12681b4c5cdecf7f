// Package gossip knows which sidecars are present, and spreads small records among them. Membership and
// failure detection are hashicorp/memberlist's (SWIM); records are broadcast with it, and merged here
// (store.go).
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
	inboxSize      = 512                    // records of a kind that wait for their reader
	sweepInterval  = time.Second            // of removing expired records
	streamTimeout  = 2 * time.Second        // of connecting to a member, and of what goes over the connection
	leaveTimeout   = 500 * time.Millisecond // for the others to learn that this process leaves
	rejoinInterval = 5 * time.Second        // while no other member is present
	// Of many processes that start together some miss each other's messages, as each is told to few while few
	// are known. So a new process joins initialJoins members in turn, with growing waits from baseJoinDelay on,
	// before it relies on the library's own pace.
	initialJoins   = 4
	baseJoinDelay  = 500 * time.Millisecond
	gossipInterval = 100 * time.Millisecond
	// maxBytesPerSecond bounds the records that one process sends; the library's health checks and push/pull
	// come to about 1 KB/s more. What does not go now goes later, the newest record of each key.
	maxBytesPerSecond = 6 << 10
	maxBurstBytes     = 16 << 10
	// establishedAfter is how long a process takes part before a newer one under its name fences it. Before
	// that, what it receives under its name is left of its predecessor, whose clock was ahead, and it takes a
	// later start for itself.
	establishedAfter = 5 * time.Second
)

// Config configures a Gossiper.
type Config struct {
	Member    message.Member       // this process
	Address   string               // host:port, for UDP and TCP; port 0: any
	Advertise string               // host:port at which the others reach it; default: Address
	Seeds     []string             // host:port of members to join; none need be present
	Transport memberlist.Transport // default: sockets at Address
}

// Gossiper is this process among the members. Safe for concurrent use; no method but Leave blocks.
type Gossiper struct {
	list       *memberlist.Memberlist
	queue      *memberlist.TransmitLimitedQueue // records to be sent
	budget     *rate.Limiter
	inboxes    map[message.Kind]*conflate.Queue[message.Key, message.Record] // by kind; the map does not change
	start      time.Time
	seeds      []string
	stop       context.CancelFunc
	done       chan struct{}
	background sync.WaitGroup

	name string

	mu       sync.Mutex
	self     message.Member
	fenced   bool
	seq      uint64
	records  *store
	members  map[string]message.Member // present ones, this process too
	departed map[string]departedMember // members that failed, and did not leave
}

// Join begins to take part. It does not wait for other members: it goes on joining the seeds while none is
// present. The error names the setting that is invalid.
func Join(c Config) (*Gossiper, error) {
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
	g := newGossiper(c)
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
	conf.Transport, conf.LogOutput, conf.GossipInterval = c.Transport, io.Discard, gossipInterval
	conf.Delegate, conf.Events, conf.Conflict = (*delegate)(g), (*events)(g), (*conflict)(g)
	if g.list, err = memberlist.Create(conf); err != nil {
		_ = c.Transport.Shutdown() // what is wrong is said by err
		return nil, fmt.Errorf("taking part at %s: %w", c.Address, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	go g.run(ctx)
	g.background.Go(func() { g.rejoinLoop(ctx) })
	return g, nil
}

// newGossiper takes part in nothing yet.
func newGossiper(c Config) *Gossiper {
	g := &Gossiper{self: c.Member, name: c.Member.Name, inboxes: map[message.Kind]*conflate.Queue[message.Key, message.Record]{}, start: time.Now(), records: newStore(message.MaxRecordsPerOwner),
		seeds:   slices.DeleteFunc(slices.Clone(c.Seeds), func(s string) bool { return s == c.Address || s == c.Advertise }),
		members: map[string]message.Member{c.Member.Name: c.Member}, departed: map[string]departedMember{}, done: make(chan struct{}),
		budget: rate.NewLimiter(maxBytesPerSecond, maxBurstBytes)}
	for _, kind := range []message.Kind{message.Breaker, message.LoadReport, message.Digest, message.Incident, message.Probe, message.PressureRequest} {
		g.inboxes[kind] = conflate.New[message.Key, message.Record](inboxSize)
	}
	g.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: 3, NumNodes: g.Present}
	return g
}

// run joins members and removes expired records until ctx ends.
func (g *Gossiper) run(ctx context.Context) {
	defer close(g.done)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	join := time.NewTimer(0)
	defer join.Stop()
	for joined := 0; ; {
		select {
		case <-join.C:
			join.Reset(g.join(joined))
			joined++
		case <-sweep.C:
			g.mu.Lock()
			g.records.sweep(g.now())
			g.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// join joins the seeds, or a member, and returns the wait until the next time.
func (g *Gossiper) join(joined int) time.Duration {
	by := g.seeds
	if others := g.list.Members(); len(others) > 1 {
		if joined > initialJoins {
			return rejoinInterval
		}
		by = []string{others[rand.IntN(len(others))].Address()}
	}
	if len(by) > 0 {
		if _, err := g.list.Join(by); err != nil {
			slog.Debug("join failed", "component", "peers", "err", err)
		}
	}
	wait := min(baseJoinDelay<<min(joined, 10), rejoinInterval)
	return time.Duration((0.5 + rand.Float64()) * float64(wait))
}

func (g *Gossiper) now() time.Duration { return time.Since(g.start) }

// Address is where this process takes part.
func (g *Gossiper) Address() string { return g.list.LocalNode().Address() }

// Leave tells the others that this process leaves, and ends its part. It blocks for leaveTimeout at most.
func (g *Gossiper) Leave() error {
	g.stop()
	<-g.done
	err := errors.Join(g.list.Leave(leaveTimeout), g.list.Shutdown())
	g.background.Wait()
	return err
}

// Self is this process's name.
func (g *Gossiper) Self() string { return g.name }

// Fenced tells whether a newer process has this one's name: this one sends nothing more, and must not act for
// others.
func (g *Gossiper) Fenced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fenced
}

// Present counts the members that are present, this one too.
func (g *Gossiper) Present() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members)
}

// Members are those that are present, this one too, sorted by name.
func (g *Gossiper) Members() []message.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]message.Member, 0, len(g.members))
	for _, name := range slices.Sorted(maps.Keys(g.members)) {
		all = append(all, g.members[name])
	}
	return all
}

// Dropped counts records that their readers did not take in time, and those dropped for an owner's bound.
func (g *Gossiper) Dropped() (late, over uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.inboxes {
		late += r.Dropped()
	}
	return late, g.records.dropped
}

// Inbox holds what others send of a kind, as it comes. It has one reader; without one it stays bounded.
func (g *Gossiper) Inbox(kind message.Kind) *conflate.Queue[message.Key, message.Record] {
	return g.inboxes[kind]
}

// Broadcast sends payload to all members, under a kind and a name of this process's own, valid for ttl. Some
// members may miss it, so what lasts longer has to be sent again within ttl. withdrawn takes an earlier one
// back, whose ttl it must have.
func (g *Gossiper) Broadcast(kind message.Kind, name string, payload any, ttl time.Duration, over bool) error {
	r, err := g.newRecord(kind, name, payload, ttl, over)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.records.merge(g.now(), r)
	g.mu.Unlock()
	g.enqueue(r.Key)
	return nil
}

// SendTo sends payload to one member, in one datagram. The error says that the member is not present, or that
// the budget is exceeded.
func (g *Gossiper) SendTo(to string, kind message.Kind, payload any, ttl time.Duration) error {
	r, err := g.newRecord(kind, "", payload, ttl, false)
	if err != nil {
		return err
	}
	text, err := message.Encode(r)
	if err != nil {
		return err
	}
	if !g.budget.AllowN(time.Now(), len(text)) {
		return errBudgetExceeded
	}
	for _, n := range g.list.Members() {
		if n.Name == to {
			return g.list.SendBestEffort(n, text)
		}
	}
	return fmt.Errorf("%s is not there", to)
}

var (
	errFenced         = errors.New("a newer process has this one's name")
	errBudgetExceeded = errors.New("the budget of bytes is spent")
)

// newRecord numbers and checks a record of this process.
func (g *Gossiper) newRecord(kind message.Kind, name string, payload any, ttl time.Duration, over bool) (r message.Record, err error) {
	r = message.Record{Key: message.Key{Owner: g.self.Name, Kind: kind, Name: name}, TTL: ttl, Withdrawn: over}
	if payload != nil {
		if r.Body, err = message.Encode(payload); err != nil {
			return r, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seq++
	r.Incarnation, r.Seq = g.self.Incarnation, g.seq
	if err := r.Check(); err != nil {
		return r, fmt.Errorf("saying %s: %w", name, err)
	}
	if g.fenced {
		return r, errFenced
	}
	return r, nil
}

// receive takes in a record, and passes it on if it is new.
func (g *Gossiper) receive(r message.Record) {
	if (r.Kind == message.LoadReport || r.Kind == message.PressureRequest) && r.Owner != g.Self() && r.Check() == nil {
		g.inboxes[r.Kind].Push(r.Key, r, false)
		return
	}
	g.mu.Lock()
	var changed bool
	if r.Owner == g.self.Name {
		g.onOwnName(r.Incarnation)
	} else {
		changed = g.records.merge(g.now(), r)
	}
	g.mu.Unlock()
	if changed {
		if inbox := g.inboxes[r.Kind]; inbox != nil { // else of a later schema: carried on, not read
			inbox.Push(r.Key, r, r.Withdrawn)
		}
		g.enqueue(r.Key)
	}
}

// onOwnName is called, with mu held, for a process under this one's name.
func (g *Gossiper) onOwnName(other message.Incarnation) {
	if !other.Newer(g.self.Incarnation) || g.fenced {
		return
	}
	if g.now() < establishedAfter {
		g.self.Incarnation.StartedMs = other.StartedMs + 1
		g.members[g.self.Name] = g.self
		return
	}
	g.fenced = true
	slog.Warn("a newer process has this name, sharing stopped", "component", "peers", "node", g.self.Name)
}

// enqueue queues the record of a key to be sent.
func (g *Gossiper) enqueue(key message.Key) {
	g.queue.QueueBroadcast(&broadcast{key: key, gossiper: g})
}

// encodeNow is the record of a key as it is to be sent now, less the time that it was stored here; nil: it
// has expired.
func (g *Gossiper) encodeNow(key message.Key) []byte {
	g.mu.Lock()
	r, ok := g.records.get(g.now(), key)
	g.mu.Unlock()
	if !ok {
		return nil
	}
	text, err := message.Encode(r)
	if err != nil { // it was read or worded by us
		return nil
	}
	return text
}
