package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"

	"mosslead/internal/lab/loadtest"
	"mosslead/internal/lab/loopback"
	"mosslead/internal/lab/pause"
	"mosslead/internal/lab/proc"
	"mosslead/internal/lab/relay"
	"mosslead/internal/registry/client"
)

// replica is one process of the list service, or one after another.
type replica struct {
	name      string
	api, raft string
	config    string
	child     *proc.Child
}

// region is a quorum of the list service.
type region struct {
	name     string // empty: there is one
	replicas []*replica
	client   *client.Client
	links    []*relay.Link // to the other regions' replicas
}

func (r *region) addresses() (all []string) {
	for _, x := range r.replicas {
		all = append(all, x.api)
	}
	return all
}

// startRegions starts the quorums, so many replicas each, and waits until they serve.
func startRegions(ctx context.Context, run loadtest.Runner, names []string, replicas int) (all []*region, err error) {
	for _, name := range names {
		r := &region{name: name}
		for i := range replicas {
			a, err1 := loopback.Address()
			b, err2 := loopback.Address()
			if err := errors.Join(err1, err2); err != nil {
				return all, fmt.Errorf("no free address: %w", err)
			}
			x := &replica{name: fmt.Sprintf("%sr%d", name, i), api: a, raft: b}
			x.config = filepath.Join(run.Dir, x.name+".toml")
			r.replicas = append(r.replicas, x)
		}
		r.client = client.New(r.addresses())
		all = append(all, r)
	}
	for _, r := range all {
		others, err := r.linked(all)
		if err != nil {
			return all, err
		}
		for _, x := range r.replicas {
			if err := r.configure(run, x, others); err != nil {
				return all, err
			}
			if x.child, err = run.Start(x.name, "--config", x.config); err != nil {
				return all, err
			}
		}
	}
	for _, r := range all {
		if err := loadtest.Await(ctx, r.client, replicas); err != nil {
			return all, fmt.Errorf("region %q: %w", r.name, err)
		}
	}
	return all, nil
}

// linked opens links to the replicas of the other regions, and words them for this one's configuration.
func (r *region) linked(all []*region) (others []map[string]any, err error) {
	for _, o := range all {
		if o == r {
			continue
		}
		var at []string
		for _, x := range o.replicas {
			l, err := relay.New(r.name, x.name, "127.0.0.1:0", x.api, nil)
			if err != nil {
				return nil, err
			}
			r.links = append(r.links, l)
			at = append(at, l.Address())
		}
		others = append(others, map[string]any{"region": o.name, "api": at})
	}
	return others, nil
}

func (r *region) configure(run loadtest.Runner, x *replica, others []map[string]any) error {
	var peers []map[string]any
	for _, p := range r.replicas {
		peers = append(peers, map[string]any{"name": p.name, "api": p.api, "raft": p.raft})
	}
	c := map[string]any{"name": x.name, "dir": filepath.Join(run.Dir, x.name), "replica": peers}
	if r.name != "" {
		c["region"], c["follow"] = r.name, others
	}
	text, err := toml.Marshal(c)
	if err != nil {
		return fmt.Errorf("configuration of %s: %w", x.name, err)
	}
	if err := os.WriteFile(x.config, text, 0o644); err != nil {
		return fmt.Errorf("configuration of %s: %w", x.name, err)
	}
	return nil
}

// set changes the links to the other regions.
func (r *region) set(s relay.State) error {
	var errs []error
	for _, l := range r.links {
		errs = append(errs, l.Set(s))
	}
	return errors.Join(errs...)
}

// leader is who leads now; nil: nobody within a time.
func (r *region) leader(ctx context.Context) *replica {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && ctx.Err() == nil; pause.For(ctx, 50*time.Millisecond) {
		said, _ := r.client.Status(ctx)
		for _, s := range said {
			for _, x := range r.replicas {
				if s.State == "leader" && x.name == s.Replica.Name && x.child != nil {
					return x
				}
			}
		}
	}
	return nil
}

func (r *region) close() {
	for _, x := range r.replicas {
		if x.child != nil {
			_ = x.child.Kill() // whatever came of it
		}
	}
	for _, l := range r.links {
		l.Close()
	}
	if r.client != nil {
		r.client.Close()
	}
}
