package balancer

import (
	"math"
	"math/bits"
	"time"
)

// Own evidence that others want to hear, collected only where Settings.Reports is on.

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

const (
	tallyMost  = 32               // answers of a class that are looked back on
	tallyAge   = 30 * time.Second // and no further than this
	errsLeast  = 0.02             // errors in a hundred pass as chance on the best of days
	errsPart   = 0.25             // a class is left out where so many of its answers are errors: fewer cost less than the room
	errsChance = 2e-4             // tried at each error, on tens of upstreams and classes
	noTenant   = -2               // a request's tenant is -1 where it has none
	backInRow  = 5                // trials that must go well before a class comes back: half good has 1 in 32
)

// tally is what recent answers of one class by one upstream came to.
type tally struct {
	errs   uint32         // the latest in the lowest bit; set: an error
	n      int            // of them known
	who    [tallyMost]int // whose requests they were: the tenants' numbers, the latest at the index at
	at     int
	last   time.Duration
	served time.Duration // when the latest success came
	row    int           // errors in a row
	until  time.Duration // the class is left out until
	outs   int           // times in a row
	back   int           // trials in a row that went well since
}

func (t *tally) add(err bool, tenant int, now time.Duration) {
	if now-t.last > tallyAge {
		t.errs, t.n = 0, 0
	}
	t.at = (t.at + 1) % tallyMost
	t.who[t.at] = tenant
	t.last, t.errs, t.n = now, t.errs<<1, min(t.n+1, tallyMost)
	if t.row++; err {
		t.errs |= 1
	} else {
		t.row, t.served = 0, now
	}
}

func (t *tally) count() int { return bits.OnesCount32(t.errs << (tallyMost - t.n)) }

// oneTenant tells whether all errors are of one tenant's requests while another's are served: that tells of the tenant.
func (t *tally) oneTenant() bool {
	with, without := noTenant, 0
	for i := range t.n {
		who := t.who[(t.at-i+tallyMost)%tallyMost]
		switch err := t.errs>>i&1 == 1; {
		case err && with != noTenant && with != who:
			return false
		case err:
			with = who
		}
	}
	for i := range t.n {
		if with != noTenant && t.errs>>i&1 == 0 && t.who[(t.at-i+tallyMost)%tallyMost] != with {
			without++
		}
	}
	return without >= ejectErrors
}

// out tells whether the class is left out.
func (t *tally) out(now time.Duration) bool { return t != nil && now < t.until }

// report says what this sidecar's own evidence comes to, where others want to hear it: of the one class that the errors are
// of, if they are; nothing where they are of one tenant's requests.
func (b *Balancer) report(u *upstream, why Evidence, count int) {
	if !b.set.Reports {
		return
	}
	t := b.talk(u)
	c := t.tallies[t.saidOf]
	switch {
	case why == NoEvidence && c != nil && c.outs > 0:
		return // the class's own evidence stands, see weigh
	case why == ByErrors:
		if t.saidOf = t.run; t.run != "" && t.tallies[t.run].oneTenant() {
			return
		}
	case why != NoEvidence:
		t.saidOf = ""
	}
	b.act(Action{Kind: Report, Upstream: u.id, Class: t.saidOf, Evidence: why, Count: count, At: u.cameUp})
}

// suspect says the first failure of an upstream that was not heard since: no evidence by itself, but one may be all that a
// sidecar sees of it for seconds, and several together with another's breaker tell.
func (b *Balancer) suspect(u *upstream) {
	if _, spoken := u.spoken(b.now, ""); b.set.Reports && u.ejections == 0 && !spoken {
		b.talk(u).suspect = true
		b.act(Action{Kind: Report, Suspect: true, Upstream: u.id, Evidence: u.evidence(), Count: 1, At: u.cameUp})
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

// weigh takes an outcome into the evidence by class. An upstream that errs in half of its answers for one class alone hardly
// ever errs three times in a row, and must not be left out for the others.
func (b *Balancer) weigh(a *attempt, res Result) {
	if !b.set.Reports {
		return
	}
	t := b.talk(a.u)
	if t.trying == a.r && a.n == t.number {
		b.tried(a, res)
	}
	if t.suspect && (res == OK || res == ServerError || res == Overloaded) {
		if t.suspect = false; a.u.ejections == 0 {
			b.act(Action{Kind: Report, Upstream: a.u.id, At: a.u.cameUp})
		}
	}
	if res != OK && res != ServerError {
		return
	}
	b.heardOf(a, res == OK)
	c := t.tallies[a.r.class.Name]
	if c == nil {
		c = &tally{}
		t.tallies[a.r.class.Name] = c
	}
	c.add(res == ServerError, a.r.tenant, b.now)
	if res == ServerError && a.u.errors == 0 {
		t.run = a.r.class.Name
	} else if res == ServerError && t.run != a.r.class.Name {
		t.run = ""
	}
	switch {
	case res == OK && c.outs > 0 && a.sent >= c.until:
		if c.back++; c.back >= backInRow {
			b.log("return %s for %s", a.u.id, a.r.class.Name)
			b.act(Action{Kind: Report, Upstream: a.u.id, Class: a.r.class.Name, At: a.u.cameUp})
			*c = tally{last: b.now, served: b.now}
			t.outs--
		}
	case res == ServerError && b.now >= c.until && (c.outs > 0 || b.stands(a.u, a.r.class.Name, c)):
		d := min(ejectBase<<min(c.outs, 10), ejectMax)
		c.until, c.back = b.now+time.Duration(float64(d)*(0.75+0.5*b.rng.Float64())), 0
		if c.outs++; c.outs == 1 {
			t.outs++
			b.log("leave %s out for %s: %d errors in %d answers", a.u.id, a.r.class.Name, c.count(), c.n)
		}
		b.act(Action{Kind: Report, Upstream: a.u.id, Class: a.r.class.Name, Evidence: ByErrors, Count: max(c.count(), c.outs), At: a.u.cameUp})
	}
}

// stands tells whether c's errors stand out from what the other upstreams do with the class. The exact bound of Clopper and
// Pearson (Biometrika 26, 1934): the lower limit of c's share lies above theirs just where theirs would bring so many errors
// by chance less often than errsChance. So a class that errs everywhere is left out nowhere.
func (b *Balancer) stands(u *upstream, class string, c *tally) bool {
	k, n := c.count(), c.n
	if float64(k) < errsPart*float64(n) || c.oneTenant() {
		return false
	}
	errs, all := 0.0, 0.0
	for _, x := range b.list {
		if x == u || x.talk == nil {
			continue
		}
		if t := x.talk.tallies[class]; t != nil && t.outs == 0 {
			errs += float64(t.count())
			all += float64(t.n)
		}
	}
	return atLeast(k, n, max((errs+1)/(all+2), errsLeast)) < errsChance
}

// atLeast is the chance of k or more of n where each happens with chance p, 0 < p < 1.
func atLeast(k, n int, p float64) float64 {
	term, below := math.Pow(1-p, float64(n)), 0.0
	for i := range k {
		below += term
		term *= float64(n-i) / float64(i+1) * p / (1 - p)
	}
	return max(0, 1-below)
}

// classOut tells whether own evidence on r's class keeps r from u: afterwards one trial at a time, and not with what can't be
// sent again.
func (b *Balancer) classOut(u *upstream, r *request) bool {
	c := u.talk.tallies[r.class.Name]
	if c == nil || c.outs == 0 {
		return false
	}
	if c.out(b.now) || r.class.Effect == Unsafe {
		return true
	}
	for _, a := range u.out {
		if a.r.class == r.class {
			return true
		}
	}
	return false
}

// oneClass tells whether the errors in a row are of a's class alone, while u serves another: then it is left out for that one.
func (b *Balancer) oneClass(a *attempt) bool {
	if !b.set.Reports {
		return false
	}
	t := a.u.talk
	c := t.tallies[a.r.class.Name]
	for name, x := range t.tallies {
		if name != a.r.class.Name && x.n > 0 && x.row == 0 && b.now-x.served < tallyAge/3 {
			return c.outs > 0 && t.run != ""
		}
	}
	return false
}
