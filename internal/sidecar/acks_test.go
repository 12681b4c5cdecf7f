package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mosslead/internal/registry/api"
)

// counting is a log that counts lines by their text.
type counting struct {
	mu    sync.Mutex
	lines map[string]int
}

func (c *counting) Enabled(context.Context, slog.Level) bool { return true }
func (c *counting) WithAttrs([]slog.Attr) slog.Handler       { return c }
func (c *counting) WithGroup(string) slog.Handler            { return c }
func (c *counting) Handle(_ context.Context, r slog.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines[r.Message]++
	return nil
}

// Guards against messages that wear the list service down or fill the log: one in 20 s and one after a change, whatever fails.
func TestAcksArePaced(t *testing.T) {
	log := &counting{lines: map[string]int{}}
	old := slog.Default()
	slog.SetDefault(slog.New(log))
	defer slog.SetDefault(old)
	synctest.Test(t, func(t *testing.T) {
		s := newSettingsFollower(ofService(t, "127.0.0.1:1"))
		ctx, stop := context.WithCancel(t.Context())
		var mu sync.Mutex
		var all []time.Duration
		ackTimes := func() []time.Duration {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(all)
		}
		var down atomic.Bool
		begun := time.Now()
		over := make(chan struct{})
		go func() {
			defer close(over)
			s.acknowledgeLoop(ctx, func(ctx context.Context, a api.Ack) error {
				mu.Lock()
				all = append(all, time.Since(begun))
				mu.Unlock()
				if down.Load() {
					<-ctx.Done()
					return ctx.Err()
				}
				return nil
			})
		}()
		time.Sleep(10 * time.Minute)
		calm := ackTimes()
		if n := len(calm); n < 27 || n > 34 {
			t.Errorf("%d words in 10 minutes", n)
		}
		for i := 1; i < len(calm); i++ {
			if gap := calm[i] - calm[i-1]; gap > 22*time.Second {
				t.Errorf("nothing said for %v", gap)
			}
		}
		at := time.Since(begun)
		d := document(2, probing)
		d.Service, d.Schema = "orders", 1
		s.judge(d, nil)
		s.judge(document(3, ""), errors.New("bad")) // both in one word
		time.Sleep(ackJitter)
		changed := ackTimes()
		if n := len(changed) - len(calm); n < 1 || n > 2 || changed[len(changed)-1]-at > ackJitter {
			t.Errorf("said at %v after changes at %v", changed[len(calm):], at)
		}
		down.Store(true)
		time.Sleep(10 * time.Minute)
		if n := len(ackTimes()) - len(changed); n < 10 || n > 34 {
			t.Errorf("%d tries in 10 minutes of an outage", n)
		}
		down.Store(false)
		time.Sleep(time.Minute)
		stop()
		<-over
	})
	if n := log.lines["settings acknowledgement failed, settings stay in force"]; n != 1 {
		t.Errorf("%d lines on the outage: %v", n, log.lines)
	}
	if n := log.lines["settings acknowledged again"]; n != 1 {
		t.Errorf("%d lines on its end: %v", n, log.lines)
	}
}

// Guards against a word that the list service would turn down.
func TestAckHasBounds(t *testing.T) {
	s := newSettingsFollower(ofService(t, "127.0.0.1:1"))
	north := document(4, "")
	north.Service, north.Region = "orders", "north"
	good := document(3, probing)
	good.Service, good.Schema = "orders", 1
	s.onDocuments([]api.Document{good})
	s.judge(good, nil)
	s.onDocuments([]api.Document{north})
	s.judge(north, errors.New(strings.Repeat("ü", 300)))
	a := s.ack()
	if err := a.Check(); err != nil || a.Region != "north" || a.Revision != 0 || a.RejectedRevision != 4 || !strings.HasPrefix(a.Reason, `version 3 of region "south" is in force`) {
		t.Errorf("acknowledges %+v: %v", a, err)
	}
	large := document(5, `{"Comment":"`+strings.Repeat("x", api.MaxSettings)+`"}`)
	large.Service, large.Schema = "orders", 1
	s.onDocuments([]api.Document{large})
	d, _ := s.nextDocument()
	if _, err := s.file.withDocument(d); err == nil || !strings.Contains(err.Error(), "bytes") {
		t.Errorf("too large: %v", err)
	}
}

// Guards against what is new and not asked for: without a service the calls, the goroutines, the figures, the disk and the word to the next
// process are those of before.
func TestWithoutAServiceNothingIsNew(t *testing.T) {
	u := newUpstream(t, respondWith(ok200("done")))
	svc := newListService(t, entry("s", u.address, "Ready"))
	for _, addresses := range []string{svc.address, svc.address + "," + strings.Replace(svc.address, "127.0.0.1", "127.0.0.3", 1)} {
		c := testConfig(t, addresses, entry("s", u.address, "Ready"))
		c.Ops, c.State = "127.0.0.1:0", t.TempDir()
		before := len(svc.requests())
		r := start(t, c, "127.0.0.1:0")
		eventually(t, "a watch", func() bool { return len(svc.requests()) > before })
		svc.announce(document(9, probing))
		if got := svc.requests()[before]; got != "/api/targets?watch=1&from=1" {
			t.Errorf("asked %q", got)
		}
		if text := goroutines(); strings.Contains(text, "acknowledge") || strings.Contains(text, "(*settingsFollower)") {
			t.Errorf("goroutines of a service: %s", text)
		}
		if figures := r.adminCall(t, "STATS\n"); strings.Contains(figures, "settings_version") || strings.Contains(figures, "list_version") {
			t.Errorf("figures %s", figures)
		}
		r.stop()
		<-r.ended
		if files := persistedFiles(t, c.State); len(files) > 0 {
			t.Errorf("on disk: %v", files)
		}
		if last := svc.lastAck(); last != (api.Ack{}) {
			t.Errorf("acknowledged %+v", last)
		}
	}
	text, err := json.Marshal(handoverState{List: mustParseListing(t, list(1, true)), Banned: []string{"a"}})
	if want := `{"List":{"index":1,"snapshot":true,"endpoints":[]},"Banned":["a"]}`; err != nil || string(text) != want {
		t.Errorf("tells the next process %s, not %s", text, want)
	}
	// The test above has to see what it looks for.
	before := len(svc.requests())
	r := start(t, ofService(t, svc.address, entry("s", u.address, "Ready")), "127.0.0.1:0")
	eventually(t, "goroutines of a service", func() bool { return strings.Contains(goroutines(), "(*settingsFollower).acknowledge") })
	if figures := r.adminCall(t, "STATS\n"); !strings.Contains(figures, "gw.settings_version:") {
		t.Errorf("figures %s", figures)
	}
	eventually(t, "a watch of the service", func() bool { return len(svc.requests()) > before })
	if got := svc.requests()[before]; !strings.HasSuffix(got, "&service=orders&held=") {
		t.Errorf("asked %q", got)
	}
}

// goroutines words the stacks of all.
func goroutines() string {
	text := make([]byte, 4<<20)
	return string(text[:runtime.Stack(text, true)])
}

// Guards against a configuration that seems to follow settings and does not.
func TestServiceInTheConfiguration(t *testing.T) {
	good := `{"name":"n1","listen":"127.0.0.1:9000","discovery":"127.0.0.1:1","seed":"1f","service":"orders",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":` + testSettings + `}`
	c, err := ParseConfig([]byte(good))
	if err != nil || c.Service != "orders" {
		t.Fatalf("%+v, %v", c, err)
	}
	for name, bad := range map[string][2]string{
		"no service":                        {`"orders"`, `""`},
		"null":                              {`"orders"`, `null`},
		"no text":                           {`"orders"`, `7`},
		"too long":                          {`"orders"`, `"` + strings.Repeat("o", api.MaxName+1) + `"`},
		"the same twice":                    {`"127.0.0.1:1"`, `"127.0.0.1:1,127.0.0.1:1"`},
		"list service addresses not usable": {`"127.0.0.1:1"`, `""`},
	} {
		if _, err := ParseConfig([]byte(strings.Replace(good, bad[0], bad[1], 1))); err == nil || strings.Contains(err.Error(), "\n") ||
			!strings.Contains(strings.ToLower(err.Error()), "service") && !strings.Contains(err.Error(), "discovery") {
			t.Errorf("%s: %v", name, err)
		}
	}
	none, err := ParseConfig([]byte(strings.Replace(good, `"service":"orders",`, ``, 1)))
	if err != nil || none.checkReplaces(c) == nil {
		t.Errorf("a file without the service takes the place of one with it: %v", err)
	}
}
