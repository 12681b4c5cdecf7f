package registry_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"mosslead/internal/lab/relay"
	"mosslead/internal/registry"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
	"mosslead/internal/registry/registrytest"
)

// twoRegions are north and south, one replica in memory each, that follow each other over links.
type twoRegions struct {
	t    *testing.T
	at   map[string]string
	all  map[string]*client.Client
	link map[string]*relay.Link // by who follows over it
}

func newTwoRegions(t *testing.T) *twoRegions {
	t.Helper()
	r := &twoRegions{t: t, at: map[string]string{"north": address(t), "south": address(t)}, all: map[string]*client.Client{}, link: map[string]*relay.Link{}}
	for name, other := range map[string]string{"north": "south", "south": "north"} {
		l, err := relay.New(name, other, address(t), r.at[other], nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		c := registry.Dev(r.at[name])
		c.Region, c.Follow = name, []registry.FollowedRegion{{Region: other, API: []string{l.Address()}}}
		registrytest.Start(t, c)
		r.link[name], r.all[name] = l, client.New([]string{r.at[name]})
		t.Cleanup(r.all[name].Close)
	}
	for _, c := range r.all {
		(&quorum{t: t, all: c}).serving(1)
	}
	return r
}

func (r *twoRegions) register(region, name string) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
	defer cancel()
	if _, err := r.all[region].Register(ctx, name, api.Registration{Address: "127.0.0.1:1", Weight: 1, LeaseMs: 60_000}); err != nil {
		r.t.Fatalf("registering %s in %s: %v", name, region, err)
	}
}

func (r *twoRegions) put(region, service string, n int, on int64) int64 {
	r.t.Helper()
	return put(r.t, r.all[region], service, n, on)
}

// put writes the form of settings with that number.
func put(t *testing.T, c *client.Client, service string, n int, on int64) int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for {
		v, err := c.Put(ctx, service, api.PutRequest{Schema: 1, Settings: json.RawMessage(form(n)), IfRevision: &on})
		if api.IsCode(err, api.CodeOlderReplica) && ctx.Err() == nil { // it has not said yet what it understands
			time.Sleep(10 * time.Millisecond) // between two tries
			continue
		}
		if err != nil {
			t.Fatalf("put: %v", err)
		}
		return v
	}
}

// following waits for what a region says of the other one.
func (r *twoRegions) following(region, what string, is func(api.ReplicationStatus) bool) {
	r.t.Helper()
	(&quorum{t: r.t, all: r.all[region]}).until(what, func(reported map[string]api.Status) bool {
		s := reported[r.at[region]]
		return len(s.Replication) == 1 && s.Region == region && is(s.Replication[0])
	})
}

// hears reads a watch until a line holds all of the words.
func (b *bare) hears(words ...string) string {
	b.t.Helper()
	for {
		line := b.next()
		all := true
		for _, w := range words {
			all = all && strings.Contains(line, w)
		}
		if all {
			return line
		}
	}
}

// Two regions: what one writes is told by the other; cut off, each goes on by itself with what it had of the other; healed, each has
// what the other did, deletions too, and the owner of settings alone may write them.
func TestRegionsFollowEachOther(t *testing.T) {
	r := newTwoRegions(t)
	ctx := t.Context()
	r.register("south", "s1")
	list := watchBare(t, r.at["south"], "from=-1&service=orders&held=")
	r.register("north", "n1")
	first := r.put("north", "orders", 1, 0)
	gone := r.put("north", "gone", 1, 0)
	list.hears(`"name":"n1"`)
	orders := watchBare(t, r.at["south"], "from=-1&service=orders&held=")
	deleted := watchBare(t, r.at["south"], "from=-1&service=gone&held=")
	orders.hears(`"region":"north"`, form(1))
	deleted.hears(`"region":"north"`, form(1))
	if _, err := r.all["south"].Put(ctx, "orders", api.PutRequest{Schema: 1, Settings: json.RawMessage(form(3)), IfRevision: &first}); !api.IsCode(err, api.CodeConflict) || !strings.Contains(err.Error(), "region north") {
		t.Errorf("a put to the region that does not own them: %v", err)
	}
	r.following("south", "all of north is in", func(f api.ReplicationStatus) bool {
		return f.Region == "north" && f.Revision >= gone && f.SeenRevision == f.Revision && f.AgeMs >= 0 && f.Endpoints == 1 && f.RejectedReason == ""
	})

	// South hears nothing of what it asks north, and nothing fails; north's calls are refused.
	for by, state := range map[string]relay.State{"south": {SilentForth: true, SilentBack: true}, "north": {Reset: true}} {
		if err := r.link[by].Set(state); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := r.all["south"].Register(ctx, "dies", api.Registration{Address: "127.0.0.1:1", Weight: 1, LeaseMs: api.MinLeaseMs}); err != nil {
		t.Fatal(err)
	}
	r.register("south", "s2")
	r.register("north", "n2")
	list.hears(`"name":"s2"`)
	if _, err := r.all["south"].Drain(ctx, "s1", api.StateChange{}); err != nil {
		t.Fatal(err)
	}
	list.hears(`"name":"s1"`, `"Terminating"`)
	if err := r.all["north"].Leave(ctx, "n1", api.StateChange{}); err != nil {
		t.Fatal(err)
	}
	if _, err := r.all["north"].Delete(ctx, "gone", gone); err != nil {
		t.Fatal(err)
	}
	bad := r.put("north", "orders", 2, first)
	repaired := r.put("north", "orders", 4, bad)
	r.put("south", "late", 5, 0) // both, while neither hears of the other
	r.put("north", "late", 6, 0)
	list.hears(`"name":"dies"`, `"Gone"`)
	r.following("south", "north is unheard", func(f api.ReplicationStatus) bool { return f.AgeMs > 2500 })
	whole := watchBare(t, r.at["south"], "from=-1")
	if line := whole.next(); !strings.Contains(line, `"name":"n1"`) || strings.Contains(line, `"name":"n2"`) {
		t.Errorf("cut off, south tells %s", line)
	}

	late := watchBare(t, r.at["south"], "from=-1&service=late&held=")
	late.hears(`"region":"south"`, form(5))
	healed := time.Now()
	for _, l := range r.link {
		if err := l.Set(relay.State{}); err != nil {
			t.Fatal(err)
		}
	}
	orders.hears(`"documents"`, form(4))
	deleted.hears(`"deleted":true`)
	late.hears(`"region":"north"`, form(6))
	took := time.Since(healed)
	t.Logf("in force in south %v after the heal", took.Round(time.Millisecond))
	if took > 7*time.Second {
		t.Errorf("in force in south %v after the heal", took)
	}
	whole.hears(`"name":"n1"`, `"Gone"`)
	r.following("south", "north is followed again", func(f api.ReplicationStatus) bool {
		return f.Revision >= repaired && f.RejectedReason == "" && f.AgeMs < 2500
	})
	r.following("north", "south is followed again", func(f api.ReplicationStatus) bool { return f.Endpoints == 2 && f.RejectedReason == "" })
	if all, err := r.all["north"].Documents(ctx, true); err != nil || len(all.Documents) != 4 { // late twice
		t.Errorf("north lists %+v, %v", all, err)
	}
}
