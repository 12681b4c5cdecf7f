package message

import (
	"fmt"
	"strings"
	"testing"

	"mosslead/internal/golden"
)

// Guards against a change of the encoded bytes of a message: during an update, sidecars of two versions gossip
// with each other for days.
func TestMessagesKeepTheirBytes(t *testing.T) {
	var text strings.Builder
	for _, message := range []any{&Member{}, &Record{}, &Report{}, &Pressure{}, &ProbeResult{}, &Summary{}, &Announcement{}} {
		golden.Fill(message)
		encoded, err := Encode(message)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%x\n", encoded)
	}
	kinds := []Kind{Breaker, LoadReport, Digest, Incident, Probe, PressureRequest}
	states, evidence := []BreakerState{Closed, Open, HalfOpen}, []Evidence{ErrorAnswers, BrokenConnections, Silence, Rejections}
	faults := []SiteFault{SiteUnreachable, SitePartitioned}
	fmt.Fprintf(&text, "%d %d %d %d %d\n", kinds, Schema, states, evidence, faults)
	golden.Equal(t, "messages", text.String())
}
