package roles

import (
	"math"
	"time"
)

// part returns which part of what was known at a moment still counts at a later one.
func part(from, to time.Time, memory time.Duration) float64 {
	if from.IsZero() {
		return 0
	}
	return math.Exp(-to.Sub(from).Seconds() / memory.Seconds())
}

// average is a mean of the values of late.
type average struct {
	value float64
	at    time.Time
}

// update takes a value and returns the average.
func (a *average) update(now time.Time, value float64, memory time.Duration) float64 {
	kept := part(a.at, now, memory)
	a.value, a.at = kept*a.value+(1-kept)*value, now
	return a.value
}

// peak is a maximum that fades.
type peak struct {
	value float64
	at    time.Time
}

// update takes a value and returns the peak.
func (p *peak) update(now time.Time, value float64, memory time.Duration) float64 {
	p.value, p.at = max(part(p.at, now, memory)*p.value, value), now
	return p.value
}
