package circuitbreaker

import "time"

const (
	stoppedGap         = 500 * time.Millisecond // a check that comes later than this means that the process was stopped, or as good as
	latenessWindow     = 20.0                   // checks over which lateness is averaged
	suspicionTime      = 3 * time.Second        // what a stopped process saw is not to be believed for so long afterwards
	minVisibleFraction = 0.5                    // a member that sees less than this fraction of those that it saw of late is itself cut off
)

// SelfSuspicion is how far a sidecar distrusts its own reports, by how late its own checks come and how many
// of the other members it still sees.
type SelfSuspicion struct {
	interval  time.Duration // between checks
	checkedAt time.Duration
	lateness  float64 // mean fraction of the time between checks that was too long
	stoppedAt time.Duration
	largest   memberCount // members
}

// NewSelfSuspicion begins at now, for a sidecar that checks itself at least every interval.
func NewSelfSuspicion(now, every time.Duration) *SelfSuspicion {
	return &SelfSuspicion{interval: every, checkedAt: now, stoppedAt: -suspicionTime}
}

// Check is a check at now, with so many members present; loop is how long the sidecar's loop has left an
// event waiting. It returns the suspicion for reports, 0 to 1.
func (s *SelfSuspicion) Check(now time.Duration, present int, loop time.Duration) float64 {
	gap := max(now-s.checkedAt, loop)
	s.checkedAt = now
	late := 0.0
	if gap > 2*s.interval { // a single delay happens by chance
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
