package sidecar

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
)

// stats counts requests since the start of the process, for the operators' port and the log. Safe for concurrent use.
type stats struct {
	mu      sync.Mutex
	current statsSnapshot
}

// statsSnapshot is a consistent copy of stats.
type statsSnapshot struct {
	classes                         map[string]outcomes // the configured ones, and others with requests
	accepted, disconnected          int64               // disconnected: the client left before the answer
	dispatches                      int64               // attempts that were written completely
	concurrent                      int64               // requests in progress
	targets                         int64               // listed upstreams
	unavailable                     int64               // of those, banned by an operator or ejected
	reloadsApplied, reloadsRejected int64               // configurations applied and rejected
}

// outcomes counts the requests of a class by their answers.
type outcomes struct{ served, rejected, failed int64 }

func newStats() *stats { return &stats{current: statsSnapshot{classes: map[string]outcomes{}}} }

func (s *stats) update(f func(*statsSnapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.current)
}

func (s *stats) snapshot() statsSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.current
	now.classes = maps.Clone(s.current.classes)
	return now
}

// begin counts a request as accepted and in progress.
func (s *stats) begin() {
	s.update(func(f *statsSnapshot) { f.accepted++; f.concurrent++ })
}

// end counts the answer to a request, once for each begin.
func (s *stats) end(class string, how answerKind) {
	s.update(func(f *statsSnapshot) {
		f.concurrent--
		c := f.classes[class]
		switch how {
		case served:
			c.served++
		case rejected:
			c.rejected++
		case clientGone:
			f.disconnected++
		default:
			c.failed++
		}
		f.classes[class] = c
	})
}

// addClasses adds classes, which are then listed even without requests.
func (s *stats) addClasses(classes []string) {
	s.update(func(f *statsSnapshot) {
		for _, class := range classes {
			if _, counted := f.classes[class]; !counted {
				f.classes[class] = outcomes{}
			}
		}
	})
}

func (s *stats) countDispatched() {
	s.update(func(f *statsSnapshot) { f.dispatches++ })
}

func (s *stats) countReload(taken bool) {
	s.update(func(f *statsSnapshot) {
		if taken {
			f.reloadsApplied++
		} else {
			f.reloadsRejected++
		}
	})
}

func (s *stats) setEndpoints(targets, avoided int) {
	s.update(func(f *statsSnapshot) { f.targets, f.unavailable = int64(targets), int64(avoided) })
}

// total returns the sum over the classes.
func (f *statsSnapshot) total() (t outcomes) {
	for _, c := range f.classes {
		t.served += c.served
		t.rejected += c.rejected
		t.failed += c.failed
	}
	return t
}

// since returns the counts since an earlier snapshot, as log attributes.
func (f *statsSnapshot) since(before *statsSnapshot) []slog.Attr {
	now, then := f.total(), before.total()
	return []slog.Attr{slog.Int64("accepted", f.accepted-before.accepted), slog.Int64("served", now.served-then.served),
		slog.Int64("rejected", now.rejected-then.rejected), slog.Int64("failed", now.failed-then.failed), slog.Int64("disconnected", f.disconnected-before.disconnected)}
}

// lines returns the figures for operators, in the format of their protocol.
func (f *statsSnapshot) lines() string {
	var s strings.Builder
	counter := func(name string, n int64) { fmt.Fprintf(&s, "gw.%s:%d|c\n", name, n) }
	gauge := func(name string, n int64) { fmt.Fprintf(&s, "gw.%s:%d|g\n", name, n) }
	for _, class := range slices.Sorted(maps.Keys(f.classes)) {
		c := f.classes[class]
		counter("success."+class, c.served)
		counter("overload."+class, c.rejected)
		counter("error."+class, c.failed)
	}
	counter("dispatches", f.dispatches)
	gauge("concurrent", f.concurrent)
	gauge("targets", f.targets)
	gauge("targets_disabled", f.unavailable)
	counter("reload_success", f.reloadsApplied)
	counter("reload_failure", f.reloadsRejected)
	return s.String()
}
