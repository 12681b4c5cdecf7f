// Package registrytest runs replicas of the list service inside the process of a test.
package registrytest

import (
	"context"
	"log/slog"
	"sync"
	"testing"

	"mosslead/internal/registry"
)

// Start opens and runs a replica that writes no log lines. stop ends it, and fails the test if the replica returned an error. It
// may be called more than once, and is called when the test ends.
func Start(t testing.TB, c *registry.Config) (node *registry.Node, stop func()) {
	t.Helper()
	node, err := registry.Open(c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Run of replica %s: got error %v, want nil", c.Name, err)
		}
	})
	t.Cleanup(stop)
	return node, stop
}
