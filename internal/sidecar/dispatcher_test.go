package sidecar

import (
	"context"
	"testing"
	"time"

	"mosslead/balancer"
)

// newTestDispatcher is a loop whose attempts end as send says.
func newTestDispatcher(t *testing.T, send func(context.Context, string, *clientRequest, time.Duration) attemptReply) *dispatcher {
	t.Helper()
	c := testConfig(t, "127.0.0.1:1")
	b, err := balancer.New(c.Settings.Settings, c.Seed)
	if err != nil {
		t.Fatal(err)
	}
	l := newDispatcher(b, newClock(), t.Context().Done())
	l.attempt, l.subscribe = send, func() {}
	return l
}

func (l *dispatcher) newRequest(id, class string) *clientRequest {
	return &clientRequest{id: id, class: class, expiresAt: l.clock.now() + testTimeout, body: &clientBody{}, answer: make(chan answer, 1)}
}

func testEndpoint(name string, state balancer.EndpointState) balancer.Endpoint {
	return balancer.Endpoint{Upstream: name, Zone: "a", State: state}
}

// Guards against sends to what a list in the queue already forbids: news of the list goes first.
func TestListsGoBeforeRequests(t *testing.T) {
	sent := make(chan string, 8)
	l := newTestDispatcher(t, func(_ context.Context, upstream string, _ *clientRequest, _ time.Duration) attemptReply {
		sent <- upstream
		return attemptReply{result: balancer.OK}
	})
	for _, id := range []string{"1", "2", "3", "4"} {
		l.enqueue(requestArrived{l.newRequest(id, "search")})
	}
	l.enqueueUpdate(balancer.EndpointUpdate{Kind: balancer.Delta, Endpoints: []balancer.Endpoint{testEndpoint("drains", balancer.Draining)}})
	go l.run(balancer.EndpointUpdate{Kind: balancer.Cached, Endpoints: []balancer.Endpoint{
		testEndpoint("drains", balancer.Active), testEndpoint("stays", balancer.Active)}})
	for range 4 {
		if to := <-sent; to != "stays" {
			t.Errorf("sent to the one that %s", to)
		}
	}
}

// Guards against two answers: a hedged requests's answer, or one after the request was failed, goes nowhere; each
// attempt is still reported to the balancer, which then forgets the request.
func TestOneFinalAnswer(t *testing.T) {
	l := newTestDispatcher(t, func(ctx context.Context, _ string, _ *clientRequest, _ time.Duration) attemptReply {
		<-ctx.Done()
		return attemptReply{result: balancer.OK, body: []byte("late")}
	})
	l.handle(balancer.EndpointUpdate{Kind: balancer.Cached, Endpoints: []balancer.Endpoint{testEndpoint("s", balancer.Active)}})
	r := l.newRequest("1", "search")
	l.onEvent(requestArrived{r})
	if len(l.inFlight["1"].attempts) != 1 {
		t.Fatal("not sent")
	}
	l.onEvent(abort{})
	if a := <-r.answer; a.kind != failed {
		t.Errorf("answered %+v", a)
	}
	l.inFlight["1"].attempts[0].cancel(nil)
	l.onEvent(<-l.events)
	select {
	case a := <-r.answer:
		t.Errorf("answered again: %+v", a)
	default:
	}
	if len(l.inFlight) != 0 {
		t.Error("the request was not forgotten")
	}
}

// Guards against an attempt that outlasts its client: it ends when the client stops waiting, at the latest.
func TestAttemptEndsWithItsRequest(t *testing.T) {
	deadlines := make(chan time.Duration, 1)
	l := newTestDispatcher(t, func(ctx context.Context, _ string, _ *clientRequest, _ time.Duration) attemptReply {
		d, _ := ctx.Deadline()
		deadlines <- time.Until(d)
		return attemptReply{result: balancer.Timeout}
	})
	l.handle(balancer.EndpointUpdate{Kind: balancer.Cached, Endpoints: []balancer.Endpoint{testEndpoint("s", balancer.Active)}})
	r := l.newRequest("1", "confirm")
	r.expiresAt = l.clock.now() + 3*time.Second
	l.onEvent(requestArrived{r})
	if left := <-deadlines; left > 3*time.Second {
		t.Errorf("may take %v", left)
	}
	l.onEvent(<-l.events)
	if a := <-r.answer; a.kind != failed {
		t.Errorf("answered %+v", a)
	}
}

// Guards against two attempts out at once: before another attempt for a request begins, the connection on which
// the one before still waits is closed.
func TestNextAttemptAbandonsTheOneBefore(t *testing.T) {
	abandoned, n := make(chan bool, 1), 0
	l := newTestDispatcher(t, func(context.Context, string, *clientRequest, time.Duration) attemptReply {
		if n++; n == 1 {
			return attemptReply{result: balancer.Timeout, abandon: func() { abandoned <- true }}
		}
		select {
		case <-abandoned:
		default:
			t.Error("the second attempt began beside the first")
		}
		return attemptReply{result: balancer.OK}
	})
	l.handle(balancer.EndpointUpdate{Kind: balancer.Cached, Endpoints: []balancer.Endpoint{testEndpoint("s", balancer.Active)}})
	r := l.newRequest("1", "search")
	l.onEvent(requestArrived{r})
	l.onEvent(<-l.events)
	l.onEvent(<-l.events)
	if a := <-r.answer; a.kind != served || n != 2 {
		t.Errorf("answered %+v after %d attempts", a, n)
	}
}
