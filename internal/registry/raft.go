package registry

import (
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// raftBackend holds the stores and the transport that raft uses.
type raftBackend struct {
	logs      raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
	transport raft.Transport
	closers   []io.Closer
}

func (b *raftBackend) close() {
	for _, closer := range b.closers {
		_ = closer.Close()
	}
}

// startRaft starts raft, with its stores in the directory or in memory. It forms a quorum of servers if there are any.
// stop ends raft.
func (n *Node) startRaft(ctx context.Context, servers []raft.Server) (r *raft.Raft, stop func(), err error) {
	c := n.raftConfig()
	backend, err := n.openRaftBackend(ctx, c)
	if err == nil && len(servers) > 0 {
		err = backend.bootstrap(c, servers)
	}
	if err == nil {
		r, err = raft.NewRaft(c, n.fsm, backend.logs, backend.stable, backend.snapshots, backend.transport)
		if err != nil {
			err = fmt.Errorf("log: %w", err)
		}
	}
	if err != nil {
		backend.close()
		return nil, backend.close, err
	}
	return r, func() { shutdown(r, backend) }, nil
}

func (n *Node) raftConfig() *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(n.self.Name)
	c.HeartbeatTimeout, c.ElectionTimeout = n.config.Heartbeat.Duration, n.config.Heartbeat.Duration
	c.LeaderLeaseTimeout, c.CommitTimeout = n.config.Heartbeat.Duration/2, 10*time.Millisecond
	c.Logger = hclog.New(&hclog.LoggerOptions{Output: io.Discard})
	return c
}

// openRaftBackend opens the stores and the transport. After an error the returned backend holds what the caller has to close.
func (n *Node) openRaftBackend(ctx context.Context, c *raft.Config) (*raftBackend, error) {
	b := &raftBackend{}
	if n.config.Dev {
		store := raft.NewInmemStore()
		b.logs, b.stable, b.snapshots = store, store, raft.NewInmemSnapshotStore()
		_, b.transport = raft.NewInmemTransport("dev")
		return b, nil
	}
	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(n.config.Dir, "log.bolt"), MsgpackUseNewTimeFormat: true})
	if err != nil {
		return b, fmt.Errorf("log: %w", err)
	}
	b.closers = append(b.closers, store)
	b.logs, b.stable = store, retryingStore{store, ctx, n.log}
	if b.snapshots, err = raft.NewFileSnapshotStoreWithLogger(n.config.Dir, retainedSnapshots, c.Logger); err != nil {
		return b, fmt.Errorf("snapshots: %w", err)
	}
	stream, err := listenRaft(n.config.RaftBind, n.self.Raft)
	if err != nil {
		return b, fmt.Errorf("raft_bind: %w", err)
	}
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: stream, MaxPool: 4, Timeout: raftTimeout,
		Logger: c.Logger, ServerAddressProvider: addressOverrides(n.config.Dial), MsgpackUseNewTimeFormat: true})
	b.closers = append(b.closers, transport)
	b.transport = transport
	return b, nil
}

// bootstrap forms a quorum of servers, unless the stores already contain the state of one.
func (b *raftBackend) bootstrap(c *raft.Config, servers []raft.Server) error {
	exists, err := raft.HasExistingState(b.logs, b.stable, b.snapshots)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	if exists {
		return nil
	}
	if err := raft.BootstrapCluster(c, b.logs, b.stable, b.snapshots, b.transport, raft.Configuration{Servers: servers}); err != nil {
		return fmt.Errorf("forming a quorum: %w", err)
	}
	return nil
}

// shutdown stops raft, and then closes its backend. If raft does not stop in time, since it waits for a failing disk, the
// backend stays open: the process is about to end.
func shutdown(r *raft.Raft, backend *raftBackend) {
	stopped := make(chan struct{})
	go func() {
		_ = r.Shutdown().Error()
		close(stopped)
	}()
	select {
	case <-stopped:
		backend.close()
	case <-time.After(raftTimeout):
	}
}

// stream implements raft.StreamLayer over TCP. Its address is the one announced to other replicas.
type stream struct {
	net.Listener
	advertised raft.ServerAddress
}

func listenRaft(bind, advertised string) (*stream, error) {
	ln, err := net.Listen("tcp", bind)
	if err != nil {
		return nil, err
	}
	return &stream{ln, raft.ServerAddress(advertised)}, nil
}

// Dial implements raft.StreamLayer.
func (s *stream) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", string(address), min(timeout, time.Second))
}

// Addr implements raft.StreamLayer.
func (s *stream) Addr() net.Addr { return tcpAddr(s.advertised) }

// tcpAddr is the TCP address of a replica. It implements net.Addr.
type tcpAddr string

// Network implements net.Addr.
func (tcpAddr) Network() string  { return "tcp" }
func (a tcpAddr) String() string { return string(a) }

// addressOverrides holds the addresses of Config.Dial, by replica name. It implements raft.ServerAddressProvider.
type addressOverrides map[string]Peer

// ServerAddr implements raft.ServerAddressProvider.
func (o addressOverrides) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	if p, ok := o[string(id)]; ok && p.Raft != "" {
		return raft.ServerAddress(p.Raft), nil
	}
	return "", fmt.Errorf("no override of the address of %s", id) // raft then uses the announced address
}
