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

// twoRegions is the regions north and south, each a single replica in memory, that replicate each other over links.
type twoRegions struct {
	t         *testing.T
	addresses map[string]string
	clients   map[string]*client.Client
	links     map[string]*relay.Link // by the region that replicates over the link
}

func newTwoRegions(t *testing.T) *twoRegions {
	t.Helper()
	r := &twoRegions{t: t, addresses: map[string]string{"north": unusedAddress(t), "south": unusedAddress(t)}, clients: map[string]*client.Client{}, links: map[string]*relay.Link{}}
	for name, other := range map[string]string{"north": "south", "south": "north"} {
		link, err := relay.New(name, other, unusedAddress(t), r.addresses[other], nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Close)
		c := registry.Dev(r.addresses[name])
		c.Region, c.Follow = name, []registry.FollowedRegion{{Region: other, API: []string{link.Address()}}}
		registrytest.Start(t, c)
		r.links[name], r.clients[name] = link, client.New([]string{r.addresses[name]})
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
		r.t.Fatalf("registering %s in %s: got error %v, want nil", name, region, err)
	}
}

func (r *twoRegions) put(region, service string, n int, ifVersion int64) int64 {
	r.t.Helper()
	return put(r.t, r.clients[region], service, n, ifVersion)
}

// put writes the settings with number n, if the present version is ifVersion, and returns the new version.
func put(t *testing.T, c *client.Client, service string, n int, ifVersion int64) int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for {
		version, err := c.Put(ctx, service, api.PutRequest{Schema: 1, Settings: json.RawMessage(settingsJSON(n)), IfRevision: &ifVersion})
		if api.IsCode(err, api.CodeOlderReplica) && ctx.Err() == nil { // the replica has not announced its schema yet
			time.Sleep(10 * time.Millisecond) // between two attempts
			continue
		}
		if err != nil {
			t.Fatalf("put of settings of %s: got error %v, want nil", service, err)
		}
		return version
	}
}

// waitForReplicationStatus waits until matches returns true for the status of the replication in a region. what describes the
// condition.
func (r *twoRegions) waitForReplicationStatus(region, what string, matches func(api.ReplicationStatus) bool) {
	r.t.Helper()
	(&quorum{t: r.t, client: r.clients[region]}).waitForStatus(what, func(statuses map[string]api.Status) bool {
		status := statuses[r.addresses[region]]
		return len(status.Replication) == 1 && status.Region == region && matches(status.Replication[0])
	})
}

// waitForLine reads a watch until a line contains all of the words, and returns the line.
func (w *rawWatch) waitForLine(words ...string) string {
	w.t.Helper()
	for {
		line := w.next()
		all := true
		for _, word := range words {
			all = all && strings.Contains(line, word)
		}
		if all {
			return line
		}
	}
}

// Checks that two regions replicate each other. While they are disconnected, each keeps the state of the other that it has replicated; once they
// are connected again, each catches up with the other's changes, including deletions. Only the owner of settings may write them.
func TestRegionsFollowEachOther(t *testing.T) {
	r := newTwoRegions(t)
	ctx := t.Context()
	r.register("south", "s1")
	list := openRawWatch(t, r.addresses["south"], "from=-1&service=orders&held=")
	r.register("north", "n1")
	first := r.put("north", "orders", 1, 0)
	goneVersion := r.put("north", "gone", 1, 0)
	list.waitForLine(`"name":"n1"`)
	orders := openRawWatch(t, r.addresses["south"], "from=-1&service=orders&held=")
	deleted := openRawWatch(t, r.addresses["south"], "from=-1&service=gone&held=")
	orders.waitForLine(`"region":"north"`, settingsJSON(1))
	deleted.waitForLine(`"region":"north"`, settingsJSON(1))
	if _, err := r.clients["south"].Put(ctx, "orders", api.PutRequest{Schema: 1, Settings: json.RawMessage(settingsJSON(3)), IfRevision: &first}); !api.IsCode(err, api.CodeConflict) || !strings.Contains(err.Error(), "region north") {
		t.Errorf("put to the region that does not own the settings: got error %v, want code %s that names region north", err, api.CodeConflict)
	}
	r.waitForReplicationStatus("south", "south has replicated all of north", func(status api.ReplicationStatus) bool {
		return status.Region == "north" && status.Revision >= goneVersion && status.SeenRevision == status.Revision && status.AgeMs >= 0 && status.Endpoints == 1 && status.RejectedReason == ""
	})

	// South receives nothing from north, without an error. North's calls to south are refused.
	for region, state := range map[string]relay.State{"south": {SilentForth: true, SilentBack: true}, "north": {Reset: true}} {
		if err := r.links[region].Set(state); err != nil {
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
	if _, err := r.clients["north"].Delete(ctx, "gone", goneVersion); err != nil {
		t.Fatal(err)
	}
	second := r.put("north", "orders", 2, first)
	repaired := r.put("north", "orders", 4, second)
	r.put("south", "late", 5, 0) // both regions put settings of the same service while they are disconnected
	r.put("north", "late", 6, 0)
	list.waitForLine(`"name":"dies"`, `"Gone"`)
	r.waitForReplicationStatus("south", "south has received nothing from north", func(status api.ReplicationStatus) bool { return status.AgeMs > 2500 })
	full := openRawWatch(t, r.addresses["south"], "from=-1")
	if line := full.next(); !strings.Contains(line, `"name":"n1"`) || strings.Contains(line, `"name":"n2"`) {
		t.Errorf("list of south while disconnected: got %s, want n1 and not n2", line)
	}

	late := openRawWatch(t, r.addresses["south"], "from=-1&service=late&held=")
	late.waitForLine(`"region":"south"`, settingsJSON(5))
	reconnected := time.Now()
	for _, link := range r.links {
		if err := link.Set(relay.State{}); err != nil {
			t.Fatal(err)
		}
	}
	orders.waitForLine(`"documents"`, settingsJSON(4))
	deleted.waitForLine(`"deleted":true`)
	late.waitForLine(`"region":"north"`, settingsJSON(6))
	took := time.Since(reconnected)
	t.Logf("south caught up %v after the reconnection", took.Round(time.Millisecond))
	if took > 7*time.Second {
		t.Errorf("south caught up %v after the reconnection, want at most %v", took, 7*time.Second)
	}
	full.waitForLine(`"name":"n1"`, `"Gone"`)
	r.waitForReplicationStatus("south", "south replicates north again", func(status api.ReplicationStatus) bool {
		return status.Revision >= repaired && status.RejectedReason == "" && status.AgeMs < 2500
	})
	r.waitForReplicationStatus("north", "north replicates south again", func(status api.ReplicationStatus) bool { return status.Endpoints == 2 && status.RejectedReason == "" })
	if all, err := r.clients["north"].Documents(ctx, true); err != nil || len(all.Documents) != 4 { // late is listed for both regions
		t.Errorf("documents of north: got %+v, error %v, want 4", all, err)
	}
}
