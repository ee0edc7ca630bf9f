package roles

import (
	"math"
	"time"
)

// part returns which part of what was known at a moment still counts at a later one.
func decay(from, to time.Time, timeConstant time.Duration) float64 {
	if from.IsZero() {
		return 0
	}
	return math.Exp(-to.Sub(from).Seconds() / timeConstant.Seconds())
}

// average is a mean of the values of late.
type movingAverage struct {
	value float64
	at    time.Time
}

// update takes a value and returns the average.
func (a *movingAverage) update(now time.Time, value float64, timeConstant time.Duration) float64 {
	weight := decay(a.at, now, timeConstant)
	a.value, a.at = weight*a.value+(1-weight)*value, now
	return a.value
}

// peak is a maximum that fades.
type decayingPeak struct {
	value float64
	at    time.Time
}

// update takes a value and returns the peak.
func (p *decayingPeak) update(now time.Time, value float64, timeConstant time.Duration) float64 {
	p.value, p.at = max(decay(p.at, now, timeConstant)*p.value, value), now
	return p.value
}
