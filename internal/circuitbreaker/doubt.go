package circuitbreaker

import "time"

const (
	gapStopped = 500 * time.Millisecond // later than this, a process was stopped, or as good as
	gapMemory  = 20.0                   // looks over which lateness is averaged
	doubtFor   = 3 * time.Second        // what a stopped process saw is not to be believed for so long afterwards
	peersLost  = 0.5                    // a member that sees less than this part of those it saw of late is the one cut off
)

// Doubt is how far a sidecar doubts itself, from how late its own looks come and how many of the others it still sees.
type Doubt struct {
	every   time.Duration // between looks
	looked  time.Duration
	late    float64 // mean part of the time between looks that was too long
	stopped time.Duration
	most    size // members
}

// NewDoubt is of a process that looks at least every so often, beginning at now.
func NewDoubt(now, every time.Duration) *Doubt {
	return &Doubt{every: every, looked: now, stopped: -doubtFor}
}

// Look is a look at now, with so many members present; loop is how long the process's loop has left a word untaken. It returns
// 0 to 1, to be said as the doubt of reports.
func (d *Doubt) Look(now time.Duration, present int, loop time.Duration) float64 {
	gap := max(now-d.looked, loop)
	d.looked = now
	late := 0.0
	if gap > 2*d.every { // once too late is a matter of chance
		late = 1 - float64(d.every)/float64(gap)
	}
	d.late += (late - d.late) / gapMemory
	if gap > gapStopped {
		d.stopped = now
	}
	if present >= d.most.n || now-d.most.at > sizeMemory {
		d.most = size{present, now}
	}
	if now-d.stopped < doubtFor || float64(present) < peersLost*float64(d.most.n) {
		return 1
	}
	return min(1, 2*d.late)
}
