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
	t         *testing.T
	addresses map[string]string
	clients   map[string]*client.Client
	links     map[string]*relay.Link // by who follows over it
}

func newTwoRegions(t *testing.T) *twoRegions {
	t.Helper()
	r := &twoRegions{t: t, addresses: map[string]string{"north": unusedAddress(t), "south": unusedAddress(t)}, clients: map[string]*client.Client{}, links: map[string]*relay.Link{}}
	for name, other := range map[string]string{"north": "south", "south": "north"} {
		l, err := relay.New(name, other, unusedAddress(t), r.addresses[other], nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		c := registry.Dev(r.addresses[name])
		c.Region, c.Follow = name, []registry.FollowedRegion{{Region: other, API: []string{l.Address()}}}
		registrytest.Start(t, c)
		r.links[name], r.clients[name] = l, client.New([]string{r.addresses[name]})
		t.Cleanup(r.clients[name].Close)
	}
	for _, c := range r.clients {
		(&quorum{t: t, client: c}).waitServing(1)
	}
	return r
}

func (r *twoRegions) register(region, name string) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
	defer cancel()
	if _, err := r.clients[region].Register(ctx, name, api.Registration{Address: "127.0.0.1:1", Weight: 1, LeaseMs: 60_000}); err != nil {
		r.t.Fatalf("registering %s in %s: %v", name, region, err)
	}
}

func (r *twoRegions) put(region, service string, n int, on int64) int64 {
	r.t.Helper()
	return put(r.t, r.clients[region], service, n, on)
}

// put writes the form of settings with that number.
func put(t *testing.T, c *client.Client, service string, n int, on int64) int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for {
		v, err := c.Put(ctx, service, api.PutRequest{Schema: 1, Settings: json.RawMessage(settingsJSON(n)), IfRevision: &on})
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

// waitForReplicationStatus waits for what a region says of the other one.
func (r *twoRegions) waitForReplicationStatus(region, what string, is func(api.ReplicationStatus) bool) {
	r.t.Helper()
	(&quorum{t: r.t, client: r.clients[region]}).waitForStatus(what, func(reported map[string]api.Status) bool {
		s := reported[r.addresses[region]]
		return len(s.Replication) == 1 && s.Region == region && is(s.Replication[0])
	})
}

// waitForLine reads a watch until a line holds all of the words.
func (b *rawWatch) waitForLine(words ...string) string {
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
	list := openRawWatch(t, r.addresses["south"], "from=-1&service=orders&held=")
	r.register("north", "n1")
	first := r.put("north", "orders", 1, 0)
	gone := r.put("north", "gone", 1, 0)
	list.waitForLine(`"name":"n1"`)
	orders := openRawWatch(t, r.addresses["south"], "from=-1&service=orders&held=")
	deleted := openRawWatch(t, r.addresses["south"], "from=-1&service=gone&held=")
	orders.waitForLine(`"region":"north"`, settingsJSON(1))
	deleted.waitForLine(`"region":"north"`, settingsJSON(1))
	if _, err := r.clients["south"].Put(ctx, "orders", api.PutRequest{Schema: 1, Settings: json.RawMessage(settingsJSON(3)), IfRevision: &first}); !api.IsCode(err, api.CodeConflict) || !strings.Contains(err.Error(), "region north") {
		t.Errorf("a put to the region that does not own them: %v", err)
	}
	r.waitForReplicationStatus("south", "all of north is in", func(f api.ReplicationStatus) bool {
		return f.Region == "north" && f.Revision >= gone && f.SeenRevision == f.Revision && f.AgeMs >= 0 && f.Endpoints == 1 && f.RejectedReason == ""
	})

	// South hears nothing of what it asks north, and nothing fails; north's calls are refused.
	for by, state := range map[string]relay.State{"south": {SilentForth: true, SilentBack: true}, "north": {Reset: true}} {
		if err := r.links[by].Set(state); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := r.clients["south"].Register(ctx, "dies", api.Registration{Address: "127.0.0.1:1", Weight: 1, LeaseMs: api.MinLeaseMs}); err != nil {
		t.Fatal(err)
	}
	r.register("south", "s2")
	r.register("north", "n2")
	list.waitForLine(`"name":"s2"`)
	if _, err := r.clients["south"].Drain(ctx, "s1", api.StateChange{}); err != nil {
		t.Fatal(err)
	}
	list.waitForLine(`"name":"s1"`, `"Terminating"`)
	if err := r.clients["north"].Leave(ctx, "n1", api.StateChange{}); err != nil {
		t.Fatal(err)
	}
	if _, err := r.clients["north"].Delete(ctx, "gone", gone); err != nil {
		t.Fatal(err)
	}
	bad := r.put("north", "orders", 2, first)
	repaired := r.put("north", "orders", 4, bad)
	r.put("south", "late", 5, 0) // both, while neither hears of the other
	r.put("north", "late", 6, 0)
	list.waitForLine(`"name":"dies"`, `"Gone"`)
	r.waitForReplicationStatus("south", "north is unheard", func(f api.ReplicationStatus) bool { return f.AgeMs > 2500 })
	whole := openRawWatch(t, r.addresses["south"], "from=-1")
	if line := whole.next(); !strings.Contains(line, `"name":"n1"`) || strings.Contains(line, `"name":"n2"`) {
		t.Errorf("cut off, south tells %s", line)
	}

	late := openRawWatch(t, r.addresses["south"], "from=-1&service=late&held=")
	late.waitForLine(`"region":"south"`, settingsJSON(5))
	healed := time.Now()
	for _, l := range r.links {
		if err := l.Set(relay.State{}); err != nil {
			t.Fatal(err)
		}
	}
	orders.waitForLine(`"documents"`, settingsJSON(4))
	deleted.waitForLine(`"deleted":true`)
	late.waitForLine(`"region":"north"`, settingsJSON(6))
	took := time.Since(healed)
	t.Logf("in force in south %v after the heal", took.Round(time.Millisecond))
	if took > 7*time.Second {
		t.Errorf("in force in south %v after the heal", took)
	}
	whole.waitForLine(`"name":"n1"`, `"Gone"`)
	r.waitForReplicationStatus("south", "north is followed again", func(f api.ReplicationStatus) bool {
		return f.Revision >= repaired && f.RejectedReason == "" && f.AgeMs < 2500
	})
	r.waitForReplicationStatus("north", "south is followed again", func(f api.ReplicationStatus) bool { return f.Endpoints == 2 && f.RejectedReason == "" })
	if all, err := r.clients["north"].Documents(ctx, true); err != nil || len(all.Documents) != 4 { // late twice
		t.Errorf("north lists %+v, %v", all, err)
	}
}
