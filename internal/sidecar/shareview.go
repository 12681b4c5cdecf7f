package sidecar

import (
	"fmt"
	"strings"
	"time"

	"mosslead/internal/circuitbreaker"
)

// What operators see of the sharing: figures among the door's others, and the call PEERS.

// lines are the figures; "" where nothing is shared.
func (s *sharing) lines() string {
	if s == nil {
		return ""
	}
	var text strings.Builder
	gauge := func(name string, n int64) { fmt.Fprintf(&text, "gw.peers_%s:%d|g\n", name, n) }
	counter := func(name string, n int64) { fmt.Fprintf(&text, "gw.peers_%s:%d|c\n", name, n) }
	gauge("present", int64(s.carrier.Present()))
	fenced := int64(0)
	if s.carrier.Fenced() {
		fenced = 1
	}
	gauge("fenced", fenced)
	late, over := s.carrier.Dropped()
	counter("dropped", int64(late+over+s.reports.Dropped()+s.verdicts.Dropped()))
	held, waits, beyond := s.duties.count()
	gauge("duties_held", held)
	gauge("duties_waited_for", waits)
	counter("duties_beyond", beyond)
	if f := s.forwards; f != nil {
		f.mu.Lock()
		total := f.gauge.Now().Total
		f.mu.Unlock()
		gauge("pressure_thousandths", int64(1000*total))
		counter("forwarded", f.sent.Load())
		counter("came_home", f.home.Load())
		counter("taken", f.taken.Load())
		counter("turned_away", f.turned.Load())
	}
	return text.String()
}

// view answers PEERS: a line for each member, open breaker and duty, and what was dropped.
func (s *sharing) view() string {
	if s == nil {
		return "NO this sidecar shares nothing\n"
	}
	var text strings.Builder
	text.WriteString("YES\n")
	for _, m := range s.carrier.Members() {
		fmt.Fprintf(&text, "member %s %s version %q schema %d since %s\n", m.Name, m.Site, m.Version, m.Schema,
			time.UnixMilli(m.Incarnation.StartedMs).UTC().Format(time.RFC3339))
	}
	if s.carrier.Fenced() {
		text.WriteString("fenced: a newer process has this one's name\n")
	}
	standing, told := s.standing()
	if !told {
		text.WriteString("breakers: their thread is too busy to tell\n")
	}
	for _, v := range standing {
		fmt.Fprintf(&text, "breaker %s %s for %v, %s\n", v.Upstream, v.Class, v.For.Round(time.Millisecond), v.Why)
	}
	text.WriteString(s.duties.lines())
	if f := s.forwards; f != nil {
		f.mu.Lock()
		p := f.gauge.Now()
		f.mu.Unlock()
		fmt.Fprintf(&text, "pressure %.2f: processor %.2f descriptors %.2f heap %.2f in hand %.2f zone %.2f\n", p.Total, p.CPU, p.Sockets, p.Heap, p.InHand, p.Site)
		fmt.Fprintf(&text, "forwarded %d, of them home unbegun %d; taken from peers %d, refused to them %d\n", f.sent.Load(), f.home.Load(), f.taken.Load(), f.turned.Load())
	}
	late, over := s.carrier.Dropped()
	fmt.Fprintf(&text, "dropped: records %d, over an owner's bound %d, reports %d, verdicts %d\n", late, over, s.reports.Dropped(), s.verdicts.Dropped())
	return text.String() + "END\n"
}

// standing asks the breakers' thread which verdicts are open; false: it does not answer in time.
func (s *sharing) standing() (open []circuitbreaker.Verdict, told bool) {
	answer := make(chan []circuitbreaker.Verdict, 1)
	late := time.NewTimer(doorWait)
	defer late.Stop()
	select {
	case s.asked <- answer:
	case <-late.C:
		return nil, false
	}
	select {
	case open = <-answer:
		return open, true
	case <-late.C:
		return nil, false
	}
}
