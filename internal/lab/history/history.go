// Package history makes concurrent calls on the list service while faults are injected into it, and checks the answers: whether
// they are possible with one call after another, and whether each watch reported every change. Documents are checked
// this way in the region that owns them. In other regions the only rule is that their versions must not go back.
package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

const (
	callTimeout = 1500 * time.Millisecond
	maxPause    = 30 * time.Millisecond // upper bound of the pause between two calls of one caller
	prefix      = "h-"                  // of names, to keep them apart from those of real upstreams
)

// Spec describes the callers and what they call.
type Spec struct {
	Replicas []string // their addresses
	Callers  int
	Names    int
	Seed     uint64

	// Documents makes the callers write services' settings instead of entries, and leaves out the watches of entries.
	Documents bool
	Followers []string // with Documents: addresses of replicas of any region, whose reports of the settings are checked
}

// op is the operation of a call.
type op struct {
	kind      string // read, register, drain, leave, hand
	name      string
	address   string // of a register; unique among calls
	hand      string
	ifVersion int64 // -1 if there is no condition
}

// out is the answer to a call.
type out struct {
	record  api.Record // of a read
	version int64      // of a write
	code    string     // of a definite failure; empty if the call was done
	unknown bool       // the call may have been done, or may still be done
}

// call is one call with its answer and times.
type call struct {
	caller   int
	op       op
	out      out
	from, to time.Duration
}

// Run is a set of running callers and watches.
type Run struct {
	spec  Spec
	begin time.Time

	mu              sync.Mutex
	calls           []call
	watches         []*watch
	documentWatches []*documentWatch
	running         sync.WaitGroup
}

// Start starts the callers and watches, which run until ctx ends.
func Start(ctx context.Context, s Spec) *Run {
	r := &Run{spec: s, begin: time.Now()}
	for i := range s.Callers {
		r.running.Go(func() { r.runCaller(ctx, i) })
	}
	if s.Documents {
		r.followDocuments(ctx)
		return r
	}
	for i, address := range s.Replicas {
		w := &watch{address: address, index: -1, hashes: map[int64]uint64{}}
		r.watches = append(r.watches, w)
		r.running.Go(func() { w.follow(ctx, i%2 == 0) })
	}
	return r
}

// runCaller makes random calls, one after another, until ctx ends.
func (r *Run) runCaller(ctx context.Context, i int) {
	rng := rand.New(rand.NewPCG(r.spec.Seed, uint64(i)))
	c := client.New(r.spec.Replicas)
	defer c.Close()
	known := map[string]int64{} // versions as in the last answers
	for n := 0; ctx.Err() == nil; n++ {
		name := fmt.Sprintf("%s%d", prefix, rng.IntN(r.spec.Names))
		o := op{name: name, ifVersion: -1}
		switch p := rng.Float64(); {
		case p < 0.4:
			o.kind = "read"
		case r.spec.Documents && p < 0.85 || r.spec.Documents && known[name] == 0:
			o.kind, o.address, o.ifVersion = "register", documentText(i, n), known[name]
		case r.spec.Documents:
			o.kind, o.ifVersion = "leave", known[name]
		case p < 0.7:
			o.kind, o.address, o.ifVersion = "register", fmt.Sprintf("127.0.0.1:%d", 1+(i*1000+n)%65000), known[name]
		case p < 0.8:
			o.kind, o.ifVersion = "drain", known[name]
		case p < 0.9:
			o.kind, o.ifVersion = "leave", known[name]
		default:
			o.kind, o.ifVersion = "hand", known[name]
			if rng.IntN(2) == 0 {
				o.hand = api.AdminDrain
			}
		}
		x := call{caller: i, op: o, from: time.Since(r.begin)}
		x.out = r.perform(ctx, c, o)
		x.to = time.Since(r.begin)
		if x.out.code == "" && !x.out.unknown {
			known[name] = max(x.out.version, x.out.record.Revision)
		} else if x.out.code == api.CodeConflict {
			delete(known, name) // the next calls take the entry for absent, until a read returns its version
		}
		r.mu.Lock()
		r.calls = append(r.calls, x)
		r.mu.Unlock()
		select {
		case <-time.After(time.Duration(rng.Int64N(int64(maxPause)))):
		case <-ctx.Done():
		}
	}
}

// perform makes a call once. The client does not repeat conditional calls either.
func (r *Run) perform(ctx context.Context, c *client.Client, o op) (x out) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	switch kind := o.kind; {
	case r.spec.Documents:
		x, err = callDocument(ctx, c, o)
	case kind == "read":
		x.record, err = c.Record(ctx, o.name, true)
	case kind == "register":
		x.version, err = c.Register(ctx, o.name, api.Registration{Address: o.address, Weight: 1, IfRevision: &o.ifVersion})
	case kind == "drain":
		x.version, err = c.Drain(ctx, o.name, api.StateChange{IfRevision: &o.ifVersion})
	case kind == "leave":
		err = c.Leave(ctx, o.name, api.StateChange{IfRevision: &o.ifVersion})
	case kind == "hand":
		x.version, err = c.PutAdminState(ctx, o.name, api.StateChange{AdminState: o.hand, IfRevision: &o.ifVersion})
	}
	switch {
	case err == nil:
	case api.IsCode(err, api.CodeConflict):
		x.code = api.CodeConflict
	case api.IsCode(err, api.CodeNotFound):
		x.code = api.CodeNotFound
	default:
		x.unknown = true
	}
	return x
}

// Breach is a violation of a rule.
type Breach struct {
	Rule string // linearizable or watch; for documents also monotonic or issued
	At   time.Duration
	Text string
}

// Count holds the numbers of calls and of watch messages that were checked.
type Count struct {
	Calls, Unknown, Messages, Restarts int
}

// End waits for callers and watches, which end with the context of Start, and checks their results. final is the final list,
// which the caller has read; watches that reported its version are compared with it.
func (r *Run) End(final api.WatchEvent) ([]Breach, Count) {
	n := r.wait()
	for _, w := range r.watches {
		n.Messages += w.messages
		n.Restarts += w.restarts
	}
	return append(r.linearizable(), r.checkWatches(final)...), n
}

// EndDocuments waits for callers and watches, which end with the context of Start, and checks what was written to documents and
// reported of them.
func (r *Run) EndDocuments() ([]Breach, Count) {
	n := r.wait()
	for _, w := range r.documentWatches {
		n.Messages += len(w.documents)
		n.Restarts += w.restarts
	}
	return append(r.linearizable(), r.checkDocuments()...), n
}

// wait waits for callers and watches, and counts the calls.
func (r *Run) wait() Count {
	r.running.Wait()
	n := Count{Calls: len(r.calls)}
	for _, c := range r.calls {
		if c.out.unknown {
			n.Unknown++
		}
	}
	return n
}
