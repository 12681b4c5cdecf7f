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

// lateService is a list behind calls of which one may be carried out late.
type lateService struct {
	*httptest.Server
	t       *testing.T
	changed chan struct{} // after each answer

	mu    sync.Mutex
	list  *lists.List
	calls []string
	fate  string         // of the next write: "late", "no answer", "unknown" or "": as it should be
	held  *lists.Command // the one that is on its way
}

func newLateService(t *testing.T) *lateService {
	s := &lateService{t: t, list: lists.New(lists.CompactionWindow), changed: make(chan struct{}, 1000)}
	s.Server = httptest.NewServer(s)
	t.Cleanup(s.Close)
	return s
}

func (s *lateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	outcome := s.fate
	s.fate = ""
	if outcome == "late" {
		s.held = &c
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

// next decides what becomes of the next write.
func (s *lateService) next(outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fate = outcome
}

// apply carries a command out beside the calls.
func (s *lateService) apply(c lists.Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Apply(c)
}

// arrives carries out what was on its way.
func (s *lateService) arrives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held == nil {
		s.t.Error("nothing was on its way")
		return
	}
	s.list.Apply(*s.held)
}

func (s *lateService) own() (own, hand string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.list.Get("u")
	if !ok {
		return api.Removed, e.AdminState
	}
	return e.ServerStatus, e.AdminState
}

// settled waits until the registrar has nothing to tell.
func (s *lateService) settled(r *Registrar) {
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

// said are the calls since it was last asked.
func (s *lateService) said() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := strings.Join(s.calls, " ")
	s.calls = nil
	return all
}

func startRegistrar(t *testing.T, s *lateService, lease time.Duration) *Registrar {
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

func lateWish(incarnation int64) api.Registration {
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
			s := newLateService(t)
			r := startRegistrar(t, s, time.Minute)
			for i, status := range wishes {
				if i == len(wishes)-2 {
					s.next("late")
				}
				r.Set("u", lateWish(7), status)
				s.settled(r)
				if own, _ := s.own(); own != status {
					t.Fatalf("wish %d: %s, not %s", i, own, status)
				}
			}
			s.arrives()
			if own, _ := s.own(); own != wishes[len(wishes)-1] {
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
			s := newLateService(t)
			r := startRegistrar(t, s, time.Minute)
			for i, x := range steps {
				if x.before != nil {
					s.apply(*x.before)
				}
				s.next(x.fate)
				r.Set("u", lateWish(7), x.status)
				s.settled(r)
				own, hand := s.own()
				if calls := s.said(); calls != x.calls || own != x.own || hand != x.hand {
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
	s := newLateService(t)
	r := startRegistrar(t, s, api.MinLeaseMs*time.Millisecond)
	r.Set("u", lateWish(7), api.Ready)
	s.settled(r)
	s.apply(lists.Command{Op: lists.Expire, Expired: []api.Heartbeat{{Name: "u", Incarnation: 7}}})
	for end := time.After(10 * time.Second); ; {
		if own, _ := s.own(); own == api.Ready {
			break
		}
		select {
		case <-s.changed:
		case <-end:
			t.Fatal("not registered again in 10 s")
		}
	}
	if calls := s.said(); calls != "register register" {
		t.Error(fmt.Sprint("calls: ", calls))
	}
}
