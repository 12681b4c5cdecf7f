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

// rawWatch is a watch as it is on the wire.
type rawWatch struct {
	t     *testing.T
	lines chan string
}

// openRawWatch opens a watch; its empty lines are left out.
func openRawWatch(t *testing.T, at, query string) *rawWatch {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+at+"/api/targets?watch=1&"+query, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	b := &rawWatch{t, make(chan string, 64)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		in := bufio.NewScanner(resp.Body)
		for in.Scan() {
			if len(bytes.TrimSpace(in.Bytes())) > 0 {
				b.lines <- in.Text()
			}
		}
	}()
	t.Cleanup(func() { _ = resp.Body.Close(); <-ended })
	return b
}

func (b *rawWatch) next() string {
	b.t.Helper()
	select {
	case l := <-b.lines:
		return l
	case <-time.After(10 * time.Second):
		b.t.Fatal("no line")
		return ""
	}
}

// settingsJSON is settings that a sidecar would take in, unlike any with another number.
func settingsJSON(n int) string {
	return fmt.Sprintf(`{"Classes":[{"Name":"read","Semantics":"retryable","DeadlineMs":%d}]}`, 100+n)
}

// The lines of a watch: those who ask for no settings read what they always read, byte for byte.
func TestSettingsOnAWatch(t *testing.T) {
	at := startDevReplica(t)
	c := client.New([]string{at})
	defer c.Close()
	ctx := t.Context()
	must := func(version int64, err error) int64 {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return version
	}
	zero := int64(0)
	put := func(service, text string, on int64) int64 {
		t.Helper()
		return must(c.Put(ctx, service, api.PutRequest{Schema: 1, Settings: json.RawMessage(text), IfRevision: &on}))
	}
	if v := must(c.Register(ctx, "u", api.Registration{Address: "127.0.0.1:1", Weight: 1})); v != 1 {
		t.Fatalf("version %d", v)
	}
	const entry = `{"name":"u","address":"127.0.0.1:1","zone":"","type":"","group":0,"status":"Ready","weight":1,"since_ms":0}`
	plain := openRawWatch(t, at, "from=-1")
	orders := openRawWatch(t, at, "from=-1&service=orders&held=")
	own := openRawWatch(t, at, "from=-1&own=1")
	for _, b := range []*rawWatch{plain, orders, own} {
		if got, want := b.next(), `{"index":1,"snapshot":true,"endpoints":[`+entry+`]}`; got != want {
			t.Errorf("got %s\nwant %s", got, want)
		}
	}
	put("other", settingsJSON(0), 0) // told by itself, since changes that come together are told together
	if got, want := own.next(), `{"index":2,"snapshot":false,"endpoints":[],"documents":[{"service":"other","version":2,"schema":1,"settings":`+settingsJSON(0)+`}]}`; got != want {
		t.Errorf("got %s\nwant %s", got, want)
	}
	put("orders", settingsJSON(0), 0)
	if got, want := orders.next(), `{"index":3,"snapshot":false,"endpoints":[],"documents":[{"service":"orders","version":3,"schema":1,"settings":`+settingsJSON(0)+`}]}`; got != want {
		t.Errorf("got %s\nwant %s", got, want)
	}
	// Someone who holds it is told nothing of it, and someone who holds another is told at once.
	holds := openRawWatch(t, at, "from=3&service=orders&held="+"@3")
	old := openRawWatch(t, at, "from=3&service=orders&held=north@9")
	if got := old.next(); !strings.Contains(got, `"documents":[{"service":"orders","version":3`) {
		t.Errorf("one that holds another region's gets %s", got)
	}
	must(c.Drain(ctx, "u", api.StateChange{}))
	drained := `{"index":4,"snapshot":false,"endpoints":[` + strings.Replace(entry, "Ready", "Terminating", 1) + `]}`
	for _, b := range []*rawWatch{plain, holds, old} {
		if got := b.next(); got != drained {
			t.Errorf("got %s\nwant %s", got, drained)
		}
	}
	must(c.Delete(ctx, "orders", 3))
	for _, b := range []*rawWatch{holds, old} {
		if got, want := b.next(), `{"index":5,"snapshot":false,"endpoints":[],"documents":[{"service":"orders","version":5,"schema":0,"deleted":true}]}`; got != want {
			t.Errorf("got %s\nwant %s", got, want)
		}
	}

	// What is refused changes nothing, and says why.
	for _, x := range []struct {
		text string
		on   *int64
		code string
	}{
		{settingsJSON(0), nil, api.CodeBadRequest},
		{`{"classes":[]}`, &zero, api.CodeBadRequest},
		{`[]`, &zero, api.CodeBadRequest},
		{settingsJSON(0), &[]int64{4}[0], api.CodeConflict},
	} {
		if _, err := c.Put(ctx, "orders", api.PutRequest{Schema: 1, Settings: json.RawMessage(x.text), IfRevision: x.on}); !api.IsCode(err, x.code) {
			t.Errorf("%s: %v, want %s", x.text, err, x.code)
		}
	}
	if _, err := c.Put(ctx, "orders", api.PutRequest{Schema: 99, Settings: json.RawMessage(settingsJSON(0)), IfRevision: &zero}); !api.IsCode(err, api.CodeBadRequest) {
		t.Errorf("of a later schema: %v", err)
	}
	if v := put("orders", settingsJSON(0), 0); v != 6 {
		t.Errorf("put again after it was deleted: version %d", v)
	}
	if d, err := c.Document(ctx, "orders", 3, true); err != nil || d.Revision != 3 || string(d.Settings) != settingsJSON(0) {
		t.Errorf("version 3: %+v, %v", d, err)
	}
	if _, err := c.Document(ctx, "orders", 4, true); !api.IsCode(err, api.CodeNotFound) {
		t.Errorf("version 4: %v", err)
	}
	if all, err := c.Documents(ctx, false); err != nil || len(all.Documents) != 2 || all.Documents[0].Revision != 6 || all.Documents[0].Settings != nil {
		t.Errorf("all: %+v, %v", all, err)
	}
	if _, err := c.Delete(ctx, "nobody's", 3); !api.IsCode(err, api.CodeNotFound) {
		t.Errorf("deleting what is not there: %v", err)
	}

	reported := []api.Ack{{Node: "a", Service: "orders", Revision: 6}, {Node: "b", Service: "orders", Revision: 3},
		{Node: "c", Service: "orders", Revision: 3, RejectedRevision: 6, Reason: "no room"}, {Node: "a", Service: "elsewhere", Revision: 6}}
	if err := c.Acknowledge(ctx, reported); err != nil {
		t.Fatal(err)
	}
	all, err := c.Rollouts(ctx)
	if err != nil || len(all.Rollouts) != 2 {
		t.Fatalf("%+v, %v", all, err)
	}
	if r := all.Rollouts[0]; r.InForce != 1 || r.Behind != 1 || r.Rejected != 1 || r.Silent != 0 || len(r.NotInForce) != 2 || r.NotInForce[0].Node != "c" || r.Settings != nil {
		t.Errorf("%+v", r)
	}
	if err := c.Acknowledge(ctx, []api.Ack{{Node: "a"}}); !api.IsCode(err, api.CodeBadRequest) {
		t.Errorf("a word on nothing: %v", err)
	}

	// A backup from now goes in after a change: all documents come back under versions that are new.
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
		t.Fatalf("%+v, %v", restored, err)
	}
	for _, d := range restored.Documents {
		if d.Revision <= late || d.Deleted != (d.Service == "late") {
			t.Errorf("restored: %+v", d)
		}
	}
}

// Guards against a replica that is behind by a moment telling an older list to a watcher who comes from one that was ahead: it waits
// for the version that the watcher has. Where that never comes, the watcher gets the whole list all the same.
func TestAWatcherWhoIsAheadIsNotToldAnOlderList(t *testing.T) {
	at := startDevReplica(t)
	c := client.New([]string{at})
	defer c.Close()
	register := func(name string) {
		t.Helper()
		if _, err := c.Register(t.Context(), name, api.Registration{Address: "127.0.0.1:1", Weight: 1}); err != nil {
			t.Fatal(err)
		}
	}
	register("u1")
	ahead := make(chan string, 1)
	go func() { ahead <- openRawWatch(t, at, "from=2").next() }() // a watch's head comes once it is known what to tell
	far := make(chan string, 1)
	go func() { far <- openRawWatch(t, at, "from=900").next() }()
	select {
	case got := <-ahead:
		t.Fatalf("told %s", got)
	case <-time.After(200 * time.Millisecond): // so long it has been heard, and waits
	}
	register("u2")
	register("u3")
	if got := <-ahead; !strings.Contains(got, `{"index":3,"snapshot":false`) || strings.Contains(got, `"u1"`) {
		t.Errorf("one that was ahead is told %s", got)
	}
	if got := <-far; !strings.Contains(got, `{"index":3,"snapshot":true`) {
		t.Errorf("one with a version from elsewhere is told %s", got)
	}
}

// While a replica of the quorum runs an earlier program, settings are not taken in; what that program knows goes on.
func TestSettingsBesideAnEarlierReplica(t *testing.T) {
	at := startDevReplica(t)
	c := client.New([]string{at})
	defer c.Close()
	ctx := t.Context()
	zero := int64(0)
	was := (&quorum{t: t, client: c}).waitForStatus("it said what it understands", func(reported map[string]api.Status) bool {
		return reported[at].Members["dev"].Schema == 3
	})[at].Replica
	announce := func(schema int) {
		t.Helper()
		m := was
		m.Schema = schema
		text, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.Post("http://"+at+"/v1/announce", "application/json", bytes.NewReader(text))
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
		_ = resp.Body.Close()
	}
	put := func() error {
		_, err := c.Put(ctx, "orders", api.PutRequest{Schema: 1, Settings: json.RawMessage(settingsJSON(0)), IfRevision: &zero})
		return err
	}
	announce(2)
	if err := put(); !api.IsCode(err, api.CodeOlderReplica) || !strings.Contains(err.Error(), "settings") {
		t.Errorf("beside schema 2: %v", err)
	}
	if g, err := c.AcquireLeadership(ctx, api.LeadershipClaim{Name: "d", Holder: "h", LeaseMs: 1000}); err != nil || g.Holder != "h" {
		t.Errorf("a duty beside schema 2: %+v, %v", g, err)
	}
	if all, err := c.Documents(ctx, true); err != nil || len(all.Documents) != 0 {
		t.Errorf("%+v, %v", all, err)
	}
	announce(3)
	if err := put(); err != nil {
		t.Errorf("once all speak schema 3: %v", err)
	}
}
