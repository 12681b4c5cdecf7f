package balancer

import "time"

const (
	maxVotes = 20 // requests that settle a class's firstAttemptTime
	// stallObjectives is how many mean latency objectives later an endpoint must have been sent what it has
	// served for an earlier attempt to count as stalled.
	stallObjectives = 1.5
)

// firstAttemptTime learns how much time clients of a class leave for their first attempt. Most requests are
// first attempts, and have the same time left.
type firstAttemptTime struct {
	remaining time.Duration
	votes     int // requests that agreed, less those that did not; maxVotes at most
}

// vote counts a request that leaves so much time, and tells whether it is like most.
func (f *firstAttemptTime) vote(left, tolerance time.Duration) bool {
	if (left - f.remaining).Abs() <= tolerance {
		f.votes = min(f.votes+1, maxVotes)
		return true
	}
	if f.votes--; f.votes < 0 {
		f.remaining, f.votes = left, 0
	}
	return false
}

// settled tells whether most requests agreed.
func (f *firstAttemptTime) settled() bool { return f.votes > maxVotes/2 }

// firstAttemptAt is when the client first sent this request, as far as its expiry tells: a repeat has less
// time than a first attempt, since all of a client's attempts end with the deadline of the first.
func (c *class) firstAttemptAt(now, expiresAt, tick time.Duration) time.Duration {
	if c.firstAttempt.vote(expiresAt-now, 2*tick) {
		return now
	}
	if first := expiresAt - c.Deadline; c.firstAttempt.settled() && first < now {
		return first
	}
	return now
}

// setDeadlines sets when a request that arrives now is late, and when it is abandoned: two ticks before it
// expires, so that its answer arrives in time even if the next events come a tick late. Without late value it
// is abandoned at its objective, counted from the client's first attempt: work on it would earn nothing.
func (b *Balancer) setDeadlines(r *request, expiresAt time.Duration) {
	c := r.class
	r.arrivedAt, r.expiresAt = b.now, expiresAt
	objective := c.LatencyObjective + time.Duration(c.ObjectiveStretch*float64(r.costHint))
	r.objectiveAt = b.now + min(objective, c.Deadline)
	valuableUntil := r.objectiveAt + c.firstAttemptAt(b.now, expiresAt, b.settings.Tick) - b.now
	r.pastObjective = valuableUntil <= b.now
	r.abandonAt = r.expiresAt - 2*b.settings.Tick
	if c.LateValueFraction == 0 {
		r.abandonAt = min(r.abandonAt, valuableUntil-b.settings.Tick)
	}
}

// abandon ends a request without an answer from an endpoint: it is rejected, or fails if it may have run.
func (b *Balancer) abandon(r *request) {
	if r.done {
		return
	}
	b.adjustLimit(r)
	if canReject(r) {
		b.emit(Action{Kind: Reject, ID: r.id, RetryAfter: b.retryAfter(r)})
	} else {
		b.emit(Action{Kind: Fail, ID: r.id})
	}
	b.cancelOthers(r, -1) // after the answer, which says that no attempt will follow
	b.closeRequest(r)
}

// retryAfter is the advice to a rejected client: the longest wait that is allowed or, where the client comes
// back while a late answer still has value, half of what is left of its objective. It guards against repeats
// that come past the objective.
func (b *Balancer) retryAfter(r *request) time.Duration {
	if !b.settings.RetryAfter {
		return 0
	}
	advice := b.settings.MaxRetryAfter
	left := (r.objectiveAt - b.now) / 2
	if left > 0 && r.class.LateValueFraction > 0 && advice < r.class.Deadline {
		advice = min(advice, left)
	}
	return advice
}

// onAbandonTimer ends a request whose time is over, but for one whose body is being received and is passed on
// meanwhile.
func (b *Balancer) onAbandonTimer(r *request) {
	if b.now >= r.abandonAt && (!r.bodyPending || r.pendingAttempts == 0) {
		b.abandon(r)
	}
}

func (b *Balancer) startStallTimer(r *request) {
	b.startTimer(b.now+seconds(stallObjectives*b.meanObjective), timerStall, r)
}

// checkStalled looks whether the latest attempt is stalled: its endpoint has served what it was sent long
// after it, which no queue does. It guards against answers that never come, on a path that went silent, say:
// a few such requests would count as load, and others be rejected for them.
func (b *Balancer) checkStalled(r *request) {
	if n := len(r.attempts); n > 0 {
		last := r.attempts[n-1]
		if last.endpoint.health.lastServedSentAt-last.sentAt > seconds(stallObjectives*b.meanObjective) {
			r.stalled = true
			b.admission.stalled++
			return
		}
	}
	b.startTimer(b.now+seconds(b.meanObjective/2), timerStall, r)
}
