// Package gossip tracks which sidecars are present, and spreads small records among them. Membership and
// failure detection (SWIM) are done by hashicorp/memberlist, which also broadcasts the records; this
// package merges them (store.go).
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
	inboxSize      = 512                    // highest number of records of one kind that wait for their reader
	sweepInterval  = time.Second            // interval of removing expired records
	streamTimeout  = 2 * time.Second        // timeout of connecting to a member, and of reads and writes on the connection
	leaveTimeout   = 500 * time.Millisecond // time for the leave message to reach other members
	rejoinInterval = 5 * time.Second        // longest mean delay between joins while no other member is present
	// If many processes start together, some miss each other's join messages, since each message is sent to few
	// members while few are known. So a new process joins initialJoins members in turn, with delays that grow
	// from baseJoinDelay, before it relies on the library alone.
	initialJoins   = 4
	baseJoinDelay  = 500 * time.Millisecond
	gossipInterval = 100 * time.Millisecond
	// maxBytesPerSecond bounds the records that one process sends; the library's health checks and push/pull
	// add about 1 KB/s. Records beyond the bound are sent later, only the newest one of each key.
	maxBytesPerSecond = 6 << 10
	maxBurstBytes     = 16 << 10
	// establishedAfter is the time after its start from which a process is fenced by a newer incarnation under
	// its name. Earlier, the process takes such an incarnation for that of its predecessor, whose clock was
	// ahead, and sets its own start time to a later one.
	establishedAfter = 5 * time.Second
)

// Config configures a Gossiper.
type Config struct {
	Member    message.Member       // this process
	Address   string               // host:port, for UDP and TCP; port 0 selects a free port
	Advertise string               // host:port at which other members reach this process; default: Address
	Seeds     []string             // host:port of members to join; they need not be present
	Transport memberlist.Transport // default: sockets at Address
}

// Gossiper takes part in the gossip for this process. It is safe for concurrent use; only Leave blocks.
type Gossiper struct {
	list       *memberlist.Memberlist
	queue      *memberlist.TransmitLimitedQueue // records to be sent
	budget     *rate.Limiter
	inboxes    map[message.Kind]*conflate.Queue[message.Key, message.Record] // by kind; the map does not change after construction
	start      time.Time
	seeds      []string
	stop       context.CancelFunc
	done       chan struct{}
	background sync.WaitGroup

	name string

	mu       sync.Mutex
	self     message.Member
	fenced   bool   // a newer process has the same name as this one
	seq      uint64 // sequence number of the latest record of this process
	records  *store
	members  map[string]message.Member // present members by name, including this process
	departed map[string]departedMember // members that failed without leaving, by name
}

// Join starts to take part in the gossip. It does not wait for other members: the seeds are joined again and
// again while no other member is present. The error names the invalid setting.
func Join(c Config) (*Gossiper, error) {
	if err := c.Member.Check(); err != nil {
		return nil, err
	}
	host, port, err := net.SplitHostPort(c.Address)
	if err != nil {
		return nil, fmt.Errorf("address: %w", err)
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("address: port %q: %w", port, err)
	}
	g := newGossiper(c)
	conf := memberlist.DefaultLANConfig()
	conf.AdvertisePort = int(portNumber)
	if c.Advertise != "" {
		advertised, err := net.ResolveTCPAddr("tcp", c.Advertise)
		if err != nil {
			return nil, fmt.Errorf("advertise: %w", err)
		}
		conf.AdvertiseAddr, conf.AdvertisePort = advertised.IP.String(), advertised.Port
	}
	if c.Transport == nil {
		if c.Transport, err = newTransport(host, int(portNumber)); err != nil {
			return nil, fmt.Errorf("gossip at %s: %w", c.Address, err)
		}
	}
	conf.TCPTimeout = streamTimeout
	conf.Name, conf.BindAddr, conf.BindPort = c.Member.Name, host, int(portNumber)
	conf.Transport, conf.LogOutput, conf.GossipInterval = c.Transport, io.Discard, gossipInterval
	conf.Delegate, conf.Events, conf.Conflict = (*delegate)(g), (*events)(g), (*conflict)(g)
	if g.list, err = memberlist.Create(conf); err != nil {
		_ = c.Transport.Shutdown() // err is the cause; an error of the cleanup adds nothing
		return nil, fmt.Errorf("gossip at %s: %w", c.Address, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	go g.run(ctx)
	g.background.Go(func() { g.rejoinLoop(ctx) })
	return g, nil
}

// newGossiper returns a Gossiper that does not take part in the gossip yet.
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
	for attempt := 0; ; {
		select {
		case <-join.C:
			join.Reset(g.join(attempt))
			attempt++
		case <-sweep.C:
			g.mu.Lock()
			g.records.sweep(g.now())
			g.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// join joins the seeds, or a random member if any is present, and returns the delay until the next call.
// attempt is the number of earlier calls.
func (g *Gossiper) join(attempt int) time.Duration {
	addresses := g.seeds
	if others := g.list.Members(); len(others) > 1 {
		if attempt > initialJoins {
			return rejoinInterval
		}
		addresses = []string{others[rand.IntN(len(others))].Address()}
	}
	if len(addresses) > 0 {
		if _, err := g.list.Join(addresses); err != nil {
			slog.Debug("join failed", "component", "peers", "err", err)
		}
	}
	delay := min(baseJoinDelay<<min(attempt, 10), rejoinInterval)
	return time.Duration((0.5 + rand.Float64()) * float64(delay))
}

// now returns the time since start.
func (g *Gossiper) now() time.Duration { return time.Since(g.start) }

// Address returns the host:port at which this process takes part.
func (g *Gossiper) Address() string { return g.list.LocalNode().Address() }

// Leave informs the other members that this process leaves, and stops the gossip. It waits for leaveTimeout at
// most for the members to be informed.
func (g *Gossiper) Leave() error {
	g.stop()
	<-g.done
	err := errors.Join(g.list.Leave(leaveTimeout), g.list.Shutdown())
	g.background.Wait()
	return err
}

// Self returns the name of this process.
func (g *Gossiper) Self() string { return g.name }

// Fenced reports whether a newer process has the same name as this one. A fenced process broadcasts
// nothing more, and must not act for others.
func (g *Gossiper) Fenced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fenced
}

// Present returns the number of members that are present, including this one.
func (g *Gossiper) Present() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members)
}

// Members returns the members that are present, including this one, sorted by name.
func (g *Gossiper) Members() []message.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]message.Member, 0, len(g.members))
	for _, name := range slices.Sorted(maps.Keys(g.members)) {
		all = append(all, g.members[name])
	}
	return all
}

// Dropped returns the numbers of records that were dropped because readers did not read them in time, and
// because their owner had too many.
func (g *Gossiper) Dropped() (late, overBound uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, inbox := range g.inboxes {
		late += inbox.Dropped()
	}
	return late, g.records.dropped
}

// Inbox returns the queue of the records of a kind that other members send. It is for one reader; its length is
// bounded even if nobody reads it.
func (g *Gossiper) Inbox(kind message.Kind) *conflate.Queue[message.Key, message.Record] {
	return g.inboxes[kind]
}

// Broadcast sends payload to all members as the record of this process with that kind and name, valid for ttl.
// Some members may miss it, so a record that is to stay valid has to be sent again within ttl. If withdrawn is
// true, the call withdraws an earlier record, and must have the same ttl.
func (g *Gossiper) Broadcast(kind message.Kind, name string, payload any, ttl time.Duration, withdrawn bool) error {
	r, err := g.newRecord(kind, name, payload, ttl, withdrawn)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.records.merge(g.now(), r)
	g.mu.Unlock()
	g.enqueue(r.Key)
	return nil
}

// SendTo sends payload to one member, in one datagram. It returns an error if the member is not present, or the
// budget is exceeded.
func (g *Gossiper) SendTo(to string, kind message.Kind, payload any, ttl time.Duration) error {
	r, err := g.newRecord(kind, "", payload, ttl, false)
	if err != nil {
		return err
	}
	encoded, err := message.Encode(r)
	if err != nil {
		return err
	}
	if !g.budget.AllowN(time.Now(), len(encoded)) {
		return errBudgetExceeded
	}
	for _, n := range g.list.Members() {
		if n.Name == to {
			return g.list.SendBestEffort(n, encoded)
		}
	}
	return fmt.Errorf("no member named %s in the gossip cluster", to)
}

var (
	errFenced         = errors.New("a newer process has this one's name")
	errBudgetExceeded = errors.New("the budget of bytes to send is exceeded")
)

// newRecord returns a checked record of this process with the next sequence number.
func (g *Gossiper) newRecord(kind message.Kind, name string, payload any, ttl time.Duration, withdrawn bool) (r message.Record, err error) {
	r = message.Record{Key: message.Key{Owner: g.self.Name, Kind: kind, Name: name}, TTL: ttl, Withdrawn: withdrawn}
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
		return r, fmt.Errorf("record %s: %w", name, err)
	}
	if g.fenced {
		return r, errFenced
	}
	return r, nil
}

// receive processes a record of another member. A new broadcast record is stored, queued for its reader and
// sent on; a record for this member only is just queued for its reader.
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
		if inbox := g.inboxes[r.Kind]; inbox != nil { // a kind of a later schema is sent on, but not read
			inbox.Push(r.Key, r, r.Withdrawn)
		}
		g.enqueue(r.Key)
	}
}

// onOwnName handles a message of a process with the same name as this one. A newer process fences this one, see
// establishedAfter. The caller holds mu.
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

// enqueue adds the record of a key to the records to be sent.
func (g *Gossiper) enqueue(key message.Key) {
	g.queue.QueueBroadcast(&broadcast{key: key, gossiper: g})
}

// encodeNow returns the encoded record of a key with its remaining time to live, or nil if it has expired.
func (g *Gossiper) encodeNow(key message.Key) []byte {
	g.mu.Lock()
	r, ok := g.records.get(g.now(), key)
	g.mu.Unlock()
	if !ok {
		return nil
	}
	encoded, err := message.Encode(r)
	if err != nil { // cannot happen: the record was decoded or encoded by this process
		return nil
	}
	return encoded
}
