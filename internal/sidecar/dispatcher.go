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

// dispatcher owns the Balancer: the goroutine of run turns what happens into events, and carries out the actions without
// blocking. The enqueue methods and snapshot are safe for concurrent use; all other methods belong to that goroutine.
type dispatcher struct {
	clock     clock
	balancer  *balancer.Balancer
	attempt   func(ctx context.Context, upstream string, r *clientRequest, before time.Duration) attemptReply
	subscribe func()
	sharing   *sharing    // nil: nothing is shared
	heartbeat loopPulse   // answers to heartbeat events
	ready     atomic.Bool // the initial list has been applied

	failures        *limitedLog               // log of requests that failed
	lateAnswers     *limitedLog               // log of requests answered late
	classes         map[string]balancer.Class // as in the settings of the balancer
	counts          attemptCounts             // of attempts
	stats           *stats
	lastLogged      statsSnapshot          // as of the last line of statistics
	onEjected       func(ejected []string) // receives the ejected endpoints for the statistics; may be nil
	connectionStats func() slog.Attr       // for the line of statistics
	zone            func(upstream string) string

	urgent chan any // events handled before requests: endpoint updates, bans, settings, snapshots
	events chan any // events of requests
	stop   <-chan struct{}

	inFlight map[string]*inFlightRequest
	stopped  bool // after abort: requests are rejected
	actions  []balancer.Action
	timer    *time.Timer
}

const (
	statsInterval   = 5 * time.Second
	ejectedInterval = 200 * time.Millisecond // between updates of the ejected endpoints; statistics may lag by 0.5 s
)

// inFlightRequest is a request from its arrival until it has its answer and the results of all its attempts.
type inFlightRequest struct {
	request         *clientRequest
	acceptedAt      time.Duration
	expiresAt       time.Duration // 0: its body is still being received
	attempts        []inFlightAttempt
	pendingAttempts int
	done            bool
}

// inFlightAttempt is one attempt of an inFlightRequest.
type inFlightAttempt struct {
	upstream     string
	sentAt       time.Duration
	endedAt      time.Duration           // 0: it is pending
	reply        attemptReply            // result, connection and error
	cancel       context.CancelCauseFunc // ends it with a cause; with nil it frees the context of an attempt that has ended
	endWithCause context.CancelCauseFunc // the same, when its time is over
	ctx          context.Context
}

// answer is the final answer to a request.
type answer struct {
	kind       answerKind
	retryAfter time.Duration // with rejected
	reply      attemptReply  // with served
	attempted  bool          // an attempt was made
}

// answerKind is how a request was answered.
type answerKind int

const (
	served answerKind = iota
	rejected
	failed
	duplicate  // another request of this id is in flight
	clientGone // no answer: the client has disconnected
)

// requestArrived is the event of a new request.
type requestArrived struct{ request *clientRequest }

// bodyComplete is the event that the body of a request has been received; expires is the request's deadline.
type bodyComplete struct {
	request *clientRequest
	expires time.Duration
}

// clientDisconnected is the event that the client of a request has disconnected.
type clientDisconnected struct{ request *clientRequest }

// attemptEnded is the event that an attempt has ended.
type attemptEnded struct {
	flight  *inFlightRequest
	attempt int
	at      time.Duration
	reply   attemptReply
}

// banCommand is an operator's call; done is closed once it has been applied.
type banCommand struct {
	balancer.Ban
	done chan struct{}
}

// settingsCommand changes the settings; done is closed once they are in force.
type settingsCommand struct {
	settings balancer.Settings
	done     chan struct{}
}

// snapshotCommand requests the balancer's snapshot; the channel must have a buffer of one.
type snapshotCommand struct{ snapshot chan balancer.Snapshot }

// abort is the event before the process is killed: all requests in flight fail, and later ones are rejected.
type abort struct{}

func newDispatcher(b *balancer.Balancer, clk clock, stop <-chan struct{}) *dispatcher {
	l := &dispatcher{clock: clk, balancer: b, urgent: make(chan any, 16), stats: newStats(), events: make(chan any, 256), stop: stop,
		inFlight: map[string]*inFlightRequest{}, timer: time.NewTimer(time.Hour), failures: newLimitedLog(maxFailureLines), lateAnswers: newLimitedLog(maxLateLines), counts: newAttemptCounts(),
		connectionStats: func() slog.Attr { return slog.Attr{} }, zone: func(string) string { return "" }}
	l.timer.Stop()
	return l
}

// enqueue queues an event of a request, and blocks while the queue is full. It returns false once the dispatcher has stopped.
func (l *dispatcher) enqueue(e any) bool {
	select {
	case <-l.stop: // checked first, since the queue may still have room
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

// snapshot returns the balancer's snapshot; false if the dispatcher does not answer within adminTimeout, or stops.
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

// enqueueUpdate queues an endpoint update.
func (l *dispatcher) enqueueUpdate(m balancer.EndpointUpdate) { l.enqueueUrgent(m) }

// enqueueUrgent queues an event that is handled before queued requests, as it may remove the upstreams they would be sent to.
// It blocks while the queue is full.
func (l *dispatcher) enqueueUrgent(e any) {
	select {
	case l.urgent <- e:
	case <-l.stop:
	}
}

// run handles events until stop, starting with the known list.
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
			for verdict, ok := verdicts.Pop(); ok; verdict, ok = verdicts.Pop() {
				l.handle(verdict)
			}
		case <-statsTick.C:
			l.logStats()
		case <-ejectedTick:
			l.onEjected(l.balancer.Ejected(l.clock.now()))
		case <-l.stop:
			l.dropPending()
			return
		}
	}
}

// logStats logs the counts since the call before.
func (l *dispatcher) logStats() {
	now := l.stats.snapshot()
	logAttrs(slog.LevelInfo, componentCounts, "counts", append(now.since(&l.lastLogged), l.counts.attr(),
		slog.Int("in_flight", len(l.inFlight)), l.connectionStats())...)
	l.lastLogged = now
	if len(l.counts.upstreams) > 0 {
		logAttrs(slog.LevelInfo, componentCounts, "by upstream", slog.String("upstreams", l.counts.describeByUpstream(l.zone)))
	}
	l.counts = newAttemptCounts()
	l.sharing.logStats()
}

// dropPending drops answers that arrived too late to be handled, since each holds a connection and its goroutines.
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

// onUrgent handles an event of the urgent queue.
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

// onEvent handles an event of a request.
func (l *dispatcher) onEvent(e any) {
	switch e := e.(type) {
	case requestArrived:
		l.onRequestArrived(e.request)
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
		inFlight, site := l.balancer.Pressure(l.clock.now())
		l.heartbeat.answer(e, inFlight, site)
	case abort:
		l.onAbort()
	}
}

// onRequestArrived hands a new request to the balancer.
func (l *dispatcher) onRequestArrived(r *clientRequest) {
	if l.inFlight[r.id] != nil {
		r.answer <- answer{kind: duplicate}
		return
	}
	if l.stopped || l.classes[r.class] != r.settings { // parsed by settings that have changed since
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
}

// onAbort fails all requests in flight.
func (l *dispatcher) onAbort() {
	l.stopped = true
	for id, f := range l.inFlight {
		if !f.done {
			l.answer(id, answer{kind: failed})
			l.handle(balancer.ClientDisconnected{ID: id})
			l.forgetRequest(id)
		}
	}
}

// onClientDisconnected ends a request whose client has disconnected.
func (l *dispatcher) onClientDisconnected(f *inFlightRequest) {
	f.done = true
	l.failures.log("client disconnected", func() []slog.Attr { return f.attrs(l.clock.now()) })
	l.handle(balancer.ClientDisconnected{ID: f.request.id})
	l.forgetRequest(f.request.id)
}

// onAttemptEnded reports the result of an attempt to the balancer. The first that was served is the final answer.
func (l *dispatcher) onAttemptEnded(e attemptEnded) {
	f, id := e.flight, e.flight.request.id
	f.pendingAttempts--
	a := &f.attempts[e.attempt]
	a.cancel(nil)
	a.endedAt = e.at
	a.reply = attemptReply{result: e.reply.result, use: e.reply.use, err: e.reply.err, abandon: e.reply.abandon}
	l.counts.add(a.upstream, e.reply.result, e.at-a.sentAt)
	if e.reply.result == balancer.OK && !l.answer(id, answer{kind: served, reply: e.reply}) {
		e.reply.drop()
	}
	if errors.Is(e.reply.err, errClientGone) && !f.done { // noticed before the handler reported it
		l.onClientDisconnected(f)
		f.request.answer <- answer{kind: clientGone}
	}
	l.handle(balancer.AttemptEnded{ID: id, Attempt: e.attempt, Result: e.reply.result,
		Elapsed: e.at - a.sentAt, Final: f.done, BodyConsumed: f.request.body.endAttempt()})
	l.forgetRequest(id)
}

// onBodyComplete starts the deadline of a request, and the time of a pending attempt, whose upstream begins only now.
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

// handle hands an event to the balancer, and performs the actions.
func (l *dispatcher) handle(e balancer.Event) {
	l.actions = l.balancer.Handle(l.clock.now(), e, l.actions[:0])
	for i := range l.actions {
		l.perform(&l.actions[i])
	}
}

// perform performs one action of the balancer.
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
		logAttrs(slog.LevelInfo, componentDecisions, a.Text, a.Attrs...)
	}
}

// startAttempt starts an attempt in a goroutine, which reports its end as an attemptEnded event.
func (l *dispatcher) startAttempt(a *balancer.Action) {
	f := l.inFlight[a.ID]
	if f == nil {
		return
	}
	now := l.clock.now()
	for i := range f.attempts { // an earlier attempt must not keep waiting for a late answer beside this one
		if abandon := f.attempts[i].reply.abandon; abandon != nil {
			abandon()
		}
	}
	ctx, end := context.WithCancelCause(context.Background())
	stop := func() {}
	if f.expiresAt > 0 { // else the time begins with the end of the body, see onBodyComplete
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

// answer gives a request its final answer; it returns false if the request has one already, or its client has gone.
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

// forgetRequest removes a request that has its answer and no pending attempts.
func (l *dispatcher) forgetRequest(id string) {
	if f := l.inFlight[id]; f != nil && f.done && f.pendingAttempts == 0 {
		delete(l.inFlight, id)
	}
}
