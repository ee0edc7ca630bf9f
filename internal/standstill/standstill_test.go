package standstill

import (
	"testing"
	"time"
)

// TestIsLate guards against a standstill that is taken for ordinary scheduling, and the other way round.
func TestIsLate(t *testing.T) {
	due := time.Now()
	for delay, want := range map[time.Duration]bool{-time.Second: false, 0: false, MaxTimerDelay: false, MaxTimerDelay + 1: true, time.Minute: true} {
		if got := IsLate(due.Add(delay), due); got != want {
			t.Errorf("%s late: %t, want %t", delay, got, want)
		}
	}
}
