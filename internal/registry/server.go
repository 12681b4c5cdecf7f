package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/google/renameio/v2"
	"github.com/hashicorp/raft"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

const (
	maxBody         = 1 << 20                // bytes of a request body; enough to renew 10,000 leases
	maxRestore      = 64 << 20               // bytes of a backup, and of the response to a forwarded call
	forwardedHeader = "X-Registry-Forwarded" // on calls that another replica has forwarded
)

// server returns the HTTP server of the API. Any replica whose list is fresh enough serves reads of the list; all other calls are served
// by the leader, to which other replicas forward them. A forwarded call is not forwarded again.
func (n *Node) server(ctx context.Context) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", n.targets)
	mux.HandleFunc("GET /v1/identity", n.serveIdentity)
	mux.HandleFunc("GET /v1/status", n.status)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", n.readyz)
	mux.HandleFunc("GET /v1/entries", n.onAnyReplica(n.entries))
	mux.HandleFunc("GET /v1/entries/{name}", n.onAnyReplica(n.entry))
	mux.HandleFunc("PUT /v1/entries/{name}", n.onLeader(maxBody, n.register))
	for _, op := range []string{list.Drain, list.Deregister, list.SetAdminState} {
		mux.HandleFunc("POST /v1/entries/{name}/"+op, n.onLeader(maxBody, n.changeEntry(op)))
	}
	mux.HandleFunc("POST /v1/renew", n.onLeader(maxBody, n.renew))
	mux.HandleFunc("GET /v1/duties", n.onAnyReplica(n.listLeaderships))
	mux.HandleFunc("POST /v1/duties/{name}/take", n.onLeader(maxClaimBody, n.acquireLeadership))
	mux.HandleFunc("POST /v1/duties/{name}/renew", n.onLeader(maxClaimBody, n.changeLeadership(list.RenewLeadership)))
	mux.HandleFunc("POST /v1/duties/{name}/release", n.onLeader(maxClaimBody, n.changeLeadership(list.ReleaseLeadership)))
	mux.HandleFunc("GET /v1/settings", n.onAnyReplica(n.documents))
	mux.HandleFunc("GET /v1/settings/{service}", n.onAnyReplica(n.document))
	mux.HandleFunc("GET /v1/settings/{service}/versions/{version}", n.onAnyReplica(n.document))
	mux.HandleFunc("PUT /v1/settings/{service}", n.onLeader(maxBody, n.putSettings))
	mux.HandleFunc("POST /v1/settings/{service}/delete", n.onLeader(maxBody, n.deleteSettings))
	mux.HandleFunc("POST /v1/acks", n.onLeader(maxBody, n.recordAcks))
	mux.HandleFunc("GET /v1/rollouts", n.onLeader(maxBody, n.rollouts))
	mux.HandleFunc("POST /v1/overrule", n.onLeader(maxBody, n.overrule))
	mux.HandleFunc("POST /v1/announce", n.onLeader(maxBody, n.recordAnnouncement))
	mux.HandleFunc("POST /v1/replicas", n.onLeader(maxBody, n.addReplica))
	mux.HandleFunc("DELETE /v1/replicas/{name}", n.onLeader(maxBody, n.removeReplica))
	mux.HandleFunc("GET /v1/backup", n.onLeader(maxBody, n.backup))
	mux.HandleFunc("POST /v1/restore", n.onLeader(maxRestore, n.restore))
	return &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second, IdleTimeout: time.Minute,
		MaxHeaderBytes: 16 << 10, BaseContext: func(net.Listener) context.Context { return ctx }}
}

// handler serves a call whose body has been read. It returns the value to respond with, or an error.
type handler func(r *http.Request, body []byte) (any, error)

// onLeader serves a call here if this replica leads, and otherwise forwards it to the leader. A request body may
// have at most limit bytes.
func (n *Node) onLeader(limit int64, handle handler) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, limit))
		if err != nil {
			writeError(rw, api.Errorf(api.CodeBadRequest, "%v", err))
			return
		}
		if n.isLeader() {
			writeAnswer(rw, r, body, handle)
			return
		}
		url, ok := n.leaderURL()
		if !ok || r.Header.Get(forwardedHeader) != "" {
			writeError(rw, api.Errorf(api.CodeNoLeader, "%s knows of no leader", n.self.Name))
			return
		}
		n.forward(rw, r, url, body)
	}
}

// onAnyReplica serves a read here, or on the leader if the caller requires a linearizable read.
func (n *Node) onAnyReplica(handle handler) http.HandlerFunc {
	linearizable := n.onLeader(maxBody, func(r *http.Request, body []byte) (any, error) {
		if err := n.barrier(); err != nil {
			return nil, err
		}
		return handle(r, body)
	})
	return func(rw http.ResponseWriter, r *http.Request) {
		if r.FormValue("consistent") != "" && n.config.Breaks != faultStaleRead {
			linearizable(rw, r)
			return
		}
		if err := n.checkFreshness(); err != nil {
			writeError(rw, err)
			return
		}
		writeAnswer(rw, r, nil, handle)
	}
}

func (n *Node) forward(rw http.ResponseWriter, r *http.Request, url string, body []byte) {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, url+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		writeError(rw, api.Errorf(api.CodeBadRequest, "%v", err))
		return
	}
	req.Header.Set(forwardedHeader, n.self.Name)
	resp, err := n.client.Do(req)
	if err != nil {
		code := api.CodeOutcomeUnknown
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" { // the call was never sent
			code = api.CodeNoLeader
		}
		writeError(rw, api.Errorf(code, "%v", err))
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxRestore))
	if err != nil {
		writeError(rw, api.Errorf(api.CodeOutcomeUnknown, "%v", err))
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(resp.StatusCode)
	_, _ = rw.Write(text)
}

func writeAnswer(rw http.ResponseWriter, r *http.Request, body []byte, handle handler) {
	answer, err := handle(r, body)
	if err != nil {
		writeError(rw, err)
		return
	}
	text, err := json.Marshal(answer)
	if err != nil {
		writeError(rw, err)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(append(text, '\n'))
}

var statusByCode = map[string]int{api.CodeBadRequest: http.StatusBadRequest, api.CodeOlderIncarnation: http.StatusConflict, api.CodeConflict: http.StatusConflict,
	api.CodeNotFound: http.StatusNotFound, api.CodeFull: http.StatusServiceUnavailable, api.CodeNoLeader: http.StatusServiceUnavailable,
	api.CodeStale: http.StatusServiceUnavailable, api.CodeOutcomeUnknown: http.StatusGatewayTimeout,
	api.CodeOlderReplica: http.StatusServiceUnavailable}

// writeError writes an error as JSON. An error without a code gets CodeOutcomeUnknown.
func writeError(rw http.ResponseWriter, err error) {
	var apiErr *api.Error
	if !errors.As(err, &apiErr) {
		apiErr = api.Errorf(api.CodeOutcomeUnknown, "%v", err)
	}
	text, _ := json.Marshal(apiErr) // can't fail for two strings
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(statusByCode[apiErr.Code])
	_, _ = rw.Write(append(text, '\n'))
}

// decodeBody decodes a body. Unknown fields are errors, so that a request that is not fully understood does not seem to succeed.
func decodeBody(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return api.Errorf(api.CodeBadRequest, "%v", err)
	}
	if decoder.More() {
		return api.Errorf(api.CodeBadRequest, "more than one value")
	}
	return nil
}

func (n *Node) targets(rw http.ResponseWriter, r *http.Request) {
	if r.FormValue("watch") != "" {
		n.watches.serve(rw, r)
		return
	}
	if err := n.checkFreshness(); err != nil {
		writeError(rw, err)
		return
	}
	writeAnswer(rw, r, nil, func(*http.Request, []byte) (any, error) {
		var event api.WatchEvent
		n.fsm.read(func(l *list.List) { event = l.Full() })
		return event, nil
	})
}

func (n *Node) entries(*http.Request, []byte) (any, error) {
	var all api.Records
	n.fsm.read(func(l *list.List) { all = api.Records{Revision: l.Revision(), Records: l.Records()} })
	return all, nil
}

func (n *Node) entry(r *http.Request, _ []byte) (any, error) {
	var record api.Record
	n.fsm.read(func(l *list.List) { record, _ = l.Get(r.PathValue("name")) })
	return record, nil
}

func (n *Node) applyWrite(c list.Command) (any, error) {
	result, err := n.apply(c)
	return api.WriteResult{Revision: result.Revision}, err
}

func (n *Node) register(r *http.Request, body []byte) (any, error) {
	registration := api.Registration{Weight: 1}
	if err := decodeBody(body, &registration); err != nil {
		return nil, err
	}
	if err := registration.Check(r.PathValue("name")); err != nil {
		return nil, err
	}
	return n.applyWrite(list.Command{Op: list.Register, Name: r.PathValue("name"), Registration: &registration, IfRevision: registration.IfRevision})
}

func (n *Node) changeEntry(op string) handler {
	return func(r *http.Request, body []byte) (any, error) {
		var change api.StateChange
		if len(body) > 0 {
			if err := decodeBody(body, &change); err != nil {
				return nil, err
			}
		}
		name := r.PathValue("name")
		switch {
		case len(name) > api.MaxName:
			return nil, api.Errorf(api.CodeBadRequest, "name: at most %d bytes", api.MaxName)
		case op == list.SetAdminState && change.AdminState != api.AdminNone && change.AdminState != api.AdminDrain && change.AdminState != api.AdminBan:
			return nil, api.Errorf(api.CodeBadRequest, "hand: drain, ban or nothing, not %.40q", change.AdminState)
		}
		return n.applyWrite(list.Command{Op: op, Name: name, Incarnation: change.Incarnation, AdminState: change.AdminState, IfRevision: change.IfRevision})
	}
}

func (n *Node) renew(_ *http.Request, body []byte) (any, error) {
	var heartbeats api.Heartbeats
	if err := decodeBody(body, &heartbeats); err != nil {
		return nil, err
	}
	expired := []string{}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leading {
		return nil, api.Errorf(api.CodeNoLeader, "%s leads no more", n.self.Name)
	}
	now := n.now()
	for _, heartbeat := range heartbeats.Heartbeats {
		if !n.leases.renew(now, heartbeat) {
			expired = append(expired, heartbeat.Name)
		}
	}
	return api.HeartbeatResult{Expired: expired}, nil
}

// overrule makes the next check of leases remove the entries that are preserved because too many leases expired at once.
func (n *Node) overrule(*http.Request, []byte) (any, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	expired := n.leases.expiredNames(n.now())
	if !n.leases.preserving {
		return nil, api.Errorf(api.CodeConflict, "there is nothing to overrule")
	}
	n.leases.overruled = true
	return api.HeartbeatResult{Expired: expired}, nil
}

func (n *Node) serveIdentity(rw http.ResponseWriter, r *http.Request) {
	writeAnswer(rw, r, nil, func(*http.Request, []byte) (any, error) {
		id := api.Identity{Replica: n.self, Formed: n.raft.Load() != nil, Members: n.members()}
		for _, name := range n.voterNames() {
			if _, ok := id.Members[name]; !ok {
				id.Members[name] = api.Replica{Name: name} // this voter has not announced itself yet
			}
		}
		return id, nil
	})
}

func (n *Node) status(rw http.ResponseWriter, r *http.Request) {
	writeAnswer(rw, r, nil, func(*http.Request, []byte) (any, error) { return n.Status(), nil })
}

// Status returns the state of this replica, and the state of the service as this replica knows it.
func (n *Node) Status() api.Status {
	s := api.Status{Replica: n.self, State: "starting", Members: n.members(), Voters: n.voterNames(), Watchers: n.watches.activeCount(), StalenessMs: -1,
		Region: n.config.Region}
	if freshAt := time.Duration(n.freshAt.Load()); freshAt > 0 {
		s.StalenessMs = (n.now() - freshAt).Milliseconds()
	}
	n.fsm.read(func(l *list.List) { s.Revision, s.Endpoints = l.Revision(), l.Len() })
	n.mu.Lock()
	if n.leading {
		s.Preserving, s.ExpiredLeases = n.leases.preserving, n.leases.expiredNames(n.now())
	}
	n.mu.Unlock()
	s.Replication = n.replication()
	if r := n.raft.Load(); r != nil {
		_, leader := r.LeaderWithID()
		s.Leader, s.Term = string(leader), r.CurrentTerm()
		switch r.State() {
		case raft.Leader:
			s.State = "leader"
		case raft.Follower:
			s.State = "follower"
		case raft.Candidate:
			s.State = "candidate"
		case raft.Shutdown:
			s.State = "stopped"
		}
	}
	return s
}

// readyz reports whether this replica serves lists.
func (n *Node) readyz(rw http.ResponseWriter, _ *http.Request) {
	if err := n.checkFreshness(); err != nil {
		writeError(rw, err)
	}
}

func (n *Node) recordAnnouncement(_ *http.Request, body []byte) (any, error) {
	var m api.Replica
	if err := decodeBody(body, &m); err != nil {
		return nil, err
	}
	if known, exists := n.members()[m.Name]; exists && known.DiskID != m.DiskID {
		return nil, api.Errorf(api.CodeConflict, "%s is known with another disk", m.Name)
	}
	return struct{}{}, n.applyAddReplica(m)
}

func (n *Node) addReplica(_ *http.Request, body []byte) (any, error) {
	var m api.Replica
	if err := decodeBody(body, &m); err != nil {
		return nil, err
	}
	if m.Name == "" || len(m.Name) > api.MaxName || !api.IsAddress(m.Raft) || !api.IsAddress(m.API) {
		return nil, api.Errorf(api.CodeBadRequest, "a replica has a name, and host:port for raft and api")
	}
	return struct{}{}, n.admitReplica(m)
}

func (n *Node) removeReplica(r *http.Request, _ []byte) (any, error) {
	return struct{}{}, n.evictReplica(r.PathValue("name"))
}

// Backup is the format of a backup file.
type Backup struct {
	Schema int             `json:"schema"`
	CRC32C uint32          `json:"crc32c"` // of state
	State  json.RawMessage `json:"state"`
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CheckBackup decodes a backup, and checks its format and checksum.
func CheckBackup(text []byte) (*list.State, error) {
	var b Backup
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	if b.Schema < 1 || b.Schema > list.Schema {
		return nil, fmt.Errorf("backup: schema %d, and this program knows 1 to %d", b.Schema, list.Schema)
	}
	if sum := crc32.Checksum(b.State, castagnoli); sum != b.CRC32C {
		return nil, fmt.Errorf("backup: checksum %08x, not %08x", sum, b.CRC32C)
	}
	s := &list.State{}
	if err := json.Unmarshal(b.State, s); err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	for i, r := range s.Records {
		if r.Name == "" || i > 0 && r.Name <= s.Records[i-1].Name || r.Revision > s.Revision {
			return nil, fmt.Errorf("backup: record %d is none", i)
		}
	}
	for i, d := range s.Leaderships {
		if d.Name == "" || d.Holder == "" || d.Epoch > s.HighestEpoch || s.HighestEpoch > 1<<62 {
			return nil, fmt.Errorf("backup: duty %d is none", i)
		}
	}
	for i, d := range s.Documents {
		if d.Service == "" || i > 0 && d.Service <= s.Documents[i-1].Service || d.Revision < 1 || d.Revision > s.Revision {
			return nil, fmt.Errorf("backup: document %d is none", i)
		}
	}
	for i, region := range s.Regions {
		if region.Name == "" || i > 0 && region.Name <= s.Regions[i-1].Name || region.Revision > region.SeenRevision {
			return nil, fmt.Errorf("backup: region %d is none", i)
		}
	}
	return s, nil
}

// WriteBackup checks a backup, and writes it to a file completely or not at all.
func WriteBackup(path string, text []byte) error {
	if _, err := CheckBackup(text); err != nil {
		return err
	}
	return renameio.WriteFile(path, text, 0o644)
}

func (n *Node) backup(*http.Request, []byte) (any, error) {
	if err := n.barrier(); err != nil {
		return nil, err
	}
	state := n.fsm.state()
	text, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	return Backup{Schema: state.Schema(), CRC32C: crc32.Checksum(text, castagnoli), State: text}, nil
}

func (n *Node) restore(_ *http.Request, body []byte) (any, error) {
	s, err := CheckBackup(body)
	if err != nil {
		return nil, api.Errorf(api.CodeBadRequest, "%v", err)
	}
	if err := n.requireSchema(s.Schema()); err != nil {
		return nil, err
	}
	c := list.Command{Op: list.Restore, State: s}
	if s.Schema() >= list.DocumentSchema {
		c.Region = n.config.Region
	}
	return n.applyWrite(c)
}
