package registry

import (
	"context"
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
)

const storeRetryInterval = 200 * time.Millisecond

// retryingStore is a store for terms and votes that waits where the disk fails: a replica that can't remember its vote must not
// go on, and the engine knows no other way than to end the process. Others go on without this one meanwhile, as if it
// stood still; it takes part again once there is room.
type retryingStore struct {
	raft.StableStore
	ctx context.Context
	log *slog.Logger
}

func (p retryingStore) Set(key, value []byte) error {
	return p.retry(func() error { return p.StableStore.Set(key, value) })
}

func (p retryingStore) SetUint64(key []byte, value uint64) error {
	return p.retry(func() error { return p.StableStore.SetUint64(key, value) })
}

func (p retryingStore) retry(write func() error) error {
	err := write()
	if err == nil {
		return nil
	}
	p.log.Warn("stands still: it can't write its vote", "component", "registry", "err", err)
	for {
		select {
		case <-p.ctx.Done():
			select {} // the process ends, and must not go on without having written
		case <-time.After(storeRetryInterval):
		}
		if write() == nil {
			p.log.Info("goes on: its vote is written", "component", "registry")
			return nil
		}
	}
}
