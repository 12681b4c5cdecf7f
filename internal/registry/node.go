// Package registry implements a replica of the list service.
//
// node.go runs the replica, raft.go its replicated log, and forming.go how it joins the quorum. fsm.go applies the log to
// the list, leases.go holds the leases of servers, watches.go sends changes to watchers, and server.go serves calls. The
// handlers of calls on leaderships are in leadership.go, those on settings in documents.go. acks.go stores the sidecars'
// acknowledgements of settings, and regions.go replicates other regions.
package registry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/raft"

	"mosslead/internal/durable"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/leasetable"
	"mosslead/internal/registry/list"
)

const (
	raftWriteTimeout  = 2 * time.Second        // for raft to accept a command, not to commit it
	freshnessInterval = 200 * time.Millisecond // between two updates of freshAt
	retainedSnapshots = 2
	raftTimeout       = 2 * time.Second // for other calls of raft, and to other replicas
)

// Node is one replica. Run must be called once; all other methods are safe for concurrent use while it runs.
type Node struct {
	config       *Config
	log          *slog.Logger
	identityFile *durable.SnapshotFile // stores an identity
	lock         *durable.DirLock
	self         api.Replica
	fsm          *stateMachine
	watches      *watches
	client       *http.Client // for calls to other replicas
	start        time.Time    // origin of all time.Duration values of this replica

	raft atomic.Pointer[raft.Raft] // nil until the replica has joined the quorum

	mu          sync.Mutex
	leases      leaseTable
	leaderships leasetable.Table // leases of leaderships
	acks        acks
	followers   map[string]*follower // by region; nil unless this replica leads
	leading     bool                 // this replica is the leader, and has applied all earlier commits

	freshAt atomic.Int64 // time since start at which the list was last known to be fresh; 0 if it never was
}

// identity is what a replica stores about itself.
type identity struct {
	Disk   string `json:"disk"`   // random ID, created with the directory
	Starts int64  `json:"starts"` // number of starts with this directory
	Formed bool   `json:"formed"` // whether the replica has belonged to the quorum
}

// Open opens a replica. It fails if its directory can't be used, or is locked by another process.
func Open(c *Config, log *slog.Logger) (*Node, error) {
	n := &Node{config: c, log: log, start: time.Now(), fsm: &stateMachine{list: list.New(list.CompactionWindow), uncheckedRegions: c.Breaks == faultRollback}}
	n.leases = leaseTable{grace: c.Grace.Duration, preserveFraction: c.Preserve}
	n.fsm.onEntries, n.fsm.onLeadership = n.onEntries, n.onLeadership
	n.watches = newWatches(n.fsm, c.Watchers, c.Region, n.checkFreshness)
	n.client = &http.Client{Timeout: raftTimeout + raftWriteTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	self := c.self()
	n.self = api.Replica{Name: c.Name, Raft: self.Raft, API: self.API, DiskID: rand.Text(), StartCount: 1, Schema: list.Schema}
	if c.Dev { // it stores no identity
		return n, nil
	}
	return n, n.loadIdentity()
}

// loadIdentity locks the directory, reads the identity of this replica, and counts this start.
func (n *Node) loadIdentity() error {
	dir := filepath.Join(n.config.Dir, "identity")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("dir: %w", err)
	}
	lock, err := durable.TryLock(dir)
	if err != nil {
		return fmt.Errorf("dir: %w", err)
	}
	n.lock = lock
	n.identityFile = durable.NewSnapshotFile(durable.OS(dir), "identity", 4096)
	text, damages, err := n.identityFile.Read()
	if err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	for _, d := range damages {
		n.log.Warn("identity file damaged", "component", "registry", "file", d.File, "err", d.Err)
	}
	stored := identity{Disk: n.self.DiskID}
	if text != nil {
		if err := json.Unmarshal(text, &stored); err != nil {
			return fmt.Errorf("identity: %w", err)
		}
	}
	n.self.DiskID, n.self.StartCount = stored.Disk, stored.Starts+1
	return n.saveIdentity(stored.Formed)
}

func (n *Node) saveIdentity(formed bool) error {
	if n.config.Dev {
		return nil
	}
	text, err := json.Marshal(identity{n.self.DiskID, n.self.StartCount, formed})
	if err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	if err := n.identityFile.Write(text); err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	return nil
}

// Run runs the replica until ctx ends, and then returns nil. An earlier failure is returned as an error.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ln, err := net.Listen("tcp", n.config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	signal.Ignore(syscall.SIGXFSZ) // a write beyond the limit of file size must fail without ending the process
	server := n.server(ctx)
	var running sync.WaitGroup
	running.Go(func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			cancel(err)
		}
	})
	n.log.Info("serving", "component", "registry", "node", n.self.Name, "address", ln.Addr().String(), "starts", n.self.StartCount)
	if n.config.Metrics != "" {
		stop, err := n.serveMetrics(&running)
		if err != nil {
			cancel(err)
		} else {
			defer stop()
		}
	}
	if ctx.Err() == nil {
		if err := n.participate(ctx); err != nil {
			cancel(err)
		}
	}
	<-ctx.Done()
	_ = server.Close()
	running.Wait()
	if n.lock != nil {
		_ = n.lock.Release()
	}
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// participate joins the quorum, runs raft, and follows changes of the leader until ctx ends.
func (n *Node) participate(ctx context.Context) error {
	servers, err := n.joinQuorum(ctx)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return nil
	}
	r, stop, err := n.startRaft(ctx, servers)
	if err != nil {
		return err
	}
	defer stop()
	if err := n.saveIdentity(true); err != nil {
		return err
	}
	n.raft.Store(r)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { n.trackFreshness(ctx, r) })
	tasks.Go(func() { n.expireLeases(ctx, r) })
	tasks.Go(func() { n.announce(ctx) })
	stopFollowing := func() {}
	defer func() { stopFollowing() }()
	for {
		select {
		case <-ctx.Done():
			if r.State() == raft.Leader && !n.config.Dev { // the others then need not wait for the election time-out
				_ = r.LeadershipTransfer().Error()
			}
			return nil
		case leads := <-r.LeaderCh():
			n.stopLeading()
			stopFollowing()
			stopFollowing = func() {}
			n.onLeaderChange(r, leads)
			if n.isLeader() {
				stopFollowing = n.followRegions(ctx)
			}
		}
	}
}

func (n *Node) stopLeading() {
	n.mu.Lock()
	n.leading = false
	n.mu.Unlock()
}

// onLeaderChange ends the leader's work, and starts it anew if this replica has become the leader.
func (n *Node) onLeaderChange(r *raft.Raft, leads bool) {
	n.stopLeading()
	if !leads {
		n.log.Info("leadership lost", "component", "registry", "node", n.self.Name)
		return
	}
	if err := r.Barrier(raftTimeout).Error(); err != nil {
		n.log.Warn("leadership not taken up", "component", "registry", "node", n.self.Name, "err", err)
		// This replica would not retry while it stays the leader, so another one has to take over.
		_ = r.LeadershipTransfer().Error()
		return
	}
	var records []api.Record
	var leaderships []list.Leadership
	n.fsm.read(func(l *list.List) { records, leaderships = l.Records(), l.Leaderships() })
	n.mu.Lock()
	n.leading = true
	n.leaderships.Lead(n.now(), leaderships)
	n.leases.reset(n.now(), records)
	n.acks.reset()
	n.mu.Unlock()
	n.log.Info("leadership acquired", "component", "registry", "node", n.self.Name, "epoch", r.CurrentTerm(), "entries", len(records))
}

// announce adds this replica to the list, with its disk ID and start count, and retries until the list contains them. A restored copy of
// the disk is recognised by its start count, which is not above the listed one.
func (n *Node) announce(ctx context.Context) {
	for n.members()[n.self.Name] != n.self {
		err := error(errNotJoined)
		if n.isLeader() {
			err = n.applyAddReplica(n.self)
		} else if url, ok := n.leaderURL(); ok {
			err = n.call(ctx, http.MethodPost, url+"/v1/announce", n.self, nil)
		}
		if err != nil {
			n.log.Debug("replica not registered yet", "component", "registry", "node", n.self.Name, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(identityRetryInterval):
		}
	}
}

func (n *Node) applyAddReplica(m api.Replica) error {
	_, err := n.apply(list.Command{Op: list.AddReplica, Replica: &m})
	return err
}

func (n *Node) applyRemoveReplica(name string) error {
	_, err := n.apply(list.Command{Op: list.RemoveReplica, Name: name})
	return err
}

// leaderURL returns the URL of the leader's API. It returns false if no other replica is known to lead.
func (n *Node) leaderURL() (string, bool) {
	r := n.raft.Load()
	if r == nil {
		return "", false
	}
	_, id := r.LeaderWithID()
	if id == "" || string(id) == n.self.Name {
		return "", false
	}
	if m, ok := n.members()[string(id)]; ok {
		return n.apiURL(m.Name, m.API), true
	}
	for _, p := range n.config.Peers {
		if p.Name == string(id) {
			return n.apiURL(p.Name, p.API), true
		}
	}
	return "", false
}

// now returns the time since start.
func (n *Node) now() time.Duration { return time.Since(n.start) }

func (n *Node) members() (m map[string]api.Replica) {
	n.fsm.read(func(l *list.List) { m = l.Replicas() })
	return m
}

// onEntries updates leases and watches after a command that may have changed the records.
func (n *Node) onEntries(records []api.Record) {
	n.mu.Lock()
	if n.leading {
		for _, r := range records {
			n.leases.update(n.now(), r)
		}
	}
	n.mu.Unlock()
	n.watches.notify()
}

// trackFreshness records when the list here was last known to be fresh. After a start the log holds an old list, and raft
// learns of a leader before it learns the commit index. Therefore the list is not fresh until it contains the start count of this start
// (see announce), which the quorum commits after everything earlier, or until this replica leads and has applied all earlier commits.
func (n *Node) trackFreshness(ctx context.Context, r *raft.Raft) {
	tick := time.NewTicker(freshnessInterval)
	defer tick.Stop()
	announced := false // whether the list contains the start count of this start
	for {
		checkedAt := n.now()
		switch r.State() {
		case raft.Leader:
			if n.isLeader() && r.VerifyLeader().Error() == nil {
				n.freshAt.Store(int64(checkedAt))
			}
		case raft.Follower:
			if !announced {
				m := n.members()[n.self.Name]
				announced = m.DiskID == n.self.DiskID && m.StartCount == n.self.StartCount
			}
			if lastContact := r.LastContact(); announced && !lastContact.IsZero() && r.AppliedIndex() >= r.CommitIndex() {
				n.freshAt.Store(int64(lastContact.Sub(n.start)))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// checkFreshness returns an error if the list may be older than MaxStaleness.
func (n *Node) checkFreshness() error {
	if n.config.Breaks == faultStaleRead {
		return nil
	}
	freshAt := time.Duration(n.freshAt.Load())
	if age := n.now() - freshAt; freshAt == 0 || age > n.config.MaxStaleness.Duration {
		return api.Errorf(api.CodeStale, "no contact with a quorum for %s", age.Round(time.Millisecond))
	}
	return nil
}

// expireLeases removes entries whose leases have expired, on the leader.
func (n *Node) expireLeases(ctx context.Context, r *raft.Raft) {
	tick := time.NewTicker(leaseCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n.mu.Lock()
		var expired []api.Heartbeat
		var idleTerms []list.LeaseTerm
		wasPreserving, preserving := n.leases.preserving, false
		if n.leading {
			expired = n.leases.expire(n.now())
			preserving = n.leases.preserving
			idleTerms = n.leaderships.Expired(n.now())
		}
		n.mu.Unlock()
		if preserving != wasPreserving { // preserving has begun, or has ended
			n.log.Warn("many leases expired together, endpoints preserved", "component", "registry", "node", n.self.Name, "holding", preserving)
		}
		if len(expired) > 0 {
			if _, err := n.apply(list.Command{Op: list.Expire, Expired: expired}); err != nil {
				n.log.Warn("expired endpoints not removed", "component", "registry", "node", n.self.Name, "err", err)
			}
		}
		if len(idleTerms) > 0 {
			if _, err := n.applyLeadership(list.Command{Op: list.ForgetLeaderships, ExpiredTerms: idleTerms}); err != nil {
				n.log.Warn("expired leaderships not removed", "component", "registry", "node", n.self.Name, "err", err)
			}
		}
	}
}

var errNotJoined = api.Errorf(api.CodeNoLeader, "this replica does not take part yet")

// apply commits a command, as the leader, and returns its result.
func (n *Node) apply(c list.Command) (list.Result, error) {
	r := n.raft.Load()
	if r == nil {
		return list.Result{}, errNotJoined
	}
	text, err := json.Marshal(c)
	if err != nil {
		return list.Result{}, fmt.Errorf("command: %w", err)
	}
	future := r.Apply(text, raftWriteTimeout)
	switch err := future.Error(); {
	case err == nil:
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return list.Result{}, api.Errorf(api.CodeNoLeader, "%v", err) // not appended to the log
	default:
		return list.Result{}, api.Errorf(api.CodeOutcomeUnknown, "%v", err)
	}
	result := future.Response().(list.Result)
	if result.Err != nil {
		return result, result.Err
	}
	return result, nil
}

// barrier blocks until all earlier commits are applied here and a quorum has confirmed that this replica leads.
func (n *Node) barrier() error {
	r := n.raft.Load()
	if r == nil {
		return errNotJoined
	}
	if n.config.Breaks == faultStaleRead {
		return nil
	}
	if err := r.Barrier(raftWriteTimeout).Error(); err != nil {
		return api.Errorf(api.CodeNoLeader, "%v", err)
	}
	return nil
}

// isLeader reports whether this replica is the leader and has applied all earlier commits.
func (n *Node) isLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leading
}
