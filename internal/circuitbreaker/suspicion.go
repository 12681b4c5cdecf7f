package circuitbreaker

import "time"

const (
	stoppedGap         = 500 * time.Millisecond // a longer gap between checks means that the process was stopped or starved
	latenessWindow     = 20.0                   // number of checks over which lateness is averaged
	suspicionTime      = 3 * time.Second        // for this long after it was stopped, a process distrusts its own reports
	minVisibleFraction = 0.5                    // a member that sees less than this fraction of the members that it saw recently is itself cut off
)

// SelfSuspicion computes how far a sidecar distrusts its own reports, from how late its own checks are and how
// many of the other members it still sees.
type SelfSuspicion struct {
	interval  time.Duration // between checks
	checkedAt time.Duration
	lateness  float64 // mean fraction of the time between checks by which they were late
	stoppedAt time.Duration
	largest   memberCount // largest recent number of present members
}

// NewSelfSuspicion returns the SelfSuspicion of a sidecar that starts at now and calls Check at least every
// interval.
func NewSelfSuspicion(now, interval time.Duration) *SelfSuspicion {
	return &SelfSuspicion{interval: interval, checkedAt: now, stoppedAt: -suspicionTime}
}

// Check records a check at now and returns the suspicion for reports, 0 to 1. present is the number of members
// that are present, and loopDelay how long an event has waited for the sidecar's event loop.
func (s *SelfSuspicion) Check(now time.Duration, present int, loopDelay time.Duration) float64 {
	gap := max(now-s.checkedAt, loopDelay)
	s.checkedAt = now
	late := 0.0
	if gap > 2*s.interval { // a gap of up to two intervals may be chance
		late = 1 - float64(s.interval)/float64(gap)
	}
	s.lateness += (late - s.lateness) / latenessWindow
	if gap > stoppedGap {
		s.stoppedAt = now
	}
	if present >= s.largest.n || now-s.largest.at > sizeMemory {
		s.largest = memberCount{present, now}
	}
	if now-s.stoppedAt < suspicionTime || float64(present) < minVisibleFraction*float64(s.largest.n) {
		return 1
	}
	return min(1, 2*s.lateness)
}
