package lease

import (
	"context"
	"sync"
	"time"

	"mosslead/internal/registry/api"
)

// Runner carries out an Elector. Run is its one goroutine; all other methods may be called from anywhere and
// do not block.
type Runner struct {
	CurrentLease
	service   Service
	config    Config
	onChange  func(Action)
	startedAt time.Time
	wake      chan struct{}

	mu         sync.Mutex
	campaign   *Campaign // not handled yet
	workFailed bool
}

// NewRunner prepares an elector. onChange gets Acquired and Expired, on Run's goroutine; Holds is false
// already when it gets Expired.
func NewRunner(s Service, c Config, onChange func(Action)) *Runner {
	return &Runner{service: s, config: c, onChange: onChange, startedAt: time.Now(), wake: make(chan struct{}, 1)}
}

// Campaign says whether the leadership is wanted, and how fit this process is for it.
func (r *Runner) Campaign(on bool, fitness float64) {
	r.mu.Lock()
	r.campaign = &Campaign{on, min(max(fitness, 0), api.MaxFitness)}
	r.mu.Unlock()
	r.wakeUp()
}

// ReportFailure says that this process fails at the work of the leader. It loses the leadership for a while.
func (r *Runner) ReportFailure() {
	r.mu.Lock()
	r.workFailed = true
	r.mu.Unlock()
	r.wakeUp()
}

func (r *Runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run takes part in the election until ctx ends, and then releases what it holds. It returns within about two
// timeouts, or when the lease has ended.
func (r *Runner) Run(ctx context.Context) {
	now := func() time.Duration { return time.Since(r.startedAt) }
	x := NewElector(r.config, now())
	calls := r.startCaller()
	defer calls.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	over := ctx.Done()
	events := []Event{nil}
	for {
		for _, e := range events {
			for _, a := range x.Handle(now(), e) {
				switch a := a.(type) {
				case Request:
					calls.call(context.WithoutCancel(ctx), a)
				case Acquired:
					r.set(a.Epoch, r.startedAt.Add(a.ExpiresAt))
					r.onChange(a)
				case Expired:
					r.clear()
					r.onChange(a)
				case Done:
					return
				}
			}
		}
		if at, ok := x.Next(); ok {
			timer.Reset(max(0, at-now()))
		}
		select {
		case <-over:
			events, over = []Event{Stop{}}, nil
		case a := <-calls.responses:
			events = []Event{a}
		case <-timer.C:
			events = []Event{nil}
		case <-r.wake:
			events = r.takeInputs()
		}
	}
}

// takeInputs returns the events since it was last called.
func (r *Runner) takeInputs() (events []Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.workFailed {
		events = append(events, WorkFailed{})
	}
	if r.campaign != nil {
		events = append(events, *r.campaign)
	}
	r.workFailed, r.campaign = false, nil
	return events
}

// caller sends requests on a goroutine of its own, one at a time: each cancels the one before.
type caller struct {
	jobs      chan requestJob
	responses chan Response // a response to a cancelled request may still arrive
	stopped   chan struct{}
	cancel    context.CancelFunc // of the latest request; nil: there was none
}

type requestJob struct {
	ctx context.Context
	Request
}

func (r *Runner) startCaller() *caller {
	c := &caller{jobs: make(chan requestJob), responses: make(chan Response, 1), stopped: make(chan struct{})}
	go func() {
		defer close(c.stopped)
		for j := range c.jobs {
			c.responses <- r.callService(j.ctx, j.Request)
		}
	}()
	return c
}

func (c *caller) cancelPending() {
	if c.cancel != nil {
		c.cancel()
	}
}

// call cancels the request before, and sends one.
func (c *caller) call(ctx context.Context, x Request) {
	c.cancelPending()
	ctx, c.cancel = context.WithTimeout(ctx, x.Timeout)
	for {
		select {
		case c.jobs <- requestJob{ctx, x}:
			return
		case <-c.responses: // to a call that was ended
		}
	}
}

// close cancels the pending request, and returns once the goroutine has ended.
func (c *caller) close() {
	c.cancelPending()
	close(c.jobs)
	for {
		select {
		case <-c.responses:
		case <-c.stopped:
			return
		}
	}
}

func (r *Runner) callService(ctx context.Context, c Request) (a Response) {
	a.ID = c.ID
	var err error
	switch c.Op {
	case Acquire:
		a.Grant, err = r.service.AcquireLeadership(ctx, c.Claim)
	case Renew:
		a.Grant, err = r.service.RenewLeadership(ctx, c.Claim)
	case Release:
		err = r.service.ReleaseLeadership(ctx, c.Claim)
	}
	a.Known = err == nil
	return a
}
