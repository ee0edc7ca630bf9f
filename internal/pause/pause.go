// Package pause waits for a time that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For waits for a time, or until a context ends, and tells whether the context goes on. A time of zero or less does not wait.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
