package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"mosslead/balancer"
	"mosslead/internal/conflate"
)

// loop owns the Balancer: one goroutine that turns what happens into events and carries out the actions,
// without waiting for anything.
type loop struct {
	clock   clock
	b       *balancer.Balancer
	send    func(ctx context.Context, upstream string, r *clientRequest, before time.Duration) reply
	ask     func()
	shared  *sharing    // nil: nothing is shared
	pulse   pulse       // of the loop, where somebody wants it
	started atomic.Bool // the known list is in

	bad     *lines                    // on requests that ended badly
	slow    *lines                    // on those served late
	classes map[string]balancer.Class // as the module has them
	counts  counts                    // of attempts
	stats   *stats
	told    figures                // as of the last line of counts
	look    func(ejected []string) // feeds the figures on upstreams; nil: nobody reads them
	sockets func() slog.Attr       // words the connections' state for the line of counts
	zone    func(upstream string) string

	news   chan any // balancer.Members, ban: what comes before requests
	events chan any // arrival, gone, ended, abort
	stop   <-chan struct{}

	flights map[string]*flight
	over    bool // see abort
	acts    []balancer.Action
	timer   *time.Timer
}

const (
	countsEvery = 5 * time.Second
	lookEvery   = 200 * time.Millisecond // figures may lag by 0.5 s
)

// flight is a request that the module knows. It stays until it has its final answer and all outcomes.
type flight struct {
	request  *clientRequest
	taken    time.Duration
	expires  time.Duration // 0: its body is still coming
	attempts []flightAttempt
	out      int
	done     bool
}

type flightAttempt struct {
	upstream string
	sent     time.Duration
	ended    time.Duration           // 0: still out
	reply    reply                   // its result, connection and error
	cancel   context.CancelCauseFunc // ends it; nil ends nothing but frees what it holds
	end      context.CancelCauseFunc // the same with a cause, for its time being over
	ctx      context.Context
}

// answer is the final answer to a request.
type answer struct {
	kind    answerKind
	retryIn time.Duration // of a refusal
	reply   reply         // of one that was served
	tried   bool          // an attempt was made
}

type answerKind int

const (
	served answerKind = iota
	refused
	failed
	duplicate // another request of this id is in hand
	left      // none: the client went before
)

type arrival struct{ request *clientRequest }

// whole says that the body of an open request has come to its end, and when its client stops waiting.
type whole struct {
	request *clientRequest
	expires time.Duration
}

// gone says that the client of a request has left.
type gone struct{ request *clientRequest }

type ended struct {
	flight  *flight
	attempt int
	at      time.Duration
	reply   reply
}

// ban brings a call of operators; done is closed once the module has it.
type ban struct {
	balancer.Ban
	done chan struct{}
}

// retune brings other settings; done is closed once the module has them.
type retune struct {
	settings balancer.Settings
	done     chan struct{}
}

// learning asks for what the module has learnt; learnt holds one.
type learning struct{ learnt chan balancer.Snapshot }

// abort fails all requests in hand, and has what comes later turned away: the process is about to be killed.
type abort struct{}

func newLoop(b *balancer.Balancer, clk clock, stop <-chan struct{}) *loop {
	l := &loop{clock: clk, b: b, news: make(chan any, 16), stats: newStats(), events: make(chan any, 256), stop: stop,
		flights: map[string]*flight{}, timer: time.NewTimer(time.Hour), bad: newLines(badLines), slow: newLines(lateLines), counts: newCounts(),
		sockets: func() slog.Attr { return slog.Attr{} }, zone: func(string) string { return "" }}
	l.timer.Stop()
	return l
}

// post reports an event to the loop; false once the loop has ended.
func (l *loop) post(e any) bool {
	select {
	case <-l.stop: // it has ended for certain, and what holds its events is no end for them
		return false
	default:
	}
	select {
	case l.events <- e:
		return true
	case <-l.stop:
		return false
	}
}

// learnt asks what the module has learnt; false: it is too busy, or ends.
func (l *loop) learnt() (balancer.Snapshot, bool) {
	ask := learning{make(chan balancer.Snapshot, 1)}
	l.postNews(ask)
	select {
	case learnt := <-ask.learnt:
		return learnt, true
	case <-time.After(doorWait):
	case <-l.stop:
	}
	return balancer.Snapshot{}, false
}

func (l *loop) postList(m balancer.EndpointUpdate) { l.postNews(m) }

// postNews reports what comes before requests that wait: it may forbid what they would be sent to.
func (l *loop) postNews(e any) {
	select {
	case l.news <- e:
	case <-l.stop:
	}
}

// run handles events until stop, beginning with the list as it was last known.
func (l *loop) run(known balancer.EndpointUpdate) {
	l.handle(known)
	l.started.Store(true)
	tell := time.NewTicker(countsEvery)
	defer tell.Stop()
	var look <-chan time.Time
	if l.look != nil {
		ticker := time.NewTicker(lookEvery)
		defer ticker.Stop()
		look = ticker.C
		l.look(nil)
	}
	var verdicts *conflate.Ring[string, balancer.PeerVerdict]
	if l.shared != nil {
		verdicts = l.shared.verdicts
	}
	for {
		select {
		case e := <-l.news:
			l.urgent(e)
			continue
		default:
		}
		select {
		case e := <-l.news:
			l.urgent(e)
		case e := <-l.events:
			l.event(e)
		case <-l.timer.C:
			l.handle(balancer.TimerFired{})
		case <-verdicts.Wake():
			l.shared.echo.heard(l.clock.now())
			for h, ok := verdicts.Take(); ok; h, ok = verdicts.Take() {
				l.handle(h)
			}
		case <-tell.C:
			now := l.stats.snapshot()
			note(slog.LevelInfo, ofCounts, "counts", append(now.since(&l.told), l.counts.attempts(),
				slog.Int("in_hand", len(l.flights)), l.sockets())...)
			l.told = now
			if len(l.counts.upstreams) > 0 {
				note(slog.LevelInfo, ofCounts, "by upstream", slog.String("upstreams", l.counts.byUpstream(l.zone)))
			}
			l.counts = newCounts()
			l.shared.note()
		case <-look:
			l.look(l.b.Ejected(l.clock.now()))
		case <-l.stop:
			l.abandon()
			return
		}
	}
}

// abandon frees what came too late to be handled: answers that have not come whole hold a connection and its goroutines.
func (l *loop) abandon() {
	for {
		select {
		case e := <-l.events:
			if e, ok := e.(ended); ok {
				e.reply.drop()
			}
		default:
			return
		}
	}
}

func (l *loop) urgent(e any) {
	switch e := e.(type) {
	case balancer.EndpointUpdate:
		l.handle(e)
	case ban:
		l.handle(e.Ban)
		close(e.done)
	case balancer.Snapshot:
		l.handle(e)
	case learning:
		e.learnt <- l.b.Snapshot(l.clock.now())
	case retune:
		l.handle(balancer.SettingsUpdate{Settings: e.settings})
		l.classes = classTable(e.settings)
		close(e.done)
	}
}

func (l *loop) event(e any) {
	switch e := e.(type) {
	case arrival:
		r := e.request
		if l.flights[r.id] != nil {
			r.answer <- answer{kind: duplicate}
			return
		}
		if l.over || l.classes[r.class] != r.rules { // checked by rules that have changed meanwhile: nothing has run
			r.answer <- answer{kind: refused}
			return
		}
		f := &flight{request: r, taken: l.clock.now()}
		if !r.opened {
			f.expires = r.expires
		}
		l.flights[r.id] = f
		l.handle(balancer.Request{ID: r.id, Class: r.class, Tenant: r.tenant, ExpiresAt: r.expires, CostHint: r.hint, BodyPending: r.opened})
		l.forget(r.id)
	case whole:
		l.whole(e)
	case gone:
		if f := l.flights[e.request.id]; f != nil && f.request == e.request && !f.done {
			l.left(f)
		}
		select { // an answer that its handler did not wait for
		case a := <-e.request.answer:
			a.reply.drop()
		default:
		}
	case ended:
		l.ended(e)
	case beat:
		inHand, zone := l.b.Pressure(l.clock.now())
		l.pulse.answer(e, inHand, zone)
	case abort:
		l.over = true
		for id, f := range l.flights {
			if !f.done {
				l.finish(id, answer{kind: failed})
				l.handle(balancer.ClientDisconnected{ID: id})
				l.forget(id)
			}
		}
	}
}

// left ends a request whose client has gone.
func (l *loop) left(f *flight) {
	f.done = true
	l.bad.note("client gone", func() []slog.Attr { return f.attrs(l.clock.now()) })
	l.handle(balancer.ClientDisconnected{ID: f.request.id})
	l.forget(f.request.id)
}

// ended reports an attempt's one outcome; the first that was served is the final answer.
func (l *loop) ended(e ended) {
	f, id := e.flight, e.flight.request.id
	f.out--
	a := &f.attempts[e.attempt]
	a.cancel(nil)
	a.ended = e.at
	a.reply = reply{result: e.reply.result, use: e.reply.use, err: e.reply.err, abandon: e.reply.abandon}
	l.counts.ended(a.upstream, e.reply.result, e.at-a.sent)
	if e.reply.result == balancer.OK && !l.finish(id, answer{kind: served, reply: e.reply}) {
		e.reply.drop()
	}
	if errors.Is(e.reply.err, errLeft) && !f.done { // seen before the client's own reader told of it
		l.left(f)
		f.request.answer <- answer{kind: left}
	}
	l.handle(balancer.AttemptEnded{ID: id, Attempt: e.attempt, Result: e.reply.result,
		Elapsed: e.at - a.sent, Final: f.done, BodyConsumed: f.request.body.used()})
	l.forget(id)
}

// whole begins a request's time: with the attempt that is out, too, whose upstream begins only now.
func (l *loop) whole(e whole) {
	f := l.flights[e.request.id]
	if f == nil || f.request != e.request || f.done {
		return
	}
	now := l.clock.now()
	f.taken, f.expires = now, e.expires
	for i := range f.attempts {
		if a := &f.attempts[i]; a.ended == 0 {
			a.sent = now
			over := time.AfterFunc(e.expires-now, func() { a.end(context.DeadlineExceeded) })
			context.AfterFunc(a.ctx, func() { over.Stop() })
		}
	}
	l.handle(balancer.BodyComplete{ID: f.request.id, ExpiresAt: e.expires})
	l.forget(f.request.id)
}

// handle runs one decision.
func (l *loop) handle(e balancer.Event) {
	l.acts = l.b.Handle(l.clock.now(), e, l.acts[:0])
	for i := range l.acts {
		l.act(&l.acts[i])
	}
}

func (l *loop) act(a *balancer.Action) {
	switch a.Kind {
	case balancer.StartAttempt:
		l.start(a)
	case balancer.CancelAttempt:
		if f := l.flights[a.ID]; f != nil && a.Attempt < len(f.attempts) {
			var cause error
			if f.done {
				cause = errAnswered
			}
			f.attempts[a.Attempt].cancel(cause)
		}
	case balancer.Reject:
		l.finish(a.ID, answer{kind: refused, retryIn: a.RetryAfter})
	case balancer.Fail:
		l.finish(a.ID, answer{kind: failed})
	case balancer.SetTimer:
		l.timer.Reset(a.At - l.clock.now())
	case balancer.Subscribe:
		l.ask()
	case balancer.ReportEvidence:
		l.shared.report(a)
	case balancer.Log:
		note(slog.LevelInfo, ofDecisions, a.Text, a.Attrs...)
	}
}

// start begins an attempt, which reports its end as an event.
func (l *loop) start(a *balancer.Action) {
	f := l.flights[a.ID]
	if f == nil {
		return
	}
	now := l.clock.now()
	for i := range f.attempts { // never two at once: the upstream must not see an earlier one wait
		if abandon := f.attempts[i].reply.abandon; abandon != nil {
			abandon()
		}
	}
	ctx, end := context.WithCancelCause(context.Background())
	stop := func() {}
	if f.expires > 0 { // else the attempt's time begins with the body's end, see whole
		limit := f.expires - now
		if a.Timeout > 0 {
			limit = min(limit, a.Timeout)
		}
		ctx, stop = context.WithTimeout(ctx, limit)
	}
	cancel := func(cause error) {
		end(cause)
		stop()
	}
	n, upstream, before := len(f.attempts), a.Upstream, a.At
	f.attempts = append(f.attempts, flightAttempt{upstream: upstream, sent: now, cancel: cancel, end: end, ctx: ctx})
	f.out++
	go func() {
		rep := l.send(ctx, upstream, f.request, before)
		if !l.post(ended{f, n, l.clock.now(), rep}) {
			rep.drop()
		}
	}()
}

// finish gives a request its final answer; false where it has one or its client has gone.
func (l *loop) finish(id string, a answer) bool {
	f := l.flights[id]
	if f == nil || f.done {
		return false
	}
	f.done = true
	a.tried = len(f.attempts) > 0
	f.request.answer <- a
	now := l.clock.now()
	to := l.bad
	if a.kind == served {
		if now-f.taken <= f.request.rules.LatencyObjective {
			return true
		}
		to = l.slow
	}
	to.note(answerNames[a.kind], func() []slog.Attr { return f.attrs(now) })
	return true
}

func (l *loop) forget(id string) {
	if f := l.flights[id]; f != nil && f.done && f.out == 0 {
		delete(l.flights, id)
	}
}
