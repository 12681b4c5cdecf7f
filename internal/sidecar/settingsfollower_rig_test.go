package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mosslead/internal/registry/api"
)

// fakeService is a list service of one replica with the API that sidecars use. Its list never changes; the settings of one
// service do.
type fakeService struct {
	address string
	srv     *http.Server

	mu          sync.Mutex
	list        string // the entries of its list
	index       int64
	announced   api.Document // Revision is 0 if there is none
	changed     chan struct{}
	watchURIs   []string // request URIs of all watches
	acks        []api.Ack
	rejectsAcks bool // answers acknowledgements by 400
}

func newListService(t testing.TB, entries ...string) *fakeService {
	t.Helper()
	s := &fakeService{list: strings.Join(entries, ","), index: 1, changed: make(chan struct{})}
	s.listenOn(t, "127.0.0.1:0")
	return s
}

// listenOn starts to serve at an address, until the test ends.
func (s *fakeService) listenOn(t testing.TB, address string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	stop, cancel := context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", func(w http.ResponseWriter, r *http.Request) {
		ctx, end := context.WithCancel(r.Context())
		defer end()
		defer context.AfterFunc(stop, end)()
		s.mu.Lock()
		s.watchURIs = append(s.watchURIs, r.RequestURI)
		s.mu.Unlock()
		s.watch(ctx, w, r)
	})
	mux.HandleFunc("POST /v1/acks", func(w http.ResponseWriter, r *http.Request) {
		var all api.Acks
		err := json.NewDecoder(r.Body).Decode(&all)
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil || s.rejectsAcks {
			http.Error(w, `{"code":"bad request","error":"refused"}`, http.StatusBadRequest)
			return
		}
		s.acks = append(s.acks, all.Acks...)
		_, _ = io.WriteString(w, "{}")
	})
	srv := &http.Server{ReadHeaderTimeout: testTimeout, Handler: mux}
	go func() { _ = srv.Serve(l) }()
	s.srv = srv
	t.Cleanup(func() { cancel(); _ = srv.Close() })
}

func (s *fakeService) watch(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	send := func(event any) {
		text, err := json.Marshal(event)
		if err != nil {
			panic(err)
		}
		_, _ = w.Write(append(text, '\n'))
		_ = http.NewResponseController(w).Flush()
	}
	clientVersion, first := r.FormValue("held"), r.FormValue("from") != "1"
	for {
		s.mu.Lock()
		d, index, changed := s.announced, s.index, s.changed
		text := fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, first, s.list)
		s.mu.Unlock()
		var event map[string]any
		if err := json.Unmarshal([]byte(text), &event); err != nil {
			panic(err)
		}
		if !first {
			event["endpoints"] = []any{}
		}
		current := fmt.Sprintf("%s@%d", d.Region, d.Revision)
		changes := d.Revision > 0 && d.Service == r.FormValue("service") && current != clientVersion
		if changes {
			event["documents"], clientVersion = []api.Document{d}, current
		}
		if first || changes {
			send(event)
		} else {
			_, _ = io.WriteString(w, "\n")
			_ = http.NewResponseController(w).Flush()
		}
		first = false
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(time.Second): // a heartbeat
		}
	}
}

// announce makes d the current settings and sends it to the watches.
func (s *fakeService) announce(d api.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.Service == "" {
		d.Service = "orders"
	}
	if d.Schema == 0 {
		d.Schema = 1
	}
	s.announced = d
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeService) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.watchURIs)
}

// lastAck returns the last acknowledgement, or the zero Ack if there was none.
func (s *fakeService) lastAck() (last api.Ack) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.acks); n > 0 {
		last = s.acks[n-1]
	}
	return last
}

func document(version int64, settings string) api.Document {
	return api.Document{Region: "south", Revision: version, Settings: json.RawMessage(settings)}
}

// ordersConfig returns the configuration of a sidecar of the service orders.
func ordersConfig(t testing.TB, discovery string, known ...string) *Config {
	t.Helper()
	return ordersConfigWith(t, discovery, testSettings, known...)
}

func ordersConfigWith(t testing.TB, discovery, settings string, known ...string) *Config {
	t.Helper()
	c, err := parseConfig(fmt.Appendf(nil, `{"name":"n1","listen":"127.0.0.1:9000","ops":"127.0.0.1:0","discovery":%q,"seed":"1f","service":"orders",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`, discovery, list(1, true, known...), settings))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// probeSettings is testSettings with one more class, probe.
var probeSettings = strings.Replace(testSettings, `{"Name":"search"`, probeClass, 1)

// documentOutcome is the outcome of one document in a hollow sidecar.
type documentOutcome struct {
	region   string
	version  int64
	rejected string
}

// startHollowWithOutcomes starts a hollow sidecar, and returns a channel of the outcomes of its documents.
func startHollowWithOutcomes(t testing.TB, c *Config) (outcomes chan documentOutcome, end func()) {
	t.Helper()
	outcomes = make(chan documentOutcome, 64)
	return outcomes, startHollow(t, c, HollowObserver{OnSettings: func(region string, version int64, rejected error, _ time.Time) {
		outcome := documentOutcome{region: region, version: version}
		if rejected != nil {
			outcome.rejected = rejected.Error()
		}
		outcomes <- outcome
	}})
}

// expectOutcome waits for the next outcome and checks its version and its rejection, which must contain rejected, or be empty if
// rejected is empty.
func expectOutcome(t testing.TB, outcomes chan documentOutcome, version int64, rejected string) {
	t.Helper()
	select {
	case got := <-outcomes:
		if got.version != version || (got.rejected == "") != (rejected == "") || !strings.Contains(got.rejected, rejected) {
			t.Errorf("got outcome %+v, want version %d, rejected %q", got, version, rejected)
		}
	case <-time.After(testTimeout):
		t.Fatalf("got no outcome in time, want version %d", version)
	}
}

// expectNoOutcome fails the test if there is another outcome.
func expectNoOutcome(t testing.TB, outcomes chan documentOutcome) {
	t.Helper()
	select {
	case got := <-outcomes:
		t.Errorf("got outcome %+v, want none", got)
	default:
	}
}
