package watch

import "time"

const (
	// Silence is how long a watch may be silent. The server sends an empty line every 2 s. If a line comes
	// more than a quarter of that interval late, the only cost is one more call: the silent watch stays open beside it.
	Silence = 2500 * time.Millisecond
	// Step is how long a call may be silent before a second is opened beside it. A third replaces the first, so
	// that each call has two steps to respond: some servers hold back the response head until the first line.
	Step = Silence / 2
	// outageStep is the step during an outage, after outageAfter calls without a line.
	outageStep  = 2 * time.Second
	outageAfter = 3
	// responseMargin is the time from the start of a call to the last request that its list can't stop any more: for
	// connecting, for one list, and for a process that is held up between a check and a write.
	responseMargin = 500 * time.Millisecond
	// minSilence bounds the rate of calls if changes have to be applied within a very short time.
	minSilence = 100 * time.Millisecond
)

// Timing has the time-outs of a Follower.
type Timing struct {
	Silence    time.Duration // how long a watch may be silent before another call is opened beside it
	Step       time.Duration // how long a call may be silent before another is opened beside it
	OutageStep time.Duration // the step during an outage
}

// DefaultTiming returns the time-outs for a list whose changes have to be applied within NotifyDeadline.
func DefaultTiming() Timing {
	return Timing{Silence: Silence, Step: Step, OutageStep: outageStep}
}

// TimingWithin returns the time-outs with which requests stop within bound of a change, counted from when the server has the
// change and can be reached, if it then responds to a call at once. If bound is shorter than the interval of the empty lines,
// further calls check a watch also while nothing fails, since a silent watch can't be noticed in time otherwise.
func TimingWithin(bound time.Duration) Timing {
	silence := max(bound-responseMargin, bound/2, minSilence)
	return Timing{Silence: min(silence, Silence), Step: min(silence/2, Step), OutageStep: min(silence, outageStep)}
}

// short reports whether calls have less time to respond than with DefaultTiming.
func (t Timing) short() bool { return t.Silence < Silence }
