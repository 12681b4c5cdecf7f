package balancer

import "time"

// The wait before the list is requested again doubles from basePollBackoff to maxPollBackoff, and is
// multiplied by a random factor of 0.5 to 1.5. The maximum is low because a change must be known within 6 s:
// the longest wait is 3 s, and a call without an answer takes another 2.5 s.
const (
	basePollBackoff = time.Second
	maxPollBackoff  = 2 * time.Second
)

// discovery is the state of the subscription to the endpoint list.
type discovery struct {
	subscribed bool
	pending    bool // a Subscribe has not been answered yet
	failures   int  // consecutive
}

// needsSubscribe reports whether a Subscribe is due.
func (d *discovery) needsSubscribe() bool { return !d.pending && !d.subscribed }

func (b *Balancer) subscribe() {
	b.discovery.pending = true
	b.emit(Action{Kind: Subscribe})
}

func (b *Balancer) onWatchFailed() {
	d := &b.discovery
	if d.subscribed || d.failures == 0 {
		b.log("endpoint watch failed, polling with backoff")
	}
	d.subscribed, d.pending = false, false
	d.failures++
	backoff := min(basePollBackoff<<min(d.failures-1, maxDoublings), maxPollBackoff)
	wait := time.Duration(float64(backoff) * (0.5 + b.rng.Float64()))
	b.startTimer(b.now+wait, timerPoll, nil)
}

// onWatchUpdate records that an update of the list has arrived.
func (b *Balancer) onWatchUpdate() {
	d := &b.discovery
	if !d.pending {
		return
	}
	if d.failures > 0 {
		b.log("endpoint watch re-established")
	}
	d.subscribed, d.pending, d.failures = true, false, 0
}

func (b *Balancer) onPollTimer() {
	if b.discovery.needsSubscribe() {
		b.subscribe()
	}
}
