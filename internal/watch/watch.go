// Package watch follows a list over HTTP: it decides when a watch counts as broken, when another is opened beside it, and
// which of the two is used. It makes the calls and decodes the messages; the caller interprets them.
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

// NotifyDeadline bounds, with DefaultTiming, the time from when a server has a change and can be reached until the change is
// applied here, whatever failed before. This time consists of the wait that began just before the server
// could be reached, and of the response to the next call, which needs hardly any time (a discovery agent has
// the change at hand, and a list service reads it from memory). With a Wait of 2 s at most, the longest
// wait after each kind of failure is:
//
//	calls repeatedly refused, reset, ended, or answered with an error or an invalid list: Wait 2.0 s
//	no connection, or no response head: Step 1.25 s, outageStep 2.0 s
//	silent after a line, a head or a part of a message: Silence 2.5 s
//	a part of a message just before the end of that silence: twice Silence, 5.0 s
//
// A message that arrives byte by byte without end counts as a part of a message: only its first bytes restart
// the timer. With MaxCalls, or several replicas, see the callers' constants.
const NotifyDeadline = 6 * time.Second

var (
	// ErrSilent is the error of a watch that was silent for too long.
	ErrSilent = errors.New("nothing was received in time")
	// errEnded is the error of a watch that the server has ended gracefully.
	errEnded = errors.New("the server ended the watch")
)

// Follower follows one list, over two connections at most. Follow calls its functions one at a time.
type Follower[M any] struct {
	Client          *http.Client
	Step            time.Duration                      // step of the calls; default: that of Timing
	Timing          func() Timing                      // returns the time-outs in force; default: DefaultTiming
	TimingChanged   <-chan struct{}                    // receives a value when the result of Timing has changed; nil if it never changes
	MaxMessageBytes int                                // limit of the bytes of one message
	MaxCalls        int                                // Follow gives up after this many calls without a line, or when its only call ends; 0 if it never gives up
	Address         func() string                      // returns the host:port of the next call
	AddressChanged  <-chan struct{}                    // receives a value when the result of Address has changed; Address is then called at once; nil if it never changes
	Revision        func() int64                       // returns the known revision, or -1 to request the full list
	Query           func() string                      // returns what is appended to the query of the next call, such as "&own=1"; may be nil
	Apply           func(address string, m *M) error   // applies a message; an error ends its watch
	OnEstablished   func()                             // called once for each watch whose first line is empty, which means no change; may be nil
	OnLine          func()                             // called for each line, before it is applied; may be nil
	OnError         func(address string, reason error) // called with the reason why a watch ended, or with ErrSilent
	Wait            func() time.Duration               // returns the time from the end of a watch to the next call; used if MaxCalls is 0
}

// call is a watch on one connection.
type call struct {
	address        string
	fromRevision   int64
	query          string
	cancel         context.CancelFunc
	done           chan struct{}
	established    bool // whether it has received a line
	partial        bool // whether a head or a part of a message was received since its last line
	reportedSilent bool
	// whether the call goes to the former address; it is then read until a call to the new address has received a line
	formerAddress bool
	startedAt     time.Time
	lineAt        time.Time // when it received its last line
}

// mayReceive reports whether the call may still receive a line, by the time-outs of DefaultTiming.
func (c *call) mayReceive() bool {
	switch {
	case c.formerAddress:
		return false
	case c.established:
		return time.Since(c.lineAt) < Silence
	}
	return time.Since(c.startedAt) < 2*Silence
}

// end ends the call and waits until its connection is no longer in use, so that there is never a third connection.
func (c *call) end() {
	c.cancel()
	<-c.done
}

// event reports that a call has received a message or an empty line, or has ended with an error. If none of these is set, the call has
// received the response head or a part of a message.
type event[M any] struct {
	call    *call
	message *M
	blank   bool // an empty line
	err     error
}

// Follow watches until ctx ends, or until it gives up, and returns why. Of two open calls, the first to
// receive a line is used and the other is ended unread, so that revisions can't go back. A call to the
// former address is the exception: a line on it does not end the call to the new address, which may not
// respond yet, and its messages are applied until the new address has sent a line.
func (f *Follower[M]) Follow(ctx context.Context) error {
	if f.Timing == nil {
		f.Timing = DefaultTiming
	}
	s := &followState[M]{Follower: f, ctx: ctx, events: make(chan event[M]), timer: time.NewTimer(0), timerDue: time.Now()}
	defer s.stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-f.AddressChanged:
			s.onAddressChanged()
		case <-f.TimingChanged:
			s.onTimingChanged()
		case <-s.timer.C:
			err = s.onTimer()
		case e := <-s.events:
			err = s.onEvent(e)
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
	openCalls      []*call // two at most, in the order in which they were started
	events         chan event[M]
	callsSinceLine int         // number of calls since the last line
	timer          *time.Timer // fires when the next call is due
	timerDue       time.Time   // when timer fires
}

// stop ends all calls.
func (s *followState[M]) stop() {
	s.timer.Stop()
	for _, c := range s.openCalls {
		c.end()
	}
}

// scheduleCall schedules the next call after wait, in place of the one scheduled before.
func (s *followState[M]) scheduleCall(wait time.Duration) {
	s.timerDue = time.Now().Add(wait)
	s.timer.Reset(wait)
}

// makeRoom ends one call, if there are two: the older one. With short time-outs it ends the newer one as long as the older one
// may receive a line: from a slow server, calls that replace each other quickly would never receive one.
func (s *followState[M]) makeRoom() {
	switch {
	case len(s.openCalls) < 2:
	case s.Timing().short() && s.openCalls[0].mayReceive():
		s.endCall(1)
	default:
		s.endCall(0)
	}
}

// endCall ends the i-th open call.
func (s *followState[M]) endCall(i int) {
	s.openCalls[i].end()
	s.openCalls = slices.Delete(s.openCalls, i, i+1)
}

// onTimingChanged brings the next call forward if the time-outs have become shorter.
func (s *followState[M]) onTimingChanged() {
	if silence := s.Timing().Silence; time.Until(s.timerDue) > silence {
		s.scheduleCall(silence)
	}
}

// onAddressChanged schedules a call to the new address at once. One open call is read until the new one has received a line.
func (s *followState[M]) onAddressChanged() {
	address := s.Address()
	if len(s.openCalls) > 0 && s.openCalls[len(s.openCalls)-1].address == address {
		return // a call to this address is open already
	}
	s.makeRoom()
	for _, c := range s.openCalls {
		c.formerAddress = true
	}
	s.callsSinceLine = 0
	s.scheduleCall(0)
}

// onTimer starts the next call. Of the calls that are open already, only one stays open beside it. It returns an error if
// Follow is to give up.
func (s *followState[M]) onTimer() error {
	if len(s.openCalls) > 0 && !s.openCalls[len(s.openCalls)-1].formerAddress {
		s.reportSilent(s.openCalls[len(s.openCalls)-1])
	}
	if s.MaxCalls > 0 && s.callsSinceLine >= s.MaxCalls {
		return ErrSilent
	}
	s.makeRoom()
	s.openCalls = append(s.openCalls, s.startCall(s.ctx, s.events))
	s.callsSinceLine++
	s.scheduleCall(s.stepAfter(s.callsSinceLine))
	return nil
}

// onEvent handles an event of a call. An error that it returns ends Follow.
func (s *followState[M]) onEvent(e event[M]) error {
	i := slices.Index(s.openCalls, e.call)
	if i < 0 || s.ctx.Err() != nil { // the call has been ended
		return nil
	}
	if e.call.formerAddress {
		s.onFormerEvent(e, i)
		return nil
	}
	newest := i == len(s.openCalls)-1
	isLine := e.message != nil || e.blank
	if isLine && s.isProbe(i) {
		return s.onProbeLine(e, i)
	}
	if isLine {
		s.useOnly(e.call, i)
		newest = true
		e.err = s.handleLine(e)
	}
	switch {
	case e.err != nil:
		return s.onEnd(e, newest)
	case isLine:
		e.call.partial = false
		s.scheduleCall(s.Timing().Silence)
	case newest && !e.call.partial: // only once after each line: a message that never ends must not keep the watch open
		e.call.partial = true
		s.scheduleCall(s.lineTimeout(e.call))
	}
	return nil
}

// isProbe reports whether the i-th open call only checks, with short time-outs, that the watch beside it has missed nothing.
func (s *followState[M]) isProbe(i int) bool {
	return i == 1 && s.Timing().short() && s.openCalls[0].established && s.openCalls[0].mayReceive()
}

// onProbeLine handles a line of a probe, the i-th open call. If it has news, the watch has missed it, and the probe becomes the
// watch; otherwise the probe ends.
func (s *followState[M]) onProbeLine(e event[M], i int) error {
	e.err = s.handleLine(e)
	switch {
	case e.err != nil:
		return s.onEnd(e, true)
	case s.Revision() == e.call.fromRevision:
		s.endCall(i)
		s.callsSinceLine = 0
	default:
		s.useOnly(e.call, i)
	}
	s.scheduleCall(s.Timing().Silence)
	return nil
}

// onFormerEvent handles an event of the i-th open call, which goes to the former address. It does not affect the timer.
func (s *followState[M]) onFormerEvent(e event[M], i int) {
	if e.message != nil {
		e.err = s.Apply(e.call.address, e.message)
	}
	if e.err != nil {
		e.call.end()
		s.openCalls = slices.Delete(s.openCalls, i, i+1)
	}
}

// useOnly ends the other open call, because the i-th one, c, has received a line.
func (s *followState[M]) useOnly(c *call, i int) {
	for j, other := range s.openCalls {
		if j != i {
			other.end()
		}
	}
	s.openCalls, s.callsSinceLine = []*call{c}, 0
}

// onEnd handles the end of a call. An error that it returns ends Follow.
func (s *followState[M]) onEnd(e event[M], newest bool) error {
	e.call.end()
	s.openCalls = slices.DeleteFunc(s.openCalls, func(c *call) bool { return c == e.call })
	if !e.call.reportedSilent {
		s.OnError(e.call.address, e.err)
	}
	switch {
	case s.MaxCalls > 0 && (len(s.openCalls) == 0 || s.openCalls[0].formerAddress):
		return e.err
	case s.MaxCalls == 0 && newest:
		if wait := s.Wait(); time.Until(s.timerDue) > wait { // the end of a call never delays the next one
			s.scheduleCall(wait)
		}
	}
	return nil
}

// stepAfter returns the time until the next call, after a number of calls without a line.
func (f *Follower[M]) stepAfter(calls int) time.Duration {
	switch {
	case f.Step > 0:
		return f.Step
	case calls > outageAfter:
		return f.Timing().OutageStep
	}
	return f.Timing().Step
}

// lineTimeout returns how long a call may continue without a line after a head or a part of a message was received. If Step is
// set, the first line must arrive within Step of the head.
func (f *Follower[M]) lineTimeout(c *call) time.Duration {
	if f.Step > 0 && !c.established {
		return f.Step
	}
	return f.Timing().Silence
}

// reportSilent reports a silent call, unless that has already been reported since its last line, or the next line is not due yet.
func (f *Follower[M]) reportSilent(c *call) {
	if !c.reportedSilent && (!c.established || !c.mayReceive()) {
		c.reportedSilent = true
		f.OnError(c.address, ErrSilent)
	}
}

// handleLine handles a line of the call in use.
func (f *Follower[M]) handleLine(e event[M]) error {
	first := !e.call.established
	e.call.established, e.call.reportedSilent, e.call.lineAt = true, false, time.Now()
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

// startCall starts the next call.
func (f *Follower[M]) startCall(ctx context.Context, events chan<- event[M]) *call {
	ctx, cancel := context.WithCancel(ctx)
	c := &call{address: f.Address(), fromRevision: f.Revision(), cancel: cancel, done: make(chan struct{}), startedAt: time.Now()}
	if f.Query != nil {
		c.query = f.Query()
	}
	go func() {
		defer close(c.done)
		f.read(ctx, c, events)
	}()
	return c
}

// read makes a call, and sends its events to events until it ends.
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
	report(event[M]{}) // the response head has been received
	messages := NewMessages(resp.Body, f.MaxMessageBytes)
	messages.onData = func(blank bool) { report(event[M]{blank: blank}) }
	for err == nil {
		m := new(M)
		if err = messages.Next(m); err == nil {
			report(event[M]{message: m})
		}
	}
	if !errors.Is(err, io.EOF) {
		err = fmt.Errorf("reading a list: %w", err)
	} else {
		err = errEnded
		for _, reason := range resp.Trailer { // the reason, if the server gives one
			err = fmt.Errorf("%w: %s", errEnded, reason)
		}
	}
	report(event[M]{err: err})
}
