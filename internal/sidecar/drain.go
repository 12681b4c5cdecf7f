package sidecar

import (
	"net/http"
	"time"
)

const (
	drainNoticeTime = 450 * time.Millisecond // time after SIGTERM during which clients still use their connections
	drainAcceptTime = 600 * time.Millisecond // time after SIGTERM during which clients may open connections
	newConnGrace    = 50 * time.Millisecond  // time for the first request to arrive on a new connection
	// The drain time starts at SIGTERM and lasts for the longest deadline, but maxDrainTime at most. Requests that are still
	// unanswered drainMargin after its end fail; SIGKILL follows 0.7 s after its end.
	maxDrainTime   = 3 * time.Second
	drainMargin    = 500 * time.Millisecond
	finalWriteTime = writeTimeout // time for answers that are being written when the unanswered requests fail
)

// drain accepts clients until they have noticed the shutdown, answers all accepted requests, and returns before the process
// is killed, unless a client is slow to read its answer. While another process accepts clients, this one accepts none: it
// closes each connection after its next answer, and closes idle connections once too little time is left to answer another
// request within its objective. docs/ARCHITECTURE.md lists the states of a connection.
func (p *process) drain(srv *http.Server) error {
	start := time.Now()
	p.draining.Store(true)
	p.dispatcher.sharing.releaseLeaderships()
	replaced := p.server.stopping.Swap(true)
	p.conns.lingering.Store(true)
	p.handover.returnClients()
	maxDeadline, maxObjective := time.Duration(0), time.Duration(0)
	for _, class := range p.config.Settings.Classes {
		maxDeadline, maxObjective = max(maxDeadline, class.Deadline), max(maxObjective, class.LatencyObjective)
	}
	killAfter := min(maxDeadline, maxDrainTime) + drainMargin
	abortTimer := time.AfterFunc(killAfter, func() {
		p.dispatcher.sharing.abort()
		p.dispatcher.enqueue(abort{})
	})
	defer abortTimer.Stop()
	if replaced || p.conns.isPaused() {
		p.conns.awaitNone(max(killAfter-maxObjective, drainNoticeTime))
	} else {
		time.Sleep(drainNoticeTime)
		p.conns.closeIdle(newConnGrace) // a client whose request meets the close can still open a new connection
		time.Sleep(drainAcceptTime - drainNoticeTime)
	}
	p.conns.finish()
	p.conns.awaitNone(killAfter + finalWriteTime - time.Since(start))
	p.conns.stopped.Store(true)
	return srv.Close()
}
