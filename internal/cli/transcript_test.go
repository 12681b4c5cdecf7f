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

// harness runs one script: regions of one replica each, in this process, and an operator who runs the real command.
type harness struct {
	*testing.T
	script *transcript.Script
	dir    string                        // working directory of the operator
	taps   map[[2]string]*transcript.Tap // by the names of both sides, as in newTap; the newest tap of each pair
}

// region is a list service of one replica, which stores nothing on disk.
type region struct {
	h       *harness
	name    string
	address string
	follow  []registry.FollowedRegion
	node    *registry.Node
	stop    func()
	tap     *transcript.Tap // between the operator and the region
}

// must ends the test if err is not nil, and prints the transcript so far.
func (h *harness) must(err error) {
	h.Helper()
	if err != nil {
		h.Fatalf("%v\n%s", err, h.script.Text())
	}
}

// freeAddress returns an address that no other process on this machine uses.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// startRegion starts a region, which follows the regions in follows, each through a tap of its own. name is empty in scripts with a
// single region.
func (h *harness) startRegion(name string, follows ...*region) *region {
	h.Helper()
	r := &region{h: h, name: name, address: freeAddress(h.T)}
	h.Cleanup(func() {
		if r.stop != nil {
			r.stop()
		}
	})
	r.tap = h.newTap("operator", r.party(), r.address)
	for _, other := range follows {
		t := h.newTap(name, other.name, other.address)
		t.Cut(true)
		r.follow = append(r.follow, registry.FollowedRegion{Region: other.name, API: []string{t.Address()}})
	}
	r.start()
	for _, other := range follows { // r accepts changes now; until then, the number of its requests varies
		h.tapBetween(name, other.name).Only(1, true)
		h.tapBetween(name, other.name).Cut(false)
	}
	return r
}

// party returns the name of the region in transcripts.
func (r *region) party() string {
	if r.name == "" {
		return "service"
	}
	return r.name
}

// start starts the replica with an empty state, and waits until it accepts changes.
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

// untappedClient returns a client whose requests are not recorded.
func (r *region) untappedClient() *client.Client {
	c := client.New([]string{r.address})
	r.h.Cleanup(c.Close)
	return c
}

// newTap starts a tap that records the requests that the party from sends to the service to, which listens at target.
func (h *harness) newTap(from, to, target string) *transcript.Tap {
	h.Helper()
	t, err := transcript.NewTap(h.script, from, to, strings.Split(freeAddress(h.T), ":")[0], target)
	h.must(err)
	h.Cleanup(t.Close)
	h.taps[[2]string{from, to}] = t
	return t
}

// tapBetween returns the newest tap that newTap started for from and to.
func (h *harness) tapBetween(from, to string) *transcript.Tap { return h.taps[[2]string{from, to}] }

// writeFile writes settings to a file in the working directory of the operator.
func (h *harness) writeFile(name, text string) {
	h.Helper()
	h.must(os.WriteFile(filepath.Join(h.dir, name), []byte(text), 0o600))
}

// runStep begins a step in which the operator runs a command against a region, and records its output. line is a command below config,
// unless it begins with list. The arguments in more are passed to the command, but are not in the title of the step.
func (h *harness) runStep(r *region, want int, line string, more ...string) {
	h.Helper()
	if !strings.HasPrefix(line, "list ") {
		line = "config " + line
	}
	h.script.Step("mosslead %s", line)
	h.runCommand(r, want, line, more...)
}

// runCommand is runStep without a new step. line is the whole command, also for commands below config.
func (h *harness) runCommand(r *region, want int, line string, more ...string) {
	h.Helper()
	args := strings.Fields(line)
	for i, arg := range args {
		if strings.HasSuffix(arg, ".json") {
			args[i] = filepath.Join(h.dir, arg)
		}
	}
	var stdout, stderr bytes.Buffer
	status := (&app{stdout: &stdout, stderr: &stderr}).run(h.Context(), append(append(args, "--registry", r.tap.Address()), more...))
	normalize := strings.NewReplacer(h.dir+"/", "", "http://"+r.tap.Address(), "http://"+r.party())
	for _, text := range []string{stdout.String(), stderr.String()} {
		if text != "" {
			h.script.Say("operator", "operator", "reads\n%s", normalize.Replace(text))
		}
	}
	h.script.Say("operator", "operator", "exit status %d", status)
	if status != want {
		h.Errorf("mosslead %s: got status %d, want %d", line, status, want)
	}
}

// sendRequest sends an HTTP request to a region, as the operator's program.
func (h *harness) sendRequest(r *region, method, path, body string) {
	h.Helper()
	req, err := http.NewRequestWithContext(h.Context(), method, "http://"+r.tap.Address()+path, strings.NewReader(body))
	h.must(err)
	resp, err := http.DefaultClient.Do(req)
	h.must(err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	h.must(err)
}

// openWatch opens a watch of a region, and waits for its first line, which has to contain part. The watch lasts until the test ends.
func (h *harness) openWatch(name string, r *region, query, part string) {
	h.Helper()
	t := h.newTap(name, r.party(), r.address)
	ctx, cancel := context.WithCancel(h.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address()+"/api/targets?watch=1&"+query, nil)
	h.must(err)
	resp, err := http.DefaultClient.Do(req)
	h.must(err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for in := bufio.NewScanner(resp.Body); in.Scan(); {
		}
	}()
	h.Cleanup(func() {
		cancel()
		<-ended
		_ = resp.Body.Close()
	})
	h.awaitMessage(r, name, part)
}

// startSidecar runs a hollow sidecar of the service orders with the given settings in its file, behind a tap of its own. party and serviceAddress
// are the name and the address of its list service. Requests whose number varies are not recorded: acknowledgements before it has received
// settings, and repeated watches.
func (h *harness) startSidecar(name, party, serviceAddress, settings string) {
	h.Helper()
	t := h.newTap(name, party, serviceAddress)
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
	h.must(err)
	ctx, cancel := context.WithCancel(h.Context())
	ended := make(chan error, 1)
	go func() { ended <- sidecar.RunHollow(ctx, c, sidecar.HollowObserver{}) }()
	h.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			h.Error(err)
		}
	})
}

// awaitAck waits until a sidecar has sent an acknowledgement that contains part, and the list service has accepted it.
func (h *harness) awaitAck(name, party, part string) {
	h.Helper()
	h.must(h.script.Await(h.Context(), name, party, part))
	h.must(h.script.Await(h.Context(), party, name, "200 "))
}

// newerService is a fake list service of a newer version of the program. Its lines have the versions 1, 2 and so on; a watch gets those after
// the version that it asks for.
type newerService struct {
	mu      sync.Mutex
	lines   []string
	changed chan struct{} // closed and replaced when a line is added
}

// addLine adds a line and sends it to all watches.
func (s *newerService) addLine(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, line)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *newerService) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost { // an acknowledgement
		_, _ = io.WriteString(rw, "{}\n")
		return
	}
	version, err := strconv.Atoi(r.FormValue("from"))
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	for version = max(0, version); r.Context().Err() == nil; {
		s.mu.Lock()
		newLines, changed := slices.Clone(s.lines[min(version, len(s.lines)):]), s.changed
		s.mu.Unlock()
		version += len(newLines)
		_, _ = io.WriteString(rw, strings.Join(append(newLines, ""), "\n"))
		if len(newLines) == 0 {
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

// awaitMessage waits until a party has received a message that contains part from a region, in this step.
func (h *harness) awaitMessage(r *region, name, part string) {
	h.Helper()
	h.must(h.script.Await(h.Context(), r.party(), name, part))
}

// awaitReplication waits until the status of a region says that its replication of another fulfils condition, and records that status.
func (h *harness) awaitReplication(r *region, other string, condition func(api.ReplicationStatus) bool) {
	h.Helper()
	var f api.ReplicationStatus
	h.must(transcript.Eventually(h.Context(), r.name+" follows "+other, func() bool {
		for _, f = range r.node.Status().Replication {
			if f.Region == other && condition(f) {
				return true
			}
		}
		return false
	}))
	h.script.Say(r.name, r.name, "%s is followed up to version %d, begun up to %d, %d entries; set aside: %q", f.Region, f.Revision, f.SeenRevision, f.Endpoints, f.RejectedReason)
}

// replicatedUpTo returns a condition for awaitReplication: everything up to version is applied.
func replicatedUpTo(version int64) func(api.ReplicationStatus) bool {
	return func(f api.ReplicationStatus) bool { return f.Revision == version && f.RejectedReason == "" }
}

// settingsWithDeadline returns valid settings, which differ by their deadline.
func settingsWithDeadline(deadline int) string {
	return fmt.Sprintf(`{"Classes":[{"Name":"read","Semantics":"retryable","DeadlineMs":%d}]}`+"\n", deadline)
}

// addLateShare adds the key LateShare to settings.
func addLateShare(settings string) string {
	return strings.Replace(settings, "}]", `,"LateShare":0.5}]`, 1)
}

var transcriptTests = []struct {
	name, shows string // shows is the line that the transcript has to contain
	run         func(*harness)
}{
	{"put", `service > n1: {"index":1,"snapshot":false,"endpoints":[],"documents":[{"service":"orders","version":1`, func(h *harness) {
		s := h.startRegion("")
		h.writeFile("orders.json", settingsWithDeadline(100))
		h.script.Step("a sidecar of orders watches")
		h.openWatch("n1", s, "from=-1&service=orders&held=", `"index":0`)
		h.runStep(s, exitOK, "put orders --file orders.json")
		h.awaitMessage(s, "n1", `"version":1`)
		h.runStep(s, exitOK, "get orders")
	}},
	{"put-at-an-old-version", "conflict: the settings of orders are at version 2", func(h *harness) {
		s := h.startRegion("")
		h.writeFile("orders.json", settingsWithDeadline(100))
		h.writeFile("other.json", settingsWithDeadline(200))
		h.runStep(s, exitOK, "put orders --file orders.json")
		h.runStep(s, exitOK, "put orders --file other.json --if-version 1")
		h.runStep(s, exitFailed, "put orders --file orders.json --if-version 1")
		h.runStep(s, exitFailed, "put orders --file orders.json --if-version 0 -o json")
		h.runStep(s, exitOK, "get orders -o json")
	}},
	{"put-that-does-not-pass", "orders.json:3:3: Classes.DeadlineMs: setting Classes: read: Deadline is not usable", func(h *harness) {
		s := h.startRegion("")
		h.writeFile("orders.json", "{\"Classes\":[\n {\"Name\":\"read\",\"Semantics\":\"retryable\",\"AimMs\":50,\n  \"DeadlineMs\":-1}]}\n")
		h.writeFile("list.json", "[1]\n")
		h.runStep(s, exitUsage, "put orders --file orders.json")
		h.runStep(s, exitUsage, "put orders --file list.json")
		h.script.Step("a program puts without a check of its own")
		h.sendRequest(s, http.MethodPut, "/v1/settings/orders", `{"schema":1,"settings":{"Classes":[{"Name":"read","Semantics":"retryable","AimMs":50,"DeadlineMs":-1}]},"if_version":0}`)
		h.sendRequest(s, http.MethodPut, "/v1/settings/orders", `{"schema":1,"settings":{"Classes":[]},"if_version":0}`)
		h.sendRequest(s, http.MethodPut, "/v1/settings/orders", `{"schema":1,"settings":`+strings.TrimSpace(settingsWithDeadline(100))+`}`)
		h.sendRequest(s, http.MethodPut, "/v1/settings/orders", `{"schema":1,"settings":`+strings.TrimSpace(settingsWithDeadline(100))+`,"if_version":0,"force":true}`)
		h.runStep(s, exitFailed, "get orders")
	}},
	{"put-whose-answer-is-lost", "the put was done under version 1", func(h *harness) {
		s := h.startRegion("")
		h.writeFile("orders.json", settingsWithDeadline(100))
		h.writeFile("other.json", settingsWithDeadline(200))
		puts := 0
		s.tap.Lose(func(call string) (loseRequest, loseResponse bool) {
			if !strings.HasPrefix(call, "PUT") {
				return false, false
			}
			puts++
			return puts == 2, puts == 1
		})
		h.runStep(s, exitOK, "put orders --file orders.json")
		h.runStep(s, exitFailed, "put orders --file other.json")
		h.runStep(s, exitOK, "put orders --file other.json --if-version 1")
	}},
	{"put-that-another-overtakes", "the put was not done and won't be", func(h *harness) {
		s := h.startRegion("")
		h.writeFile("orders.json", settingsWithDeadline(100))
		h.writeFile("other.json", settingsWithDeadline(200))
		h.runStep(s, exitOK, "put orders --file orders.json")
		h.script.Step("another operator's change comes first, and then the call is lost")
		s.tap.Lose(func(call string) (loseRequest, loseResponse bool) {
			if loseRequest = strings.HasPrefix(call, "PUT"); loseRequest {
				baseVersion := int64(1)
				_, err := s.untappedClient().Put(h.Context(), "orders", api.PutRequest{Schema: 1, Settings: []byte(settingsWithDeadline(300)), IfRevision: &baseVersion})
				h.must(err)
			}
			return loseRequest, false
		})
		h.runCommand(s, exitFailed, "config put orders --file other.json")
	}},
	{"delete", `"version":2,"schema":0,"deleted":true`, func(h *harness) {
		s := h.startRegion("")
		h.writeFile("orders.json", settingsWithDeadline(100))
		h.runStep(s, exitOK, "put orders --file orders.json")
		h.script.Step("a sidecar of orders watches")
		h.openWatch("n1", s, "from=-1&service=orders&held=", `"version":1`)
		h.runStep(s, exitOK, "delete orders")
		h.awaitMessage(s, "n1", `"deleted":true`)
		h.runStep(s, exitOK, "get orders")
		h.runStep(s, exitFailed, "delete orders")
		h.runStep(s, exitOK, "back orders")
		h.awaitMessage(s, "n1", `"version":3`)
	}},
	{"back", "orders   done     3        2", func(h *harness) {
		s := h.startRegion("")
		h.writeFile("orders.json", settingsWithDeadline(100))
		h.writeFile("other.json", settingsWithDeadline(200))
		h.runStep(s, exitOK, "put orders --file orders.json")
		h.runStep(s, exitOK, "put orders --file other.json")
		h.script.Step("a sidecar of orders watches")
		h.openWatch("n1", s, "from=-1&service=orders&held=", `"version":2`)
		h.runStep(s, exitOK, "back orders")
		h.awaitMessage(s, "n1", `"version":3`)
		h.runStep(s, exitFailed, "back orders --to 9")
		h.runStep(s, exitOK, "back orders --to 2 -o json")
		h.awaitMessage(s, "n1", `"version":4`)
	}},
	{"watch-with-held", "service > holds-it: (an empty line)", func(h *harness) {
		s := h.startRegion("")
		h.writeFile("orders.json", settingsWithDeadline(100))
		h.writeFile("other.json", settingsWithDeadline(200))
		h.runStep(s, exitOK, "put orders --file orders.json")
		h.runStep(s, exitOK, "put fares --file other.json")
		h.script.Step("sidecars of orders come back: with this version, with an older one, with none; and one that asks for no settings")
		h.openWatch("holds-it", s, "from=2&service=orders&held=%401", "(an empty line)")
		h.openWatch("holds-older", s, "from=2&service=orders&held=south%401", `"version":1`)
		h.openWatch("holds-none", s, "from=2&service=orders&held=", `"version":1`)
		h.openWatch("asks-for-none", s, "from=2", "(an empty line)")
		h.script.Step("a server comes, which all hear")
		_, err := s.untappedClient().Register(h.Context(), "s-1", api.Registration{Address: "10.0.0.18:9000", Weight: 1})
		h.must(err)
		for _, name := range []string{"holds-it", "holds-older", "holds-none", "asks-for-none"} {
			h.awaitMessage(s, name, "s-1")
		}
		h.runStep(s, exitOK, "put fares --file orders.json")
		h.runStep(s, exitOK, "put orders --file other.json")
		for _, name := range []string{"holds-it", "holds-older", "holds-none"} {
			h.awaitMessage(s, name, `"version":5`)
		}
	}},
	{"follow", `north > south: GET /api/targets?watch=1&from=-1&own=1`, func(h *harness) {
		south := h.startRegion("south")
		h.writeFile("orders.json", settingsWithDeadline(100))
		h.writeFile("other.json", settingsWithDeadline(200))
		h.runStep(south, exitOK, "put orders --file orders.json")
		h.script.Step("north begins to follow")
		north := h.startRegion("north", south)
		h.awaitMessage(south, "north", `"version":1`)
		h.awaitReplication(north, "south", replicatedUpTo(1))
		h.script.Step("a sidecar of orders watches in north")
		h.openWatch("n1", north, "from=-1&service=orders&held=", `"region":"south","version":1`)
		h.script.Step("a server comes in south")
		_, err := south.untappedClient().Register(h.Context(), "s-1", api.Registration{Address: "10.0.0.18:9000", Weight: 1})
		h.must(err)
		h.awaitMessage(south, "north", "s-1")
		h.awaitMessage(north, "n1", "s-1")
		h.awaitReplication(north, "south", replicatedUpTo(2))
		h.runStep(south, exitOK, "put orders --file other.json")
		h.awaitMessage(south, "north", `"version":3`)
		h.awaitMessage(north, "n1", `"version":3`)
		h.awaitReplication(north, "south", replicatedUpTo(3))
		h.runStep(north, exitOK, "get orders")
		h.runStep(south, exitOK, "delete orders")
		h.awaitMessage(south, "north", `"deleted":true`)
		h.awaitMessage(north, "n1", `"deleted":true`)
		h.awaitReplication(north, "south", replicatedUpTo(4))
	}},
	{"put-to-a-region-that-does-not-own-it", "the settings of orders are those of region south, at version 1", func(h *harness) {
		south := h.startRegion("south")
		h.writeFile("orders.json", settingsWithDeadline(100))
		h.runStep(south, exitOK, "put orders --file orders.json")
		h.script.Step("north begins to follow")
		north := h.startRegion("north", south)
		h.awaitMessage(south, "north", `"version":1`)
		h.awaitReplication(north, "south", replicatedUpTo(1))
		h.runStep(north, exitFailed, "put orders --file orders.json")
		h.runStep(north, exitFailed, "delete orders")
		h.runStep(north, exitOK, "get")
	}},
	{"two-owners-after-a-cut", `"region":"north","version":2`, func(h *harness) {
		south := h.startRegion("south")
		h.writeFile("orders.json", settingsWithDeadline(100))
		h.writeFile("other.json", settingsWithDeadline(200))
		_, err := south.untappedClient().Register(h.Context(), "s-1", api.Registration{Address: "10.0.0.18:9000", Weight: 1})
		h.must(err)
		north := h.startRegion("north", south)
		h.awaitReplication(north, "south", replicatedUpTo(1))
		h.script.Step("north is cut off from south; in both regions the same service gets its first settings")
		h.tapBetween("north", "south").Cut(true)
		h.runStep(south, exitOK, "put orders --file orders.json")
		h.runStep(north, exitOK, "put orders --file other.json")
		h.tapBetween("north", "south").Only(1, true)
		h.script.Step("the cut heals")
		h.tapBetween("north", "south").Cut(false)
		h.awaitReplication(north, "south", replicatedUpTo(2))
		h.runStep(north, exitOK, "get")
		h.script.Step("sidecars of orders in north are told those of the smaller name")
		h.openWatch("n1", north, "from=-1&service=orders&held=", `"region":"north","version":2`)
		h.runStep(north, exitOK, "delete orders")
		h.awaitMessage(north, "n1", `"region":"south","version":2`)
	}},
	{"owner-that-went-back", "its version goes back from 3 to 1", func(h *harness) {
		south := h.startRegion("south")
		h.writeFile("orders.json", settingsWithDeadline(100))
		h.writeFile("other.json", settingsWithDeadline(200))
		h.writeFile("older.json", settingsWithDeadline(300))
		h.runStep(south, exitOK, "put orders --file orders.json")
		h.runStep(south, exitOK, "put orders --file other.json")
		h.runStep(south, exitOK, "put orders --file other.json")
		h.script.Step("north begins to follow")
		north := h.startRegion("north", south)
		h.awaitMessage(south, "north", `"version":3`)
		h.awaitReplication(north, "south", replicatedUpTo(3))
		h.script.Step("south loses its disks, and begins again")
		h.tapBetween("north", "south").Cut(true)
		south.stop()
		south.start()
		h.runCommand(south, exitOK, "config put orders --file older.json")
		h.script.Step("north hears of it, and keeps what it has")
		h.tapBetween("north", "south").Only(1, false)
		h.tapBetween("north", "south").Cut(false)
		h.awaitReplication(north, "south", func(f api.ReplicationStatus) bool { return f.RejectedReason != "" })
		h.awaitMessage(south, "north", `"version":1`)
		h.runStep(north, exitOK, "get orders")
		h.runStep(south, exitOK, "put orders --file other.json")
		h.runStep(south, exitOK, "put orders --file orders.json")
		h.runStep(south, exitOK, "put orders --file other.json")
		h.awaitReplication(north, "south", replicatedUpTo(4))
		h.runStep(north, exitOK, "get orders")
	}},
	{"region-given-up", `"name":"s-1","address":"10.0.0.18:9000","zone":"","type":"","group":0,"status":"Gone"`, func(h *harness) {
		south := h.startRegion("south")
		h.writeFile("orders.json", settingsWithDeadline(100))
		h.writeFile("other.json", settingsWithDeadline(200))
		h.runStep(south, exitOK, "list register s-1 --address 10.0.0.18:9000")
		h.runStep(south, exitOK, "put orders --file orders.json")
		h.script.Step("north begins to follow, and a sidecar of orders watches there")
		north := h.startRegion("north", south)
		h.awaitMessage(south, "north", `"version":2`)
		h.awaitReplication(north, "south", replicatedUpTo(2))
		h.openWatch("n1", north, "from=-1&service=orders&held=", `"version":2`)
		h.script.Step("a backup is made in south")
		backup, err := south.untappedClient().Backup(h.Context())
		h.must(err)
		h.runStep(south, exitOK, "put orders --file other.json")
		h.awaitMessage(north, "n1", `"version":3`)
		h.awaitReplication(north, "south", replicatedUpTo(3))
		h.script.Step("south is lost, with all of its disks")
		h.tapBetween("north", "south").Cut(true)
		south.stop()
		h.runStep(north, exitFailed, "put orders --file orders.json")
		h.runStep(north, exitOK, "list ban s-1") // the ban alone changes nothing
		h.runStep(north, exitOK, "list register s-1 --address 10.0.0.18:9000")
		h.awaitMessage(north, "n1", `"status":"Gone"`)
		h.runStep(north, exitOK, "list remove s-1")
		h.awaitMessage(north, "n1", `"status":"Ready"`)
		h.script.Step("new replicas of south begin with nothing, and the backup is restored there before north reaches them")
		south.start()
		h.must(south.untappedClient().Restore(h.Context(), backup))
		h.tapBetween("north", "south").Only(1, true)
		h.tapBetween("north", "south").Cut(false)
		h.awaitReplication(north, "south", func(f api.ReplicationStatus) bool { return f.Revision > 3 && f.RejectedReason == "" })
		h.awaitMessage(north, "n1", `"DeadlineMs":100`)
		h.runStep(south, exitOK, "put orders --file other.json")
		h.awaitMessage(north, "n1", `"DeadlineMs":200`)
	}},
	{"rejected-and-repaired", "rejected 2: lacks settings.Classes.LateShare, which this sidecar's file has", func(h *harness) {
		s := h.startRegion("")
		h.writeFile("orders.json", addLateShare(settingsWithDeadline(100)))
		h.writeFile("without.json", settingsWithDeadline(200))
		h.writeFile("repaired.json", addLateShare(settingsWithDeadline(200)))
		h.runStep(s, exitOK, "put orders --file orders.json")
		h.script.Step("a sidecar starts, whose file has a LateShare")
		h.startSidecar("n1", "service", s.address, addLateShare(settingsWithDeadline(50)))
		h.awaitMessage(s, "n1", `"version":1`)
		h.awaitAck("n1", "service", `"version":1`)
		h.runStep(s, exitOK, "status orders")
		h.runStep(s, exitOK, "put orders --file without.json")
		h.awaitMessage(s, "n1", `"version":2`)
		h.awaitAck("n1", "service", `"rejected":2`)
		h.runStep(s, exitOK, "status orders")
		h.runStep(s, exitOK, "put orders --file repaired.json")
		h.awaitMessage(s, "n1", `"version":3`)
		h.awaitAck("n1", "service", `"version":3`)
		h.runStep(s, exitOK, "status orders -o json")
		h.runStep(s, exitOK, "delete orders")
		h.awaitMessage(s, "n1", `"deleted":true`)
		h.must(transcript.Eventually(h.Context(), "the file's settings are in force", func() bool {
			all, err := s.untappedClient().Rollouts(h.Context())
			return err == nil && all.Rollouts[0].InForce == 1
		}))
		h.runStep(s, exitOK, "status orders")
	}},
	{"newer-schema", `"rejected":2,"why":"schema 2, and this program understands 1 to 1"`, func(h *harness) {
		s := h.startRegion("")
		h.script.Step("a newer program puts settings of a newer schema")
		h.sendRequest(s, http.MethodPut, "/v1/settings/orders", `{"schema":2,"settings":`+strings.TrimSpace(settingsWithDeadline(100))+`,"if_version":0}`)
		h.script.Step("a sidecar hears of some from a newer list service")
		newer := &newerService{changed: make(chan struct{})}
		server := httptest.NewServer(newer)
		h.Cleanup(server.Close)
		newer.addLine(`{"index":1,"snapshot":true,"endpoints":[],"documents":[{"service":"orders","version":1,"schema":1,"settings":` + strings.TrimSpace(settingsWithDeadline(100)) + `}]}`)
		h.startSidecar("n1", "newer service", server.Listener.Addr().String(), settingsWithDeadline(50))
		h.awaitAck("n1", "newer service", `"version":1`)
		h.script.Step("of a newer schema")
		newer.addLine(`{"index":2,"snapshot":false,"endpoints":[],"documents":[{"service":"orders","version":2,"schema":2,"settings":{"Classes":{"read":"1 s"}}}]}`)
		h.awaitAck("n1", "newer service", `"rejected":2`)
		h.script.Step("and of this one again")
		newer.addLine(`{"index":3,"snapshot":false,"endpoints":[],"documents":[{"service":"orders","version":3,"schema":1,"settings":` + strings.TrimSpace(settingsWithDeadline(200)) + `}]}`)
		h.awaitAck("n1", "newer service", `"version":3`)
	}},
}

// Guards against unreviewed changes of the messages between operators, list services, regions and sidecars. Run it with -update to approve
// a change.
func TestApprovedTranscripts(t *testing.T) {
	for _, test := range transcriptTests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			h := &harness{T: t, script: transcript.NewScript(), dir: t.TempDir(), taps: map[[2]string]*transcript.Tap{}}
			for _, name := range []string{"service", "south", "north", "operator"} {
				h.script.Between("operator", name)
			}
			test.run(h)
			approve.Text(t, test.name, test.shows, h.script.Text())
		})
	}
}
