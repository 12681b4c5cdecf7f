package loadtest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mosslead/internal/lab/pause"
	"mosslead/internal/registry/api"
)

// Churn is what a list that changes fast was found to cost.
type Churn struct {
	Watchers int     `json:"watchers"`
	Entries  int     `json:"entries"`
	Changes  int     `json:"changes"`
	Seconds  float64 `json:"seconds"`
	P99Ms    float64 `json:"p99_ms"`    // from a change's confirmation to a watcher's line that holds it
	Joined   float64 `json:"joined"`    // changes for each line
	AllHeard bool    `json:"all_heard"` // every watcher had the last change within 2 s of it
	MemoryMB float64 `json:"memory_mb"`
}

// MeasureChurn changes a part of a large list within a time, while so many watch.
func (r Runner) MeasureChurn(ctx context.Context, watchers, entries, changes int, within time.Duration) (m Churn, err error) {
	m = Churn{Watchers: watchers, Entries: entries, Changes: changes}
	b, err := r.filled(ctx, entries)
	if err != nil {
		return m, err
	}
	defer b.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make([]atomic.Int64, changes+1) // when a version was confirmed, in ns since begun; by version from the first on
	begun := time.Now()
	var lines, heard atomic.Int64
	var mu sync.Mutex
	var lags []time.Duration
	var last sync.WaitGroup
	last.Add(watchers)
	first := b.version
	for range watchers {
		conn, err := watchFrom(ctx, b.At[0], b.version)
		if err != nil {
			return m, err
		}
		go func() {
			var own []time.Duration
			seen := first
			readLines(ctx, conn, func(line []byte) bool {
				now := time.Since(begun)
				var l api.WatchEvent
				if json.Unmarshal(line, &l) != nil {
					return true
				}
				lines.Add(1)
				for v := seen + 1; v <= l.Revision; v++ {
					if at := done[v-first].Load(); at > 0 { // else it was heard of before its caller was
						own = append(own, max(0, now-time.Duration(at)))
					}
				}
				heard.Add(l.Revision - seen)
				seen = l.Revision
				return seen < first+int64(changes)
			})
			mu.Lock()
			lags = append(lags, own...)
			mu.Unlock()
			if seen == first+int64(changes) {
				last.Done()
			}
		}()
	}
	var writers sync.WaitGroup
	const side = 8
	for k := range side {
		writers.Go(func() {
			for i := k; i < changes && ctx.Err() == nil; i += side {
				due := begun.Add(within * time.Duration(i) / time.Duration(changes))
				pause.For(ctx, time.Until(due))
				v, err := b.Client.PutAdminState(ctx, fmt.Sprint("u", i), api.StateChange{AdminState: api.AdminDrain})
				if err == nil {
					done[v-first].Store(int64(time.Since(begun)))
				}
			}
		})
	}
	writers.Wait()
	m.Seconds = time.Since(begun).Seconds()
	all := make(chan struct{})
	go func() { last.Wait(); close(all) }()
	select {
	case <-all:
		m.AllHeard = true
	case <-time.After(2 * time.Second):
	case <-ctx.Done():
	}
	if u, err := b.Children[0].Use(); err == nil {
		m.MemoryMB = u.MemoryMB
	}
	m.Joined = float64(heard.Load()) / float64(max(1, lines.Load()))
	mu.Lock()
	defer mu.Unlock()
	m.P99Ms = quantile(lags, 99)
	return m, ctx.Err()
}

// Return is what it was found to cost that all watchers come back at once.
type Return struct {
	Watchers int     `json:"watchers"`
	Entries  int     `json:"entries"`
	Whole    bool    `json:"whole"`    // each gets the whole list, and not the last ten changes
	Within   float64 `json:"within_s"` // they come back spread over this
	AllBack  float64 `json:"all_back_s"`
	Failed   int     `json:"failed"`
	P99Ms    float64 `json:"p99_ms"` // from a watcher's try to its first line
	MemoryMB float64 `json:"memory_mb"`
	CPUMs    float64 `json:"cpu_ms"` // of the replica, over all of it
	Bytes    int64   `json:"bytes"`  // that watchers read up to the end of their first line
}

// MeasureReturn has so many watchers open within a time, each with a version ten changes old, or with none.
func (r Runner) MeasureReturn(ctx context.Context, watchers, entries int, whole bool, within time.Duration) (m Return, err error) {
	m = Return{Watchers: watchers, Entries: entries, Whole: whole, Within: within.Seconds()}
	b, err := r.filled(ctx, entries)
	if err != nil {
		return m, err
	}
	defer b.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	version := b.version - 10
	if whole {
		version = -1
	}
	before, err := b.Children[0].Use()
	if err != nil {
		return m, err
	}
	begun := time.Now()
	var all sync.WaitGroup
	var mu sync.Mutex
	var lags []time.Duration
	for range watchers {
		after := time.Duration(rand.Int64N(int64(within)))
		all.Go(func() {
			if !pause.For(ctx, after) {
				return
			}
			from := time.Now()
			conn, err := watchFrom(ctx, b.At[0], version)
			read := 0
			if err == nil {
				got := false
				stop := time.AfterFunc(hearWithin, func() { _ = conn.Close() })
				readLines(ctx, conn, func(line []byte) bool { got, read = true, len(watchHeader)+len(line); return false })
				stop.Stop()
				if !got {
					err = errUnheard
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				m.Failed++
				return
			}
			m.Bytes += int64(read)
			lags = append(lags, time.Since(from))
		})
	}
	all.Wait()
	m.AllBack = time.Since(begun).Seconds()
	if u, err := b.Children[0].Use(); err == nil {
		m.MemoryMB, m.CPUMs = u.MemoryMB, float64((u.CPU-before.CPU).Microseconds())/1e3
	}
	m.P99Ms = quantile(lags, 99)
	return m, ctx.Err()
}

// watchHeader is about what an answer's head takes besides.
const watchHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\nTrailer: X-Registry-End\r\nConnection: close\r\n\r\n"

var errUnheard = fmt.Errorf("no line within %v", hearWithin)

// watchFrom opens a watch.
func watchFrom(ctx context.Context, at string, version int64) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", at)
	if err != nil {
		return nil, err
	}
	if _, err = fmt.Fprintf(conn, "GET /api/targets?watch=1&from=%d HTTP/1.1\r\nHost: lab\r\n\r\n", version); err != nil {
		_ = conn.Close()
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	return conn, nil
}

// readLines gives each message of a watch to f until that says false, or the watch ends. The connection stays open.
func readLines(ctx context.Context, conn net.Conn, f func([]byte) bool) {
	in := bufio.NewScanner(conn)
	in.Buffer(nil, 8<<20)
	for ctx.Err() == nil && in.Scan() {
		if line := bytes.TrimSpace(in.Bytes()); bytes.HasPrefix(line, []byte(`{"index"`)) && !f(line) {
			return
		}
	}
}
