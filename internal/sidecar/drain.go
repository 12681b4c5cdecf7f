package sidecar

import (
	"net/http"
	"time"
)

const (
	drainNoticeTime = 450 * time.Millisecond // after SIGTERM: clients use the connections that they have until this
	drainAcceptTime = 600 * time.Millisecond // and may come on new ones until this
	newConnGrace    = 50 * time.Millisecond  // a connection this young is about to bring its request
	maxDrainTime    = 3 * time.Second        // SIGKILL comes this long after SIGTERM, or the longest deadline if that is less,
	drainMargin     = 500 * time.Millisecond // and 0.7 s: what is left then is failed before
	finalWriteTime  = writeTimeout           // for the answers that are under way then: there is nothing to lose by it
)

// drain goes on accepting while clients still come, answers everything that was taken, and ends before the
// process is killed, unless a client is slow to take its answer. Where another process takes clients already, or still, it
// accepts none: each connection ends with its next answer, and what is between requests ends only when another request could not
// be answered within its objective. The states that connections can be in are in docs/ARCHITECTURE.md.
func (p *process) drain(srv *http.Server) error {
	begun := time.Now()
	p.draining.Store(true)
	p.loop.sharing.releaseLeaderships()
	replaced := p.server.stopping.Swap(true)
	p.conns.lingering.Store(true)
	p.handover.returnClients()
	longest, objective := time.Duration(0), time.Duration(0)
	for _, class := range p.config.Settings.Classes {
		longest, objective = max(longest, class.Deadline), max(objective, class.LatencyObjective)
	}
	killAfter := min(longest, maxDrainTime) + drainMargin
	last := time.AfterFunc(killAfter, func() {
		p.loop.sharing.abort()
		p.loop.enqueue(abort{})
	})
	defer last.Stop()
	if replaced || p.conns.isPaused() {
		p.conns.awaitNone(max(killAfter-objective, drainNoticeTime))
	} else {
		time.Sleep(drainNoticeTime)
		p.conns.endIdle(newConnGrace) // where that crosses a request, the client comes on a new connection
		time.Sleep(drainAcceptTime - drainNoticeTime)
	}
	p.conns.finish()
	p.conns.awaitNone(killAfter + finalWriteTime - time.Since(begun))
	p.conns.stopped.Store(true)
	return srv.Close()
}
