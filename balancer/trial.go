package balancer

import (
	"slices"
	"time"
)

// Trials made for all sidecars, of an upstream that hearsay keeps out, by the one whose duty they are: ordinary safe requests
// that clients sent, never more than one out at an upstream, each early enough to be sent elsewhere in time.

const (
	trialEvery = 300 * time.Millisecond // between trials that go well, jittered by half
	trialMax   = 5 * time.Second        // between trials that fail: they double up to this, as one sidecar's cost all others little
	trialTimes = 2.0                    // late quantiles that a trial waits at the most, and one at the least
	retryTimes = 1.5                    // medians that are left for the attempt after it
)

// trial is the upstream that r makes a trial of, or nil.
func (b *Balancer) trial(r *request) *upstream {
	if len(b.ours) == 0 || r.class.Effect != Safe || r.open || len(r.attempts) > 0 || b.retries < 1 ||
		min(r.most, b.set.MaxAttempts) < 2 || b.trialTime(r) < seconds(b.late.v*r.cost) {
		return nil
	}
	b.ours = slices.DeleteFunc(b.ours, func(u *upstream) bool { return b.ups[u.id] != u || !u.ours(b.now) })
	for _, u := range b.ours {
		t := u.talk
		if b.now < t.next || len(u.out) > 0 || b.classOut(u, r) || !b.mayTry(r, u) {
			continue
		}
		t.trying, t.number = r, len(r.attempts)
		return u
	}
	return nil
}

func (u *upstream) ours(now time.Duration) bool {
	t := u.talk.told[""]
	return t != nil && now < t.until && t.tries == TriesOurs
}

// trialTime is how long a trial waits for its answer: so long that another attempt can follow.
func (b *Balancer) trialTime(r *request) time.Duration {
	return min(seconds(trialTimes*b.late.v*r.cost), r.end-b.now-seconds(retryTimes*b.mid.v*r.cost))
}

// allowance is how long r's next attempt may take at u.
func (b *Balancer) allowance(r *request, u *upstream) time.Duration {
	d := max(r.end-b.now, b.set.Tick)
	if u.talk != nil && u.talk.trying == r {
		d = max(min(d, b.trialTime(r)), b.set.Tick)
	}
	return d
}

// tried takes a trial's outcome. What ended it before its time tells nothing.
func (b *Balancer) tried(a *attempt, res Result) {
	u, t := a.u, a.u.talk
	t.trying = nil
	if res == Cancelled || res == Moot || !u.ours(b.now) {
		return
	}
	wait, why := trialEvery, NoEvidence
	if res == OK {
		t.failed = 0
	} else {
		wait = min(ejectBase<<min(t.failed, 10), trialMax)
		t.failed++
		switch res {
		case ServerError:
			why = ByErrors
		case Overloaded:
			why = ByFull
		case Reset, ConnectFailed:
			why = ByBreaks
		default:
			why = BySilence
		}
	}
	t.next = b.now + time.Duration(float64(wait)*(0.75+0.5*b.rng.Float64()))
	b.act(Action{Kind: Report, Trial: true, Upstream: u.id, Evidence: why, Count: t.failed, At: u.cameUp})
}
