// Package pause sleeps for a duration of real time and returns early when a
// context ends.
package pause

import (
	"context"
	"time"
)

// For sleeps for a duration and returns nil, or the context's error if the
// context ends first. If the duration is not positive, it returns at once.
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
