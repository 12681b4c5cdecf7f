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

// dispatcher owns the Balancer: the goroutine of run passes it the events, and performs its actions without blocking. The
// enqueue methods and snapshot are safe for concurrent use; only that goroutine calls the other methods.
type dispatcher struct {
	clock     clock
	balancer  *balancer.Balancer
	attempt   func(ctx context.Context, upstream string, r *clientRequest, startBefore time.Duration) attemptReply
	subscribe func()
	sharing   *sharing    // nil if nothing is shared with peers
	heartbeat loopStatus  // records heartbeat events
	ready     atomic.Bool // the initial list has been applied

	failures        *limitedLog               // log of requests that failed
	lateAnswers     *limitedLog               // log of requests answered late
	retries         *limitedLog               // log of further attempts
	classes         map[string]balancer.Class // by name, as in the settings of the balancer
	counts          attemptCounts             // counts of attempts since the last log line of statistics
	stats           *stats
	lastLogged      statsSnapshot          // totals at the last log line of statistics
	onEjected       func(ejected []string) // receives the ejected endpoints for the statistics; may be nil
	connectionStats func() slog.Attr       // returns the part of the log line of statistics about connections
	accountStats    func() slog.Attr       // returns the part about reserved memory
	startStats      func() slog.Attr       // returns the part about waits to start
	zone            func(upstream string) string

	urgent chan any // events handled before requests: endpoint updates, bans, settings, snapshots
	events chan any // events of requests
	stop   <-chan struct{}

	inFlight map[string]*inFlightRequest
	recent   *recentIDs
	onRun    func(hash uint64) // receives the ids that recent records, for the other process of an upgrade; does not block
	stopped  bool              // set by an abort event: new requests are rejected
	actions  []balancer.Action
	timer    *time.Timer
	timerAt  time.Duration // clock time at which timer fires

	timerDelay  delayEstimate // how late the balancer's timers were handled
	timerLate   time.Duration // how late the timer is that is handled now; 0 if none is
	readDelay   delayEstimate // how long requests waited to be read
	answerDelay delayEstimate // how long after the decision the handlers began to write answers
}

const (
	statsInterval   = 5 * time.Second
	ejectedInterval = 200 * time.Millisecond // time between updates of the ejected endpoints; the statistics may be up to 0.5 s old
)

func newDispatcher(b *balancer.Balancer, clk clock, stop <-chan struct{}) *dispatcher {
	d := &dispatcher{clock: clk, balancer: b, urgent: make(chan any, 16), stats: newStats(), events: make(chan any, 256), stop: stop,
		inFlight: map[string]*inFlightRequest{}, recent: newRecentIDs(), onRun: func(uint64) {}, timer: time.NewTimer(time.Hour), failures: newLimitedLog(maxFailureLines), lateAnswers: newLimitedLog(maxLateLines),
		retries: newLimitedLog(maxRetryLines), counts: newAttemptCounts(),
		connectionStats: func() slog.Attr { return slog.Attr{} }, accountStats: func() slog.Attr { return slog.Attr{} }, startStats: func() slog.Attr { return slog.Attr{} }, zone: func(string) string { return "" }}
	d.timer.Stop()
	return d
}

// enqueue queues an event of a request, and blocks while the queue is full. It returns false once the dispatcher has stopped.
func (d *dispatcher) enqueue(e any) bool {
	select {
	case <-d.stop: // checked first, since the queue may still accept events
		return false
	default:
	}
	select {
	case d.events <- e:
		return true
	case <-d.stop:
		return false
	}
}

// snapshot returns the balancer's snapshot, or false if the dispatcher does not answer within adminTimeout or stops.
func (d *dispatcher) snapshot() (balancer.Snapshot, bool) {
	command := snapshotCommand{make(chan balancer.Snapshot, 1)}
	d.enqueueUrgent(command)
	select {
	case snapshot := <-command.snapshot:
		return snapshot, true
	case <-time.After(adminTimeout):
	case <-d.stop:
	}
	return balancer.Snapshot{}, false
}

// enqueueUpdate queues an endpoint update.
func (d *dispatcher) enqueueUpdate(u balancer.EndpointUpdate) { d.enqueueUrgent(u) }

// enqueueUrgent queues an event that is handled before queued requests, since it may remove the upstreams to which they
// would be sent. It blocks while the queue is full.
func (d *dispatcher) enqueueUrgent(e any) {
	select {
	case d.urgent <- e:
	case <-d.stop:
	}
}

// run handles events until stop is closed. First it applies known, the list known at the start.
func (d *dispatcher) run(known balancer.EndpointUpdate) {
	d.handle(known)
	d.ready.Store(true)
	statsTick := time.NewTicker(statsInterval)
	defer statsTick.Stop()
	var ejectedTick <-chan time.Time
	if d.onEjected != nil {
		ticker := time.NewTicker(ejectedInterval)
		defer ticker.Stop()
		ejectedTick = ticker.C
		d.onEjected(nil)
	}
	var verdicts *conflate.Queue[string, balancer.PeerVerdict]
	if d.sharing != nil {
		verdicts = d.sharing.verdicts
	}
	for {
		select {
		case e := <-d.urgent:
			d.onUrgent(e)
			continue
		case <-d.timer.C: // what is due goes before new requests
			d.onTimer()
			continue
		default:
		}
		select {
		case e := <-d.urgent:
			d.onUrgent(e)
		case e := <-d.events:
			d.onEvent(e)
		case <-d.timer.C:
			d.onTimer()
		case <-verdicts.Ready():
			d.sharing.stall.onReceived(d.clock.now())
			for verdict, ok := verdicts.Pop(); ok; verdict, ok = verdicts.Pop() {
				d.handle(verdict)
			}
		case <-statsTick.C:
			d.logStats()
		case <-ejectedTick:
			d.onEjected(d.balancer.Ejected(d.clock.now()))
		case <-d.stop:
			d.dropPending()
			return
		}
	}
}

// onTimer passes the balancer's timer to it.
func (d *dispatcher) onTimer() {
	now := d.clock.now()
	d.timerLate = now - d.timerAt
	d.timerDelay.observe(now, d.timerLate)
	d.handle(balancer.TimerFired{})
	d.timerLate = 0
}

// logStats logs the counts since the previous call.
func (d *dispatcher) logStats() {
	current := d.stats.snapshot()
	logAttrs(slog.LevelInfo, componentCounts, "counts", append(current.since(&d.lastLogged), d.counts.attr(),
		slog.Int("in_flight", len(d.inFlight)), d.connectionStats(), memoryStats(), d.accountStats(),
		d.startStats(), d.readDelay.attr("read_delay_ms"), d.timerDelay.attr("timer_delay_ms"), d.answerDelay.attr("answer_delay_ms"))...)
	d.lastLogged = current
	if len(d.counts.upstreams) > 0 {
		logAttrs(slog.LevelInfo, componentCounts, "by upstream", slog.String("upstreams", d.counts.describeByUpstream(d.zone)))
	}
	d.counts = newAttemptCounts()
	d.sharing.logStats()
}

// dropPending drops the answers that are still queued when the dispatcher stops, since each occupies a connection and its
// goroutines.
func (d *dispatcher) dropPending() {
	for {
		select {
		case e := <-d.events:
			if e, ok := e.(attemptEnded); ok {
				e.reply.drop()
			}
		default:
			return
		}
	}
}

// onUrgent handles an event of the urgent queue.
func (d *dispatcher) onUrgent(e any) {
	switch e := e.(type) {
	case balancer.EndpointUpdate:
		d.handle(e)
	case banCommand:
		d.handle(e.Ban)
		close(e.done)
	case balancer.Snapshot:
		d.handle(e)
	case snapshotCommand:
		e.snapshot <- d.balancer.Snapshot(d.clock.now())
	case settingsCommand:
		d.handle(balancer.SettingsUpdate{Settings: e.settings})
		d.classes = classTable(e.settings)
		close(e.done)
	}
}

// onEvent handles an event of a request.
func (d *dispatcher) onEvent(e any) {
	switch e := e.(type) {
	case requestArrived:
		d.onRequestArrived(e.request)
	case bodyComplete:
		d.onBodyComplete(e)
	case bodyExpired:
		d.onBodyExpired(e.request)
	case clientDisconnected:
		if f := d.inFlight[e.request.id]; f != nil && f.request == e.request && !f.done {
			d.onClientDisconnected(f)
		}
		select { // the handler no longer waits, so an answer already in the channel is dropped here
		case a := <-e.request.answer:
			a.reply.drop()
		default:
		}
	case attemptEnded:
		d.onAttemptEnded(e)
	case heartbeat:
		inFlight, site := d.balancer.Pressure(d.clock.now())
		d.heartbeat.record(e, inFlight, site)
	case abort:
		d.onAbort()
	}
}

// onRequestArrived passes a new request to the balancer.
func (d *dispatcher) onRequestArrived(r *clientRequest) {
	if d.inFlight[r.id] != nil || r.unsafe() && d.recent.contains(r.id) {
		r.answer <- answer{kind: duplicate}
		return
	}
	if d.stopped || d.classes[r.class] != r.classSettings { // the second condition: the class's settings have changed since the request was parsed
		r.answer <- answer{kind: rejected}
		return
	}
	f := &inFlightRequest{request: r, acceptedAt: d.clock.now()}
	if !r.bodyPending {
		f.expiresAt = r.expiresAt
	}
	d.inFlight[r.id] = f
	d.handle(balancer.Request{ID: r.id, Class: r.class, Tenant: r.tenant, ExpiresAt: r.expiresAt, CostHint: r.costHint, BodyPending: r.bodyPending,
		AnswerDelay: d.extraDelay(r.timeout)})
	d.forgetRequest(r.id)
}

// onAbort fails all requests in flight.
func (d *dispatcher) onAbort() {
	d.stopped = true
	for id, f := range d.inFlight {
		if !f.done {
			d.answer(id, answer{kind: failed})
			d.handle(balancer.ClientDisconnected{ID: id})
			d.forgetRequest(id)
		}
	}
}

// onClientDisconnected ends a request whose client has disconnected.
func (d *dispatcher) onClientDisconnected(f *inFlightRequest) {
	f.done = true
	d.failures.log("client disconnected", func() []slog.Attr { return f.attrs(d.clock.now()) })
	d.handle(balancer.ClientDisconnected{ID: f.request.id})
	d.forgetRequest(f.request.id)
}

// onAttemptEnded reports the result of an attempt to the balancer. The first that succeeded provides the final answer.
func (d *dispatcher) onAttemptEnded(e attemptEnded) {
	f, id := e.inFlight, e.inFlight.request.id
	f.pendingAttempts--
	a := &f.attempts[e.attempt]
	a.cancel(nil)
	a.endedAt = e.at
	a.reply = attemptReply{result: e.reply.result, use: e.reply.use, bodyPassed: e.reply.bodyPassed, err: e.reply.err, abandon: e.reply.abandon}
	d.counts.add(a.upstream, e.reply.result, e.at-a.sentAt)
	if e.reply.result == balancer.OK && !d.answer(id, answer{kind: served, reply: e.reply}) {
		e.reply.drop()
	}
	if errors.Is(e.reply.err, errClientDisconnected) && !f.done { // the attempt noticed the disconnect before the handler reported it
		d.onClientDisconnected(f)
		f.request.answer <- answer{kind: disconnected}
	}
	d.handle(balancer.AttemptEnded{ID: id, Attempt: e.attempt, Result: e.reply.result,
		Elapsed: e.at - a.sentAt, Final: f.done, BodyConsumed: f.request.body.isConsumed()})
	d.forgetRequest(id)
}

// onBodyComplete starts the deadline of a request, and restarts the time of its pending attempts, since their upstreams can
// process the complete request only now.
func (d *dispatcher) onBodyComplete(e bodyComplete) {
	f := d.inFlight[e.request.id]
	if f == nil || f.request != e.request || f.done {
		return
	}
	now := d.clock.now()
	f.acceptedAt, f.expiresAt = now, e.expiresAt
	for i := range f.attempts {
		if a := &f.attempts[i]; a.endedAt == 0 {
			a.sentAt = now
			timer := time.AfterFunc(e.expiresAt-now, func() { a.endWithCause(context.DeadlineExceeded) })
			context.AfterFunc(a.ctx, func() { timer.Stop() })
		}
	}
	d.handle(balancer.BodyComplete{ID: f.request.id, ExpiresAt: e.expiresAt, AnswerDelay: d.extraDelay(e.expiresAt - now)})
	d.forgetRequest(f.request.id)
}

// onBodyExpired ends the pending attempts of a request, so that it is answered: no later attempt can be in time.
func (d *dispatcher) onBodyExpired(r *clientRequest) {
	f := d.inFlight[r.id]
	if f == nil || f.request != r || f.done || f.expiresAt > 0 {
		return
	}
	for i := range f.attempts {
		if a := &f.attempts[i]; a.endedAt == 0 {
			a.endWithCause(errBodyExpired)
		}
	}
}

// handle passes an event to the balancer, and performs the resulting actions.
func (d *dispatcher) handle(e balancer.Event) {
	d.actions = d.balancer.Handle(d.clock.now(), e, d.actions[:0])
	for i := range d.actions {
		d.perform(&d.actions[i])
	}
}

// perform performs one action of the balancer.
func (d *dispatcher) perform(a *balancer.Action) {
	switch a.Kind {
	case balancer.StartAttempt:
		d.startAttempt(a)
	case balancer.CancelAttempt:
		if f := d.inFlight[a.ID]; f != nil && a.Attempt < len(f.attempts) {
			var cause error
			if f.done {
				cause = errAnswered
			}
			f.attempts[a.Attempt].cancel(cause)
		}
	case balancer.Reject:
		d.answer(a.ID, answer{kind: rejected, retryAfter: a.RetryAfter})
	case balancer.Fail:
		d.answer(a.ID, answer{kind: failed})
	case balancer.SetTimer:
		now := d.clock.now()
		d.timerAt = max(a.At, now)
		d.timer.Reset(a.At - now)
	case balancer.Subscribe:
		d.subscribe()
	case balancer.ReportEvidence:
		d.sharing.report(a)
	case balancer.Log:
		logAttrs(slog.LevelInfo, componentDecisions, a.Text, a.Attrs...)
	}
}

// startAttempt starts an attempt in a goroutine, which reports its end as an attemptEnded event.
func (d *dispatcher) startAttempt(a *balancer.Action) {
	f := d.inFlight[a.ID]
	if f == nil {
		return
	}
	now := d.clock.now()
	if len(f.attempts) > 0 {
		d.retries.log("request sent again", func() []slog.Attr { return append(f.attrs(now), slog.String("upstream", a.Upstream)) })
	}
	for i := range f.attempts { // earlier attempts stop waiting for a late answer once this one starts
		if abandon := f.attempts[i].reply.abandon; abandon != nil {
			abandon()
		}
	}
	ctx, endWithCause := context.WithCancelCause(context.Background())
	stop := func() {}
	if f.expiresAt > 0 { // otherwise the body is still being received, and onBodyComplete sets the limit
		limit := f.expiresAt - now
		if a.Timeout > 0 {
			limit = min(limit, a.Timeout)
		}
		ctx, stop = context.WithTimeout(ctx, limit)
	}
	cancel := func(cause error) {
		endWithCause(cause)
		stop()
	}
	if len(f.attempts) == 0 && f.request.unsafe() {
		hash := hashID(f.request.id)
		d.recent.add(now, hash)
		d.onRun(hash)
	}
	n, upstream, startBefore := len(f.attempts), a.Upstream, a.At
	f.attempts = append(f.attempts, inFlightAttempt{upstream: upstream, sentAt: now, cancel: cancel, endWithCause: endWithCause, ctx: ctx})
	f.pendingAttempts++
	go func() {
		rep := d.attempt(ctx, upstream, f.request, startBefore)
		if !d.enqueue(attemptEnded{f, n, d.clock.now(), rep}) {
			rep.drop()
		}
	}()
}

// answer gives a request its final answer; it returns false if the request has one already, or its client has disconnected.
func (d *dispatcher) answer(id string, a answer) bool {
	f := d.inFlight[id]
	if f == nil || f.done {
		return false
	}
	f.done = true
	now := d.clock.now()
	a.attempted, a.decidedAt, a.expiresAt, a.timerDelay = len(f.attempts) > 0, now, f.expiresAt, d.timerLate
	if a.kind == rejected { // it has not run, whatever became of its attempts
		d.recent.remove(id)
	}
	f.request.answer <- a
	logTo := d.failures
	if a.kind == served {
		if now-f.acceptedAt <= f.request.classSettings.LatencyObjective {
			return true
		}
		logTo = d.lateAnswers
	}
	logTo.log(answerNames[a.kind], func() []slog.Attr { return f.attrs(now) })
	return true
}

// forgetRequest removes the request if it is done and has no pending attempts.
func (d *dispatcher) forgetRequest(id string) {
	if f := d.inFlight[id]; f != nil && f.done && f.pendingAttempts == 0 {
		if !f.mayHaveRun() {
			d.recent.remove(id)
		}
		delete(d.inFlight, id)
	}
}
