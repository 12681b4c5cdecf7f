package sidecar

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mosslead/internal/durable"
	"mosslead/internal/statestore"
)

// withState returns a configuration with a state directory, an operators' port and a discovery that sends no changes.
func withState(t *testing.T, dir string, known ...string) *Config {
	t.Helper()
	c := testConfig(t, quietDiscovery(t).address, known...)
	c.State, c.Ops = dir, "127.0.0.1:0"
	return c
}

func (r *testSidecar) get(t *testing.T) (status int, body string) {
	t.Helper()
	resp, body := r.do(t, request(t, r.address, "search", ""))
	return resp.StatusCode, body
}

// openLockedStore returns a store that holds the lock of a directory, as another process of the sidecar would.
func openLockedStore(t *testing.T, dir string) *statestore.Store {
	t.Helper()
	s := statestore.New(dir, "n1")
	if err := s.Lock(); err != nil {
		t.Fatal(err)
	}
	return s
}

// cloneState clones a state directory as it is on disk, as a killed process would have written it.
func cloneState(t *testing.T, dir string) string {
	t.Helper()
	for {
		to := filepath.Join(t.TempDir(), "state")
		err := os.CopyFS(to, os.DirFS(dir))
		if err == nil {
			return to
		}
		if !errors.Is(err, os.ErrNotExist) { // a file that no longer exists was renamed during the copy
			t.Fatal(err)
		}
	}
}

// Guards against the loss of a ban in a crash: a ban answered by YES is in force in a process that starts from the state that
// was on disk then.
func TestBanOutlivesACrash(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	up, other := newUpstream(t, respondWith(ok200("s"))), newUpstream(t, respondWith(ok200("other")))
	entries := []string{entry("s", up.address, "Ready"), entry("other", other.address, "Ready")}
	first := start(t, withState(t, dir, entries...), "127.0.0.1:0")
	if got := first.adminCall(t, "DISABLE s\n"); got != "YES\n" {
		t.Fatalf("DISABLE: got %q, want YES", got)
	}
	crashed := cloneState(t, dir)
	second := start(t, withState(t, crashed, entries...), "127.0.0.1:0")
	for range 20 {
		if _, body := second.get(t); body != "other" {
			t.Fatalf("served by %q, want other", body)
		}
	}
	if got := second.adminCall(t, "ENABLE s\n"); got != "YES\n" {
		t.Errorf("ENABLE: got %q, want YES", got)
	}
	if loaded, err := statestore.New(crashed, "n1").Load(time.Now()); err != nil || len(loaded.Bans) != 0 {
		t.Errorf("on disk after ENABLE: got bans %v, error %v; want none", loaded.Bans, err)
	}
}

// Guards against a start that waits for discovery although the list is on disk: the process is ready with that list, and
// STATS shows its use.
func TestStartsWithThePersistedListWhileDiscoveryIsSilent(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	up := newUpstream(t, respondWith(ok200("s")))
	s := openLockedStore(t, dir)
	text := fmt.Sprintf(`{"index":9,"snapshot":true,"endpoints":[%s]}`, entry("s", up.address, "Ready"))
	if err := errors.Join(s.WriteList("127.0.0.1:1", []byte(text), time.Now().Add(-time.Minute)), s.Release(true)); err != nil {
		t.Fatal(err)
	}
	c := withState(t, dir)
	c.Known = nil
	c.Discovery = "127.0.0.1:1" // nothing listens there
	r := start(t, c, "127.0.0.1:0")
	if status, body := r.get(t); status != 200 || body != "s" {
		t.Errorf("got %d %q, want 200 \"s\"", status, body)
	}
	if got := r.adminCall(t, "STATS\n"); !strings.Contains(got, "gw.list_kept:1|g\n") || !strings.Contains(got, "gw.list_age_ms:6") {
		t.Errorf("got STATS %s, want gw.list_kept:1|g and gw.list_age_ms:6...", got)
	}
}

// Guards against a second process on one directory without an upgrade: it fails, since it would overwrite the state of the
// first.
func TestSecondProcessOnOneDirectoryFails(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	s := openLockedStore(t, dir)
	if _, _, err := openState(withState(t, dir), true); !errors.Is(err, durable.ErrLocked) || !strings.Contains(err.Error(), dir) {
		t.Errorf("without an upgrade: got error %v, want %v with the directory", err, durable.ErrLocked)
	}
	p, _, err := openState(withState(t, dir), false)
	if err != nil {
		t.Fatalf("in an upgrade: got error %v, want none", err)
	}
	p.bans, p.adoptBan = func() []string { return []string{"here"} }, func(id string) { t.Errorf("got adopted ban of %s, want none", id) }
	p.list, p.snapshot = nil, nil
	if persisted, err := p.acceptRelayedBan("a", false, false); persisted || err != nil {
		t.Errorf("while the other process is the writer: got persisted %v, error %v, want false, none", persisted, err)
	}
	if err := s.Release(false); err != nil {
		t.Fatal(err)
	}
	if wait := p.acquire(); wait != 0 || !p.writesNow() {
		t.Fatalf("after the other process released the lock: got wait %v, writer %v, want 0, true", wait, p.writesNow())
	}
	if err := p.ban("b", false); err != nil {
		t.Error(err)
	}
	p.release(false)
	if persisted, err := statestore.New(dir, "n1").Load(time.Now()); err != nil || len(persisted.Bans) != 2 {
		t.Errorf("on disk: got bans %v, error %v; want 2: the one in force and the new one", persisted.Bans, err)
	}
}

// Guards against a sidecar that needs its disk: while the disk is not usable, requests are served, bans are answered by NO and
// no state is stored; once it is usable again, it is used.
func TestServiceGoesOnWithoutTheDisk(t *testing.T) {
	base := t.TempDir()
	dir := filepath.Join(base, "state")
	if err := os.WriteFile(dir, nil, 0o600); err != nil { // a file, so that no directory can be created there
		t.Fatal(err)
	}
	up := newUpstream(t, respondWith(ok200("s")))
	r := start(t, withState(t, dir, entry("s", up.address, "Ready")), "127.0.0.1:0")
	if status, _ := r.get(t); status != 200 {
		t.Errorf("without the disk: got status %d, want 200", status)
	}
	if got := r.adminCall(t, "DISABLE s\n"); !strings.HasPrefix(got, "NO nothing can be written now") {
		t.Errorf("DISABLE: got %q, want NO nothing can be written now", got)
	}
	if got := r.adminCall(t, "STATS\n"); !strings.Contains(got, "gw.state_failing:1|g\n") {
		t.Errorf("got STATS %s, want gw.state_failing:1|g", got)
	}
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a ban on disk", func() bool { return r.adminCall(t, "DISABLE s\n") == "YES\n" })
	if loaded, err := statestore.New(dir, "n1").Load(time.Now()); err != nil || len(loaded.Bans) != 1 {
		t.Errorf("on disk: got bans %v, error %v; want 1", loaded.Bans, err)
	}
	if got := r.adminCall(t, "STATS\n"); !strings.Contains(got, "gw.state_failing:0|g\n") {
		t.Errorf("got STATS %s, want gw.state_failing:0|g", got)
	}
}

// Guards against an end by SIGTERM after which the state is marked as crashed, or lacks the list and the snapshot.
func TestOrderlyEndIsMarked(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	up := newUpstream(t, respondWith(ok200("s")))
	r := start(t, withState(t, dir, entry("s", up.address, "Ready")), "127.0.0.1:0")
	if status, _ := r.get(t); status != 200 {
		t.Fatalf("got status %d, want 200", status)
	}
	if loaded, err := statestore.New(dir, "n1").Load(time.Now()); err != nil || !loaded.Crashed {
		t.Errorf("while it runs: got error %v, crashed %v, want none, true", err, loaded.Crashed)
	}
	r.stop()
	<-r.ended
	loaded, err := statestore.New(dir, "n1").Load(time.Now())
	if err != nil || loaded.Crashed || loaded.List == nil || loaded.Snapshot == nil || len(loaded.Snapshot.Balancer.Endpoints) != 1 {
		t.Errorf("after its end: got state %+v, %v, want not crashed, a list and a snapshot with 1 endpoint", loaded, err)
	}
}

// Guards against a sidecar without a list after a crash loop: the list is quarantined, and used nevertheless if no other list
// is received.
func TestListOfACrashLoopIsTheLastResort(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	up := newUpstream(t, respondWith(ok200("s")))
	text := fmt.Sprintf(`{"index":9,"snapshot":true,"endpoints":[%s]}`, entry("s", up.address, "Ready"))
	for range 3 {
		s := openLockedStore(t, dir)
		loaded, err := s.Load(time.Now())
		if err != nil {
			t.Fatal(err)
		}
		s.Begin(loaded, time.Now())
		if err := errors.Join(s.WriteList("127.0.0.1:1", []byte(text), time.Now()), s.Release(false)); err != nil {
			t.Fatal(err)
		}
	}
	c := withState(t, dir)
	c.Known = nil
	c.Discovery = "127.0.0.1:1" // nothing listens there
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	r := startOnListener(t, c, l, "")
	r.awaitReady(t, "YES")
	if elapsed := time.Since(begun); elapsed < suspectListDelay {
		t.Errorf("got ready after %v with a quarantined list, want %v or more", elapsed, suspectListDelay)
	}
	if status, body := r.get(t); status != 200 || body != "s" {
		t.Errorf("got %d %q, want 200 \"s\"", status, body)
	}
	if got := r.adminCall(t, "STATS\n"); !strings.Contains(got, "gw.list_kept:1|g") {
		t.Errorf("got STATS %s, want gw.list_kept:1|g", got)
	}
}
