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
	// identityTimeout is how long a replica that belonged to the quorum asks the others whether they know it with another disk or
	// a later start. If none of them reports that in time, it continues with its own data, since all replicas may have been down.
	identityTimeout = time.Second
)

// joinQuorum makes this replica join the quorum. It returns the servers of the quorum if it has yet to be formed, and
// otherwise nil.
//
// A quorum is formed once, and only when all of its replicas report that they belong to none, so that a replica that lost
// its disk does not form a second quorum. If others know this replica with another disk, or with more starts than its disk had
// recorded before this start (a restored copy), its data is quarantined and it joins as a new replica: a forgotten vote could
// undo committed entries.
func (n *Node) joinQuorum(ctx context.Context) ([]raft.Server, error) {
	if n.config.Dev {
		return []raft.Server{{ID: raft.ServerID(n.self.Name), Address: "dev"}}, nil
	}
	wasMember := n.wasInQuorum()
	for started := time.Now(); ctx.Err() == nil; {
		answered, known, err := n.queryIdentities(ctx)
		switch {
		case known != nil && known.DiskID == "" && !wasMember: // the others have just formed the quorum
			return n.initialServers(), nil
		case known != nil && (known.DiskID == "" || known.DiskID == n.self.DiskID && n.self.StartCount > known.StartCount):
			return nil, nil // the others know this disk, and no later start
		case known != nil:
			if err = n.rejoin(ctx, *known); err == nil {
				return nil, nil
			}
			n.log.Warn("join rejected", "component", "registry", "node", n.self.Name, "err", err)
		case wasMember && (answered == len(n.others()) || time.Since(started) > identityTimeout):
			return nil, nil
		case !wasMember && !n.config.Join && answered == len(n.others()) && err == nil:
			return n.initialServers(), nil
		case !wasMember && n.config.Join && answered > 0:
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

// wasInQuorum reports whether the stored identity says that this replica has belonged to the quorum.
func (n *Node) wasInQuorum() bool {
	text, _, err := n.identityFile.Read()
	var stored identity
	return err == nil && json.Unmarshal(text, &stored) == nil && stored.Formed
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
var errNotMember = errors.New("there is a quorum that does not include this replica")

// queryIdentities requests the identities of the others. known is this replica as members of a formed quorum know it, with the
// highest start count that they report, or nil if none of them knows it. answered is the number of others that responded. err is
// errNotMember if a formed quorum does not include this replica.
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

// rejoin quarantines the data of this replica, and requests that the quorum removes it and adds it again.
func (n *Node) rejoin(ctx context.Context, known api.Replica) error {
	n.log.Warn("disk unknown to the quorum, rejoining as a new replica", "component", "registry", "node", n.self.Name,
		"starts", n.self.StartCount, "known_starts", known.StartCount)
	quarantineDir := filepath.Join(n.config.Dir, "aside-"+time.Now().UTC().Format("20060102T150405.000"))
	for _, name := range []string{"log.bolt", "snapshots"} {
		if _, err := os.Stat(filepath.Join(n.config.Dir, name)); err != nil {
			continue
		}
		if err := os.MkdirAll(quarantineDir, 0o755); err != nil {
			return err
		}
		if err := os.Rename(filepath.Join(n.config.Dir, name), filepath.Join(quarantineDir, name)); err != nil {
			return err
		}
	}
	n.self.StartCount = max(n.self.StartCount, known.StartCount+1)
	if err := n.saveIdentity(false); err != nil {
		return err
	}
	return n.requestJoin(ctx)
}

// requestJoin asks the others in turn to add this replica, until one succeeds.
func (n *Node) requestJoin(ctx context.Context) error {
	err := errors.New("no other replica is configured")
	for _, p := range n.others() {
		if err = n.call(ctx, http.MethodPost, n.apiURL(p.Name, p.API)+"/v1/replicas", n.self, nil); err == nil {
			return nil
		}
	}
	return err
}

// apiURL returns the URL at which this replica reaches another one's API. address is used unless Config.Dial overrides it.
func (n *Node) apiURL(name, address string) string {
	if p, ok := n.config.Dial[name]; ok && p.API != "" {
		address = p.API
	}
	return "http://" + address
}

// call sends a request to another replica, and decodes the response into result. body is nil if there is none.
func (n *Node) call(ctx context.Context, method, url string, body, result any) error {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return err
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return api.ReadAnswer(resp, result)
}

// admitReplica adds a replica, or changes its address or disk. This replica must be the leader.
func (n *Node) admitReplica(m api.Replica) error {
	r := n.raft.Load()
	if r == nil {
		return errNotJoined
	}
	known, exists := n.members()[m.Name]
	if exists && known.DiskID != "" && known.DiskID != m.DiskID || exists && m.StartCount < known.StartCount {
		if n.voterCount() == 1 {
			return api.Errorf(api.CodeConflict, "%s is the only replica", m.Name)
		}
	}
	// A replica that is already a member is removed first, so that the quorum never counts votes of a lost disk.
	if exists {
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

// evictReplica removes a replica from the list and from the quorum. This replica must be the leader.
func (n *Node) evictReplica(name string) error {
	r := n.raft.Load()
	if r == nil {
		return errNotJoined
	}
	if _, exists := n.members()[name]; !exists {
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
	future := r.GetConfiguration()
	if future.Error() != nil {
		return nil
	}
	for _, s := range future.Configuration().Servers {
		if s.Suffrage == raft.Voter {
			names = append(names, string(s.ID))
		}
	}
	return names
}
