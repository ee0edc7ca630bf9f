package boottime

import (
	"testing"
	"time"
)

func TestNowAdvancesWithMonotonicClock(t *testing.T) {
	if !CountsSuspendedTime() {
		t.Fatal("the machine has no clock that counts sleep")
	}
	before, monotonic := Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed, want := Now().Sub(before), time.Since(monotonic)
	if difference := (elapsed - want).Abs(); difference > 5*time.Millisecond {
		t.Errorf("%s passed, of really %s", elapsed, want)
	}
	if offset := time.Until(Now()).Abs(); offset > time.Minute {
		t.Errorf("the moment is %s off the time of day", offset)
	}
}

// TestAWatchNoticesSleep has two clocks part.
func TestSlept(t *testing.T) {
	clocks := reading{boot: time.Hour, monotonic: time.Now()}
	w := &Watch{read: func() reading { return clocks }, last: clocks}
	advance := func(awake, asleep time.Duration) {
		clocks = reading{boot: clocks.boot + awake + asleep, monotonic: clocks.monotonic.Add(awake)}
	}
	for _, test := range []struct{ awake, asleep time.Duration }{{time.Second, 0}, {time.Second, 4 * time.Second}, {0, time.Minute}, {time.Hour, 0}} {
		advance(test.awake, test.asleep)
		if got := w.Slept(); got != test.asleep {
			t.Errorf("after %s awake and %s asleep it tells %s", test.awake, test.asleep, got)
		}
	}
	clocks.boot = 0
	if got := w.Slept(); got != 0 {
		t.Errorf("without a clock that counts sleep it tells %s", got)
	}
}
