package experiment

import (
	"math"
	"time"
)

// curve is a rate over time: a broken line, times a daily wave, plus bursts.
type curve struct {
	points []point
	wave   wave
	bursts []burst
}

// point is a corner of the broken line. Two points at the same time make a step.
type point struct {
	at   time.Duration
	rate float64
}

// wave multiplies a rate by 1 ± depth.
type wave struct {
	period time.Duration
	depth  float64
}

// burst adds to a rate for a while.
type burst struct {
	at     time.Duration
	length time.Duration
	rate   float64
}

// at returns the rate at a time.
func (c curve) at(moment time.Duration) float64 {
	rate := c.line(moment)
	if c.wave.period > 0 {
		rate *= 1 + c.wave.depth*math.Sin(2*math.Pi*moment.Seconds()/c.wave.period.Seconds())
	}
	for _, each := range c.bursts {
		if moment >= each.at && moment < each.at+each.length {
			rate += each.rate
		}
	}
	return rate
}

func (c curve) line(moment time.Duration) float64 {
	rate := 0.0
	for index, corner := range c.points {
		if moment < corner.at {
			return interpolate(c.points[max(0, index-1)], corner, moment)
		}
		rate = corner.rate
	}
	return rate
}

func interpolate(from, to point, moment time.Duration) float64 {
	if to.at <= from.at {
		return from.rate
	}
	return from.rate + (to.rate-from.rate)*float64(moment-from.at)/float64(to.at-from.at)
}

// peak is a rate that the curve never exceeds.
func (c curve) peak() float64 {
	highest := 0.0
	for _, corner := range c.points {
		highest = max(highest, corner.rate)
	}
	highest *= 1 + math.Abs(c.wave.depth)
	for _, each := range c.bursts {
		highest += each.rate
	}
	return highest
}

// scaled returns the curve with all rates multiplied.
func (c curve) scaled(factor float64) curve {
	result := curve{wave: c.wave}
	for _, each := range c.points {
		result.points = append(result.points, point{at: each.at, rate: each.rate * factor})
	}
	for _, each := range c.bursts {
		result.bursts = append(result.bursts, burst{at: each.at, length: each.length, rate: each.rate * factor})
	}
	return result
}

// steps makes a curve from pairs of a time and the rate from then on.
func steps(pairs ...point) curve {
	var result curve
	for index, each := range pairs {
		if index > 0 {
			result.points = append(result.points, point{at: each.at, rate: pairs[index-1].rate})
		}
		result.points = append(result.points, each)
	}
	return result
}

// then adds corners to the end of the broken line.
func (c curve) then(corners ...point) curve {
	c.points = append(c.points, corners...)
	return c
}
