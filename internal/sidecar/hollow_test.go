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

// startHollow runs one until its test ends, or what it gives is called.
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

// Guards against a hollow sidecar that does not follow the list as a real one does, that hides what it heard from whoever plays with it,
// or that leaves goroutines behind; and against one without state or with a list service of several replicas that differs.
func TestHollowFollowsTheList(t *testing.T) {
	for name, addresses := range map[string]func(string) string{
		"one address":      func(a string) string { return a },
		"several replicas": func(a string) string { return a + "," + strings.Replace(a, "127.0.0.1", "127.0.0.2", 1) },
	} {
		t.Run(name, func(t *testing.T) {
			goes := make(chan struct{})
			d := newDiscovery(t, func(_ int, send func(string), done <-chan struct{}) {
				send(list(5, true, entry("a", "127.0.0.2:1", "Ready"), entry("b", "127.0.0.2:2", "Ready")))
				send("")
				send(list(6, false, entry("a", "127.0.0.2:1", "Terminating")))
				send(list(7, true, entry("b", "127.0.0.2:2", "Ready")))
				close(goes)
				<-done
			})
			before := goleak.IgnoreCurrent()
			c := testConfig(t, addresses(d.address))
			c.State = t.TempDir()
			var mu sync.Mutex
			var inbox []string
			done := make(chan struct{})
			end := startHollow(t, c, HollowObserver{
				OnList: func(index int64, entries int, at time.Time) {
					mu.Lock()
					defer mu.Unlock()
					inbox = append(inbox, fmt.Sprintf("list %d of %d", index, entries))
					if at.IsZero() {
						t.Error("heard at no time")
					}
					if index == 7 {
						close(done)
					}
				},
				OnChange: func(name, status string, index int64) {
					mu.Lock()
					defer mu.Unlock()
					inbox = append(inbox, fmt.Sprint(name, " ", status, " ", index))
				},
			})
			select {
			case <-done:
			case <-time.After(testTimeout):
				t.Fatal("the list was not followed")
			}
			<-goes
			eventually(t, "the state directory taken up", func() bool {
				tables, err := filepath.Glob(filepath.Join(c.State, "bans.*"))
				return err == nil && len(tables) > 0
			})
			end()
			want := []string{"a Ready 5", "b Ready 5", "list 5 of 2", "a Terminating 6", "list 6 of 2", "b Ready 7", "a Gone 7", "list 7 of 1"}
			if !slices.Equal(inbox, want) {
				t.Errorf("heard %q, not %q", inbox, want)
			}
			// What it held is on disk, as a real one's would be.
			persisted, err := statestore.New(c.State, c.Name).Load(time.Now())
			if err != nil || persisted.List == nil || !strings.Contains(string(persisted.List.Listing), `"name":"b"`) || persisted.Crashed {
				t.Errorf("kept %+v, %v", persisted, err)
			}
			goleak.VerifyNone(t, before)
		})
	}
}

// Guards against a hollow sidecar that shares without an end, or that listens for requests which it has nobody to send.
func TestHollowShares(t *testing.T) {
	d := quietDiscovery(t)
	before := goleak.IgnoreCurrent()
	c := testConfig(t, d.address)
	c.Peers = &Peers{Address: "127.0.0.1:0", Forward: d.address, Zone: "a"} // taken: whoever listens there fails
	listed := make(chan struct{})
	end := startHollow(t, c, HollowObserver{OnList: func(int64, int, time.Time) { close(listed) }})
	select {
	case <-listed:
	case <-time.After(testTimeout):
		t.Fatal("the list was not followed")
	}
	end()
	goleak.VerifyNone(t, before)
}

// What a hollow one costs among others: go test -run '^$' -bench Hollow -benchtime 200x ./internal/sidecar
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
			costs(b, func(ready *sync.WaitGroup) {
				startHollow(b, testConfig(b, d.address+",127.0.0.2:1"), HollowObserver{OnList: func(int64, int, time.Time) { ready.Done() }})
			})
		})
		b.Run(fmt.Sprint(size, " entries and settings"), func(b *testing.B) {
			svc := newListService(b, entries...)
			svc.announce(document(5, probing))
			costs(b, func(ready *sync.WaitGroup) {
				c := ofService(b, svc.address)
				c.Known = nil
				startHollow(b, c, HollowObserver{OnSettings: func(string, int64, error, time.Time) { ready.Done() }})
			})
		})
	}
}

// costs tells what each of b.N holds. The fake's side of each watch is in the figure: a connection and its goroutines.
func costs(b *testing.B, begin func(ready *sync.WaitGroup)) {
	b.Helper()
	before := footprintNow()
	var ready sync.WaitGroup
	for range b.N {
		ready.Add(1)
		begin(&ready)
	}
	ready.Wait()
	b.StopTimer()
	now := footprintNow()
	b.ReportMetric(float64(now.bytes-before.bytes)/float64(b.N)/1024, "KB/hollow")
	b.ReportMetric(float64(now.goroutines-before.goroutines)/float64(b.N), "goroutines/hollow")
}

type footprint struct{ bytes, goroutines int64 }

// footprintNow is what the process holds once the garbage is gone: heap and stacks.
func footprintNow() footprint {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return footprint{int64(m.HeapInuse + m.StackInuse), int64(runtime.NumGoroutine())}
}
