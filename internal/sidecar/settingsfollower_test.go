package sidecar

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mosslead/balancer"
	"mosslead/internal/registry/api"
)

// Guards against settings that cost a request or a connection, that are taken in part, or that do not last: under load documents come, are
// rejected, repaired, overtaken by an old one and deleted, with a SIGHUP between, while what is open stays open.
func TestSettingsOfTheServiceUnderLoad(t *testing.T) {
	u := newUpstream(t, respondWith(ok200("done")))
	svc := newListService(t, entry("s", u.address, "Ready"))
	r := start(t, ofService(t, svc.address, entry("s", u.address, "Ready")), "127.0.0.1:0")
	ctx, stop := context.WithCancel(t.Context())
	var load sync.WaitGroup
	var served, bad atomic.Int64
	for range 4 {
		load.Go(func() {
			for ctx.Err() == nil {
				if got := <-r.doAsync(request(t, r.address, "confirm", "")); got == "200 done" {
					served.Add(1)
				} else {
					bad.Add(1)
					t.Errorf("answered %s", got)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	defer func() { stop(); load.Wait() }()
	checkReady := func(want int) func() bool {
		return func() bool {
			resp, _ := r.do(t, request(t, r.address, "probe", ""))
			return resp.StatusCode == want
		}
	}
	acked := func(a api.Ack) func() bool {
		return func() bool {
			last := svc.lastAck()
			why := last.Reason
			last.Reason = ""
			return last == a && strings.Contains(why, a.Reason)
		}
	}
	ack := func(version, rejected int64) api.Ack {
		return api.Ack{Node: "n1", Service: "orders", Region: "south", Revision: version, RejectedRevision: rejected}
	}
	if !checkReady(404)() {
		t.Fatal("a class that nobody has told of")
	}
	svc.announce(document(5, probing))
	eventually(t, "the class of the document", checkReady(200))
	eventually(t, "its ack", acked(ack(5, 0)))

	svc.announce(document(6, strings.Replace(testSettings, `"SecondCopies":true,`, ``, 1))) // valid in form
	eventually(t, "a rejection", acked(ack(5, 6)))
	if why := svc.lastAck().Reason; !strings.Contains(why, "lacks settings.Limits.SecondCopies") {
		t.Errorf("rejected since %q", why)
	}
	svc.announce(document(7, strings.Replace(testSettings, `"SendCap":5`, `"SendCap":0`, 1)))
	svc.announce(document(8, strings.Replace(probing, `"probe"`, `"repaired"`, 1))) // within a moment
	eventually(t, "the repair", acked(ack(8, 0)))
	if !checkReady(404)() {
		t.Error("a class is left of what was repaired")
	}
	svc.announce(document(9, probing))
	eventually(t, "the next", acked(ack(9, 0)))
	next := document(10, testSettings)
	next.Schema = 2
	svc.announce(next)
	eventually(t, "the next schema rejected", acked(ack(9, 10)))

	// A file that was read anew has the document's settings above it, and one that the document does not fit is not taken.
	file := ofService(t, svc.address, entry("s", u.address, "Ready"))
	r.reloads <- Reload{Config: file}
	more := withService(t, svc.address, strings.Replace(testSettings, `"Limits":{`, `"Limits":{"Probes":true,`, 1), entry("s", u.address, "Ready"))
	r.reloads <- Reload{Config: more}
	r.reloads <- Reload{Err: errors.New("not readable")} // the one before is through
	if !checkReady(200)() {
		t.Error("a file's settings are above the document's")
	}
	if figures := r.adminCall(t, "STATS\n"); !strings.Contains(figures, "gw.reload_success:1|c") || !strings.Contains(figures, "gw.settings_version:9|g") ||
		!strings.Contains(figures, "gw.list_version:") {
		t.Errorf("figures %s", figures)
	}

	svc.announce(document(4, testSettings)) // an owner's old copy
	deleted := api.Document{Region: "south", Revision: 11, Deleted: true}
	svc.announce(deleted)
	eventually(t, "the file's settings", checkReady(404))
	eventually(t, "their ack", func() bool { return svc.lastAck() == api.Ack{Node: "n1", Service: "orders", Region: "south"} })
	svc.announce(document(12, probing))
	eventually(t, "settings anew", checkReady(200))
	stop()
	load.Wait()
	if u.closed.Load() != 0 || bad.Load() > 0 || served.Load() == 0 {
		t.Errorf("%d connections to the upstream were closed, %d requests served, %d not", u.closed.Load(), served.Load(), bad.Load())
	}
}

// Guards against each way in which a sidecar could be left on settings that nobody wants: see the names.
func TestSettingsFollowed(t *testing.T) {
	for name, play := range map[string]func(t *testing.T, c *Config, svc *fakeService){
		"stopped through five versions": func(t *testing.T, c *Config, svc *fakeService) {
			svc.announce(document(1, testSettings))
			outcomes, end := startHollowWith(t, c)
			hears(t, outcomes, 1, "")
			endPersisted(t, c, end)
			for v := range int64(5) {
				svc.announce(document(2+v, probing))
			}
			outcomes, _ = startHollowWith(t, c)
			hears(t, outcomes, 1, "") // from the disk
			hears(t, outcomes, 6, "")
			quietly(t, outcomes)
		},
		"the list service is down at the start": func(t *testing.T, c *Config, svc *fakeService) {
			svc.announce(document(3, testSettings))
			outcomes, end := startHollowWith(t, c)
			hears(t, outcomes, 3, "")
			endPersisted(t, c, end)
			_ = svc.srv.Close()
			outcomes, end = startHollowWith(t, c)
			hears(t, outcomes, 3, "")
			endPersisted(t, c, end)
			svc.announce(document(4, probing))
			svc.begin(t, svc.address)
			outcomes, _ = startHollowWith(t, c)
			hears(t, outcomes, 3, "")
			hears(t, outcomes, 4, "")
		},
		"its owner is an old copy": func(t *testing.T, c *Config, svc *fakeService) {
			svc.announce(document(9, testSettings))
			outcomes, end := startHollowWith(t, c)
			hears(t, outcomes, 9, "")
			svc.announce(document(20, `{}`))
			hears(t, outcomes, 20, "Classes")
			endPersisted(t, c, end)
			svc.announce(document(12, probing)) // below 20, which it has seen
			outcomes, _ = startHollowWith(t, c)
			hears(t, outcomes, 9, "")
			eventually(t, "the watch", func() bool { return len(svc.requests()) >= 2 })
			svc.announce(document(21, testSettings))
			hears(t, outcomes, 21, "")
		},
		"another region's": func(t *testing.T, c *Config, svc *fakeService) {
			svc.announce(document(9, testSettings))
			outcomes, _ := startHollowWith(t, c)
			hears(t, outcomes, 9, "")
			other := document(2, probing)
			other.Region = "north"
			svc.announce(other)
			hears(t, outcomes, 2, "")
		},
		"deleted, and started again": func(t *testing.T, c *Config, svc *fakeService) {
			svc.announce(document(9, testSettings))
			outcomes, end := startHollowWith(t, c)
			hears(t, outcomes, 9, "")
			svc.announce(api.Document{Region: "south", Revision: 10, Deleted: true})
			hears(t, outcomes, 10, "")
			endPersisted(t, c, end)
			svc.announce(document(9, testSettings))
			outcomes, _ = startHollowWith(t, c)
			hears(t, outcomes, 10, "")
			svc.announce(document(11, probing))
			hears(t, outcomes, 11, "")
		},
		"a service renamed": func(t *testing.T, c *Config, svc *fakeService) {
			svc.announce(document(9, testSettings))
			outcomes, end := startHollowWith(t, c)
			hears(t, outcomes, 9, "")
			endPersisted(t, c, end)
			c.Service = "billing"
			outcomes, _ = startHollowWith(t, c)
			svc.announce(document(10, testSettings)) // of orders still
			other := document(2, testSettings)
			other.Service = "billing"
			svc.announce(other)
			hears(t, outcomes, 2, "")
		},
		"rejected at the start, and kept": func(t *testing.T, c *Config, svc *fakeService) {
			svc.announce(document(3, testSettings))
			outcomes, end := startHollowWith(t, c)
			hears(t, outcomes, 3, "")
			endPersisted(t, c, end)
			_ = svc.srv.Close()
			more := withService(t, c.Discovery, strings.Replace(testSettings, `"Limits":{`, `"Limits":{"Probes":true,`, 1))
			more.State = c.State
			outcomes, end = startHollowWith(t, more)
			hears(t, outcomes, 3, "lacks settings.Limits.Probes")
			endPersisted(t, c, end)
			outcomes, _ = startHollowWith(t, c)
			hears(t, outcomes, 3, "")
		},
		"damaged on disk": func(t *testing.T, c *Config, svc *fakeService) {
			svc.announce(document(3, testSettings))
			outcomes, end := startHollowWith(t, c)
			hears(t, outcomes, 3, "")
			endPersisted(t, c, end)
			_ = svc.srv.Close()
			for _, file := range persistedFiles(t, c.State) {
				text, err := os.ReadFile(file)
				if err == nil {
					text[len(text)/2] ^= 1
					err = os.WriteFile(file, text, 0o600)
				}
				if err != nil {
					t.Fatal(err)
				}
			}
			outcomes, end = startHollowWith(t, c)
			eventually(t, "the file put aside", func() bool { return len(persistedFiles(t, c.State)) == 0 })
			endPersisted(t, c, end)
			quietly(t, outcomes)
		},
	} {
		t.Run(name, func(t *testing.T) {
			svc := newListService(t, entry("a", "127.0.0.2:1", "Ready"))
			c := ofService(t, svc.address)
			c.State = t.TempDir()
			play(t, c, svc)
		})
	}
}

// endPersisted ends a sidecar that has taken up its directory: what it has in force is then on disk. The table of bans, of which there are none,
// is what tells; the next sidecar has to write it anew.
func endPersisted(t *testing.T, c *Config, end func()) {
	t.Helper()
	tables := func() []string {
		all, err := filepath.Glob(filepath.Join(c.State, "bans.*"))
		if err != nil {
			t.Fatal(err)
		}
		return all
	}
	eventually(t, "the state directory taken up", func() bool { return len(tables()) > 0 })
	end()
	for _, file := range tables() {
		if err := os.Remove(file); err != nil {
			t.Fatal(err)
		}
	}
}

// persistedFiles are those of the settings.
func persistedFiles(t *testing.T, dir string) []string {
	t.Helper()
	all, err := filepath.Glob(filepath.Join(dir, "settings.*"))
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// Guards against a bad document that stays since its repair came too soon: whatever the order in which they are heard and judged, the
// newest is judged last.
func TestNewestSettingsWin(t *testing.T) {
	c := ofService(t, "127.0.0.1:1")
	s := newSettingsFollower(c)
	bad, good := document(2, `{}`), document(3, probing)
	bad.Service, good.Service, good.Schema, bad.Schema = "orders", "orders", 1, 1
	none, others := api.Document{Service: "orders"}, document(7, probing)
	others.Service = "billing"
	s.onDocuments([]api.Document{none, others})
	if d, any := s.nextDocument(); any {
		t.Errorf("to judge: %+v", d)
	}
	s.onDocuments([]api.Document{bad})
	d, any := s.nextDocument()
	if !any || d.Revision != 2 {
		t.Fatalf("to judge: %+v, %v", d, any)
	}
	s.onDocuments([]api.Document{good}) // meanwhile
	_, err := c.withDocument(d)
	s.judge(d, err)
	if d, any = s.nextDocument(); !any || d.Revision != 3 {
		t.Fatalf("to judge then: %+v, %v", d, any)
	}
	_, err = c.withDocument(d)
	s.judge(d, err)
	if a := s.ack(); a.Revision != 3 || a.RejectedRevision != 0 {
		t.Errorf("acknowledged %+v", a)
	}
	s.onDocuments([]api.Document{bad, good}) // again, as a watch that begins may
	if d, any = s.nextDocument(); any {
		t.Errorf("judged twice: %+v", d)
	}
	for i := range int64(2 * maxRegions) { // of a service gone mad
		d := document(1, `{}`)
		d.Service, d.Region = "orders", fmt.Sprint("region-", i)
		s.onDocuments([]api.Document{d})
	}
	if n := len(s.seenRevisions); n != maxRegions {
		t.Errorf("the versions of %d regions are remembered", n)
	}
}

// Guards against settings that cost the snapshot.
func TestSettingsUpdateRetainsEstimates(t *testing.T) {
	stop := make(chan struct{})
	defer close(stop)
	p := &process{config: ofService(t, "127.0.0.1:1", entry("s", "127.0.0.2:1", "Ready")), server: &server{}, handover: &handover{}, maxConns: 8}
	if err := p.assemble(stop); err != nil {
		t.Fatal(err)
	}
	p.dispatcher.attempt = func(context.Context, string, *clientRequest, time.Duration) attemptReply {
		return attemptReply{result: balancer.OK}
	}
	known, _, err := p.restore()
	if err != nil {
		t.Fatal(err)
	}
	go p.dispatcher.run(known)
	for i := range 20 {
		r := p.dispatcher.newRequest(fmt.Sprint(i), "search")
		r.settings = p.config.Settings.Classes[0]
		p.dispatcher.enqueue(requestArrived{r})
		if a := <-r.answer; a.kind != served {
			t.Fatalf("answered %+v", a)
		}
	}
	snapshot := func() (balancer.EndpointSnapshot, float64) {
		l, ok := p.dispatcher.snapshot()
		if !ok || l.Endpoints["s"].PeakEWMA == 0 {
			t.Fatalf("learnt %+v, %v", l, ok)
		}
		u := l.Endpoints["s"]
		u.Age, u.Uptime = 0, 0
		return u, l.MeanLatency
	}
	before, mean := snapshot()
	d := document(2, probing)
	d.Service, d.Schema = "orders", 1
	p.follower.onDocuments([]api.Document{d})
	p.applyDocument(p.dispatcher.enqueueUrgent)
	if len(p.config.Settings.Classes) != 4 {
		t.Error("not taken in")
	}
	if after, m := snapshot(); after != before || m != mean {
		t.Errorf("learnt %+v and %v, before %+v and %v", after, m, before, mean)
	}
}

// Guards against an upgrade after which the new process begins with its file's settings: it has those in force, the list service being down.
func TestUpgradeBeginsWithTheSettingsInForce(t *testing.T) {
	tmp, listeners := t.TempDir(), passed(t, 2)
	u := newUpstream(t, respondWith(ok200("done")))
	svc := newListService(t, entry("s", u.address, "Ready"))
	c := ofService(t, svc.address, entry("s", u.address, "Ready"))
	old := startOnListener(t, c, listeners[0], tmp)
	svc.announce(document(7, probing))
	inForce := func(r *testSidecar) func() bool {
		return func() bool { return strings.Contains(r.adminCall(t, "STATS\n"), "gw.settings_version:7|g\n") }
	}
	eventually(t, "the settings in the old process", inForce(old))
	eventually(t, "the socket", func() bool { _, err := os.Stat(filepath.Join(tmp, linkName)); return err == nil })
	_ = svc.srv.Close()
	fresh := startOnListener(t, c, listeners[1], tmp)
	fresh.awaitReady(t, "YES")
	if !inForce(fresh)() {
		t.Errorf("figures %s", fresh.adminCall(t, "STATS\n"))
	}
	if resp, _ := fresh.do(t, request(t, fresh.address, "probe", "")); resp.StatusCode != 200 {
		t.Errorf("a class of the settings: %s", resp.Status)
	}
}
