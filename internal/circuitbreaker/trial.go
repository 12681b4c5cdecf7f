package circuitbreaker

import (
	"time"

	"mosslead/internal/gossip/message"
)

// Steps are the trials in a row that must go well before a breaker is closed for all. After each of them, but the last, a part
// of the ordinary picks is let through: what came back is not met by all at once.
const Steps = 3

// shares are the parts let through after so many steps.
var shares = [Steps]float64{0, 0.1, 0.4}

// trial is what is known of an upstream's trials. Only the words of the highest epoch seen count, and of that the latest: what
// is known depends on what was heard, not on its order.
type trial struct {
	epoch   uint64 // the highest seen; outlasts the words and the life
	sinceMs int64  // the life
	round   uint64 // closings of it, by the words that count
	from    string
	tried   message.Tried
	until   time.Duration // the words count until; 0: none do
	failed  time.Duration // when a trial went wrong last
}

// void: the upstream began another life. The epoch is the duty's, and stays.
func (t *trial) void(sinceMs int64) {
	*t = trial{epoch: t.epoch, sinceMs: sinceMs, failed: -evidenceLasts}
}

func (b *Board) tried(now time.Duration, e Trial) {
	if len(e.Tried.Upstream) > message.NameMost || e.Tried.Step < 0 || e.Tried.Step > Steps {
		return
	}
	u, listed := b.listed[e.Tried.Upstream]
	if !listed || u.SinceMs != e.Tried.SinceMs {
		return
	}
	t := b.trials[u.Name]
	if t == nil {
		t = &trial{sinceMs: u.SinceMs, failed: -evidenceLasts}
		b.trials[u.Name] = t
	}
	if e.Tried.Epoch < t.epoch || e.TTL <= 0 {
		return // a late word of an earlier holder
	}
	if e.Over {
		if e.From == t.from {
			t.epoch, t.until = e.Tried.Epoch, 0
		}
		return
	}
	if !e.Tried.OK && e.Tried.Count > 0 && (e.Tried.Epoch != t.tried.Epoch || e.Tried.Count != t.tried.Count) {
		t.failed = now // a trial more than was known
	}
	t.epoch, t.from, t.tried, t.until = e.Tried.Epoch, e.From, e.Tried, now+min(e.TTL, message.TTLMost)
	t.round = e.Tried.Round
}

// round is how often an upstream's breaker was closed for all, in this life of it.
func (b *Board) round(upstream string) uint64 {
	if t := b.trials[upstream]; t != nil {
		return t.round
	}
	return 0
}

// Round is the closing that reports made now come after.
func (b *Board) Round(upstream string) uint64 { return b.round(upstream) }

// failedAt is when a trial of upstream went wrong last: that keeps reports of it fresh.
func (b *Board) failedAt(upstream string) time.Duration {
	if t := b.trials[upstream]; t != nil {
		return t.failed
	}
	return -evidenceLasts
}

// trying is whose the trials of upstream are, how far they came, and what is let through for it.
func (b *Board) trying(now time.Duration, upstream string) (tries Tries, step int, share float64) {
	t := b.trials[upstream]
	if t != nil && now < t.until {
		if tries = Others; t.tried.OK {
			step = min(t.tried.Step, Steps-1)
			share = shares[step]
		}
	}
	if b.ours[upstream] {
		tries = Ours
	}
	return tries, step, share
}
