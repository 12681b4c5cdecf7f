package transcript

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Script is a record in steps, for parties on real connections. Its text lists the messages of a step conversation by conversation, each
// in its own order, and without times. The text is the same in every run if each step waits for everything that it
// causes. Script is safe for concurrent use.
type Script struct {
	mu            sync.Mutex
	conversations [][2]string // the two parties of each, in the order of the text
	steps         []step
	changed       chan struct{} // closed when the next message is recorded
}

type step struct {
	title string
	lines map[int][]string // by index of the conversation
}

// NewScript returns a record without a step. Messages before the first step are not recorded.
func NewScript() *Script { return &Script{changed: make(chan struct{})} }

// Step begins the next step.
func (s *Script) Step(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps = append(s.steps, step{fmt.Sprintf(format, args...), map[int][]string{}})
}

// Between adds a conversation after those that are known so far, which sets its place in the text.
func (s *Script) Between(a, b string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conversationIndex(a, b)
}

// conversationIndex returns the index of the conversation of two parties, and adds it if there is none.
func (s *Script) conversationIndex(a, b string) int {
	i := slices.IndexFunc(s.conversations, func(p [2]string) bool { return p == [2]string{a, b} || p == [2]string{b, a} })
	if i < 0 {
		i = len(s.conversations)
		s.conversations = append(s.conversations, [2]string{a, b})
	}
	return i
}

// Say records a message of a party to another, or to itself. It may have several lines.
func (s *Script) Say(from, to, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.steps) == 0 {
		return
	}
	prefix := from
	if to != from {
		prefix += " > " + to
	}
	current := &s.steps[len(s.steps)-1]
	i := s.conversationIndex(from, to)
	text := strings.TrimRight(fmt.Sprintf(format, args...), "\n")
	current.lines[i] = append(current.lines[i], prefix+": "+strings.ReplaceAll(text, "\n", "\n\t")+"\n")
	close(s.changed)
	s.changed = make(chan struct{})
}

// Await waits, a minute at most, until a message from one party to another in the current step contains part.
func (s *Script) Await(ctx context.Context, from, to, part string) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		s.mu.Lock()
		changed, found := s.changed, false
		for _, text := range s.steps[len(s.steps)-1].lines[s.conversationIndex(from, to)] {
			found = found || strings.HasPrefix(text, from+" > "+to+": ") && strings.Contains(text, part)
		}
		s.mu.Unlock()
		if found {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("%s has not said %q to %s: %w", from, part, to, context.Cause(ctx))
		}
	}
}

// Eventually waits, a minute at most, until condition returns true. It is for states that no message shows; what names the state in the
// error.
func Eventually(ctx context.Context, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, context.Cause(ctx))
		}
	}
	return nil
}

// Text returns the record as text.
func (s *Script) Text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var text strings.Builder
	for i, st := range s.steps {
		if i > 0 {
			text.WriteString("\n")
		}
		fmt.Fprintf(&text, "== %s\n", st.title)
		for c := range s.conversations {
			for _, line := range st.lines[c] {
				text.WriteString(line)
			}
		}
	}
	return text.String()
}
