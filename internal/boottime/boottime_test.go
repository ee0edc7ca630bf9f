package boottime

import (
	"testing"
	"time"
)

// TestNowAdvancesWithMonotonicClock guards against a clock that runs at another rate or starts at another time.
func TestNowAdvancesWithMonotonicClock(t *testing.T) {
	if !CountsSuspendedTime() {
		t.Fatal("CLOCK_BOOTTIME is not available")
	}
	before, monotonic := Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed, want := Now().Sub(before), time.Since(monotonic)
	if difference := (elapsed - want).Abs(); difference > 5*time.Millisecond {
		t.Errorf("Now advanced by %s, the monotonic clock by %s", elapsed, want)
	}
	if offset := time.Until(Now()).Abs(); offset > time.Minute {
		t.Errorf("Now differs from the wall clock by %s", offset)
	}
}

// TestSuspended guards against suspended time that is counted twice, or at all without CLOCK_BOOTTIME.
func TestSuspended(t *testing.T) {
	clocks := reading{boot: time.Hour, monotonic: time.Now()}
	w := &SuspendDetector{read: func() reading { return clocks }, last: clocks}
	advance := func(awake, asleep time.Duration) {
		clocks = reading{boot: clocks.boot + awake + asleep, monotonic: clocks.monotonic.Add(awake)}
	}
	for _, test := range []struct{ awake, asleep time.Duration }{{time.Second, 0}, {time.Second, 4 * time.Second}, {0, time.Minute}, {time.Hour, 0}} {
		advance(test.awake, test.asleep)
		if got := w.Suspended(); got != test.asleep {
			t.Errorf("after %s awake and %s asleep: suspended for %s, want %[2]s", test.awake, test.asleep, got)
		}
	}
	clocks.boot = 0
	if got := w.Suspended(); got != 0 {
		t.Errorf("without CLOCK_BOOTTIME: suspended for %s, want 0s", got)
	}
}
