package sidecar

import (
	"errors"
	"fmt"
	"time"

	"mosslead/balancer"
)

// ban bans an upstream, or lifts the ban if cleared is set, in this process and in the other process of an upgrade. It returns
// once the change is in force and on disk.
func (p *process) ban(id string, cleared bool) error {
	if !p.upstreams.directory.ban(id, cleared) {
		return fmt.Errorf("no upstream is called %s", quoteShort(id))
	}
	err := applyBan(p.upstreams.directory, p.dispatcher, id, cleared)
	persisted := false
	if err == nil && p.handsOver {
		persisted, err = p.handover.relayBan(banMessage{ID: id, Cleared: cleared, Writes: p.persister.writesNow()}, p.upstreams.directory.bans())
	}
	if err != nil || persisted {
		return err
	}
	return p.persister.ban(id, cleared)
}

// applyRelayedBan applies a ban relayed by the other process, and reports whether it is on disk.
func (p *process) applyRelayedBan(message banMessage) (persisted bool, err error) {
	if err := applyBan(p.upstreams.directory, p.dispatcher, message.ID, message.Cleared); err != nil {
		return false, fmt.Errorf("%s: %w", quoteShort(message.ID), err)
	}
	return p.persister.acceptRelayedBan(message.ID, message.Cleared, message.Writes)
}

// applyBan applies a ban to the directory, which also stops requests that are being dispatched, and then to the balancer. It
// returns nil once the balancer has applied it.
func applyBan(dir *endpointDirectory, d *dispatcher, id string, cleared bool) error {
	dir.setBan(id, cleared)
	command := banCommand{balancer.Ban{Upstream: id, Cleared: cleared}, make(chan struct{})}
	timeout := time.NewTimer(adminTimeout)
	defer timeout.Stop()
	go d.enqueueUrgent(command) // the goroutine ends, at the latest, when the dispatcher stops
	select {
	case <-command.done:
		return nil
	case <-timeout.C:
		return errors.New("too busy to confirm it in time, call again")
	case <-d.stop:
		return errors.New("this process ends")
	}
}
