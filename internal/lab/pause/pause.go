// Package pause owns the laboratory's waits: each ends with its context.
package pause

import (
	"context"
	"time"
)

// For waits so long; false: ctx has ended before.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
