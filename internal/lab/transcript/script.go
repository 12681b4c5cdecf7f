package transcript

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Script is a record in steps, for parties on real connections: what is said within a step is told conversation by conversation, each in
// its own order, and no times are told. So nothing varies as long as each step waits for all that it brings about. Safe for concurrent
// use.
type Script struct {
	mu            sync.Mutex
	conversations [][2]string // conversations, in the order in which they are told
	steps         []step
	changed       chan struct{} // closed with the next word
}

type step struct {
	title string
	lines map[int][]string // by conversation
}

// NewScript is a record without a step. What is said before the first is not recorded.
func NewScript() *Script { return &Script{changed: make(chan struct{})} }

// Step begins the next step.
func (s *Script) Step(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps = append(s.steps, step{fmt.Sprintf(format, args...), map[int][]string{}})
}

// Between has a conversation told after those that are known so far.
func (s *Script) Between(a, b string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conversationIndex(a, b)
}

func (s *Script) conversationIndex(a, b string) int {
	i := slices.IndexFunc(s.conversations, func(p [2]string) bool { return p == [2]string{a, b} || p == [2]string{b, a} })
	if i < 0 {
		i = len(s.conversations)
		s.conversations = append(s.conversations, [2]string{a, b})
	}
	return i
}

// Say records words of a party to another, or to itself. They may have several lines.
func (s *Script) Say(from, to, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.steps) == 0 {
		return
	}
	who := from
	if to != from {
		who += " > " + to
	}
	now := &s.steps[len(s.steps)-1]
	i := s.conversationIndex(from, to)
	text := strings.TrimRight(fmt.Sprintf(format, args...), "\n")
	now.lines[i] = append(now.lines[i], who+": "+strings.ReplaceAll(text, "\n", "\n\t")+"\n")
	close(s.changed)
	s.changed = make(chan struct{})
}

// Await waits, a minute at most, until a party has said something that holds part to another in this step.
func (s *Script) Await(ctx context.Context, from, to, part string) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		s.mu.Lock()
		changed, heard := s.changed, false
		for _, text := range s.steps[len(s.steps)-1].lines[s.conversationIndex(from, to)] {
			heard = heard || strings.HasPrefix(text, from+" > "+to+": ") && strings.Contains(text, part)
		}
		s.mu.Unlock()
		if heard {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("%s has not said %q to %s: %w", from, part, to, context.Cause(ctx))
		}
	}
}

// Eventually waits, a minute at most, until something is so that is said nowhere.
func Eventually(ctx context.Context, what string, so func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for !so() {
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, context.Cause(ctx))
		}
	}
	return nil
}

// Text words the record.
func (s *Script) Text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var text strings.Builder
	for i, now := range s.steps {
		if i > 0 {
			text.WriteString("\n")
		}
		fmt.Fprintf(&text, "== %s\n", now.title)
		for c := range s.conversations {
			for _, words := range now.lines[c] {
				text.WriteString(words)
			}
		}
	}
	return text.String()
}
