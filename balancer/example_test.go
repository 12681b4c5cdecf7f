package balancer_test

import (
	"fmt"
	"time"

	"mosslead/balancer"
)

// A sidecar embeds the balancer: it reports events, with the times of its own clock, and carries out the actions.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Zone:        "east",
		MaxAttempts: 3,
		Classes:     []balancer.Class{{Name: "read", LatencyObjective: 100 * time.Millisecond, Deadline: time.Second}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	var actions []balancer.Action
	report := func(now time.Duration, e balancer.Event) {
		actions = b.Handle(now, e, actions[:0])
		for _, a := range actions {
			switch a.Kind {
			case balancer.StartAttempt:
				fmt.Println("send", a.ID, "to", a.Upstream)
			case balancer.Reject, balancer.Fail:
				fmt.Println("answer", a.ID)
			case balancer.SetTimer:
				// arrange for report(a.At, balancer.TimerFired{})
			}
		}
	}
	report(time.Second, balancer.EndpointUpdate{Kind: balancer.FullState, Endpoints: []balancer.Endpoint{{Upstream: "s1", Zone: "east"}}})
	report(2*time.Second, balancer.Request{ID: "r1", Class: "read", ExpiresAt: 3 * time.Second})
	report(2*time.Second+30*time.Millisecond, balancer.AttemptEnded{ID: "r1", Result: balancer.OK,
		Elapsed: 30 * time.Millisecond, Final: true})
	// Output: send r1 to s1
}
