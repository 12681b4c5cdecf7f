package balancer

import "time"

// What other sidecars say of an upstream never enters an estimate: those come from this sidecar's own outcomes. It only keeps
// an upstream out of the ordinary picks for a while.

// hearsayPart is how much of a zone's upstreams hearsay may keep out at once: with more of them the reporters are the likelier
// trouble, and the rest would be crowded.
const hearsayPart = 1.0 / 3

// Hearsay brings a verdict that rests on others' reports, or with Until 0 its end.
type Hearsay struct {
	Upstream string
	CameUp   time.Duration // the life of it that is meant
	Class    string        // empty: every class
	Until    time.Duration // clock time
}

func (Hearsay) event() {}

// Evidence is why an upstream was left out.
type Evidence int

// The kinds of evidence.
const (
	NoEvidence Evidence = iota // it is used again
	ByErrors
	ByBreaks
	BySilence
	ByFull
)

// hear takes a verdict in. An upstream that answered this sidecar well since is not kept out, see keptOut.
func (b *Balancer) hear(e Hearsay) {
	u := b.ups[e.Upstream]
	if u == nil || (u.cameUp-e.CameUp).Abs() > sameStart {
		return
	}
	if e.Until <= b.now {
		delete(u.hearsay, e.Class)
		return
	}
	kept, all := 0, 0
	for _, x := range b.list {
		if x.zone == u.zone {
			all++
			if x != u && x.spokenOf(b.now) {
				kept++
			}
		}
	}
	if float64(kept+1) > hearsayPart*float64(all) {
		return
	}
	if u.hearsay == nil {
		u.hearsay = map[string]time.Duration{}
	}
	u.hearsay[e.Class], u.hearsayAt = e.Until, b.now
}

// spokenOf tells whether any hearsay of u stands.
func (u *upstream) spokenOf(now time.Duration) bool {
	for _, until := range u.hearsay {
		if now < until {
			return true
		}
	}
	return false
}

// keptOut tells whether hearsay keeps r from u: not once u has served this sidecar itself since.
func (b *Balancer) keptOut(u *upstream, r *request) bool {
	return len(u.hearsay) > 0 && u.answered < u.hearsayAt && (b.now < u.hearsay[""] || b.now < u.hearsay[r.class.Name])
}

// report says what this sidecar's own evidence comes to, where others want to hear it.
func (b *Balancer) report(u *upstream, why Evidence, count int) {
	if b.set.Reports {
		b.act(Action{Kind: Report, Upstream: u.id, Evidence: why, Count: count, At: u.cameUp})
	}
}

// evidence is why u is being left out.
func (u *upstream) evidence() Evidence {
	switch {
	case u.fulls >= ejectErrors:
		return ByFull
	case u.errors >= ejectErrors:
		return ByErrors
	case u.broke:
		return ByBreaks
	}
	return BySilence
}
