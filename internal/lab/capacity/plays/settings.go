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
	documentBytes    = 4096 // approximate; the exact length is in the result
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
		question:    "What does a replica spend on the settings of many services?",
		how:         "resident memory of one replica in memory (the kernel's count) after so many documents of about 4 KB were put, less that before; bytes of one document, and its processor time for one put",
		series:      []capacity.Series{{Name: "memory_mb", Unit: "MB", Form: "documents"}, {Name: "put_cpu_ms", Unit: "ms", Form: "documents"}},
		sampleSizes: eachSize("documents", 50, 200, 400, 700), repeats: 2, checkSizes: sizes{"documents": 1000},
		exchange: true,
		run:      (*Player).measureDocuments,
	}
	plays["settings"] = play{
		question: "What does a change of a service's settings cost its sidecars, and when is it in force at all of them?",
		how: "so many real sidecars of one service, without a request, before one replica in memory with ten entries; over 25 quiet seconds the bytes of a sidecar both ways (watch and acknowledgements, without the kernel's headers); " +
			"then ten changes of about 4 KB, 0.5 s after the one before was in force: bytes and processor time of a sidecar for each, and from the put's call until the replica has heard from all that it is in force, the mean and the longest of ten",
		series: []capacity.Series{{Name: "steady_bytes", Unit: "bytes/s", Form: "sidecars"}, {Name: "change_bytes", Unit: "bytes", Form: "sidecars"}, {Name: "change_cpu_ms", Unit: "ms", Form: "sidecars"},
			{Name: "in_force_s", Unit: "s", Form: "sidecars"}, {Name: "in_force_most_s", Unit: "s", Form: "sidecars"}},
		sampleSizes: eachSize("sidecars", 2, 4, 8, 16), repeats: 1, checkSizes: sizes{"sidecars": 24},
		exchange: true,
		run:      (*Player).measureSettings,
	}
	plays["heal"] = play{
		question: "What does a heal cost two regions that follow each other?",
		how: "two regions of one replica each, one with so many entries and one document; the link from the other, which follows it, is cut for 11 s (after 10 s a follower asks for the whole list), in which each entry and the document change; then it is whole again: until the follower " +
			"has taken all of it in, and the bytes over the link, without the kernel's headers; before that bytes over the link for one change, the mean of ten, and of 8 quiet seconds",
		series:      []capacity.Series{{Name: "heal_s", Unit: "s", Form: "entries"}, {Name: "heal_bytes", Unit: "bytes", Form: "entries"}, {Name: "change_bytes", Unit: "bytes", Form: "entries"}, {Name: "steady_bytes", Unit: "bytes/s", Form: "entries"}},
		sampleSizes: eachSize("entries", 60, 120, 240, 360), repeats: 1, checkSizes: sizes{"entries": 450},
		run: (*Player).measureHeal,
	}
}

// document returns a service's settings of about documentBytes, which differ for each turn.
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

func putSettings(ctx context.Context, c *client.Client, service string, turn int, basedOn int64) (int64, int, error) {
	text, err := document(turn)
	if err != nil {
		return 0, 0, err
	}
	for end := time.Now().Add(settingsTimeout); ; {
		version, err := c.Put(ctx, service, api.PutRequest{Schema: settings.Schema, Settings: text, IfRevision: &basedOn})
		// A new replica hasn't announced yet which schema it understands.
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
	useBefore, err := replica.Use()
	if err != nil {
		return nil, err
	}
	cpuBefore, err := replica.Ran()
	if err != nil {
		return nil, err
	}
	length, n := 0, int(at["documents"])
	for i := range n {
		if _, length, err = putSettings(ctx, c, fmt.Sprint("service-", i), i, 0); err != nil {
			return nil, fmt.Errorf("document %d: %w", i, err)
		}
	}
	cpuAfter, err := replica.Ran()
	if err != nil {
		return nil, err
	}
	if !pause.For(ctx, p.scaled(settleFor)) {
		return nil, ctx.Err()
	}
	useAfter, err := replica.Use()
	if err != nil {
		return nil, err
	}
	return map[string]float64{"memory_mb": useAfter.MemoryMB - useBefore.MemoryMB, "put_cpu_ms": (cpuAfter - cpuBefore).Seconds() * 1e3 / float64(n), "document_bytes": float64(length)}, nil
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
			defer func() { _ = child.Kill() }() // an error is ignored: the process may have ended
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
	bytesBefore, startedAt := b.watchCounter.bytes(), time.Now()
	cpuBefore, err := totalCPU(children)
	if err != nil {
		return nil, err
	}
	if !pause.For(ctx, p.scaled(acksFor)) {
		return nil, ctx.Err()
	}
	took := time.Since(startedAt).Seconds()
	steady := float64(b.watchCounter.bytes()-bytesBefore) / took
	cpuQuiet, err := totalCPU(children)
	if err != nil {
		return nil, err
	}
	quietShare := (cpuQuiet - cpuBefore).Seconds() / took
	bytesBefore, startedAt = b.watchCounter.bytes(), time.Now()
	var sum, longest time.Duration
	for i := range settingsChanges {
		putAt := time.Now()
		if version, _, err = putSettings(ctx, b.client, settingsService, i+1, version); err != nil {
			return nil, err
		}
		inForceAt, err := awaitInForce(ctx, b.client, version, len(children))
		if err != nil {
			return nil, err
		}
		sum, longest = sum+inForceAt.Sub(putAt), max(longest, inForceAt.Sub(putAt))
		if !pause.For(ctx, p.scaled(settingsInterval)) {
			return nil, ctx.Err()
		}
	}
	took = time.Since(startedAt).Seconds()
	cpuAfter, err := totalCPU(children)
	if err != nil {
		return nil, err
	}
	return map[string]float64{"steady_bytes": steady / n, "change_bytes": (float64(b.watchCounter.bytes()-bytesBefore) - steady*took) / n / settingsChanges,
		"change_cpu_ms": ((cpuAfter - cpuQuiet).Seconds() - quietShare*took) * 1e3 / n / settingsChanges,
		"in_force_s":    sum.Seconds() / settingsChanges, "in_force_most_s": longest.Seconds(), "document_bytes": float64(length)}, nil
}

// awaitInForce waits until the replica reports a version of the settings as in force at the given number of sidecars.
func awaitInForce(ctx context.Context, c *client.Client, version int64, sidecars int) (time.Time, error) {
	end := time.Now().Add(settingsTimeout)
	for {
		rollouts, err := c.Rollouts(ctx)
		if err != nil {
			return time.Time{}, err
		}
		inForce := 0
		for _, r := range rollouts.Rollouts {
			if r.Service == settingsService && r.Revision == version {
				inForce = r.InForce
			}
		}
		if inForce == sidecars {
			return time.Now(), nil
		}
		if time.Now().After(end) {
			return time.Time{}, fmt.Errorf("version %d is in force at %d of %d after %v", version, inForce, sidecars, settingsTimeout)
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

// startAnother starts one more sidecar on the same list, like the testbed's except for its name and addresses. With an error it may
// return a child too, which the caller has to kill.
func (p *Player) startAnother(ctx context.Context, b *testbed, dir string, i int) (*proc.Child, error) {
	addresses, err := loopback.Addresses(2)
	if err != nil {
		return nil, err
	}
	ownDir := filepath.Join(p.Dir, dir, fmt.Sprint("sidecar-", i))
	c := sidecarConfig(fmt.Sprint("sidecar-", i), addresses[0], addresses[1], b.watchCounter.address(), filepath.Join(ownDir, "state"), 10)
	c["service"] = settingsService
	return p.startSidecar(ctx, c, ownDir)
}

func (p *Player) measureHeal(ctx context.Context, at sizes, dir string) (map[string]float64, error) {
	r, err := p.runner(dir)
	if err != nil {
		return nil, err
	}
	addresses, err := loopback.Addresses(4)
	if err != nil {
		return nil, err
	}
	link, err := newCounter(addresses[0])
	if err != nil {
		return nil, err
	}
	defer func() { link.close() }()
	var clients [2]*client.Client
	for i, name := range []string{"north", "south"} {
		c := map[string]any{"name": "r0", "dir": filepath.Join(r.Dir, name), "region": name,
			"replica": []map[string]any{{"name": "r0", "api": addresses[2*i], "raft": addresses[2*i+1]}}}
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
		defer func() { _ = child.Kill() }() // an error is ignored: the process may have ended
		clients[i] = client.New(addresses[2*i : 2*i+1])
		defer clients[i].Close()
		if err := loadtest.Await(ctx, clients[i], 1); err != nil {
			return nil, err
		}
	}
	north, south := clients[0], clients[1]
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
	bytesBefore, startedAt := link.bytes(), time.Now()
	if !pause.For(ctx, p.scaled(steadyFor)) {
		return nil, ctx.Err()
	}
	steady := float64(link.bytes()-bytesBefore) / time.Since(startedAt).Seconds()
	bytesBefore, startedAt = link.bytes(), time.Now()
	for i := range settingsChanges {
		if version, err = north.PutAdminState(ctx, fmt.Sprint("upstream-", i%n), api.StateChange{AdminState: api.AdminDrain}); err != nil {
			return nil, err
		}
		if err := awaitFollowed(ctx, south, version); err != nil {
			return nil, err
		}
	}
	change := max(0, float64(link.bytes()-bytesBefore)-steady*time.Since(startedAt).Seconds()) / settingsChanges
	link.close()
	cutAt := time.Now()
	for i := range n {
		adminState := api.AdminDrain // not a ban, which would leave the entry out of the whole list
		if i < settingsChanges {
			adminState = api.AdminNone // it was drained before the cut
		}
		if _, err = north.PutAdminState(ctx, fmt.Sprint("upstream-", i), api.StateChange{AdminState: adminState}); err != nil {
			return nil, err
		}
	}
	current, err := north.Document(ctx, settingsService, 0, true)
	if err != nil {
		return nil, err
	}
	if version, _, err = putSettings(ctx, north, settingsService, 1, current.Revision); err != nil {
		return nil, err
	}
	if !pause.For(ctx, p.scaled(cutFor)-time.Since(cutAt)) {
		return nil, ctx.Err()
	}
	healedAt := time.Now()
	healedLink, err := counterAt(link.address(), addresses[0])
	if err != nil {
		return nil, err
	}
	defer healedLink.close()
	if err := awaitFollowed(ctx, south, version); err != nil {
		return nil, err
	}
	return map[string]float64{"heal_s": time.Since(healedAt).Seconds(), "heal_bytes": float64(healedLink.bytes()), "change_bytes": change, "steady_bytes": steady}, nil
}

// awaitFollowed waits until a region has applied all of north's changes up to a version.
func awaitFollowed(ctx context.Context, c *client.Client, version int64) error {
	end := time.Now().Add(healTimeout)
	for {
		statuses, _ := c.Status(ctx) // a replica that doesn't answer is asked again
		for _, s := range statuses {
			for _, f := range s.Replication {
				if f.Region == "north" && f.Revision >= version {
					return nil
				}
			}
		}
		if time.Now().After(end) {
			return errors.New("the region has not applied north's changes in time")
		}
		if !pause.For(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}
