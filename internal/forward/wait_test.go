package forward

import (
	"context"
	"testing"
	"time"
)

// TestArrivalWinsOverTimer guards against a request that is refused although what it waited for has come, because both the timer and the arrival
// are due after a standstill of this process.
func TestArrivalWinsOverTimer(t *testing.T) {
	const rounds = 100
	arrived := make(chan struct{})
	close(arrived)
	lost := 0
	for range rounds {
		if !awaitRecovery(context.Background(), &RoleLoss{Recovered: arrived}, time.Nanosecond) {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d recoveries were lost to the timer", lost, rounds)
	}
	if awaitRecovery(context.Background(), &RoleLoss{Recovered: make(chan struct{})}, time.Millisecond) {
		t.Error("a recovery that has not come was awaited")
	}
}
