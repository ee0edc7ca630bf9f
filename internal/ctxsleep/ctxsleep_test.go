package ctxsleep

import (
	"context"
	"testing"
	"time"
)

// TestSleepStopsOnCancel guards against a sleep that delays the end of its caller.
func TestSleepStopsOnCancel(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	if !Sleep(ctx, time.Millisecond) || !Sleep(ctx, -time.Second) {
		t.Error("Sleep returned false before the context was cancelled")
	}
	time.AfterFunc(10*time.Millisecond, cancel)
	if start := time.Now(); Sleep(ctx, time.Minute) || time.Since(start) > 10*time.Second || Sleep(ctx, 0) {
		t.Error("Sleep did not return false after the context was cancelled")
	}
}
