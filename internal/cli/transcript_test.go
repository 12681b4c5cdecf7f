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

// exchange is what one script plays in: regions of one replica each, in this process, and an operator with the real command.
type exchange struct {
	*testing.T
	record *transcript.Script
	dir    string
	taps   map[[2]string]*transcript.Tap // the last between two
}

// region is a list service of one replica that keeps nothing.
type region struct {
	x       *exchange
	name    string
	address string
	follow  []registry.FollowedRegion
	node    *registry.Node
	end     func()
	tap     *transcript.Tap // the operator's way to it
}

func (x *exchange) must(err error) {
	x.Helper()
	if err != nil {
		x.Fatalf("%v\n%s", err, x.record.Text())
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

// region starts one; name is empty where there is only one. It follows those that are given, each by a tap of its own.
func (x *exchange) region(name string, follows ...*region) *region {
	x.Helper()
	r := &region{x: x, name: name, address: freeAddress(x.T)}
	x.Cleanup(func() {
		if r.end != nil {
			r.end()
		}
	})
	r.tap = x.tap("operator", r.named(), r.address)
	for _, other := range follows {
		t := x.tap(name, other.name, other.address)
		t.Cut(true)
		r.follow = append(r.follow, registry.FollowedRegion{Region: other.name, API: []string{t.Address()}})
	}
	r.start()
	for _, other := range follows { // once it takes changes: before, how often it asks is up to chance
		x.between(name, other.name).Only(1, true)
		x.between(name, other.name).Cut(false)
	}
	return r
}

func (r *region) named() string {
	if r.name == "" {
		return "service"
	}
	return r.name
}

// start starts its replica, with nothing in memory, and waits until it takes changes.
func (r *region) start() {
	r.x.Helper()
	c := registry.Dev(r.address)
	c.Region, c.Follow, c.Heartbeat.Duration = r.name, r.follow, 100*time.Millisecond
	node, stop := registrytest.Start(r.x, c)
	r.node, r.end = node, stop
	r.x.must(transcript.Eventually(r.x.Context(), r.named()+" leads", func() bool {
		return node.Status().State == "leader" && len(node.Status().Members) == 1 && node.Status().StalenessMs >= 0
	}))
}

// direct is a client that no tap hears.
func (r *region) direct() *client.Client {
	c := client.New([]string{r.address})
	r.x.Cleanup(c.Close)
	return c
}

func (x *exchange) tap(from, to, target string) *transcript.Tap {
	x.Helper()
	t, err := transcript.NewTap(x.record, from, to, strings.Split(freeAddress(x.T), ":")[0], target)
	x.must(err)
	x.Cleanup(t.Close)
	x.taps[[2]string{from, to}] = t
	return t
}

func (x *exchange) between(from, to string) *transcript.Tap { return x.taps[[2]string{from, to}] }

// file writes settings into a file of that name, in the directory where the operator works.
func (x *exchange) file(name, text string) {
	x.Helper()
	x.must(os.WriteFile(filepath.Join(x.dir, name), []byte(text), 0o600))
}

// operator has the operator give a command to a region, one of config unless it is one of list, and writes down what it prints. More words
// go to the command, not into the step.
func (x *exchange) operator(at *region, want int, line string, more ...string) {
	x.Helper()
	if !strings.HasPrefix(line, "list ") {
		line = "config " + line
	}
	x.record.Step("mosslead %s", line)
	x.again(at, want, line, more...)
}

// again is operator within the same step.
func (x *exchange) again(at *region, want int, line string, more ...string) {
	x.Helper()
	args := strings.Fields(line)
	for i, arg := range args {
		if strings.HasSuffix(arg, ".json") {
			args[i] = filepath.Join(x.dir, arg)
		}
	}
	var out, said bytes.Buffer
	status := (&app{out: &out, err: &said}).run(x.Context(), append(append(args, "--registry", at.tap.Address()), more...))
	plain := strings.NewReplacer(x.dir+"/", "", "http://"+at.tap.Address(), "http://"+at.named())
	for _, text := range []string{out.String(), said.String()} {
		if text != "" {
			x.record.Say("operator", "operator", "reads\n%s", plain.Replace(text))
		}
	}
	x.record.Say("operator", "operator", "exit status %d", status)
	if status != want {
		x.Errorf("mosslead %s: status %d, want %d", line, status, want)
	}
}

// asks sends a call as it is, from a program of the operator's.
func (x *exchange) asks(at *region, method, path, body string) {
	x.Helper()
	req, err := http.NewRequestWithContext(x.Context(), method, "http://"+at.tap.Address()+path, strings.NewReader(body))
	x.must(err)
	resp, err := http.DefaultClient.Do(req)
	x.must(err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	x.must(err)
}

// watch opens a watch as a party does, and waits for its first line, of which part is a part. It lasts as long as the play.
func (x *exchange) watch(name string, at *region, query, part string) {
	x.Helper()
	t := x.tap(name, at.named(), at.address)
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
	x.hears(at, name, part)
}

// sidecar runs a hollow one of orders, whose file has settings, behind a tap of its own; at is where its list service answers. What it says by
// chance is left out: words before it has heard of settings, and watches that it opens again.
func (x *exchange) sidecar(name, named, at, settings string) {
	x.Helper()
	t := x.tap(name, named, at)
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

// acknowledges waits until a sidecar's word has arrived.
func (x *exchange) acknowledges(name, named, part string) {
	x.Helper()
	x.must(x.record.Await(x.Context(), name, named, part))
	x.must(x.record.Await(x.Context(), named, name, "200 "))
}

// newerService is a list service of a newer program. Its lines have the versions 1, 2 and so on; each watch is told those that it lacks.
type newerService struct {
	mu      sync.Mutex
	lines   []string
	changed chan struct{} // closed with the next line
}

// says adds a line.
func (s *newerService) says(line string) {
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

// hears waits until a party has heard something in this step.
func (x *exchange) hears(at *region, name, part string) {
	x.Helper()
	x.must(x.record.Await(x.Context(), at.named(), name, part))
}

// follows waits until a region says that it has followed another so far, and writes down what it says of that.
func (x *exchange) follows(r *region, other string, so func(api.ReplicationStatus) bool) {
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
	x.record.Say(r.name, r.name, "%s is followed up to version %d, begun up to %d, %d entries; set aside: %q", f.Region, f.Revision, f.SeenRevision, f.Endpoints, f.RejectedReason)
}

// upTo is a condition for follows.
func upTo(version int64) func(api.ReplicationStatus) bool {
	return func(f api.ReplicationStatus) bool { return f.Revision == version && f.RejectedReason == "" }
}

// with is settings that pass, with a deadline by which they are known.
func with(deadline int) string {
	return fmt.Sprintf(`{"Classes":[{"Name":"read","Semantics":"retryable","DeadlineMs":%d}]}`+"\n", deadline)
}

// share adds a key.
func share(settings string) string { return strings.Replace(settings, "}]", `,"LateShare":0.5}]`, 1) }

var approved = []struct {
	name, shows string // shows is the line that it is about
	script      func(*exchange)
}{
	{"put", `service > n1: {"index":1,"snapshot":false,"endpoints":[],"documents":[{"service":"orders","version":1`, func(x *exchange) {
		s := x.region("")
		x.file("orders.json", with(100))
		x.record.Step("a sidecar of orders watches")
		x.watch("n1", s, "from=-1&service=orders&held=", `"index":0`)
		x.operator(s, done, "put orders --file orders.json")
		x.hears(s, "n1", `"version":1`)
		x.operator(s, done, "get orders")
	}},
	{"put-at-an-old-version", "conflict: the settings of orders are at version 2", func(x *exchange) {
		s := x.region("")
		x.file("orders.json", with(100))
		x.file("other.json", with(200))
		x.operator(s, done, "put orders --file orders.json")
		x.operator(s, done, "put orders --file other.json --if-version 1")
		x.operator(s, failed, "put orders --file orders.json --if-version 1")
		x.operator(s, failed, "put orders --file orders.json --if-version 0 -o json")
		x.operator(s, done, "get orders -o json")
	}},
	{"put-that-does-not-pass", "orders.json:3:3: Classes.DeadlineMs: setting Classes: read: Deadline is not usable", func(x *exchange) {
		s := x.region("")
		x.file("orders.json", "{\"Classes\":[\n {\"Name\":\"read\",\"Semantics\":\"retryable\",\"AimMs\":50,\n  \"DeadlineMs\":-1}]}\n")
		x.file("list.json", "[1]\n")
		x.operator(s, usage, "put orders --file orders.json")
		x.operator(s, usage, "put orders --file list.json")
		x.record.Step("a program puts without a check of its own")
		x.asks(s, http.MethodPut, "/v1/settings/orders", `{"schema":1,"settings":{"Classes":[{"Name":"read","Semantics":"retryable","AimMs":50,"DeadlineMs":-1}]},"if_version":0}`)
		x.asks(s, http.MethodPut, "/v1/settings/orders", `{"schema":1,"settings":{"Classes":[]},"if_version":0}`)
		x.asks(s, http.MethodPut, "/v1/settings/orders", `{"schema":1,"settings":`+strings.TrimSpace(with(100))+`}`)
		x.asks(s, http.MethodPut, "/v1/settings/orders", `{"schema":1,"settings":`+strings.TrimSpace(with(100))+`,"if_version":0,"force":true}`)
		x.operator(s, failed, "get orders")
	}},
	{"put-whose-answer-is-lost", "the put was done under version 1", func(x *exchange) {
		s := x.region("")
		x.file("orders.json", with(100))
		x.file("other.json", with(200))
		puts := 0
		s.tap.Lose(func(call string) (way, back bool) {
			if !strings.HasPrefix(call, "PUT") {
				return false, false
			}
			puts++
			return puts == 2, puts == 1
		})
		x.operator(s, done, "put orders --file orders.json")
		x.operator(s, failed, "put orders --file other.json")
		x.operator(s, done, "put orders --file other.json --if-version 1")
	}},
	{"put-that-another-overtakes", "the put was not done and won't be", func(x *exchange) {
		s := x.region("")
		x.file("orders.json", with(100))
		x.file("other.json", with(200))
		x.operator(s, done, "put orders --file orders.json")
		x.record.Step("another operator's change comes first, and then the call is lost")
		s.tap.Lose(func(call string) (way, back bool) {
			if way = strings.HasPrefix(call, "PUT"); way {
				on := int64(1)
				_, err := s.direct().Put(x.Context(), "orders", api.PutRequest{Schema: 1, Settings: []byte(with(300)), IfRevision: &on})
				x.must(err)
			}
			return way, false
		})
		x.again(s, failed, "config put orders --file other.json")
	}},
	{"delete", `"version":2,"schema":0,"deleted":true`, func(x *exchange) {
		s := x.region("")
		x.file("orders.json", with(100))
		x.operator(s, done, "put orders --file orders.json")
		x.record.Step("a sidecar of orders watches")
		x.watch("n1", s, "from=-1&service=orders&held=", `"version":1`)
		x.operator(s, done, "delete orders")
		x.hears(s, "n1", `"deleted":true`)
		x.operator(s, done, "get orders")
		x.operator(s, failed, "delete orders")
		x.operator(s, done, "back orders")
		x.hears(s, "n1", `"version":3`)
	}},
	{"back", "orders   done     3        2", func(x *exchange) {
		s := x.region("")
		x.file("orders.json", with(100))
		x.file("other.json", with(200))
		x.operator(s, done, "put orders --file orders.json")
		x.operator(s, done, "put orders --file other.json")
		x.record.Step("a sidecar of orders watches")
		x.watch("n1", s, "from=-1&service=orders&held=", `"version":2`)
		x.operator(s, done, "back orders")
		x.hears(s, "n1", `"version":3`)
		x.operator(s, failed, "back orders --to 9")
		x.operator(s, done, "back orders --to 2 -o json")
		x.hears(s, "n1", `"version":4`)
	}},
	{"watch-with-held", "service > holds-it: (an empty line)", func(x *exchange) {
		s := x.region("")
		x.file("orders.json", with(100))
		x.file("other.json", with(200))
		x.operator(s, done, "put orders --file orders.json")
		x.operator(s, done, "put fares --file other.json")
		x.record.Step("sidecars of orders come back: with this version, with an older one, with none; and one that asks for no settings")
		x.watch("holds-it", s, "from=2&service=orders&held=%401", "(an empty line)")
		x.watch("holds-older", s, "from=2&service=orders&held=south%401", `"version":1`)
		x.watch("holds-none", s, "from=2&service=orders&held=", `"version":1`)
		x.watch("asks-for-none", s, "from=2", "(an empty line)")
		x.record.Step("a server comes, which all hear")
		_, err := s.direct().Register(x.Context(), "s-1", api.Registration{Address: "10.0.0.18:9000", Weight: 1})
		x.must(err)
		for _, name := range []string{"holds-it", "holds-older", "holds-none", "asks-for-none"} {
			x.hears(s, name, "s-1")
		}
		x.operator(s, done, "put fares --file orders.json")
		x.operator(s, done, "put orders --file other.json")
		for _, name := range []string{"holds-it", "holds-older", "holds-none"} {
			x.hears(s, name, `"version":5`)
		}
	}},
	{"follow", `north > south: GET /api/targets?watch=1&from=-1&own=1`, func(x *exchange) {
		south := x.region("south")
		x.file("orders.json", with(100))
		x.file("other.json", with(200))
		x.operator(south, done, "put orders --file orders.json")
		x.record.Step("north begins to follow")
		north := x.region("north", south)
		x.hears(south, "north", `"version":1`)
		x.follows(north, "south", upTo(1))
		x.record.Step("a sidecar of orders watches in north")
		x.watch("n1", north, "from=-1&service=orders&held=", `"region":"south","version":1`)
		x.record.Step("a server comes in south")
		_, err := south.direct().Register(x.Context(), "s-1", api.Registration{Address: "10.0.0.18:9000", Weight: 1})
		x.must(err)
		x.hears(south, "north", "s-1")
		x.hears(north, "n1", "s-1")
		x.follows(north, "south", upTo(2))
		x.operator(south, done, "put orders --file other.json")
		x.hears(south, "north", `"version":3`)
		x.hears(north, "n1", `"version":3`)
		x.follows(north, "south", upTo(3))
		x.operator(north, done, "get orders")
		x.operator(south, done, "delete orders")
		x.hears(south, "north", `"deleted":true`)
		x.hears(north, "n1", `"deleted":true`)
		x.follows(north, "south", upTo(4))
	}},
	{"put-to-a-region-that-does-not-own-it", "the settings of orders are those of region south, at version 1", func(x *exchange) {
		south := x.region("south")
		x.file("orders.json", with(100))
		x.operator(south, done, "put orders --file orders.json")
		x.record.Step("north begins to follow")
		north := x.region("north", south)
		x.hears(south, "north", `"version":1`)
		x.follows(north, "south", upTo(1))
		x.operator(north, failed, "put orders --file orders.json")
		x.operator(north, failed, "delete orders")
		x.operator(north, done, "get")
	}},
	{"two-owners-after-a-cut", `"region":"north","version":2`, func(x *exchange) {
		south := x.region("south")
		x.file("orders.json", with(100))
		x.file("other.json", with(200))
		_, err := south.direct().Register(x.Context(), "s-1", api.Registration{Address: "10.0.0.18:9000", Weight: 1})
		x.must(err)
		north := x.region("north", south)
		x.follows(north, "south", upTo(1))
		x.record.Step("north is cut off from south; in both regions the same service gets its first settings")
		x.between("north", "south").Cut(true)
		x.operator(south, done, "put orders --file orders.json")
		x.operator(north, done, "put orders --file other.json")
		x.between("north", "south").Only(1, true)
		x.record.Step("the cut heals")
		x.between("north", "south").Cut(false)
		x.follows(north, "south", upTo(2))
		x.operator(north, done, "get")
		x.record.Step("sidecars of orders in north are told those of the smaller name")
		x.watch("n1", north, "from=-1&service=orders&held=", `"region":"north","version":2`)
		x.operator(north, done, "delete orders")
		x.hears(north, "n1", `"region":"south","version":2`)
	}},
	{"owner-that-went-back", "its version goes back from 3 to 1", func(x *exchange) {
		south := x.region("south")
		x.file("orders.json", with(100))
		x.file("other.json", with(200))
		x.file("older.json", with(300))
		x.operator(south, done, "put orders --file orders.json")
		x.operator(south, done, "put orders --file other.json")
		x.operator(south, done, "put orders --file other.json")
		x.record.Step("north begins to follow")
		north := x.region("north", south)
		x.hears(south, "north", `"version":3`)
		x.follows(north, "south", upTo(3))
		x.record.Step("south loses its disks, and begins again")
		x.between("north", "south").Cut(true)
		south.end()
		south.start()
		x.again(south, done, "config put orders --file older.json")
		x.record.Step("north hears of it, and keeps what it has")
		x.between("north", "south").Only(1, false)
		x.between("north", "south").Cut(false)
		x.follows(north, "south", func(f api.ReplicationStatus) bool { return f.RejectedReason != "" })
		x.hears(south, "north", `"version":1`)
		x.operator(north, done, "get orders")
		x.operator(south, done, "put orders --file other.json")
		x.operator(south, done, "put orders --file orders.json")
		x.operator(south, done, "put orders --file other.json")
		x.follows(north, "south", upTo(4))
		x.operator(north, done, "get orders")
	}},
	{"region-given-up", `"name":"s-1","address":"10.0.0.18:9000","zone":"","type":"","group":0,"status":"Gone"`, func(x *exchange) {
		south := x.region("south")
		x.file("orders.json", with(100))
		x.file("other.json", with(200))
		x.operator(south, done, "list register s-1 --address 10.0.0.18:9000")
		x.operator(south, done, "put orders --file orders.json")
		x.record.Step("north begins to follow, and a sidecar of orders watches there")
		north := x.region("north", south)
		x.hears(south, "north", `"version":2`)
		x.follows(north, "south", upTo(2))
		x.watch("n1", north, "from=-1&service=orders&held=", `"version":2`)
		x.record.Step("a backup is made in south")
		backup, err := south.direct().Backup(x.Context())
		x.must(err)
		x.operator(south, done, "put orders --file other.json")
		x.hears(north, "n1", `"version":3`)
		x.follows(north, "south", upTo(3))
		x.record.Step("south is lost, with all of its disks")
		x.between("north", "south").Cut(true)
		south.end()
		x.operator(north, failed, "put orders --file orders.json")
		x.operator(north, done, "list ban s-1") // alone it changes nothing
		x.operator(north, done, "list register s-1 --address 10.0.0.18:9000")
		x.hears(north, "n1", `"status":"Gone"`)
		x.operator(north, done, "list remove s-1")
		x.hears(north, "n1", `"status":"Ready"`)
		x.record.Step("new replicas of south begin with nothing, and the backup is restored there before north reaches them")
		south.start()
		x.must(south.direct().Restore(x.Context(), backup))
		x.between("north", "south").Only(1, true)
		x.between("north", "south").Cut(false)
		x.follows(north, "south", func(f api.ReplicationStatus) bool { return f.Revision > 3 && f.RejectedReason == "" })
		x.hears(north, "n1", `"DeadlineMs":100`)
		x.operator(south, done, "put orders --file other.json")
		x.hears(north, "n1", `"DeadlineMs":200`)
	}},
	{"rejected-and-repaired", "rejected 2: lacks settings.Classes.LateShare, which this sidecar's file has", func(x *exchange) {
		s := x.region("")
		x.file("orders.json", share(with(100)))
		x.file("without.json", with(200))
		x.file("repaired.json", share(with(200)))
		x.operator(s, done, "put orders --file orders.json")
		x.record.Step("a sidecar starts, whose file has a LateShare")
		x.sidecar("n1", "service", s.address, share(with(50)))
		x.hears(s, "n1", `"version":1`)
		x.acknowledges("n1", "service", `"version":1`)
		x.operator(s, done, "status orders")
		x.operator(s, done, "put orders --file without.json")
		x.hears(s, "n1", `"version":2`)
		x.acknowledges("n1", "service", `"rejected":2`)
		x.operator(s, done, "status orders")
		x.operator(s, done, "put orders --file repaired.json")
		x.hears(s, "n1", `"version":3`)
		x.acknowledges("n1", "service", `"version":3`)
		x.operator(s, done, "status orders -o json")
		x.operator(s, done, "delete orders")
		x.hears(s, "n1", `"deleted":true`)
		x.must(transcript.Eventually(x.Context(), "the file's settings are in force", func() bool {
			all, err := s.direct().Rollouts(x.Context())
			return err == nil && all.Rollouts[0].InForce == 1
		}))
		x.operator(s, done, "status orders")
	}},
	{"newer-schema", `"rejected":2,"why":"schema 2, and this program understands 1 to 1"`, func(x *exchange) {
		s := x.region("")
		x.record.Step("a newer program puts settings of a newer schema")
		x.asks(s, http.MethodPut, "/v1/settings/orders", `{"schema":2,"settings":`+strings.TrimSpace(with(100))+`,"if_version":0}`)
		x.record.Step("a sidecar hears of some from a newer list service")
		newer := &newerService{changed: make(chan struct{})}
		server := httptest.NewServer(newer)
		x.Cleanup(server.Close)
		newer.says(`{"index":1,"snapshot":true,"endpoints":[],"documents":[{"service":"orders","version":1,"schema":1,"settings":` + strings.TrimSpace(with(100)) + `}]}`)
		x.sidecar("n1", "newer service", server.Listener.Addr().String(), with(50))
		x.acknowledges("n1", "newer service", `"version":1`)
		x.record.Step("of a newer schema")
		newer.says(`{"index":2,"snapshot":false,"endpoints":[],"documents":[{"service":"orders","version":2,"schema":2,"settings":{"Classes":{"read":"1 s"}}}]}`)
		x.acknowledges("n1", "newer service", `"rejected":2`)
		x.record.Step("and of this one again")
		newer.says(`{"index":3,"snapshot":false,"endpoints":[],"documents":[{"service":"orders","version":3,"schema":1,"settings":` + strings.TrimSpace(with(200)) + `}]}`)
		x.acknowledges("n1", "newer service", `"version":3`)
	}},
}

// Guards against any change of what operators, list services, regions and sidecars tell each other that nobody has looked at: approve it
// with -update.
func TestApprovedTranscripts(t *testing.T) {
	for _, a := range approved {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			x := &exchange{T: t, record: transcript.NewScript(), dir: t.TempDir(), taps: map[[2]string]*transcript.Tap{}}
			for _, name := range []string{"service", "south", "north", "operator"} {
				x.record.Between("operator", name)
			}
			a.script(x)
			approve.Text(t, a.name, a.shows, x.record.Text())
		})
	}
}
