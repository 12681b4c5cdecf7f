package registry

import (
	"context"
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
)

const storeRetryInterval = 200 * time.Millisecond

// retryingStore stores raft's terms and votes, and blocks while the disk fails. A replica that can't persist its vote must not
// continue, and raft itself would end the process. The other replicas continue without this one, which takes part again
// once the disk works.
type retryingStore struct {
	raft.StableStore
	ctx context.Context
	log *slog.Logger
}

// Set implements raft.StableStore. It returns once the value is written.
func (s retryingStore) Set(key, value []byte) error {
	return s.retry(func() error { return s.StableStore.Set(key, value) })
}

// SetUint64 implements raft.StableStore. It returns once the value is written.
func (s retryingStore) SetUint64(key []byte, value uint64) error {
	return s.retry(func() error { return s.StableStore.SetUint64(key, value) })
}

func (s retryingStore) retry(write func() error) error {
	err := write()
	if err == nil {
		return nil
	}
	s.log.Warn("raft vote not written, replica waits", "component", "registry", "err", err)
	for {
		select {
		case <-s.ctx.Done():
			select {} // the process is ending, and must not continue without the write
		case <-time.After(storeRetryInterval):
		}
		if write() == nil {
			s.log.Info("raft vote written, replica continues", "component", "registry")
			return nil
		}
	}
}
