package cli

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mosslead/internal/lab/loopback"
	"mosslead/internal/lab/transcript"
	"mosslead/internal/lab/transcript/approve"
	"mosslead/internal/registry"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
	"mosslead/internal/registry/registrytest"
	"mosslead/internal/sidecar"
)

// harness is what one script plays in: regions of one replica each, in this process, and an operator with the real command.
type harness struct {
	*testing.T
	script *transcript.Script
	dir    string
	taps   map[[2]string]*transcript.Tap // the last between two
}

// region is a list service of one replica that keeps nothing.
type region struct {
	h       *harness
	name    string
	address string
	follow  []registry.FollowedRegion
	node    *registry.Node
	stop    func()
	tap     *transcript.Tap // the operator's way to it
}

func (x *harness) must(err error) {
	x.Helper()
	if err != nil {
		x.Fatalf("%v\n%s", err, x.script.Text())
	}
}

// freeAddress is one that nobody else on this machine is given.
func freeAddress(t *testing.T) string {
	t.Helper()
	at, err := loopback.Address()
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// startRegion starts one; name is empty where there is only one. It follows those that are given, each by a tap of its own.
func (x *harness) startRegion(name string, follows ...*region) *region {
	x.Helper()
	r := &region{h: x, name: name, address: freeAddress(x.T)}
	x.Cleanup(func() {
		if r.stop != nil {
			r.stop()
		}
	})
	r.tap = x.newTap("operator", r.party(), r.address)
	for _, other := range follows {
		t := x.newTap(name, other.name, other.address)
		t.Cut(true)
		r.follow = append(r.follow, registry.FollowedRegion{Region: other.name, API: []string{t.Address()}})
	}
	r.start()
	for _, other := range follows { // once it takes changes: before, how often it asks is up to chance
		x.tapBetween(name, other.name).Only(1, true)
		x.tapBetween(name, other.name).Cut(false)
	}
	return r
}

func (r *region) party() string {
	if r.name == "" {
		return "service"
	}
	return r.name
}

// start starts its replica, with nothing in memory, and waits until it takes changes.
func (r *region) start() {
	r.h.Helper()
	c := registry.Dev(r.address)
	c.Region, c.Follow, c.Heartbeat.Duration = r.name, r.follow, 100*time.Millisecond
	node, stop := registrytest.Start(r.h, c)
	r.node, r.stop = node, stop
	r.h.must(transcript.Eventually(r.h.Context(), r.party()+" leads", func() bool {
		return node.Status().State == "leader" && len(node.Status().Members) == 1 && node.Status().StalenessMs >= 0
	}))
}

// untappedClient is a client that no tap hears.
func (r *region) untappedClient() *client.Client {
	c := client.New([]string{r.address})
	r.h.Cleanup(c.Close)
	return c
}

func (x *harness) newTap(from, to, target string) *transcript.Tap {
	x.Helper()
	t, err := transcript.NewTap(x.script, from, to, strings.Split(freeAddress(x.T), ":")[0], target)
	x.must(err)
	x.Cleanup(t.Close)
	x.taps[[2]string{from, to}] = t
	return t
}

func (x *harness) tapBetween(from, to string) *transcript.Tap { return x.taps[[2]string{from, to}] }

// writeFile writes settings into a file of that name, in the directory where the operator works.
func (x *harness) writeFile(name, text string) {
	x.Helper()
	x.must(os.WriteFile(filepath.Join(x.dir, name), []byte(text), 0o600))
}

// runStep has the operator give a command to a region, one of config unless it is one of list, and writes down what it prints. More words
// go to the command, not into the step.
func (x *harness) runStep(at *region, want int, line string, more ...string) {
	x.Helper()
	if !strings.HasPrefix(line, "list ") {
		line = "config " + line
	}
	x.script.Step("mosslead %s", line)
	x.runCommand(at, want, line, more...)
}

// runCommand is runStep within the same step.
func (x *harness) runCommand(at *region, want int, line string, more ...string) {
	x.Helper()
	args := strings.Fields(line)
	for i, arg := range args {
		if strings.HasSuffix(arg, ".json") {
			args[i] = filepath.Join(x.dir, arg)
		}
	}
	var out, said bytes.Buffer
	status := (&app{stdout: &out, stderr: &said}).run(x.Context(), append(append(args, "--registry", at.tap.Address()), more...))
	plain := strings.NewReplacer(x.dir+"/", "", "http://"+at.tap.Address(), "http://"+at.party())
	for _, text := range []string{out.String(), said.String()} {
		if text != "" {
			x.script.Say("operator", "operator", "reads\n%s", plain.Replace(text))
		}
	}
	x.script.Say("operator", "operator", "exit status %d", status)
	if status != want {
		x.Errorf("mosslead %s: status %d, want %d", line, status, want)
	}
}

// sendRequest sends a call as it is, from a program of the operator's.
func (x *harness) sendRequest(at *region, method, path, body string) {
	x.Helper()
	req, err := http.NewRequestWithContext(x.Context(), method, "http://"+at.tap.Address()+path, strings.NewReader(body))
	x.must(err)
	resp, err := http.DefaultClient.Do(req)
	x.must(err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	x.must(err)
}

// openWatch opens a watch as a party does, and waits for its first line, of which part is a part. It lasts as long as the play.
func (x *harness) openWatch(name string, at *region, query, part string) {
	x.Helper()
	t := x.newTap(name, at.party(), at.address)
	ctx, cancel := context.WithCancel(x.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address()+"/api/targets?watch=1&"+query, nil)
	x.must(err)
	resp, err := http.DefaultClient.Do(req)
	x.must(err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for in := bufio.NewScanner(resp.Body); in.Scan(); {
		}
	}()
	x.Cleanup(func() {
		cancel()
		<-ended
		_ = resp.Body.Close()
	})
	x.awaitMessage(at, name, part)
}

// startSidecar runs a hollow one of orders, whose file has settings, behind a tap of its own; at is where its list service answers. What it says by
// chance is left out: words before it has heard of settings, and watches that it opens again.
func (x *harness) startSidecar(name, named, at, settings string) {
	x.Helper()
	t := x.newTap(name, named, at)
	watches := 0
	t.Skip(func(call, body string) bool {
		if strings.HasSuffix(call, "/api/targets") {
			watches++
			return watches > 1
		}
		return strings.Contains(body, `"version":0}`)
	})
	c, err := sidecar.ParseConfig(fmt.Appendf(nil, `{"name":%q,"listen":"127.0.0.1:9000","discovery":%q,"service":"orders","seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s}`, name, t.Address(), settings))
	x.must(err)
	ctx, cancel := context.WithCancel(x.Context())
	ended := make(chan error, 1)
	go func() { ended <- sidecar.RunHollow(ctx, c, sidecar.HollowObserver{}) }()
	x.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			x.Error(err)
		}
	})
}

// awaitAck waits until a sidecar's word has arrived.
func (x *harness) awaitAck(name, named, part string) {
	x.Helper()
	x.must(x.script.Await(x.Context(), name, named, part))
	x.must(x.script.Await(x.Context(), named, name, "200 "))
}

// newerService is a list service of a newer program. Its lines have the versions 1, 2 and so on; each watch is told those that it lacks.
type newerService struct {
	mu      sync.Mutex
	lines   []string
	changed chan struct{} // closed with the next line
}

// addLine adds a line.
func (s *newerService) addLine(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, line)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *newerService) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost { // what is in force
		_, _ = io.WriteString(rw, "{}\n")
		return
	}
	has, err := strconv.Atoi(r.FormValue("from"))
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	for has = max(0, has); r.Context().Err() == nil; {
		s.mu.Lock()
		more, changed := slices.Clone(s.lines[min(has, len(s.lines)):]), s.changed
		s.mu.Unlock()
		has += len(more)
		_, _ = io.WriteString(rw, strings.Join(append(more, ""), "\n"))
		if len(more) == 0 {
			_, _ = io.WriteString(rw, "\n")
		}
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-r.Context().Done():
		}
	}
}

// awaitMessage waits until a party has heard something in this step.
func (x *harness) awaitMessage(at *region, name, part string) {
	x.Helper()
	x.must(x.script.Await(x.Context(), at.party(), name, part))
}

// awaitReplication waits until a region says that it has followed another so far, and writes down what it says of that.
func (x *harness) awaitReplication(r *region, other string, so func(api.ReplicationStatus) bool) {
	x.Helper()
	var f api.ReplicationStatus
	x.must(transcript.Eventually(x.Context(), r.name+" follows "+other, func() bool {
		for _, f = range r.node.Status().Replication {
			if f.Region == other && so(f) {
				return true
			}
		}
		return false
	}))
	x.script.Say(r.name, r.name, "%s is followed up to version %d, begun up to %d, %d entries; set aside: %q", f.Region, f.Revision, f.SeenRevision, f.Endpoints, f.RejectedReason)
}

// replicatedUpTo is a condition for awaitReplication.
func replicatedUpTo(version int64) func(api.ReplicationStatus) bool {
	return func(f api.ReplicationStatus) bool { return f.Revision == version && f.RejectedReason == "" }
}

// settingsWithDeadline is settings that pass, with a deadline by which they are known.
func settingsWithDeadline(deadline int) string {
	return fmt.Sprintf(`{"Classes":[{"Name":"read","Semantics":"retryable","DeadlineMs":%d}]}`+"\n", deadline)
}

// addLateShare adds a key.
func addLateShare(settings string) string {
	return strings.Replace(settings, "}]", `,"LateShare":0.5}]`, 1)
}

var transcriptTests = []struct {
	name, shows string // shows is the line that it is about
	script      func(*harness)
}{
	{"put", `service > n1: {"index":1,"snapshot":false,"endpoints":[],"documents":[{"service":"orders","version":1`, func(x *harness) {
		s := x.startRegion("")
		x.writeFile("orders.json", settingsWithDeadline(100))
		x.script.Step("a sidecar of orders watches")
		x.openWatch("n1", s, "from=-1&service=orders&held=", `"index":0`)
		x.runStep(s, exitOK, "put orders --file orders.json")
		x.awaitMessage(s, "n1", `"version":1`)
		x.runStep(s, exitOK, "get orders")
	}},
	{"put-at-an-old-version", "conflict: the settings of orders are at version 2", func(x *harness) {
		s := x.startRegion("")
		x.writeFile("orders.json", settingsWithDeadline(100))
		x.writeFile("other.json", settingsWithDeadline(200))
		x.runStep(s, exitOK, "put orders --file orders.json")
		x.runStep(s, exitOK, "put orders --file other.json --if-version 1")
		x.runStep(s, exitFailed, "put orders --file orders.json --if-version 1")
		x.runStep(s, exitFailed, "put orders --file orders.json --if-version 0 -o json")
		x.runStep(s, exitOK, "get orders -o json")
	}},
	{"put-that-does-not-pass", "orders.json:3:3: Classes.DeadlineMs: setting Classes: read: Deadline is not usable", func(x *harness) {
		s := x.startRegion("")
		x.writeFile("orders.json", "{\"Classes\":[\n {\"Name\":\"read\",\"Semantics\":\"retryable\",\"AimMs\":50,\n  \"DeadlineMs\":-1}]}\n")
		x.writeFile("list.json", "[1]\n")
		x.runStep(s, exitUsage, "put orders --file orders.json")
		x.runStep(s, exitUsage, "put orders --file list.json")
		x.script.Step("a program puts without a check of its own")
		x.sendRequest(s, http.MethodPut, "/v1/settings/orders", `{"schema":1,"settings":{"Classes":[{"Name":"read","Semantics":"retryable","AimMs":50,"DeadlineMs":-1}]},"if_version":0}`)
		x.sendRequest(s, http.MethodPut, "/v1/settings/orders", `{"schema":1,"settings":{"Classes":[]},"if_version":0}`)
		x.sendRequest(s, http.MethodPut, "/v1/settings/orders", `{"schema":1,"settings":`+strings.TrimSpace(settingsWithDeadline(100))+`}`)
		x.sendRequest(s, http.MethodPut, "/v1/settings/orders", `{"schema":1,"settings":`+strings.TrimSpace(settingsWithDeadline(100))+`,"if_version":0,"force":true}`)
		x.runStep(s, exitFailed, "get orders")
	}},
	{"put-whose-answer-is-lost", "the put was done under version 1", func(x *harness) {
		s := x.startRegion("")
		x.writeFile("orders.json", settingsWithDeadline(100))
		x.writeFile("other.json", settingsWithDeadline(200))
		puts := 0
		s.tap.Lose(func(call string) (way, back bool) {
			if !strings.HasPrefix(call, "PUT") {
				return false, false
			}
			puts++
			return puts == 2, puts == 1
		})
		x.runStep(s, exitOK, "put orders --file orders.json")
		x.runStep(s, exitFailed, "put orders --file other.json")
		x.runStep(s, exitOK, "put orders --file other.json --if-version 1")
	}},
	{"put-that-another-overtakes", "the put was not done and won't be", func(x *harness) {
		s := x.startRegion("")
		x.writeFile("orders.json", settingsWithDeadline(100))
		x.writeFile("other.json", settingsWithDeadline(200))
		x.runStep(s, exitOK, "put orders --file orders.json")
		x.script.Step("another operator's change comes first, and then the call is lost")
		s.tap.Lose(func(call string) (way, back bool) {
			if way = strings.HasPrefix(call, "PUT"); way {
				on := int64(1)
				_, err := s.untappedClient().Put(x.Context(), "orders", api.PutRequest{Schema: 1, Settings: []byte(settingsWithDeadline(300)), IfRevision: &on})
				x.must(err)
			}
			return way, false
		})
		x.runCommand(s, exitFailed, "config put orders --file other.json")
	}},
	{"delete", `"version":2,"schema":0,"deleted":true`, func(x *harness) {
		s := x.startRegion("")
		x.writeFile("orders.json", settingsWithDeadline(100))
		x.runStep(s, exitOK, "put orders --file orders.json")
		x.script.Step("a sidecar of orders watches")
		x.openWatch("n1", s, "from=-1&service=orders&held=", `"version":1`)
		x.runStep(s, exitOK, "delete orders")
		x.awaitMessage(s, "n1", `"deleted":true`)
		x.runStep(s, exitOK, "get orders")
		x.runStep(s, exitFailed, "delete orders")
		x.runStep(s, exitOK, "back orders")
		x.awaitMessage(s, "n1", `"version":3`)
	}},
	{"back", "orders   done     3        2", func(x *harness) {
		s := x.startRegion("")
		x.writeFile("orders.json", settingsWithDeadline(100))
		x.writeFile("other.json", settingsWithDeadline(200))
		x.runStep(s, exitOK, "put orders --file orders.json")
		x.runStep(s, exitOK, "put orders --file other.json")
		x.script.Step("a sidecar of orders watches")
		x.openWatch("n1", s, "from=-1&service=orders&held=", `"version":2`)
		x.runStep(s, exitOK, "back orders")
		x.awaitMessage(s, "n1", `"version":3`)
		x.runStep(s, exitFailed, "back orders --to 9")
		x.runStep(s, exitOK, "back orders --to 2 -o json")
		x.awaitMessage(s, "n1", `"version":4`)
	}},
	{"watch-with-held", "service > holds-it: (an empty line)", func(x *harness) {
		s := x.startRegion("")
		x.writeFile("orders.json", settingsWithDeadline(100))
		x.writeFile("other.json", settingsWithDeadline(200))
		x.runStep(s, exitOK, "put orders --file orders.json")
		x.runStep(s, exitOK, "put fares --file other.json")
		x.script.Step("sidecars of orders come back: with this version, with an older one, with none; and one that asks for no settings")
		x.openWatch("holds-it", s, "from=2&service=orders&held=%401", "(an empty line)")
		x.openWatch("holds-older", s, "from=2&service=orders&held=south%401", `"version":1`)
		x.openWatch("holds-none", s, "from=2&service=orders&held=", `"version":1`)
		x.openWatch("asks-for-none", s, "from=2", "(an empty line)")
		x.script.Step("a server comes, which all hear")
		_, err := s.untappedClient().Register(x.Context(), "s-1", api.Registration{Address: "10.0.0.18:9000", Weight: 1})
		x.must(err)
		for _, name := range []string{"holds-it", "holds-older", "holds-none", "asks-for-none"} {
			x.awaitMessage(s, name, "s-1")
		}
		x.runStep(s, exitOK, "put fares --file orders.json")
		x.runStep(s, exitOK, "put orders --file other.json")
		for _, name := range []string{"holds-it", "holds-older", "holds-none"} {
			x.awaitMessage(s, name, `"version":5`)
		}
	}},
	{"follow", `north > south: GET /api/targets?watch=1&from=-1&own=1`, func(x *harness) {
		south := x.startRegion("south")
		x.writeFile("orders.json", settingsWithDeadline(100))
		x.writeFile("other.json", settingsWithDeadline(200))
		x.runStep(south, exitOK, "put orders --file orders.json")
		x.script.Step("north begins to follow")
		north := x.startRegion("north", south)
		x.awaitMessage(south, "north", `"version":1`)
		x.awaitReplication(north, "south", replicatedUpTo(1))
		x.script.Step("a sidecar of orders watches in north")
		x.openWatch("n1", north, "from=-1&service=orders&held=", `"region":"south","version":1`)
		x.script.Step("a server comes in south")
		_, err := south.untappedClient().Register(x.Context(), "s-1", api.Registration{Address: "10.0.0.18:9000", Weight: 1})
		x.must(err)
		x.awaitMessage(south, "north", "s-1")
		x.awaitMessage(north, "n1", "s-1")
		x.awaitReplication(north, "south", replicatedUpTo(2))
		x.runStep(south, exitOK, "put orders --file other.json")
		x.awaitMessage(south, "north", `"version":3`)
		x.awaitMessage(north, "n1", `"version":3`)
		x.awaitReplication(north, "south", replicatedUpTo(3))
		x.runStep(north, exitOK, "get orders")
		x.runStep(south, exitOK, "delete orders")
		x.awaitMessage(south, "north", `"deleted":true`)
		x.awaitMessage(north, "n1", `"deleted":true`)
		x.awaitReplication(north, "south", replicatedUpTo(4))
	}},
	{"put-to-a-region-that-does-not-own-it", "the settings of orders are those of region south, at version 1", func(x *harness) {
		south := x.startRegion("south")
		x.writeFile("orders.json", settingsWithDeadline(100))
		x.runStep(south, exitOK, "put orders --file orders.json")
		x.script.Step("north begins to follow")
		north := x.startRegion("north", south)
		x.awaitMessage(south, "north", `"version":1`)
		x.awaitReplication(north, "south", replicatedUpTo(1))
		x.runStep(north, exitFailed, "put orders --file orders.json")
		x.runStep(north, exitFailed, "delete orders")
		x.runStep(north, exitOK, "get")
	}},
	{"two-owners-after-a-cut", `"region":"north","version":2`, func(x *harness) {
		south := x.startRegion("south")
		x.writeFile("orders.json", settingsWithDeadline(100))
		x.writeFile("other.json", settingsWithDeadline(200))
		_, err := south.untappedClient().Register(x.Context(), "s-1", api.Registration{Address: "10.0.0.18:9000", Weight: 1})
		x.must(err)
		north := x.startRegion("north", south)
		x.awaitReplication(north, "south", replicatedUpTo(1))
		x.script.Step("north is cut off from south; in both regions the same service gets its first settings")
		x.tapBetween("north", "south").Cut(true)
		x.runStep(south, exitOK, "put orders --file orders.json")
		x.runStep(north, exitOK, "put orders --file other.json")
		x.tapBetween("north", "south").Only(1, true)
		x.script.Step("the cut heals")
		x.tapBetween("north", "south").Cut(false)
		x.awaitReplication(north, "south", replicatedUpTo(2))
		x.runStep(north, exitOK, "get")
		x.script.Step("sidecars of orders in north are told those of the smaller name")
		x.openWatch("n1", north, "from=-1&service=orders&held=", `"region":"north","version":2`)
		x.runStep(north, exitOK, "delete orders")
		x.awaitMessage(north, "n1", `"region":"south","version":2`)
	}},
	{"owner-that-went-back", "its version goes back from 3 to 1", func(x *harness) {
		south := x.startRegion("south")
		x.writeFile("orders.json", settingsWithDeadline(100))
		x.writeFile("other.json", settingsWithDeadline(200))
		x.writeFile("older.json", settingsWithDeadline(300))
		x.runStep(south, exitOK, "put orders --file orders.json")
		x.runStep(south, exitOK, "put orders --file other.json")
		x.runStep(south, exitOK, "put orders --file other.json")
		x.script.Step("north begins to follow")
		north := x.startRegion("north", south)
		x.awaitMessage(south, "north", `"version":3`)
		x.awaitReplication(north, "south", replicatedUpTo(3))
		x.script.Step("south loses its disks, and begins again")
		x.tapBetween("north", "south").Cut(true)
		south.stop()
		south.start()
		x.runCommand(south, exitOK, "config put orders --file older.json")
		x.script.Step("north hears of it, and keeps what it has")
		x.tapBetween("north", "south").Only(1, false)
		x.tapBetween("north", "south").Cut(false)
		x.awaitReplication(north, "south", func(f api.ReplicationStatus) bool { return f.RejectedReason != "" })
		x.awaitMessage(south, "north", `"version":1`)
		x.runStep(north, exitOK, "get orders")
		x.runStep(south, exitOK, "put orders --file other.json")
		x.runStep(south, exitOK, "put orders --file orders.json")
		x.runStep(south, exitOK, "put orders --file other.json")
		x.awaitReplication(north, "south", replicatedUpTo(4))
		x.runStep(north, exitOK, "get orders")
	}},
	{"region-given-up", `"name":"s-1","address":"10.0.0.18:9000","zone":"","type":"","group":0,"status":"Gone"`, func(x *harness) {
		south := x.startRegion("south")
		x.writeFile("orders.json", settingsWithDeadline(100))
		x.writeFile("other.json", settingsWithDeadline(200))
		x.runStep(south, exitOK, "list register s-1 --address 10.0.0.18:9000")
		x.runStep(south, exitOK, "put orders --file orders.json")
		x.script.Step("north begins to follow, and a sidecar of orders watches there")
		north := x.startRegion("north", south)
		x.awaitMessage(south, "north", `"version":2`)
		x.awaitReplication(north, "south", replicatedUpTo(2))
		x.openWatch("n1", north, "from=-1&service=orders&held=", `"version":2`)
		x.script.Step("a backup is made in south")
		backup, err := south.untappedClient().Backup(x.Context())
		x.must(err)
		x.runStep(south, exitOK, "put orders --file other.json")
		x.awaitMessage(north, "n1", `"version":3`)
		x.awaitReplication(north, "south", replicatedUpTo(3))
		x.script.Step("south is lost, with all of its disks")
		x.tapBetween("north", "south").Cut(true)
		south.stop()
		x.runStep(north, exitFailed, "put orders --file orders.json")
		x.runStep(north, exitOK, "list ban s-1") // alone it changes nothing
		x.runStep(north, exitOK, "list register s-1 --address 10.0.0.18:9000")
		x.awaitMessage(north, "n1", `"status":"Gone"`)
		x.runStep(north, exitOK, "list remove s-1")
		x.awaitMessage(north, "n1", `"status":"Ready"`)
		x.script.Step("new replicas of south begin with nothing, and the backup is restored there before north reaches them")
		south.start()
		x.must(south.untappedClient().Restore(x.Context(), backup))
		x.tapBetween("north", "south").Only(1, true)
		x.tapBetween("north", "south").Cut(false)
		x.awaitReplication(north, "south", func(f api.ReplicationStatus) bool { return f.Revision > 3 && f.RejectedReason == "" })
		x.awaitMessage(north, "n1", `"DeadlineMs":100`)
		x.runStep(south, exitOK, "put orders --file other.json")
		x.awaitMessage(north, "n1", `"DeadlineMs":200`)
	}},
	{"rejected-and-repaired", "rejected 2: lacks settings.Classes.LateShare, which this sidecar's file has", func(x *harness) {
		s := x.startRegion("")
		x.writeFile("orders.json", addLateShare(settingsWithDeadline(100)))
		x.writeFile("without.json", settingsWithDeadline(200))
		x.writeFile("repaired.json", addLateShare(settingsWithDeadline(200)))
		x.runStep(s, exitOK, "put orders --file orders.json")
		x.script.Step("a sidecar starts, whose file has a LateShare")
		x.startSidecar("n1", "service", s.address, addLateShare(settingsWithDeadline(50)))
		x.awaitMessage(s, "n1", `"version":1`)
		x.awaitAck("n1", "service", `"version":1`)
		x.runStep(s, exitOK, "status orders")
		x.runStep(s, exitOK, "put orders --file without.json")
		x.awaitMessage(s, "n1", `"version":2`)
		x.awaitAck("n1", "service", `"rejected":2`)
		x.runStep(s, exitOK, "status orders")
		x.runStep(s, exitOK, "put orders --file repaired.json")
		x.awaitMessage(s, "n1", `"version":3`)
		x.awaitAck("n1", "service", `"version":3`)
		x.runStep(s, exitOK, "status orders -o json")
		x.runStep(s, exitOK, "delete orders")
		x.awaitMessage(s, "n1", `"deleted":true`)
		x.must(transcript.Eventually(x.Context(), "the file's settings are in force", func() bool {
			all, err := s.untappedClient().Rollouts(x.Context())
			return err == nil && all.Rollouts[0].InForce == 1
		}))
		x.runStep(s, exitOK, "status orders")
	}},
	{"newer-schema", `"rejected":2,"why":"schema 2, and this program understands 1 to 1"`, func(x *harness) {
		s := x.startRegion("")
		x.script.Step("a newer program puts settings of a newer schema")
		x.sendRequest(s, http.MethodPut, "/v1/settings/orders", `{"schema":2,"settings":`+strings.TrimSpace(settingsWithDeadline(100))+`,"if_version":0}`)
		x.script.Step("a sidecar hears of some from a newer list service")
		newer := &newerService{changed: make(chan struct{})}
		server := httptest.NewServer(newer)
		x.Cleanup(server.Close)
		newer.addLine(`{"index":1,"snapshot":true,"endpoints":[],"documents":[{"service":"orders","version":1,"schema":1,"settings":` + strings.TrimSpace(settingsWithDeadline(100)) + `}]}`)
		x.startSidecar("n1", "newer service", server.Listener.Addr().String(), settingsWithDeadline(50))
		x.awaitAck("n1", "newer service", `"version":1`)
		x.script.Step("of a newer schema")
		newer.addLine(`{"index":2,"snapshot":false,"endpoints":[],"documents":[{"service":"orders","version":2,"schema":2,"settings":{"Classes":{"read":"1 s"}}}]}`)
		x.awaitAck("n1", "newer service", `"rejected":2`)
		x.script.Step("and of this one again")
		newer.addLine(`{"index":3,"snapshot":false,"endpoints":[],"documents":[{"service":"orders","version":3,"schema":1,"settings":` + strings.TrimSpace(settingsWithDeadline(200)) + `}]}`)
		x.awaitAck("n1", "newer service", `"version":3`)
	}},
}

// Guards against any change of what operators, list services, regions and sidecars tell each other that nobody has looked at: approve it
// with -update.
func TestApprovedTranscripts(t *testing.T) {
	for _, a := range transcriptTests {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			x := &harness{T: t, script: transcript.NewScript(), dir: t.TempDir(), taps: map[[2]string]*transcript.Tap{}}
			for _, name := range []string{"service", "south", "north", "operator"} {
				x.script.Between("operator", name)
			}
			a.script(x)
			approve.Text(t, a.name, a.shows, x.script.Text())
		})
	}
}
