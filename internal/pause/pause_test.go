package pause

import (
	"context"
	"testing"
	"time"
)

func TestForEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	if !For(ctx, time.Millisecond) || !For(ctx, -time.Second) {
		t.Error("the context goes on")
	}
	time.AfterFunc(10*time.Millisecond, cancel)
	if begun := time.Now(); For(ctx, time.Minute) || time.Since(begun) > 10*time.Second || For(ctx, 0) {
		t.Error("the context has ended")
	}
}
