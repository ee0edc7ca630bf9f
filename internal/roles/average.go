package roles

import (
	"math"
	"time"
)

// decay returns the weight that a value from time from has at time to under exponential decay, or 0 if from is zero.
func decay(from, to time.Time, timeConstant time.Duration) float64 {
	if from.IsZero() {
		return 0
	}
	return math.Exp(-to.Sub(from).Seconds() / timeConstant.Seconds())
}

// movingAverage is an exponentially weighted moving average.
type movingAverage struct {
	value float64
	at    time.Time
}

// update adds a value and returns the average.
func (a *movingAverage) update(now time.Time, value float64, timeConstant time.Duration) float64 {
	weight := decay(a.at, now, timeConstant)
	a.value, a.at = weight*a.value+(1-weight)*value, now
	return a.value
}

// decayingPeak is a maximum that decays exponentially.
type decayingPeak struct {
	value float64
	at    time.Time
}

// update adds a value and returns the peak.
func (p *decayingPeak) update(now time.Time, value float64, timeConstant time.Duration) float64 {
	p.value, p.at = max(decay(p.at, now, timeConstant)*p.value, value), now
	return p.value
}
