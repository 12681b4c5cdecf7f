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

const replicaEnv = "TEST_REPLICA"

// TestMain lets this binary be a replica: a process of its own.
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

// quorum is replicas that are processes.
type quorum struct {
	t         *testing.T
	dir       string
	peers     []map[string]any
	processes map[string]*proc.Child
	client    *client.Client
}

// unusedAddress is one that nobody else on this machine has: a replica that restarts has to find its own again.
func unusedAddress(t *testing.T) string {
	t.Helper()
	at, err := loopback.Address()
	if err != nil {
		t.Fatal(err)
	}
	return at
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

// configureQuorum is a quorum of which nobody runs yet.
func configureQuorum(t *testing.T, n int) *quorum {
	t.Helper()
	q := &quorum{t: t, dir: t.TempDir(), processes: map[string]*proc.Child{}}
	var at []string
	for i := range n {
		q.peers = append(q.peers, map[string]any{"name": fmt.Sprint("r", i), "raft": unusedAddress(t), "api": unusedAddress(t)})
		at = append(at, q.peers[i]["api"].(string))
	}
	q.client = client.New(at)
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

// start starts a replica; more are keys of its configuration.
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

// waitForStatus waits for what a status must say.
func (q *quorum) waitForStatus(what string, is func(map[string]api.Status) bool) map[string]api.Status {
	q.t.Helper()
	ctx, cancel := context.WithTimeout(q.t.Context(), 20*time.Second)
	defer cancel()
	for {
		reported, _ := q.client.Status(ctx)
		if is(reported) {
			return reported
		}
		if ctx.Err() != nil {
			q.t.Fatalf("never: %s; last %+v", what, reported)
		}
		time.Sleep(20 * time.Millisecond) // between two looks
	}
}

func (q *quorum) waitServing(n int) string {
	q.t.Helper()
	leader := ""
	q.waitForStatus(fmt.Sprintf("%d serve", n), func(reported map[string]api.Status) bool {
		serving, known := 0, true
		for _, s := range reported {
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
		q.t.Fatalf("registering %s: %v", name, err)
	}
}

// A watcher sees every change through the death of the leader, the loss of a disk, and an old copy of one.
func TestQuorumOfProcessesLosesItsMembersOneByOne(t *testing.T) {
	q := newQuorum(t, 3)
	got := make(chan api.WatchEvent, 64)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		q.client.Watch(ctx, nil, client.Watcher{Apply: func(l api.WatchEvent) error { got <- l; return nil }, OnError: func(string, error) {}})
	}()
	defer func() { stop(); <-ended }()
	hears := func(name string) {
		t.Helper()
		late := time.After(15 * time.Second)
		for {
			select {
			case l := <-got:
				for _, e := range l.Endpoints {
					if e.Name == name {
						return
					}
				}
			case <-late:
				t.Fatalf("the watcher never heard of %s", name)
			}
		}
	}
	q.register("before")
	hears("before")

	leader := q.waitServing(3)
	q.kill(leader)
	q.register("without the leader")
	hears("without the leader")
	q.start(leader, nil)
	q.waitServing(3)

	follower := "r0"
	if q.waitServing(3) == follower {
		follower = "r1"
	}
	disk := func() api.Replica {
		s := q.waitForStatus("a status", func(s map[string]api.Status) bool { return len(s) == 3 })
		for _, x := range s {
			return x.Members[follower]
		}
		return api.Replica{}
	}
	was := disk()
	old := filepath.Join(q.dir, "old")
	q.kill(follower)
	if err := os.CopyFS(old, os.DirFS(filepath.Join(q.dir, follower))); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(filepath.Join(q.dir, follower)); err != nil {
		t.Fatal(err)
	}
	q.register("while a disk is lost")
	q.start(follower, nil)
	q.waitServing(3)
	if now := disk(); now.DiskID == was.DiskID {
		t.Errorf("an empty disk is taken for the one that was lost: %+v", now)
	}
	hears("while a disk is lost")

	// The copy of before is an older disk than the others remember.
	q.kill(follower)
	if err := os.RemoveAll(filepath.Join(q.dir, follower)); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(old, filepath.Join(q.dir, follower)); err != nil {
		t.Fatal(err)
	}
	q.register("while a disk is old")
	q.start(follower, nil)
	q.waitServing(3)
	aside, err := filepath.Glob(filepath.Join(q.dir, follower, "aside-*"))
	if err != nil || len(aside) != 1 {
		t.Errorf("the old copy was not set aside: %v, %v", aside, err)
	}
	hears("while a disk is old")
}

func TestReplicasComeAndGoAtRunTime(t *testing.T) {
	q := newQuorum(t, 3)
	ctx := t.Context()
	m := api.Replica{Name: "r9", Raft: unusedAddress(t), API: unusedAddress(t)}
	q.start("r9", map[string]any{"join": true, "listen": m.API, "raft_bind": m.Raft})
	q.waitForStatus("four", func(reported map[string]api.Status) bool {
		for _, s := range reported {
			if len(s.Voters) != 4 || len(s.Members) != 4 {
				return false
			}
		}
		return len(reported) == 3
	})
	q.register("one")
	own := client.New([]string{m.API})
	defer own.Close()
	if all, err := own.Records(ctx, true); err != nil || len(all.Records) != 1 {
		t.Errorf("the new replica says %+v, %v", all, err)
	}
	if err := q.client.Remove(ctx, "r9"); err != nil {
		t.Fatal(err)
	}
	if err := q.client.Remove(ctx, "r9"); !api.IsCode(err, api.CodeNotFound) {
		t.Errorf("removed twice: %v", err)
	}

	text, err := q.client.Backup(ctx)
	if err != nil {
		t.Fatal(err)
	}
	before, _ := q.client.Records(ctx, true)
	q.register("after the backup")
	if err := q.client.Restore(ctx, text); err != nil {
		t.Fatal(err)
	}
	after, err := q.client.Records(ctx, true)
	if err != nil || len(after.Records) != 1 || after.Revision <= before.Revision+1 {
		t.Errorf("after a restore: %+v, %v", after, err)
	}
	torn := bytes.Replace(text, []byte(`127.0.0.1:1`), []byte(`127.0.0.1:2`), 1)
	if err := q.client.Restore(ctx, torn); !api.IsCode(err, api.CodeBadRequest) {
		t.Errorf("a damaged backup: %v", err)
	}
}

// startDevReplica is one replica in this process.
func startDevReplica(t *testing.T) string {
	t.Helper()
	at := unusedAddress(t)
	registrytest.Start(t, registry.Dev(at))
	c := client.New([]string{at})
	defer c.Close()
	q := &quorum{t: t, client: c}
	q.waitServing(1)
	return at
}

func TestBadCallsGetOneClearAnswer(t *testing.T) {
	at := startDevReplica(t)
	huge := `{"address":"` + strings.Repeat("x", 2<<20)
	for _, x := range []struct {
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
		req, err := http.NewRequestWithContext(t.Context(), x.method, "http://"+at+x.path, strings.NewReader(x.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("%s %.40s: %v", x.method, x.path, err)
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != x.status || err != nil {
			t.Errorf("%s %.40s %.60q: %s %.100s, want %d", x.method, x.path, x.body, resp.Status, text, x.status)
		}
		var f api.Error
		if resp.StatusCode >= 400 && x.path != "/nothing" && !strings.HasSuffix(x.path, "/steal") && (json.Unmarshal(text, &f) != nil || f.Text == "" || len(text) > 1000) {
			t.Errorf("%s %.40s: not one clear answer: %.200s", x.method, x.path, text)
		}
	}
}

// A leadership outlives the leader that gave it, with the full lease again; who comes after its end gets it under a higher epoch,
// and whoever held it is told so.
func TestADutyOutlivesTheLeader(t *testing.T) {
	q := newQuorum(t, 3)
	change := func(what string, do func(ctx context.Context) (api.LeadershipGrant, error)) (g api.LeadershipGrant) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		for err := error(context.Canceled); err != nil; {
			if g, err = do(ctx); ctx.Err() != nil {
				t.Fatalf("%s: %v", what, err)
			}
			if err != nil {
				time.Sleep(10 * time.Millisecond) // between two tries
			}
		}
		return g
	}
	take := func(holder string) api.LeadershipGrant {
		return change(holder+" takes", func(ctx context.Context) (api.LeadershipGrant, error) {
			return q.client.AcquireLeadership(ctx, api.LeadershipClaim{Name: "digest/cebu", Holder: holder, LeaseMs: 1500})
		})
	}
	first := take("a")
	if first.Holder != "a" || first.Epoch == 0 {
		t.Fatalf("got %+v", first)
	}
	leader := q.waitServing(3)
	q.kill(leader)
	if g := take("b"); g.Holder != "a" || g.Epoch != first.Epoch || g.RetryAfterMs <= 0 {
		t.Errorf("a new leader gives away what is held: %+v", g)
	}
	if g := take("a"); g.Epoch != first.Epoch {
		t.Errorf("the holder asks again and gets %+v", g)
	}
	var second api.LeadershipGrant
	for second.Holder != "b" {
		second = take("b")
	}
	if second.Epoch <= first.Epoch {
		t.Errorf("after %+v: %+v", first, second)
	}
	late := change("a renews", func(ctx context.Context) (api.LeadershipGrant, error) {
		return q.client.RenewLeadership(ctx, api.LeadershipClaim{Name: "digest/cebu", Holder: "a", LeaseMs: 1500, Epoch: first.Epoch})
	})
	if late.HeldBy("a", 0) {
		t.Errorf("renewed under an old epoch: %+v", late)
	}
}

// A replica that starts again tells no list before it has all that was committed until then: what its own log holds is the list of
// before, and it hears from the leader that there is one before it hears how much of that is committed.
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
	at := ""
	for _, p := range q.peers {
		if p["name"] == name {
			at = p["api"].(string)
		}
	}
	for range 3 {
		q.kill(name)
		q.start(name, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		for {
			var l api.WatchEvent
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/api/targets", nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.DefaultClient.Do(req)
			if ctx.Err() != nil {
				t.Fatal("it never tells a list")
			}
			if err != nil {
				continue // it does not listen yet
			}
			err = api.ReadAnswer(resp, &l)
			_ = resp.Body.Close()
			if api.IsCode(err, api.CodeStale) {
				continue
			}
			if err != nil || len(l.Endpoints) != entries {
				t.Errorf("its first list has %d entries of %d, %v", len(l.Endpoints), entries, err)
			}
			break
		}
		cancel()
	}
}
