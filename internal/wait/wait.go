// Package wait provides the pause that the system's loops share.
package wait

import (
	"context"
	"time"
)

// For pauses for a duration and returns true. If the context ends first, it returns false at once.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
