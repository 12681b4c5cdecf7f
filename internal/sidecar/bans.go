package sidecar

import (
	"errors"
	"fmt"
	"time"

	"mosslead/balancer"
)

// ban bans an upstream, or with cleared lifts the ban, here and in the other process of an upgrade. It returns once that is
// in force and on disk.
func (p *process) ban(id string, cleared bool) error {
	if !p.upstreams.directory.ban(id, cleared) {
		return fmt.Errorf("no upstream is called %s", quoteShort(id))
	}
	err := confirm(p.upstreams.directory, p.dispatcher, id, cleared)
	persisted := false
	if err == nil && p.handsOver {
		persisted, err = p.handover.relayBan(banMessage{ID: id, Cleared: cleared, Writes: p.persister.writesNow()}, p.upstreams.directory.bans())
	}
	if err != nil || persisted {
		return err
	}
	return p.persister.ban(id, cleared)
}

// banned applies a ban relayed by the other process, and reports whether it is on disk.
func (p *process) banned(b banMessage) (persisted bool, err error) {
	if err := confirm(p.upstreams.directory, p.dispatcher, b.ID, b.Cleared); err != nil {
		return false, fmt.Errorf("%s: %w", quoteShort(b.ID), err)
	}
	return p.persister.accept(b.ID, b.Cleared, b.Writes)
}

// confirm applies a ban to the directory, where it also stops requests that have been decided on, and then to the balancer.
func confirm(dir *endpointDirectory, l *dispatcher, id string, cleared bool) error {
	dir.setBan(id, cleared)
	b := banCommand{balancer.Ban{Upstream: id, Cleared: cleared}, make(chan struct{})}
	late := time.NewTimer(adminTimeout)
	defer late.Stop()
	go l.enqueueUrgent(b) // returns once the dispatcher has stopped at the latest
	select {
	case <-b.done:
		return nil
	case <-late.C:
		return errors.New("too busy to confirm it in time, call again")
	case <-l.stop:
		return errors.New("this process ends")
	}
}
