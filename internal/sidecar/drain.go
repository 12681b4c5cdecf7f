package sidecar

import (
	"net/http"
	"time"
)

const (
	drainNoticeTime = 450 * time.Millisecond // after SIGTERM, during which clients use their present connections
	drainAcceptTime = 600 * time.Millisecond // after SIGTERM, during which clients may open connections
	newConnGrace    = 50 * time.Millisecond  // for the first request on a new connection
	// SIGKILL follows SIGTERM after maxDrainTime, or the longest deadline if that is less, and 0.7 s; requests left
	// drainMargin after the first of these fail.
	maxDrainTime   = 3 * time.Second
	drainMargin    = 500 * time.Millisecond
	finalWriteTime = writeTimeout // for answers that are being written then
)

// drain accepts clients until they have noticed the shutdown, answers all accepted requests, and returns before the process
// is killed, unless a client is slow to read its answer. While another process accepts clients, this one accepts none: each
// connection is closed with its next answer, and one between requests once another request could not be answered within
// its objective. docs/ARCHITECTURE.md lists the states of a connection.
func (p *process) drain(srv *http.Server) error {
	begun := time.Now()
	p.draining.Store(true)
	p.dispatcher.sharing.releaseLeaderships()
	replaced := p.server.stopping.Swap(true)
	p.conns.lingering.Store(true)
	p.handover.returnClients()
	longest, objective := time.Duration(0), time.Duration(0)
	for _, class := range p.config.Settings.Classes {
		longest, objective = max(longest, class.Deadline), max(objective, class.LatencyObjective)
	}
	killAfter := min(longest, maxDrainTime) + drainMargin
	last := time.AfterFunc(killAfter, func() {
		p.dispatcher.sharing.abort()
		p.dispatcher.enqueue(abort{})
	})
	defer last.Stop()
	if replaced || p.conns.isPaused() {
		p.conns.awaitNone(max(killAfter-objective, drainNoticeTime))
	} else {
		time.Sleep(drainNoticeTime)
		p.conns.endIdle(newConnGrace) // a client whose request crosses the close opens a new connection
		time.Sleep(drainAcceptTime - drainNoticeTime)
	}
	p.conns.finish()
	p.conns.awaitNone(killAfter + finalWriteTime - time.Since(begun))
	p.conns.stopped.Store(true)
	return srv.Close()
}
