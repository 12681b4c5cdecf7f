package registry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"mosslead/internal/lab/loopback"
	"mosslead/internal/lab/proc"
	"mosslead/internal/registry"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
	"mosslead/internal/registry/registrytest"
)

// replicaEnv names the environment variable with the path of the configuration of a replica.
const replicaEnv = "TEST_REPLICA"

// TestMain runs this binary as a replica if replicaEnv is set, and otherwise the tests.
func TestMain(m *testing.M) {
	if path := os.Getenv(replicaEnv); path != "" {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		c, err := registry.LoadConfig(path)
		if err == nil {
			var n *registry.Node
			if n, err = registry.Open(c, slog.New(slog.NewTextHandler(os.Stderr, nil))); err == nil {
				err = n.Run(ctx)
			}
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// quorum is a set of replicas that run as processes.
type quorum struct {
	t         *testing.T
	dir       string
	peers     []map[string]any
	processes map[string]*proc.Child
	client    *client.Client
}

// unusedAddress returns an address that no other process on this machine uses, so that it is still free when a replica restarts.
func unusedAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func newQuorum(t *testing.T, n int) *quorum {
	t.Helper()
	q := configureQuorum(t, n)
	for i := range n {
		q.start(fmt.Sprint("r", i), nil)
	}
	q.waitServing(n)
	return q
}

// configureQuorum returns a quorum of n replicas, none of which runs yet.
func configureQuorum(t *testing.T, n int) *quorum {
	t.Helper()
	q := &quorum{t: t, dir: t.TempDir(), processes: map[string]*proc.Child{}}
	var addresses []string
	for i := range n {
		q.peers = append(q.peers, map[string]any{"name": fmt.Sprint("r", i), "raft": unusedAddress(t), "api": unusedAddress(t)})
		addresses = append(addresses, q.peers[i]["api"].(string))
	}
	q.client = client.New(addresses)
	t.Cleanup(func() {
		q.client.Close()
		for _, c := range q.processes {
			_ = c.Kill()
		}
		if t.Failed() {
			for name := range q.processes {
				text, _ := os.ReadFile(filepath.Join(q.dir, name+".log"))
				t.Logf("%s:\n%s", name, text)
			}
		}
	})
	return q
}

// start starts a replica. more holds additional keys of its configuration.
func (q *quorum) start(name string, more map[string]any) {
	q.t.Helper()
	c := map[string]any{"name": name, "dir": filepath.Join(q.dir, name), "replica": q.peers, "grace": "200ms"}
	for key, value := range more {
		c[key] = value
	}
	text, err := toml.Marshal(c)
	if err != nil {
		q.t.Fatal(err)
	}
	path := filepath.Join(q.dir, name+".toml")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		q.t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		q.t.Fatal(err)
	}
	child, err := proc.Start(proc.Spec{Name: name, Path: self, Env: []string{replicaEnv + "=" + path}, Dir: q.dir, LogFile: filepath.Join(q.dir, name+".log")})
	if err != nil {
		q.t.Fatal(err)
	}
	q.processes[name] = child
}

func (q *quorum) kill(name string) {
	q.t.Helper()
	if err := q.processes[name].Kill(); err != nil {
		q.t.Fatal(err)
	}
}

// waitForStatus waits until matches returns true for the statuses of the replicas, and returns them. what describes the condition.
func (q *quorum) waitForStatus(what string, matches func(map[string]api.Status) bool) map[string]api.Status {
	q.t.Helper()
	ctx, cancel := context.WithTimeout(q.t.Context(), 20*time.Second)
	defer cancel()
	for {
		statuses, _ := q.client.Status(ctx)
		if matches(statuses) {
			return statuses
		}
		if ctx.Err() != nil {
			q.t.Fatalf("timed out waiting for %q: got statuses %+v", what, statuses)
		}
		time.Sleep(20 * time.Millisecond) // between two requests
	}
}

// waitServing waits until n replicas serve fresh lists, and returns the name of the leader.
func (q *quorum) waitServing(n int) string {
	q.t.Helper()
	leader := ""
	q.waitForStatus(fmt.Sprintf("%d replicas serve", n), func(statuses map[string]api.Status) bool {
		serving, known := 0, true
		for _, s := range statuses {
			if s.Leader != "" && s.StalenessMs >= 0 && s.StalenessMs < 1000 && len(s.Members) >= n {
				serving++
				known = known && s.Members[s.Replica.Name] == s.Replica
				leader = s.Leader
			}
		}
		return serving >= n && known
	})
	return leader
}

func (q *quorum) register(name string) {
	q.t.Helper()
	ctx, cancel := context.WithTimeout(q.t.Context(), 10*time.Second)
	defer cancel()
	if _, err := q.client.Register(ctx, name, api.Registration{Address: "127.0.0.1:1", Weight: 1}); err != nil {
		q.t.Fatalf("registering %s: got error %v, want nil", name, err)
	}
}

// Checks that a watcher is sent every change while the leader is killed, a replica loses its disk, and an old copy of that disk is
// restored.
func TestQuorumOfProcessesLosesItsMembersOneByOne(t *testing.T) {
	q := newQuorum(t, 3)
	events := make(chan api.WatchEvent, 64)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		q.client.Watch(ctx, nil, client.Watcher{Apply: func(event api.WatchEvent) error { events <- event; return nil }, OnError: func(string, error) {}})
	}()
	defer func() { stop(); <-ended }()
	waitForEntry := func(name string) {
		t.Helper()
		timeout := time.After(15 * time.Second)
		for {
			select {
			case event := <-events:
				for _, endpoint := range event.Endpoints {
					if endpoint.Name == name {
						return
					}
				}
			case <-timeout:
				t.Fatalf("timed out: the watcher was not sent entry %q", name)
			}
		}
	}
	q.register("before")
	waitForEntry("before")

	leader := q.waitServing(3)
	q.kill(leader)
	q.register("without the leader")
	waitForEntry("without the leader")
	q.start(leader, nil)
	q.waitServing(3)

	follower := "r0"
	if q.waitServing(3) == follower {
		follower = "r1"
	}
	followerReplica := func() api.Replica {
		statuses := q.waitForStatus("three statuses", func(statuses map[string]api.Status) bool { return len(statuses) == 3 })
		for _, status := range statuses {
			return status.Members[follower]
		}
		return api.Replica{}
	}
	before := followerReplica()
	diskCopy := filepath.Join(q.dir, "old")
	q.kill(follower)
	if err := os.CopyFS(diskCopy, os.DirFS(filepath.Join(q.dir, follower))); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(filepath.Join(q.dir, follower)); err != nil {
		t.Fatal(err)
	}
	q.register("while a disk is lost")
	q.start(follower, nil)
	q.waitServing(3)
	if after := followerReplica(); after.DiskID == before.DiskID {
		t.Errorf("after the loss of a disk: got replica %+v, want a disk ID other than %q", after, before.DiskID)
	}
	waitForEntry("while a disk is lost")

	// The restored copy of the disk is older than the one that the others know.
	q.kill(follower)
	if err := os.RemoveAll(filepath.Join(q.dir, follower)); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(diskCopy, filepath.Join(q.dir, follower)); err != nil {
		t.Fatal(err)
	}
	q.register("while a disk is old")
	q.start(follower, nil)
	q.waitServing(3)
	quarantined, err := filepath.Glob(filepath.Join(q.dir, follower, "aside-*"))
	if err != nil || len(quarantined) != 1 {
		t.Errorf("got directories %v, error %v, want one directory with the old copy", quarantined, err)
	}
	waitForEntry("while a disk is old")
}

func TestReplicasComeAndGoAtRunTime(t *testing.T) {
	q := newQuorum(t, 3)
	ctx := t.Context()
	m := api.Replica{Name: "r9", Raft: unusedAddress(t), API: unusedAddress(t)}
	q.start("r9", map[string]any{"join": true, "listen": m.API, "raft_bind": m.Raft})
	q.waitForStatus("three statuses with four voters", func(statuses map[string]api.Status) bool {
		for _, s := range statuses {
			if len(s.Voters) != 4 || len(s.Members) != 4 {
				return false
			}
		}
		return len(statuses) == 3
	})
	q.register("one")
	newClient := client.New([]string{m.API})
	defer newClient.Close()
	if records, err := newClient.Records(ctx, true); err != nil || len(records.Records) != 1 {
		t.Errorf("records of the new replica: got %+v, error %v, want one record", records, err)
	}
	if err := q.client.Remove(ctx, "r9"); err != nil {
		t.Fatal(err)
	}
	if err := q.client.Remove(ctx, "r9"); !api.IsCode(err, api.CodeNotFound) {
		t.Errorf("second removal: got error %v, want code %s", err, api.CodeNotFound)
	}

	backup, err := q.client.Backup(ctx)
	if err != nil {
		t.Fatal(err)
	}
	before, _ := q.client.Records(ctx, true)
	q.register("after the backup")
	if err := q.client.Restore(ctx, backup); err != nil {
		t.Fatal(err)
	}
	after, err := q.client.Records(ctx, true)
	if err != nil || len(after.Records) != 1 || after.Revision <= before.Revision+1 {
		t.Errorf("after a restore: got %+v, error %v, want one record and a version above %d", after, err, before.Revision+1)
	}
	damaged := bytes.Replace(backup, []byte(`127.0.0.1:1`), []byte(`127.0.0.1:2`), 1)
	if err := q.client.Restore(ctx, damaged); !api.IsCode(err, api.CodeBadRequest) {
		t.Errorf("restoring a damaged backup: got error %v, want code %s", err, api.CodeBadRequest)
	}
}

// startDevReplica starts a single replica in this process, and returns its address.
func startDevReplica(t *testing.T) string {
	t.Helper()
	address := unusedAddress(t)
	registrytest.Start(t, registry.Dev(address))
	c := client.New([]string{address})
	defer c.Close()
	q := &quorum{t: t, client: c}
	q.waitServing(1)
	return address
}

func TestBadCallsGetOneClearAnswer(t *testing.T) {
	address := startDevReplica(t)
	huge := `{"address":"` + strings.Repeat("x", 2<<20)
	for _, test := range []struct {
		method, path, body string
		status             int
	}{
		{"PUT", "/v1/entries/a", `{"address":"127.0.0.1:1"}`, 200},
		{"PUT", "/v1/entries/a", `{"address":"127.0.0.1:1"`, 400},
		{"PUT", "/v1/entries/a", `{"address":"127.0.0.1:1"} {}`, 400},
		{"PUT", "/v1/entries/a", `{"address":"127.0.0.1:1","colour":"red"}`, 400},
		{"PUT", "/v1/entries/a", `{"address":"nowhere"}`, 400},
		{"PUT", "/v1/entries/a", `{"address":"127.0.0.1:1","weight":-1}`, 400},
		{"PUT", "/v1/entries/a", huge, 400},
		{"PUT", "/v1/entries/" + strings.Repeat("n", 200), `{"address":"127.0.0.1:1"}`, 400},
		{"POST", "/v1/entries/b/drain", ``, 404},
		{"POST", "/v1/entries/a/hand", `{"hand":"burn"}`, 400},
		{"POST", "/v1/renew", `[]`, 400},
		{"POST", "/v1/duties/a%2Fb/take", `{"holder":"h","lease_ms":1000}`, 200},
		{"POST", "/v1/duties/a%2Fb/release", `{"holder":"other","lease_ms":1000,"epoch":1}`, 200},
		{"POST", "/v1/duties/a%2Fb/renew", `{"holder":"h","lease_ms":1000}`, 400},
		{"POST", "/v1/duties/a/take", `{"name":"b","holder":"h","lease_ms":1000}`, 400},
		{"POST", "/v1/duties/a/take", `{"holder":"h","lease_ms":1}`, 400},
		{"POST", "/v1/duties/a/take", `{"holder":"h","lease_ms":1000,"fitness":-1}`, 400},
		{"POST", "/v1/duties/a/take", `{"holder":"` + strings.Repeat("h", 200) + `","lease_ms":1000}`, 400},
		{"POST", "/v1/duties/" + strings.Repeat("n", 200) + "/take", `{"holder":"h","lease_ms":1000}`, 400},
		{"POST", "/v1/duties/a/steal", `{}`, 404},
		{"POST", "/v1/overrule", ``, 409},
		{"POST", "/v1/restore", `{}`, 400},
		{"DELETE", "/v1/replicas/dev", ``, 409},
		{"GET", "/api/targets?watch=1&from=x", ``, 400},
		{"GET", "/nothing", ``, 404},
		{"GET", "/readyz", ``, 200},
	} {
		req, err := http.NewRequestWithContext(t.Context(), test.method, "http://"+address+test.path, strings.NewReader(test.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("%s %.40s: got error %v, want a response", test.method, test.path, err)
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != test.status || err != nil {
			t.Errorf("%s %.40s %.60q: got %s %.100s, want %d", test.method, test.path, test.body, resp.Status, text, test.status)
		}
		var apiErr api.Error
		if resp.StatusCode >= 400 && test.path != "/nothing" && !strings.HasSuffix(test.path, "/steal") && (json.Unmarshal(text, &apiErr) != nil || apiErr.Text == "" || len(text) > 1000) {
			t.Errorf("%s %.40s: got body %.200s of %d bytes, want a JSON error with a text, of at most 1000 bytes", test.method, test.path, text, len(text))
		}
	}
}

// Checks that a leadership remains held when the leader of the service that granted it is killed, with its full lease again. After
// the end of the lease another candidate acquires it under a higher epoch, and the former holder can't renew it.
func TestADutyOutlivesTheLeader(t *testing.T) {
	q := newQuorum(t, 3)
	retry := func(what string, call func(ctx context.Context) (api.LeadershipGrant, error)) (g api.LeadershipGrant) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		for err := error(context.Canceled); err != nil; {
			if g, err = call(ctx); ctx.Err() != nil {
				t.Fatalf("%s: timed out after 15 s, last error %v", what, err)
			}
			if err != nil {
				time.Sleep(10 * time.Millisecond) // between two attempts
			}
		}
		return g
	}
	acquire := func(holder string) api.LeadershipGrant {
		return retry(holder+" claims", func(ctx context.Context) (api.LeadershipGrant, error) {
			return q.client.AcquireLeadership(ctx, api.LeadershipClaim{Name: "digest/cebu", Holder: holder, LeaseMs: 1500})
		})
	}
	first := acquire("a")
	if first.Holder != "a" || first.Epoch == 0 {
		t.Fatalf("first claim of a: got %+v, want holder a and an epoch", first)
	}
	leader := q.waitServing(3)
	q.kill(leader)
	if g := acquire("b"); g.Holder != "a" || g.Epoch != first.Epoch || g.RetryAfterMs <= 0 {
		t.Errorf("claim of b while a holds the leadership: got %+v, want holder a, epoch %d and a retry time", g, first.Epoch)
	}
	if g := acquire("a"); g.Epoch != first.Epoch {
		t.Errorf("repeated claim of the holder: got %+v, want epoch %d", g, first.Epoch)
	}
	var second api.LeadershipGrant
	for second.Holder != "b" {
		second = acquire("b")
	}
	if second.Epoch <= first.Epoch {
		t.Errorf("claim of b after the lease: got %+v, want an epoch above %d", second, first.Epoch)
	}
	renewed := retry("a renews", func(ctx context.Context) (api.LeadershipGrant, error) {
		return q.client.RenewLeadership(ctx, api.LeadershipClaim{Name: "digest/cebu", Holder: "a", LeaseMs: 1500, Epoch: first.Epoch})
	})
	if renewed.HeldBy("a", 0) {
		t.Errorf("renewal by a under its old epoch: got %+v, want another holder", renewed)
	}
}

// Checks that a replica that starts again serves no list before it has applied all that was committed until then. Its log holds an
// older list, and it learns of the leader before it learns the commit index.
func TestAReplicaThatStartsAgainTellsNothingOld(t *testing.T) {
	q := newQuorum(t, 3)
	const entries = 200
	for i := range entries {
		q.register(fmt.Sprint("u", i))
	}
	leader, name := q.waitServing(3), "r0"
	if leader == name {
		name = "r1"
	}
	address := ""
	for _, p := range q.peers {
		if p["name"] == name {
			address = p["api"].(string)
		}
	}
	for range 3 {
		q.kill(name)
		q.start(name, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		for {
			var event api.WatchEvent
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/targets", nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.DefaultClient.Do(req)
			if ctx.Err() != nil {
				t.Fatalf("timed out waiting for a list of %s: last error %v", name, err)
			}
			if err != nil {
				continue // the replica does not listen yet
			}
			err = api.ReadAnswer(resp, &event)
			_ = resp.Body.Close()
			if api.IsCode(err, api.CodeStale) {
				continue
			}
			if err != nil || len(event.Endpoints) != entries {
				t.Errorf("first list of %s: got %d entries, error %v, want %d entries", name, len(event.Endpoints), err, entries)
			}
			break
		}
		cancel()
	}
}
