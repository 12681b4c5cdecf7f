package balancer

import (
	"slices"
	"time"
)

// What other sidecars say of an upstream never enters an estimate: those come from this sidecar's own outcomes. It only keeps
// an upstream out of the ordinary picks for a while, and tells whose its trials are. Bans, drains and cold budgets are above
// it: what is let through here still passes mayTry.

const (
	// hearsayPart is how much of a zone's usable upstreams hearsay may keep out at once: with more of them the reporters are
	// the likelier trouble, and the rest would be crowded.
	hearsayPart = 1.0 / 3
	easeFor     = time.Second     // what hearsay kept out comes back over this: all sidecars hear of its end at once
	wellEvery   = 2 * time.Second // an upstream that serves us in spite of what is said: the others are told so often
	wellInClass = 5               // successes in a row that outrank hearsay of a class: what errs in half of its answers has 1 in 32
)

// Tries tells whose the trials of an upstream are that hearsay keeps out.
type Tries int

// Whose they may be.
const (
	TriesEach   Tries = iota // each sidecar's own, as without others
	TriesOthers              // another sidecar's: none are made here
	TriesOurs                // this sidecar's, for all
)

// Hearsay brings a verdict that rests on others' reports, or with Until 0 its end. Only Settings with Reports hear it.
type Hearsay struct {
	Upstream string
	CameUp   time.Duration // the life of it that is meant
	Class    string        // empty: every class
	Until    time.Duration // clock time
	Since    time.Duration // clock time of the first report: an attempt of ours that was sent later and served outranks it
	Share    float64       // of the ordinary picks let through all the same, while it closes in steps
	Tries    Tries
	Tried    bool // with Until 0: a trial made for all went well, own ones need not wait
}

func (Hearsay) event() {}

// told is a verdict as it stands.
type told struct {
	until, since time.Duration
	share        float64
	tries        Tries
	well         int           // successes in a row of attempts sent since
	said         time.Duration // when we last told that it serves us
	kept         bool          // it keeps requests out, or did to its end
}

// talk is what is shared on one life of an upstream, heard and said.
type talk struct {
	told    map[string]*told  // by class; "" is all
	tallies map[string]*tally // own evidence, by class
	outs    int               // classes of them that are left out
	suspect bool              // a first failure was said
	run     string            // whose the errors in a row are; empty: of several
	saidOf  string            // the class that the ejection was reported of
	trying  *request          // whose attempt is the trial for all that is out
	number  int               // of that attempt
	next    time.Duration     // the next one is not before
	failed  int               // of them in a row
}

// hear takes a verdict in.
func (b *Balancer) hear(e Hearsay) {
	u := b.ups[e.Upstream]
	if !b.set.Reports || u == nil || e.Class != "" && b.classes[e.Class] == nil || (u.cameUp-e.CameUp).Abs() > sameStart {
		return
	}
	t := b.talk(u)
	old := t.told[e.Class]
	if e.Until <= b.now {
		if old != nil {
			old.until, old.tries = min(old.until, b.now), TriesEach
		}
		if e.Tried && b.now < u.until { // own evidence stands until an own trial goes well: soon, but not all at once
			u.until = min(u.until, b.now+time.Duration(b.rng.Float64()*float64(easeFor)))
		}
		return
	}
	if old == nil || old.until <= b.now {
		old = &told{since: e.Since}
		t.told[e.Class] = old
	}
	if e.Share != old.share { // what was let through before tells nothing of the next step
		old.since, old.well = b.now, 0
	}
	old.until, old.share, old.tries = e.Until, min(max(e.Share, 0), 1), e.Tries
	if e.Tries == TriesOurs && !slices.Contains(b.ours, u) {
		t.failed, t.next = 0, b.now+time.Duration(b.rng.Float64()*float64(trialEvery))
		b.ours = append(b.ours, u)
	}
}

func (b *Balancer) talk(u *upstream) *talk {
	if u.talk == nil {
		u.talk = &talk{told: map[string]*told{}, tallies: map[string]*tally{}}
	}
	return u.talk
}

// keptOut tells whether r is kept from u, by what is said of u or by own evidence on r's class.
func (b *Balancer) keptOut(u *upstream, r *request) bool {
	if t := u.talk; t == nil || len(t.told) == 0 && t.outs == 0 {
		return false // the ordinary case costs each pick next to nothing
	}
	if u.ejections > 0 { // by own evidence: hearsay only tells whose the trials are
		t := u.talk.told[""]
		others := t != nil && b.now < t.until && t.tries != TriesEach
		return others && b.rng.Float64() >= t.share || b.classOut(u, r)
	}
	return b.classOut(u, r) || b.hearsayOut(u, "", r) || b.hearsayOut(u, r.class.Name, r)
}

// hearsayOut tells whether hearsay of a class keeps r from u.
func (b *Balancer) hearsayOut(u *upstream, class string, r *request) bool {
	t := u.talk.told[class]
	if t == nil {
		return false
	}
	through, back := t.share, b.now-t.until
	switch {
	case back < 0:
		t.kept = !t.outranked(u, class)
	case back >= easeFor:
		delete(u.talk.told, class)
		return false
	default: // lapsed or ended: it comes back in steps
		through = max(through, float64(back)/float64(easeFor))
	}
	return t.kept && b.within(u, r.class.Name) && (through == 0 || b.rng.Float64() >= through)
}

// outranked: an own success after what was said weighs more. Of a class that only errs in part it takes several. What is let
// through in steps, or made as a trial for all, closes a breaker for all or not at all.
func (t *told) outranked(u *upstream, class string) bool {
	switch {
	case t.share > 0 || t.tries == TriesOurs:
		return false
	case class == "":
		return t.well > 0 || u.answered > t.since
	}
	return t.well >= wellInClass
}

// within tells whether u may be kept out by hearsay: only the longest spoken of in its zone are, so many as hearsayPart of
// those that could be used without it. Looked at for each pick, so that it holds when upstreams leave or are ejected.
func (b *Balancer) within(u *upstream, class string) bool {
	usable, ahead := 0, 0
	at, _ := u.spoken(b.now, class)
	for _, x := range b.list {
		if x.zone != u.zone || x.banned || b.now < x.until || x.talk != nil && x.talk.tallies[class].out(b.now) {
			continue
		}
		usable++
		if since, spoken := x.spoken(b.now, class); x != u && spoken && (since < at || since == at && x.id < u.id) {
			ahead++
		}
	}
	return float64(ahead+1) <= hearsayPart*float64(usable)
}

// spoken tells whether hearsay would keep class from u, and since when.
func (u *upstream) spoken(now time.Duration, class string) (since time.Duration, any bool) {
	if u.talk == nil {
		return 0, false
	}
	for _, c := range [...]string{"", class} {
		t := u.talk.told[c]
		if t == nil || now >= t.until+easeFor || now >= t.until && !t.kept || now < t.until && t.outranked(u, c) {
			continue
		}
		if !any || t.since < since {
			since, any = t.since, true
		}
	}
	return since, any
}

// heardOf follows own successes against what is said of u, and tells the others of them: they may be wrong.
func (b *Balancer) heardOf(a *attempt, ok bool) {
	for _, class := range [...]string{"", a.r.class.Name} {
		t := a.u.talk.told[class]
		if t == nil || b.now >= t.until || a.sent <= t.since {
			continue
		}
		if t.well++; !ok {
			t.well = 0
		}
		if ok && t.outranked(a.u, class) && (t.said == 0 || b.now-t.said >= wellEvery) {
			t.said = b.now
			b.act(Action{Kind: Report, Upstream: a.u.id, Class: class, Count: t.well, At: a.u.cameUp})
		}
	}
}
