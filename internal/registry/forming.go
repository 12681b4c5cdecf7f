package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"mosslead/internal/registry/api"
)

const (
	identityRetryInterval = 300 * time.Millisecond
	// identityTimeout is how long a replica that belonged to the quorum looks for others that know of a newer disk or start
	// of it, before it continues with its own data: all may have been down.
	identityTimeout = time.Second
)

// joinQuorum decides how this replica joins. It returns the quorum to form, or none.
//
// A quorum is formed once, and only when all of its replicas report that they belong to none, so that one that lost its
// disk does not form a second quorum. If others know this replica with another disk, or with more starts than its own disk
// has recorded (a restored copy), its data is quarantined and it joins as a new replica: a forgotten vote could undo
// committed entries.
func (n *Node) joinQuorum(ctx context.Context) ([]raft.Server, error) {
	if n.config.Dev {
		return []raft.Server{{ID: raft.ServerID(n.self.Name), Address: "dev"}}, nil
	}
	formed := n.wasInQuorum()
	for begun := time.Now(); ctx.Err() == nil; {
		answered, known, err := n.queryIdentities(ctx)
		switch {
		case known != nil && known.DiskID == "" && !formed: // the others have just formed it
			return n.initialServers(), nil
		case known != nil && (known.DiskID == "" || known.DiskID == n.self.DiskID && n.self.StartCount > known.StartCount):
			return nil, nil // the others know this disk, and no newer start
		case known != nil:
			if err = n.rejoin(ctx, *known); err == nil {
				return nil, nil
			}
			n.log.Warn("join rejected", "component", "registry", "node", n.self.Name, "err", err)
		case formed && (answered == len(n.others()) || time.Since(begun) > identityTimeout):
			return nil, nil
		case !formed && !n.config.Join && answered == len(n.others()) && err == nil:
			return n.initialServers(), nil
		case !formed && n.config.Join && answered > 0:
			if err = n.requestJoin(ctx); err == nil {
				return nil, nil
			}
			n.log.Warn("join rejected, retrying", "component", "registry", "node", n.self.Name, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(identityRetryInterval):
		}
	}
	return nil, nil
}

func (n *Node) wasInQuorum() bool {
	text, _, err := n.identityFile.Read()
	var known identity
	return err == nil && json.Unmarshal(text, &known) == nil && known.Formed
}

// others returns the other configured replicas.
func (n *Node) others() []Peer {
	return slices.DeleteFunc(slices.Clone(n.config.Peers), func(p Peer) bool { return p.Name == n.config.Name })
}

func (n *Node) initialServers() (servers []raft.Server) {
	for _, p := range n.config.Peers {
		servers = append(servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Raft)})
	}
	return servers
}

// errNotMember is returned if others belong to a quorum without this replica.
var errNotMember = errors.New("there is a quorum, and it does not know this replica")

// queryIdentities requests the identities of the others. known is what a formed quorum knows of this replica, as reported
// with the highest number of starts.
func (n *Node) queryIdentities(ctx context.Context) (answered int, known *api.Replica, err error) {
	for _, p := range n.others() {
		var id api.Identity
		if n.call(ctx, http.MethodGet, n.apiURL(p.Name, p.API)+"/v1/identity", nil, &id) != nil {
			continue
		}
		answered++
		if !id.Formed {
			continue
		}
		if m, ok := id.Members[n.config.Name]; !ok {
			err = errNotMember
		} else if known == nil || m.StartCount > known.StartCount {
			known = &m
		}
	}
	return answered, known, err
}

// rejoin quarantines the data of this replica, and requests to be removed and added again.
func (n *Node) rejoin(ctx context.Context, known api.Replica) error {
	n.log.Warn("disk unknown to the quorum, rejoining as a new replica", "component", "registry", "node", n.self.Name,
		"starts", n.self.StartCount, "known_starts", known.StartCount)
	aside := filepath.Join(n.config.Dir, "aside-"+time.Now().UTC().Format("20060102T150405.000"))
	for _, name := range []string{"log.bolt", "snapshots"} {
		if _, err := os.Stat(filepath.Join(n.config.Dir, name)); err != nil {
			continue
		}
		if err := os.MkdirAll(aside, 0o755); err != nil {
			return err
		}
		if err := os.Rename(filepath.Join(n.config.Dir, name), filepath.Join(aside, name)); err != nil {
			return err
		}
	}
	n.self.StartCount = max(n.self.StartCount, known.StartCount+1)
	if err := n.saveIdentity(false); err != nil {
		return err
	}
	return n.requestJoin(ctx)
}

// requestJoin requests any of the others to add this replica.
func (n *Node) requestJoin(ctx context.Context) error {
	err := errors.New("nobody to ask")
	for _, p := range n.others() {
		if err = n.call(ctx, http.MethodPost, n.apiURL(p.Name, p.API)+"/v1/replicas", n.self, nil); err == nil {
			return nil
		}
	}
	return err
}

// apiURL returns the URL of a replica's API, as reached from here.
func (n *Node) apiURL(name, known string) string {
	if p, ok := n.config.Dial[name]; ok && p.API != "" {
		known = p.API
	}
	return "http://" + known
}

// call sends a request to another replica.
func (n *Node) call(ctx context.Context, method, url string, change, answer any) error {
	var body io.Reader
	if change != nil {
		text, err := json.Marshal(change)
		if err != nil {
			return err
		}
		body = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return api.ReadAnswer(resp, answer)
}

// admitReplica adds a replica as the leader, or changes its address or disk.
func (n *Node) admitReplica(m api.Replica) error {
	r := n.raft.Load()
	if r == nil {
		return errNotJoined
	}
	known, there := n.members()[m.Name]
	if there && known.DiskID != "" && known.DiskID != m.DiskID || there && m.StartCount < known.StartCount {
		if n.voterCount() == 1 {
			return api.Errorf(api.CodeConflict, "%s is the only replica", m.Name)
		}
	}
	// Removed first, so that the quorum never counts votes of a lost disk.
	if there {
		if err := r.RemoveServer(raft.ServerID(m.Name), 0, raftTimeout).Error(); err != nil {
			return api.Errorf(api.CodeNoLeader, "%v", err)
		}
	}
	if err := n.applyAddReplica(m); err != nil {
		return err
	}
	if err := r.AddVoter(raft.ServerID(m.Name), raft.ServerAddress(m.Raft), 0, raftTimeout).Error(); err != nil {
		return api.Errorf(api.CodeNoLeader, "%v", err)
	}
	return nil
}

// evictReplica removes a replica.
func (n *Node) evictReplica(name string) error {
	r := n.raft.Load()
	if r == nil {
		return errNotJoined
	}
	if _, there := n.members()[name]; !there {
		return api.Errorf(api.CodeNotFound, "replica %s", name)
	}
	if n.voterCount() == 1 {
		return api.Errorf(api.CodeConflict, "%s is the only replica", name)
	}
	if err := n.applyRemoveReplica(name); err != nil {
		return err
	}
	if err := r.RemoveServer(raft.ServerID(name), 0, raftTimeout).Error(); err != nil {
		return api.Errorf(api.CodeNoLeader, "%v", err)
	}
	return nil
}

func (n *Node) voterCount() int { return len(n.voterNames()) }

func (n *Node) voterNames() (names []string) {
	r := n.raft.Load()
	if r == nil {
		return nil
	}
	f := r.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	for _, s := range f.Configuration().Servers {
		if s.Suffrage == raft.Voter {
			names = append(names, string(s.ID))
		}
	}
	return names
}
