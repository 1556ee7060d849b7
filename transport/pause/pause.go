// Package pause waits by the machine's clock and gives up with a context.
package pause

import (
	"context"
	"time"
)

// For waits for a duration and returns nil, or the context's error if that
// ends first. A duration that is not positive waits for nothing.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
