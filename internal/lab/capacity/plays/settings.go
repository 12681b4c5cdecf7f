package plays

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"

	"mosslead/internal/lab/capacity"
	"mosslead/internal/lab/loadtest"
	"mosslead/internal/lab/loopback"
	"mosslead/internal/lab/pause"
	"mosslead/internal/lab/proc"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
	"mosslead/internal/settings"
)

const (
	documentBytes    = 4096 // about; what is put is measured
	acksFor          = 25 * time.Second
	settingsChanges  = 10
	settingsInterval = 500 * time.Millisecond
	settingsTimeout  = 10 * time.Second
	pollInterval     = 5 * time.Millisecond
	settingsService  = "orders"
	cutFor           = 11 * time.Second
	healTimeout      = 30 * time.Second
)

func init() {
	plays["documents"] = play{
		question: "What does a replica spend on the settings of many services?",
		how:      "resident memory of one replica in memory (the kernel's count) after so many documents of about 4 KB were put, less that before; bytes of one document, and its processor time for one put",
		series:   []capacity.Series{{Name: "memory_mb", Unit: "MB", Form: "documents"}, {Name: "put_cpu_ms", Unit: "ms", Form: "documents"}},
		at:       eachSize("documents", 50, 200, 400, 700), repeats: 2, check: sizes{"documents": 1000},
		exchange: true,
		run:      (*Player).measureDocuments,
	}
	plays["settings"] = play{
		question: "What does a change of a service's settings cost its sidecars, and when is it in force at all of them?",
		how: "so many real sidecars of one service, without a request, before one replica in memory with ten entries; over 25 quiet seconds the bytes of a sidecar both ways (watch and acknowledgements, without the kernel's headers); " +
			"then ten changes of about 4 KB, 0.5 s after the one before was in force: bytes and processor time of a sidecar for each, and from the put's call until the replica has heard from all that it is in force, the mean and the longest of ten",
		series: []capacity.Series{{Name: "steady_bytes", Unit: "bytes/s", Form: "sidecars"}, {Name: "change_bytes", Unit: "bytes", Form: "sidecars"}, {Name: "change_cpu_ms", Unit: "ms", Form: "sidecars"},
			{Name: "in_force_s", Unit: "s", Form: "sidecars"}, {Name: "in_force_most_s", Unit: "s", Form: "sidecars"}},
		at: eachSize("sidecars", 2, 4, 8, 16), repeats: 1, check: sizes{"sidecars": 24},
		exchange: true,
		run:      (*Player).measureSettings,
	}
	plays["heal"] = play{
		question: "What does a heal cost two regions that follow each other?",
		how: "two regions of one replica each, one with so many entries and one document; the link from the other, which follows it, is cut for 11 s (after 10 s a follower asks for the whole list), in which each entry and the document change; then it is whole again: until the follower " +
			"has taken all of it in, and the bytes over the link, without the kernel's headers; before that bytes over the link for one change, the mean of ten, and of 8 quiet seconds",
		series: []capacity.Series{{Name: "heal_s", Unit: "s", Form: "entries"}, {Name: "heal_bytes", Unit: "bytes", Form: "entries"}, {Name: "change_bytes", Unit: "bytes", Form: "entries"}, {Name: "steady_bytes", Unit: "bytes/s", Form: "entries"}},
		at:     eachSize("entries", 60, 120, 240, 360), repeats: 1, check: sizes{"entries": 450},
		run: (*Player).measureHeal,
	}
}

// document is a service's settings of about documentBytes; those of two turns differ.
func document(turn int) (json.RawMessage, error) {
	s := sidecarSettings(10)
	s["Prices"] = map[string]any{"CrossZone": 0.1, "LateFail": 0.03 + float64(turn)/1e6, "Probe": 0.002, "Waste": 0.2}
	for n := 1; ; n++ {
		var tenants []map[string]any
		for i := range n {
			tenants = append(tenants, map[string]any{"Name": fmt.Sprintf("tenant-%d", i+1), "Fraction": 1 / float64(n)})
		}
		s["Tenants"] = tenants
		text, err := json.Marshal(s)
		if err != nil || len(text) >= documentBytes {
			return text, err
		}
	}
}

func putSettings(ctx context.Context, c *client.Client, service string, turn int, on int64) (int64, int, error) {
	text, err := document(turn)
	if err != nil {
		return 0, 0, err
	}
	for end := time.Now().Add(settingsTimeout); ; {
		version, err := c.Put(ctx, service, api.PutRequest{Schema: settings.Schema, Settings: text, IfRevision: &on})
		// A replica that has just begun has not said yet what it understands.
		if !api.IsCode(err, api.CodeOlderReplica) || time.Now().After(end) || !pause.For(ctx, pollInterval) {
			return version, len(text), err
		}
	}
}

func (p *Player) measureDocuments(ctx context.Context, at sizes, dir string) (map[string]float64, error) {
	r, err := p.runner(dir)
	if err != nil {
		return nil, err
	}
	b, err := r.Alone(ctx)
	if err != nil {
		return nil, err
	}
	defer b.Close()
	c, replica := b.Client, b.Children[0]
	before, err := replica.Use()
	if err != nil {
		return nil, err
	}
	ran, err := replica.Ran()
	if err != nil {
		return nil, err
	}
	length, n := 0, int(at["documents"])
	for i := range n {
		if _, length, err = putSettings(ctx, c, fmt.Sprint("service-", i), i, 0); err != nil {
			return nil, fmt.Errorf("document %d: %w", i, err)
		}
	}
	ranAfter, err := replica.Ran()
	if err != nil {
		return nil, err
	}
	if !pause.For(ctx, p.scaled(settleFor)) {
		return nil, ctx.Err()
	}
	after, err := replica.Use()
	if err != nil {
		return nil, err
	}
	return map[string]float64{"memory_mb": after.MemoryMB - before.MemoryMB, "put_cpu_ms": (ranAfter - ran).Seconds() * 1e3 / float64(n), "document_bytes": float64(length)}, nil
}

func (p *Player) measureSettings(ctx context.Context, at sizes, dir string) (map[string]float64, error) {
	upstreams := make([]string, 10)
	for i := range upstreams {
		upstreams[i] = fmt.Sprintf("127.9.0.%d:9000", 1+i)
	}
	b, err := p.newTestbed(ctx, dir, upstreams, map[string]any{"service": settingsService})
	if err != nil {
		return nil, err
	}
	defer b.close()
	children := []*proc.Child{b.child}
	for i := 1; i < int(at["sidecars"]); i++ {
		child, err := p.startAnother(ctx, b, dir, i)
		if child != nil {
			defer func() { _ = child.Kill() }() // whatever came of it
		}
		if err != nil {
			return nil, err
		}
		children = append(children, child)
	}
	n := float64(len(children))
	version, length, err := putSettings(ctx, b.client, settingsService, 0, 0)
	if err != nil {
		return nil, err
	}
	if _, err := awaitInForce(ctx, b.client, version, len(children)); err != nil {
		return nil, err
	}
	if !pause.For(ctx, p.scaled(settleFor)) {
		return nil, ctx.Err()
	}
	bytes, begun := b.watch.bytes(), time.Now()
	ran, err := totalCPU(children)
	if err != nil {
		return nil, err
	}
	if !pause.For(ctx, p.scaled(acksFor)) {
		return nil, ctx.Err()
	}
	took := time.Since(begun).Seconds()
	steady := float64(b.watch.bytes()-bytes) / took
	quietRan, err := totalCPU(children)
	if err != nil {
		return nil, err
	}
	quiet := (quietRan - ran).Seconds() / took
	bytes, begun = b.watch.bytes(), time.Now()
	var sum, most time.Duration
	for i := range settingsChanges {
		asked := time.Now()
		if version, _, err = putSettings(ctx, b.client, settingsService, i+1, version); err != nil {
			return nil, err
		}
		heard, err := awaitInForce(ctx, b.client, version, len(children))
		if err != nil {
			return nil, err
		}
		sum, most = sum+heard.Sub(asked), max(most, heard.Sub(asked))
		if !pause.For(ctx, p.scaled(settingsInterval)) {
			return nil, ctx.Err()
		}
	}
	took = time.Since(begun).Seconds()
	after, err := totalCPU(children)
	if err != nil {
		return nil, err
	}
	return map[string]float64{"steady_bytes": steady / n, "change_bytes": (float64(b.watch.bytes()-bytes) - steady*took) / n / settingsChanges,
		"change_cpu_ms": ((after - quietRan).Seconds() - quiet*took) * 1e3 / n / settingsChanges,
		"in_force_s":    sum.Seconds() / settingsChanges, "in_force_most_s": most.Seconds(), "document_bytes": float64(length)}, nil
}

// awaitInForce waits until a replica has heard from so many sidecars that a version of the settings is in force.
func awaitInForce(ctx context.Context, c *client.Client, version int64, sidecars int) (time.Time, error) {
	end := time.Now().Add(settingsTimeout)
	for {
		all, err := c.Rollouts(ctx)
		if err != nil {
			return time.Time{}, err
		}
		seen := 0
		for _, r := range all.Rollouts {
			if r.Service == settingsService && r.Revision == version {
				seen = r.InForce
			}
		}
		if seen == sidecars {
			return time.Now(), nil
		}
		if time.Now().After(end) {
			return time.Time{}, fmt.Errorf("version %d is in force at %d of %d after %v", version, seen, sidecars, settingsTimeout)
		}
		if !pause.For(ctx, pollInterval) {
			return time.Time{}, ctx.Err()
		}
	}
}

func totalCPU(children []*proc.Child) (sum time.Duration, err error) {
	for _, c := range children {
		ran, err := c.Ran()
		if err != nil {
			return 0, err
		}
		sum += ran
	}
	return sum, nil
}

// startAnother starts one more sidecar before the same list, like the bed's but for its name and addresses. A child is given beside an
// error where there is one to end.
func (p *Player) startAnother(ctx context.Context, b *testbed, dir string, i int) (*proc.Child, error) {
	at, err := loopback.Addresses(2)
	if err != nil {
		return nil, err
	}
	own := filepath.Join(p.Dir, dir, fmt.Sprint("sidecar-", i))
	c := sidecarConfig(fmt.Sprint("sidecar-", i), at[0], at[1], b.watch.address(), filepath.Join(own, "state"), 10)
	c["service"] = settingsService
	return p.startSidecar(ctx, c, own)
}

func (p *Player) measureHeal(ctx context.Context, at sizes, dir string) (map[string]float64, error) {
	r, err := p.runner(dir)
	if err != nil {
		return nil, err
	}
	address, err := loopback.Addresses(4)
	if err != nil {
		return nil, err
	}
	link, err := newCounter(address[0])
	if err != nil {
		return nil, err
	}
	defer func() { link.close() }()
	var both [2]*client.Client
	for i, name := range []string{"north", "south"} {
		c := map[string]any{"name": "r0", "dir": filepath.Join(r.Dir, name), "region": name,
			"replica": []map[string]any{{"name": "r0", "api": address[2*i], "raft": address[2*i+1]}}}
		if name == "south" {
			c["follow"] = []map[string]any{{"region": "north", "api": []string{link.address()}}}
		}
		text, err := toml.Marshal(c)
		if err != nil {
			return nil, err
		}
		path := filepath.Join(r.Dir, name+".toml")
		if err := os.WriteFile(path, text, 0o644); err != nil {
			return nil, err
		}
		child, err := r.Start(name, "--config", path)
		if err != nil {
			return nil, err
		}
		defer func() { _ = child.Kill() }() // whatever came of it
		both[i] = client.New(address[2*i : 2*i+1])
		defer both[i].Close()
		if err := loadtest.Await(ctx, both[i], 1); err != nil {
			return nil, err
		}
	}
	north, south := both[0], both[1]
	n := int(at["entries"])
	for i := range n {
		if _, err := north.Register(ctx, fmt.Sprint("upstream-", i), newRegistration(i, fmt.Sprintf("127.9.%d.%d:9000", i/250, 1+i%250))); err != nil {
			return nil, fmt.Errorf("entry %d: %w", i, err)
		}
	}
	version, _, err := putSettings(ctx, north, settingsService, 0, 0)
	if err != nil {
		return nil, err
	}
	if err := awaitFollowed(ctx, south, version); err != nil {
		return nil, err
	}
	bytes, begun := link.bytes(), time.Now()
	if !pause.For(ctx, p.scaled(steadyFor)) {
		return nil, ctx.Err()
	}
	steady := float64(link.bytes()-bytes) / time.Since(begun).Seconds()
	bytes, begun = link.bytes(), time.Now()
	for i := range settingsChanges {
		if version, err = north.PutAdminState(ctx, fmt.Sprint("upstream-", i%n), api.StateChange{AdminState: api.AdminDrain}); err != nil {
			return nil, err
		}
		if err := awaitFollowed(ctx, south, version); err != nil {
			return nil, err
		}
	}
	change := max(0, float64(link.bytes()-bytes)-steady*time.Since(begun).Seconds()) / settingsChanges
	link.close()
	cut := time.Now()
	for i := range n {
		hand := api.AdminDrain // a ban would leave the entry out of the whole list
		if i < settingsChanges {
			hand = api.AdminNone // it was drained before the cut
		}
		if _, err = north.PutAdminState(ctx, fmt.Sprint("upstream-", i), api.StateChange{AdminState: hand}); err != nil {
			return nil, err
		}
	}
	on, err := north.Document(ctx, settingsService, 0, true)
	if err != nil {
		return nil, err
	}
	if version, _, err = putSettings(ctx, north, settingsService, 1, on.Revision); err != nil {
		return nil, err
	}
	if !pause.For(ctx, p.scaled(cutFor)-time.Since(cut)) {
		return nil, ctx.Err()
	}
	healed := time.Now()
	whole, err := counterAt(link.address(), address[0])
	if err != nil {
		return nil, err
	}
	defer whole.close()
	if err := awaitFollowed(ctx, south, version); err != nil {
		return nil, err
	}
	return map[string]float64{"heal_s": time.Since(healed).Seconds(), "heal_bytes": float64(whole.bytes()), "change_bytes": change, "steady_bytes": steady}, nil
}

// awaitFollowed waits until a region has taken in all of north's changes up to a version.
func awaitFollowed(ctx context.Context, c *client.Client, version int64) error {
	end := time.Now().Add(healTimeout)
	for {
		said, _ := c.Status(ctx) // who does not answer is asked again
		for _, s := range said {
			for _, f := range s.Replication {
				if f.Region == "north" && f.Revision >= version {
					return nil
				}
			}
		}
		if time.Now().After(end) {
			return errors.New("the other region is not followed")
		}
		if !pause.For(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}
