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

// dispatcher owns the Balancer: one goroutine that turns what happens into events and carries out the
// actions, without blocking on anything.
type dispatcher struct {
	clock     clock
	balancer  *balancer.Balancer
	attempt   func(ctx context.Context, upstream string, r *clientRequest, before time.Duration) attemptReply
	subscribe func()
	sharing   *sharing    // nil: nothing is shared
	heartbeat loopPulse   // of the loop, where somebody wants it
	ready     atomic.Bool // the known list is applied

	failures        *limitedLog               // log of requests that failed
	lateAnswers     *limitedLog               // log of requests answered late
	classes         map[string]balancer.Class // as the balancer has them
	counts          attemptCounts             // of attempts
	stats           *stats
	lastLogged      statsSnapshot          // as of the last line of statistics
	onEjected       func(ejected []string) // receives the ejected endpoints for the statistics; nil: nobody reads them
	connectionStats func() slog.Attr       // for the line of statistics
	zone            func(upstream string) string

	urgent chan any // what comes before requests: endpoint updates, bans, settings, snapshots
	events chan any // of requests
	stop   <-chan struct{}

	inFlight map[string]*inFlightRequest
	stopped  bool // see abort
	actions  []balancer.Action
	timer    *time.Timer
}

const (
	statsInterval   = 5 * time.Second
	ejectedInterval = 200 * time.Millisecond // statistics may lag by 0.5 s
)

// inFlightRequest is a request that the balancer knows, until it has its answer and the results of all its
// attempts.
type inFlightRequest struct {
	request         *clientRequest
	acceptedAt      time.Duration
	expiresAt       time.Duration // 0: its body is still being received
	attempts        []inFlightAttempt
	pendingAttempts int
	done            bool
}

type inFlightAttempt struct {
	upstream     string
	sentAt       time.Duration
	endedAt      time.Duration           // 0: it is pending
	reply        attemptReply            // result, connection and error
	cancel       context.CancelCauseFunc // ends it; nil ends nothing but frees what it holds
	endWithCause context.CancelCauseFunc // the same with a cause, when its time is over
	ctx          context.Context
}

// answer is the final answer to a request.
type answer struct {
	kind       answerKind
	retryAfter time.Duration // with rejected
	reply      attemptReply  // with served
	attempted  bool          // an attempt was made
}

type answerKind int

const (
	served answerKind = iota
	rejected
	failed
	duplicate  // another request of this id is in flight
	clientGone // none: the client has gone
)

type requestArrived struct{ request *clientRequest }

// bodyComplete says that the body of a request was received, and when its client stops waiting.
type bodyComplete struct {
	request *clientRequest
	expires time.Duration
}

// clientDisconnected says that the client of a request has gone.
type clientDisconnected struct{ request *clientRequest }

type attemptEnded struct {
	flight  *inFlightRequest
	attempt int
	at      time.Duration
	reply   attemptReply
}

// banCommand brings an operator's call; done is closed once the balancer has it.
type banCommand struct {
	balancer.Ban
	done chan struct{}
}

// settingsCommand brings other settings; done is closed once the balancer has them.
type settingsCommand struct {
	settings balancer.Settings
	done     chan struct{}
}

// snapshotCommand asks for the balancer's snapshot; the channel holds one.
type snapshotCommand struct{ snapshot chan balancer.Snapshot }

// abort fails all requests in flight, and rejects later ones: the process is about to be killed.
type abort struct{}

func newDispatcher(b *balancer.Balancer, clk clock, stop <-chan struct{}) *dispatcher {
	l := &dispatcher{clock: clk, balancer: b, urgent: make(chan any, 16), stats: newStats(), events: make(chan any, 256), stop: stop,
		inFlight: map[string]*inFlightRequest{}, timer: time.NewTimer(time.Hour), failures: newLimitedLog(maxFailureLines), lateAnswers: newLimitedLog(maxLateLines), counts: newAttemptCounts(),
		connectionStats: func() slog.Attr { return slog.Attr{} }, zone: func(string) string { return "" }}
	l.timer.Stop()
	return l
}

// enqueue reports an event; false once the dispatcher has stopped.
func (l *dispatcher) enqueue(e any) bool {
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

// snapshot asks for the balancer's snapshot; false: the dispatcher is too busy, or stops.
func (l *dispatcher) snapshot() (balancer.Snapshot, bool) {
	command := snapshotCommand{make(chan balancer.Snapshot, 1)}
	l.enqueueUrgent(command)
	select {
	case snapshot := <-command.snapshot:
		return snapshot, true
	case <-time.After(adminTimeout):
	case <-l.stop:
	}
	return balancer.Snapshot{}, false
}

func (l *dispatcher) enqueueUpdate(m balancer.EndpointUpdate) { l.enqueueUrgent(m) }

// enqueueUrgent reports what comes before requests that wait: it may forbid what they would be sent to.
func (l *dispatcher) enqueueUrgent(e any) {
	select {
	case l.urgent <- e:
	case <-l.stop:
	}
}

// run handles events until stop, beginning with the list as it was last known.
func (l *dispatcher) run(known balancer.EndpointUpdate) {
	l.handle(known)
	l.ready.Store(true)
	statsTick := time.NewTicker(statsInterval)
	defer statsTick.Stop()
	var ejectedTick <-chan time.Time
	if l.onEjected != nil {
		ticker := time.NewTicker(ejectedInterval)
		defer ticker.Stop()
		ejectedTick = ticker.C
		l.onEjected(nil)
	}
	var verdicts *conflate.Queue[string, balancer.PeerVerdict]
	if l.sharing != nil {
		verdicts = l.sharing.verdicts
	}
	for {
		select {
		case e := <-l.urgent:
			l.onUrgent(e)
			continue
		default:
		}
		select {
		case e := <-l.urgent:
			l.onUrgent(e)
		case e := <-l.events:
			l.onEvent(e)
		case <-l.timer.C:
			l.handle(balancer.TimerFired{})
		case <-verdicts.Ready():
			l.sharing.echo.onTaken(l.clock.now())
			for h, ok := verdicts.Pop(); ok; h, ok = verdicts.Pop() {
				l.handle(h)
			}
		case <-statsTick.C:
			now := l.stats.snapshot()
			logAttrs(slog.LevelInfo, ofCounts, "counts", append(now.since(&l.lastLogged), l.counts.attempts(),
				slog.Int("in_flight", len(l.inFlight)), l.connectionStats())...)
			l.lastLogged = now
			if len(l.counts.upstreams) > 0 {
				logAttrs(slog.LevelInfo, ofCounts, "by upstream", slog.String("upstreams", l.counts.byUpstream(l.zone)))
			}
			l.counts = newAttemptCounts()
			l.sharing.logStats()
		case <-ejectedTick:
			l.onEjected(l.balancer.Ejected(l.clock.now()))
		case <-l.stop:
			l.dropPending()
			return
		}
	}
}

// dropPending frees what came too late to be handled: unread answers hold a connection and its goroutines.
func (l *dispatcher) dropPending() {
	for {
		select {
		case e := <-l.events:
			if e, ok := e.(attemptEnded); ok {
				e.reply.drop()
			}
		default:
			return
		}
	}
}

func (l *dispatcher) onUrgent(e any) {
	switch e := e.(type) {
	case balancer.EndpointUpdate:
		l.handle(e)
	case banCommand:
		l.handle(e.Ban)
		close(e.done)
	case balancer.Snapshot:
		l.handle(e)
	case snapshotCommand:
		e.snapshot <- l.balancer.Snapshot(l.clock.now())
	case settingsCommand:
		l.handle(balancer.SettingsUpdate{Settings: e.settings})
		l.classes = classTable(e.settings)
		close(e.done)
	}
}

func (l *dispatcher) onEvent(e any) {
	switch e := e.(type) {
	case requestArrived:
		r := e.request
		if l.inFlight[r.id] != nil {
			r.answer <- answer{kind: duplicate}
			return
		}
		if l.stopped || l.classes[r.class] != r.settings { // checked by rules that have changed meanwhile: nothing has run
			r.answer <- answer{kind: rejected}
			return
		}
		f := &inFlightRequest{request: r, acceptedAt: l.clock.now()}
		if !r.bodyPending {
			f.expiresAt = r.expiresAt
		}
		l.inFlight[r.id] = f
		l.handle(balancer.Request{ID: r.id, Class: r.class, Tenant: r.tenant, ExpiresAt: r.expiresAt, CostHint: r.costHint, BodyPending: r.bodyPending})
		l.forgetRequest(r.id)
	case bodyComplete:
		l.onBodyComplete(e)
	case clientDisconnected:
		if f := l.inFlight[e.request.id]; f != nil && f.request == e.request && !f.done {
			l.onClientDisconnected(f)
		}
		select { // an answer that its handler did not wait for
		case a := <-e.request.answer:
			a.reply.drop()
		default:
		}
	case attemptEnded:
		l.onAttemptEnded(e)
	case heartbeat:
		inHand, zone := l.balancer.Pressure(l.clock.now())
		l.heartbeat.answer(e, inHand, zone)
	case abort:
		l.stopped = true
		for id, f := range l.inFlight {
			if !f.done {
				l.answer(id, answer{kind: failed})
				l.handle(balancer.ClientDisconnected{ID: id})
				l.forgetRequest(id)
			}
		}
	}
}

// onClientDisconnected ends a request whose client has gone.
func (l *dispatcher) onClientDisconnected(f *inFlightRequest) {
	f.done = true
	l.failures.log("client disconnected", func() []slog.Attr { return f.attrs(l.clock.now()) })
	l.handle(balancer.ClientDisconnected{ID: f.request.id})
	l.forgetRequest(f.request.id)
}

// onAttemptEnded reports an attempt's one result; the first that was served is the final answer.
func (l *dispatcher) onAttemptEnded(e attemptEnded) {
	f, id := e.flight, e.flight.request.id
	f.pendingAttempts--
	a := &f.attempts[e.attempt]
	a.cancel(nil)
	a.endedAt = e.at
	a.reply = attemptReply{result: e.reply.result, use: e.reply.use, err: e.reply.err, abandon: e.reply.abandon}
	l.counts.ended(a.upstream, e.reply.result, e.at-a.sentAt)
	if e.reply.result == balancer.OK && !l.answer(id, answer{kind: served, reply: e.reply}) {
		e.reply.drop()
	}
	if errors.Is(e.reply.err, errClientGone) && !f.done { // seen before the client's own reader told of it
		l.onClientDisconnected(f)
		f.request.answer <- answer{kind: clientGone}
	}
	l.handle(balancer.AttemptEnded{ID: id, Attempt: e.attempt, Result: e.reply.result,
		Elapsed: e.at - a.sentAt, Final: f.done, BodyConsumed: f.request.body.endAttempt()})
	l.forgetRequest(id)
}

// onBodyComplete starts a request's time, and that of a pending attempt, whose upstream begins only now.
func (l *dispatcher) onBodyComplete(e bodyComplete) {
	f := l.inFlight[e.request.id]
	if f == nil || f.request != e.request || f.done {
		return
	}
	now := l.clock.now()
	f.acceptedAt, f.expiresAt = now, e.expires
	for i := range f.attempts {
		if a := &f.attempts[i]; a.endedAt == 0 {
			a.sentAt = now
			over := time.AfterFunc(e.expires-now, func() { a.endWithCause(context.DeadlineExceeded) })
			context.AfterFunc(a.ctx, func() { over.Stop() })
		}
	}
	l.handle(balancer.BodyComplete{ID: f.request.id, ExpiresAt: e.expires})
	l.forgetRequest(f.request.id)
}

// handle runs one decision.
func (l *dispatcher) handle(e balancer.Event) {
	l.actions = l.balancer.Handle(l.clock.now(), e, l.actions[:0])
	for i := range l.actions {
		l.perform(&l.actions[i])
	}
}

func (l *dispatcher) perform(a *balancer.Action) {
	switch a.Kind {
	case balancer.StartAttempt:
		l.startAttempt(a)
	case balancer.CancelAttempt:
		if f := l.inFlight[a.ID]; f != nil && a.Attempt < len(f.attempts) {
			var cause error
			if f.done {
				cause = errAnswered
			}
			f.attempts[a.Attempt].cancel(cause)
		}
	case balancer.Reject:
		l.answer(a.ID, answer{kind: rejected, retryAfter: a.RetryAfter})
	case balancer.Fail:
		l.answer(a.ID, answer{kind: failed})
	case balancer.SetTimer:
		l.timer.Reset(a.At - l.clock.now())
	case balancer.Subscribe:
		l.subscribe()
	case balancer.ReportEvidence:
		l.sharing.report(a)
	case balancer.Log:
		logAttrs(slog.LevelInfo, ofDecisions, a.Text, a.Attrs...)
	}
}

// startAttempt starts an attempt, which reports its end as an event.
func (l *dispatcher) startAttempt(a *balancer.Action) {
	f := l.inFlight[a.ID]
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
	if f.expiresAt > 0 { // else the attempt's time begins with the body's end, see whole
		limit := f.expiresAt - now
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
	f.attempts = append(f.attempts, inFlightAttempt{upstream: upstream, sentAt: now, cancel: cancel, endWithCause: end, ctx: ctx})
	f.pendingAttempts++
	go func() {
		rep := l.attempt(ctx, upstream, f.request, before)
		if !l.enqueue(attemptEnded{f, n, l.clock.now(), rep}) {
			rep.drop()
		}
	}()
}

// answer gives a request its final answer; false: it has one, or its client has gone.
func (l *dispatcher) answer(id string, a answer) bool {
	f := l.inFlight[id]
	if f == nil || f.done {
		return false
	}
	f.done = true
	a.attempted = len(f.attempts) > 0
	f.request.answer <- a
	now := l.clock.now()
	to := l.failures
	if a.kind == served {
		if now-f.acceptedAt <= f.request.settings.LatencyObjective {
			return true
		}
		to = l.lateAnswers
	}
	to.log(answerNames[a.kind], func() []slog.Attr { return f.attrs(now) })
	return true
}

func (l *dispatcher) forgetRequest(id string) {
	if f := l.inFlight[id]; f != nil && f.done && f.pendingAttempts == 0 {
		delete(l.inFlight, id)
	}
}
