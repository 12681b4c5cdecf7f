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

// anewAfter is how long another region may be unheard before all of its list is asked for again instead of what changed: for as
// long as that it could have been put back to an old copy, and have gone on from it to a version that tells nothing of that.
const anewAfter = 10 * time.Second

// errStepped ends what only a leader does.
var errStepped = errors.New("this replica leads no more")

// follower follows one other region while this replica leads. run is its one owner.
type follower struct {
	n      *Node
	region string
	client *client.Client

	mu    sync.Mutex
	heard time.Duration // when the other last gave a sign of life; 0: not since this replica leads
	stand federation.Stand
}

// followOthers follows the other regions until stop is called, which waits for their end.
func (n *Node) followOthers(ctx context.Context) (stop func()) {
	if len(n.c.Follow) == 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	var running sync.WaitGroup
	all := map[string]*follower{}
	for _, c := range n.c.Follow {
		f := &follower{n: n, region: c.Region, client: client.New(c.API)}
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
		cancel(errStepped)
		running.Wait()
	}
}

// run follows until ctx ends. Calls go to the region's replicas in turn, at the client's pace.
func (f *follower) run(ctx context.Context) {
	defer f.client.Close()
	f.client.Region(ctx, f.from, client.Watcher{
		Take: func(l api.Listing) error { return f.take(ctx, l) },
		Says: func(at string, why error) {
			if ctx.Err() == nil {
				f.n.log.Warn("a region is not followed for now", "component", "registry", "node", f.n.me.Name, "region", f.region, "at", at, "err", why)
			}
		},
	}, f.heardOf)
}

func (f *follower) heardOf() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = f.n.now()
}

// from is the version that is asked on from; -1: all is asked for.
func (f *follower) from() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stand.From(f.n.held(f.region).Version, f.n.now()-f.heard >= anewAfter)
}

func (n *Node) held(region string) (h list.Held) {
	n.machine.read(func(l *list.List) { h = l.Held(region) })
	return list.Held{Version: h.Version, Seen: h.Seen} // the rest may change by now
}

// take has the log take in what the other region tells. An error ends the watch, so that the next call begins from what is held
// by then.
func (f *follower) take(ctx context.Context, l api.Listing) error {
	var pieces []list.Piece
	var odd, refused string
	f.n.machine.read(func(of *list.List) {
		held := of.Held(f.region)
		if f.n.c.Breaks == breakBack {
			held.Seen, held.Documents = 0, nil
		}
		pieces, odd, refused = federation.Pieces(f.region, held, l)
	})
	if refused != "" {
		f.stands(l.Snapshot, "", refused)
		return fmt.Errorf("set aside: %s", refused)
	}
	for _, p := range pieces {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if _, err := f.n.documentCommand(list.Command{Op: list.Follow, Piece: &p}); err != nil {
			f.stands(l.Snapshot, "", err.Error())
			return fmt.Errorf("version %d, piece %d of %d: %w", p.To, p.Part+1, len(pieces), err)
		}
	}
	f.stands(l.Snapshot, odd, "")
	return nil
}

// stands notes what came of a listing.
func (f *follower) stands(snapshot bool, odd, refused string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stand.Took(snapshot, odd, refused)
}

// following is how far this replica has followed others, as the leader; nil elsewhere.
func (n *Node) following() (all []api.Following) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.c.Follow {
		f := n.followers[c.Region]
		if f == nil {
			continue
		}
		x := api.Following{Region: c.Region, AgeMs: -1}
		n.machine.read(func(l *list.List) {
			h := l.Held(c.Region)
			x.Version, x.Seen, x.Entries = h.Version, h.Seen, len(h.Entries)
		})
		f.mu.Lock()
		if f.heard > 0 {
			x.AgeMs = (n.now() - f.heard).Milliseconds()
		}
		x.Aside = f.stand.Refused
		if x.Aside == "" {
			x.Aside = f.stand.Odd
		}
		f.mu.Unlock()
		all = append(all, x)
	}
	return all
}
