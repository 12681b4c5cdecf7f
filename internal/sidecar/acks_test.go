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

// lineCounter is a slog.Handler that counts lines by their message.
type lineCounter struct {
	mu    sync.Mutex
	lines map[string]int
}

func (c *lineCounter) Enabled(context.Context, slog.Level) bool { return true }
func (c *lineCounter) WithAttrs([]slog.Attr) slog.Handler       { return c }
func (c *lineCounter) WithGroup(string) slog.Handler            { return c }
func (c *lineCounter) Handle(_ context.Context, r slog.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines[r.Message]++
	return nil
}

// Guards against acknowledgements that overload the list service, and against repeated log lines: the sidecar sends one
// acknowledgement every 20 s and one after a change, whatever fails.
func TestAcksArePaced(t *testing.T) {
	log := &lineCounter{lines: map[string]int{}}
	previous := slog.Default()
	slog.SetDefault(slog.New(log))
	defer slog.SetDefault(previous)
	synctest.Test(t, func(t *testing.T) {
		s := newSettingsFollower(ordersConfig(t, "127.0.0.1:1"))
		ctx, stop := context.WithCancel(t.Context())
		var mu sync.Mutex
		var times []time.Duration
		ackTimes := func() []time.Duration {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(times)
		}
		var down atomic.Bool
		started := time.Now()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.acknowledgeLoop(ctx, func(ctx context.Context, a api.Ack) error {
				mu.Lock()
				times = append(times, time.Since(started))
				mu.Unlock()
				if down.Load() {
					<-ctx.Done()
					return ctx.Err()
				}
				return nil
			})
		}()
		time.Sleep(10 * time.Minute)
		unchanged := ackTimes()
		if n := len(unchanged); n < 27 || n > 34 {
			t.Errorf("got %d acknowledgements in 10 minutes, want 27 to 34", n)
		}
		for i := 1; i < len(unchanged); i++ {
			if gap := unchanged[i] - unchanged[i-1]; gap > 22*time.Second {
				t.Errorf("got %v between two acknowledgements, want 22 s or less", gap)
			}
		}
		at := time.Since(started)
		d := document(2, probeSettings)
		d.Service, d.Schema = "orders", 1
		s.recordOutcome(d, nil)
		s.recordOutcome(document(3, ""), errors.New("bad")) // both may be in one acknowledgement
		time.Sleep(ackJitter)
		changed := ackTimes()
		if n := len(changed) - len(unchanged); n < 1 || n > 2 || changed[len(changed)-1]-at > ackJitter {
			t.Errorf("got acknowledgements at %v after changes at %v, want 1 or 2 within %v", changed[len(unchanged):], at, ackJitter)
		}
		down.Store(true)
		time.Sleep(10 * time.Minute)
		if n := len(ackTimes()) - len(changed); n < 10 || n > 34 {
			t.Errorf("got %d acknowledgements in 10 minutes of an outage, want 10 to 34", n)
		}
		down.Store(false)
		time.Sleep(time.Minute)
		stop()
		<-ended
	})
	if n := log.lines["settings acknowledgement failed, settings stay in force"]; n != 1 {
		t.Errorf("got %d lines about the outage, want 1: %v", n, log.lines)
	}
	if n := log.lines["settings acknowledged again"]; n != 1 {
		t.Errorf("got %d lines about the end of the outage, want 1: %v", n, log.lines)
	}
}

// Guards against an acknowledgement that the list service would reject.
func TestAckHasBounds(t *testing.T) {
	s := newSettingsFollower(ordersConfig(t, "127.0.0.1:1"))
	north := document(4, "")
	north.Service, north.Region = "orders", "north"
	good := document(3, probeSettings)
	good.Service, good.Schema = "orders", 1
	s.onDocuments([]api.Document{good})
	s.recordOutcome(good, nil)
	s.onDocuments([]api.Document{north})
	s.recordOutcome(north, errors.New(strings.Repeat("ü", 300)))
	a := s.ack()
	if err := a.Check(); err != nil || a.Region != "north" || a.Revision != 0 || a.RejectedRevision != 4 || !strings.HasPrefix(a.Reason, `version 3 of region "south" is in force`) {
		t.Errorf("got acknowledgement %+v, %v, want a valid one: rejected version 4 of north, with a reason that names version 3 of south", a, err)
	}
	large := document(5, `{"Comment":"`+strings.Repeat("x", api.MaxSettings)+`"}`)
	large.Service, large.Schema = "orders", 1
	s.onDocuments([]api.Document{large})
	d, _ := s.nextDocument()
	if _, err := s.fileConfig.withDocument(d); err == nil || !strings.Contains(err.Error(), "bytes") {
		t.Errorf("too large a document: got error %v, want one that names the bytes", err)
	}
}

// Guards against a sidecar without a service that acts as if it followed settings: its calls, goroutines, lines of STATS, files
// and hand-over state are those of a sidecar that can't follow settings.
func TestWithoutAServiceNothingIsNew(t *testing.T) {
	u := newUpstream(t, respondWith(ok200("done")))
	svc := newListService(t, entry("s", u.address, "Ready"))
	for _, addresses := range []string{svc.address, svc.address + "," + strings.Replace(svc.address, "127.0.0.1", "127.0.0.3", 1)} {
		c := testConfig(t, addresses, entry("s", u.address, "Ready"))
		c.Ops, c.State = "127.0.0.1:0", t.TempDir()
		before := len(svc.requests())
		r := start(t, c, "127.0.0.1:0")
		eventually(t, "a watch", func() bool { return len(svc.requests()) > before })
		svc.announce(document(9, probeSettings))
		if got := svc.requests()[before]; got != "/api/targets?watch=1&from=1" {
			t.Errorf("got watch %q, want /api/targets?watch=1&from=1", got)
		}
		if text := goroutineStacks(); strings.Contains(text, "acknowledge") || strings.Contains(text, "(*settingsFollower)") {
			t.Errorf("got goroutines of a settingsFollower, want none: %s", text)
		}
		if figures := r.adminCall(t, "STATS\n"); strings.Contains(figures, "settings_version") || strings.Contains(figures, "list_version") {
			t.Errorf("got STATS %s, want no settings_version and no list_version", figures)
		}
		r.stop()
		<-r.ended
		if files := settingsFiles(t, c.State); len(files) > 0 {
			t.Errorf("got files of settings %v, want none", files)
		}
		if last := svc.lastAck(); last != (api.Ack{}) {
			t.Errorf("got acknowledgement %+v, want none", last)
		}
	}
	text, err := json.Marshal(handoverState{List: mustParseListing(t, list(1, true)), Banned: []string{"a"}})
	if want := `{"List":{"index":1,"snapshot":true,"endpoints":[]},"Banned":["a"]}`; err != nil || string(text) != want {
		t.Errorf("got hand-over state %s, %v, want %s", text, err, want)
	}
	// With a service, the goroutines, figures and parameters that the checks above exclude are present.
	before := len(svc.requests())
	r := start(t, ordersConfig(t, svc.address, entry("s", u.address, "Ready")), "127.0.0.1:0")
	eventually(t, "goroutines of a service", func() bool { return strings.Contains(goroutineStacks(), "(*settingsFollower).acknowledge") })
	if figures := r.adminCall(t, "STATS\n"); !strings.Contains(figures, "gw.settings_version:") {
		t.Errorf("got STATS %s, want gw.settings_version", figures)
	}
	eventually(t, "a watch of the service", func() bool { return len(svc.requests()) > before })
	if got := svc.requests()[before]; !strings.HasSuffix(got, "&service=orders&held=") {
		t.Errorf("got watch %q, want it to end in &service=orders&held=", got)
	}
}

// goroutineStacks returns the stacks of all goroutines as text.
func goroutineStacks() string {
	text := make([]byte, 4<<20)
	return string(text[:runtime.Stack(text, true)])
}

// Guards against a configuration that is accepted with a service whose settings it can't follow.
func TestServiceInTheConfiguration(t *testing.T) {
	valid := `{"name":"n1","listen":"127.0.0.1:9000","discovery":"127.0.0.1:1","seed":"1f","service":"orders",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":` + testSettings + `}`
	c, err := ParseConfig([]byte(valid))
	if err != nil || c.Service != "orders" {
		t.Fatalf("got configuration %+v, %v, want service orders", c, err)
	}
	for name, change := range map[string][2]string{
		"no service":                        {`"orders"`, `""`},
		"null":                              {`"orders"`, `null`},
		"no text":                           {`"orders"`, `7`},
		"too long":                          {`"orders"`, `"` + strings.Repeat("o", api.MaxName+1) + `"`},
		"the same twice":                    {`"127.0.0.1:1"`, `"127.0.0.1:1,127.0.0.1:1"`},
		"list service addresses not usable": {`"127.0.0.1:1"`, `""`},
	} {
		if _, err := ParseConfig([]byte(strings.Replace(valid, change[0], change[1], 1))); err == nil || strings.Contains(err.Error(), "\n") ||
			!strings.Contains(strings.ToLower(err.Error()), "service") && !strings.Contains(err.Error(), "discovery") {
			t.Errorf("%s: got error %v, want one line that names service or discovery", name, err)
		}
	}
	withoutService, err := ParseConfig([]byte(strings.Replace(valid, `"service":"orders",`, ``, 1)))
	if err != nil || withoutService.checkReplaces(c) == nil {
		t.Errorf("got error %v from a file without the service, or checkReplaces accepts it in place of one with a service; want neither", err)
	}
}
