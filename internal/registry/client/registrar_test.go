package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"mosslead/internal/registry/api"
	lists "mosslead/internal/registry/list"
)

// fakeListService is a list service with one entry, "u". It can lose the response to a write, and apply a write late.
type fakeListService struct {
	*httptest.Server
	t       *testing.T
	changed chan struct{} // receives a value after each response

	mu          sync.Mutex
	list        *lists.List
	calls       []string
	nextOutcome string         // of the next write: "late", "no answer", "unknown", or "" for success
	delayed     *lists.Command // the write that is applied late
}

func newFakeListService(t *testing.T) *fakeListService {
	s := &fakeListService{t: t, list: lists.New(lists.CompactionWindow), changed: make(chan struct{}, 1000)}
	s.Server = httptest.NewServer(s)
	t.Cleanup(s.Close)
	return s
}

func (s *fakeListService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer func() {
		s.mu.Unlock()
		s.changed <- struct{}{}
	}()
	if r.URL.Path == "/v1/renew" {
		var change api.Heartbeats
		renewed := api.HeartbeatResult{Expired: []string{}}
		if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
			s.t.Errorf("decoding a request: got error %v, want nil", err)
		}
		for _, heartbeat := range change.Heartbeats {
			if record, ok := s.list.Get(heartbeat.Name); !ok || record.Incarnation != heartbeat.Incarnation {
				renewed.Expired = append(renewed.Expired, heartbeat.Name)
			}
		}
		_ = json.NewEncoder(w).Encode(renewed)
		return
	}
	if r.Method == http.MethodGet {
		if r.FormValue("consistent") == "" {
			s.t.Error("got a read without consistent=1, want a consistent read")
		}
		s.calls = append(s.calls, "read")
		record, _ := s.list.Get("u")
		_ = json.NewEncoder(w).Encode(record)
		return
	}
	command := lists.Command{Op: lists.Register, Name: "u"}
	if r.Method == http.MethodPut {
		command.Registration = &api.Registration{}
		if err := json.NewDecoder(r.Body).Decode(command.Registration); err != nil {
			s.t.Errorf("decoding a request: got error %v, want nil", err)
		}
		command.IfRevision = command.Registration.IfRevision
	} else {
		var change api.StateChange
		if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
			s.t.Errorf("decoding a request: got error %v, want nil", err)
		}
		command.Op = r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
		command.Incarnation, command.IfRevision = change.Incarnation, change.IfRevision
	}
	s.calls = append(s.calls, command.Op)
	outcome := s.nextOutcome
	s.nextOutcome = ""
	if outcome == "late" {
		s.delayed = &command
	} else {
		result := s.list.Apply(command)
		if outcome == "" {
			if result.Err != nil {
				w.WriteHeader(http.StatusConflict)
				_ = json.NewEncoder(w).Encode(result.Err)
				return
			}
			_ = json.NewEncoder(w).Encode(api.WriteResult{Revision: result.Revision})
			return
		}
	}
	if outcome == "unknown" {
		w.WriteHeader(http.StatusGatewayTimeout)
		_ = json.NewEncoder(w).Encode(api.Errorf(api.CodeOutcomeUnknown, "test"))
		return
	}
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// setNextOutcome sets the outcome of the next write.
func (s *fakeListService) setNextOutcome(outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextOutcome = outcome
}

// apply applies a command that no call has requested.
func (s *fakeListService) apply(command lists.Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Apply(command)
}

// applyDelayed applies the delayed write.
func (s *fakeListService) applyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayed == nil {
		s.t.Error("got no delayed write, want one")
		return
	}
	s.list.Apply(*s.delayed)
}

func (s *fakeListService) entryStatus() (status, adminState string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, ok := s.list.Get("u")
	if !ok {
		return api.Removed, record.AdminState
	}
	return record.ServerStatus, record.AdminState
}

// waitSettled waits until the service has confirmed the desired state of the entry.
func (s *fakeListService) waitSettled(r *Registrar) {
	s.t.Helper()
	for end := time.After(10 * time.Second); ; {
		r.mu.Lock()
		desired := r.desired["u"]
		settled := desired == nil || desired.settled
		r.mu.Unlock()
		if settled {
			return
		}
		select {
		case <-s.changed:
		case <-time.After(time.Millisecond): // the registrar may not have received the response yet
		case <-end:
			s.t.Fatal("got no settled entry within 10 s, want one")
		}
	}
}

// takeCalls returns the calls since it was last called.
func (s *fakeListService) takeCalls() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := strings.Join(s.calls, " ")
	s.calls = nil
	return calls
}

func startRegistrar(t *testing.T, s *fakeListService, lease time.Duration) *Registrar {
	c := New([]string{s.Listener.Addr().String()})
	r := NewRegistrar(c, lease, func(name string, err error) { t.Logf("%s: %v", name, err) })
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
		c.Close()
	})
	return r
}

func registration(incarnation int64) api.Registration {
	return api.Registration{Address: "127.0.0.1:1", Weight: 1, Incarnation: incarnation}
}

// Guards against a server's write that is carried out late and overrides a newer one, so that a draining server gets requests again.
func TestAServersWordIsNotCarriedOutLate(t *testing.T) {
	for name, statuses := range map[string][]string{ // the write before the last one is carried out late
		"a registration over a drain":        {api.Ready, api.Terminating},
		"a drain over a registration":        {api.Ready, api.Terminating, api.Ready},
		"a leave over a registration":        {api.Ready, api.Removed, api.Ready},
		"a registration over a second drain": {api.Ready, api.Terminating, api.Ready, api.Terminating},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeListService(t)
			r := startRegistrar(t, s, time.Minute)
			for i, status := range statuses {
				if i == len(statuses)-2 {
					s.setNextOutcome("late")
				}
				r.Set("u", registration(7), status)
				s.waitSettled(r)
				if got, _ := s.entryStatus(); got != status {
					t.Fatalf("write %d: got status %s, want %s", i, got, status)
				}
			}
			s.applyDelayed()
			if got, _ := s.entryStatus(); got != statuses[len(statuses)-1] {
				t.Errorf("after the late write: got status %s, want %s", got, statuses[len(statuses)-1])
			}
		})
	}
}

// Checks that a change takes one call if its response arrives, and that it is settled even if responses are lost.
func TestWhatAServersWordCosts(t *testing.T) {
	ban := lists.Command{Op: lists.SetAdminState, Name: "u", AdminState: api.AdminBan}
	expire := lists.Command{Op: lists.Expire, Expired: []api.Heartbeat{{Name: "u", Incarnation: 7}}}
	older := lists.Command{Op: lists.Register, Name: "u", Registration: &api.Registration{Address: "127.0.0.1:1", Weight: 1, Incarnation: 6}}
	newer := lists.Command{Op: lists.Register, Name: "u", Registration: &api.Registration{Address: "127.0.0.1:1", Weight: 1, Incarnation: 8}}
	type step struct {
		before         *lists.Command // applied before the status is set, or nil
		outcome        string         // of the first write
		status         string         // the one to be set
		wantCalls      string
		wantStatus     string
		wantAdminState string
	}
	for name, steps := range map[string][]step{
		"response received": {
			{status: api.Ready, wantCalls: "register", wantStatus: api.Ready},
			{status: api.Terminating, wantCalls: "drain", wantStatus: api.Terminating},
			{status: api.Ready, wantCalls: "register", wantStatus: api.Ready},
			{status: api.Removed, wantCalls: "leave", wantStatus: api.Removed},
			{status: api.Ready, wantCalls: "register", wantStatus: api.Ready},
		},
		"response lost": {
			{outcome: "no answer", status: api.Ready, wantCalls: "register read register", wantStatus: api.Ready},
			{outcome: "no answer", status: api.Terminating, wantCalls: "drain read drain", wantStatus: api.Terminating},
			{outcome: "no answer", status: api.Removed, wantCalls: "leave read leave", wantStatus: api.Removed},
		},
		"outcome unknown": {
			{outcome: "unknown", status: api.Ready, wantCalls: "register read register", wantStatus: api.Ready},
			{outcome: "unknown", status: api.Terminating, wantCalls: "drain read drain", wantStatus: api.Terminating},
			{outcome: "unknown", status: api.Removed, wantCalls: "leave read leave", wantStatus: api.Removed},
		},
		"change by an operator in between": {
			{status: api.Ready, wantCalls: "register", wantStatus: api.Ready},
			{before: &ban, status: api.Terminating, wantCalls: "drain read drain", wantStatus: api.Terminating, wantAdminState: api.AdminBan},
			{status: api.Removed, wantCalls: "leave", wantStatus: api.Removed, wantAdminState: api.AdminBan},
		},
		"entry expired": {
			{status: api.Ready, wantCalls: "register", wantStatus: api.Ready},
			{before: &expire, status: api.Terminating, wantCalls: "drain read drain", wantStatus: api.Removed},
			{status: api.Removed, wantCalls: "read leave", wantStatus: api.Removed},
		},
		"entry of an older process": {{before: &older, status: api.Ready, wantCalls: "register read register", wantStatus: api.Ready}},
		"entry of a newer process":  {{before: &newer, status: api.Ready, wantCalls: "register read register", wantStatus: api.Ready}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeListService(t)
			r := startRegistrar(t, s, time.Minute)
			for i, step := range steps {
				if step.before != nil {
					s.apply(*step.before)
				}
				s.setNextOutcome(step.outcome)
				r.Set("u", registration(7), step.status)
				s.waitSettled(r)
				status, adminState := s.entryStatus()
				if calls := s.takeCalls(); calls != step.wantCalls || status != step.wantStatus || adminState != step.wantAdminState {
					t.Errorf("step %d: got status %s, administrative state %q after calls %q; want %s, %q after %q", i, status, adminState, calls, step.wantStatus, step.wantAdminState, step.wantCalls)
				}
			}
			if name == "entry of a newer process" {
				if record, _ := s.list.Get("u"); record.Incarnation != 8 {
					t.Errorf("got incarnation %d, want 8", record.Incarnation)
				}
			}
		})
	}
}

// Checks that an expired entry is registered again with one call, as soon as a renewal reports it as expired.
func TestALapsedEntryIsRegisteredAgain(t *testing.T) {
	s := newFakeListService(t)
	r := startRegistrar(t, s, api.MinLeaseMs*time.Millisecond)
	r.Set("u", registration(7), api.Ready)
	s.waitSettled(r)
	s.apply(lists.Command{Op: lists.Expire, Expired: []api.Heartbeat{{Name: "u", Incarnation: 7}}})
	for end := time.After(10 * time.Second); ; {
		if status, _ := s.entryStatus(); status == api.Ready {
			break
		}
		select {
		case <-s.changed:
		case <-end:
			t.Fatal("got no second registration within 10 s, want one")
		}
	}
	if calls := s.takeCalls(); calls != "register register" {
		t.Errorf("got calls %q, want %q", calls, "register register")
	}
}
