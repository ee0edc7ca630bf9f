package boottime

import (
	"testing"
	"time"
)

func TestNowGoesOnAsTimeDoes(t *testing.T) {
	if !CountsSleep() {
		t.Fatal("the machine has no clock that counts sleep")
	}
	before, steady := Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	passed, really := Now().Sub(before), time.Since(steady)
	if difference := (passed - really).Abs(); difference > 5*time.Millisecond {
		t.Errorf("%s passed, of really %s", passed, really)
	}
	if off := time.Until(Now()).Abs(); off > time.Minute {
		t.Errorf("the moment is %s off the time of day", off)
	}
}

// TestAWatchNoticesSleep has two clocks part.
func TestAWatchNoticesSleep(t *testing.T) {
	clocks := reading{boot: time.Hour, steady: time.Now()}
	w := &Watch{read: func() reading { return clocks }, last: clocks}
	pass := func(awake, asleep time.Duration) {
		clocks = reading{boot: clocks.boot + awake + asleep, steady: clocks.steady.Add(awake)}
	}
	for _, test := range []struct{ awake, asleep time.Duration }{{time.Second, 0}, {time.Second, 4 * time.Second}, {0, time.Minute}, {time.Hour, 0}} {
		pass(test.awake, test.asleep)
		if got := w.Slept(); got != test.asleep {
			t.Errorf("after %s awake and %s asleep it tells %s", test.awake, test.asleep, got)
		}
	}
	clocks.boot = 0
	if got := w.Slept(); got != 0 {
		t.Errorf("without a clock that counts sleep it tells %s", got)
	}
}
