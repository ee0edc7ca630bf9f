package capacity

import (
	"math"
	"time"
)

// EstimatorSettings configures an estimator.
type EstimatorSettings struct {
	// TargetUtilization is the intended utilization of the workers at the peak of the demand.
	TargetUtilization float64
	// StableTime is how long the number of workers must not grow after a start until it is taken as the initial number.
	StableTime time.Duration
	// ObservationTime is how long after the first demand the need may not fall.
	ObservationTime time.Duration
	// PeakRetention is how long a peak of the demand counts.
	PeakRetention time.Duration
	// MinDecrease is the minimum relative decrease of the need before workers are removed, because the remaining workers have to recompute the
	// prefixes that removed ones had cached.
	MinDecrease float64
}

// DefaultEstimatorSettings returns the default settings.
func DefaultEstimatorSettings() EstimatorSettings {
	return EstimatorSettings{TargetUtilization: 0.6, StableTime: 1500 * time.Millisecond, ObservationTime: 20 * time.Second, PeakRetention: 40 * time.Second, MinDecrease: 0.15}
}

// Estimator estimates how many workers a group needs. Until the demand is known, that is at least the number present at the start. It
// is a pure state machine and not safe for concurrent use.
type Estimator struct {
	settings EstimatorSettings
	// stableSince is since when the initial number of workers has not grown, and demandSince is when demand was first seen.
	stableSince, demandSince time.Time
	peaks                    []peakBucket
	// need is the number of workers that the group needs.
	need int
	// newFleet is set if the fleet was new at the first update.
	newFleet bool
}

// peakBucket holds the peak demand of an interval.
type peakBucket struct {
	start time.Time
	value float64
}

// peakBuckets is the number of intervals in PeakRetention.
const peakBuckets = 8

// NewEstimator returns an estimator without observations.
func NewEstimator(settings EstimatorSettings) *Estimator { return &Estimator{settings: settings} }

// Update adds an observation of the group. It returns the number of workers needed, and whether the number of initial workers, which
// limits it, is known yet.
func (e *Estimator) Update(now time.Time, group Group) (int, bool) {
	required := int(math.Ceil(e.peakDemand(now, group.Busy) / e.settings.TargetUtilization))
	if !e.initialKnown(now) {
		e.trackInitial(now, group)
	}
	if e.demandSince.IsZero() && group.Busy > 0 {
		e.demandSince = now
	}
	switch {
	case !e.observed(now):
		e.need = max(e.need, required)
	case required > e.need:
		e.need = required
	case float64(required) < (1-e.settings.MinDecrease)*float64(e.need):
		e.need = required
	}
	return e.need, e.initialKnown(now)
}

// initialKnown reports whether the number of initial workers is known.
func (e *Estimator) initialKnown(now time.Time) bool {
	return !e.stableSince.IsZero() && now.Sub(e.stableSince) >= e.settings.StableTime
}

// trackInitial tracks the number of workers present at the start. In a new fleet spot workers do not count, because they may have been
// ordered since. In others the largest number of spot workers of a zone does not count, because plans allow for their loss.
func (e *Estimator) trackInitial(now time.Time, group Group) {
	if e.need == 0 && e.stableSince.IsZero() {
		e.newFleet, e.stableSince = group.NewFleet, now
	}
	baseline := group.Present.WithoutLargestSpotZone()
	if e.newFleet {
		baseline = group.Present.OnDemand()
	}
	if baseline > e.need || baseline == 0 || !group.RecordsComplete {
		e.need, e.stableSince = max(baseline, e.need), now
	}
}

// observed reports whether demand was first seen at least ObservationTime ago.
func (e *Estimator) observed(now time.Time) bool {
	return !e.demandSince.IsZero() && now.Sub(e.demandSince) >= e.settings.ObservationTime
}

// mayRemoveSurplus reports whether workers beyond the plan may be removed: ObservationTime after the first demand, or as long after the
// start if there was none. The second case lets a group without demand drop the replacements of lost spot workers.
func (e *Estimator) mayRemoveSurplus(now time.Time) bool {
	if e.demandSince.IsZero() {
		return !e.stableSince.IsZero() && now.Sub(e.stableSince) >= e.settings.ObservationTime
	}
	return e.observed(now)
}

// peakDemand adds a demand and returns the peak within PeakRetention.
func (e *Estimator) peakDemand(now time.Time, busy float64) float64 {
	bucketTime := e.settings.PeakRetention / peakBuckets
	if len(e.peaks) == 0 || now.Sub(e.peaks[len(e.peaks)-1].start) >= bucketTime {
		e.peaks = append(e.peaks, peakBucket{start: now})
	}
	last := &e.peaks[len(e.peaks)-1]
	last.value = max(last.value, busy)
	for len(e.peaks) > 1 && now.Sub(e.peaks[0].start) > e.settings.PeakRetention {
		e.peaks = e.peaks[1:]
	}
	highest := 0.0
	for _, bucket := range e.peaks {
		highest = max(highest, bucket.value)
	}
	return highest
}
