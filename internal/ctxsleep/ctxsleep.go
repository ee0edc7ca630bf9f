// Package ctxsleep provides a sleep that a context can end early.
package ctxsleep

import (
	"context"
	"time"
)

// Sleep sleeps for a duration or until ctx ends, and reports whether ctx is still valid. It does not sleep if duration is
// zero or negative.
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
