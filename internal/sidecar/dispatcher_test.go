package sidecar

import (
	"context"
	"testing"
	"time"

	"mosslead/balancer"
)

// newTestDispatcher returns a dispatcher that is not running, whose attempts return the result of send.
func newTestDispatcher(t *testing.T, send func(context.Context, string, *clientRequest, time.Duration) attemptReply) *dispatcher {
	t.Helper()
	c := testConfig(t, "127.0.0.1:1")
	b, err := balancer.New(c.Settings.Settings, c.Seed)
	if err != nil {
		t.Fatal(err)
	}
	d := newDispatcher(b, newClock(), t.Context().Done())
	d.attempt, d.subscribe = send, func() {}
	return d
}

func (d *dispatcher) newRequest(id, class string) *clientRequest {
	return &clientRequest{id: id, class: class, expiresAt: d.clock.now() + testTimeout, body: &clientBody{}, answer: make(chan answer, 1)}
}

func testEndpoint(name string, state balancer.EndpointState) balancer.Endpoint {
	return balancer.Endpoint{Upstream: name, Zone: "a", State: state}
}

// Guards against requests sent to an upstream that is draining according to a queued update: updates are handled first.
func TestListsGoBeforeRequests(t *testing.T) {
	sent := make(chan string, 8)
	d := newTestDispatcher(t, func(_ context.Context, upstream string, _ *clientRequest, _ time.Duration) attemptReply {
		sent <- upstream
		return attemptReply{result: balancer.OK}
	})
	for _, id := range []string{"1", "2", "3", "4"} {
		d.enqueue(requestArrived{d.newRequest(id, "search")})
	}
	d.enqueueUpdate(balancer.EndpointUpdate{Kind: balancer.Delta, Endpoints: []balancer.Endpoint{testEndpoint("drains", balancer.Draining)}})
	go d.run(balancer.EndpointUpdate{Kind: balancer.Cached, Endpoints: []balancer.Endpoint{
		testEndpoint("drains", balancer.Active), testEndpoint("stays", balancer.Active)}})
	for range 4 {
		if to := <-sent; to != "stays" {
			t.Errorf("request sent to %q, want %q", to, "stays")
		}
	}
}

// Guards against two answers: an answer that arrives after the request has failed is dropped. Its attempt is still reported
// to the balancer, after which the request is forgotten.
func TestOneFinalAnswer(t *testing.T) {
	d := newTestDispatcher(t, func(ctx context.Context, _ string, _ *clientRequest, _ time.Duration) attemptReply {
		<-ctx.Done()
		return attemptReply{result: balancer.OK, body: []byte("late")}
	})
	d.handle(balancer.EndpointUpdate{Kind: balancer.Cached, Endpoints: []balancer.Endpoint{testEndpoint("s", balancer.Active)}})
	r := d.newRequest("1", "search")
	d.onEvent(requestArrived{r})
	if len(d.inFlight["1"].attempts) != 1 {
		t.Fatalf("got %d attempts, want 1", len(d.inFlight["1"].attempts))
	}
	d.onEvent(abort{})
	if a := <-r.answer; a.kind != failed {
		t.Errorf("got answer %+v, want kind failed", a)
	}
	d.inFlight["1"].attempts[0].cancel(nil)
	d.onEvent(<-d.events)
	select {
	case a := <-r.answer:
		t.Errorf("got a second answer %+v, want none", a)
	default:
	}
	if len(d.inFlight) != 0 {
		t.Errorf("%d requests are still in flight, want 0", len(d.inFlight))
	}
}

// Guards against an attempt that outlasts its client: it ends at the latest when the client stops waiting.
func TestAttemptEndsWithItsRequest(t *testing.T) {
	deadlines := make(chan time.Duration, 1)
	d := newTestDispatcher(t, func(ctx context.Context, _ string, _ *clientRequest, _ time.Duration) attemptReply {
		deadline, _ := ctx.Deadline()
		deadlines <- time.Until(deadline)
		return attemptReply{result: balancer.Timeout}
	})
	d.handle(balancer.EndpointUpdate{Kind: balancer.Cached, Endpoints: []balancer.Endpoint{testEndpoint("s", balancer.Active)}})
	r := d.newRequest("1", "confirm")
	r.expiresAt = d.clock.now() + 3*time.Second
	d.onEvent(requestArrived{r})
	if timeLeft := <-deadlines; timeLeft > 3*time.Second {
		t.Errorf("got an attempt with %v until its deadline, want 3s or less", timeLeft)
	}
	d.onEvent(<-d.events)
	if a := <-r.answer; a.kind != failed {
		t.Errorf("got answer %+v, want kind failed", a)
	}
}

// Guards against two attempts at the same time: before another attempt for a request begins, the connection on which the
// previous one still waits for an answer is closed.
func TestNextAttemptAbandonsTheOneBefore(t *testing.T) {
	abandoned, n := make(chan bool, 1), 0
	d := newTestDispatcher(t, func(context.Context, string, *clientRequest, time.Duration) attemptReply {
		if n++; n == 1 {
			return attemptReply{result: balancer.Timeout, abandon: func() { abandoned <- true }}
		}
		select {
		case <-abandoned:
		default:
			t.Error("the second attempt began before the first was abandoned, want it after")
		}
		return attemptReply{result: balancer.OK}
	})
	d.handle(balancer.EndpointUpdate{Kind: balancer.Cached, Endpoints: []balancer.Endpoint{testEndpoint("s", balancer.Active)}})
	r := d.newRequest("1", "search")
	d.onEvent(requestArrived{r})
	d.onEvent(<-d.events)
	d.onEvent(<-d.events)
	if a := <-r.answer; a.kind != served || n != 2 {
		t.Errorf("got answer %+v after %d attempts, want kind served after 2", a, n)
	}
}
