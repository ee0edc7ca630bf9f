package enginemodel

import (
	"math"
	"time"
)

// Parameters of the distribution of transient slowdowns. Its thresholds are factors of the pace of the engine, in a geometric series.
const (
	firstThreshold  = 0.8
	thresholdFactor = 1.2
	thresholdCount  = 18
	// transientPriorSeconds is the time without transient slowdowns as which the prior counts.
	transientPriorSeconds = 1.0
	// transientAging is the time after which the observations are aged.
	transientAging = time.Second
)

// thresholds holds the thresholds in ascending order.
var thresholds = func() (result [thresholdCount]float64) {
	for i := range result {
		result[i] = firstThreshold * math.Pow(thresholdFactor, float64(i))
	}
	return result
}()

// transients counts how often and for how long the intervals between events exceed the pace of their engine. The engines of a class share it:
// transient slowdowns come from neighbors on the same machine, which any engine may get.
type transients struct {
	// seconds is the time observed, and paceSeconds the time that it would have taken at the pace of the engines.
	seconds, paceSeconds float64
	// atLevel is the time spent in intervals that exceed exactly the first i thresholds.
	atLevel [thresholdCount + 1]float64
	// onsets counts, by threshold, the intervals that exceed it and whose predecessors in the same response did not. followedBy is the time
	// of the intervals with a predecessor, at the pace of the engine, by the level of the predecessor.
	onsets     [thresholdCount]float64
	followedBy [thresholdCount + 1]float64
	agedAt     time.Time
}

// noLevel is the level before the first interval of a response.
const noLevel = -1

// levelOf returns how many thresholds a relative interval exceeds.
func levelOf(relative float64) int {
	level := 0
	for level < thresholdCount && relative >= thresholds[level] {
		level++
	}
	return level
}

// add adds an interval, given the level of the preceding one of the response. It returns its own level.
func (t *transients) add(now time.Time, seconds, paceSeconds float64, before int) int {
	t.age(now)
	level := levelOf(seconds / paceSeconds)
	t.seconds += seconds
	t.paceSeconds += paceSeconds
	t.atLevel[level] += seconds
	if before == noLevel {
		return level
	}
	t.followedBy[before] += paceSeconds
	for i := before; i < level; i++ {
		t.onsets[i]++
	}
	return level
}

// age reduces the weight of older observations.
func (t *transients) age(now time.Time) {
	if now.Sub(t.agedAt) < transientAging && !t.agedAt.IsZero() {
		return
	}
	factor := decay(t.agedAt, now)
	t.agedAt = now
	t.seconds *= factor
	t.paceSeconds *= factor
	for _, counts := range [][]float64{t.atLevel[:], t.followedBy[:], t.onsets[:]} {
		for i := range counts {
			counts[i] *= factor
		}
	}
}

// meanFactor returns the mean interval relative to the pace; at least 1.
func (t *transients) meanFactor() float64 {
	return max((t.seconds+transientPriorSeconds)/(t.paceSeconds+transientPriorSeconds), 1)
}

// exceeding returns the share of time in which intervals exceed the pace by a factor, and how often a second such a time begins. Both fall
// with the factor.
func (t *transients) exceeding(factor float64) (share, perSecond float64) {
	if !(factor > firstThreshold) {
		return 1, 0
	}
	position := math.Log(factor/firstThreshold) / math.Log(thresholdFactor)
	low := min(int(position), thresholdCount-1)
	high := min(low+1, thresholdCount-1)
	fraction := min(position-float64(low), 1)
	shareLow, rateLow := t.exceedingThreshold(low)
	shareHigh, rateHigh := t.exceedingThreshold(high)
	return shareLow + fraction*(shareHigh-shareLow), rateLow + fraction*(rateHigh-rateLow)
}

// exceedingThreshold is exceeding for one threshold.
func (t *transients) exceedingThreshold(threshold int) (share, perSecond float64) {
	above, atRisk := 0.0, transientPriorSeconds
	for i, seconds := range t.atLevel {
		if i > threshold {
			above += seconds
		}
	}
	for _, seconds := range t.followedBy[:threshold] {
		atRisk += seconds
	}
	for i := threshold; i < thresholdCount; i++ {
		// Responses in which a transient slowdown changes in strength cross a high threshold more often than a low one.
		atRisk += t.followedBy[i]
		perSecond = max(perSecond, t.onsets[i]/atRisk)
	}
	return above / (t.seconds + transientPriorSeconds), perSecond
}
