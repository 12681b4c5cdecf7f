package plays

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"mosslead/internal/lab/capacity"
	"mosslead/internal/lab/loadtest"
	"mosslead/internal/lab/loopback"
	"mosslead/internal/lab/pause"
	"mosslead/internal/lab/proc"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

const (
	readyWithin     = 10 * time.Second
	settleFor       = 5 * time.Second // wait for a process to settle before it is measured
	steadyFor       = 8 * time.Second
	sidecarChanges  = 20 // changes of the list during the measurement
	changeInterval  = 150 * time.Millisecond
	loadFor         = 12 * time.Second
	directUpstreams = 10 // upstreams that answer at once
	blockCalls      = 200
	learnFor        = 3 * time.Second
)

func init() {
	plays["sidecar"] = play{
		question: "What does a sidecar spend on a list, with no request to carry?",
		how: "one real process, its list from one replica, state kept on disk, nothing shared: resident memory and processor time (of all its threads, to the nanosecond) by the kernel's counts over 8 quiet seconds; " +
			"bytes of its watch both ways, without the kernel's headers; then 20 changes of one entry each, 0.15 s apart; its state directory's size and what the process wrote to it a second (all it wrote but the watch); the operators' STATS",
		series: []capacity.Series{{Name: "memory_mb", Unit: "MB", Form: "entries"}, {Name: "core_share", Unit: "of a core", Form: "entries"}, {Name: "watch_bytes", Unit: "bytes/s", Form: "entries"},
			{Name: "change_bytes", Unit: "bytes", Form: "entries"}, {Name: "change_cpu_ms", Unit: "ms", Form: "entries"}, {Name: "list_bytes", Unit: "bytes", Form: "entries"},
			{Name: "disk_bytes", Unit: "bytes", Form: "entries"}, {Name: "disk_written", Unit: "bytes/s", Form: "entries"}, {Name: "stats_bytes", Unit: "bytes", Form: "entries"}},
		sampleSizes: eachSize("entries", 10, 200, 600, 1000), repeats: 1, checkSizes: sizes{"entries": 1800},
		exchange: true,
		run:      (*Player).measureSidecar,
	}
	plays["calls"] = play{
		question: "What does a call through a sidecar cost and take beside the same call straight?",
		how: "one real process before ten upstreams of this process that answer at once; calls at a rate for 12 s, in turn through the sidecar and straight, each on connections that stand; processor time of all its threads by the kernel's count; " +
			"times of both by their quantiles in each 200 calls, which stood still with the machine or not: the median of these quantiles' differences",
		series: []capacity.Series{{Name: "core_share", Unit: "of a core", Form: "calls"}, {Name: "added_p50_ms", Unit: "ms", Form: "calls"}, {Name: "added_p99_ms", Unit: "ms", Form: "calls"},
			{Name: "memory_mb", Unit: "MB", Form: "calls"}},
		sampleSizes: eachSize("calls", 50, 94, 188, 282), repeats: 2, checkSizes: sizes{"calls": 400},
		run: (*Player).measureCalls,
	}
}

// testbed is a sidecar with a list service of one replica in memory.
type testbed struct {
	service      *loadtest.Bed
	client       *client.Client // client of the list service
	watchCounter *counter
	child        *proc.Child
	listen       string
	ops          string
	state        string
}

func (b *testbed) close() {
	if b.child != nil {
		_ = b.child.Kill() // an error is ignored: the process may have ended
	}
	if b.watchCounter != nil {
		b.watchCounter.close()
	}
	b.service.Close()
}

// newTestbed starts a list service that lists the given upstreams, and a sidecar. After an error neither is left
// running.
func (p *Player) newTestbed(ctx context.Context, dir string, upstreams []string, config map[string]any) (b *testbed, err error) {
	r, err := p.runner(dir)
	if err != nil {
		return nil, err
	}
	service, err := r.Alone(ctx)
	if err != nil {
		return nil, err
	}
	b = &testbed{service: service, client: service.Client}
	defer func() {
		if err != nil {
			b.close()
		}
	}()
	addresses, err := loopback.Addresses(2)
	if err != nil {
		return nil, err
	}
	for i, address := range upstreams {
		if _, err := b.client.Register(ctx, fmt.Sprint("upstream-", i), newRegistration(i, address)); err != nil {
			return nil, fmt.Errorf("entry %d: %w", i, err)
		}
	}
	if b.watchCounter, err = newCounter(service.At[0]); err != nil {
		return nil, err
	}
	b.listen, b.ops, b.state = addresses[0], addresses[1], filepath.Join(r.Dir, "state")
	c := sidecarConfig("sidecar-0", b.listen, b.ops, b.watchCounter.address(), b.state, len(upstreams))
	maps.Copy(c, config)
	b.child, err = p.startSidecar(ctx, c, r.Dir)
	return b, err
}

func sidecarConfig(name, listen, ops, discovery, state string, upstreams int) map[string]any {
	return map[string]any{"name": name, "listen": listen, "ops": ops, "discovery": discovery, "seed": "1f", "state": state,
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 512}, "settings": sidecarSettings(upstreams)}
}

// startSidecar starts a sidecar and returns when it is ready. With an error it may return a child too, which the caller has to kill.
func (p *Player) startSidecar(ctx context.Context, c map[string]any, dir string) (*proc.Child, error) {
	text, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := errors.Join(os.MkdirAll(c["state"].(string), 0o755), os.WriteFile(path, text, 0o644)); err != nil {
		return nil, err
	}
	child, err := proc.Start(proc.Spec{Name: c["name"].(string), Path: p.Sidecar[0], Args: p.Sidecar[1:], Dir: dir, LogFile: filepath.Join(dir, "sidecar.log"),
		Env: []string{"GW_CONFIG=" + path, "GW_NAME=" + c["name"].(string), "TMPDIR=" + dir}})
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(readyWithin); ; {
		if text, err := operatorsCall(c["ops"].(string), "READY"); err == nil && text == "YES\n" {
			return child, nil
		}
		select {
		case <-child.Ended():
			return child, fmt.Errorf("the sidecar ended before it was ready: %s", child.Exit())
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return child, ctx.Err()
		}
		if time.Now().After(end) {
			return child, fmt.Errorf("the sidecar was not ready within %v", readyWithin)
		}
	}
}

func (p *Player) measureSidecar(ctx context.Context, at sizes, dir string) (map[string]float64, error) {
	upstreams := make([]string, int(at["entries"]))
	for i := range upstreams {
		upstreams[i] = fmt.Sprintf("127.9.%d.%d:9000", i/250, 1+i%250)
	}
	b, err := p.newTestbed(ctx, dir, upstreams, nil)
	if err != nil {
		return nil, err
	}
	defer b.close()
	if !pause.For(ctx, p.scaled(settleFor)) {
		return nil, ctx.Err()
	}
	got := map[string]float64{"list_bytes": float64(b.watchCounter.bytes())}
	cpu, diskIO, read, markedAt := time.Duration(0), proc.IO{}, int64(0), time.Now()
	mark := func() (err1 error) {
		markedAt, read = time.Now(), b.watchCounter.bytes()
		if cpu, err1 = b.child.Ran(); err1 == nil {
			diskIO, err1 = b.child.IO()
		}
		return err1
	}
	if err := mark(); err != nil {
		return nil, err
	}
	cpuBefore, diskIOBefore, readBefore, startedAt := cpu, diskIO, read, markedAt
	if !pause.For(ctx, p.scaled(steadyFor)) {
		return nil, ctx.Err()
	}
	if err := mark(); err != nil {
		return nil, err
	}
	took := markedAt.Sub(startedAt).Seconds()
	idleShare := (cpu - cpuBefore).Seconds() / took
	got["core_share"], got["watch_bytes"] = idleShare, float64(read-readBefore)/took
	got["disk_written"] = float64(diskIO.Written-diskIOBefore.Written) / took
	u, err := b.child.Use()
	if err != nil {
		return nil, err
	}
	got["memory_mb"] = u.MemoryMB
	if got["disk_bytes"], err = sizeOf(b.state); err != nil {
		return nil, err
	}
	text, err := operatorsCall(b.ops, "STATS")
	if err != nil {
		return nil, err
	}
	got["stats_bytes"] = float64(len("STATS\n") + len(text))
	if err := mark(); err != nil {
		return nil, err
	}
	cpuBefore, readBefore, startedAt = cpu, read, markedAt
	for i := range sidecarChanges {
		if _, err := b.client.PutAdminState(ctx, fmt.Sprint("upstream-", i%len(upstreams)), api.StateChange{AdminState: []string{api.AdminDrain, api.AdminNone}[i/len(upstreams)%2]}); err != nil {
			return nil, err
		}
		if !pause.For(ctx, p.scaled(changeInterval)) {
			return nil, ctx.Err()
		}
	}
	if err := mark(); err != nil {
		return nil, err
	}
	took = markedAt.Sub(startedAt).Seconds()
	got["change_bytes"] = float64(read-readBefore) / sidecarChanges
	got["change_cpu_ms"] = max(0, (cpu-cpuBefore).Seconds()-idleShare*took) * 1e3 / sidecarChanges
	return got, nil
}

func (p *Player) measureCalls(ctx context.Context, at sizes, dir string) (map[string]float64, error) {
	cpu, median, err := measureExchange()
	if err != nil {
		return nil, err
	}
	var upstreams []string
	for range directUpstreams {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "served at once\n")
		})}
		var served sync.WaitGroup
		served.Go(func() { _ = s.Serve(ln) }) // returns after Close
		defer served.Wait()
		defer func() { _ = s.Close() }()
		upstreams = append(upstreams, ln.Addr().String())
	}
	b, err := p.newTestbed(ctx, dir, upstreams, nil)
	if err != nil {
		return nil, err
	}
	defer b.close()
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	defer transport.CloseIdleConnections()
	httpClient := &http.Client{Transport: transport, Timeout: 2 * time.Second}
	call := func(i int, address string) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/read/%d", address, i), nil)
		if err != nil {
			return err
		}
		req.Header.Set("X-Request-ID", fmt.Sprint("call-", i))
		req.Header.Set("X-Priority-Class", "read")
		req.Header.Set("X-Timeout", "1600000u")
		resp, err := httpClient.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("answered %s", resp.Status)
		}
		return nil
	}
	for i := range 200 { // opens connections, and lets the new process learn its estimates
		if err := errors.Join(call(i, b.listen), call(i, upstreams[i%len(upstreams)])); err != nil {
			return nil, fmt.Errorf("before the load: %w", err)
		}
	}
	if !pause.For(ctx, p.scaled(learnFor)) {
		return nil, ctx.Err()
	}
	cpuBefore, err := b.child.Ran()
	if err != nil {
		return nil, err
	}
	startedAt, gap := time.Now(), time.Duration(float64(time.Second)/at["calls"])
	var mu sync.Mutex
	var lags [2][]time.Duration
	failed := 0
	var calls sync.WaitGroup
	for i := 0; ; i++ {
		due := startedAt.Add(time.Duration(i) * gap)
		if due.Sub(startedAt) >= p.scaled(loadFor) || !pause.For(ctx, time.Until(due)) {
			break
		}
		timeCall := func(side int, due time.Time, address string) {
			err := call(i, address)
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			if lags[side] = append(lags[side], took); err != nil {
				failed++
			}
		}
		now := time.Now() // so that a delay of this process is in neither of the two times
		calls.Go(func() {
			timeCall(0, now, b.listen)
			if pause.For(ctx, gap/3) { // so that the straight call doesn't overlap the other
				timeCall(1, time.Now(), upstreams[i%len(upstreams)])
			}
		})
	}
	calls.Wait()
	cpuAfter, err := b.child.Ran()
	if err != nil {
		return nil, err
	}
	u, err := b.child.Use()
	if err != nil {
		return nil, err
	}
	if failed > 0 {
		return nil, fmt.Errorf("%d calls failed", failed)
	}
	added50, added99 := addedQuantile(lags[0], lags[1], 0.5), addedQuantile(lags[0], lags[1], 0.99)
	through50, through99, straight50, straight99 := quantile(lags[0], 0.5), quantile(lags[0], 0.99), quantile(lags[1], 0.5), quantile(lags[1], 0.99)
	return map[string]float64{"core_share": (cpuAfter - cpuBefore).Seconds() / time.Since(startedAt).Seconds(), "memory_mb": u.MemoryMB,
		"through_p50_ms": microseconds(through50) / 1e3, "through_p99_ms": microseconds(through99) / 1e3, "straight_p50_ms": microseconds(straight50) / 1e3, "straight_p99_ms": microseconds(straight99) / 1e3,
		"added_p50_ms": microseconds(added50) / 1e3, "added_p99_ms": microseconds(added99) / 1e3,
		"exchange_cpu_us": microseconds(cpu), "exchange_us": microseconds(median)}, ctx.Err()
}

// addedQuantile returns by how much a quantile of the calls through the sidecar exceeds that of the straight calls: the median over
// blocks of calls, so that a short standstill of the machine doesn't count.
func addedQuantile(through, straight []time.Duration, share float64) time.Duration {
	var differences []time.Duration
	n := min(len(through), len(straight))
	for start := 0; start+blockCalls <= n || start == 0; start += blockCalls {
		end := min(n, start+blockCalls)
		differences = append(differences, quantile(slices.Clone(through[start:end]), share)-quantile(slices.Clone(straight[start:end]), share))
	}
	return quantile(differences, 0.5)
}

func newRegistration(i int, address string) api.Registration {
	return api.Registration{Address: address, Zone: fmt.Sprintf("zone-%d", i%4), Machine: "cores-4", Weight: 4}
}

// sidecarSettings returns settings in the laboratory's form.
func sidecarSettings(upstreams int) map[string]any {
	return map[string]any{
		"Balancers": 4, "Me": 0, "Zone": "zone-0", "FailureDomains": []string{"zone-0", "zone-1", "zone-2", "zone-3"}, "Discovery": "push", "TickMs": 5, "WorthBy": "request",
		"Weights": "rough", "OverShareWorth": 0.05, "Tenants": []map[string]any{{"Name": "tenant-1", "Fraction": 1}},
		"Classes": []map[string]any{{"Name": "read", "Semantics": "retryable", "AimMs": 300, "DeadlineMs": 1600, "Importance": 2, "LateShare": 0.25, "KeyScope": "all", "Stream": false}},
		"Limits": map[string]any{"Cancelling": true, "ConnIdleMs": 60000, "ConnectTimeoutMs": 200, "Probes": false, "SendCap": 3,
			"StreamsPerConn": 1, "SecondCopies": false, "RetryAfter": false},
		"Prices": map[string]any{"CrossZone": 0.1, "LateFail": 0.03, "Probe": 0.002, "Waste": 0.2},
		"Rules":  map[string]any{"ColdFrom": 0.3, "WarmUpMs": 4000, "FallMultiple": 4, "FallMs": 1000, "DrainGraceMs": 3000},
	}
}

// operatorsCall sends one line to the operators' port and returns the answer.
func operatorsCall(address, line string) (string, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second)) // an error is ignored: the calls below fail then too
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", err
	}
	text, err := io.ReadAll(bufio.NewReader(c))
	return string(text), err
}

// sizeOf returns the total size of a directory's files.
func sizeOf(dir string) (sum float64, err error) {
	err = filepath.WalkDir(dir, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if errors.Is(err, fs.ErrNotExist) { // it was just replaced
			return nil
		}
		if err == nil {
			sum += float64(info.Size())
		}
		return err
	})
	return sum, err
}

func quantile(lags []time.Duration, share float64) time.Duration {
	if len(lags) == 0 {
		return 0
	}
	slices.Sort(lags)
	return lags[min(int(float64(len(lags))*share), len(lags)-1)]
}
