package balancer

import (
	"fmt"
	"log/slog"
	"strings"
	"time"
)

// ActionKind tells what is to be done.
type ActionKind int

// The kinds of actions. Each names the fields of Action that it uses.
const (
	// StartAttempt starts the next attempt of request ID at Upstream, which ends after Timeout. Its first byte
	// may not be sent at clock time At or later, unless At is 0.
	StartAttempt ActionKind = iota
	// CancelAttempt ends attempt number Attempt of request ID.
	CancelAttempt
	// Reject is the final answer to request ID: it did not run, or may run again. RetryAfter is advice.
	Reject
	// Fail is the final answer to request ID: whether it ran is not known.
	Fail
	// SetTimer asks for TimerFired at clock time At. It replaces an earlier SetTimer.
	SetTimer
	// Subscribe asks for the endpoint list and its changes.
	Subscribe
	// Log is a line for operators: Text and Attrs.
	Log
	// ReportEvidence is own evidence on the process of Upstream that started At, for other sidecars: Class,
	// Evidence, Count, Suspicion and Probe. It comes only with Settings.ShareEvidence.
	ReportEvidence
)

// Action is one thing to do.
type Action struct {
	Kind       ActionKind
	ID         string
	Upstream   string
	Attempt    int // number of the attempt, from 0
	Timeout    time.Duration
	RetryAfter time.Duration
	At         time.Duration
	Text       string
	Attrs      []slog.Attr

	// Evidence is why the endpoint is ejected. EvidenceNone: it is used again, or, with a Count above 0, it
	// serves this sidecar in spite of a verdict of others.
	Evidence  Evidence
	Count     int    // attempts that the evidence rests on
	Class     string // class of the requests that it rests on; empty: all
	Suspicion bool   // a first failure: the endpoint is not ejected
	Probe     bool   // result of a probe made for all sidecars: a success with EvidenceNone
}

// LogLine is the line of a Log action as plain text: the text, and its attributes as key=value.
func (a *Action) LogLine() string {
	var line strings.Builder
	line.WriteString(a.Text)
	for _, attr := range a.Attrs {
		fmt.Fprintf(&line, " %s", attr)
	}
	return line.String()
}
