// Package wait holds the one way in which the system's loops pause.
package wait

import (
	"context"
	"time"
)

// For pauses for a time; it returns false at once when the context ends first.
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
