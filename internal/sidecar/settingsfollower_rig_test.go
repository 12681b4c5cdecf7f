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

// fakeService is a list service of one replica as sidecars see it: its list never changes, the settings of one service do.
type fakeService struct {
	address string
	srv     *http.Server

	mu          sync.Mutex
	list        string // the entries of its list
	index       int64
	announced   api.Document // Version 0: there is none
	changed     chan struct{}
	watchURIs   []string // of watches, as they were asked
	acks        []api.Ack
	rejectsAcks bool // acks
}

func newListService(t testing.TB, entries ...string) *fakeService {
	t.Helper()
	s := &fakeService{list: strings.Join(entries, ","), index: 1, changed: make(chan struct{})}
	s.listenOn(t, "127.0.0.1:0")
	return s
}

// listenOn answers at an address, until stop.
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
	line := func(l any) {
		text, err := json.Marshal(l)
		if err != nil {
			panic(err)
		}
		_, _ = w.Write(append(text, '\n'))
		_ = http.NewResponseController(w).Flush()
	}
	held, first := r.FormValue("held"), r.FormValue("from") != "1"
	for {
		s.mu.Lock()
		d, index, again := s.announced, s.index, s.changed
		text := fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, first, s.list)
		s.mu.Unlock()
		var l map[string]any
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			panic(err)
		}
		if !first {
			l["endpoints"] = []any{}
		}
		now := fmt.Sprintf("%s@%d", d.Region, d.Revision)
		news := d.Revision > 0 && d.Service == r.FormValue("service") && now != held
		if news {
			l["documents"], held = []api.Document{d}, now
		}
		if first || news {
			line(l)
		} else {
			_, _ = io.WriteString(w, "\n")
			_ = http.NewResponseController(w).Flush()
		}
		first = false
		select {
		case <-ctx.Done():
			return
		case <-again:
		case <-time.After(time.Second): // a heartbeat
		}
	}
}

// announce changes the settings.
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

// lastAck is the last ack; a zero one: there was none.
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

// ordersConfig is testConfig for a sidecar of the service orders.
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

// probeSettings are settings with one more class.
var probeSettings = strings.Replace(testSettings, `{"Name":"search"`, probeClass, 1)

// documentOutcome is what a hollow sidecar was told of a document.
type documentOutcome struct {
	region   string
	version  int64
	rejected string
}

// startHollowWithOutcomes is a hollow sidecar of the service, and what it says of documents.
func startHollowWithOutcomes(t testing.TB, c *Config) (outcomes chan documentOutcome, end func()) {
	t.Helper()
	outcomes = make(chan documentOutcome, 64)
	return outcomes, startHollow(t, c, HollowObserver{OnSettings: func(region string, version int64, rejected error, _ time.Time) {
		j := documentOutcome{region: region, version: version}
		if rejected != nil {
			j.rejected = rejected.Error()
		}
		outcomes <- j
	}})
}

// expectOutcome waits for what a hollow sidecar says next, and compares; a rejection has to hold the words.
func expectOutcome(t testing.TB, outcomes chan documentOutcome, version int64, rejected string) {
	t.Helper()
	select {
	case j := <-outcomes:
		if j.version != version || (j.rejected == "") != (rejected == "") || !strings.Contains(j.rejected, rejected) {
			t.Errorf("told %+v, not version %d, rejected %q", j, version, rejected)
		}
	case <-time.After(testTimeout):
		t.Fatalf("nothing was said of version %d", version)
	}
}

// expectNoOutcome fails where anything more was said.
func expectNoOutcome(t testing.TB, outcomes chan documentOutcome) {
	t.Helper()
	select {
	case j := <-outcomes:
		t.Errorf("told %+v, too", j)
	default:
	}
}
