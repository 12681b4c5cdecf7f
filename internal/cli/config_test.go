package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mosslead/internal/registry/api"
)

const ordersSettings = `{"Balancers":1,"Zone":"a","TickMs":5,
 "Classes":[{"Name":"search","Semantics":"retryable","AimMs":5000,"DeadlineMs":10000,"Importance":1,"LateShare":0.5}],
 "Limits":{"SendCap":5},"Rules":{"ColdFrom":0.3}}`

// otherSettings are valid settings that differ from ordersSettings.
var otherSettings = strings.Replace(ordersSettings, `"SendCap":5`, `"SendCap":3`, 1)

// fakeService is a fake of a region's list service. It has the settings of one service, and can lose the response to a change.
type fakeService struct {
	mu         sync.Mutex
	versions   []api.Document
	rollouts   api.Rollouts
	loseAnswer func(s *fakeService, done func()) // called instead of responding to the next change; done carries the change out
	requests   []string
}

func (s *fakeService) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, r.Method+" "+r.URL.RequestURI())
	var current api.Document
	if n := len(s.versions); n > 0 {
		current = s.versions[n-1]
		for _, d := range s.versions[:n-1] {
			if !d.Deleted {
				current.EarlierRevisions = append(current.EarlierRevisions, d.Revision)
			}
		}
		current.EarlierRevisions = current.EarlierRevisions[max(0, len(current.EarlierRevisions)-api.MaxEarlierRevisions):]
	}
	respond := func(body any) { _ = json.NewEncoder(rw).Encode(body) }
	respondError := func(status int, f *api.Error) {
		rw.WriteHeader(status)
		respond(f)
	}
	switch path := r.URL.Path; {
	case path == "/v1/rollouts":
		respond(s.rollouts)
	case path == "/v1/settings":
		current.Settings = nil
		respond(api.Documents{Revision: current.Revision, Documents: []api.Document{current}})
	case strings.Contains(path, "/versions/"):
		for _, d := range s.versions {
			if strings.HasSuffix(path, "/"+formatVersion(d.Revision)) && (d.Revision == current.Revision || slices.Contains(current.EarlierRevisions, d.Revision)) {
				respond(d)
				return
			}
		}
		respondError(http.StatusNotFound, api.Errorf(api.CodeNotFound, "this version is not remembered"))
	case r.Method == http.MethodGet && current.Revision == 0:
		respondError(http.StatusNotFound, api.Errorf(api.CodeNotFound, "none"))
	case r.Method == http.MethodGet:
		respond(current)
	default:
		var p api.PutRequest
		if err := json.NewDecoder(r.Body).Decode(&p); err != nil || p.IfRevision == nil {
			respondError(http.StatusBadRequest, api.Errorf(api.CodeBadRequest, "%v", err))
			return
		}
		if *p.IfRevision != current.Revision && (*p.IfRevision != 0 || !current.Deleted) {
			respondError(http.StatusConflict, api.Errorf(api.CodeConflict, "the settings are at version %d", current.Revision))
			return
		}
		done := func() {
			s.versions = append(s.versions, api.Document{Service: "orders", Revision: current.Revision + 7, Schema: max(p.Schema, 1),
				Deleted: r.Method == http.MethodPost, Settings: p.Settings})
		}
		if lose := s.loseAnswer; lose != nil {
			s.loseAnswer = nil
			lose(s, done)
			panic(http.ErrAbortHandler) // the connection breaks
		}
		done()
		respond(api.WriteResult{Revision: current.Revision + 7})
	}
}

// startFakeService starts a fakeService with a version for each of texts, and returns its address.
func startFakeService(t *testing.T, texts ...string) (*fakeService, string) {
	t.Helper()
	s := &fakeService{}
	for i, text := range texts {
		s.versions = append(s.versions, api.Document{Service: "orders", Revision: int64(7 * (i + 1)), Schema: 1, Settings: json.RawMessage(text)})
	}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server.Listener.Addr().String()
}

// writeOrdersFile writes text to a file orders.json and returns its path.
func writeOrdersFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "orders.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against a mistake in a file, a flag or an argument that leads to a request, or to an error of several lines.
func TestMistakesInSettingsAreFoundBeforeAnybodyIsAsked(t *testing.T) {
	s, address := startFakeService(t, ordersSettings)
	good := writeOrdersFile(t, ordersSettings)
	bad := func(old, new string) string { return writeOrdersFile(t, strings.Replace(ordersSettings, old, new, 1)) }
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"fly"}, `no command is called "fly"`},
		{[]string{"put"}, "accepts 1 arg"},
		{[]string{"put", "orders"}, "--file FILE"},
		{[]string{"put", "orders", "--file", good + ".missing"}, "no such file"},
		{[]string{"put", "orders", "--file", t.TempDir()}, "is a directory"},
		{[]string{"put", "orders", "--file", good, "--if-version", "x"}, "invalid argument"},
		{[]string{"put", "orders", "--file", good, "--if-version", "-3"}, "--if-version: at least 0"},
		{[]string{"put", "orders", "--file", good, "-o", "xml"}, "--output: table or json"},
		{[]string{"put", "orders", "--file", bad(`"TickMs":5,`, `"TickMs":5`)}, "orders.json:2:2: not start-up parameters: invalid character"},
		{[]string{"put", "orders", "--file", bad(`"SendCap":5`, `"SendCap":"5"`)}, "orders.json:3:"},
		{[]string{"put", "orders", "--file", bad(`"SendCap":5`, `"SendCap":"5"`)}, "Limits.SendCap: "},
		{[]string{"put", "orders", "--file", bad(`"DeadlineMs":10000`, `"DeadlineMs":-1`)}, "orders.json:2:67: Classes.DeadlineMs: setting Classes: search: Deadline is not usable"},
		{[]string{"put", "orders", "--file", writeOrdersFile(t, "Zone = \"a\"\n")}, "orders.json:1:1: not start-up parameters: invalid character 'Z'"},
		{[]string{"put", "orders", "--file", writeOrdersFile(t, "")}, "unexpected end of JSON input"},
		{[]string{"put", "orders", "--file", writeOrdersFile(t, `{"Pad":"`+strings.Repeat("x", api.MaxSettings)+`"}`)}, "over 65536 bytes"},
		{[]string{"get", "--version", "3"}, "of which SERVICE"},
		{[]string{"get", "orders", "--version", "-1"}, "--version: at least 0"},
		{[]string{"get", "orders", "more"}, "accepts at most 1 arg"},
		{[]string{"back", "orders", "--to", "-1"}, "--to: at least 0"},
		{[]string{"back"}, "accepts 1 arg"},
		{[]string{"delete"}, "accepts 1 arg"},
		{[]string{"delete", "orders", "--if-version", "0"}, "--if-version: at least 1"},
		{[]string{"delete", "orders", "-o", "xml"}, "--output: table or json"},
		{[]string{"status", "-o", "xml"}, "--output: table or json"},
		{[]string{"status", "--region", "north"}, "--region: NAME=host:port,host:port"},
		{[]string{"status", "--region", "north=nowhere"}, "--region north: host:port"},
		{[]string{"status", "--region", "north=127.0.0.1:1", "--region", "north=127.0.0.1:2"}, "north is there twice"},
		{[]string{"status", "--registry", "nowhere"}, "--registry: host:port"},
	} {
		args := append([]string{"config"}, c.args...)
		if !strings.Contains(strings.Join(args, " "), "--registry") {
			args = append(args, "--registry", address)
		}
		status, stdout, stderr := call(t, args...)
		if status != exitUsage || stdout != "" || !strings.Contains(stderr, c.want) || strings.Count(stderr, "\n") != 1 {
			t.Errorf("%v: got status %d, stdout %q, stderr %q; want status %d, no stdout, one line on stderr with %q", c.args, status, stdout, stderr, exitUsage, c.want)
		}
	}
	if len(s.requests) > 0 {
		t.Errorf("got requests %v, want none", s.requests)
	}
}

func TestEveryCommandForSettingsHasHelpWithAnExample(t *testing.T) {
	for _, name := range []string{"", "put", "get", "status", "back", "delete"} {
		status, stdout, _ := call(t, strings.Fields("config "+name+" --help")...)
		if status != exitOK || !strings.Contains(stdout, "Examples:\n  mosslead config ") {
			t.Errorf("config %s --help: got status %d, stdout %q; want status %d and an example", name, status, stdout, exitOK)
		}
	}
}

// Settings can be put, read, reverted to an earlier version and deleted. Each change is a new version, based on the current one.
func TestSettingsArePutReadAndTakenBack(t *testing.T) {
	s, address := startFakeService(t)
	first, second := writeOrdersFile(t, ordersSettings), writeOrdersFile(t, otherSettings)
	for _, c := range []struct {
		line, stdout, stderr string
		status               int
	}{
		{"get orders", "", "there are no settings of orders", exitFailed},
		{"delete orders", "", "there are no settings of orders", exitFailed},
		{"back orders", "", "there are no settings of orders", exitFailed},
		{"put orders --file " + first, "orders   done     7        0", "", exitOK},
		{"back orders", "", "no earlier version", exitFailed},
		{"put orders --file " + second + " --if-version 0", "", "conflict: the settings are at version 7", exitFailed},
		{"put orders --file " + second + " -o json", `"version": 14`, "", exitOK},
		{"get", "orders   -       14       1       7", "", exitOK},
		{"get orders", `"SendCap": 3`, "", exitOK},
		{"get orders --version 7 -o json", `"SendCap": 5`, "", exitOK},
		{"get orders --version 8", "", "version 8 of the settings of orders is not remembered", exitFailed},
		{"back orders --to 14", "", "version 14 is the present one", exitFailed},
		{"back orders", "orders   done     21       14", "", exitOK},
		{"get orders", `"SendCap": 5`, "", exitOK},
		{"delete orders", "orders   done     28       21", "", exitOK},
		{"get orders", "deleted", "", exitOK},
		{"delete orders", "", "there are no settings of orders", exitFailed},
		{"back orders -o json", `"based_on": 0`, "", exitOK},
		{"back orders --to 28", "", "version 28 of the settings of orders is not remembered", exitFailed},
		{"back orders --to 14", "orders   done     42       35", "", exitOK},
	} {
		status, stdout, stderr := call(t, append(strings.Fields("config "+c.line), "--registry", address)...)
		if status != c.status || !strings.Contains(stdout, c.stdout) || c.stdout == "" && stdout != "" || !strings.Contains(stderr, c.stderr) || c.stderr == "" && stderr != "" {
			t.Fatalf("%s: got status %d, stdout %q, stderr %q; want status %d, stdout %q, stderr %q", c.line, status, stdout, stderr, c.status, c.stdout, c.stderr)
		}
	}
	if len(s.versions) != 6 {
		t.Errorf("got %d versions, want 6", len(s.versions))
	}
}

// Guards against a wrongly reported outcome of a change whose response is lost: the command looks up whether the change was done.
func TestTheOutcomeOfAPutWhoseAnswerIsLostIsTheTrueOne(t *testing.T) {
	for _, c := range []struct {
		name    string
		before  int // number of versions before the change
		lose    func(s *fakeService, done func())
		delete  bool
		outcome string
		version int64
		status  int
		stderr  string
	}{
		{"carried out", 1, func(_ *fakeService, done func()) { done() }, false, outcomeDone, 14, exitOK, "looked up: the put was done under version 14"},
		{"the first", 0, func(_ *fakeService, done func()) { done() }, false, outcomeDone, 7, exitOK, "done under version 7"},
		{"never arrived", 1, func(*fakeService, func()) {}, false, outcomeNotDone, 7, exitFailed, "Do it again with --if-version 7"},
		{"never arrived, the first", 0, func(*fakeService, func()) {}, false, outcomeNotDone, 0, exitFailed, "Do it again with --if-version 0"},
		{"another came first", 1, func(s *fakeService, _ func()) { s.add(ordersSettings) }, false, outcomeNotDone, 14, exitFailed, "another change came first; version 14"},
		{"carried out, and another since", 1, func(s *fakeService, done func()) { done(); s.add(ordersSettings) }, false, outcomeDone, 14, exitOK, "and version 21 has followed"},
		{"carried out, and many since", 1, func(s *fakeService, done func()) {
			done()
			for range api.MaxEarlierRevisions + 1 {
				s.add(ordersSettings)
			}
		}, false, outcomeUnknown, 49, exitFailed, "what is remembered does not tell"},
		{"deleted by another since", 1, func(s *fakeService, done func()) { done(); s.remove() }, false, outcomeDone, 14, exitOK, "and version 21 has followed"},
		{"deleted by another, and put", 1, func(s *fakeService, _ func()) { s.remove(); s.add(ordersSettings) }, false, outcomeNotDone, 21, exitFailed, "another change came first"},
		{"went back", 1, func(s *fakeService, done func()) { done(); s.versions = s.versions[:0] }, false, outcomeUnknown, 0, exitFailed, "it is unknown"},
		{"deleted", 2, func(_ *fakeService, done func()) { done() }, true, outcomeDone, 21, exitOK, "the delete was done under version 21"},
		{"deleted, and put by another", 2, func(s *fakeService, done func()) { done(); s.add(ordersSettings) }, true, outcomeUnknown, 28, exitFailed, "it is unknown"},
		{"not deleted, and put by another", 2, func(s *fakeService, _ func()) { s.add(ordersSettings) }, true, outcomeUnknown, 21, exitFailed, "it is unknown"},
		{"not deleted", 2, func(*fakeService, func()) {}, true, outcomeNotDone, 14, exitFailed, "the delete was not done up to now"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, address := startFakeService(t, []string{ordersSettings, ordersSettings}[:c.before]...)
			s.loseAnswer = c.lose
			args := []string{"config", "put", "orders", "--file", writeOrdersFile(t, otherSettings), "-o", "json", "--registry", address}
			if c.delete {
				args = []string{"config", "delete", "orders", "-o", "json", "--registry", address}
			}
			status, stdout, stderr := call(t, args...)
			var got changeResult
			if err := json.Unmarshal([]byte(stdout), &got); err != nil {
				t.Fatalf("decoding stdout %q: %v; stderr %q", stdout, err, stderr)
			}
			if status != c.status || got.Outcome != c.outcome || got.Version != c.version || !got.AnswerLost || !strings.Contains(stderr, c.stderr) {
				t.Errorf("got status %d, %+v, stderr %q; want status %d, outcome %s, version %d, a lost response, stderr with %q", status, got, stderr, c.status, c.outcome, c.version, c.stderr)
			}
		})
	}
}

// add puts settings, as a change by another operator.
func (s *fakeService) add(text string) {
	last := int64(0)
	if n := len(s.versions); n > 0 {
		last = s.versions[n-1].Revision
	}
	s.versions = append(s.versions, api.Document{Service: "orders", Revision: last + 7, Schema: 1, Settings: json.RawMessage(text)})
}

// remove deletes the settings, as a change by another operator.
func (s *fakeService) remove() {
	s.add("")
	last := &s.versions[len(s.versions)-1]
	last.Deleted, last.Settings = true, nil
}

// callWithin1s is call with a timeout of 1 s, for services that do not respond.
func callWithin1s(t *testing.T, args ...string) (status int, stdout, stderr string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var outBuf, errBuf bytes.Buffer
	status = (&app{stdout: &outBuf, stderr: &errBuf}).run(ctx, args)
	return status, outBuf.String(), errBuf.String()
}

// If the service can't be reached, a command prints an error of one line, and does not report a change as done.
func TestAServiceThatCantBeReachedIsSaid(t *testing.T) {
	path := writeOrdersFile(t, ordersSettings)
	for _, line := range []string{"put orders --file " + path, "put orders --if-version 3 --file " + path, "get orders", "get", "back orders", "delete orders", "status"} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			status, stdout, stderr := callWithin1s(t, append(strings.Fields("config "+line), "--registry", "127.0.0.1:1")...)
			if status != exitFailed || !strings.Contains(stderr, "connection refused") || strings.Count(stderr, "\n") != 1 || strings.Contains(stdout, outcomeDone) {
				t.Errorf("got status %d, stdout %q, stderr %q; want status %d, one line on stderr with \"connection refused\", no outcome %s on stdout", status, stdout, stderr, exitFailed, outcomeDone)
			}
		})
	}
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("<html>")) }))
	defer server.Close()
	if status, stdout, stderr := callWithin1s(t, "config", "get", "orders", "--registry", server.Listener.Addr().String()); status != exitFailed || stdout != "" ||
		!strings.Contains(stderr, "invalid character") {
		t.Errorf("response that is not JSON: got status %d, stdout %q, stderr %q; want status %d, no stdout, stderr with \"invalid character\"", status, stdout, stderr, exitFailed)
	}
}

// The status lists the counts of each region, and the sidecars where settings are not in force, with the reason. A region that does not
// respond is named after the other regions' counts, and the command fails.
func TestStatusTellsRegionsApart(t *testing.T) {
	south, address := startFakeService(t)
	north, northAddress := startFakeService(t)
	document := api.Document{Service: "orders", Region: "south", Revision: 41, Schema: 1}
	south.rollouts = api.Rollouts{Region: "south", Rollouts: []api.Rollout{
		{Document: document, InForce: 7, Behind: 1, Rejected: 1, Silent: 25, NotInForce: []api.Ack{
			{Node: "n3", Service: "orders", Region: "south", Revision: 40, RejectedRevision: 41, Reason: "setting Classes: none\ngiven"}, {Node: "n9", Service: "orders", SilentMs: 181_000}}},
		{Document: api.Document{Service: "fares", Region: "south", Revision: 3, Deleted: true}}}}
	for range maxListedSidecars {
		south.rollouts.Rollouts[0].NotInForce = append(south.rollouts.Rollouts[0].NotInForce, api.Ack{Node: "n0", Region: "north", Revision: 9})
	}
	north.rollouts = api.Rollouts{Region: "north", Rollouts: []api.Rollout{{Document: document, InForce: 5}}}
	status, stdout, stderr := call(t, "config", "status", "--registry", address, "--region", "north="+northAddress)
	for _, want := range []string{"orders   south  41         south        7         1       1         25", "orders   south  41         north        5",
		"fares    south  3 deleted", "orders version 41 is not in force in south at:", "rejected 41: setting Classes: none given", "has its file's settings", "not heard for 3m1s",
		"has version 9 of north", "and 7 more"} {
		if status != exitOK || !strings.Contains(stdout, want) || stderr != "" {
			t.Errorf("got status %d, stderr %q; want status %d, no stderr, and %q in stdout:\n%s", status, stderr, exitOK, want, stdout)
		}
	}
	if status, stdout, _ := call(t, "config", "status", "fares", "--registry", address, "--region", "north="+northAddress); status != exitOK || strings.Contains(stdout, "orders") {
		t.Errorf("status of fares: got status %d, want %d, and no orders in stdout:\n%s", status, exitOK, stdout)
	}
	if status, _, stderr := call(t, "config", "status", "nothing", "--registry", address); status != exitFailed || !strings.Contains(stderr, "there are no settings of nothing") {
		t.Errorf("status of an unknown service: got status %d, stderr %q; want status %d, stderr with \"there are no settings of nothing\"", status, stderr, exitFailed)
	}
	status, stdout, stderr = callWithin1s(t, "config", "status", "--registry", address, "--region", "west=127.0.0.1:1", "--region", "east="+northAddress)
	if status != exitFailed || !strings.Contains(stderr, "no answer from west, east") || !strings.Contains(stdout, "connection refused") ||
		!strings.Contains(stdout, `east: region "north" answers there`) || !strings.Contains(stdout, "orders   south  41") {
		t.Errorf("west and east: got status %d, stderr %q; want status %d, stderr with \"no answer from west, east\", and the reasons and the counts of south in stdout:\n%s", status, stderr, exitFailed, stdout)
	}
	status, stdout, _ = callWithin1s(t, "config", "status", "-o", "json", "--registry", address, "--region", "west=127.0.0.1:1")
	var all struct{ Regions []regionStatus }
	if err := json.Unmarshal([]byte(stdout), &all); status != exitFailed || err != nil || len(all.Regions) != 2 || all.Regions[0].Rollouts[0].InForce != 7 ||
		all.Regions[1].Region != "west" || all.Regions[1].Error == "" {
		t.Errorf("-o json: got status %d, error %v; want status %d, region south with 7 in force, region west with an error:\n%s", status, err, exitFailed, stdout)
	}
}
