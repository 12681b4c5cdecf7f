package lease

import (
	"context"
	"sync"
	"time"

	"mosslead/internal/registry/api"
)

// Runner carries a candidate out. Run is its one goroutine; everything else may be called from anywhere, and never waits.
type Runner struct {
	Held
	service Service
	c       Config
	says    func(Action)
	begin   time.Time
	wake    chan struct{}

	mu     sync.Mutex
	want   *Want // not handled yet
	failed bool
}

// NewRunner prepares a candidate. says is told of Hold and Lost, on Run's goroutine; before it is told of Lost, Act has ended.
func NewRunner(s Service, c Config, says func(Action)) *Runner {
	return &Runner{service: s, c: c, says: says, begin: time.Now(), wake: make(chan struct{}, 1)}
}

// Want says whether the duty is wanted, and how well this process is placed for it.
func (r *Runner) Want(on bool, fitness float64) {
	r.mu.Lock()
	r.want = &Want{on, min(max(fitness, 0), api.MaxFitness)}
	r.mu.Unlock()
	r.poke()
}

// Failed says that this process does not get done what the duty is for: it loses it for a while.
func (r *Runner) Failed() {
	r.mu.Lock()
	r.failed = true
	r.mu.Unlock()
	r.poke()
}

func (r *Runner) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run keeps at it until ctx ends, and then gives up what is held: it returns within about two Patiences, or when the lease is
// over.
func (r *Runner) Run(ctx context.Context) {
	now := func() time.Duration { return time.Since(r.begin) }
	x := NewCandidate(r.c, now())
	calls := r.caller()
	defer calls.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	over := ctx.Done()
	events := []Event{nil}
	for {
		for _, e := range events {
			for _, a := range x.Handle(now(), e) {
				switch a := a.(type) {
				case Call:
					calls.call(context.WithoutCancel(ctx), a)
				case Hold:
					r.hold(a.Epoch, r.begin.Add(a.Until))
					r.says(a)
				case Lost:
					r.drop()
					r.says(a)
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
		case a := <-calls.answers:
			events = []Event{a}
		case <-timer.C:
			events = []Event{nil}
		case <-r.wake:
			events = r.words()
		}
	}
}

// words are what was said since it was last asked.
func (r *Runner) words() (events []Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed {
		events = append(events, Failed{})
	}
	if r.want != nil {
		events = append(events, *r.want)
	}
	r.failed, r.want = false, nil
	return events
}

// caller asks the service on a goroutine of its own, one call at a time: each ends the one before.
type caller struct {
	work    chan job
	answers chan Answer // one that belongs to no call that is out may come yet
	ended   chan struct{}
	cancel  context.CancelFunc // of the last call; nil: there was none
}

type job struct {
	ctx context.Context
	Call
}

func (r *Runner) caller() *caller {
	c := &caller{work: make(chan job), answers: make(chan Answer, 1), ended: make(chan struct{})}
	go func() {
		defer close(c.ended)
		for j := range c.work {
			c.answers <- r.call(j.ctx, j.Call)
		}
	}()
	return c
}

func (c *caller) end() {
	if c.cancel != nil {
		c.cancel()
	}
}

// call ends the call before, and begins one.
func (c *caller) call(ctx context.Context, x Call) {
	c.end()
	ctx, c.cancel = context.WithTimeout(ctx, x.Patience)
	for {
		select {
		case c.work <- job{ctx, x}:
			return
		case <-c.answers: // to a call that was ended
		}
	}
}

// close ends what is out, and returns once the goroutine has ended.
func (c *caller) close() {
	c.end()
	close(c.work)
	for {
		select {
		case <-c.answers:
		case <-c.ended:
			return
		}
	}
}

func (r *Runner) call(ctx context.Context, c Call) (a Answer) {
	a.ID = c.ID
	var err error
	switch c.Op {
	case Take:
		a.Grant, err = r.service.Take(ctx, c.Claim)
	case Renew:
		a.Grant, err = r.service.RenewDuty(ctx, c.Claim)
	case Release:
		err = r.service.Release(ctx, c.Claim)
	}
	a.Told = err == nil
	return a
}
