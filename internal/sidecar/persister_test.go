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

// withState is a configuration with a state directory and an admin port, over a discovery without news.
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

// lockHolder plays another process that writes to a directory.
func lockHolder(t *testing.T, dir string) *statestore.Store {
	t.Helper()
	s := statestore.New(dir, "n1")
	if err := s.Lock(); err != nil {
		t.Fatal(err)
	}
	return s
}

// crash copies a state directory as it is on disk, which is what a process that is killed leaves.
func crash(t *testing.T, dir string) string {
	t.Helper()
	for {
		to := filepath.Join(t.TempDir(), "state")
		err := os.CopyFS(to, os.DirFS(dir))
		if err == nil {
			return to
		}
		if !errors.Is(err, os.ErrNotExist) { // else a file took its name while it was copied
			t.Fatal(err)
		}
	}
}

// Guards against a ban undone by a crash: what got its YES holds in the process that starts from what is on disk then.
func TestBanOutlivesACrash(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	up, other := newUpstream(t, respondWith(ok200("s"))), newUpstream(t, respondWith(ok200("other")))
	entries := []string{entry("s", up.address, "Ready"), entry("other", other.address, "Ready")}
	first := start(t, withState(t, dir, entries...), "127.0.0.1:0")
	if got := first.adminCall(t, "DISABLE s\n"); got != "YES\n" {
		t.Fatalf("DISABLE: %q", got)
	}
	left := crash(t, dir)
	second := start(t, withState(t, left, entries...), "127.0.0.1:0")
	for range 20 {
		if _, body := second.get(t); body != "other" {
			t.Fatalf("served by %q", body)
		}
	}
	if got := second.adminCall(t, "ENABLE s\n"); got != "YES\n" {
		t.Errorf("ENABLE: %q", got)
	}
	if k, err := statestore.New(left, "n1").Load(time.Now()); err != nil || len(k.Bans) != 0 {
		t.Errorf("lifted, on disk: %v, %v", k.Bans, err)
	}
}

// Guards against a start that waits for discovery though the list is on disk: it is ready with that, and says so.
func TestStartsWithThePersistedListWhileDiscoveryIsSilent(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	up := newUpstream(t, respondWith(ok200("s")))
	s := lockHolder(t, dir)
	text := fmt.Sprintf(`{"index":9,"snapshot":true,"endpoints":[%s]}`, entry("s", up.address, "Ready"))
	if err := errors.Join(s.WriteList("127.0.0.1:1", []byte(text), time.Now().Add(-time.Minute)), s.Release(true)); err != nil {
		t.Fatal(err)
	}
	c := withState(t, dir)
	c.Known = nil
	c.Discovery = "127.0.0.1:1" // nobody there
	r := start(t, c, "127.0.0.1:0")
	if status, body := r.get(t); status != 200 || body != "s" {
		t.Errorf("served %d %q", status, body)
	}
	if got := r.adminCall(t, "STATS\n"); !strings.Contains(got, "gw.list_kept:1|g\n") || !strings.Contains(got, "gw.list_age_ms:6") {
		t.Errorf("figures: %s", got)
	}
}

// A second process on one directory, with no upgrade between them, is refused: it would write over the first one's.
func TestSecondProcessOnOneDirectoryFails(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	s := lockHolder(t, dir)
	if _, _, err := openState(withState(t, dir), true); !errors.Is(err, durable.ErrLocked) || !strings.Contains(err.Error(), dir) {
		t.Errorf("alone: %v", err)
	}
	k, _, err := openState(withState(t, dir), false)
	if err != nil {
		t.Fatalf("in an upgrade: %v", err)
	}
	k.bans, k.adoptBan = func() []string { return []string{"here"} }, func(id string) { t.Errorf("%s was adopted", id) }
	k.list, k.snapshot = nil, nil
	if persisted, err := k.accept("a", false, false); persisted || err != nil {
		t.Errorf("while the other writes: kept %v, %v", persisted, err)
	}
	if err := s.Release(false); err != nil {
		t.Fatal(err)
	}
	if wait := k.acquire(); wait != 0 || !k.writesNow() {
		t.Fatalf("not taken up once the other let go (%v)", wait)
	}
	if err := k.ban("b", false); err != nil {
		t.Error(err)
	}
	k.release(false)
	if persisted, err := statestore.New(dir, "n1").Load(time.Now()); err != nil || len(persisted.Bans) != 2 {
		t.Errorf("on disk: %v, %v; the ban in force and the new one are wanted", persisted.Bans, err)
	}
}

// A disk that can't be used costs what it would keep, and a NO for bans, and no service; it is used again once it can.
func TestServiceGoesOnWithoutTheDisk(t *testing.T) {
	base := t.TempDir()
	dir := filepath.Join(base, "state")
	if err := os.WriteFile(dir, nil, 0o600); err != nil { // no directory can be made there
		t.Fatal(err)
	}
	up := newUpstream(t, respondWith(ok200("s")))
	r := start(t, withState(t, dir, entry("s", up.address, "Ready")), "127.0.0.1:0")
	if status, _ := r.get(t); status != 200 {
		t.Errorf("status %d", status)
	}
	if got := r.adminCall(t, "DISABLE s\n"); !strings.HasPrefix(got, "NO nothing can be written now") {
		t.Errorf("DISABLE: %q", got)
	}
	if got := r.adminCall(t, "STATS\n"); !strings.Contains(got, "gw.state_failing:1|g\n") {
		t.Errorf("figures: %s", got)
	}
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a ban on disk", func() bool { return r.adminCall(t, "DISABLE s\n") == "YES\n" })
	if k, err := statestore.New(dir, "n1").Load(time.Now()); err != nil || len(k.Bans) != 1 {
		t.Errorf("on disk: %v, %v", k.Bans, err)
	}
	if got := r.adminCall(t, "STATS\n"); !strings.Contains(got, "gw.state_failing:0|g\n") {
		t.Errorf("figures: %s", got)
	}
}

// SIGTERM leaves a clean mark, and the list with the snapshot.
func TestOrderlyEndIsMarked(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	up := newUpstream(t, respondWith(ok200("s")))
	r := start(t, withState(t, dir, entry("s", up.address, "Ready")), "127.0.0.1:0")
	if status, _ := r.get(t); status != 200 {
		t.Fatalf("status %d", status)
	}
	if k, err := statestore.New(dir, "n1").Load(time.Now()); err != nil || !k.Crashed {
		t.Errorf("while it runs: %v, crashed %v", err, k.Crashed)
	}
	r.stop()
	<-r.ended
	k, err := statestore.New(dir, "n1").Load(time.Now())
	if err != nil || k.Crashed || k.List == nil || k.Snapshot == nil || len(k.Snapshot.Balancer.Endpoints) != 1 {
		t.Errorf("after its end: %+v, %v", k, err)
	}
}

// After a crash loop the list is set aside, and taken all the same where nobody tells another one.
func TestListOfACrashLoopIsTheLastResort(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	up := newUpstream(t, respondWith(ok200("s")))
	text := fmt.Sprintf(`{"index":9,"snapshot":true,"endpoints":[%s]}`, entry("s", up.address, "Ready"))
	for range 3 {
		s := lockHolder(t, dir)
		k, err := s.Load(time.Now())
		if err != nil {
			t.Fatal(err)
		}
		s.Begin(k, time.Now())
		if err := errors.Join(s.WriteList("127.0.0.1:1", []byte(text), time.Now()), s.Release(false)); err != nil {
			t.Fatal(err)
		}
	}
	c := withState(t, dir)
	c.Known = nil
	c.Discovery = "127.0.0.1:1" // nobody there
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	r := startOnListener(t, c, l, "")
	r.awaitReady(t, "YES")
	if elapsed := time.Since(begun); elapsed < suspectListDelay {
		t.Errorf("ready after %v, with a list that was set aside", elapsed)
	}
	if status, body := r.get(t); status != 200 || body != "s" {
		t.Errorf("served %d %q", status, body)
	}
	if got := r.adminCall(t, "STATS\n"); !strings.Contains(got, "gw.list_kept:1|g") {
		t.Errorf("figures: %s", got)
	}
}
