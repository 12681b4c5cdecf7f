package balancer

import "time"

// The wait before the list is asked for again doubles from basePollBackoff to maxPollBackoff, and is jittered
// to between half and one and a half of itself. A call that gets no answer takes 2.5 s more, and a change is
// to be known within 6 s.
const (
	basePollBackoff = time.Second
	maxPollBackoff  = 2 * time.Second
)

// discovery is the state of the subscription to the endpoint list.
type discovery struct {
	subscribed bool
	pending    bool // a Subscribe has no answer yet
	failures   int  // in a row
}

// needsSubscribe tells whether a Subscribe is due.
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

// onWatchUpdate notes that an update came.
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
