// Package watch owns the clock of silence: when a watch on a list counts as broken, what is opened beside it, and which
// of the two is believed. It makes the calls and takes messages apart; what they mean is its caller's.
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

// NotifyDeadline is what all waits are cut to: what the other side has is acted on so long after it had it and could be reached, whatever
// failed, was refused or was given up before. Each path is as long as the wait that was begun just before it came back, and
// the answer to the call after it (an agent has it at once; a list service reads it from memory):
//
//	followed here, where Wait is 2 s at the most:
//	    refused, reset, ended, an error or a spoilt list, in a loop   Wait 2.0                         2.0 s
//	    a connection that never comes up, an answer without a head    Step 1.25, lateStep 2.0         2.0 s
//	    the same, and the connection is given up meanwhile            never later than the step        2.0 s
//	    silent after a line, a head or a part of a message            Silence 2.5                      2.5 s
//	    a part of a message, just before that silence counts          Silence 2.5, Silence 2.5         5.0 s
//	one message without end, a byte at a time: as a part of it, since only its first bytes put the clock off
//	asked for by another (Tries), and several replicas: beside the callers' constants
const NotifyDeadline = 6 * time.Second

const (
	// Silence is how long a watch may bring nothing. An empty line comes every 2 s; what comes a quarter late costs one
	// call more and loses nothing, since the silent watch stays open beside its successor.
	Silence = 2500 * time.Millisecond
	// Step is how long a call may bring nothing before another is opened beside it. The one after that takes its place, so
	// that each has two steps to answer: some hold back an answer's head until its first line.
	Step = Silence / 2
	// lateStep is the step once an outage is evident: after so many calls without a line. What the other side has
	// binds within 3 s of its return, whoever asks.
	lateStep    = 2 * time.Second
	outageAfter = 3
)

var (
	// ErrSilent is why a watch is not relied on any more.
	ErrSilent = errors.New("nothing was heard in time")
	// errEnded is why a watch is over that the other side has ended in order.
	errEnded = errors.New("the other side ended it")
)

// Follower follows one list. It holds two connections at the most. Its functions are called one at a time, by Follow.
type Follower[M any] struct {
	Client          *http.Client
	Step            time.Duration               // 0: Step
	MaxMessageBytes int                         // bytes of one message
	MaxCalls        int                         // calls without a line before Follow gives up; it does too when none is open. 0: it never does
	Address         func() string               // host:port that the next call goes to
	AddressChanged  <-chan struct{}             // At says something else now, and is called at once; nil: it never does
	Revision        func() int64                // the version that is held; -1: the whole list is asked for
	Query           func() string               // what the next call asks for beside, as "&own=1"; nil: nothing
	Apply           func(at string, m *M) error // a message. An error: it is of no use, and its watch is ended
	OnEstablished   func()                      // once for each watch that was taken up and has no news
	OnLine          func()                      // for each line, before it is taken in; may be nil
	OnError         func(at string, why error)
	Wait            func() time.Duration // after a watch that ended, until the next call; used where Tries is 0
}

// call is one watch.
type call struct {
	at             string
	from           int64
	query          string
	cancel         context.CancelFunc
	done           chan struct{}
	established    bool // it has brought a line
	partial        bool // since its last line: a head, or a part of a message
	reportedSilent bool // that was said
	former         bool // it goes to where the list is no more, and is read on until a call to the new place has spoken
}

// end waits for the call's end, so that there is never a third connection.
func (c *call) end() {
	c.cancel()
	<-c.done
}

// event is what a call reports: one of message, blank, err, or else that something was heard.
type event[M any] struct {
	from    *call
	message *M
	blank   bool // an empty line
	err     error
}

// Follow watches until ctx ends, or until it gives up. Whichever of its calls brings a line first is believed, and the
// other is ended unread, so that versions can't go back. Only what a move leaves behind ends no other: what it had written
// counts as told, and the new place may not answer yet.
func (f *Follower[M]) Follow(ctx context.Context) error {
	var open []*call // two at most, the newest last
	defer func() {
		for _, c := range open {
			c.end()
		}
	}()
	events := make(chan event[M])
	calls := 0 // since the last line
	next, due := time.NewTimer(0), time.Now()
	defer next.Stop()
	set := func(wait time.Duration) {
		due = time.Now().Add(wait)
		next.Reset(wait)
	}
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-f.AddressChanged:
			at := f.Address()
			if len(open) > 0 && open[len(open)-1].at == at {
				continue // it was begun there already
			}
			if len(open) == 2 {
				open[0].end()
				open = open[1:]
			}
			for _, c := range open {
				c.former = true
			}
			calls = 0
			set(0)
		case <-next.C:
			if len(open) > 0 && !open[len(open)-1].former {
				f.reportSilent(open[len(open)-1])
			}
			if f.MaxCalls > 0 && calls >= f.MaxCalls {
				return ErrSilent
			}
			if len(open) == 2 {
				open[0].end()
				open = open[1:]
			}
			open = append(open, f.begin(ctx, events))
			calls++
			set(f.step(calls))
		case e := <-events:
			i := slices.Index(open, e.from)
			if i < 0 || ctx.Err() != nil { // another is believed, or took its place
				continue
			}
			if e.from.former {
				if e.message != nil {
					e.err = f.Apply(e.from.at, e.message)
				}
				if e.err != nil { // the call to the new place has its own clock
					e.from.end()
					open = slices.Delete(open, i, i+1)
				}
				continue
			}
			newest := i == len(open)-1
			if e.message != nil || e.blank {
				if !newest {
					open[1].end()
				} else if i > 0 {
					open[0].end()
				}
				open, calls, newest = []*call{e.from}, 0, true
				e.err = f.line(e)
			}
			switch {
			case e.err != nil:
				e.from.end()
				open = slices.DeleteFunc(open, func(c *call) bool { return c == e.from })
				if !e.from.reportedSilent {
					f.OnError(e.from.at, e.err)
				}
				switch {
				case f.MaxCalls > 0 && (len(open) == 0 || open[0].former):
					return e.err
				case f.MaxCalls == 0 && newest:
					if wait := f.Wait(); time.Until(due) > wait { // an end never puts the next call off
						set(wait)
					}
				}
			case e.message != nil || e.blank:
				e.from.partial = false
				set(Silence)
			case newest && !e.from.partial: // once: a message that never becomes whole keeps no watch alive
				e.from.partial = true
				set(f.quiet(e.from))
			}
		}
	}
}

func (f *Follower[M]) step(calls int) time.Duration {
	switch {
	case f.Step > 0:
		return f.Step
	case calls > outageAfter:
		return lateStep
	}
	return Step
}

// quiet is how long a call may go on without a line after a sign of life. Where the caller sets the step, a first line comes
// with the head.
func (f *Follower[M]) quiet(c *call) time.Duration {
	if f.Step > 0 && !c.established {
		return f.Step
	}
	return Silence
}

// reportSilent says once that a call is silent.
func (f *Follower[M]) reportSilent(c *call) {
	if !c.reportedSilent {
		c.reportedSilent = true
		f.OnError(c.at, ErrSilent)
	}
}

// line takes in what a call brought, which is believed.
func (f *Follower[M]) line(e event[M]) error {
	first := !e.from.established
	e.from.established, e.from.reportedSilent = true, false
	if f.OnLine != nil {
		f.OnLine()
	}
	switch {
	case e.message != nil:
		return f.Apply(e.from.at, e.message)
	case first && f.OnEstablished != nil:
		f.OnEstablished()
	}
	return nil
}

// begin makes the next call.
func (f *Follower[M]) begin(ctx context.Context, events chan<- event[M]) *call {
	ctx, cancel := context.WithCancel(ctx)
	c := &call{at: f.Address(), from: f.Revision(), cancel: cancel, done: make(chan struct{})}
	if f.Query != nil {
		c.query = f.Query()
	}
	go func() {
		defer close(c.done)
		f.read(ctx, c, events)
	}()
	return c
}

// read carries a call out, and reports what it brings until it ends.
func (f *Follower[M]) read(ctx context.Context, c *call, events chan<- event[M]) {
	report := func(e event[M]) {
		e.from = c
		select {
		case events <- e:
		case <-ctx.Done():
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet,
		fmt.Sprintf("http://%s/api/targets?watch=1&from=%d%s", c.at, c.from, c.query), nil)
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
	report(event[M]{}) // its head is a sign of life too
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
		for _, why := range resp.Trailer { // where the other side says why
			err = fmt.Errorf("%w: %s", errEnded, why)
		}
	}
	report(event[M]{err: err})
}
