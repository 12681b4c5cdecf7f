package balancer

import (
	"fmt"
	"log/slog"
	"strings"
	"time"
)

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions. The comment on each names the fields of Action that it uses.
const (
	// StartAttempt starts the next attempt of request ID at Upstream, with Timeout as its timeout. Its first
	// byte must be sent before clock time At, unless At is 0.
	StartAttempt ActionKind = iota
	// CancelAttempt ends attempt number Attempt of request ID.
	CancelAttempt
	// Reject is the final answer to request ID, which did not run or may run again. RetryAfter is how long the
	// client should wait before it sends the request again.
	Reject
	// Fail is the final answer to request ID: it is unknown whether the request ran.
	Fail
	// SetTimer requests a TimerFired event at clock time At. It replaces an earlier SetTimer.
	SetTimer
	// Subscribe requests the endpoint list and its changes.
	Subscribe
	// Log is a log line for operators: Text and Attrs.
	Log
	// ReportEvidence reports to other sidecars what this sidecar's attempts show about the process of Upstream
	// that started at At, with Class, Evidence, Count, Suspicion and Probe. It is emitted only with
	// Settings.ShareEvidence.
	ReportEvidence
)

// Action is an instruction to the sidecar.
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

	// Evidence is the cause of the endpoint's ejection. EvidenceNone means that the endpoint is in use again
	// or, with a Count above 0, that it serves this sidecar in spite of a verdict of other sidecars.
	Evidence  Evidence
	Count     int    // number of attempts that the evidence is based on
	Class     string // class of these attempts' requests; empty: all classes
	Suspicion bool   // the report is of a first failure; the endpoint is not ejected
	Probe     bool   // Evidence is the result of a probe for all sidecars: EvidenceNone if it succeeded
}

// LogLine returns the line of a Log action as plain text: Text, then the attributes as key=value.
func (a *Action) LogLine() string {
	var line strings.Builder
	line.WriteString(a.Text)
	for _, attr := range a.Attrs {
		fmt.Fprintf(&line, " %s", attr)
	}
	return line.String()
}
