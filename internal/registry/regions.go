package registry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"mosslead/internal/federation"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
	"mosslead/internal/registry/list"
)

// resyncAfter is how long another region may be silent before its full list is requested instead of the changes: meanwhile
// it may have been restored from an old copy and have reached a revision that hides it.
const resyncAfter = 10 * time.Second

// errNotLeader is returned once this replica no longer leads.
var errNotLeader = errors.New("this replica leads no more")

// follower replicates one other region while this replica leads. The goroutine of run owns it.
type follower struct {
	node   *Node
	region string
	client *client.Client

	mu        sync.Mutex
	lastHeard time.Duration // when the region last sent anything; 0: never since this replica leads
	syncState federation.SyncState
}

// followRegions starts replicating the other regions. stop ends that, and blocks until it has ended.
func (n *Node) followRegions(ctx context.Context) (stop func()) {
	if len(n.config.Follow) == 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	var running sync.WaitGroup
	all := map[string]*follower{}
	for _, c := range n.config.Follow {
		f := &follower{node: n, region: c.Region, client: client.New(c.API)}
		all[c.Region] = f
		running.Go(func() { f.run(ctx) })
	}
	n.mu.Lock()
	n.followers = all
	n.mu.Unlock()
	return func() {
		n.mu.Lock()
		n.followers = nil
		n.mu.Unlock()
		cancel(errNotLeader)
		running.Wait()
	}
}

// run replicates until ctx ends, from the region's replicas in turn, with the client's back-off.
func (f *follower) run(ctx context.Context) {
	defer f.client.Close()
	f.client.Region(ctx, f.nextRevision, client.Watcher{
		Apply: func(l api.WatchEvent) error { return f.apply(ctx, l) },
		OnError: func(at string, why error) {
			if ctx.Err() == nil {
				f.node.log.Warn("region replication interrupted", "component", "registry", "node", f.node.self.Name, "region", f.region, "at", at, "err", why)
			}
		},
	}, f.onHeard)
}

func (f *follower) onHeard() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastHeard = f.node.now()
}

// nextRevision returns the revision from which changes are requested; -1 for the full list.
func (f *follower) nextRevision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncState.NextRevision(f.node.replicatedRevisions(f.region).Revision, f.node.now()-f.lastHeard >= resyncAfter)
}

func (n *Node) replicatedRevisions(region string) (h list.Replicated) {
	n.fsm.read(func(l *list.List) { h = l.Replicated(region) })
	return list.Replicated{Revision: h.Revision, SeenRevision: h.SeenRevision} // the rest may change once the lock is released
}

// apply replicates an event of the other region through the log. An error ends the watch, and the next one starts from
// what is replicated by then.
func (f *follower) apply(ctx context.Context, l api.WatchEvent) error {
	var chunks []list.Chunk
	var anomaly, rejected string
	f.node.fsm.read(func(of *list.List) {
		replicated := of.Replicated(f.region)
		if f.node.config.Breaks == faultRollback {
			replicated.SeenRevision, replicated.Documents = 0, nil
		}
		chunks, anomaly, rejected = federation.Chunks(f.region, replicated, l)
	})
	if rejected != "" {
		f.recordSync(l.Snapshot, "", rejected)
		return fmt.Errorf("set aside: %s", rejected)
	}
	for _, p := range chunks {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if _, err := f.node.applyDocument(list.Command{Op: list.ReplicateRegion, Chunk: &p}); err != nil {
			f.recordSync(l.Snapshot, "", err.Error())
			return fmt.Errorf("version %d, piece %d of %d: %w", p.To, p.Part+1, len(chunks), err)
		}
	}
	f.recordSync(l.Snapshot, anomaly, "")
	return nil
}

// recordSync records the result of applying an event.
func (f *follower) recordSync(snapshot bool, anomaly, rejected string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncState.Record(snapshot, anomaly, rejected)
}

// replication returns how far other regions are replicated; nil unless this replica leads.
func (n *Node) replication() (all []api.ReplicationStatus) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.config.Follow {
		f := n.followers[c.Region]
		if f == nil {
			continue
		}
		x := api.ReplicationStatus{Region: c.Region, AgeMs: -1}
		n.fsm.read(func(l *list.List) {
			h := l.Replicated(c.Region)
			x.Revision, x.SeenRevision, x.Endpoints = h.Revision, h.SeenRevision, len(h.Entries)
		})
		f.mu.Lock()
		if f.lastHeard > 0 {
			x.AgeMs = (n.now() - f.lastHeard).Milliseconds()
		}
		x.RejectedReason = f.syncState.Rejected
		if x.RejectedReason == "" {
			x.RejectedReason = f.syncState.Anomaly
		}
		f.mu.Unlock()
		all = append(all, x)
	}
	return all
}
