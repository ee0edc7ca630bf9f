package simulation

import (
	"math/rand/v2"
	"time"
)

// Bounds of the clocks of processes, as a time service keeps them.
const (
	maxClockOffset = 20 * time.Millisecond
	// maxClockDrift is the largest error of rate, in parts per million.
	maxClockDrift = 200
	partsPerOne   = 1_000_000
)

// startOfTime is the wall-clock time at which every run starts.
var startOfTime = time.Date(2026, time.January, 1, 6, 0, 0, 0, time.UTC)

// processClock is the clock of one machine: it is off by an offset and runs a little fast or slow.
type processClock struct {
	offset time.Duration
	// drift is the error of rate in parts per million.
	drift int64
}

// newProcessClock draws a clock.
func newProcessClock(random *rand.Rand) processClock {
	return processClock{
		offset: time.Duration(random.Int64N(int64(2*maxClockOffset))) - maxClockOffset,
		drift:  random.Int64N(2*maxClockDrift+1) - maxClockDrift,
	}
}

// read returns the time that the clock shows at a moment of virtual time.
func (c processClock) read(moment time.Duration) time.Time {
	skew := time.Duration(int64(moment) / partsPerOne * c.drift)
	return startOfTime.Add(moment + c.offset + skew)
}

// moment returns the first moment at which the clock shows the given time or a later one.
func (c processClock) moment(shown time.Time) time.Duration {
	elapsed := shown.Sub(startOfTime) - c.offset
	guess := elapsed - time.Duration(int64(elapsed)/(partsPerOne+c.drift)*c.drift)
	for c.read(guess).Before(shown) {
		guess += time.Microsecond
	}
	return guess
}
