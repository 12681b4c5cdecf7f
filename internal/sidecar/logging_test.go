package sidecar

import (
	"testing"
	"time"

	"mosslead/balancer"
)

// Guards against wrong sums by upstream: describeByUpstream adds up the attempts that ended;
// an attempt that was never sent does not count.
func TestCountsByUpstream(t *testing.T) {
	c := newAttemptCounts()
	c.add("b", balancer.OK, 10*time.Millisecond)
	c.add("b", balancer.OK, 30*time.Millisecond)
	c.add("b", balancer.ServerError, time.Millisecond)
	c.add("a", balancer.Timeout, time.Second)
	c.add("c", balancer.NotSent, 0)
	got := c.describeByUpstream(func(name string) string { return "z" + name })
	if want := "a@za 0 bad 1, b@zb 2 in 20ms bad 1"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
