package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"mosslead/internal/registry/api"
	lists "mosslead/internal/registry/list"
)

// fakeListService is a list behind calls of which one may be carried out late.
type fakeListService struct {
	*httptest.Server
	t       *testing.T
	changed chan struct{} // after each answer

	mu          sync.Mutex
	list        *lists.List
	calls       []string
	nextOutcome string         // of the next write: "late", "no answer", "unknown" or "": as it should be
	delayed     *lists.Command // the one that is on its way
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
		done := api.HeartbeatResult{Expired: []string{}}
		if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
			s.t.Error(err)
		}
		for _, x := range change.Heartbeats {
			if e, ok := s.list.Get(x.Name); !ok || e.Incarnation != x.Incarnation {
				done.Expired = append(done.Expired, x.Name)
			}
		}
		_ = json.NewEncoder(w).Encode(done)
		return
	}
	if r.Method == http.MethodGet {
		if r.FormValue("consistent") == "" {
			s.t.Error("read what may be old")
		}
		s.calls = append(s.calls, "read")
		e, _ := s.list.Get("u")
		_ = json.NewEncoder(w).Encode(e)
		return
	}
	c := lists.Command{Op: lists.Register, Name: "u"}
	if r.Method == http.MethodPut {
		c.Registration = &api.Registration{}
		if err := json.NewDecoder(r.Body).Decode(c.Registration); err != nil {
			s.t.Error(err)
		}
		c.IfRevision = c.Registration.IfRevision
	} else {
		var change api.StateChange
		if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
			s.t.Error(err)
		}
		c.Op = r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
		c.Incarnation, c.IfRevision = change.Incarnation, change.IfRevision
	}
	s.calls = append(s.calls, c.Op)
	outcome := s.nextOutcome
	s.nextOutcome = ""
	if outcome == "late" {
		s.delayed = &c
	} else {
		result := s.list.Apply(c)
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

// setNextOutcome decides what becomes of the setNextOutcome write.
func (s *fakeListService) setNextOutcome(outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextOutcome = outcome
}

// apply carries a command out beside the calls.
func (s *fakeListService) apply(c lists.Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Apply(c)
}

// applyDelayed carries out what was on its way.
func (s *fakeListService) applyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayed == nil {
		s.t.Error("nothing was on its way")
		return
	}
	s.list.Apply(*s.delayed)
}

func (s *fakeListService) entryStatus() (own, hand string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.list.Get("u")
	if !ok {
		return api.Removed, e.AdminState
	}
	return e.ServerStatus, e.AdminState
}

// waitSettled waits until the registrar has nothing to tell.
func (s *fakeListService) waitSettled(r *Registrar) {
	s.t.Helper()
	for end := time.After(10 * time.Second); ; {
		r.mu.Lock()
		w := r.desired["u"]
		done := w == nil || w.settled
		r.mu.Unlock()
		if done {
			return
		}
		select {
		case <-s.changed:
		case <-time.After(time.Millisecond): // the answer is on its way back
		case <-end:
			s.t.Fatal("not settled in 10 s")
		}
	}
}

// takeCalls are the calls since it was last asked.
func (s *fakeListService) takeCalls() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := strings.Join(s.calls, " ")
	s.calls = nil
	return all
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

// Guards against a server's word that is carried out a second time, over what it said since: work to a server that drains.
func TestAServersWordIsNotCarriedOutLate(t *testing.T) {
	for name, wishes := range map[string][]string{ // the one before the last comes late
		"a registration over a drain":        {api.Ready, api.Terminating},
		"a drain over a registration":        {api.Ready, api.Terminating, api.Ready},
		"a leave over a registration":        {api.Ready, api.Removed, api.Ready},
		"a registration over a second drain": {api.Ready, api.Terminating, api.Ready, api.Terminating},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeListService(t)
			r := startRegistrar(t, s, time.Minute)
			for i, status := range wishes {
				if i == len(wishes)-2 {
					s.setNextOutcome("late")
				}
				r.Set("u", registration(7), status)
				s.waitSettled(r)
				if own, _ := s.entryStatus(); own != status {
					t.Fatalf("wish %d: %s, not %s", i, own, status)
				}
			}
			s.applyDelayed()
			if own, _ := s.entryStatus(); own != wishes[len(wishes)-1] {
				t.Errorf("%s after the late one, not %s", own, wishes[len(wishes)-1])
			}
		})
	}
}

// Guards against calls that a change costs where answers come, and against one that is not settled where they don't.
func TestWhatAServersWordCosts(t *testing.T) {
	ban := lists.Command{Op: lists.SetAdminState, Name: "u", AdminState: api.AdminBan}
	lapse := lists.Command{Op: lists.Expire, Expired: []api.Heartbeat{{Name: "u", Incarnation: 7}}}
	older := lists.Command{Op: lists.Register, Name: "u", Registration: &api.Registration{Address: "127.0.0.1:1", Weight: 1, Incarnation: 6}}
	newer := lists.Command{Op: lists.Register, Name: "u", Registration: &api.Registration{Address: "127.0.0.1:1", Weight: 1, Incarnation: 8}}
	type step struct {
		before *lists.Command
		fate   string
		status string
		calls  string
		own    string
		hand   string
	}
	for name, steps := range map[string][]step{
		"answers come": {
			{status: api.Ready, calls: "register", own: api.Ready},
			{status: api.Terminating, calls: "drain", own: api.Terminating},
			{status: api.Ready, calls: "register", own: api.Ready},
			{status: api.Removed, calls: "leave", own: api.Removed},
			{status: api.Ready, calls: "register", own: api.Ready},
		},
		"no answer": {
			{fate: "no answer", status: api.Ready, calls: "register read register", own: api.Ready},
			{fate: "no answer", status: api.Terminating, calls: "drain read drain", own: api.Terminating},
			{fate: "no answer", status: api.Removed, calls: "leave read leave", own: api.Removed},
		},
		"the answer is that nobody knows": {
			{fate: "unknown", status: api.Ready, calls: "register read register", own: api.Ready},
			{fate: "unknown", status: api.Terminating, calls: "drain read drain", own: api.Terminating},
			{fate: "unknown", status: api.Removed, calls: "leave read leave", own: api.Removed},
		},
		"an operator's word between": {
			{status: api.Ready, calls: "register", own: api.Ready},
			{before: &ban, status: api.Terminating, calls: "drain read drain", own: api.Terminating, hand: api.AdminBan},
			{status: api.Removed, calls: "leave", own: api.Removed, hand: api.AdminBan},
		},
		"it has lapsed": {
			{status: api.Ready, calls: "register", own: api.Ready},
			{before: &lapse, status: api.Terminating, calls: "drain read drain", own: api.Removed},
			{status: api.Removed, calls: "read leave", own: api.Removed},
		},
		"a process before it": {{before: &older, status: api.Ready, calls: "register read register", own: api.Ready}},
		"a process after it":  {{before: &newer, status: api.Ready, calls: "register read register", own: api.Ready}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeListService(t)
			r := startRegistrar(t, s, time.Minute)
			for i, x := range steps {
				if x.before != nil {
					s.apply(*x.before)
				}
				s.setNextOutcome(x.fate)
				r.Set("u", registration(7), x.status)
				s.waitSettled(r)
				own, hand := s.entryStatus()
				if calls := s.takeCalls(); calls != x.calls || own != x.own || hand != x.hand {
					t.Errorf("step %d: %s after %q, by hand %q", i, own, calls, hand)
				}
			}
			if name == "a process after it" {
				if e, _ := s.list.Get("u"); e.Incarnation != 8 {
					t.Errorf("incarnation %d", e.Incarnation)
				}
			}
		})
	}
}

// An entry that has lapsed is registered again with one call, as soon as a renewal says so.
func TestALapsedEntryIsRegisteredAgain(t *testing.T) {
	s := newFakeListService(t)
	r := startRegistrar(t, s, api.MinLeaseMs*time.Millisecond)
	r.Set("u", registration(7), api.Ready)
	s.waitSettled(r)
	s.apply(lists.Command{Op: lists.Expire, Expired: []api.Heartbeat{{Name: "u", Incarnation: 7}}})
	for end := time.After(10 * time.Second); ; {
		if own, _ := s.entryStatus(); own == api.Ready {
			break
		}
		select {
		case <-s.changed:
		case <-end:
			t.Fatal("not registered again in 10 s")
		}
	}
	if calls := s.takeCalls(); calls != "register register" {
		t.Error(fmt.Sprint("calls: ", calls))
	}
}
