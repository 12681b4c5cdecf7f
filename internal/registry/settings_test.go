package registry_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

// rawWatch reads the lines of a watch as they are sent.
type rawWatch struct {
	t     *testing.T
	lines chan string
}

// openRawWatch opens a watch. Empty lines are skipped.
func openRawWatch(t *testing.T, address, query string) *rawWatch {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/api/targets?watch=1&"+query, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	w := &rawWatch{t, make(chan string, 64)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		scanner := bufio.NewScanner(resp.Body)
		for scanner.Scan() {
			if len(bytes.TrimSpace(scanner.Bytes())) > 0 {
				w.lines <- scanner.Text()
			}
		}
	}()
	t.Cleanup(func() { _ = resp.Body.Close(); <-ended })
	return w
}

func (w *rawWatch) next() string {
	w.t.Helper()
	select {
	case line := <-w.lines:
		return line
	case <-time.After(10 * time.Second):
		w.t.Fatal("timed out after 10 s waiting for a line of the watch")
		return ""
	}
}

// settingsJSON returns settings that a sidecar accepts, different for each n.
func settingsJSON(n int) string {
	return fmt.Sprintf(`{"Classes":[{"Name":"read","Semantics":"retryable","DeadlineMs":%d}]}`, 100+n)
}

// Checks the lines of a watch byte for byte. A watcher that requests no settings is sent the same lines as before there were settings.
func TestSettingsOnAWatch(t *testing.T) {
	address := startDevReplica(t)
	c := client.New([]string{address})
	defer c.Close()
	ctx := t.Context()
	requireVersion := func(version int64, err error) int64 {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return version
	}
	zero := int64(0)
	put := func(service, text string, ifVersion int64) int64 {
		t.Helper()
		return requireVersion(c.Put(ctx, service, api.PutRequest{Schema: 1, Settings: json.RawMessage(text), IfRevision: &ifVersion}))
	}
	if v := requireVersion(c.Register(ctx, "u", api.Registration{Address: "127.0.0.1:1", Weight: 1})); v != 1 {
		t.Fatalf("version after the registration: got %d, want 1", v)
	}
	const entry = `{"name":"u","address":"127.0.0.1:1","zone":"","type":"","group":0,"status":"Ready","weight":1,"since_ms":0}`
	plain := openRawWatch(t, address, "from=-1")
	orders := openRawWatch(t, address, "from=-1&service=orders&held=")
	own := openRawWatch(t, address, "from=-1&own=1")
	for _, watch := range []*rawWatch{plain, orders, own} {
		if got, want := watch.next(), `{"index":1,"snapshot":true,"endpoints":[`+entry+`]}`; got != want {
			t.Errorf("line of the watch: got %s\nwant %s", got, want)
		}
	}
	put("other", settingsJSON(0), 0) // one change at a time, because changes in quick succession are sent as one line
	if got, want := own.next(), `{"index":2,"snapshot":false,"endpoints":[],"documents":[{"service":"other","version":2,"schema":1,"settings":`+settingsJSON(0)+`}]}`; got != want {
		t.Errorf("line of the watch: got %s\nwant %s", got, want)
	}
	put("orders", settingsJSON(0), 0)
	if got, want := orders.next(), `{"index":3,"snapshot":false,"endpoints":[],"documents":[{"service":"orders","version":3,"schema":1,"settings":`+settingsJSON(0)+`}]}`; got != want {
		t.Errorf("line of the watch: got %s\nwant %s", got, want)
	}
	// A watcher that has the settings is not sent them again, and one that has others is sent them at once.
	current := openRawWatch(t, address, "from=3&service=orders&held="+"@3")
	other := openRawWatch(t, address, "from=3&service=orders&held=north@9")
	if got := other.next(); !strings.Contains(got, `"documents":[{"service":"orders","version":3`) {
		t.Errorf("watcher with the settings of another region: got %s, want version 3 of the settings of orders", got)
	}
	requireVersion(c.Drain(ctx, "u", api.StateChange{}))
	drained := `{"index":4,"snapshot":false,"endpoints":[` + strings.Replace(entry, "Ready", "Terminating", 1) + `]}`
	for _, watch := range []*rawWatch{plain, current, other} {
		if got := watch.next(); got != drained {
			t.Errorf("line of the watch: got %s\nwant %s", got, drained)
		}
	}
	requireVersion(c.Delete(ctx, "orders", 3))
	for _, watch := range []*rawWatch{current, other} {
		if got, want := watch.next(), `{"index":5,"snapshot":false,"endpoints":[],"documents":[{"service":"orders","version":5,"schema":0,"deleted":true}]}`; got != want {
			t.Errorf("line of the watch: got %s\nwant %s", got, want)
		}
	}

	// Rejected writes change nothing, and their code says why.
	for _, test := range []struct {
		text      string
		ifVersion *int64
		code      string
	}{
		{settingsJSON(0), nil, api.CodeBadRequest},
		{`{"classes":[]}`, &zero, api.CodeBadRequest},
		{`[]`, &zero, api.CodeBadRequest},
		{settingsJSON(0), &[]int64{4}[0], api.CodeConflict},
	} {
		if _, err := c.Put(ctx, "orders", api.PutRequest{Schema: 1, Settings: json.RawMessage(test.text), IfRevision: test.ifVersion}); !api.IsCode(err, test.code) {
			t.Errorf("put of %s: got error %v, want code %s", test.text, err, test.code)
		}
	}
	if _, err := c.Put(ctx, "orders", api.PutRequest{Schema: 99, Settings: json.RawMessage(settingsJSON(0)), IfRevision: &zero}); !api.IsCode(err, api.CodeBadRequest) {
		t.Errorf("put with schema 99: got error %v, want code %s", err, api.CodeBadRequest)
	}
	if v := put("orders", settingsJSON(0), 0); v != 6 {
		t.Errorf("put after the deletion: got version %d, want 6", v)
	}
	if d, err := c.Document(ctx, "orders", 3, true); err != nil || d.Revision != 3 || string(d.Settings) != settingsJSON(0) {
		t.Errorf("version 3: got %+v, error %v, want the first settings", d, err)
	}
	if _, err := c.Document(ctx, "orders", 4, true); !api.IsCode(err, api.CodeNotFound) {
		t.Errorf("version 4: got error %v, want code %s", err, api.CodeNotFound)
	}
	if all, err := c.Documents(ctx, false); err != nil || len(all.Documents) != 2 || all.Documents[0].Revision != 6 || all.Documents[0].Settings != nil {
		t.Errorf("all documents: got %+v, error %v, want 2 without settings, the first at version 6", all, err)
	}
	if _, err := c.Delete(ctx, "nobody's", 3); !api.IsCode(err, api.CodeNotFound) {
		t.Errorf("deleting absent settings: got error %v, want code %s", err, api.CodeNotFound)
	}

	reported := []api.Ack{{Node: "a", Service: "orders", Revision: 6}, {Node: "b", Service: "orders", Revision: 3},
		{Node: "c", Service: "orders", Revision: 3, RejectedRevision: 6, Reason: "no room"}, {Node: "a", Service: "elsewhere", Revision: 6}}
	if err := c.Acknowledge(ctx, reported); err != nil {
		t.Fatal(err)
	}
	all, err := c.Rollouts(ctx)
	if err != nil || len(all.Rollouts) != 2 {
		t.Fatalf("rollouts: got %+v, error %v, want 2", all, err)
	}
	if r := all.Rollouts[0]; r.InForce != 1 || r.Behind != 1 || r.Rejected != 1 || r.Silent != 0 || len(r.NotInForce) != 2 || r.NotInForce[0].Node != "c" || r.Settings != nil {
		t.Errorf("rollout of orders: got %+v, want 1 in force, 1 behind, 1 rejected, and c first of 2 listed as not in force", r)
	}
	if err := c.Acknowledge(ctx, []api.Ack{{Node: "a"}}); !api.IsCode(err, api.CodeBadRequest) {
		t.Errorf("acknowledgement without a service: got error %v, want code %s", err, api.CodeBadRequest)
	}

	// A backup is restored after another change: all documents are restored under new versions.
	backup, err := c.Backup(ctx)
	if err != nil {
		t.Fatal(err)
	}
	late := put("late", settingsJSON(0), 0)
	if err := c.Restore(ctx, backup); err != nil {
		t.Fatal(err)
	}
	restored, err := c.Documents(ctx, true)
	if err != nil || len(restored.Documents) != 3 {
		t.Fatalf("documents after the restore: got %+v, error %v, want 3", restored, err)
	}
	for _, d := range restored.Documents {
		if d.Revision <= late || d.Deleted != (d.Service == "late") {
			t.Errorf("restored document: got %+v, want a version above %d, and only late deleted", d, late)
		}
	}
}

// Guards against a replica that sends an older list to a watcher that comes from a replica slightly ahead: the replica first waits for
// the version that the watcher has. If it does not reach that version in time, the watcher is sent the full list.
func TestAWatcherWhoIsAheadIsNotToldAnOlderList(t *testing.T) {
	address := startDevReplica(t)
	c := client.New([]string{address})
	defer c.Close()
	register := func(name string) {
		t.Helper()
		if _, err := c.Register(t.Context(), name, api.Registration{Address: "127.0.0.1:1", Weight: 1}); err != nil {
			t.Fatal(err)
		}
	}
	register("u1")
	ahead := make(chan string, 1)
	go func() { ahead <- openRawWatch(t, address, "from=2").next() }() // the response begins once the replica has stopped waiting for the version
	unreached := make(chan string, 1)
	go func() { unreached <- openRawWatch(t, address, "from=900").next() }()
	select {
	case got := <-ahead:
		t.Fatalf("watcher that is ahead: got %s, want nothing yet", got)
	case <-time.After(200 * time.Millisecond): // enough for the replica to receive the request and wait
	}
	register("u2")
	register("u3")
	if got := <-ahead; !strings.Contains(got, `{"index":3,"snapshot":false`) || strings.Contains(got, `"u1"`) {
		t.Errorf("watcher that was ahead: got %s, want changes up to version 3, without u1", got)
	}
	if got := <-unreached; !strings.Contains(got, `{"index":3,"snapshot":true`) {
		t.Errorf("watcher with a version that is not reached: got %s, want the full list at version 3", got)
	}
}

// Checks that settings are rejected while a replica of the quorum runs an earlier version of the program, and that leaderships, which
// that version knows, still work.
func TestSettingsBesideAnEarlierReplica(t *testing.T) {
	address := startDevReplica(t)
	c := client.New([]string{address})
	defer c.Close()
	ctx := t.Context()
	zero := int64(0)
	self := (&quorum{t: t, client: c}).waitForStatus("the replica has announced schema 3", func(statuses map[string]api.Status) bool {
		return statuses[address].Members["dev"].Schema == 3
	})[address].Replica
	announce := func(schema int) {
		t.Helper()
		replica := self
		replica.Schema = schema
		text, err := json.Marshal(replica)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.Post("http://"+address+"/v1/announce", "application/json", bytes.NewReader(text))
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("announcing schema %d: got response %v, error %v, want status 200", schema, resp, err)
		}
		_ = resp.Body.Close()
	}
	put := func() error {
		_, err := c.Put(ctx, "orders", api.PutRequest{Schema: 1, Settings: json.RawMessage(settingsJSON(0)), IfRevision: &zero})
		return err
	}
	announce(2)
	if err := put(); !api.IsCode(err, api.CodeOlderReplica) || !strings.Contains(err.Error(), "settings") {
		t.Errorf("put beside a replica with schema 2: got error %v, want code %s that names settings", err, api.CodeOlderReplica)
	}
	if g, err := c.AcquireLeadership(ctx, api.LeadershipClaim{Name: "d", Holder: "h", LeaseMs: 1000}); err != nil || g.Holder != "h" {
		t.Errorf("claim beside a replica with schema 2: got %+v, error %v, want holder h", g, err)
	}
	if all, err := c.Documents(ctx, true); err != nil || len(all.Documents) != 0 {
		t.Errorf("documents: got %+v, error %v, want none", all, err)
	}
	announce(3)
	if err := put(); err != nil {
		t.Errorf("put once all replicas have schema 3: got error %v, want nil", err)
	}
}
