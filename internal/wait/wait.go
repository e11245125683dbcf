// Package wait provides the pause that the system's loops share.
package wait

import (
	"context"
	"time"
)

// For pauses for a duration. It returns false as soon as the context ends.
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
