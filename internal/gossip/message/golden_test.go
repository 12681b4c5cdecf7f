package message

import (
	"fmt"
	"strings"
	"testing"

	"mosslead/internal/golden"
)

// Sidecars of two versions gossip with each other for days. The bytes of each message are what they have in common.
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
	fmt.Fprintln(&text, string(kinds), Schema, string([]BreakerState{Closed, Open, HalfOpen}), string([]Evidence{ErrorAnswers, BrokenConnections, Silence, Rejections}), string([]SiteFault{SiteUnreachable, SitePartitioned}))
	golden.Equal(t, "messages", text.String())
}
