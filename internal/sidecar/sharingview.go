package sidecar

import (
	"fmt"
	"strings"
	"time"

	"mosslead/internal/circuitbreaker"
)

// lines returns the lines of STATS about sharing, or "" if nothing is shared.
func (s *sharing) lines() string {
	if s == nil {
		return ""
	}
	var text strings.Builder
	gauge := func(name string, n int64) { fmt.Fprintf(&text, "gw.peers_%s:%d|g\n", name, n) }
	counter := func(name string, n int64) { fmt.Fprintf(&text, "gw.peers_%s:%d|c\n", name, n) }
	gauge("present", int64(s.gossip.Present()))
	fenced := int64(0)
	if s.gossip.Fenced() {
		fenced = 1
	}
	gauge("fenced", fenced)
	late, overBound := s.gossip.Dropped()
	counter("dropped", int64(late+overBound+s.reports.Dropped()+s.verdicts.Dropped()))
	leading, campaigning, rejected := s.leaderships.count()
	gauge("duties_held", leading)
	gauge("duties_waited_for", campaigning)
	counter("duties_beyond", rejected)
	if f := s.forwarder; f != nil {
		f.mu.Lock()
		total := f.gauge.Now().Total
		f.mu.Unlock()
		gauge("pressure_thousandths", int64(1000*total))
		counter("forwarded", f.forwarded.Load())
		counter("came_home", f.returned.Load())
		counter("taken", f.accepted.Load())
		counter("turned_away", f.rejected.Load())
	}
	return text.String()
}

// describe returns the answer to PEERS: a line for each member, open breaker and leadership, and the counts of dropped
// records.
func (s *sharing) describe() string {
	if s == nil {
		return "NO this sidecar shares nothing\n"
	}
	var text strings.Builder
	text.WriteString("YES\n")
	for _, m := range s.gossip.Members() {
		fmt.Fprintf(&text, "member %s %s version %q schema %d since %s\n", m.Name, m.Site, m.Version, m.Schema,
			time.UnixMilli(m.Incarnation.StartedMs).UTC().Format(time.RFC3339))
	}
	if s.gossip.Fenced() {
		text.WriteString("fenced: a newer process has this one's name\n")
	}
	open, ok := s.openBreakers()
	if !ok {
		text.WriteString("breakers: their thread is too busy to tell\n")
	}
	for _, v := range open {
		fmt.Fprintf(&text, "breaker %s %s for %v, %s\n", v.Upstream, v.Class, v.For.Round(time.Millisecond), v.Reason)
	}
	text.WriteString(s.leaderships.describe())
	if f := s.forwarder; f != nil {
		f.mu.Lock()
		p := f.gauge.Now()
		f.mu.Unlock()
		fmt.Fprintf(&text, "pressure %.2f: processor %.2f descriptors %.2f heap %.2f in hand %.2f zone %.2f\n", p.Total, p.CPU, p.Sockets, p.Heap, p.InFlight, p.Site)
		fmt.Fprintf(&text, "forwarded %d, of them home unbegun %d; taken from peers %d, refused to them %d\n", f.forwarded.Load(), f.returned.Load(), f.accepted.Load(), f.rejected.Load())
	}
	late, overBound := s.gossip.Dropped()
	fmt.Fprintf(&text, "dropped: records %d, over an owner's bound %d, reports %d, verdicts %d\n", late, overBound, s.reports.Dropped(), s.verdicts.Dropped())
	return text.String() + "END\n"
}

// openBreakers returns the open verdicts. ok is false if the breaker tracker does not answer within adminTimeout.
func (s *sharing) openBreakers() (open []circuitbreaker.Verdict, ok bool) {
	reply := make(chan []circuitbreaker.Verdict, 1)
	timeout := time.NewTimer(adminTimeout)
	defer timeout.Stop()
	select {
	case s.openVerdicts <- reply:
	case <-timeout.C:
		return nil, false
	}
	select {
	case open = <-reply:
		return open, true
	case <-timeout.C:
		return nil, false
	}
}
