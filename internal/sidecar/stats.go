package sidecar

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
)

// stats owns what is counted of requests since the process began. Both the figures for operators and the line of
// counts in the log read it; each reads one consistent snapshot.
type stats struct {
	mu  sync.Mutex
	now figures
}

// figures is a snapshot of stats.
type figures struct {
	classes        map[string]ends // those in force, and any other that was counted
	taken, gone    int64           // gone: the client left before the answer
	dispatches     int64           // attempts written whole
	concurrent     int64           // requests taken and not ended
	targets        int64           // upstreams in the list
	avoided        int64           // of them, those banned by hand or ejected
	loaded, turned int64           // files taken and turned down at SIGHUP
}

// ends is how requests of a class ended.
type ends struct{ served, refused, failed int64 }

func newStats() *stats { return &stats{now: figures{classes: map[string]ends{}}} }

func (s *stats) change(f func(*figures)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.now)
}

func (s *stats) snapshot() figures {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now
	now.classes = maps.Clone(s.now.classes)
	return now
}

// begin counts a request as taken, until end.
func (s *stats) begin() {
	s.change(func(f *figures) { f.taken++; f.concurrent++ })
}

// end counts a request that was taken by how it ended, once.
func (s *stats) end(class string, how answerKind) {
	s.change(func(f *figures) {
		f.concurrent--
		c := f.classes[class]
		switch how {
		case served:
			c.served++
		case refused:
			c.refused++
		case left:
			f.gone++
		default:
			c.failed++
		}
		f.classes[class] = c
	})
}

// name lists classes from now on, also those without a request.
func (s *stats) name(classes []string) {
	s.change(func(f *figures) {
		for _, class := range classes {
			f.classes[class] = f.classes[class] // 0 where it is new
		}
	})
}

func (s *stats) dispatched() {
	s.change(func(f *figures) { f.dispatches++ })
}

func (s *stats) reload(taken bool) {
	s.change(func(f *figures) {
		if taken {
			f.loaded++
		} else {
			f.turned++
		}
	})
}

func (s *stats) upstreams(targets, avoided int) {
	s.change(func(f *figures) { f.targets, f.avoided = int64(targets), int64(avoided) })
}

// total adds up the classes.
func (f *figures) total() (t ends) {
	for _, c := range f.classes {
		t.served += c.served
		t.refused += c.refused
		t.failed += c.failed
	}
	return t
}

// since is what was counted after an earlier snapshot, for the log.
func (f *figures) since(before *figures) []slog.Attr {
	now, then := f.total(), before.total()
	return []slog.Attr{slog.Int64("taken", f.taken-before.taken), slog.Int64("served", now.served-then.served),
		slog.Int64("refused", now.refused-then.refused), slog.Int64("failed", now.failed-then.failed), slog.Int64("gone", f.gone-before.gone)}
}

// lines words the figures for operators, in the form of their page; metrics libraries have forms of their own.
func (f *figures) lines() string {
	var s strings.Builder
	counter := func(name string, n int64) { fmt.Fprintf(&s, "gw.%s:%d|c\n", name, n) }
	gauge := func(name string, n int64) { fmt.Fprintf(&s, "gw.%s:%d|g\n", name, n) }
	for _, class := range slices.Sorted(maps.Keys(f.classes)) {
		c := f.classes[class]
		counter("success."+class, c.served)
		counter("overload."+class, c.refused)
		counter("error."+class, c.failed)
	}
	counter("dispatches", f.dispatches)
	gauge("concurrent", f.concurrent)
	gauge("targets", f.targets)
	gauge("targets_disabled", f.avoided)
	counter("reload_success", f.loaded)
	counter("reload_failure", f.turned)
	return s.String()
}
