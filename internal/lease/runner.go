package lease

import (
	"context"
	"sync"
	"time"

	"mosslead/internal/registry/api"
)

// Runner drives an Elector with a clock and calls of the service. Run is its event loop; the other methods may
// be called from any goroutine and do not block.
type Runner struct {
	CurrentLease
	service   Service
	config    Config
	onChange  func(Action)
	startedAt time.Time
	wake      chan struct{}

	mu         sync.Mutex
	campaign   *Campaign // not handled yet; nil if there is none
	workFailed bool
}

// NewRunner returns a Runner, which starts with Run. onChange is called on Run's goroutine with each Acquired
// and Expired; when it gets Expired, Holds already reports false.
func NewRunner(s Service, c Config, onChange func(Action)) *Runner {
	return &Runner{service: s, config: c, onChange: onChange, startedAt: time.Now(), wake: make(chan struct{}, 1)}
}

// Campaign starts or stops campaigning, and sets how fit this process is to lead: 0 to api.MaxFitness.
func (r *Runner) Campaign(on bool, fitness float64) {
	r.mu.Lock()
	r.campaign = &Campaign{on, min(max(fitness, 0), api.MaxFitness)}
	r.mu.Unlock()
	r.wakeUp()
}

// ReportFailure reports that this process fails at the work of the leader. If it leads, it releases the
// leadership and does not campaign for a while.
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

// Run takes part in the election until ctx ends, and then releases the lease. After that it
// returns within about two timeouts, or when the lease has expired at the service.
func (r *Runner) Run(ctx context.Context) {
	now := func() time.Duration { return time.Since(r.startedAt) }
	elector := NewElector(r.config, now())
	caller := r.startCaller()
	defer caller.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	done := ctx.Done()
	events := []Event{nil}
	for {
		for _, e := range events {
			for _, a := range elector.Handle(now(), e) {
				switch a := a.(type) {
				case Request:
					caller.call(context.WithoutCancel(ctx), a)
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
		if at, ok := elector.Next(); ok {
			timer.Reset(max(0, at-now()))
		}
		select {
		case <-done:
			events, done = []Event{Stop{}}, nil
		case a := <-caller.responses:
			events = []Event{a}
		case <-timer.C:
			events = []Event{nil}
		case <-r.wake:
			events = r.takeInputs()
		}
	}
}

// takeInputs returns the inputs since its last call, as events.
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

// caller sends requests on its own goroutine, one at a time: each request cancels the previous one.
type caller struct {
	jobs      chan requestJob
	responses chan Response      // a response to a cancelled request may still arrive
	stopped   chan struct{}      // closed when the goroutine has ended
	cancel    context.CancelFunc // cancels the latest request; nil before the first
}

type requestJob struct {
	ctx context.Context
	Request
}

func (r *Runner) startCaller() *caller {
	c := &caller{jobs: make(chan requestJob), responses: make(chan Response, 1), stopped: make(chan struct{})}
	go func() {
		defer close(c.stopped)
		for job := range c.jobs {
			c.responses <- r.callService(job.ctx, job.Request)
		}
	}()
	return c
}

func (c *caller) cancelPending() {
	if c.cancel != nil {
		c.cancel()
	}
}

// call cancels the previous request, and starts this one.
func (c *caller) call(ctx context.Context, request Request) {
	c.cancelPending()
	ctx, c.cancel = context.WithTimeout(ctx, request.Timeout)
	for {
		select {
		case c.jobs <- requestJob{ctx, request}:
			return
		case <-c.responses: // response to the cancelled request
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

func (r *Runner) callService(ctx context.Context, request Request) (response Response) {
	response.ID = request.ID
	var err error
	switch request.Op {
	case Acquire:
		response.Grant, err = r.service.AcquireLeadership(ctx, request.Claim)
	case Renew:
		response.Grant, err = r.service.RenewLeadership(ctx, request.Claim)
	case Release:
		err = r.service.ReleaseLeadership(ctx, request.Claim)
	}
	response.Known = err == nil
	return response
}
