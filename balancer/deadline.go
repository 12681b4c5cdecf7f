package balancer

import "time"

const (
	maxVotes = 20 // upper bound of firstAttemptTime.votes
	// An attempt is stalled if its endpoint has served another attempt that was sent more than stallObjectives
	// mean latency objectives later.
	stallObjectives = 1.5
)

// firstAttemptTime estimates, by majority vote, how much time clients of a class have for their first
// attempt. Repeats are a minority, and all first attempts have the same time remaining.
type firstAttemptTime struct {
	remaining time.Duration // from arrival to expiry
	votes     int           // requests that agreed minus those that did not; 0 to maxVotes
}

// vote counts a request with the given time remaining, and reports whether it agrees with the estimate.
func (f *firstAttemptTime) vote(remaining, tolerance time.Duration) bool {
	if (remaining - f.remaining).Abs() <= tolerance {
		f.votes = min(f.votes+1, maxVotes)
		return true
	}
	if f.votes--; f.votes < 0 {
		f.remaining, f.votes = remaining, 0
	}
	return false
}

// settled reports whether enough requests agreed for the estimate to be used.
func (f *firstAttemptTime) settled() bool { return f.votes > maxVotes/2 }

// firstAttemptAt returns when the client first sent this request, as estimated from its expiry: a repeat has
// less time remaining than a first attempt, since all of a client's attempts have the deadline of the first.
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
// expires, so that its answer arrives in time even if the next events come a tick late, and sooner by
// answerDelay. If a late answer has no value, later work would be useless, and the request is abandoned at
// the latest a tick before its objective ends. The objective is then counted from the client's first
// attempt.
func (b *Balancer) setDeadlines(r *request, expiresAt, answerDelay time.Duration) {
	c := r.class
	r.arrivedAt, r.expiresAt = b.now, expiresAt
	objective := c.LatencyObjective + time.Duration(c.ObjectiveStretch*float64(r.costHint))
	r.objectiveAt = b.now + min(objective, c.Deadline)
	valuableUntil := r.objectiveAt + c.firstAttemptAt(b.now, expiresAt, b.settings.Tick) - b.now
	r.pastObjective = valuableUntil <= b.now
	r.abandonAt = r.expiresAt - 2*b.settings.Tick - answerDelay
	if c.LateValueFraction == 0 {
		r.abandonAt = min(r.abandonAt, valuableUntil-b.settings.Tick)
	}
}

// abandon ends a request without an answer from an endpoint: it is rejected if repeating it is harmless, and
// fails otherwise.
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
	b.cancelOthers(r, -1) // after the answer, which shows that no attempt will follow
	b.closeRequest(r)
}

// retryAfter returns how long a rejected client should wait. That is MaxRetryAfter. If a late answer has
// value, and MaxRetryAfter is shorter than the deadline, it is at most half of the time until the request's
// objective ends, so that the repeat arrives before then.
func (b *Balancer) retryAfter(r *request) time.Duration {
	if !b.settings.RetryAfter {
		return 0
	}
	advice := b.settings.MaxRetryAfter
	remaining := (r.objectiveAt - b.now) / 2
	if remaining > 0 && r.class.LateValueFraction > 0 && advice < r.class.Deadline {
		advice = min(advice, remaining)
	}
	return advice
}

// onAbandonTimer ends a request whose time is over, except one that is already being forwarded while its
// body is received.
func (b *Balancer) onAbandonTimer(r *request) {
	if b.now >= r.abandonAt && (!r.bodyPending || r.pendingAttempts == 0) {
		b.abandon(r)
	}
}

func (b *Balancer) startStallTimer(r *request) {
	b.startTimer(b.now+seconds(stallObjectives*b.meanObjective), timerStall, r)
}

// checkStalled marks r as stalled if the endpoint of its latest attempt has served another attempt that was
// sent much later; in a queue, the earlier attempt would be served first. It guards against answers that
// never arrive, for example because a network path fails silently: a few such requests would count as load,
// and cause others to be rejected.
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
