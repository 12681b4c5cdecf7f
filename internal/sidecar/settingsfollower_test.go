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

// Guards against changes of settings that fail a request or close a connection, are applied in part, or are dropped: under load,
// documents are applied, rejected, corrected, followed by an older one and deleted, with a reload between.
func TestSettingsOfTheServiceUnderLoad(t *testing.T) {
	u := newUpstream(t, respondWith(ok200("done")))
	svc := newListService(t, entry("s", u.address, "Ready"))
	r := start(t, ordersConfig(t, svc.address, entry("s", u.address, "Ready")), "127.0.0.1:0")
	ctx, stop := context.WithCancel(t.Context())
	var load sync.WaitGroup
	var served, failed atomic.Int64
	for range 4 {
		load.Go(func() {
			for ctx.Err() == nil {
				if got := <-r.doAsync(request(t, r.address, "confirm", "")); got == "200 done" {
					served.Add(1)
				} else {
					failed.Add(1)
					t.Errorf("got answer %s, want 200 done", got)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	defer func() { stop(); load.Wait() }()
	classHasStatus := func(want int) func() bool {
		return func() bool {
			resp, _ := r.do(t, request(t, r.address, "probe", ""))
			return resp.StatusCode == want
		}
	}
	acked := func(a api.Ack) func() bool {
		return func() bool {
			last := svc.lastAck()
			reason := last.Reason
			last.Reason = ""
			return last == a && strings.Contains(reason, a.Reason)
		}
	}
	ack := func(version, rejected int64) api.Ack {
		return api.Ack{Node: "n1", Service: "orders", Region: "south", Revision: version, RejectedRevision: rejected}
	}
	if !classHasStatus(404)() {
		t.Fatal("got another status than 404 for a class that is in no settings, want 404")
	}
	svc.announce(document(5, probeSettings))
	eventually(t, "the class of the document", classHasStatus(200))
	eventually(t, "the acknowledgement of version 5", acked(ack(5, 0)))

	svc.announce(document(6, strings.Replace(testSettings, `"SecondCopies":true,`, ``, 1))) // valid, but without a key that the file has
	eventually(t, "the acknowledgement that rejects version 6", acked(ack(5, 6)))
	if reason := svc.lastAck().Reason; !strings.Contains(reason, "lacks settings.Limits.SecondCopies") {
		t.Errorf("got reason %q, want lacks settings.Limits.SecondCopies", reason)
	}
	svc.announce(document(7, strings.Replace(testSettings, `"SendCap":5`, `"SendCap":0`, 1)))
	svc.announce(document(8, strings.Replace(probeSettings, `"probe"`, `"repaired"`, 1))) // version 7 may not be applied yet
	eventually(t, "the acknowledgement of the corrected settings", acked(ack(8, 0)))
	if !classHasStatus(404)() {
		t.Error("got another status than 404 for a class that the settings no longer have, want 404")
	}
	svc.announce(document(9, probeSettings))
	eventually(t, "the acknowledgement of the next settings", acked(ack(9, 0)))
	newer := document(10, testSettings)
	newer.Schema = 2
	svc.announce(newer)
	eventually(t, "the rejection of the next schema", acked(ack(9, 10)))

	// The document's settings stay in force over those of a reloaded file; a file with a key that the document lacks is rejected.
	file := ordersConfig(t, svc.address, entry("s", u.address, "Ready"))
	r.reloads <- Reload{Config: file}
	more := ordersConfigWith(t, svc.address, strings.Replace(testSettings, `"Limits":{`, `"Limits":{"Probes":true,`, 1), entry("s", u.address, "Ready"))
	r.reloads <- Reload{Config: more}
	r.reloads <- Reload{Err: errors.New("not readable")} // once this reload is received, the previous one has been processed
	if !classHasStatus(200)() {
		t.Error("got another status than 200 for a class of the document, want 200: the reloaded file must not replace its settings")
	}
	if figures := r.adminCall(t, "STATS\n"); !strings.Contains(figures, "gw.reload_success:1|c") || !strings.Contains(figures, "gw.settings_version:9|g") ||
		!strings.Contains(figures, "gw.list_version:") {
		t.Errorf("got STATS %s, want gw.reload_success:1|c, gw.settings_version:9|g and gw.list_version", figures)
	}

	svc.announce(document(4, testSettings)) // an older version, as sent by an owner with an old copy of its state
	deleted := api.Document{Region: "south", Revision: 11, Deleted: true}
	svc.announce(deleted)
	eventually(t, "the file's settings in force", classHasStatus(404))
	eventually(t, "the acknowledgement without a version", func() bool { return svc.lastAck() == api.Ack{Node: "n1", Service: "orders", Region: "south"} })
	svc.announce(document(12, probeSettings))
	eventually(t, "settings in force after the deletion", classHasStatus(200))
	stop()
	load.Wait()
	if u.closed.Load() != 0 || failed.Load() > 0 || served.Load() == 0 {
		t.Errorf("got %d closed connections to the upstream, %d served and %d failed requests, want 0, some, 0", u.closed.Load(), served.Load(), failed.Load())
	}
}

// Guards against sidecars that stay on wrong settings, in each of the named cases.
func TestSettingsFollowed(t *testing.T) {
	for name, scenario := range map[string]func(t *testing.T, c *Config, svc *fakeService){
		"stopped through five versions": func(t *testing.T, c *Config, svc *fakeService) {
			svc.announce(document(1, testSettings))
			outcomes, end := startHollowWithOutcomes(t, c)
			expectOutcome(t, outcomes, 1, "")
			endAfterPersisting(t, c, end)
			for v := range int64(5) {
				svc.announce(document(2+v, probeSettings))
			}
			outcomes, _ = startHollowWithOutcomes(t, c)
			expectOutcome(t, outcomes, 1, "") // from the disk
			expectOutcome(t, outcomes, 6, "")
			expectNoOutcome(t, outcomes)
		},
		"the list service is down at the start": func(t *testing.T, c *Config, svc *fakeService) {
			svc.announce(document(3, testSettings))
			outcomes, end := startHollowWithOutcomes(t, c)
			expectOutcome(t, outcomes, 3, "")
			endAfterPersisting(t, c, end)
			_ = svc.srv.Close()
			outcomes, end = startHollowWithOutcomes(t, c)
			expectOutcome(t, outcomes, 3, "")
			endAfterPersisting(t, c, end)
			svc.announce(document(4, probeSettings))
			svc.listenOn(t, svc.address)
			outcomes, _ = startHollowWithOutcomes(t, c)
			expectOutcome(t, outcomes, 3, "")
			expectOutcome(t, outcomes, 4, "")
		},
		"its owner is an old copy": func(t *testing.T, c *Config, svc *fakeService) {
			svc.announce(document(9, testSettings))
			outcomes, end := startHollowWithOutcomes(t, c)
			expectOutcome(t, outcomes, 9, "")
			svc.announce(document(20, `{}`))
			expectOutcome(t, outcomes, 20, "Classes")
			endAfterPersisting(t, c, end)
			svc.announce(document(12, probeSettings)) // below 20, which this sidecar has received
			outcomes, _ = startHollowWithOutcomes(t, c)
			expectOutcome(t, outcomes, 9, "")
			eventually(t, "the second watch", func() bool { return len(svc.requests()) >= 2 })
			svc.announce(document(21, testSettings))
			expectOutcome(t, outcomes, 21, "")
		},
		"another region's": func(t *testing.T, c *Config, svc *fakeService) {
			svc.announce(document(9, testSettings))
			outcomes, _ := startHollowWithOutcomes(t, c)
			expectOutcome(t, outcomes, 9, "")
			other := document(2, probeSettings)
			other.Region = "north"
			svc.announce(other)
			expectOutcome(t, outcomes, 2, "")
		},
		"deleted, and started again": func(t *testing.T, c *Config, svc *fakeService) {
			svc.announce(document(9, testSettings))
			outcomes, end := startHollowWithOutcomes(t, c)
			expectOutcome(t, outcomes, 9, "")
			svc.announce(api.Document{Region: "south", Revision: 10, Deleted: true})
			expectOutcome(t, outcomes, 10, "")
			endAfterPersisting(t, c, end)
			svc.announce(document(9, testSettings))
			outcomes, _ = startHollowWithOutcomes(t, c)
			expectOutcome(t, outcomes, 10, "")
			svc.announce(document(11, probeSettings))
			expectOutcome(t, outcomes, 11, "")
		},
		"a service renamed": func(t *testing.T, c *Config, svc *fakeService) {
			svc.announce(document(9, testSettings))
			outcomes, end := startHollowWithOutcomes(t, c)
			expectOutcome(t, outcomes, 9, "")
			endAfterPersisting(t, c, end)
			c.Service = "billing"
			outcomes, _ = startHollowWithOutcomes(t, c)
			svc.announce(document(10, testSettings)) // this document still belongs to the service orders
			other := document(2, testSettings)
			other.Service = "billing"
			svc.announce(other)
			expectOutcome(t, outcomes, 2, "")
		},
		"rejected at the start, and kept": func(t *testing.T, c *Config, svc *fakeService) {
			svc.announce(document(3, testSettings))
			outcomes, end := startHollowWithOutcomes(t, c)
			expectOutcome(t, outcomes, 3, "")
			endAfterPersisting(t, c, end)
			_ = svc.srv.Close()
			stricter := ordersConfigWith(t, c.Discovery, strings.Replace(testSettings, `"Limits":{`, `"Limits":{"Probes":true,`, 1))
			stricter.State = c.State
			outcomes, end = startHollowWithOutcomes(t, stricter)
			expectOutcome(t, outcomes, 3, "lacks settings.Limits.Probes")
			endAfterPersisting(t, c, end)
			outcomes, _ = startHollowWithOutcomes(t, c)
			expectOutcome(t, outcomes, 3, "")
		},
		"damaged on disk": func(t *testing.T, c *Config, svc *fakeService) {
			svc.announce(document(3, testSettings))
			outcomes, end := startHollowWithOutcomes(t, c)
			expectOutcome(t, outcomes, 3, "")
			endAfterPersisting(t, c, end)
			_ = svc.srv.Close()
			for _, file := range settingsFiles(t, c.State) {
				text, err := os.ReadFile(file)
				if err == nil {
					text[len(text)/2] ^= 1
					err = os.WriteFile(file, text, 0o600)
				}
				if err != nil {
					t.Fatal(err)
				}
			}
			outcomes, end = startHollowWithOutcomes(t, c)
			eventually(t, "the damaged file is quarantined", func() bool { return len(settingsFiles(t, c.State)) == 0 })
			endAfterPersisting(t, c, end)
			expectNoOutcome(t, outcomes)
		},
	} {
		t.Run(name, func(t *testing.T) {
			svc := newListService(t, entry("a", "127.0.0.2:1", "Ready"))
			c := ordersConfig(t, svc.address)
			c.State = t.TempDir()
			scenario(t, c, svc)
		})
	}
}

// endAfterPersisting ends a sidecar once it is the writer of its directory, so that it stores its settings. A table of bans, even an
// empty one, shows that it is the writer; the table is then removed, and the next sidecar writes its own.
func endAfterPersisting(t *testing.T, c *Config, end func()) {
	t.Helper()
	tables := func() []string {
		files, err := filepath.Glob(filepath.Join(c.State, "bans.*"))
		if err != nil {
			t.Fatal(err)
		}
		return files
	}
	eventually(t, "a table of bans in the state directory", func() bool { return len(tables()) > 0 })
	end()
	for _, file := range tables() {
		if err := os.Remove(file); err != nil {
			t.Fatal(err)
		}
	}
}

// settingsFiles returns the files of persisted settings.
func settingsFiles(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "settings.*"))
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// Guards against a bad document that stays the latest because the corrected one was received before the bad one was processed:
// the newest document is always processed last.
func TestNewestSettingsWin(t *testing.T) {
	c := ordersConfig(t, "127.0.0.1:1")
	s := newSettingsFollower(c)
	invalid, valid := document(2, `{}`), document(3, probeSettings)
	invalid.Service, valid.Service, valid.Schema, invalid.Schema = "orders", "orders", 1, 1
	none, others := api.Document{Service: "orders"}, document(7, probeSettings)
	others.Service = "billing"
	s.onDocuments([]api.Document{none, others})
	if d, ok := s.nextDocument(); ok {
		t.Errorf("got document %+v to apply, want none", d)
	}
	s.onDocuments([]api.Document{invalid})
	d, ok := s.nextDocument()
	if !ok || d.Revision != 2 {
		t.Fatalf("got document %+v to apply, found %v; want version 2, true", d, ok)
	}
	s.onDocuments([]api.Document{valid}) // received before the invalid document was processed
	_, err := c.withDocument(d)
	s.recordOutcome(d, err)
	if d, ok = s.nextDocument(); !ok || d.Revision != 3 {
		t.Fatalf("got document %+v to apply, found %v; want version 3, true", d, ok)
	}
	_, err = c.withDocument(d)
	s.recordOutcome(d, err)
	if a := s.ack(); a.Revision != 3 || a.RejectedRevision != 0 {
		t.Errorf("got acknowledgement %+v, want version 3 without a rejection", a)
	}
	s.onDocuments([]api.Document{invalid, valid}) // a new watch may send both again
	if d, ok = s.nextDocument(); ok {
		t.Errorf("got document %+v to apply again, want none", d)
	}
	for i := range int64(2 * maxRegions) { // a faulty list service sends documents of many regions
		d := document(1, `{}`)
		d.Service, d.Region = "orders", fmt.Sprint("region-", i)
		s.onDocuments([]api.Document{d})
	}
	if n := len(s.seenRevisions); n != maxRegions {
		t.Errorf("got versions of %d regions remembered, want %d", n, maxRegions)
	}
}

// Guards against the loss of the balancer's estimates when settings change.
func TestSettingsUpdateRetainsEstimates(t *testing.T) {
	stop := make(chan struct{})
	defer close(stop)
	p := &process{config: ordersConfig(t, "127.0.0.1:1", entry("s", "127.0.0.2:1", "Ready")), server: &server{}, handover: &handover{}, maxConns: 8}
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
		r.classSettings = p.config.Settings.Classes[0]
		p.dispatcher.enqueue(requestArrived{r})
		if a := <-r.answer; a.kind != served {
			t.Fatalf("got answer %+v, want kind %d", a, served)
		}
	}
	snapshot := func() (balancer.EndpointSnapshot, float64) {
		state, ok := p.dispatcher.snapshot()
		if !ok || state.Endpoints["s"].PeakEWMA == 0 {
			t.Fatalf("got snapshot %+v, found %v; want an estimate for s", state, ok)
		}
		endpoint := state.Endpoints["s"]
		endpoint.Age, endpoint.Uptime = 0, 0
		return endpoint, state.MeanLatency
	}
	before, mean := snapshot()
	d := document(2, probeSettings)
	d.Service, d.Schema = "orders", 1
	p.follower.onDocuments([]api.Document{d})
	p.applyDocument(p.dispatcher.enqueueUrgent)
	if len(p.config.Settings.Classes) != 4 {
		t.Errorf("got %d classes, want 4: the document was not applied", len(p.config.Settings.Classes))
	}
	if after, m := snapshot(); after != before || m != mean {
		t.Errorf("got estimates %+v and %v, want those before: %+v and %v", after, m, before, mean)
	}
}

// Guards against an upgrade after which the new process starts with its file's settings: it starts with those in force, even
// if the list service is down.
func TestUpgradeBeginsWithTheSettingsInForce(t *testing.T) {
	tmp, listeners := t.TempDir(), passedListeners(t, 2)
	u := newUpstream(t, respondWith(ok200("done")))
	svc := newListService(t, entry("s", u.address, "Ready"))
	c := ordersConfig(t, svc.address, entry("s", u.address, "Ready"))
	old := startOnListener(t, c, listeners[0], tmp)
	svc.announce(document(7, probeSettings))
	inForce := func(r *testSidecar) func() bool {
		return func() bool { return strings.Contains(r.adminCall(t, "STATS\n"), "gw.settings_version:7|g\n") }
	}
	eventually(t, "settings version 7 in force in the old process", inForce(old))
	eventually(t, "the socket of the hand-over", func() bool { _, err := os.Stat(filepath.Join(tmp, linkName)); return err == nil })
	_ = svc.srv.Close()
	fresh := startOnListener(t, c, listeners[1], tmp)
	fresh.awaitReady(t, "YES")
	if !inForce(fresh)() {
		t.Errorf("got STATS %s, want gw.settings_version:7|g", fresh.adminCall(t, "STATS\n"))
	}
	if resp, _ := fresh.do(t, request(t, fresh.address, "probe", "")); resp.StatusCode != 200 {
		t.Errorf("got status %s for a class of the settings, want 200", resp.Status)
	}
}
