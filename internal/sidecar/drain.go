package sidecar

import (
	"net/http"
	"time"
)

const (
	quietAfter  = 450 * time.Millisecond // after SIGTERM: clients use the connections that they have until this
	acceptAfter = 600 * time.Millisecond // and may come on new ones until this
	justOpened  = 50 * time.Millisecond  // a connection this young is about to bring its request
	killMost    = 3 * time.Second        // SIGKILL comes this long after SIGTERM, or the longest deadline if that is less,
	killBefore  = 500 * time.Millisecond // and 0.7 s: what is left then is failed before
	wordsMost   = writePatience          // for the answers that are under way then: there is nothing to lose by it
)

// drain goes on accepting while clients still come, answers everything that was taken, and ends before the
// process is killed, unless a client is slow to take its answer. Where another process takes clients already, or still, it
// accepts none: each connection ends with its next answer, and what is between requests ends only when another request could not
// be answered within its aim. The states that connections can be in are in docs/ARCHITECTURE.md.
func (p *process) drain(srv *http.Server) error {
	begun := time.Now()
	p.draining.Store(true)
	p.loop.shared.yield()
	replaced := p.s.stopping.Swap(true)
	p.conns.lingers.Store(true)
	p.h.giveBack()
	longest, aim := time.Duration(0), time.Duration(0)
	for _, class := range p.c.Settings.Classes {
		longest, aim = max(longest, class.Deadline), max(aim, class.LatencyObjective)
	}
	killAfter := min(longest, killMost) + killBefore
	last := time.AfterFunc(killAfter, func() {
		p.loop.shared.abort()
		p.loop.post(abort{})
	})
	defer last.Stop()
	if replaced || p.conns.pausing() {
		p.conns.awaitNone(max(killAfter-aim, quietAfter))
	} else {
		time.Sleep(quietAfter)
		p.conns.endQuiet(justOpened) // where that crosses a request, the client comes on a new connection
		time.Sleep(acceptAfter - quietAfter)
	}
	p.conns.finish()
	p.conns.awaitNone(killAfter + wordsMost - time.Since(begun))
	p.conns.over.Store(true)
	return srv.Close()
}
