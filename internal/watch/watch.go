// Package watch follows a list over HTTP: it decides when a watch counts as broken, when another is opened beside it, and
// which of the two is used. It makes the calls and decodes the messages, and leaves their meaning to the caller.
package watch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// NotifyDeadline bounds the time from when the other side has a change, and can be reached, until it is
// applied here, whatever failed before. Each path is as long as the wait that began just before it could be
// reached, and the answer to the call after it (an agent has it at once; a list service reads it from
// memory):
//
// followed here, with a Wait of 2 s at most:
// refused, reset, ended, an error or an invalid list, in a loop: Wait 2.0 s
// no connection, or no response head: Step 1.25 s, lateStep 2.0 s
// silent after a line, a head or a part of a message: Silence 2.5 s
// a part of a message just before that silence counts: twice Silence, 5.0 s
//
// A message without end, a byte at a time, counts as a part of one: only its first bytes put the clock off.
// With MaxCalls, or several replicas, see the callers' constants.
const NotifyDeadline = 6 * time.Second

const (
	// Silence is how long a watch may bring nothing. An empty line comes every 2 s; one that is a quarter late
	// costs one call more and loses nothing, since the silent watch stays open beside its successor.
	Silence = 2500 * time.Millisecond
	// Step is how long a call may bring nothing before another is opened beside it. The next one takes its
	// place, so that each has two steps to answer: some servers hold back a response's head until its first
	// line.
	Step = Silence / 2
	// outageStep is the step once an outage is evident, after outageAfter calls without a line: changes have to be
	// applied within 3 s of the other side's return.
	outageStep  = 2 * time.Second
	outageAfter = 3
)

var (
	// ErrSilent is reported for a watch that was silent for too long.
	ErrSilent = errors.New("nothing was heard in time")
	// errEnded is returned if the server has ended a watch gracefully.
	errEnded = errors.New("the other side ended it")
)

// Follower follows one list, over two connections at most. Its functions are called one at a time, by Follow.
type Follower[M any] struct {
	Client          *http.Client
	Step            time.Duration               // default: the package's Step
	MaxMessageBytes int                         // of one message
	MaxCalls        int                         // calls without a line before Follow gives up; it does too when none is open. 0: it never does
	Address         func() string               // host:port that the next call goes to
	AddressChanged  <-chan struct{}             // Address has changed, and is called at once; nil: it never does
	Revision        func() int64                // the revision that is known; -1: the full list is requested
	Query           func() string               // additional query of the next call, as "&own=1"; nil: none
	Apply           func(at string, m *M) error // applies a message; after an error its watch is ended
	OnEstablished   func()                      // called once for each watch that is established and has no change
	OnLine          func()                      // called for each line, before it is applied; may be nil
	OnError         func(at string, why error)  // called with why a watch ended, or is silent
	Wait            func() time.Duration        // after a watch that ended, until the next call; used if MaxCalls is 0
}

// call is one watch.
type call struct {
	address        string
	fromRevision   int64
	query          string
	cancel         context.CancelFunc
	done           chan struct{}
	established    bool // it has received a line
	partial        bool // something was received since its last line: a head, or part of a message
	reportedSilent bool
	// it goes to the formerAddress address, and is read until a call to the new one has received a line
	formerAddress bool
}

// end ends the call and waits for it, so that there is never a third connection.
func (c *call) end() {
	c.cancel()
	<-c.done
}

// event is what a call reports: one of message, blank or err, or else that something was received.
type event[M any] struct {
	call    *call
	message *M
	blank   bool // an empty line
	err     error
}

// Follow watches until ctx ends, or until it gives up. Whichever of its calls receives a line first is
// used, and the other is ended unread, so that revisions can't go back. Only a call to the address of
// before ends no other: what was sent on it counts, and the new address may not answer yet.
func (f *Follower[M]) Follow(ctx context.Context) error {
	w := &followState[M]{Follower: f, ctx: ctx, events: make(chan event[M]), timer: time.NewTimer(0), timerDue: time.Now()}
	defer w.stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-f.AddressChanged:
			w.onAddressChanged()
		case <-w.timer.C:
			err = w.onTimer()
		case e := <-w.events:
			err = w.onEvent(e)
		}
		if err != nil {
			return err
		}
	}
}

// followState is the state of Follow.
type followState[M any] struct {
	*Follower[M]
	ctx            context.Context
	openCalls      []*call // two at most, the newest last
	events         chan event[M]
	callsSinceLine int         // since the last line
	timer          *time.Timer // of the next call
	timerDue       time.Time   // of next
}

// stop ends all calls.
func (w *followState[M]) stop() {
	w.timer.Stop()
	for _, c := range w.openCalls {
		c.end()
	}
}

// scheduleCall schedules the next call after wait, unless something is received before.
func (w *followState[M]) scheduleCall(wait time.Duration) {
	w.timerDue = time.Now().Add(wait)
	w.timer.Reset(wait)
}

// endOldest ends the older call, if there are two.
func (w *followState[M]) endOldest() {
	if len(w.openCalls) == 2 {
		w.openCalls[0].end()
		w.openCalls = w.openCalls[1:]
	}
}

// onAddressChanged calls the new address at once. The open call is read until the new one has received a line.
func (w *followState[M]) onAddressChanged() {
	at := w.Address()
	if len(w.openCalls) > 0 && w.openCalls[len(w.openCalls)-1].address == at {
		return // the call went there already
	}
	w.endOldest()
	for _, c := range w.openCalls {
		c.formerAddress = true
	}
	w.callsSinceLine = 0
	w.scheduleCall(0)
}

// onTimer makes the next call beside a silent one, or gives up.
func (w *followState[M]) onTimer() error {
	if len(w.openCalls) > 0 && !w.openCalls[len(w.openCalls)-1].formerAddress {
		w.reportSilent(w.openCalls[len(w.openCalls)-1])
	}
	if w.MaxCalls > 0 && w.callsSinceLine >= w.MaxCalls {
		return ErrSilent
	}
	w.endOldest()
	w.openCalls = append(w.openCalls, w.startCall(w.ctx, w.events))
	w.callsSinceLine++
	w.scheduleCall(w.stepAfter(w.callsSinceLine))
	return nil
}

// onEvent handles the event of a call. An error ends Follow.
func (w *followState[M]) onEvent(e event[M]) error {
	i := slices.Index(w.openCalls, e.call)
	if i < 0 || w.ctx.Err() != nil { // the call has been ended
		return nil
	}
	if e.call.formerAddress {
		w.onFormerEvent(e, i)
		return nil
	}
	newest := i == len(w.openCalls)-1
	isLine := e.message != nil || e.blank
	if isLine {
		w.useOnly(e.call, i)
		newest = true
		e.err = w.handleLine(e)
	}
	switch {
	case e.err != nil:
		return w.onEnd(e, newest)
	case isLine:
		e.call.partial = false
		w.scheduleCall(Silence)
	case newest && !e.call.partial: // once only: a message that never becomes complete must not keep a watch alive
		e.call.partial = true
		w.scheduleCall(w.lineTimeout(e.call))
	}
	return nil
}

// onFormerEvent handles the event of a call to the former address. It does not affect the timer of the call to the new one.
func (w *followState[M]) onFormerEvent(e event[M], i int) {
	if e.message != nil {
		e.err = w.Apply(e.call.address, e.message)
	}
	if e.err != nil {
		e.call.end()
		w.openCalls = slices.Delete(w.openCalls, i, i+1)
	}
}

// useOnly ends the other call, as the i-th has received a line.
func (w *followState[M]) useOnly(c *call, i int) {
	for k, other := range w.openCalls {
		if k != i {
			other.end()
		}
	}
	w.openCalls, w.callsSinceLine = []*call{c}, 0
}

// onEnd handles the end of a call. An error ends Follow.
func (w *followState[M]) onEnd(e event[M], newest bool) error {
	e.call.end()
	w.openCalls = slices.DeleteFunc(w.openCalls, func(c *call) bool { return c == e.call })
	if !e.call.reportedSilent {
		w.OnError(e.call.address, e.err)
	}
	switch {
	case w.MaxCalls > 0 && (len(w.openCalls) == 0 || w.openCalls[0].formerAddress):
		return e.err
	case w.MaxCalls == 0 && newest:
		if wait := w.Wait(); time.Until(w.timerDue) > wait { // an end never delays the next call
			w.scheduleCall(wait)
		}
	}
	return nil
}

func (f *Follower[M]) stepAfter(calls int) time.Duration {
	switch {
	case f.Step > 0:
		return f.Step
	case calls > outageAfter:
		return outageStep
	}
	return Step
}

// lineTimeout returns how long a call may continue without a line after something was received. If the caller sets Step, the
// first line must arrive with the head.
func (f *Follower[M]) lineTimeout(c *call) time.Duration {
	if f.Step > 0 && !c.established {
		return f.Step
	}
	return Silence
}

// reportSilent reports once that a call is silent.
func (f *Follower[M]) reportSilent(c *call) {
	if !c.reportedSilent {
		c.reportedSilent = true
		f.OnError(c.address, ErrSilent)
	}
}

// handleLine handles a handleLine of the call in use.
func (f *Follower[M]) handleLine(e event[M]) error {
	first := !e.call.established
	e.call.established, e.call.reportedSilent = true, false
	if f.OnLine != nil {
		f.OnLine()
	}
	switch {
	case e.message != nil:
		return f.Apply(e.call.address, e.message)
	case first && f.OnEstablished != nil:
		f.OnEstablished()
	}
	return nil
}

// startCall makes the next call.
func (f *Follower[M]) startCall(ctx context.Context, events chan<- event[M]) *call {
	ctx, cancel := context.WithCancel(ctx)
	c := &call{address: f.Address(), fromRevision: f.Revision(), cancel: cancel, done: make(chan struct{})}
	if f.Query != nil {
		c.query = f.Query()
	}
	go func() {
		defer close(c.done)
		f.read(ctx, c, events)
	}()
	return c
}

// read makes a call, and reports its events until it ends.
func (f *Follower[M]) read(ctx context.Context, c *call, events chan<- event[M]) {
	report := func(e event[M]) {
		e.call = c
		select {
		case events <- e:
		case <-ctx.Done():
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet,
		fmt.Sprintf("http://%s/api/targets?watch=1&from=%d%s", c.address, c.fromRevision, c.query), nil)
	if err != nil {
		report(event[M]{err: err})
		return
	}
	resp, err := f.Client.Do(req)
	if err != nil {
		report(event[M]{err: err})
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		report(event[M]{err: fmt.Errorf("answered %s", resp.Status)})
		return
	}
	report(event[M]{}) // a head counts as a heartbeat
	in := NewMessages(resp.Body, f.MaxMessageBytes)
	in.onData = func(blank bool) { report(event[M]{blank: blank}) }
	for err == nil {
		m := new(M)
		if err = in.Next(m); err == nil {
			report(event[M]{message: m})
		}
	}
	if !errors.Is(err, io.EOF) {
		err = fmt.Errorf("reading a list: %w", err)
	} else {
		err = errEnded
		for _, why := range resp.Trailer { // the reason, if the server gives one
			err = fmt.Errorf("%w: %s", errEnded, why)
		}
	}
	report(event[M]{err: err})
}
