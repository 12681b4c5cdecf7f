package sidecar

import (
	"context"
	"fmt"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"mosslead/internal/statestore"
)

// startHollow runs a hollow sidecar until end is called or the test ends.
func startHollow(t testing.TB, c *Config, h HollowObserver) (end func()) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- RunHollow(ctx, c, h) }()
	end = sync.OnceFunc(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(end)
	return end
}

// Guards against a hollow sidecar that does not follow the list or store state as a real one does, that does not report to its
// observer what it receives, or that leaks goroutines. It has one address of the list service, or several.
func TestHollowFollowsTheList(t *testing.T) {
	for name, addresses := range map[string]func(string) string{
		"one address":      func(a string) string { return a },
		"several replicas": func(a string) string { return a + "," + strings.Replace(a, "127.0.0.1", "127.0.0.2", 1) },
	} {
		t.Run(name, func(t *testing.T) {
			sentAll := make(chan struct{})
			d := newDiscovery(t, func(_ int, send func(string), done <-chan struct{}) {
				send(list(5, true, entry("a", "127.0.0.2:1", "Ready"), entry("b", "127.0.0.2:2", "Ready")))
				send("")
				send(list(6, false, entry("a", "127.0.0.2:1", "Terminating")))
				send(list(7, true, entry("b", "127.0.0.2:2", "Ready")))
				close(sentAll)
				<-done
			})
			before := goleak.IgnoreCurrent()
			c := testConfig(t, addresses(d.address))
			c.State = t.TempDir()
			var mu sync.Mutex
			var got []string
			done := make(chan struct{})
			end := startHollow(t, c, HollowObserver{
				OnList: func(index int64, entries int, at time.Time) {
					mu.Lock()
					defer mu.Unlock()
					got = append(got, fmt.Sprintf("list %d of %d", index, entries))
					if at.IsZero() {
						t.Errorf("OnList of revision %d: got the zero time, want the time of receipt", index)
					}
					if index == 7 {
						close(done)
					}
				},
				OnChange: func(name, status string, index int64) {
					mu.Lock()
					defer mu.Unlock()
					got = append(got, fmt.Sprint(name, " ", status, " ", index))
				},
			})
			select {
			case <-done:
			case <-time.After(testTimeout):
				t.Fatalf("OnList was not called with revision 7 within %v", testTimeout)
			}
			<-sentAll
			eventually(t, "the sidecar uses its state directory", func() bool {
				tables, err := filepath.Glob(filepath.Join(c.State, "bans.*"))
				return err == nil && len(tables) > 0
			})
			end()
			want := []string{"a Ready 5", "b Ready 5", "list 5 of 2", "a Terminating 6", "list 6 of 2", "b Ready 7", "a Gone 7", "list 7 of 1"}
			if !slices.Equal(got, want) {
				t.Errorf("observer calls: got %q, want %q", got, want)
			}
			// The list must be on disk, as with a real sidecar.
			persisted, err := statestore.New(c.State, c.Name).Load(time.Now())
			if err != nil || persisted.List == nil || !strings.Contains(string(persisted.List.Listing), `"name":"b"`) || persisted.Crashed {
				t.Errorf("state on disk: got %+v, error %v; want a list with b and a clean end", persisted, err)
			}
			goleak.VerifyNone(t, before)
		})
	}
}

// Guards against a hollow sidecar that does not end its sharing, or that listens for forwarded requests.
func TestHollowShares(t *testing.T) {
	d := quietDiscovery(t)
	before := goleak.IgnoreCurrent()
	c := testConfig(t, d.address)
	c.Peers = &Peers{Address: "127.0.0.1:0", Forward: d.address, Zone: "a"} // Forward is in use: listening there fails
	listed := make(chan struct{})
	end := startHollow(t, c, HollowObserver{OnList: func(int64, int, time.Time) { close(listed) }})
	select {
	case <-listed:
	case <-time.After(testTimeout):
		t.Fatalf("OnList was not called within %v", testTimeout)
	}
	end()
	goleak.VerifyNone(t, before)
}

// BenchmarkHollow measures the cost of one hollow sidecar among b.N: go test -run '^$' -bench Hollow -benchtime 200x ./internal/sidecar
func BenchmarkHollow(b *testing.B) {
	for _, size := range []int{100, 1800} {
		var entries []string
		for i := range size {
			entries = append(entries, entry(fmt.Sprintf("orders-%04d", i), fmt.Sprintf("127.0.%d.%d:7000", i/250, 1+i%250), "Ready"))
		}
		text := list(5, true, entries...)
		b.Run(fmt.Sprint(size, " entries"), func(b *testing.B) {
			d := newDiscovery(b, func(_ int, send func(string), done <-chan struct{}) {
				send(text)
				<-done
			})
			measureCost(b, func(ready *sync.WaitGroup) {
				startHollow(b, testConfig(b, d.address+",127.0.0.2:1"), HollowObserver{OnList: func(int64, int, time.Time) { ready.Done() }})
			})
		})
		b.Run(fmt.Sprint(size, " entries and settings"), func(b *testing.B) {
			svc := newListService(b, entries...)
			svc.announce(document(5, probeSettings))
			measureCost(b, func(ready *sync.WaitGroup) {
				c := ordersConfig(b, svc.address)
				c.Known = nil
				startHollow(b, c, HollowObserver{OnSettings: func(string, int64, error, time.Time) { ready.Done() }})
			})
		})
	}
}

// measureCost calls start b.N times, and reports the memory and goroutines per sidecar. The figures include the
// fake's side of each watch: a connection and its goroutines.
func measureCost(b *testing.B, start func(ready *sync.WaitGroup)) {
	b.Helper()
	before := measureFootprint()
	var ready sync.WaitGroup
	for range b.N {
		ready.Add(1)
		start(&ready)
	}
	ready.Wait()
	b.StopTimer()
	after := measureFootprint()
	b.ReportMetric(float64(after.bytes-before.bytes)/float64(b.N)/1024, "KB/hollow")
	b.ReportMetric(float64(after.goroutines-before.goroutines)/float64(b.N), "goroutines/hollow")
}

// footprint is the memory and the number of goroutines of this process.
type footprint struct{ bytes, goroutines int64 }

// measureFootprint returns the footprint of the process after garbage collection: heap, stacks and goroutines.
func measureFootprint() footprint {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return footprint{int64(m.HeapInuse + m.StackInuse), int64(runtime.NumGoroutine())}
}
