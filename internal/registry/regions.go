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

// resyncAfter is how long another region may be silent before its full list is requested instead of the changes: in that time
// it may have been restored from an old copy, and its revision may have grown so far again that the restore can't be seen.
const resyncAfter = 10 * time.Second

// errNotLeader is the cause of the end of replication when this replica no longer leads.
var errNotLeader = errors.New("this replica is no longer the leader")

// follower replicates one other region while this replica leads. Node.replication reads the fields below mu.
type follower struct {
	node   *Node
	region string
	client *client.Client

	mu        sync.Mutex
	lastHeard time.Duration // when the region last sent a line; 0 if it has sent none since this replica became the leader
	syncState federation.SyncState
}

// followRegions starts the replication of the other regions. stop ends it, and blocks until it has ended.
func (n *Node) followRegions(ctx context.Context) (stop func()) {
	if len(n.config.Follow) == 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	var tasks sync.WaitGroup
	followers := map[string]*follower{}
	for _, c := range n.config.Follow {
		f := &follower{node: n, region: c.Region, client: client.New(c.API)}
		followers[c.Region] = f
		tasks.Go(func() { f.run(ctx) })
	}
	n.mu.Lock()
	n.followers = followers
	n.mu.Unlock()
	return func() {
		n.mu.Lock()
		n.followers = nil
		n.mu.Unlock()
		cancel(errNotLeader)
		tasks.Wait()
	}
}

// run replicates until ctx ends, from the region's replicas in turn, with the client's back-off.
func (f *follower) run(ctx context.Context) {
	defer f.client.Close()
	f.client.Region(ctx, f.nextRevision, client.Watcher{
		Apply: func(event api.WatchEvent) error { return f.apply(ctx, event) },
		OnError: func(address string, err error) {
			if ctx.Err() == nil {
				f.node.log.Warn("region replication interrupted", "component", "registry", "node", f.node.self.Name, "region", f.region, "at", address, "err", err)
			}
		},
	}, f.onHeard)
}

func (f *follower) onHeard() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastHeard = f.node.now()
}

// nextRevision returns the revision from which changes are requested, or -1 to request the full list.
func (f *follower) nextRevision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncState.NextRevision(f.node.replicatedRevisions(f.region).Revision, f.node.now()-f.lastHeard >= resyncAfter)
}

func (n *Node) replicatedRevisions(region string) (replicated list.Replicated) {
	n.fsm.read(func(l *list.List) { replicated = l.Replicated(region) })
	return list.Replicated{Revision: replicated.Revision, SeenRevision: replicated.SeenRevision} // the maps may change once the lock is released
}

// apply replicates an event of the other region through the log. An error ends the watch, and the next one starts from
// the revision that is replicated by then.
func (f *follower) apply(ctx context.Context, event api.WatchEvent) error {
	var chunks []list.Chunk
	var anomaly, rejected string
	f.node.fsm.read(func(l *list.List) {
		replicated := l.Replicated(f.region)
		if f.node.config.Breaks == faultRollback {
			replicated.SeenRevision, replicated.Documents = 0, nil
		}
		chunks, anomaly, rejected = federation.Chunks(f.region, replicated, event)
	})
	if rejected != "" {
		f.recordSync(event.Snapshot, "", rejected)
		return fmt.Errorf("set aside: %s", rejected)
	}
	for _, chunk := range chunks {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if _, err := f.node.applyDocument(list.Command{Op: list.ReplicateRegion, Chunk: &chunk}); err != nil {
			f.recordSync(event.Snapshot, "", err.Error())
			return fmt.Errorf("version %d, chunk %d of %d: %w", chunk.To, chunk.Part+1, len(chunks), err)
		}
	}
	f.recordSync(event.Snapshot, anomaly, "")
	return nil
}

// recordSync records the result of applying an event.
func (f *follower) recordSync(snapshot bool, anomaly, rejected string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncState.Record(snapshot, anomaly, rejected)
}

// replication returns how far the other regions are replicated, or nil unless this replica leads.
func (n *Node) replication() (statuses []api.ReplicationStatus) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.config.Follow {
		f := n.followers[c.Region]
		if f == nil {
			continue
		}
		status := api.ReplicationStatus{Region: c.Region, AgeMs: -1}
		n.fsm.read(func(l *list.List) {
			replicated := l.Replicated(c.Region)
			status.Revision, status.SeenRevision, status.Endpoints = replicated.Revision, replicated.SeenRevision, len(replicated.Entries)
		})
		f.mu.Lock()
		if f.lastHeard > 0 {
			status.AgeMs = (n.now() - f.lastHeard).Milliseconds()
		}
		status.RejectedReason = f.syncState.Rejected
		if status.RejectedReason == "" {
			status.RejectedReason = f.syncState.Anomaly
		}
		f.mu.Unlock()
		statuses = append(statuses, status)
	}
	return statuses
}
