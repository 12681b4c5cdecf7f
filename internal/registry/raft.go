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

// raftBackend are the stores and the transport of raft.
type raftBackend struct {
	logs      raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
	transport raft.Transport
	closers   []io.Closer
}

func (p *raftBackend) close() {
	for _, x := range p.closers {
		_ = x.Close()
	}
}

// startRaft starts raft, from the directory or in memory. form, if not empty, is the quorum to form.
func (n *Node) startRaft(ctx context.Context, form []raft.Server) (r *raft.Raft, stop func(), err error) {
	c := n.raftConfig()
	parts, err := n.openRaftBackend(ctx, c)
	if err == nil && len(form) > 0 {
		err = parts.bootstrap(c, form)
	}
	if err == nil {
		r, err = raft.NewRaft(c, n.fsm, parts.logs, parts.stable, parts.snapshots, parts.transport)
		if err != nil {
			err = fmt.Errorf("log: %w", err)
		}
	}
	if err != nil {
		parts.close()
		return nil, parts.close, err
	}
	return r, func() { shutdown(r, parts) }, nil
}

func (n *Node) raftConfig() *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(n.self.Name)
	c.HeartbeatTimeout, c.ElectionTimeout = n.config.Heartbeat.Duration, n.config.Heartbeat.Duration
	c.LeaderLeaseTimeout, c.CommitTimeout = n.config.Heartbeat.Duration/2, 10*time.Millisecond
	c.Logger = hclog.New(&hclog.LoggerOptions{Output: io.Discard})
	return c
}

// openRaftBackend opens the stores and the transport. After an error the returned parts hold those to be closed.
func (n *Node) openRaftBackend(ctx context.Context, c *raft.Config) (*raftBackend, error) {
	p := &raftBackend{}
	if n.config.Dev {
		store := raft.NewInmemStore()
		p.logs, p.stable, p.snapshots = store, store, raft.NewInmemSnapshotStore()
		_, p.transport = raft.NewInmemTransport("dev")
		return p, nil
	}
	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(n.config.Dir, "log.bolt"), MsgpackUseNewTimeFormat: true})
	if err != nil {
		return p, fmt.Errorf("log: %w", err)
	}
	p.closers = append(p.closers, store)
	p.logs, p.stable = store, retryingStore{store, ctx, n.log}
	if p.snapshots, err = raft.NewFileSnapshotStoreWithLogger(n.config.Dir, retainedSnapshots, c.Logger); err != nil {
		return p, fmt.Errorf("snapshots: %w", err)
	}
	stream, err := listenRaft(n.config.RaftBind, n.self.Raft)
	if err != nil {
		return p, fmt.Errorf("raft_bind: %w", err)
	}
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: stream, MaxPool: 4, Timeout: raftTimeout,
		Logger: c.Logger, ServerAddressProvider: addressOverrides(n.config.Dial), MsgpackUseNewTimeFormat: true})
	p.closers = append(p.closers, transport)
	p.transport = transport
	return p, nil
}

// bootstrap forms the quorum, unless the log holds one.
func (p *raftBackend) bootstrap(c *raft.Config, form []raft.Server) error {
	has, err := raft.HasExistingState(p.logs, p.stable, p.snapshots)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	if has {
		return nil
	}
	if err := raft.BootstrapCluster(c, p.logs, p.stable, p.snapshots, p.transport, raft.Configuration{Servers: form}); err != nil {
		return fmt.Errorf("forming a quorum: %w", err)
	}
	return nil
}

// shutdown stops raft, and then closes its parts. If raft waits for a failing disk, it is left as it is, since the process
// is about to end.
func shutdown(r *raft.Raft, parts *raftBackend) {
	ended := make(chan struct{})
	go func() {
		_ = r.Shutdown().Error()
		close(ended)
	}()
	select {
	case <-ended:
		parts.close()
	case <-time.After(raftTimeout):
	}
}

// stream implements raft.StreamLayer over TCP, with the address announced to others.
type stream struct {
	net.Listener
	advertised raft.ServerAddress
}

func listenRaft(bind, known string) (*stream, error) {
	ln, err := net.Listen("tcp", bind)
	if err != nil {
		return nil, err
	}
	return &stream{ln, raft.ServerAddress(known)}, nil
}

// Dial implements raft.StreamLayer.
func (s *stream) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", string(address), min(timeout, time.Second))
}

// Addr implements raft.StreamLayer.
func (s *stream) Addr() net.Addr { return tcpAddr(s.advertised) }

type tcpAddr string

// Network implements net.Addr.
func (tcpAddr) Network() string  { return "tcp" }
func (k tcpAddr) String() string { return string(k) }

// addressOverrides resolves the addresses of other replicas.
type addressOverrides map[string]Peer

// ServerAddr implements raft.ServerAddressProvider.
func (d addressOverrides) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	if p, ok := d[string(id)]; ok && p.Raft != "" {
		return raft.ServerAddress(p.Raft), nil
	}
	return "", fmt.Errorf("no address of its own for %s", id) // the announced address is used
}
