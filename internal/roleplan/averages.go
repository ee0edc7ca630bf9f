package roleplan

import (
	"math"
	"time"
)

// Averages are exponential averages of one rate with a short and a long memory.
type Averages struct {
	Fast float64
	Slow float64
}

// Steady returns averages of a rate that has not changed for long.
func Steady(rate float64) Averages { return Averages{Fast: rate, Slow: rate} }

// MeterSettings set the memory of a Meter.
type MeterSettings struct {
	FastMemory time.Duration
	SlowMemory time.Duration
	// Forget is how long a class without requests is kept.
	Forget time.Duration
}

// DefaultMeterSettings returns memories that suit swings within minutes.
func DefaultMeterSettings() MeterSettings {
	return MeterSettings{FastMemory: 3 * time.Second, SlowMemory: 40 * time.Second, Forget: 10 * time.Minute}
}

// observe adds a rate that was measured over a time. Until the averages are as old as their memory, they are plain means.
func (a *Averages) observe(rate float64, elapsed, age time.Duration, settings MeterSettings) {
	a.Fast += (rate - a.Fast) * youngWeight(elapsed, settings.FastMemory, age)
	a.Slow += (rate - a.Slow) * youngWeight(elapsed, settings.SlowMemory, age)
}

func youngWeight(elapsed, memory, age time.Duration) float64 {
	return max(weightOf(elapsed, memory), elapsed.Seconds()/age.Seconds())
}

// weightOf is the weight of the newest measurement in an exponential average.
func weightOf(elapsed, memory time.Duration) float64 {
	if memory <= 0 {
		return 1
	}
	return 1 - math.Exp(-elapsed.Seconds()/memory.Seconds())
}
