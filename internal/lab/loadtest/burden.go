// Package loadtest owns the measurement of what the list service bears: how late a change reaches many watchers, what they
// cost, and how many signs of life a quorum takes in.
package loadtest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"mosslead/internal/lab/loopback"
	"mosslead/internal/lab/pause"
	"mosslead/internal/lab/proc"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

const (
	serveWithin = 15 * time.Second
	settle      = 3 * time.Second // of watchers, before memory is read
	changeEvery = 400 * time.Millisecond
	hearWithin  = 5 * time.Second
	together    = 200 // connections that are opened at once
)

// Watchers is what watchers of one replica were found to cost.
type Watchers struct {
	Watchers     int     `json:"watchers"`
	Entries      int     `json:"entries"`
	Changes      int     `json:"changes"`
	P50Ms        float64 `json:"p50_ms"` // from the write's call to a watcher's line
	P99Ms        float64 `json:"p99_ms"`
	MostMs       float64 `json:"most_ms"`
	Unheard      int     `json:"unheard"`        // lines that did not come in time
	KBPerWatcher float64 `json:"kb_per_watcher"` // resident memory of the replica, while all is quiet
	CPUPerChange float64 `json:"cpu_ms_per_change"`
}

// Runner starts replicas. Command is the program with its words up to "serve".
type Runner struct {
	Command []string
	Dir     string // of logs and data
}

// MeasureWatchers has so many watch a list of so many entries on one replica, and changes it.
func (r Runner) MeasureWatchers(ctx context.Context, watchers, entries, changes int) (w Watchers, err error) {
	w = Watchers{Watchers: watchers, Entries: entries, Changes: changes}
	b, err := r.filled(ctx, entries)
	if err != nil {
		return w, err
	}
	defer b.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before, err := b.Children[0].Use()
	if err != nil {
		return w, err
	}
	heard := make(chan time.Time, watchers)
	if err := open(ctx, b, watchers, heard); err != nil {
		return w, err
	}
	if !pause.For(ctx, settle) {
		return w, ctx.Err()
	}
	quiet, err := b.Children[0].Use()
	if err != nil {
		return w, err
	}
	w.KBPerWatcher = (quiet.MemoryMB - before.MemoryMB) * 1024 / float64(watchers)
	var lags []time.Duration
	for i := range changes {
		begun := time.Now()
		if _, err := b.Client.PutAdminState(ctx, fmt.Sprint("u", i%entries), api.StateChange{AdminState: []string{api.AdminDrain, api.AdminNone}[i/entries%2]}); err != nil {
			return w, err
		}
		late := time.After(hearWithin)
		for n := 0; n < watchers; n++ {
			select {
			case t := <-heard:
				lags = append(lags, t.Sub(begun))
			case <-late:
				w.Unheard += watchers - n
				n = watchers
			}
		}
		if !pause.For(ctx, changeEvery) {
			return w, ctx.Err()
		}
	}
	after, err := b.Children[0].Use()
	if err != nil {
		return w, err
	}
	w.CPUPerChange = float64((after.CPU - quiet.CPU).Microseconds()) / 1e3 / float64(max(1, changes))
	w.P50Ms, w.P99Ms, w.MostMs = quantile(lags, 50), quantile(lags, 99), quantile(lags, 100)
	return w, nil
}

// quantile is that of so many in a hundred, in ms; 0 of none. It sorts lags.
func quantile(lags []time.Duration, percent int) float64 {
	if len(lags) == 0 {
		return 0
	}
	slices.Sort(lags)
	return float64(lags[min(len(lags)*percent/100, len(lags)-1)].Microseconds()) / 1e3
}

func registration(i int) api.Registration {
	return api.Registration{Address: fmt.Sprintf("127.0.0.1:%d", 1+i), Zone: "south", Machine: "cores-4", Weight: 1}
}

// open has watchers follow from a version on; the moment of each line but empty ones goes to heard.
func open(ctx context.Context, b *filledBed, n int, heard chan<- time.Time) error {
	errs := make(chan error, n)
	room := make(chan struct{}, together)
	for range n {
		room <- struct{}{}
		go func() {
			defer func() { <-room }()
			conn, err := watchFrom(ctx, b.At[0], b.version)
			if err != nil {
				errs <- err
				return
			}
			first := make(chan error, 1)
			go follow(ctx, conn, first, heard)
			errs <- <-first
		}()
	}
	for range n {
		if err := <-errs; err != nil {
			return fmt.Errorf("opening a watch: %w", err)
		}
	}
	return nil
}

// follow reads a watch until ctx ends. Chunks are lines here: the service writes one line a chunk.
func follow(ctx context.Context, conn net.Conn, first chan<- error, heard chan<- time.Time) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReaderSize(conn, 512)
	for body := false; ; {
		line, err := in.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if first != nil {
				first <- err
			}
			return
		}
		text := bytes.TrimSpace(line)
		switch {
		case first != nil && bytes.HasPrefix(text, []byte("HTTP/")) && !bytes.Contains(text, []byte(" 200 ")):
			first <- fmt.Errorf("answered %q", text)
			return
		case first != nil && len(text) == 0 && !body:
			body = true
		case first != nil && body:
			first <- nil
			first = nil
		case first == nil && bytes.HasPrefix(text, []byte(`{"index"`)):
			select {
			case heard <- time.Now():
			case <-ctx.Done():
				return
			}
		}
	}
}

// Renewals is what a quorum was found to take in.
type Renewals struct {
	Replicas int     `json:"replicas"`
	Servers  int     `json:"servers"`
	Asked    float64 `json:"asked_per_s"`
	Took     float64 `json:"took_per_s"`
	Failed   int     `json:"failed"`
	Lost     int     `json:"lost"` // leases that the service did not hold
	P99Ms    float64 `json:"p99_ms"`
	Cores    float64 `json:"cores"` // of all replicas together
	Leader   float64 `json:"leader_cores"`
	OwnCores float64 `json:"own_cores"` // of those who call
}

// MeasureRenewals has servers renew their leases one by one, each through any of the replicas.
func (r Runner) MeasureRenewals(ctx context.Context, replicas, servers int, rate float64, length time.Duration) (m Renewals, err error) {
	m = Renewals{Replicas: replicas, Servers: servers, Asked: rate}
	b, err := r.quorumBed(ctx, replicas)
	if err != nil {
		return m, err
	}
	defer b.Close()
	at, children, c := b.At, b.Children, b.Client
	if _, err := b.fill(ctx, servers, func(i int) api.Registration {
		g := registration(i)
		g.LeaseMs, g.Incarnation = 30_000, 1
		return g
	}); err != nil {
		return m, err
	}
	use := func() (sum time.Duration) {
		for _, child := range children {
			if u, err := child.Use(); err == nil {
				sum += u.CPU
			}
		}
		return sum
	}
	leads := leader(ctx, c)
	ofLeader := func() time.Duration {
		if leads < 0 {
			return 0
		}
		u, _ := children[leads].Use() // one that has ended is seen by its failures
		return u.CPU
	}
	before, leaderBefore, ownBefore, begun := use(), ofLeader(), proc.OwnCPU(), time.Now()
	var mu sync.Mutex
	var lags []time.Duration
	var all sync.WaitGroup
	// Each caller has a connection to one replica, and an even part of the rate.
	callers := 60
	for k := range callers {
		all.Go(func() {
			one := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer one.CloseIdleConnections()
			each := time.Duration(float64(callers) / rate * float64(time.Second))
			for i := 0; ctx.Err() == nil; i++ {
				due := begun.Add(time.Duration(k)*each/time.Duration(callers) + time.Duration(i)*each)
				if due.Sub(begun) > length || !pause.For(ctx, time.Until(due)) {
					return
				}
				lost, err := renewOne(one, at[k%len(at)], fmt.Sprint("u", (k+i*callers)%servers))
				mu.Lock()
				lags = append(lags, time.Since(due))
				m.Lost += lost
				if err != nil {
					m.Failed++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	took := time.Since(begun).Seconds()
	m.Cores, m.OwnCores = (use()-before).Seconds()/took, (proc.OwnCPU()-ownBefore).Seconds()/took
	m.Leader = (ofLeader() - leaderBefore).Seconds() / took
	m.Took = float64(len(lags)-m.Failed) / took
	m.P99Ms = quantile(lags, 99)
	return m, ctx.Err()
}

// leader is the number of the replica that leads; -1: none says so.
func leader(ctx context.Context, c *client.Client) int {
	said, _ := c.Status(ctx)
	for _, s := range said {
		var n int
		if _, err := fmt.Sscanf(s.Replica.Name, "r%d", &n); err == nil && s.State == "leader" {
			return n
		}
	}
	return -1
}

func renewOne(c *http.Client, at, name string) (lost int, err error) {
	text, err := json.Marshal(api.Heartbeats{Heartbeats: []api.Heartbeat{{Name: name, Incarnation: 1}}})
	if err != nil {
		return 0, err
	}
	resp, err := c.Post("http://"+at+"/v1/renew", "application/json", bytes.NewReader(text))
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var done api.HeartbeatResult
	if err := json.NewDecoder(resp.Body).Decode(&done); err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("answered %s", resp.Status)
	}
	return len(done.Expired), nil
}

// Quorum starts replicas that form one, r0 and so on. Their configurations are in Dir, each NAME.toml.
func (r Runner) Quorum(n int) (at []string, children []*proc.Child, err error) {
	peers, at, err := replicas(n)
	if err != nil {
		return nil, nil, err
	}
	children, err = r.quorum(peers, "", nil)
	return at, children, err
}

// replicas are so many with addresses of their own; at is where they answer.
func replicas(n int) (peers []map[string]any, at []string, err error) {
	for i := range n {
		a, err1 := loopback.Address()
		b, err2 := loopback.Address()
		if err1 != nil || err2 != nil {
			return nil, nil, fmt.Errorf("no free address: %w %w", err1, err2)
		}
		peers = append(peers, map[string]any{"name": fmt.Sprint("r", i), "api": a, "raft": b})
		at = append(at, a)
	}
	return peers, at, nil
}

// quorum starts replicas; before each name of a file stands which, and in each configuration what more.
func (r Runner) quorum(peers []map[string]any, which string, more map[string]any) (children []*proc.Child, err error) {
	for i := range peers {
		name := which + fmt.Sprint("r", i)
		c := map[string]any{"name": fmt.Sprint("r", i), "dir": filepath.Join(r.Dir, name), "replica": peers}
		maps.Copy(c, more)
		text, err := toml.Marshal(c)
		if err != nil {
			return children, err
		}
		path := filepath.Join(r.Dir, name+".toml")
		if err := os.WriteFile(path, text, 0o644); err != nil {
			return children, err
		}
		child, err := r.Start(name, "--config", path)
		if err != nil {
			return children, err
		}
		children = append(children, child)
	}
	return children, nil
}

// Start starts a replica, or starts one again, with words after the command's.
func (r Runner) Start(name string, words ...string) (*proc.Child, error) {
	return proc.Start(proc.Spec{Name: name, Path: r.Command[0], Args: append(r.Command[1:len(r.Command):len(r.Command)], words...), Dir: r.Dir,
		LogFile: filepath.Join(r.Dir, name+".log")})
}

// Await returns once all replicas serve.
func Await(ctx context.Context, c *client.Client, replicas int) error {
	ctx, cancel := context.WithTimeout(ctx, serveWithin)
	defer cancel()
	for {
		said, _ := c.Status(ctx)
		serving := 0
		for _, s := range said {
			if s.Leader != "" && s.StalenessMs >= 0 && s.StalenessMs < 1000 {
				serving++
			}
		}
		if serving == replicas {
			return nil
		}
		if !pause.For(ctx, 20*time.Millisecond) {
			return fmt.Errorf("%d of %d replicas serve", serving, replicas)
		}
	}
}
