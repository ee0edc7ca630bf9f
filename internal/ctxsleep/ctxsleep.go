// Package ctxsleep provides a sleep that a context can end early.
package ctxsleep

import (
	"context"
	"time"
)

// Sleep sleeps for a duration or until ctx ends, and returns true if the whole duration has passed. If the duration is zero or
// negative, it does not sleep and returns whether ctx is still valid.
func Sleep(ctx context.Context, duration time.Duration) bool {
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
