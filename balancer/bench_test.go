package balancer

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// BenchmarkRequest measures the decisions on one request: its arrival, the end of its attempt, and the timers in between.
func BenchmarkRequest(b *testing.B) {
	for _, endpoints := range []int{10, 300} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			balancer, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			var list []Endpoint
			for i := range endpoints {
				list = append(list, Endpoint{Upstream: fmt.Sprint("u", i), Zone: string(rune('a' + i%3))})
			}
			now := time.Minute
			actions := balancer.Handle(now, EndpointUpdate{Endpoints: list}, nil)
			const inFlight = 20 // each request is answered after this number of later ones have arrived
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += ms
				actions = balancer.Handle(now, Request{ID: strconv.Itoa(i), Class: "c", ExpiresAt: now + time.Second}, actions[:0])
				if i >= inFlight {
					ended := AttemptEnded{ID: strconv.Itoa(i - inFlight), Result: OK, Elapsed: inFlight * ms, Final: true}
					actions = balancer.Handle(now, ended, actions[:0])
				}
				if i%5 == 0 {
					actions = balancer.Handle(now, TimerFired{}, actions[:0])
				}
			}
		})
	}
}
