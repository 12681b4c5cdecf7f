// Package transcript records the messages between hosts of a memnet network, or between parties without a network, as a text
// that a person can approve. It also has parties that a script controls.
package transcript

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"mosslead/internal/lab/memnet"
)

// Transcript is a record of a network's events. Nothing in it is masked: in a synctest bubble with fixed addresses and seeds
// nothing varies, dates and ports included. The zero Transcript records nothing until Begin is called.
type Transcript struct {
	mu        sync.Mutex
	start     time.Time
	recording bool
	events    []memnet.Event
}

// Begin starts an empty record at the present time of the bubble, and discards an earlier one.
func (t *Transcript) Begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.start, t.recording, t.events = time.Now(), true, nil
}

// Take records an event. It is meant as the argument of memnet.New.
func (t *Transcript) Take(e memnet.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.recording {
		t.events = append(t.events, e)
	}
}

// kindText is the kind of an event that is a message in words, not on a connection.
const kindText memnet.Kind = -1

// Say records a message of a party that uses no network, to another or to itself.
func (t *Transcript) Say(from, to, format string, args ...any) {
	t.Take(memnet.Event{At: time.Now(), From: from, To: to, Kind: kindText, Bytes: fmt.Appendf(nil, format, args...)})
}

// Stop ends the record.
func (t *Transcript) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recording = false
}

// verbs holds the words for events on connections.
var verbs = map[memnet.Kind]string{memnet.Dials: "connects", memnet.Refuses: "refuses", memnet.Sends: "sends", memnet.Leaves: "gives up connecting",
	memnet.Ends: "ends its sending", memnet.Closes: "closes", memnet.Resets: "resets"}

// Text returns the record as text: for each message the time in ms since the start, its sender and receiver, and its bytes as in
// a Go string, with a line break after each \n. The second and later connections between the same two hosts have a number. Events
// of the same moment are in the order of the hosts' names, and the messages of one side in the order in which they were sent.
func (t *Transcript) Text() string {
	t.mu.Lock()
	events := slices.Clone(t.events)
	t.mu.Unlock()
	slices.SortStableFunc(events, func(a, b memnet.Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To), cmp.Compare(a.Conn, b.Conn))
	})
	var text strings.Builder
	numbers, pairs := map[int]int{}, map[[2]string]int{}
	for i := 0; i < len(events); i++ {
		e := events[i]
		if e.Kind == kindText {
			fmt.Fprintf(&text, "%s %s > %s: %s\n", t.ms(e), e.From, e.To, e.Bytes)
			continue
		}
		for i+1 < len(events) && continues(e, events[i+1]) { // a message that was written in pieces
			i++
			e.Bytes = slices.Concat(e.Bytes, events[i].Bytes)
		}
		if e.Kind == memnet.Dials {
			pairs[[2]string{e.From, e.To}]++
			numbers[e.Conn] = pairs[[2]string{e.From, e.To}]
		}
		number := ""
		if n := numbers[e.Conn]; n > 1 {
			number = fmt.Sprintf(" (%d)", n)
		}
		fmt.Fprintf(&text, "%s %s > %s%s %s\n", t.ms(e), e.From, e.To, number, verbs[e.Kind])
		for line := range bytes.Lines(e.Bytes) {
			quoted := strconv.Quote(string(line))
			fmt.Fprintf(&text, "\t%s\n", strings.ReplaceAll(quoted[1:len(quoted)-1], `\"`, `"`))
		}
	}
	return text.String()
}

// ms returns the time of an event since the start, in ms.
func (t *Transcript) ms(e memnet.Event) string {
	return strconv.FormatFloat(float64(e.At.Sub(t.start).Microseconds())/1000, 'f', -1, 64)
}

// continues reports whether b is a further piece of the message a.
func continues(a, b memnet.Event) bool {
	return a.Kind == memnet.Sends && b.Kind == memnet.Sends && a.At.Equal(b.At) && a.Conn == b.Conn && a.From == b.From
}
