package sidecar

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
)

// stats counts requests since the start of the process, for the operators' port and the log. It is safe for concurrent use.
type stats struct {
	mu      sync.Mutex
	current statsSnapshot
}

// statsSnapshot holds the counts of stats at one time.
type statsSnapshot struct {
	classes                         map[string]outcomes // by name; includes the configured classes, and others that had requests
	accepted, disconnected          int64               // requests accepted, and those of them whose client closed its connection before the answer
	dispatches                      int64               // attempts that were written completely
	concurrent                      int64               // requests in progress
	targets                         int64               // listed upstreams
	unavailable                     int64               // listed upstreams that an operator banned or that are ejected
	reloadsApplied, reloadsRejected int64               // configurations applied and rejected
}

// outcomes counts the requests of a class by their answers.
type outcomes struct{ served, rejected, failed int64 }

func newStats() *stats { return &stats{current: statsSnapshot{classes: map[string]outcomes{}}} }

// update calls f with the current counts while it holds the lock.
func (s *stats) update(f func(*statsSnapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.current)
}

func (s *stats) snapshot() statsSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	clone := s.current
	clone.classes = maps.Clone(s.current.classes)
	return clone
}

// begin counts a request as accepted and in progress.
func (s *stats) begin() {
	s.update(func(current *statsSnapshot) { current.accepted++; current.concurrent++ })
}

// end counts the answer to a request, once for each begin.
func (s *stats) end(class string, kind answerKind) {
	s.update(func(current *statsSnapshot) {
		current.concurrent--
		c := current.classes[class]
		switch kind {
		case served:
			c.served++
		case rejected:
			c.rejected++
		case disconnected:
			current.disconnected++
		default:
			c.failed++
		}
		current.classes[class] = c
	})
}

// addClasses adds classes, which are then listed even without requests.
func (s *stats) addClasses(classes []string) {
	s.update(func(current *statsSnapshot) {
		for _, class := range classes {
			if _, counted := current.classes[class]; !counted {
				current.classes[class] = outcomes{}
			}
		}
	})
}

func (s *stats) countDispatched() {
	s.update(func(current *statsSnapshot) { current.dispatches++ })
}

func (s *stats) countReload(applied bool) {
	s.update(func(current *statsSnapshot) {
		if applied {
			current.reloadsApplied++
		} else {
			current.reloadsRejected++
		}
	})
}

func (s *stats) setEndpoints(targets, unavailable int) {
	s.update(func(current *statsSnapshot) {
		current.targets, current.unavailable = int64(targets), int64(unavailable)
	})
}

// total returns the outcomes of all classes together.
func (s *statsSnapshot) total() (sum outcomes) {
	for _, c := range s.classes {
		sum.served += c.served
		sum.rejected += c.rejected
		sum.failed += c.failed
	}
	return sum
}

// since returns the counts since an earlier snapshot, as log attributes.
func (s *statsSnapshot) since(before *statsSnapshot) []slog.Attr {
	total, earlier := s.total(), before.total()
	return []slog.Attr{slog.Int64("accepted", s.accepted-before.accepted), slog.Int64("served", total.served-earlier.served),
		slog.Int64("rejected", total.rejected-earlier.rejected), slog.Int64("failed", total.failed-earlier.failed), slog.Int64("disconnected", s.disconnected-before.disconnected)}
}

// lines returns the counts in the format of the operators' call STATS.
func (s *statsSnapshot) lines() string {
	var text strings.Builder
	counter := func(name string, n int64) { fmt.Fprintf(&text, "gw.%s:%d|c\n", name, n) }
	gauge := func(name string, n int64) { fmt.Fprintf(&text, "gw.%s:%d|g\n", name, n) }
	for _, class := range slices.Sorted(maps.Keys(s.classes)) {
		c := s.classes[class]
		counter("success."+class, c.served)
		counter("overload."+class, c.rejected)
		counter("error."+class, c.failed)
	}
	counter("dispatches", s.dispatches)
	gauge("concurrent", s.concurrent)
	gauge("targets", s.targets)
	gauge("targets_disabled", s.unavailable)
	counter("reload_success", s.reloadsApplied)
	counter("reload_failure", s.reloadsRejected)
	return text.String()
}
